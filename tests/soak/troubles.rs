//! What may go wrong, several at a time.

use crate::judge::Drain;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rushquay_fleet_harness::{Faults, Fleet, StrictClients};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Calls that fail at some of the processes while the switch is on.
const INTERRUPTED: &str = "recv:EINTR=0.05;send:EINTR=0.05;recv:short=0.05;send:short=0.05;poll:EINTR=0.02";
const SHORT_OF: &str =
    "accept:ECONNABORTED=0.1;accept:EMFILE=0.05;connect:EADDRNOTAVAIL=0.05;connect:EINTR=0.05;\
                        connect:ENETUNREACH=0.03;socket:ENFILE=0.03;send:ENOBUFS=0.02";
const CLOCK: &str = "step=3600/3";
/// Clients come to a process that was told to end for so long.
const FRONT_NOTICES: Duration = Duration::from_millis(250);

/// A process that was told to end has ended by then: the longest deadline, 0.7 s, and what a busy machine adds.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// A process that was told to end may be killed so long after: the longest deadline, and 0.7 s.
const KILLED_AFTER: Duration = crate::WITHIN.saturating_add(Duration::from_millis(700));

/// What becomes of a process that was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It ends by itself.
    Awaited,
    /// It is killed at the earliest moment that it has to reckon with. Nothing is excused by that.
    Killed,
}

/// The file while which calls fail.
fn switch() -> PathBuf {
    std::env::temp_dir().join(format!("rushquay-soak-{}", std::process::id()))
}

/// How far the wall clock of a process may be ahead at its start, in seconds, and the steps that it may take while the process runs: by so
/// many seconds, there and back, every so many.
const CLOCKS_AHEAD_S: [i64; 9] = [0, 20, -20, 60, -60, 3_600, -3_600, 90_000, -7_400];
const CLOCK_STEPS: [&str; 4] = ["", ";step=3600/2", ";step=-3600/3", ";step=20/1"];

/// Most processes get the library of faults, each with a part of them.
pub fn preload(fleet: &mut Fleet, seed: u64) {
    preload_with(fleet, seed, || None);
}

/// The same, and every process gets a wall clock of its own from its next start on.
pub fn preload_clocks(fleet: &mut Fleet, seed: u64, random: &mut Pcg64Mcg) {
    preload_with(fleet, seed, || {
        let ahead_s = CLOCKS_AHEAD_S[random.random_range(0..CLOCKS_AHEAD_S.len())];
        let step = CLOCK_STEPS[random.random_range(0..CLOCK_STEPS.len())];
        Some(format!("ahead={ahead_s}{step}"))
    });
}

fn preload_with(fleet: &mut Fleet, seed: u64, mut clock: impl FnMut() -> Option<String>) {
    let rules = [Some(INTERRUPTED), Some(SHORT_OF), Some(CLOCK), None];
    let program = PathBuf::from(crate::program());
    let mut faults = |seed: u64, rules: Option<&str>| {
        let rules: Vec<String> = rules.map(str::to_owned).into_iter().chain(clock()).collect();
        let faults = Faults::new(seed, &rules.join(";")).while_exists(&switch());
        (!rules.is_empty()).then(|| (program.clone(), faults.variables()))
    };
    for (n, proxy) in fleet.proxies.iter_mut().enumerate() {
        proxy.other = faults(seed + n as u64, rules[n % 4]);
    }
    for (n, control) in fleet.controls.iter_mut().enumerate() {
        control.other = faults(seed + 100 + n as u64, Some(INTERRUPTED));
    }
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// A proxy is told to end, and started again.
    Restart,
    /// A proxy hands over to a new process of its own.
    Upgrade,
    /// A proxy stands still for a moment.
    Pause,
    /// A proxy is killed.
    Kill,
    /// A proxy reads its settings again, first while they are half written.
    Reload,
    /// A control service stands still or is killed.
    Control,
    /// Discovery is down.
    Discovery,
    /// A node drains.
    Drain,
    /// A node reads requests and answers none.
    Hang,
    /// A node breaks connections off.
    Break,
    /// Calls fail.
    Calls,
    /// A proxy gets several signals in a row, the last of which tells it to end.
    Signals,
}

const ALL: [Trouble; 13] = [
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Upgrade,
    Trouble::Pause,
    Trouble::Kill,
    Trouble::Reload,
    Trouble::Control,
    Trouble::Discovery,
    Trouble::Drain,
    Trouble::Hang,
    Trouble::Break,
    Trouble::Calls,
];

/// Where processes are killed.
const KILLING: [Trouble; 14] = [
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Signals,
    Trouble::Signals,
    Trouble::Signals,
    Trouble::Upgrade,
    Trouble::Pause,
    Trouble::Reload,
    Trouble::Control,
    Trouble::Drain,
    Trouble::Hang,
    Trouble::Break,
    Trouble::Calls,
];

/// A signal of a series.
#[derive(Clone, Copy, Debug)]
enum Sent {
    HangUp,
    End,
    Pause,
}

