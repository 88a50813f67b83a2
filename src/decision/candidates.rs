//! Key buckets and the candidate endpoints of each, by weighted rendezvous hashing.

use super::api::{Class, Nanos, ServerId, Settings};
use super::endpoint_set::{Endpoint, EndpointIndex};
use super::hash::{mix64, unit_interval};
use super::outcome_window::{OutcomeWindow, OutcomeWindows};
use super::traffic::{DecayingCounter, REQUEST_MEMORY_S};
use super::Balancer;
use rustc_hash::FxHashMap;

/// Candidates of a bucket (SIGMA of Go-With-The-Winner).
pub(super) const CANDIDATES: usize = 2;
/// Key buckets in each scope; a bucket's state exists only once it was used.
pub(super) const BUCKETS_PER_SCOPE: u64 = 1 << 13;
/// Endpoints ranked for each bucket: the candidates first, then those that stand in for them.
pub(super) const RANKED_ENDPOINTS: usize = 16;
/// By how much the miss ratio of a later candidate must be lower before an undecided bucket prefers it to the
/// first one. Danger: with many proxies each sees few requests of a bucket; proxies that try the candidates
/// in turn fill every candidate with a copy, and the origin pays for each.
const LATER_CANDIDATE_PENALTY: f64 = 0.25;
/// The part of one endpoint's even share of the traffic that a bucket may bring before it is spread.
const HOT_BUCKET_SHARE: f64 = 0.25;
/// How much sooner a bucket is spread per unit of the price of crossing zones: a copy in each zone saves
/// crossings.
const ZONE_COPY_FACTOR: f64 = 20.0;

/// Salts that keep hashes for different purposes independent.
const RANKING_SALT: u64 = 0x5ca1_ab1e;

/// Number of a bucket: its slot, offset by its scope.
pub(super) type BucketId = u32;

/// The slot of a bucket in the hash space. It is the same in every scope, so that scopes share copies where
/// they may.
pub(super) fn slot(bucket: BucketId) -> u64 {
    u64::from(bucket) % BUCKETS_PER_SCOPE
}

/// The bucket of a slot in a scope.
fn bucket_in(scope: usize, slot: u64) -> BucketId {
    ((scope as u64 + 1) * BUCKETS_PER_SCOPE + slot) as BucketId
}

/// The scope of a bucket; `None` for the buckets of requests whose class is unknown.
fn scope_of(bucket: BucketId) -> Option<usize> {
    (u64::from(bucket) / BUCKETS_PER_SCOPE).checked_sub(1).map(|scope| scope as usize)
}

/// What is known of a bucket of keys.
#[derive(Default)]
pub(super) struct Bucket {
    /// Version of the endpoint set by which `ranked` was computed.
    version: u64,
    /// The best endpoints of the bucket, in order.
    ranked: Vec<EndpointIndex>,
    pub(super) windows: OutcomeWindows,
    /// The candidate that won the bucket.
    pub(super) pinned: Option<ServerId>,
    requests: DecayingCounter,
    /// Rotates a hot bucket's requests over its endpoints.
    rotation: u32,
    /// The last read was answered, so that an endpoint surely holds the value.
    pub(super) last_read_answered: bool,
    pub(super) was_read: bool,
}

impl Bucket {
    /// Whether a candidate probably holds the values of this bucket. Danger: by the last read alone, one late
    /// read of a rare key would close a bucket whose other keys its candidates hold.
    pub(super) fn is_probably_cached(&self) -> bool {
        self.last_read_answered || self.windows.iter().any(|w| w.hits != 0)
    }
}

/// All buckets in use.
#[derive(Default)]
pub(super) struct Buckets {
    by_id: FxHashMap<BucketId, Bucket>,
    /// For each class, the first class that may use the same endpoints: these classes are one scope and share
    /// candidates and pins.
    scopes: Vec<usize>,
}

impl Buckets {
    pub(super) fn get(&self, bucket: BucketId) -> Option<&Bucket> {
        self.by_id.get(&bucket)
    }

    pub(super) fn get_mut(&mut self, bucket: BucketId) -> Option<&mut Bucket> {
        self.by_id.get_mut(&bucket)
    }

