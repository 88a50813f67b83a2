//! Three hundred proxies watch one discovery of limited capacity, on one virtual clock.

use rushquay_endpoints::{CallFailure, Nanos, WatchMode, WatchSchedule, NOTIFICATION_DEADLINE};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const PROXIES: usize = 300;
/// Discovery processes calls one after another, each for this long.
const EACH: Nanos = 4 * MS;
/// A call that would wait for longer than this is rejected at once.
const QUEUE: Nanos = SECOND;
/// When all open watches fall silent, and the list changes.
const SILENCE: Nanos = 20 * SECOND;
/// When discovery is down, and the list changes just before its end.
const DOWN: (Nanos, Nanos) = (40 * SECOND, 45 * SECOND);
const END: Nanos = 60 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallEvent {
    Begin,
    Answered(u32),
    Refused,
    Silent,
    Broken,
}

struct Fleet {
    follows: Vec<WatchSchedule>,
    known: Vec<u32>,
    /// By version: when each proxy knew it.
    when: Vec<Vec<Option<Nanos>>>,
    /// Numbers each proxy's calls, so that late events of a finished call are ignored.
    calls: Vec<u32>,
    /// Open calls: since when, and until when discovery waits.
    open: Vec<Option<(Nanos, Nanos)>>,
    begun: Vec<Nanos>,
    due: BinaryHeap<Reverse<(Nanos, usize, u32, CallEvent)>>,
    free: Nanos,
    random: u64,
    /// The hold and the timeout of each proxy's call.
    limit: Vec<(Nanos, Nanos)>,
}

impl Fleet {
    fn chance(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn add(&mut self, at: Nanos, p: usize, what: CallEvent) {
        self.due.push(Reverse((at, p, self.calls[p], what)));
    }

    /// Schedules a proxy's next call.
    fn plan(&mut self, p: usize, now: Nanos) {
        let chances = [self.chance(), self.chance()];
        let mut drawn = chances.into_iter();
        let step = self.follows[p].next(|| drawn.next().expect("two draws at most"));
        self.calls[p] += 1;
        self.limit[p] = (step.hold, step.limit);
        self.add(now + step.wait, p, CallEvent::Begin);
    }

    fn begin(&mut self, p: usize, now: Nanos, version: u32) {
        self.begun.push(now);
        let (hold, limit) = self.limit[p];
        self.add(now + limit, p, CallEvent::Silent);
        if (DOWN.0..DOWN.1).contains(&now) {
            return self.add(now + MS, p, CallEvent::Refused);
        }
        if self.free.saturating_sub(now) > QUEUE {
            return self.add(now + MS, p, CallEvent::Refused);
        }
        self.free = self.free.max(now) + EACH;
        if self.known[p] < version || hold == 0 {
            return self.add(self.free, p, CallEvent::Answered(version));
        }
        self.open[p] = Some((now, self.free + hold));
        self.add(self.free + hold, p, CallEvent::Answered(version));
    }

    /// The list has changed: open watches are answered in turn.
    fn change(&mut self, now: Nanos, version: u32) {
        for p in 0..PROXIES {
            if self.open[p].is_some() {
                self.add(now + MS, p, CallEvent::Answered(version));
            }
        }
    }

    fn play(&mut self) {
        let mut version = 0;
        let mut news = [(10 * SECOND, 1), (SILENCE, 2), (DOWN.0, 0), (DOWN.1 - MS, 3), (END, 0)].into_iter();
        let mut next = news.next();
        (0..PROXIES).for_each(|p| self.plan(p, 0));
        while let Some(Reverse((now, p, call, what))) = self.due.pop() {
            while let Some((at, to)) = next.filter(|(at, _)| *at <= now) {
                match (at, to) {
                    (SILENCE, _) => {
                        // Open calls are never answered: they end by their timeouts alone.
                        for q in 0..PROXIES {
                            if let Some((since, _)) = self.open[q].take() {
                                self.calls[q] += 1;
                                self.add(since + self.limit[q].1, q, CallEvent::Silent);
                            }
                        }
                    }
                    _ if at == DOWN.0 => {
                        for q in 0..PROXIES {
                            if self.open[q].take().is_some() {
                                self.calls[q] += 1;
                                self.add(at, q, CallEvent::Broken);
                            }
                        }
                    }
                    _ => {}
                }
                if to > 0 {
                    version = to;
                    self.change(at, version);
                }
                next = news.next();
            }
            if now >= END {
                return;
            }
            if call != self.calls[p] {
                continue;
            }
            match what {
                CallEvent::Begin => {
                    self.begin(p, now, version);
                    continue;
                }
                CallEvent::Answered(told) => {
                    self.known[p] = self.known[p].max(told);
                    let known = self.known[p];
                    (1..=known as usize).for_each(|v| {
                        self.when[v][p].get_or_insert(now);
                    });
                    self.follows[p].answered();
                }
                CallEvent::Refused => {
                    self.follows[p].failed(CallFailure::Refused);
                }
                CallEvent::Silent => {
                    self.follows[p].failed(CallFailure::Silent);
                }
                CallEvent::Broken => {
                    self.follows[p].failed(CallFailure::Broken);
                }
            }
            self.open[p] = None;
            self.plan(p, now);
        }
    }

    fn within(&self, from: Nanos, until: Nanos) -> usize {
        self.begun.iter().filter(|b| (from..until).contains(*b)).count()
    }
}

#[test]
fn three_hundred_proxies_notice_each_change_in_time_and_do_not_call_in_step() {
    for seed in 1..=5 {
        let mut fleet = Fleet {
            follows: vec![WatchSchedule::new(WatchMode::Asked { within: 10 * SECOND }); PROXIES],
            known: vec![0; PROXIES],
            when: vec![vec![None; PROXIES]; 4],
            calls: vec![0; PROXIES],
            open: vec![None; PROXIES],
            begun: Vec::new(),
            due: BinaryHeap::new(),
            free: 0,
            random: seed,
            limit: vec![(0, 0); PROXIES],
        };
        fleet.play();
        for (version, reached) in [(1, 10 * SECOND), (2, SILENCE), (3, DOWN.1)] {
            let last = fleet.when[version].iter().map(|w| w.expect("known at last")).max().expect("proxies");
            let took = (last - reached) / MS;
            println!("seed {seed}, change {version}: the last of {PROXIES} knew after {took} ms");
            assert!(
                last <= reached + NOTIFICATION_DEADLINE,
                "seed {seed}: change {version} known after {took} ms"
            );
        }
        // Nothing happens in this interval: each proxy has one watch after another.
        let quiet = fleet.within(14 * SECOND, 19 * SECOND) / 5;
        println!("seed {seed}: {quiet} calls a second in quiet, {} in all", fleet.begun.len());
        assert!(quiet <= PROXIES / 2, "{quiet} calls a second");
        // A change that all proxies receive at once makes all of them renew their watches at once; nothing else may.
        let times = [(0, 9_900), (14_000, 19_900), (20_010, 22_000), (45_000, 45_900), (48_000, 60_000)];
        for (from, until) in times {
            let peak = (from..until).step_by(10).map(|ms| fleet.within(ms * MS, (ms + 50) * MS)).max();
            println!("seed {seed}: {peak:?} calls within 50 ms at most between {from} and {until} ms");
            assert!(peak <= Some(PROXIES / 4), "{peak:?} calls within 50 ms between {from} and {until} ms");
        }
    }
}
