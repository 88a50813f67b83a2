//! Key buckets and the candidate endpoints of each, by weighted rendezvous hashing. Classes that may use the
//! same endpoints form a scope; each scope has buckets of its own.

use super::api::{Class, Nanos, ServerId, Settings};
use super::endpoint_set::{Endpoint, EndpointIndex};
use super::hash::{mix64, unit_interval};
use super::outcome_window::{OutcomeWindow, OutcomeWindows};
use super::traffic::{DecayingCounter, REQUEST_TIME_CONSTANT_S};
use super::Balancer;
use rustc_hash::FxHashMap;

/// Number of candidates of a bucket (SIGMA of Go-With-The-Winner).
pub(super) const CANDIDATES: usize = 2;
/// Number of key buckets in each scope. The state of a bucket is created on first use.
pub(super) const BUCKETS_PER_SCOPE: u64 = 1 << 13;
/// Number of endpoints ranked for each bucket: the candidates first, then their substitutes.
pub(super) const RANKED_ENDPOINTS: usize = 16;
/// Amount by which the miss ratio of the next candidate must be lower before a bucket without a pin prefers
/// it. Danger: among many proxies each sees few requests of a bucket; if every proxy tried the candidates in
/// turn, each candidate would fetch a copy from the origin.
const LATER_CANDIDATE_PENALTY: f64 = 0.25;
/// Maximum traffic of a bucket on one endpoint, as a fraction of an endpoint's even share of all traffic; a
/// bucket with more is spread over several endpoints.
const HOT_BUCKET_SHARE: f64 = 0.25;
/// Weight of the price of crossing zones: the higher the price, the less traffic a bucket needs to be spread,
/// since a copy in each zone saves crossings.
const ZONE_COPY_FACTOR: f64 = 20.0;

/// Salt that keeps the ranking of endpoints independent of other hashes.
const RANKING_SALT: u64 = 0x5ca1_ab1e;

/// Id of a bucket: its slot plus an offset for its scope.
pub(super) type BucketId = u32;

/// The slot of a bucket in the hash space. A key has the same slot in every scope, so that scopes with common
/// endpoints share cached copies.
pub(super) fn slot(bucket: BucketId) -> u64 {
    u64::from(bucket) % BUCKETS_PER_SCOPE
}

/// The bucket of a slot in a scope.
fn bucket_in(scope: usize, slot: u64) -> BucketId {
    ((scope as u64 + 1) * BUCKETS_PER_SCOPE + slot) as BucketId
}

/// The scope of a bucket; `None` for a bucket of requests of an unknown class.
fn scope_of(bucket: BucketId) -> Option<usize> {
    (u64::from(bucket) / BUCKETS_PER_SCOPE).checked_sub(1).map(|scope| scope as usize)
}

/// The state of a key bucket.
#[derive(Default)]
pub(super) struct Bucket {
    /// Version of the endpoint set from which `ranked` was computed.
    version: u64,
    /// The best endpoints of the bucket, in order.
    ranked: Vec<EndpointIndex>,
    pub(super) windows: OutcomeWindows,
    /// The candidate that won the bucket.
    pub(super) pinned: Option<ServerId>,
    requests: DecayingCounter,
    /// Rotates a hot bucket's requests over its endpoints.
    rotation: u32,
    /// Whether the last read was answered, so that an endpoint has cached its value.
    pub(super) last_read_answered: bool,
    pub(super) was_read: bool,
}

impl Bucket {
    /// Whether a candidate has probably cached the values of this bucket. Danger: if only the last read
    /// counted, one late read of a rare key would limit a whole bucket whose other keys are cached.
    pub(super) fn is_probably_cached(&self) -> bool {
        self.last_read_answered || self.windows.iter().any(|w| w.hits != 0)
    }
}

/// All buckets that have been used.
#[derive(Default)]
pub(super) struct Buckets {
    by_id: FxHashMap<BucketId, Bucket>,
    /// The scope of each class: the index of the first class that may use the same endpoints. Classes of one
    /// scope share candidates and pins.
    scopes: Vec<usize>,
}

impl Buckets {
    pub(super) fn get(&self, bucket: BucketId) -> Option<&Bucket> {
        self.by_id.get(&bucket)
    }

    pub(super) fn get_mut(&mut self, bucket: BucketId) -> Option<&mut Bucket> {
        self.by_id.get_mut(&bucket)
    }

