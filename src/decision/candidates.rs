//! Buckets of keys and the endpoints that are candidates of each.

use super::*;

/// Candidates of a bucket.
pub(super) const SIGMA: usize = 2;
/// How much better than the first its window must make a later candidate of an undecided bucket look. Danger:
/// with many proxies each sees few requests of a bucket; those that try in turn fill every candidate with a
/// copy, and the origin pays for each.
pub(super) const PLACE: f64 = 0.25;
/// Key buckets; a bucket's state exists only once it was used.
pub(super) const BUCKETS: u64 = 1 << 13;
/// Servers ranked for each bucket: candidates first, then stand-ins.
pub(super) const RANKED: usize = 16;
/// A bucket's part of one server's even share that it may bring before it is spread.
pub(super) const HOT: f64 = 0.25;
/// How much sooner it is spread for the price of crossing zones: a copy in each zone saves crossings.
pub(super) const ZONE_COPY: f64 = 20.0;

/// Where a bucket stands in the hash: alike in every scope, so that scopes share copies where they may.
pub(super) fn place(bucket: u32) -> u64 {
    u64::from(bucket) % BUCKETS
}

#[derive(Default)]
pub(super) struct Bucket {
    pub(super) version: u64,
    pub(super) ranked: Vec<u32>,
    pub(super) windows: [Window; SIGMA],
    pub(super) pin: Option<ServerId>,
    pub(super) count: Fading,
    pub(super) turn: u32,
    /// Whether its last read was answered, so that a server surely holds it.
    pub(super) held: bool,
    pub(super) read: bool,
}

impl Balancer {
    /// Goes by these settings, and finds which classes share servers.
    pub(super) fn scope(&mut self, settings: Settings) {
        let like = |c: &Class| settings.classes.iter().position(|o| o.placed_as(c)).unwrap_or(0);
        self.scopes = settings.classes.iter().map(like).collect();
        self.settings = Rc::new(settings);
    }

    /// The bucket of a key for a class: buckets of another scope have candidates and pins of their own.
    pub(super) fn bucket(&self, class: usize, key: u64) -> u32 {
        let scope = self.scopes.get(class).map_or(0, |s| s + 1) as u64;
        (scope * BUCKETS + mix(key) % BUCKETS) as u32
    }

    /// Ranks the servers open to a bucket's classes by weighted rendezvous: the same at every proxy, whatever
    /// lists it saw.
    pub(super) fn rank(&mut self, b: u32) {
        let mut bucket = self.buckets.remove(&b).unwrap_or_default();
        if bucket.version != self.version || bucket.ranked.is_empty() {
            let (salt, classes) = (mix(place(b) ^ 0x5ca1_ab1e), &self.settings.classes);
            let class = (u64::from(b) / BUCKETS).checked_sub(1).and_then(|c| classes.get(c as usize));
            let fits = |s: &Server| self.ranks(s) && self.open_to(class, s);
            let mut best: Vec<(f64, u32)> = Vec::with_capacity(RANKED + 1);
            for (i, s) in self.servers.iter().enumerate().filter(|(_, s)| fits(s)) {
                // Danger: what only some servers may serve needs these; others' keys would crowd them.
                let firsts = self.scopes.iter().enumerate().filter(|(c, first)| c == *first);
                let scopes = firsts.filter(|(c, _)| self.open_to(classes.get(*c), s)).count().max(1);
                let score = -unit(mix(salt ^ s.entry.server)).ln() * s.inverse_weight * scopes as f64;
                if best.len() < RANKED || score < best[RANKED - 1].0 {
                    let at = best.partition_point(|x| x.0 <= score);
                    best.insert(at, (score, i as u32));
                    best.truncate(RANKED);
                }
            }
            bucket.ranked = best.into_iter().map(|x| x.1).collect();
            bucket.version = self.version;
        }
        self.buckets.insert(b, bucket);
    }

    /// The candidates of a bucket now: the first SIGMA ranked servers that are admitted to it.
    pub(super) fn candidates(&mut self, now: Nanos, b: u32) -> Vec<u32> {
        let Some(bucket) = self.buckets.get(&b) else { return Vec::new() };
        let admitted = |i: &&u32| self.admitted(now, b, &self.servers[**i as usize]);
        let found: Vec<u32> = bucket.ranked.iter().filter(admitted).take(SIGMA).copied().collect();
        let ids: Vec<ServerId> = found.iter().map(|&i| self.servers[i as usize].entry.server).collect();
        let Some(bucket) = self.buckets.get_mut(&b) else { return found };
        if bucket.windows.iter().map(|w| w.server).ne(ids.iter().copied()) {
            let old = bucket.windows;
            bucket.windows = [Window::default(); SIGMA];
            for (w, id) in bucket.windows.iter_mut().zip(&ids) {
                let kept = old.iter().find(|o| o.server == *id).copied();
                *w = kept.unwrap_or(Window { server: *id, ..Window::default() });
            }
            // Reopen when the winner left the candidates.
            if bucket.pin.is_some_and(|p| !ids.contains(&p)) {
                bucket.pin = None;
            }
        }
        found
    }

    /// The order in which a bucket's candidates are asked: the winner, or while undecided the best window,
    /// the hash order breaking ties so that proxies tend to the same winner.
    pub(super) fn turn(&self, b: u32, candidates: &mut [u32]) {
        let Some(bucket) = self.buckets.get(&b) else { return };
        let merit = |i: u32| {
            let entry = &self.servers[i as usize].entry;
            if bucket.pin == Some(entry.server) {
                return -1.0;
            }
            let place = bucket.windows.iter().position(|w| w.server == entry.server).unwrap_or(SIGMA);
            let w = bucket.windows.get(place).copied().unwrap_or_default();
            let misses = 1.0 - (f64::from(w.outcomes.count_ones()) + 1.0) / (f64::from(w.seen) + 2.0);
            misses + PLACE * place as f64
        };
        candidates.sort_by(|a, b| merit(*a).total_cmp(&merit(*b)));
    }

    /// Counts a request of a bucket; returns how many servers it is worth.
    pub(super) fn counted(&mut self, now: Nanos, b: u32) -> usize {
        let (all, live) = (self.count.sum, self.live);
        let hot = HOT / (1.0 + ZONE_COPY * self.settings.cross_zone_price.max(0.0));
        let Some(bucket) = self.buckets.get_mut(&b) else { return 1 };
        bucket.count.add(now, MEMORY_S);
        bucket.turn = bucket.turn.wrapping_add(1);
        // Few requests say little of a bucket's part in the whole: count it a deviation lower.
        let sure = bucket.count.sum - bucket.count.sum.sqrt();
        ((sure / all.max(1.0) * live / hot).ceil() as usize).clamp(1, RANKED)
    }

    /// The ranked servers admitted to a bucket, in the order to ask: candidates first, a hot one's in turn.
    pub(super) fn ordered(&mut self, now: Nanos, b: u32, spread: usize) -> Vec<u32> {
        let mut order = self.candidates(now, b);
        self.turn(b, &mut order);
        let Some(bucket) = self.buckets.get(&b) else { return order };
        for &i in &bucket.ranked {
            if !order.contains(&i) && self.admitted(now, b, &self.servers[i as usize]) {
                order.push(i);
            }
        }
        let k = spread.min(order.len());
        if k > 1 {
            // A hot bucket is shared by its first servers: one alone would drown.
            order[..k].rotate_left(bucket.turn.wrapping_add(self.settings.me) as usize % k);
        }
        order
    }
}
