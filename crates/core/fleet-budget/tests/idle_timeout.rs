//! Simulates, in steps of virtual time, proxies that share endpoints with few connection slots.

use proptest::prelude::*;
use rushquay_fleet_budget::{IdleTimeout, Nanos};

const MILLISECOND: Nanos = 1_000_000;
const MAX_TIMEOUT: Nanos = 11_000 * MILLISECOND;

struct Simulation {
    timeouts: Vec<IdleTimeout>,
    /// When each proxy last used its connection to each endpoint; 0 if it has none.
    last_used: Vec<Vec<Nanos>>,
    /// Number of requests sent on that connection.
    uses: Vec<Vec<u32>>,
    /// Open connections at each endpoint.
    open: Vec<usize>,
    /// Maximum number of connections of each endpoint.
    capacity: usize,
    now: Nanos,
    random: fastrand::Rng,
}

impl Simulation {
    fn new(proxies: usize, nodes: usize, capacity: usize, seed: u64) -> Self {
        let timeouts = vec![IdleTimeout::new(MAX_TIMEOUT, proxies as u32); proxies];
        let (last_used, open) = (vec![vec![0; nodes]; proxies], vec![0; nodes]);
        let uses = vec![vec![0; nodes]; proxies];
        Simulation {
            timeouts,
            last_used,
            uses,
            open,
            capacity,
            now: MILLISECOND,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Runs for `duration`, with an average of `rate` requests per second from each proxy; returns the numbers of requests,
    /// handshakes and rejected connections. Unless `adaptive` is set, idle connections are kept for the maximum timeout.
    fn run(&mut self, duration: Nanos, rate: u64, adaptive: bool) -> (u64, u64, u64) {
        let (mut requests, mut handshakes, mut rejected) = (0, 0, 0);
        let end = self.now + duration;
        let step = 1_000 * MILLISECOND / rate / self.timeouts.len() as u64;
        while self.now < end {
            self.now += step;
            let (proxy, node) =
                (self.random.usize(..self.timeouts.len()), self.random.usize(..self.open.len()));
            requests += 1;
            // Close the connections to this endpoint that have been idle for too long.
            for other in 0..self.timeouts.len() {
                let idle = self.now - self.last_used[other][node];
                if self.last_used[other][node] > 0
                    && idle > if adaptive { self.timeouts[other].timeout() } else { MAX_TIMEOUT }
                {
                    self.last_used[other][node] = 0;
                    self.open[node] -= 1;
                }
            }
            if self.last_used[proxy][node] == 0 {
                handshakes += 1;
                if self.open[node] >= self.capacity {
                    rejected += 1;
                    self.timeouts[proxy].connection_rejected();
                    continue;
                }
                self.timeouts[proxy].connection_accepted();
                self.open[node] += 1;
                self.uses[proxy][node] = 0;
            }
            self.last_used[proxy][node] = self.now;
            self.uses[proxy][node] += 1;
            if adaptive && self.uses[proxy][node] >= self.timeouts[proxy].max_requests() {
                self.last_used[proxy][node] = 0;
                self.open[node] -= 1;
            }
        }
        (requests, handshakes, rejected)
    }
}

#[test]
fn a_hundred_proxies_leave_connections_for_each_other() {
    // Danger: if idle connections are kept for as long as endpoints allow, they use up the slots of every endpoint, and
    // connections of other proxies are rejected.
    let (requests, _, rejected) = Simulation::new(100, 60, 50, 1).run(20_000 * MILLISECOND, 16, false);
    assert!(
        rejected * 5 > requests,
        "{rejected} of {requests} rejected with a fixed timeout: connections are not scarce in this simulation"
    );
    let (requests, handshakes, rejected) =
        Simulation::new(100, 60, 50, 1).run(20_000 * MILLISECOND, 16, true);
    assert!(rejected * 10 < requests, "{rejected} of {requests} rejected");
    assert!(handshakes * 4 < requests * 3, "{handshakes} handshakes for {requests} requests");
}

#[test]
fn an_endpoint_used_often_by_all_proxies_accepts_connections_of_all() {
    // Danger: at a busy endpoint such as the origin, a proxy with an open connection never opens another one, so it does not
    // detect that other proxies get none.
    let (mut simulation, mut rejected_shares) = (Simulation::new(100, 1, 60, 4), Vec::new());
    simulation.run(20_000 * MILLISECOND, 5, true);
    for _ in 0..10 {
        let (requests, _, rejected) = simulation.run(4_000 * MILLISECOND, 5, true);
        rejected_shares.push(rejected as f64 / requests as f64);
    }
    let mean = rejected_shares.iter().sum::<f64>() / 10.0;
    assert!(mean < 0.12, "shares of requests rejected: {rejected_shares:?}");
}

#[test]
fn a_small_fleet_keeps_the_maximum_idle_timeout() {
    let mut simulation = Simulation::new(7, 45, 100, 2);
    let (_, _, rejected) = simulation.run(20_000 * MILLISECOND, 250, true);
    assert_eq!(rejected, 0);
    assert!(simulation.timeouts.iter().all(|timeout| timeout.timeout() == MAX_TIMEOUT));
}

#[test]
fn the_idle_timeout_recovers_when_capacity_grows() {
    let mut simulation = Simulation::new(100, 60, 20, 3);
    simulation.run(20_000 * MILLISECOND, 16, true);
    let longest_before = simulation.timeouts.iter().map(IdleTimeout::timeout).max();
    simulation.capacity = 100;
    simulation.run(60_000 * MILLISECOND, 16, true);
    let shortest_after = simulation.timeouts.iter().map(IdleTimeout::timeout).min();
    assert!(
        shortest_after > longest_before,
        "{longest_before:?} with capacity 20, {shortest_after:?} with capacity 100"
    );
}

proptest! {
    #[test]
    fn the_idle_timeout_stays_within_its_bounds(
        proxies in 0u32..10_000,
        outcomes in prop::collection::vec(any::<bool>(), 0..400),
    ) {
        let mut timeout = IdleTimeout::new(MAX_TIMEOUT, proxies);
        for accepted in outcomes {
            let before = timeout.timeout();
            if accepted { timeout.connection_accepted() } else { timeout.connection_rejected() }
            let is_ordered = if accepted { timeout.timeout() >= before } else { timeout.timeout() <= before };
            prop_assert!(is_ordered);
            prop_assert!((MAX_TIMEOUT / 200..=MAX_TIMEOUT).contains(&timeout.timeout()));
        }
    }
}
