//! A hundred proxies and sixty nodes with scarce room for connections, in steps of virtual time.

use proptest::prelude::*;
use rushquay_fleet_budget::{Jitter, Nanos};

const MS: Nanos = 1_000_000;
const LONGEST: Nanos = 11_000 * MS;

struct World {
    keeps: Vec<Jitter>,
    /// When each proxy last used its connection to each node; 0: it has none.
    used: Vec<Vec<Nanos>>,
    /// How many requests it has carried.
    uses: Vec<Vec<u32>>,
    open: Vec<usize>,
    room: usize,
    now: Nanos,
    random: fastrand::Rng,
}

impl World {
    fn new(proxies: usize, nodes: usize, room: usize, seed: u64) -> Self {
        let keeps = vec![Jitter::new(LONGEST, proxies as u32); proxies];
        let (used, open) = (vec![vec![0; nodes]; proxies], vec![0; nodes]);
        let uses = vec![vec![0; nodes]; proxies];
        World { keeps, used, uses, open, room, now: MS, random: fastrand::Rng::with_seed(seed) }
    }

    /// Plays so long, `each` requests a second by every proxy; returns (requests, handshakes, turned away).
    fn play(&mut self, span: Nanos, each: u64, steered: bool) -> (u64, u64, u64) {
        let (mut requests, mut handshakes, mut away) = (0, 0, 0);
        let end = self.now + span;
        let step = 1_000 * MS / each / self.keeps.len() as u64;
        while self.now < end {
            self.now += step;
            let (proxy, node) = (self.random.usize(..self.keeps.len()), self.random.usize(..self.open.len()));
            requests += 1;
            // What has been idle for too long is closed, wherever it is.
            for p in 0..self.keeps.len() {
                let idle = self.now - self.used[p][node];
                if self.used[p][node] > 0 && idle > if steered { self.keeps[p].span() } else { LONGEST } {
                    self.used[p][node] = 0;
                    self.open[node] -= 1;
                }
            }
            if self.used[proxy][node] == 0 {
                handshakes += 1;
                if self.open[node] >= self.room {
                    away += 1;
                    self.keeps[proxy].turned_away();
                    continue;
                }
                self.keeps[proxy].taken();
                self.open[node] += 1;
                self.uses[proxy][node] = 0;
            }
            self.used[proxy][node] = self.now;
            self.uses[proxy][node] += 1;
            if steered && self.uses[proxy][node] >= self.keeps[proxy].uses() {
                self.used[proxy][node] = 0;
                self.open[node] -= 1;
            }
        }
        (requests, handshakes, away)
    }
}

#[test]
fn a_hundred_proxies_leave_one_another_room() {
    // Danger: kept for as long as nodes allow, idle connections fill every node, and whoever has none is turned away.
    let (requests, _, away) = World::new(100, 60, 50, 1).play(20_000 * MS, 16, false);
    assert!(
        away * 5 > requests,
        "{away} of {requests} turned away without it: the world is not short of room"
    );
    let (requests, handshakes, away) = World::new(100, 60, 50, 1).play(20_000 * MS, 16, true);
    assert!(away * 10 < requests, "{away} of {requests} turned away");
    assert!(handshakes * 4 < requests * 3, "{handshakes} handshakes for {requests} requests");
}

#[test]
fn a_node_that_all_ask_often_has_room_for_all() {
    // Danger: at the origin those who hold a connection never learn that others find none.
    let (mut world, mut turned) = (World::new(100, 1, 60, 4), Vec::new());
    world.play(20_000 * MS, 5, true);
    for _ in 0..10 {
        let (requests, _, away) = world.play(4_000 * MS, 5, true);
        turned.push(away as f64 / requests as f64);
    }
    let mean = turned.iter().sum::<f64>() / 10.0;
    assert!(mean < 0.12, "{turned:?} of the requests turned away");
}

#[test]
fn few_proxies_keep_theirs_for_as_long_as_they_may() {
    let mut world = World::new(7, 45, 100, 2);
    let (_, _, away) = world.play(20_000 * MS, 250, true);
    assert_eq!(away, 0);
    assert!(world.keeps.iter().all(|k| k.span() == LONGEST));
}

#[test]
fn the_span_comes_back_when_there_is_room_again() {
    let mut world = World::new(100, 60, 20, 3);
    world.play(20_000 * MS, 16, true);
    let short = world.keeps.iter().map(Jitter::span).max();
    world.room = 100;
    world.play(60_000 * MS, 16, true);
    let long = world.keeps.iter().map(Jitter::span).min();
    assert!(long > short, "{short:?} with room for 20, {long:?} with room for 100");
}

proptest! {
    #[test]
    fn the_span_stays_between_its_bounds(proxies in 0u32..10_000, met in prop::collection::vec(any::<bool>(), 0..400)) {
        let mut keep = Jitter::new(LONGEST, proxies);
        for taken in met {
            let before = keep.span();
            if taken { keep.taken() } else { keep.turned_away() }
            let ordered = if taken { keep.span() >= before } else { keep.span() <= before };
            prop_assert!(ordered);
            prop_assert!((LONGEST / 200..=LONGEST).contains(&keep.span()));
        }
    }
}
