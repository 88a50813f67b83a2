//! Attempts: sending one, retrying after a failure, hedging a slow one, and the final answer when none is
//! left.

use super::api::{Action, Effect, Nanos, RequestId, ServerId, Status};
use super::endpoint_set::EndpointIndex;
use super::latency_objective::ClassLatency;
use super::request::{Attempt, Completion, OpenRequest};
use super::{Balancer, HEDGE_TIMER, SECOND};

/// Retries and hedges that each request earns.
const RETRIES_PER_REQUEST: f64 = 0.3;
/// The most retries and hedges that are saved up.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// The retries and hedges that may be sent.
pub(super) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { retries: 1.0 }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub(super) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    fn is_available(&self) -> bool {
        self.retries >= 1.0
    }

    fn spend(&mut self) {
        self.retries -= 1.0;
    }
}

/// What calls for a further attempt.
#[derive(Clone, Copy, PartialEq)]
enum RetryCause {
    /// An endpoint did not answer in time.
    Silence,
    /// An attempt at the origin failed.
    OriginFailure,
    /// An attempt at another endpoint failed.
    EndpointFailure,
}

/// How long to wait for an attempt.
struct Waits {
    /// The attempt is given up after this time; 0 if the client's deadline alone applies.
    timeout: Nanos,
    /// A hedged attempt follows after this time.
    hedge_after: Option<Nanos>,
}

impl Waits {
    /// How long to wait for the attempt just sent.
    fn new(now: Nanos, request: &OpenRequest, latency: ClassLatency, to_origin: bool) -> Self {
        let settings = &request.settings;
        let budget = request.objective_at.min(request.deadline).saturating_sub(now) as f64;
        // Danger: work for an answer that is worth nothing any more keeps others waiting.
        let is_worthless = budget > 0.0 && request.is_worthless_when_late();
        let timeout = if is_worthless { budget as Nanos } else { 0 };
        let patience = latency.patience(budget);
        let is_repeatable = request.class().is_some_and(|c| c.effect != Effect::Unsafe && !c.stream);
        let has_attempts_left = (request.attempts.len() as u32) < settings.max_attempts;
        let may_repeat = is_repeatable && has_attempts_left && !to_origin && patience + latency.mean < budget;
        if may_repeat && settings.second_copies {
            // Danger: an answer that got lost, or an endpoint that hangs, holds the request until its
            // objective. While all endpoints are slow, patience exceeds the budget and nothing is sent twice.
            Waits { timeout, hedge_after: Some(patience as Nanos) }
        } else if may_repeat && settings.aside {
            Waits { timeout: patience as Nanos, hedge_after: None }
        } else {
            Waits { timeout, hedge_after: None }
        }
    }
}

