//! Simulates three hundred proxies that watch one discovery of limited capacity, in virtual time.

use rushquay_endpoints::{CallFailure, Nanos, WatchMode, WatchSchedule, NOTIFICATION_DEADLINE};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const PROXIES: usize = 300;
/// Discovery processes calls one after another, each in this time.
const CALL_DURATION: Nanos = 4 * MS;
/// Maximum wait in discovery's queue; a call that would wait longer is rejected at once.
const MAX_QUEUE_DELAY: Nanos = SECOND;
/// When the list changes and no open watch is answered any more.
const SILENCE_AT: Nanos = 20 * SECOND;
/// When discovery is down. The list changes just before the end of this time.
const DOWNTIME: (Nanos, Nanos) = (40 * SECOND, 45 * SECOND);
/// When the simulation ends.
const END_AT: Nanos = 60 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallEvent {
    Begin,
    /// Answered with a list of this version.
    Answered(u32),
    Refused,
    Silent,
    Broken,
}

/// The proxies, each with an index into the vectors, and the state of discovery.
struct Fleet {
    schedules: Vec<WatchSchedule>,
    /// The version of each proxy's list.
    known_versions: Vec<u32>,
    /// By version, when each proxy received it.
    known_at: Vec<Vec<Option<Nanos>>>,
    /// The number of each proxy's current call, so that late events of earlier calls are ignored.
    call_numbers: Vec<u32>,
    /// Each proxy's open watch: when it began, and until when discovery holds it.
    open_watches: Vec<Option<(Nanos, Nanos)>>,
    /// When each call of any proxy began.
    call_times: Vec<Nanos>,
    /// Future events: time, proxy, number of the call, event.
    events: BinaryHeap<Reverse<(Nanos, usize, u32, CallEvent)>>,
    /// When discovery has processed all calls in its queue.
    idle_at: Nanos,
    random_state: u64,
    /// The hold and the timeout of each proxy's call.
    call_limits: Vec<(Nanos, Nanos)>,
}

impl Fleet {
    /// A random number from 0 to 1.
    fn next_random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Schedules an event of a proxy's current call.
    fn add(&mut self, at: Nanos, p: usize, event: CallEvent) {
        self.events.push(Reverse((at, p, self.call_numbers[p], event)));
    }

    /// Schedules a proxy's next call.
    fn plan_call(&mut self, p: usize, now: Nanos) {
        let random_numbers = [self.next_random(), self.next_random()];
        let mut drawn = random_numbers.into_iter();
        let next_call = self.schedules[p].next(|| drawn.next().expect("two draws at most"));
        self.call_numbers[p] += 1;
        self.call_limits[p] = (next_call.hold, next_call.timeout);
        self.add(now + next_call.delay, p, CallEvent::Begin);
    }

    /// Begins a proxy's call, while discovery's list has this version.
    fn begin_call(&mut self, p: usize, now: Nanos, version: u32) {
        self.call_times.push(now);
        let (hold, limit) = self.call_limits[p];
        self.add(now + limit, p, CallEvent::Silent);
        if (DOWNTIME.0..DOWNTIME.1).contains(&now) {
            return self.add(now + MS, p, CallEvent::Refused);
        }
        if self.idle_at.saturating_sub(now) > MAX_QUEUE_DELAY {
            return self.add(now + MS, p, CallEvent::Refused);
        }
        self.idle_at = self.idle_at.max(now) + CALL_DURATION;
        if self.known_versions[p] < version || hold == 0 {
            return self.add(self.idle_at, p, CallEvent::Answered(version));
        }
        self.open_watches[p] = Some((now, self.idle_at + hold));
        self.add(self.idle_at + hold, p, CallEvent::Answered(version));
    }

    /// Changes the list, which answers all open watches.
    fn change_list(&mut self, now: Nanos, version: u32) {
        for p in 0..PROXIES {
            if self.open_watches[p].is_some() {
                self.add(now + MS, p, CallEvent::Answered(version));
            }
        }
    }

