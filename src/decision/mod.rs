//! The decision module: which endpoint gets each request, and when a request is retried, hedged or rejected.
//! Its interface (types, settings, events, actions) is `src/decision/api.rs`. It does no I/O, has no clock,
//! and its only randomness is the seed it is given: the same events give the same actions.
//!
//! The ordinary path is Go-With-The-Winner: the bucket of a key has a few hashed candidates, each with a
//! window of its last outcomes; the first candidate with a full row of cache hits wins the bucket and keeps
//! it.
//!
//! A request passes these modules in order:
//!
//! 1. `latency_objective`: until when an answer earns its full value.
//! 2. `admission` and `tenant_quota`: whether the request is taken.
//! 3. `candidates` and `outcome_window`: the bucket of its key, its candidates, and the pinned one.
//! 4. `origin_limit`: whether the origin can take the fetch, if the read is one.
//! 5. `load_balancer`, with `outlier_detection` and `slow_start`: which endpoint it goes to.
//! 6. `attempts`: whether the attempt is lawful, how long to wait for it, whether to retry or hedge.
//!
//! How an attempt ended goes back to the same modules. `endpoint_set` and `subscription` follow the endpoint
//! list; `traffic` counts; `hash` holds hashing and randomness. Each exception to the ordinary path names the
//! danger that it guards against, in a comment that begins with "Danger:".

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
use request::{Completion, FailureCause, OpenRequest};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use subscription::Subscription;
use tenant_quota::TenantQuotas;
use traffic::{Traffic, REQUEST_MEMORY_S, SERVED_MEMORY_S};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000_000_000;
/// Kinds of timer tokens. The low bits of a hedge timer are the request's id, those of a subscribe timer a
/// sequence number.
const HEDGE_TIMER: u64 = 1 << 56;
const SUBSCRIBE_TIMER: u64 = 2 << 56;

