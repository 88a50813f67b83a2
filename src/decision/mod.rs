//! The decision module: chooses the endpoint for each request, and decides when a request is rejected,
//! retried or hedged. Its interface (types, settings, events, actions) is in `src/decision/api.rs`. The
//! module does no I/O and reads no clock; its only source of randomness is a seed, so the same events produce
//! the same actions.
//!
//! Requests are placed by Go-With-The-Winner: keys are hashed into buckets, each bucket has a few candidate
//! endpoints, and each candidate has a window of its last outcomes. The first candidate whose window holds
//! only cache hits wins the bucket, which is then pinned to it.
//!
//! A request passes through these modules in order:
//!
//! 1. `latency_objective`: the time until which an answer earns its full value.
//! 2. `admission` and `tenant_quota`: whether the request is admitted.
//! 3. `candidates` and `outcome_window`: the bucket of its key, the bucket's candidates and its pin.
//! 4. `origin_limit`: whether the origin has capacity, if the request is a fetch (a read that the origin will
//!    probably have to serve).
//! 5. `load_balancer`, with `outlier_detection` and `slow_start`: the endpoint of each attempt.
//! 6. `attempts`: whether an attempt is allowed, how long to wait for it, and whether to retry or hedge.
//!
//! The outcome of each attempt is fed back to the same modules. `endpoint_set` and `subscription` track the
//! endpoint list, `traffic` measures request rates, and `hash` provides hashing and random numbers. A comment
//! that begins with "Danger:" names the failure that the rule beside it prevents.

mod admission;
pub mod api;
mod attempts;
mod candidates;
mod endpoint_set;
mod hash;
mod latency_objective;
mod load_balancer;
mod origin_limit;
mod outcome_window;
mod outlier_detection;
mod request;
mod slow_start;
mod subscription;
mod tenant_quota;
pub mod token_bucket;
mod traffic;

use admission::Admission;
use api::{Action, Event, Nanos, Request, RequestId, Settings, Status};
use attempts::RetryBudget;
use candidates::{BucketId, Buckets};
use endpoint_set::EndpointSet;
use hash::Rng;
use latency_objective::ClassLatency;
use load_balancer::Connections;
use origin_limit::OriginLimit;
use outlier_detection::OutlierDetection;
use request::{Completion, FailureCause, OpenRequest, ResponseProgress};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use subscription::Subscription;
use tenant_quota::TenantQuotas;
use traffic::{Traffic, REQUEST_TIME_CONSTANT_S, SERVED_TIME_CONSTANT_S};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000_000_000;
/// Timer kinds, in the high bits of a timer token. The low bits hold the request's id for a hedge timer, and
/// a sequence number for a subscribe timer.
const HEDGE_TIMER: u64 = 1 << 56;
const SUBSCRIBE_TIMER: u64 = 2 << 56;

/// The decision module of one proxy, with all of its state.
#[derive(Default)]
pub struct Balancer {
    settings: Rc<Settings>,
    rng: Rng,
    endpoints: EndpointSet,
    subscription: Subscription,
    requests: FxHashMap<RequestId, OpenRequest>,
    traffic: Traffic,
    /// Indexed by class.
    latency: Vec<ClassLatency>,
    admission: Admission,
    tenants: TenantQuotas,
    buckets: Buckets,
    outliers: OutlierDetection,
    connections: Connections,
    origin: OriginLimit,
    retry_budget: RetryBudget,
}