const SERIES: [&[Sent]; 5] = [
    &[Sent::HangUp, Sent::HangUp, Sent::End],
    &[Sent::End, Sent::End],
    &[Sent::End, Sent::HangUp],
    &[Sent::Pause, Sent::End, Sent::Pause],
    &[Sent::HangUp, Sent::End, Sent::End, Sent::HangUp],
];
/// The longest pause between two signals of a series, and the longest stand-still, in milliseconds.
const SERIES_GAP_MS: u64 = 120;
const SERIES_PAUSE_MS: u64 = 150;

/// A proxy that was told to end.
struct Ended {
    proxy: usize,
    told: Instant,
}

/// What is in trouble now.
pub struct Troubles<'a> {
    clients: &'a [StrictClients],
    how: Ending,
    down: Vec<usize>,
    ending: Vec<Ended>,
    control: Option<usize>,
    discovery: bool,
    drains: Vec<Drain>,
    hanging: Option<usize>,
    breaking: Option<usize>,
    /// Whether a drain may be told by discovery alone.
    may_cut_control: bool,
    /// Since when the proxies have not heard the control services.
    unheard_since: Option<Instant>,
}

/// The legs of all proxies to the control services.
const CONTROL_LEGS: &str = "ctl:";
/// Long enough that a drain which is not followed meanwhile shows.
const UNHEARD_FOR: Duration = Duration::from_secs(10);

impl<'a> Troubles<'a> {
    pub fn new(clients: &'a [StrictClients], how: Ending, may_cut_control: bool) -> Self {
        let (down, ending, drains) = Default::default();
        let (control, hanging, breaking) = (None, None, None);
        Troubles {
            clients,
            how,
            down,
            ending,
            control,
            discovery: false,
            drains,
            hanging,
            breaking,
            may_cut_control,
            unheard_since: None,
        }
    }

    /// The drains that were told, with when.
    pub fn drains(&mut self) -> Vec<Drain> {
        std::mem::take(&mut self.drains)
    }

    fn whole(&self, proxy: usize) -> bool {
        !self.down.contains(&proxy) && self.ending.iter().all(|ended| ended.proxy != proxy)
    }

    /// Begins one that is drawn; nothing more where it is there already.
    pub async fn begin(&mut self, fleet: &mut Fleet, random: &mut Pcg64Mcg) {
        let all: &[Trouble] = match self.how {
            Ending::Awaited => &ALL,
            Ending::Killed => &KILLING,
        };
        let trouble = all[random.random_range(0..all.len())];
        let proxy = random.random_range(0..fleet.proxies.len());
        let node = random.random_range(0..fleet.nodes.len() - 1);
        fleet.history.note("soak", format!("{trouble:?} proxy {proxy} node {node}"));
        match trouble {
            Trouble::Restart if self.whole(proxy) => self.restart(fleet, proxy).await,
            Trouble::Signals if self.whole(proxy) => self.signals(fleet, proxy, random).await,
            Trouble::Upgrade if self.whole(proxy) => fleet.upgrade_proxy(proxy),
            Trouble::Pause if self.whole(proxy) => {
                let process = fleet.proxies[proxy].process.as_mut().expect("it runs");
                process.stop();
                tokio::time::sleep(Duration::from_millis(random.random_range(20..400))).await;
                process.wake();
            }
            Trouble::Kill if self.whole(proxy) => {
                self.clients[proxy].killed();
                fleet.proxies[proxy].process.as_mut().expect("it runs").kill();
                self.down.push(proxy);
            }
            Trouble::Reload if self.whole(proxy) => reload(fleet, proxy).await,
            Trouble::Control if self.control.is_none() => {
                let n = random.random_range(0..fleet.controls.len());
                let process = fleet.controls[n].process.as_mut().expect("it runs");
                match random.random::<f64>() < 0.7 {
                    true => process.stop(),
                    false => process.kill(),
                }
                self.control = Some(n);
            }
            Trouble::Discovery if !self.discovery && self.drains.iter().all(|d| d.to.is_some()) => {
                fleet.discovery.down(true);
                self.discovery = true;
            }
            Trouble::Drain if !self.discovery => {
                let id = fleet.nodes[node].1.id.clone();
                if self.drains.iter().all(|d| d.node != id) {
                    self.cut_control(fleet, random);
                    fleet.discovery.set(&id, "draining");
                    self.drains.push(Drain { node: id, from: Instant::now(), to: None });
                }
            }
            Trouble::Hang if self.hanging.is_none() => {
                fleet.nodes[node].1.hanging(true);
                self.hanging = Some(node);
            }
            Trouble::Break if self.breaking.is_none() => {
                fleet.nodes[node].1.breaking(300);
                self.breaking = Some(node);
            }
            Trouble::Calls => std::fs::write(switch(), "").expect("written"),
            _ => {}
        }
    }

    /// Cuts all proxies off from the control services, so that discovery alone tells the next drain; or does not.
    fn cut_control(&mut self, fleet: &Fleet, random: &mut Pcg64Mcg) {
        if self.may_cut_control && self.unheard_since.is_none() && random.random::<f64>() < 0.6 {
            fleet.cut(CONTROL_LEGS);
            self.unheard_since = Some(Instant::now());
        }
    }

