//! A node that has just started, and all proxies together on one virtual clock: what they send it stays within what the settings
//! allow and what chance explains.

mod common;
use common::*;
use rushquay::api::*;
use rushquay::Balancer;
use std::collections::BTreeMap;

const NODES: u64 = 16;
const START: Nanos = 1000 * SECOND;
/// When one node is new, and another comes back under its id.
const COLD: Nanos = 20 * SECOND;
/// When some proxies are started anew, knowing nothing.
const RESTART: Nanos = 23 * SECOND;
const END: Nanos = 48 * SECOND;

fn rules(proxies: usize) -> Settings {
    let class = Class {
        latency_objective: 300 * MS,
        deadline: 800 * MS,
        worth: 1.0,
        late_value: 0.5,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        proxies: proxies as u32,
        max_attempts: 4,
        allows_cancel: true,
        initial_capacity_fraction: 0.12,
        warm_up_time: 23 * SECOND,
        overload_multiple: 3.0,
        overload_window: 3 * SECOND,
        max_subscribe_delay: 10 * SECOND,
        ..Settings::default()
    }
}

enum What {
    Ask(usize),
    End(usize, RequestId, ServerId, Status),
    Timer(usize, u64),
    Cold,
    Restart,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Day {
    proxies: usize,
    /// What a warm node can do, requests a second.
    capacity: f64,
    /// When a burst begins, much of it for keys of the cold nodes.
    burst: Nanos,
    seed: u64,
}

struct World {
    day: Day,
    settings: Settings,
    proxies: Vec<Balancer>,
    /// Counts the processes of each proxy: what is due for one before is passed over.
    life: Vec<u64>,
    /// Of all requests, by proxy: its part.
    shares: Vec<f64>,
    list: Vec<Entry>,
    due: BTreeMap<(Nanos, u64), (u64, What)>,
    made: u64,
    next: RequestId,
    random: fastrand::Rng,
    /// What each node still takes in this second.
    left: BTreeMap<ServerId, (u64, f64)>,
    sends: Vec<(Nanos, ServerId)>,
    attempts: BTreeMap<(usize, RequestId), u32>,
}

/// What the whole fleet is asked at a moment, as a part of what all nodes can do.
fn load(day: &Day, now: Nanos) -> f64 {
    match now - START {
        t if t < COLD => 0.6,
        t if t < day.burst => 0.3,
        t if t < day.burst + 8 * SECOND => 1.4,
        _ => 0.8,
    }
}

impl World {
    fn new(day: Day) -> Self {
        let proxies = day.proxies;
        let mut random = fastrand::Rng::with_seed(day.seed);
        // Some see several times the mean.
        let shares: Vec<f64> = (0..proxies).map(|_| 0.3 + 4.0 * random.f64().powi(4)).collect();
        let sum: f64 = shares.iter().sum();
        let list = entries(0..NODES).into_iter().map(|e| Entry { zone: 0, kind: 0, ..e }).collect();
        let mut world = World {
            day,
            settings: rules(proxies),
            proxies: Vec::new(),
            life: vec![0; proxies],
            shares: shares.into_iter().map(|s| s / sum).collect(),
            list,
            due: BTreeMap::new(),
            made: 0,
            next: 0,
            random,
            left: BTreeMap::new(),
            sends: Vec::new(),
            attempts: BTreeMap::new(),
        };
        for p in 0..proxies {
            let fresh = world.fresh(p, START);
            world.proxies.push(fresh);
            world.ask_next(p, START);
        }
        world.add(START + COLD, 0, What::Cold);
        world.add(START + RESTART, 0, What::Restart);
        world
    }

    fn fresh(&mut self, p: usize, now: Nanos) -> Balancer {
        let settings = Settings { proxy_index: p as u32, ..self.settings.clone() };
        let mut balancer = Balancer::new(settings, self.random.u64(..));
        let event = Event::List { kind: ListKind::Cached, entries: self.list.clone() };
        balancer.handle(now, event, &mut Vec::new());
        balancer
    }

    fn add(&mut self, at: Nanos, p: usize, what: What) {
        self.made += 1;
        self.due.insert((at, self.made), (self.life[p], what));
    }

    /// Requests come by chance, at the proxy's part of the fleet's rate.
    fn ask_next(&mut self, p: usize, now: Nanos) {
        let rate = load(&self.day, now) * self.day.capacity * NODES as f64 * self.shares[p];
        let wait = -(1.0 - self.random.f64()).ln() / rate;
        // The rate may change meanwhile: look again soon.
        let wait = (wait * SECOND as f64) as Nanos;
        self.add(now + wait.max(1), p, What::Ask(p));
    }

    /// Keys that go to these nodes first, were they warm.
    fn keys_of(&mut self, servers: &[ServerId], came: &Entry) -> Vec<u64> {
        self.list.push(Entry { started_at: 0, ..came.clone() });
        let mut probe = self.fresh(0, START);
        self.list.pop();
        let key = |n: u64| n.wrapping_mul(0x2545_f491_4f6c_dd1d);
        let first = |n: &u64| {
            let request = Request { id: *n, key: Some(key(*n)), remaining: 800 * MS, ..Request::default() };
            let mut actions = Vec::new();
            probe.handle(START + n * SECOND, Event::Arrival(request), &mut actions);
            sent(&actions).is_some_and(|s| servers.contains(&s))
        };
        (1..2000u64).filter(first).take(80).map(key).collect()
    }