    /// Finds which classes share endpoints.
    pub(super) fn set_scopes(&mut self, settings: &Settings) {
        let first_alike = |c: &Class| settings.classes.iter().position(|o| o.placed_as(c)).unwrap_or(0);
        self.scopes = settings.classes.iter().map(first_alike).collect();
    }

    /// The bucket of a key for a class: buckets of another scope have candidates and pins of their own.
    pub(super) fn id_for(&self, class: usize, key: u64) -> BucketId {
        let scope = self.scopes.get(class).map_or(0, |scope| scope + 1) as u64;
        (scope * BUCKETS_PER_SCOPE + mix64(key) % BUCKETS_PER_SCOPE) as BucketId
    }

    /// Moves all buckets to the scopes of new settings, and returns the mapping from former ids. Danger: a
    /// bucket belongs to the endpoints of its scope; kept under another scope, its requests would go where
    /// their class may not be sent.
    pub(super) fn migrate(
        &mut self,
        before: &Settings,
        after: &Settings,
    ) -> impl Fn(BucketId) -> Option<BucketId> {
        let former_scopes = std::mem::take(&mut self.scopes);
        self.set_scopes(after);
        let new_scope_of = |scope: usize| {
            let is_unchanged =
                |c: &usize| after.classes.get(*c).is_some_and(|n| n.placed_as(&before.classes[*c]));
            let mut classes = 0..former_scopes.len();
            classes.find(|c| former_scopes[*c] == scope && is_unchanged(c)).map(|c| self.scopes[c])
        };
        // Indexed by the former scope.
        let new_scopes: Vec<Option<usize>> = (0..former_scopes.len()).map(new_scope_of).collect();
        let migrated = move |bucket: BucketId| match scope_of(bucket) {
            None => Some(bucket),
            Some(scope) => Some(bucket_in((*new_scopes.get(scope)?)?, slot(bucket))),
        };
        let buckets = std::mem::take(&mut self.by_id).into_iter();
        self.by_id = buckets.filter_map(|(id, bucket)| Some((migrated(id)?, bucket))).collect();
        migrated
    }
}

impl Balancer {
    /// Ranks the endpoints open to a bucket's classes by weighted rendezvous hashing: the same at every
    /// proxy, whatever lists it has seen.
    pub(super) fn rank_endpoints(&mut self, id: BucketId) {
        let mut bucket = self.buckets.by_id.remove(&id).unwrap_or_default();
        if bucket.version != self.endpoints.version || bucket.ranked.is_empty() {
            bucket.ranked = self.best_ranked(id);
            bucket.version = self.endpoints.version;
        }
        self.buckets.by_id.insert(id, bucket);
    }

    /// The endpoints with the lowest scores for a bucket, best first.
    fn best_ranked(&self, bucket: BucketId) -> Vec<EndpointIndex> {
        let salt = mix64(slot(bucket) ^ RANKING_SALT);
        let class = scope_of(bucket).and_then(|scope| self.settings.classes.get(scope));
        let mut best: Vec<(f64, EndpointIndex)> = Vec::with_capacity(RANKED_ENDPOINTS + 1);
        for (index, endpoint) in self.endpoints.slots().enumerate() {
            if !(self.takes_keys(endpoint) && self.is_open_to(class, endpoint)) {
                continue;
            }
            let hash = unit_interval(mix64(salt ^ endpoint.entry.server));
            let score = -hash.ln() * endpoint.inverse_weight * self.scopes_served_by(endpoint) as f64;
            if best.len() < RANKED_ENDPOINTS || score < best[RANKED_ENDPOINTS - 1].0 {
                let position = best.partition_point(|ranked| ranked.0 <= score);
                best.insert(position, (score, index as EndpointIndex));
                best.truncate(RANKED_ENDPOINTS);
            }
        }
        best.into_iter().map(|ranked| ranked.1).collect()
    }

    /// How many scopes may use an endpoint. Danger: a scope that may use only some endpoints needs these; the
    /// keys of the other scopes would crowd it out.
    fn scopes_served_by(&self, endpoint: &Endpoint) -> usize {
        let first_classes = self.buckets.scopes.iter().enumerate().filter(|(class, first)| class == *first);
        let is_open = |class: usize| self.is_open_to(self.settings.classes.get(class), endpoint);
        first_classes.filter(|(class, _)| is_open(*class)).count().max(1)
    }

