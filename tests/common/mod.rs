//! A proxy driven by hand, for tests of the decision module: it holds the module and the clock.
#![allow(dead_code, reason = "each test file uses a part of it")]

use rushquay::api::*;
use rushquay::Balancer;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

pub fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: 300 * MS,
            deadline: 800 * MS,
            worth: 1.0,
            dedup_window: SECOND,
            ..Class::default()
        }],
        proxies: 4,
        max_attempts: 4,
        allows_cancel: true,
        allows_hedging: true,
        max_retry_after: SECOND,
        initial_capacity_fraction: 0.2,
        warm_up_time: 20 * SECOND,
        overload_multiple: 3.0,
        overload_window: SECOND,
        max_subscribe_delay: 10 * SECOND,
        ..Settings::default()
    }
}

pub fn entry(n: u64) -> Entry {
    let server = server_id(&format!("server-{n}"));
    Entry {
        server,
        zone: (n % 3) as u32,
        // Each eighth endpoint is of a kind of its own: the origin, where a test's settings say so.
        kind: u32::from(n % 8 == 7),
        cell: (n % 6) as u32,
        state: State::Ready,
        weight: 1.0,
        started_at: 0,
        incarnation: None,
    }
}

pub fn entries(numbers: std::ops::Range<u64>) -> Vec<Entry> {
    numbers.map(entry).collect()
}

pub struct Proxy {
    pub balancer: Balancer,
    pub now: Nanos,
    next: RequestId,
}

impl Proxy {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Proxy { balancer: Balancer::new(settings, seed), now: 1000 * SECOND, next: 1 }
    }

    pub fn with(settings: Settings, list: Vec<Entry>) -> Self {
        let mut p = Self::new(settings, 7);
        p.list(ListKind::Cached, list);
        p
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::List { kind, entries })
    }

    /// Sends a request of class 0; returns its id and the module's actions.
    pub fn ask(&mut self, key: u64) -> (RequestId, Vec<Action>) {
        self.ask_as(Request { key: Some(key), remaining: 800 * MS, ..Request::default() })
    }

    pub fn ask_as(&mut self, mut request: Request) -> (RequestId, Vec<Action>) {
        request.id = self.next;
        self.next += 1;
        (request.id, self.event(Event::Arrival(request)))
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        hit: Option<bool>,
    ) -> Vec<Action> {
        self.end_after(id, attempt, server, status, hit, 20 * MS)
    }

    pub fn end_after(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        hit: Option<bool>,
        elapsed: Nanos,
    ) -> Vec<Action> {
        let last = status == Status::Ok;
        self.event(Event::Outcome { id, attempt, server, status, elapsed, last, hit })
    }

    /// Sends a request of class 0 that is answered; returns the endpoint that it was sent to.
    pub fn served(&mut self, key: u64, hit: bool) -> ServerId {
        let (id, actions) = self.ask(key);
        let server = sent(&actions).expect("sent");
        self.now += 20 * MS;
        self.end(id, 0, server, Status::Ok, Some(hit));
        server
    }

    /// Pins the bucket of a key, one of many, by consecutive hits; returns the endpoint.
    pub fn pinned(&mut self, key: u64) -> ServerId {
        self.crowd(0..300);
        let first = self.served(key, true);
        for _ in 0..4 {
            self.served(key, true);
            self.crowd(0..100);
        }
        first
    }

    /// Sends requests for other keys, so that the key under test is one of many and its bucket is not hot.
    pub fn crowd(&mut self, keys: std::ops::Range<u64>) {
        for k in keys {
            self.now += MS;
            self.served(0x9999_0000 + k * 7919, true);
        }
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}