    /// In the burst much is for keys of the cold nodes.
    fn key(&mut self, now: Nanos, cold: &[ServerId], hot: &[u64]) -> u64 {
        let burst = (START + self.day.burst..START + self.day.burst + 8 * SECOND).contains(&now);
        if burst && !cold.is_empty() && self.random.f64() < 0.4 {
            return hot[self.random.usize(..hot.len())];
        }
        (2000f64.powf(self.random.f64()) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    fn play(&mut self) -> Vec<(ServerId, Nanos)> {
        let back = self.list[1].server;
        let came = Entry { zone: 0, kind: 0, started_at: START + COLD, ..entry(100) };
        let mut cold: Vec<ServerId> = Vec::new();
        let hot = self.keys_of(&[back, came.server], &came);
        while let Some(((now, _), (life, what))) = self.due.pop_first() {
            if now >= START + END {
                break;
            }
            let (p, event) = match what {
                What::Cold => {
                    self.list[1].started_at = START + COLD;
                    self.list.push(came.clone());
                    cold = vec![back, came.server];
                    let news = vec![self.list[1].clone(), came.clone()];
                    for b in &mut self.proxies {
                        let event = Event::List { kind: ListKind::Delta, entries: news.clone() };
                        b.handle(now, event, &mut Vec::new());
                    }
                    continue;
                }
                What::Restart => {
                    for p in 0..self.proxies.len() {
                        if self.random.f64() < 0.4 {
                            self.life[p] += 1;
                            self.proxies[p] = self.fresh(p, now);
                            self.ask_next(p, now);
                        }
                    }
                    continue;
                }
                What::Ask(p) if life == self.life[p] => {
                    self.ask_next(p, now);
                    self.next += 1;
                    let key = self.key(now, &cold, &hot);
                    let request =
                        Request { id: self.next, key: Some(key), remaining: 800 * MS, ..Request::default() };
                    (p, Event::Arrival(request))
                }
                What::Timer(p, token) if life == self.life[p] => (p, Event::Timer(token)),
                What::End(p, id, server, status) if life == self.life[p] => {
                    let attempt = self.attempts.entry((p, id)).or_default();
                    let n = *attempt;
                    *attempt += 1;
                    let last = status == Status::Ok;
                    let event = Event::Outcome {
                        id,
                        attempt: n,
                        server,
                        status,
                        elapsed: 25 * MS,
                        last,
                        hit: Some(true),
                    };
                    (p, event)
                }
                _ => continue,
            };
            let mut actions = Vec::new();
            self.proxies[p].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, server, .. } => {
                        self.sends.push((now, server));
                        let status = if self.takes(server, now) { Status::Ok } else { Status::Full };
                        self.add(now + 25 * MS, p, What::End(p, id, server, status));
                    }
                    Action::Timer { token, delay } => self.add(now + delay, p, What::Timer(p, token)),
                    _ => {}
                }
            }
        }
        cold.into_iter().map(|server| (server, START + COLD)).collect()
    }

    /// A node takes what it can in a second, and turns the rest away.
    fn takes(&mut self, server: ServerId, now: Nanos) -> bool {
        let (second, capacity) = (now / SECOND, self.day.capacity);
        let left = self.left.entry(server).or_insert((second, capacity));
        if left.0 != second {
            *left = (second, capacity);
        }
        left.1 -= 1.0;
        left.1 >= 0.0
    }

    /// The most that was sent within the time in which a node falls, as a part of what the settings allow and chance explains;
    /// and how much of what it is due was sent to it in all.
    fn worst(&self, server: ServerId, came: Nanos) -> (f64, f64) {
        let s = &self.settings;
        let at: Vec<Nanos> =
            self.sends.iter().filter(|(at, to)| *to == server && *at >= came).map(|s| s.0).collect();
        let mut worst: f64 = 0.0;
        for (n, from) in at.iter().enumerate() {
            let age = (from - came) as f64 / s.warm_up_time as f64;
            let warmth = (s.initial_capacity_fraction + (1.0 - s.initial_capacity_fraction) * age).min(1.0);
            let allowed =
                s.overload_multiple * warmth * self.day.capacity * s.overload_window as f64 / SECOND as f64;
            let sent = at[n..].iter().take_while(|t| **t < from + s.overload_window).count() as f64;
            worst = worst.max(sent / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
        (
            worst,
            at.len() as f64 / self.sends.iter().filter(|(at, _)| *at >= came).count() as f64 * NODES as f64,
        )
    }
}

#[test]
fn all_proxies_together_spare_a_cold_node_and_still_warm_it() {
    for proxies in [2, 7, 30, 300] {
        for (capacity, burst) in [(40.0, 25), (40.0, 35), (6.0, 25), (6.0, 35)] {
            let (mut worst, mut least): (f64, f64) = (0.0, f64::MAX);
            for seed in 1..=6 {
                let mut world = World::new(Day { proxies, capacity, burst: burst * SECOND, seed });
                for (server, came) in world.play() {
                    let (most, part) = world.worst(server, came);
                    (worst, least) = (worst.max(most), least.min(part));
                }
            }
            println!(
                "{proxies} proxies, {capacity} a second, burst at {burst} s: {worst:.2} of what is allowed at most, at least \
                 {least:.2} of an even part"
            );
            assert!(worst <= 1.0, "{worst:.2} times what is allowed");
            assert!(least >= 0.2, "{least:.2} of an even part");
        }
    }
}