    /// Runs the simulation.
    fn run(&mut self) {
        let mut version = 0;
        // Times of faults and changes, with the new version of the list; 0: no change.
        let mut incidents =
            [(10 * SECOND, 1), (SILENCE_AT, 2), (DOWNTIME.0, 0), (DOWNTIME.1 - MS, 3), (END_AT, 0)]
                .into_iter();
        let mut next_incident = incidents.next();
        (0..PROXIES).for_each(|p| self.plan_call(p, 0));
        while let Some(Reverse((now, p, call_number, event))) = self.events.pop() {
            while let Some((at, new_version)) = next_incident.filter(|(at, _)| *at <= now) {
                match (at, new_version) {
                    (SILENCE_AT, _) => {
                        // Open watches are never answered; they end by their timeouts.
                        for q in 0..PROXIES {
                            if let Some((since, _)) = self.open_watches[q].take() {
                                self.call_numbers[q] += 1;
                                self.add(since + self.call_limits[q].1, q, CallEvent::Silent);
                            }
                        }
                    }
                    _ if at == DOWNTIME.0 => {
                        for q in 0..PROXIES {
                            if self.open_watches[q].take().is_some() {
                                self.call_numbers[q] += 1;
                                self.add(at, q, CallEvent::Broken);
                            }
                        }
                    }
                    _ => {}
                }
                if new_version > 0 {
                    version = new_version;
                    self.change_list(at, version);
                }
                next_incident = incidents.next();
            }
            if now >= END_AT {
                return;
            }
            if call_number != self.call_numbers[p] {
                continue;
            }
            match event {
                CallEvent::Begin => {
                    self.begin_call(p, now, version);
                    continue;
                }
                CallEvent::Answered(answered_version) => {
                    self.known_versions[p] = self.known_versions[p].max(answered_version);
                    let known_version = self.known_versions[p];
                    (1..=known_version as usize).for_each(|v| {
                        self.known_at[v][p].get_or_insert(now);
                    });
                    self.schedules[p].answered();
                }
                CallEvent::Refused => {
                    self.schedules[p].failed(CallFailure::Rejected);
                }
                CallEvent::Silent => {
                    self.schedules[p].failed(CallFailure::TimedOut);
                }
                CallEvent::Broken => {
                    self.schedules[p].failed(CallFailure::Broken);
                }
            }
            self.open_watches[p] = None;
            self.plan_call(p, now);
        }
    }

    /// The number of calls that began in this interval.
    fn calls_between(&self, from: Nanos, until: Nanos) -> usize {
        self.call_times.iter().filter(|time| (from..until).contains(*time)).count()
    }
}

#[test]
fn three_hundred_proxies_learn_of_each_change_in_time_and_do_not_call_in_step() {
    for seed in 1..=5 {
        let mut fleet = Fleet {
            schedules: vec![WatchSchedule::new(WatchMode::Polled { within: 10 * SECOND }); PROXIES],
            known_versions: vec![0; PROXIES],
            known_at: vec![vec![None; PROXIES]; 4],
            call_numbers: vec![0; PROXIES],
            open_watches: vec![None; PROXIES],
            call_times: Vec::new(),
            events: BinaryHeap::new(),
            idle_at: 0,
            random_state: seed,
            call_limits: vec![(0, 0); PROXIES],
        };
        fleet.run();
        for (version, reachable_at) in [(1, 10 * SECOND), (2, SILENCE_AT), (3, DOWNTIME.1)] {
            let last_known_at =
                fleet.known_at[version].iter().map(|at| at.expect("known to all")).max().expect("proxies");
            let latency_ms = (last_known_at - reachable_at) / MS;
            println!(
                "seed {seed}: change {version} was known to all {PROXIES} proxies after {latency_ms} ms"
            );
            assert!(
                last_known_at <= reachable_at + NOTIFICATION_DEADLINE,
                "seed {seed}: change {version} known after {latency_ms} ms"
            );
        }
        // Without changes and faults, each proxy renews its watch whenever it ends.
        let quiet_rate = fleet.calls_between(14 * SECOND, 19 * SECOND) / 5;
        println!(
            "seed {seed}: {quiet_rate} calls per second without changes, {} calls in total",
            fleet.call_times.len()
        );
        assert!(quiet_rate <= PROXIES / 2, "{quiet_rate} calls per second");
        // A change that all proxies receive at once makes them all renew their watches at once. These intervals omit such
        // times: no other event may make the proxies call in step.
        let intervals_ms =
            [(0, 9_900), (14_000, 19_900), (20_010, 22_000), (45_000, 45_900), (48_000, 60_000)];
        for (from, until) in intervals_ms {
            let peak = (from..until).step_by(10).map(|ms| fleet.calls_between(ms * MS, (ms + 50) * MS)).max();
            println!("seed {seed}: at most {peak:?} calls within 50 ms between {from} and {until} ms");
            assert!(peak <= Some(PROXIES / 4), "{peak:?} calls within 50 ms between {from} and {until} ms");
        }
    }
}