    /// Lets the proxies hear the control services again.
    pub fn mend_control(&mut self, fleet: &Fleet) {
        if self.unheard_since.take().is_some() {
            fleet.mend(CONTROL_LEGS);
        }
    }

    /// A proxy is told to end; its front goes on sending clients there for a moment.
    async fn restart(&mut self, fleet: &mut Fleet, proxy: usize) {
        let told = Instant::now();
        fleet.proxies[proxy].process.as_mut().expect("it runs").end();
        tokio::time::sleep(FRONT_NOTICES).await;
        self.close(proxy, told);
    }

    /// Signals with short pauses, or none; the front notices a moment after the first that tells the proxy to end.
    async fn signals(&mut self, fleet: &mut Fleet, proxy: usize, random: &mut Pcg64Mcg) {
        let series = SERIES[random.random_range(0..SERIES.len())];
        let mut told = None;
        for signal in series {
            let process = fleet.proxies[proxy].process.as_mut().expect("it runs");
            match signal {
                Sent::HangUp => process.hang_up(),
                Sent::End => {
                    told.get_or_insert_with(Instant::now);
                    process.end();
                }
                Sent::Pause => {
                    process.stop();
                    tokio::time::sleep(Duration::from_millis(random.random_range(20..SERIES_PAUSE_MS))).await;
                    process.wake();
                }
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..SERIES_GAP_MS))).await;
        }
        let told = told.expect("each series tells it to end");
        tokio::time::sleep((told + FRONT_NOTICES).saturating_duration_since(Instant::now())).await;
        self.close(proxy, told);
    }

    /// No new client comes; those that have a connection go on using it for as long as it stays open.
    fn close(&mut self, proxy: usize, told: Instant) {
        self.clients[proxy].open(false);
        self.ending.push(Ended { proxy, told });
    }

    /// Passes the time; who was told to end and has not is killed as soon as that may be.
    pub async fn pass(&mut self, fleet: &mut Fleet, time: Duration) {
        let until = Instant::now() + time;
        while self.how == Ending::Killed {
            let due = self.ending.iter().map(|ended| ended.told + KILLED_AFTER).min();
            let Some(due) = due.filter(|due| *due < until) else { break };
            tokio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            self.kill_due(fleet);
        }
        tokio::time::sleep(until.saturating_duration_since(Instant::now())).await;
    }

    fn kill_due(&mut self, fleet: &mut Fleet) {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ending).into_iter().partition(|ended| ended.told + KILLED_AFTER <= now);
        self.ending = rest;
        for ended in due {
            let process = fleet.proxies[ended.proxy].process.as_mut().expect("it was started");
            if process.runs() {
                self.clients[ended.proxy].killed_in_order();
                process.kill();
            }
            self.down.push(ended.proxy);
        }
    }

    /// Waits for the end of those that were told to end.
    async fn settle(&mut self, fleet: &mut Fleet) {
        if self.how == Ending::Killed {
            let last = self.ending.iter().map(|ended| ended.told + KILLED_AFTER).max();
            let left = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(Instant::now()));
            return self.pass(fleet, left + Duration::from_millis(1)).await;
        }
        for Ended { proxy, .. } in std::mem::take(&mut self.ending) {
            let process = fleet.proxies[proxy].process.as_mut().expect("it runs");
            let well = process.ends_within(ENDS_WITHIN).await;
            assert!(well, "{} did not end well", fleet.proxies[proxy].name);
            self.down.push(proxy);
        }
    }

    /// Mends what can be mended. Drains stay, so that the last request at each of those nodes can be told.
    pub async fn mend(&mut self, fleet: &mut Fleet) {
        let _ = std::fs::remove_file(switch());
        self.settle(fleet).await;
        for proxy in std::mem::take(&mut self.down) {
            fleet.start_proxy(proxy);
            self.clients[proxy].open(true);
        }
        if let Some(n) = self.control.take() {
            match &mut fleet.controls[n].process {
                Some(process) if process.is_stopped() => process.wake(),
                _ => fleet.start_control(n),
            }
        }
        if std::mem::take(&mut self.discovery) {
            fleet.discovery.down(false);
        }
        if self.unheard_since.is_some_and(|since| since.elapsed() >= UNHEARD_FOR) {
            self.mend_control(fleet);
        }
        self.hanging.take().into_iter().for_each(|n| fleet.nodes[n].1.hanging(false));
        self.breaking.take().into_iter().for_each(|n| fleet.nodes[n].1.breaking(0));
    }
}

/// The settings are written in two halves, with a signal behind each.
async fn reload(fleet: &mut Fleet, proxy: usize) {
    let path = fleet.config(proxy).to_owned();
    let whole = std::fs::read_to_string(&path).expect("its settings");
    std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
    fleet.proxies[proxy].process.as_mut().expect("it runs").hang_up();
    tokio::time::sleep(Duration::from_millis(100)).await;
    std::fs::write(&path, whole).expect("written");
}