    /// The candidates of a bucket now: the first ranked endpoints that are admitted to it. Windows of
    /// endpoints that remain candidates are kept.
    fn current_candidates(&mut self, now: Nanos, id: BucketId) -> Vec<EndpointIndex> {
        let Some(bucket) = self.buckets.get(id) else { return Vec::new() };
        let is_admitted = |i: &&EndpointIndex| self.is_admitted(now, id, &self.endpoints[**i]);
        let found: Vec<EndpointIndex> =
            bucket.ranked.iter().filter(is_admitted).take(CANDIDATES).copied().collect();
        let ids: Vec<ServerId> = found.iter().map(|&i| self.endpoints[i].entry.server).collect();
        let Some(bucket) = self.buckets.get_mut(id) else { return found };
        if bucket.windows.iter().map(|w| w.server).ne(ids.iter().copied()) {
            let former = bucket.windows;
            bucket.windows = OutcomeWindows::default();
            for (window, id) in bucket.windows.iter_mut().zip(&ids) {
                let kept = former.iter().find(|w| w.server == *id).copied();
                *window = kept.unwrap_or(OutcomeWindow::new(*id));
            }
            // The bucket is undecided again once its winner is no candidate any more.
            if bucket.pinned.is_some_and(|p| !ids.contains(&p)) {
                bucket.pinned = None;
            }
        }
        found
    }

    /// Sorts a bucket's candidates by preference: the winner first; while undecided the one with the best
    /// window, with the hash order as a bias so that proxies tend to the same winner.
    fn sort_by_preference(&self, bucket: BucketId, candidates: &mut [EndpointIndex]) {
        let Some(bucket) = self.buckets.get(bucket) else { return };
        let cost = |i: EndpointIndex| {
            let server = self.endpoints[i].entry.server;
            if bucket.pinned == Some(server) {
                return -1.0;
            }
            let position = bucket.windows.iter().position(|w| w.server == server).unwrap_or(CANDIDATES);
            let window = bucket.windows.get(position).copied().unwrap_or_default();
            window.miss_ratio() + LATER_CANDIDATE_PENALTY * position as f64
        };
        candidates.sort_by(|a, b| cost(*a).total_cmp(&cost(*b)));
    }

    /// Counts a request of a bucket and returns how many endpoints its traffic is worth.
    pub(super) fn count_request(&mut self, now: Nanos, bucket: BucketId) -> usize {
        let (all_requests, ready_count) = (self.traffic.requests.sum, self.endpoints.ready_count);
        let hot_share = HOT_BUCKET_SHARE / (1.0 + ZONE_COPY_FACTOR * self.settings.cross_zone_price.max(0.0));
        let Some(bucket) = self.buckets.get_mut(bucket) else { return 1 };
        bucket.requests.increment(now, REQUEST_MEMORY_S);
        bucket.rotation = bucket.rotation.wrapping_add(1);
        // Few requests say little of a bucket's part in the traffic: count one standard deviation less.
        let lower_bound = bucket.requests.sum - bucket.requests.sum.sqrt();
        let endpoints = (lower_bound / all_requests.max(1.0) * ready_count / hot_share).ceil() as usize;
        endpoints.clamp(1, RANKED_ENDPOINTS)
    }

    /// The ranked endpoints that are admitted to a bucket, in order of preference: candidates first, those of
    /// a hot bucket in rotation.
    pub(super) fn by_preference(&mut self, now: Nanos, id: BucketId, spread: usize) -> Vec<EndpointIndex> {
        let mut order = self.current_candidates(now, id);
        self.sort_by_preference(id, &mut order);
        let Some(bucket) = self.buckets.get(id) else { return order };
        for &i in &bucket.ranked {
            if !order.contains(&i) && self.is_admitted(now, id, &self.endpoints[i]) {
                order.push(i);
            }
        }
        let shared = spread.min(order.len());
        if shared > 1 {
            // The first endpoints share a hot bucket: one alone would be overloaded.
            order[..shared].rotate_left(bucket.rotation.wrapping_add(self.settings.me) as usize % shared);
        }
        order
    }
}