    /// Computes the scope of each class.
    pub(super) fn set_scopes(&mut self, settings: &Settings) {
        let first_with_same_placement =
            |c: &Class| settings.classes.iter().position(|o| o.has_same_placement(c)).unwrap_or(0);
        self.scopes = settings.classes.iter().map(first_with_same_placement).collect();
    }

    /// The bucket of a key for a class. Buckets of different scopes have separate candidates and pins.
    pub(super) fn id_for(&self, class: usize, key: u64) -> BucketId {
        let scope = self.scopes.get(class).map_or(0, |scope| scope + 1) as u64;
        (scope * BUCKETS_PER_SCOPE + mix64(key) % BUCKETS_PER_SCOPE) as BucketId
    }

    /// Moves all buckets to the scopes of new settings, drops those whose scope has no successor, and returns
    /// the mapping from former ids. Danger: the candidates of a bucket belong to its scope; under another
    /// scope its requests would go to endpoints that their class may not use.
    pub(super) fn migrate(
        &mut self,
        before: &Settings,
        after: &Settings,
    ) -> impl Fn(BucketId) -> Option<BucketId> {
        let former_scopes = std::mem::take(&mut self.scopes);
        self.set_scopes(after);
        let new_scope_of = |scope: usize| {
            let is_unchanged =
                |c: &usize| after.classes.get(*c).is_some_and(|n| n.has_same_placement(&before.classes[*c]));
            let mut classes = 0..former_scopes.len();
            classes.find(|c| former_scopes[*c] == scope && is_unchanged(c)).map(|c| self.scopes[c])
        };
        // Indexed by former scope.
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
    /// Ranks the endpoints that a bucket's classes may use, by weighted rendezvous hashing, unless the
    /// ranking is up to date. The ranking depends only on the current list, so it is the same at every proxy.
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

    /// Number of scopes that may use an endpoint. Danger: a scope that is restricted to some endpoints
    /// depends on them; without this factor the keys of the other scopes would crowd it out.
    fn scopes_served_by(&self, endpoint: &Endpoint) -> usize {
        let first_classes = self.buckets.scopes.iter().enumerate().filter(|(class, first)| class == *first);
        let is_open = |class: usize| self.is_open_to(self.settings.classes.get(class), endpoint);
        first_classes.filter(|(class, _)| is_open(*class)).count().max(1)
    }

    /// The current candidates of a bucket: the first ranked endpoints that are admitted to it. Endpoints that
    /// remain candidates keep their windows.
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
            // The pin is removed when its endpoint is no longer a candidate.
            if bucket.pinned.is_some_and(|p| !ids.contains(&p)) {
                bucket.pinned = None;
            }
        }
        found
    }

    /// Sorts a bucket's candidates by preference: the pinned one first, then by miss ratio, with a bias
    /// towards the hash order so that proxies tend to choose the same winner.
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

    /// Counts a request of a bucket and returns the number of endpoints over which the bucket is spread.
    pub(super) fn count_request(&mut self, now: Nanos, bucket: BucketId) -> usize {
        let (all_requests, ready_count) = (self.traffic.requests.sum, self.endpoints.ready_count);
        let hot_share = HOT_BUCKET_SHARE / (1.0 + ZONE_COPY_FACTOR * self.settings.cross_zone_price.max(0.0));
        let Some(bucket) = self.buckets.get_mut(bucket) else { return 1 };
        bucket.requests.increment(now, REQUEST_TIME_CONSTANT_S);
        bucket.rotation = bucket.rotation.wrapping_add(1);
        // A few requests are a weak estimate of the bucket's traffic, so one standard deviation is
        // subtracted.
        let lower_bound = bucket.requests.sum - bucket.requests.sum.sqrt();
        let endpoints = (lower_bound / all_requests.max(1.0) * ready_count / hot_share).ceil() as usize;
        endpoints.clamp(1, RANKED_ENDPOINTS)
    }

    /// The ranked endpoints that are admitted to a bucket, in order of preference: candidates first, and the
    /// first `spread` of a hot bucket in rotation.
    pub(super) fn endpoints_by_preference(
        &mut self,
        now: Nanos,
        id: BucketId,
        spread: usize,
    ) -> Vec<EndpointIndex> {
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
            // A hot bucket would overload a single endpoint, so its requests rotate over the first few.
            order[..shared]
                .rotate_left(bucket.rotation.wrapping_add(self.settings.proxy_index) as usize % shared);
        }
        order
    }
}