impl Balancer {
    /// Sends an attempt, if the rules and the endpoint's slow-start allowance let it go out.
    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        index: EndpointIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_lawful = self.is_lawful(now, request, &self.endpoints[index]);
        let (is_fetch, has_pending_attempt) = (request.is_fetch, request.has_pending_attempt());
        // The slow-start allowance is spent here, last of all, by whatever is sent.
        if !(is_lawful && self.spend_slow_start_allowance(now, index)) {
            if !has_pending_attempt {
                self.give_up(now, id, actions);
            }
            return;
        }
        let to_origin = self.is_origin(&self.endpoints[index]);
        if to_origin || is_fetch {
            self.origin.acquire();
        }
        let attempt = self.start_attempt(now, index);
        let server = attempt.server;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts.push(attempt);
        let latency = self.latency.get(request.class).copied().unwrap_or_default();
        let waits = Waits::new(now, request, latency, to_origin);
        if let Some(delay) = waits.hedge_after {
            actions.push(Action::Timer { token: HEDGE_TIMER | id, delay });
        }
        actions.push(Action::Send { id, server, timeout: waits.timeout });
    }

    /// Counts an attempt at an endpoint.
    fn start_attempt(&mut self, now: Nanos, index: EndpointIndex) -> Attempt {
        let threshold = self.ejection_threshold(now);
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight += 1.0;
        self.connections.in_flight += 1.0;
        let ejection = &mut endpoint.ejection;
        if ejection.log_odds >= 0.5 * threshold && ejection.backoff > 0 {
            // A trial after an ejection: no second one before its answer is due.
            ejection.ejected_until = now.saturating_add(ejection.backoff.max(SECOND));
        }
        let entry = &endpoint.entry;
        let (server, zone, cell) = (entry.server, entry.zone, entry.cell);
        Attempt { server, zone, cell, sent_at: now, is_pending: true, may_have_run: false }
    }

    /// The next step of a request whose attempt failed: the origin, a retry, or the final answer.
    pub(super) fn continue_request(
        &mut self,
        now: Nanos,
        ended: &Completion,
        to_origin: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&ended.id) else { return };
        if request.is_streaming || request.has_pending_attempt() {
            return;
        }
        if ended.status == Status::Miss && self.settings.aside {
            if let Some(origin) = self.choose_origin(now, request) {
                return self.send(now, ended.id, origin, actions);
            }
        }
        let is_retried = match self.retry_cause(now, ended, to_origin) {
            Some(cause) => self.retry(now, ended.id, cause, actions),
            None => false,
        };
        if !is_retried {
            self.give_up(now, ended.id, actions);
        }
    }

    /// Whether a failed attempt calls for another one. Danger: the key's other endpoints do not hold it, so a
    /// retry after an overloaded, late or failed answer is one more miss at an origin that may be the cause.
    /// Only an endpoint that did not take the request, because it cannot be reached or is ejected, is worth
    /// another; in cache-aside deployments silence counts as a miss. A proxy with sparse traffic cannot know
    /// that an endpoint is overloaded; while the origin is healthy it tries the next one.
    fn retry_cause(&self, now: Nanos, ended: &Completion, to_origin: bool) -> Option<RetryCause> {
        if to_origin {
            return (ended.status == Status::Reset).then_some(RetryCause::OriginFailure);
        }
        let is_silent = ended.status == Status::Timeout && self.settings.aside;
        if is_silent {
            return Some(RetryCause::Silence);
        }
        let is_lost = matches!(ended.status, Status::ConnectFailed | Status::Reset | Status::Moot);
        let is_unforeseen =
            ended.status == Status::Full && self.origin.is_healthy() && self.has_sparse_traffic(now);
        let is_retryable = is_lost || is_unforeseen || self.is_ejected(now, ended.server);
        is_retryable.then_some(RetryCause::EndpointFailure)
    }

    /// A hedge timer ran out: if the attempt is still pending, it gets a second one beside it.
    pub(super) fn on_hedge_timer(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut pending = request.attempts.iter().filter(|a| a.is_pending).map(|a| a.server);
        let slow: Option<ServerId> = pending.next();
        let is_single = slow.is_some() && pending.next().is_none();
        if !is_single || request.is_streaming || now >= request.deadline {
            return;
        }
        if let Some(server) = slow {
            // No answer for so long counts against the endpoint at once: a hung one is ejected after two.
            self.record_failure(now, server, 1.0);
        }
        self.retry(now, id, RetryCause::Silence, actions);
    }

    /// Sends a further attempt if time, budget and rules allow it; tells whether it did. After silence a
    /// cache-aside deployment sends to the origin and to no other endpoint, which would lack the key.
    fn retry(&mut self, now: Nanos, id: RequestId, cause: RetryCause, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let target = if !self.may_retry(now, &request, cause) {
            None
        } else if cause != RetryCause::EndpointFailure && self.settings.aside {
            self.choose_origin(now, &request)
        } else {
            self.choose_endpoint(now, &request, 1)
        };
        self.requests.insert(id, request);
        let Some(index) = target else { return false };
        self.retry_budget.spend();
        self.send(now, id, index, actions);
        true
    }

    fn may_retry(&self, now: Nanos, request: &OpenRequest, cause: RetryCause) -> bool {
        let loads_origin = cause == RetryCause::Silence && (self.settings.aside || request.is_fetch);
        // Danger: where a hot key overloads an endpoint, the silence that a thousand proxies see would flood
        // the origin as well.
        (!loads_origin || self.origin.is_responsive())
            && request.has_attempts_left()
            && self.retry_budget.is_available()
            && self.is_retry_worthwhile(now, request)
    }

    /// The request has had its answer: its value is noted, and attempts still pending are cancelled.
    pub(super) fn finish(&mut self, now: Nanos, ended: &Completion, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_request(ended.id) else { return };
        let late_value = request.class().map_or(0.0, |c| c.late_value);
        let served = f64::from(u8::from(ended.status == Status::Ok));
        self.tenants.charge(&self.settings, now, request.tenant, served);
        let value = if now <= request.objective_at { served } else { served * late_value };
        self.admission.record_end(&request, value);
        if request.settings.cancel {
            let pending = request.attempts.iter().enumerate().filter(|(_, a)| a.is_pending);
            actions.extend(pending.map(|(n, _)| Action::Cancel { id: ended.id, attempt: n as u32 }));
        }
    }

    /// The client left: nothing more is owed.
    pub(super) fn on_expired(&mut self, id: RequestId) {
        if let Some(request) = self.remove_request(id) {
            self.admission.record_end(&request, 0.0);
        }
    }

    /// The final answer when nothing more can be done: a rejection where it is true that a repeat does no
    /// harm.
    pub(super) fn give_up(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_request(id) else { return };
        self.admission.record_end(&request, 0.0);
        if !request.is_safe_to_repeat() {
            actions.push(Action::Fail { id });
            return;
        }
        let is_too_late =
            now >= request.objective_at && !request.attempts.is_empty() && request.is_worthless_when_late();
        // Clients are advised to stay away while some requests are rejected.
        let is_wait_advised = is_too_late || self.admission.is_shedding();
        let retry_after = if is_wait_advised { request.settings.max_retry_after } else { 0 };
        actions.push(Action::Refuse { id, retry_after });
    }
}
