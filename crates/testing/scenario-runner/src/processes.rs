//! The processes of the proxies: one each, and beside it for a while the ones before it, which end what they began.

use rushquay::api::{Action, Event, ListKind, Nanos, Settings};
use rushquay::{api, Balancer};

/// A key as a version sees it that places keys otherwise.
const OTHERWISE: u64 = 0x9e37_79b9_7f4a_7c15;

struct Process {
    proxy: usize,
    balancer: Balancer,
    /// It is of the version that places keys otherwise.
    otherwise: bool,
}

/// All of them, by number in the order in which they started.
pub struct Processes {
    all: Vec<Process>,
    /// Of each proxy the one that takes new requests.
    serving: Vec<usize>,
    settings: Settings,
    seed: u64,
}

impl Processes {
    /// One for each proxy.
    pub fn new(settings: &Settings, proxies: usize, seed: u64) -> Self {
        let mut processes =
            Processes { all: Vec::new(), serving: vec![0; proxies], settings: settings.clone(), seed };
        for proxy in 0..proxies {
            let balancer = processes.fresh(proxy, proxy as u64);
            processes.all.push(Process { proxy, balancer, otherwise: false });
            processes.serving[proxy] = proxy;
        }
        processes
    }

    fn fresh(&self, proxy: usize, number: u64) -> Balancer {
        let settings = Settings { proxy_index: proxy as u32, ..self.settings.clone() };
        Balancer::new(settings, self.seed ^ (number + 1).wrapping_mul(OTHERWISE))
    }

    /// How many proxies there are.
    pub fn proxies(&self) -> usize {
        self.serving.len()
    }

    /// Those of a proxy, the one that serves last.
    pub fn of(&self, proxy: usize) -> Vec<usize> {
        (0..self.all.len()).filter(|p| self.all[*p].proxy == proxy).collect()
    }

    /// The process that takes a proxy's new requests.
    pub fn serving(&self, proxy: usize) -> usize {
        self.serving[proxy]
    }

    /// A key as this process tells it to its module.
    pub fn key(&self, process: usize, key: u64) -> u64 {
        if self.all[process].otherwise {
            key.rotate_left(17) ^ OTHERWISE
        } else {
            key
        }
    }

    /// Whether the proxy runs the version that places keys otherwise.
    pub fn otherwise(&self, proxy: usize) -> bool {
        self.all[self.serving[proxy]].otherwise
    }

    /// Gives a process's module an event.
    pub fn handle(&mut self, process: usize, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.all[process].balancer.handle(now, event, actions);
    }

    /// A proxy is changed by hand-over to the other version: a process that has learned nothing takes its new requests, with the
    /// list as the old one has it and what that one may still send to cold nodes. Returns the new one and what its module does
    /// at once.
    pub fn replace(
        &mut self,
        proxy: usize,
        now: Nanos,
        list: Vec<api::Entry>,
        otherwise: bool,
    ) -> (usize, Vec<Action>) {
        let number = self.all.len();
        let (mut balancer, mut actions) = (self.fresh(proxy, number as u64), Vec::new());
        balancer.handle(now, Event::List { kind: ListKind::Full, entries: list }, &mut actions);
        let left = self.all[self.serving[proxy]].balancer.release_slow_start_allowances(now);
        balancer.inherit_slow_start_allowances(now, &left);
        self.all.push(Process { proxy, balancer, otherwise });
        self.serving[proxy] = number;
        (number, actions)
    }
}