impl Balancer {
    /// Creates a module without any history; `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut balancer = Balancer {
            rng: Rng::seeded(seed),
            latency: vec![ClassLatency::default(); settings.classes.len()],
            tenants: TenantQuotas::new(settings.tenants.len()),
            origin: OriginLimit::new(settings.proxies),
            ..Balancer::default()
        };
        balancer.buckets.set_scopes(&settings);
        balancer.settings = Rc::new(settings);
        balancer
    }

    /// Replaces the settings, from the next request on. The classes keep their indices, only their terms may
    /// differ; tenants may be added, removed and reordered, and `tenants` gives the former index of each
    /// tenant, if it had one. Statistics and counters are kept.
    pub fn apply_settings(&mut self, settings: Settings, tenants: &[Option<usize>]) {
        let previous = std::mem::replace(&mut self.settings, Rc::new(settings));
        self.tenants.renumber(tenants);
        let migrated = self.buckets.migrate(&previous, &self.settings);
        for request in self.requests.values_mut() {
            request.bucket = request.bucket.and_then(&migrated);
            request.tenant =
                request.tenant.and_then(|t| tenants.iter().position(|former| *former == Some(t)));
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.traffic.started_at.get_or_insert(now);
        match event {
            Event::List { kind, entries } => self.on_endpoint_list(now, kind, entries, actions),
            Event::Arrival(request) => self.on_arrival(now, request, actions),
            Event::Outcome { id, attempt, server, status, elapsed, last, hit } => {
                let attempt = attempt as usize;
                let ended = Completion { id, attempt, server, status, elapsed, is_final: last, hit };
                self.on_attempt_ended(now, ended, actions);
            }
            Event::ResponseProgress { id, attempt, last_byte_at, may_be_long } => {
                let request = self.requests.get_mut(&id);
                if let Some(attempt) = request.and_then(|r| r.attempts.get_mut(attempt as usize)) {
                    attempt.response = Some(ResponseProgress { last_byte_at, may_be_long });
                }
            }
            Event::Timer(token) => match token & !(HEDGE_TIMER - 1) {
                SUBSCRIBE_TIMER => self.on_subscribe_timer(token, actions),
                HEDGE_TIMER => self.on_hedge_timer(now, token & (HEDGE_TIMER - 1), actions),
                _ => {}
            },
            Event::ClientGone(id) => self.on_expired(id),
            Event::StreamStarted(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_streaming = true;
                }
            }
        }
    }

    /// The request whose hedge timer has this token; `None`: it is no hedge timer's.
    pub fn hedged_request(token: u64) -> Option<RequestId> {
        (token & !(HEDGE_TIMER - 1) == HEDGE_TIMER).then_some(token & (HEDGE_TIMER - 1))
    }

    /// Handles an arriving request: rejects it or sends its first attempt.
    fn on_arrival(&mut self, now: Nanos, arrival: Request, actions: &mut Vec<Action>) {
        self.traffic.requests.increment(now, REQUEST_TIME_CONSTANT_S);
        self.retry_budget.deposit();
        let mut request = self.open_request(now, &arrival);
        let mut is_admitted = self.admits(now, &mut request);
        let mut spread = 1;
        if let Some(bucket) = request.bucket.filter(|_| is_admitted) {
            self.rank_endpoints(bucket);
            spread = self.count_request(now, bucket);
            is_admitted = self.admits_read(bucket, &mut request);
        }
        let target = if !is_admitted {
            None
        } else if self.settings.is_cache_aside && request.is_write {
            self.choose_origin(now, &request)
        } else {
            self.choose_endpoint(now, &request, spread)
        };
        self.requests.insert(arrival.id, request);
        match target {
            Some(index) if arrival.remaining > 0 => {
                self.admission.record_sent();
                self.send(now, arrival.id, index, actions);
            }
            _ => self.give_up(now, arrival.id, actions),
        }
    }

    fn open_request(&mut self, now: Nanos, arrival: &Request) -> OpenRequest {
        let class_index = arrival.class as usize;
        let settings = self.settings.clone();
        let class = settings.classes.get(class_index).cloned().unwrap_or_default();
        let objective = self.time_to_objective(arrival, &class);
        let mut request = OpenRequest::new(settings, now, arrival, objective);
        request.bucket = arrival.key.map(|key| self.buckets.id_for(class_index, key));
        let is_objective_unreachable = (objective as f64) < 0.5 * self.latency_of(class_index).mean;
        request.is_feasible = !(class.late_value <= 0.0 && is_objective_unreachable);
        request
    }

    /// Whether the request is admitted, given its value and the outcomes of earlier requests.
    fn admits(&mut self, now: Nanos, request: &mut OpenRequest) -> bool {
        let probability = self.rejection_probability(now, request);
        request.is_feasible && !(probability > 0.0 && self.rng.next_unit() < probability)
    }

    /// Whether a request of this bucket may be sent: a fetch needs capacity at the origin.
    fn admits_read(&mut self, bucket: BucketId, request: &mut OpenRequest) -> bool {
        let bucket = self.buckets.get(bucket);
        let is_cached = bucket.is_some_and(|b| b.is_probably_cached());
        let was_read = bucket.is_some_and(|b| b.was_read);
        request.is_fetch = !self.settings.is_cache_aside && !request.is_write && !is_cached;
        // Danger: an origin overloaded by fetches that no client waits for any longer fills no cache, so each
        // further read becomes one more such fetch.
        let is_throttled = self.origin.probability().is_some_and(|p| self.rng.next_unit() > p);
        // Danger: a read of a bucket that was never read is not certain to be a fetch; rejecting it would
        // fail requests that a cache could serve. Such a read is limited only while fetches are late.
        let is_limited = request.is_fetch && (was_read || !self.origin.is_healthy());
        !(is_limited && (is_throttled || !self.origin.has_capacity_for(request)))
    }

    /// Handles the end of an attempt: updates each module, then finishes the request or continues it.
    fn on_attempt_ended(&mut self, now: Nanos, ended: Completion, actions: &mut Vec<Action>) {
        self.release_attempt(now, &ended, actions);
        let to_origin = self.endpoints.get(ended.server).is_some_and(|e| self.is_origin(e));
        let request = self.requests.get(&ended.id);
        let class = request.map(|r| r.class);
        let is_fetch = to_origin || request.is_some_and(|r| r.is_fetch);
        let is_ended_by_client_deadline =
            request.is_some_and(|r| self.is_ended_by_client_deadline(now, r, &ended));
        if is_fetch {
            self.on_fetch_ended(now, class, ended.status, ended.elapsed);
        }
        // The latency statistics without this outcome.
        let latency = class.map(|c| self.latency_of(c)).unwrap_or_default();
        let is_usual = is_ended_by_client_deadline || latency.is_within_usual_range(ended.elapsed);
        self.record_health(now, &ended, is_usual);
        if ended.status == Status::Ok {
            self.traffic.served.increment(now, SERVED_TIME_CONSTANT_S);
            if let Some(latency) = class.and_then(|c| self.latency.get_mut(c)) {
                latency.record(ended.elapsed);
            }
        }
        let Some(request) = self.requests.get_mut(&ended.id) else { return };
        if let Some(attempt) = request.attempts.get_mut(ended.attempt) {
            attempt.is_pending = false;
            attempt.may_have_run = !ended.status.never_ran();
        }
        request.last_failure = FailureCause::of(&ended, is_fetch);
        let updates_window = !request.is_write && !matches!(ended.status, Status::Cancelled | Status::Moot);
        if let Some(bucket) = request.bucket.filter(|_| updates_window) {
            // If the endpoint does not report hit or miss, an answer within the usual latency counts as a
            // hit.
            let hit = ended.hit.unwrap_or(latency.is_probable_hit(ended.elapsed));
            self.record_read(bucket, ended.server, ended.status == Status::Ok, hit);
        }
        if ended.is_final {
            self.finish(now, &ended, actions);
        } else {
            self.continue_request(now, &ended, to_origin, actions);
        }
    }

    /// Whether the client's deadline ended an attempt before the latency objective had passed. Danger:
    /// clients with a timeout shorter than the objective end many attempts in this way; counted as timeouts
    /// of the endpoint, these would get healthy endpoints ejected.
    fn is_ended_by_client_deadline(&self, now: Nanos, request: &OpenRequest, ended: &Completion) -> bool {
        let objective = self.settings.classes.get(request.class).map_or(0, |c| c.latency_objective);
        let is_past_deadline = now.saturating_add(MS) >= request.deadline;
        is_past_deadline && ended.status == Status::Timeout && ended.elapsed < objective
    }

    /// Updates the health of the endpoint by an outcome. A timeout does not count if `is_usual`: it ended
    /// within the usual latency or at the client's deadline.
    fn record_health(&mut self, now: Nanos, ended: &Completion, is_usual: bool) {
        match ended.status {
            Status::Ok | Status::Miss => self.record_success(now, ended.server),
            Status::ConnectFailed => self.record_failure(now, ended.server, 2.0),
            Status::Timeout if is_usual => {}
            // Danger: with sparse traffic a single chance error would eject an endpoint; a timeout is
            // stronger evidence.
            Status::Error if self.has_sparse_traffic(now) => self.record_failure(now, ended.server, 0.8),
            Status::Error | Status::Timeout | Status::Reset => self.record_failure(now, ended.server, 1.0),
            // Danger: an endpoint that slows down rejects most requests of all proxies; with sparse traffic
            // each proxy sees only a few of these rejections, so they have to count.
            Status::Full if self.has_sparse_traffic(now) => self.record_failure(now, ended.server, 0.5),
            Status::Full | Status::Cancelled | Status::Moot => {}
        }
    }
}