/// The decision module of one proxy.
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
    /// A module that has learned nothing yet; `seed` is its only source of randomness.
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

    /// Applies other settings from the next request on: the same classes on other terms, and any tenants;
    /// `tenants` gives the number that each had before. What was learned and counted stays.
    pub fn obey(&mut self, settings: Settings, tenants: &[Option<usize>]) {
        let before = std::mem::replace(&mut self.settings, Rc::new(settings));
        self.tenants.renumber(tenants);
        let migrated = self.buckets.migrate(&before, &self.settings);
        for request in self.requests.values_mut() {
            request.bucket = request.bucket.and_then(&migrated);
            request.tenant = request.tenant.and_then(|t| tenants.iter().position(|had| *had == Some(t)));
        }
    }

    /// Handles one event and appends the actions that it calls for.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.traffic.started_at.get_or_insert(now);
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries, actions),
            Event::Arrival(request) => self.on_arrival(now, request, actions),
            Event::Outcome { id, attempt, server, status, elapsed, last, hit } => {
                let attempt = attempt as usize;
                let ended = Completion { id, attempt, server, status, elapsed, is_final: last, hit };
                self.on_attempt_ended(now, ended, actions);
            }
            Event::Timer(token) => match token & !(HEDGE_TIMER - 1) {
                SUBSCRIBE_TIMER => self.on_subscribe_timer(token, actions),
                HEDGE_TIMER => self.on_hedge_timer(now, token & (HEDGE_TIMER - 1), actions),
                _ => {}
            },
            Event::Expired(id) => self.on_expired(id),
            Event::First(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_streaming = true;
                }
            }
        }
    }

    /// A request arrives: it is rejected, or its first attempt is sent.
    fn on_arrival(&mut self, now: Nanos, arrival: Request, actions: &mut Vec<Action>) {
        self.traffic.requests.increment(now, REQUEST_MEMORY_S);
        self.retry_budget.earn();
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
        } else if self.settings.aside && request.is_write {
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
        let is_hopeless = (objective as f64) < 0.5 * self.latency_of(class_index).mean;
        request.is_feasible = !(class.late_value <= 0.0 && is_hopeless);
        request
    }

    /// Whether the request is taken, by its value and what became of earlier ones.
    fn admits(&mut self, now: Nanos, request: &mut OpenRequest) -> bool {
        let probability = self.rejection_probability(now, request);
        request.is_feasible && !(probability > 0.0 && self.rng.next_unit() < probability)
    }

    /// Whether a request of this bucket may go out, by what the origin can take if it is a fetch.
    fn admits_read(&mut self, bucket: BucketId, request: &mut OpenRequest) -> bool {
        let bucket = self.buckets.get(bucket);
        let is_cached = bucket.is_some_and(|b| b.is_probably_cached());
        let was_read = bucket.is_some_and(|b| b.was_read);
        request.is_fetch = !self.settings.aside && !request.is_write && !is_cached;
        // Danger: an origin overloaded by fetches nobody waits for fills no cache; each further read joins
        // it.
        let is_held_back = self.origin.probability().is_some_and(|p| self.rng.next_unit() > p);
        // Danger: a bucket that was not read yet is no fetch for sure; while fetches come in time none is
        // rejected.
        let is_limited = request.is_fetch && (was_read || !self.origin.is_healthy());
        !(is_limited && (is_held_back || !self.origin.has_capacity_for(request)))
    }

    /// An attempt has ended: each module learns from it, then the request is finished or continued.
    fn on_attempt_ended(&mut self, now: Nanos, ended: Completion, actions: &mut Vec<Action>) {
        self.release_attempt(now, &ended, actions);
        let to_origin = self.endpoints.get(ended.server).is_some_and(|e| self.is_origin(e));
        let request = self.requests.get(&ended.id);
        let class = request.map(|r| r.class);
        let is_fetch = to_origin || request.is_some_and(|r| r.is_fetch);
        let is_cut_short = request.is_some_and(|r| self.is_cut_short(now, r, &ended));
        if is_fetch {
            self.on_fetch_ended(now, class, ended.status, ended.elapsed);
        }
        // As it was before this outcome.
        let latency = class.map(|c| self.latency_of(c)).unwrap_or_default();
        let is_usual = is_cut_short || latency.is_surely_usual(ended.elapsed);
        self.record_health(now, &ended, is_usual);
        if ended.status == Status::Ok {
            self.traffic.served.increment(now, SERVED_MEMORY_S);
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
        let is_telling = !request.is_write && !matches!(ended.status, Status::Cancelled | Status::Moot);
        if let Some(bucket) = request.bucket.filter(|_| is_telling) {
            // Without a note by the endpoint, an answer no slower than usual passes for a cache hit.
            let hit = ended.hit.unwrap_or(latency.passes_for_hit(ended.elapsed));
            self.record_read(bucket, ended.server, ended.status == Status::Ok, hit);
        }
        if ended.is_final {
            self.finish(now, &ended, actions);
        } else {
            self.continue_request(now, &ended, to_origin, actions);
        }
    }

    /// Whether the client's deadline cut an attempt short that was not late yet. Danger: clients that wait
    /// for less than the objective cut many; taken for silence, these would have healthy endpoints ejected.
    fn is_cut_short(&self, now: Nanos, request: &OpenRequest, ended: &Completion) -> bool {
        let objective = self.settings.classes.get(request.class).map_or(0, |c| c.aim);
        let is_past_deadline = now.saturating_add(MS) >= request.deadline;
        is_past_deadline && ended.status == Status::Timeout && ended.elapsed < objective
    }

    /// What an outcome says of the endpoint's health; `is_usual` if it came no later than is usual.
    fn record_health(&mut self, now: Nanos, ended: &Completion, is_usual: bool) {
        match ended.status {
            Status::Ok | Status::Miss => self.record_success(now, ended.server),
            Status::ConnectFailed => self.record_failure(now, ended.server, 2.0),
            Status::Timeout if is_usual => {}
            // Danger: with sparse traffic an endpoint would be ejected for one error by chance; silence says
            // more.
            Status::Error if self.has_sparse_traffic(now) => self.record_failure(now, ended.server, 0.8),
            Status::Error | Status::Timeout | Status::Reset => self.record_failure(now, ended.server, 1.0),
            // Danger: an endpoint that slows down rejects most of what all proxies send; with sparse traffic
            // each proxy sees a few of these.
            Status::Full if self.has_sparse_traffic(now) => self.record_failure(now, ended.server, 0.5),
            Status::Full | Status::Cancelled | Status::Moot => {}
        }
    }
}
