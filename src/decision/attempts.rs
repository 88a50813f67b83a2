//! Attempts: sending them, retrying after a failure, hedging slow ones, and the final answer when no further
//! attempt is possible.

use super::api::{Action, Effect, Nanos, RequestId, Status};
use super::endpoint_set::EndpointIndex;
use super::latency_objective::ClassLatency;
use super::request::{Attempt, Completion, OpenRequest};
use super::{Balancer, HEDGE_TIMER, SECOND};

/// Retries and hedges that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.3;
/// Maximum size of the budget.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// Budget of retries and hedges: the number that may be sent now.
pub(super) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { retries: 1.0 }
    }
}

impl RetryBudget {
    /// Adds the share of a new request.
    pub(super) fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    fn is_available(&self) -> bool {
        self.retries >= 1.0
    }

    fn spend(&mut self) {
        self.retries -= 1.0;
    }
}

/// Reason for a further attempt.
#[derive(Clone, Copy, PartialEq)]
enum RetryCause {
    /// An endpoint did not answer in time.
    NoAnswer,
    /// An attempt at the origin failed.
    OriginFailure,
    /// An attempt at another endpoint failed.
    EndpointFailure,
}

/// Timers of an attempt.
struct AttemptTimers {
    /// The attempt is abandoned after this time; 0 if only the client's deadline applies.
    timeout: Nanos,
    /// A hedged attempt is sent after this time.
    hedge_after: Option<Nanos>,
}

impl AttemptTimers {
    /// The timers of the attempt that was just added to `request`.
    fn new(now: Nanos, request: &OpenRequest, latency: ClassLatency, to_origin: bool) -> Self {
        let settings = &request.settings;
        let budget = request.objective_at.min(request.deadline).saturating_sub(now) as f64;
        // Danger: work on an answer that no longer has any value delays other requests.
        let is_worthless = budget > 0.0 && request.is_worthless_when_late();
        let timeout = if is_worthless { budget as Nanos } else { 0 };
        let overdue_after = latency.overdue_after(budget);
        let is_repeatable = request.class().is_some_and(|c| c.effect != Effect::Unsafe && !c.is_streamed);
        let has_attempts_left = (request.attempts.len() as u32) < settings.max_attempts;
        let may_repeat =
            is_repeatable && has_attempts_left && !to_origin && overdue_after + latency.mean < budget;
        if may_repeat && settings.allows_hedging {
            // Danger: a lost answer or a hung endpoint would delay the request past its objective. While all
            // endpoints are slow, `overdue_after` exceeds the budget and no hedge is sent.
            AttemptTimers { timeout, hedge_after: Some(overdue_after as Nanos) }
        } else if may_repeat && settings.is_cache_aside {
            AttemptTimers { timeout: overdue_after as Nanos, hedge_after: None }
        } else {
            AttemptTimers { timeout, hedge_after: None }
        }
    }
}

impl Balancer {
    /// Sends an attempt if the rules and the endpoint's slow-start allowance permit it; otherwise gives up
    /// the request, unless another attempt is pending.
    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        index: EndpointIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_attempt_allowed = self.is_attempt_allowed(now, request, &self.endpoints[index]);
        let (is_fetch, has_pending_attempt) = (request.is_fetch, request.has_pending_attempt());
        // Every attempt spends the slow-start allowance here, after all other checks have passed.
        if !(is_attempt_allowed && self.spend_slow_start_allowance(now, index)) {
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
        let timers = AttemptTimers::new(now, request, latency, to_origin);
        if let Some(attempt) = request.attempts.last_mut() {
            attempt.hedge_after = timers.hedge_after;
        }
        if let Some(delay) = timers.hedge_after {
            actions.push(Action::Timer { token: HEDGE_TIMER | id, delay });
        }
        actions.push(Action::Send { id, server, timeout: timers.timeout });
    }

    /// Counts a new attempt at an endpoint.
    fn start_attempt(&mut self, now: Nanos, index: EndpointIndex) -> Attempt {
        let threshold = self.ejection_threshold(now);
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight += 1.0;
        self.connections.in_flight += 1.0;
        let ejection = &mut endpoint.ejection;
        if ejection.log_odds >= 0.5 * threshold && ejection.backoff > 0 {
            // This is the trial request after an ejection: allow no second one before its answer is due.
            ejection.ejected_until = now.saturating_add(ejection.backoff.max(SECOND));
        }
        let entry = &endpoint.entry;
        let (server, zone, cell) = (entry.server, entry.zone, entry.cell);
        Attempt {
            server,
            zone,
            cell,
            sent_at: now,
            is_pending: true,
            may_have_run: false,
            hedge_after: None,
            response: None,
        }
    }

    /// Continues a request whose attempt failed: with an attempt at the origin, a retry, or the final answer.
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
        if ended.status == Status::Miss && self.settings.is_cache_aside {
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

    /// The reason for a further attempt after a failed one, if there is one. Danger: the other endpoints
    /// probably do not cache the key, so a retry after a rejected, late or failed answer causes one more
    /// fetch from an origin that may be the cause of the failure. A retry is sent only if the endpoint could
    /// not be reached, the connection broke, or the endpoint is ejected; in cache-aside deployments a timeout
    /// counts as a miss. A proxy with sparse traffic cannot tell beforehand that an endpoint is overloaded,
    /// so after a rejection it tries the next one while the origin is healthy.
    fn retry_cause(&self, now: Nanos, ended: &Completion, to_origin: bool) -> Option<RetryCause> {
        if to_origin {
            return (ended.status == Status::Reset).then_some(RetryCause::OriginFailure);
        }
        let is_unanswered = ended.status == Status::Timeout && self.settings.is_cache_aside;
        if is_unanswered {
            return Some(RetryCause::NoAnswer);
        }
        let is_connection_failure =
            matches!(ended.status, Status::ConnectFailed | Status::Reset | Status::Moot);
        let is_unexpected_rejection =
            ended.status == Status::Full && self.origin.is_healthy() && self.has_sparse_traffic(now);
        let is_retryable =
            is_connection_failure || is_unexpected_rejection || self.is_ejected(now, ended.server);
        is_retryable.then_some(RetryCause::EndpointFailure)
    }

    /// Handles an expired hedge timer: sends a hedge if exactly one attempt is pending and its endpoint is
    /// silent.
    pub(super) fn on_hedge_timer(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut pending = request.attempts.iter().filter(|a| a.is_pending);
        let (Some(attempt), None) = (pending.next(), pending.next()) else { return };
        if request.is_streaming || now >= request.deadline {
            return;
        }
        // Danger: an answer that is arriving is no silence, however long it takes. A copy of it would be
        // wasted, and its endpoint would be ejected for answering.
        if let Some(delay) = request.remaining_silence(now, attempt) {
            actions.push(Action::Timer { token: HEDGE_TIMER | id, delay });
            return;
        }
        let (server, may_be_long) = (attempt.server, attempt.response.is_some_and(|r| r.may_be_long));
        if !may_be_long {
            // An overdue answer counts as a failure at once, so that a hung endpoint is ejected after two.
            self.record_failure(now, server, 1.0);
        }
        self.retry(now, id, RetryCause::NoAnswer, actions);
    }

    /// Sends a further attempt if time, retry budget and rules allow it, and returns whether an endpoint was
    /// found for it. In cache-aside deployments a retry after a timeout or a failure of the origin goes to
    /// the origin, since the other endpoints do not cache the key.
    fn retry(&mut self, now: Nanos, id: RequestId, cause: RetryCause, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let target = if !self.may_retry(now, &request, cause) {
            None
        } else if cause != RetryCause::EndpointFailure && self.settings.is_cache_aside {
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
        let loads_origin =
            cause == RetryCause::NoAnswer && (self.settings.is_cache_aside || request.is_fetch);
        // Danger: when a hot key overloads an endpoint, the retries of a thousand proxies after their
        // timeouts would flood the origin as well.
        (!loads_origin || self.origin.is_responsive())
            && request.has_attempts_left()
            && self.retry_budget.is_available()
            && self.is_retry_worthwhile(now, request)
    }

    /// Finishes a request that has had its final answer: records its value and cancels the attempts still
    /// pending.
    pub(super) fn finish(&mut self, now: Nanos, ended: &Completion, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_request(ended.id) else { return };
        let late_value = request.class().map_or(0.0, |c| c.late_value);
        let served = f64::from(u8::from(ended.status == Status::Ok));
        self.tenants.charge(&self.settings, now, request.tenant, served);
        let value = if now <= request.objective_at { served } else { served * late_value };
        self.admission.record_end(&request, value);
        if request.settings.allows_cancel {
            let pending = request.attempts.iter().enumerate().filter(|(_, a)| a.is_pending);
            actions.extend(pending.map(|(n, _)| Action::Cancel { id: ended.id, attempt: n as u32 }));
        }
    }

    /// Handles a client that left without an answer.
    pub(super) fn on_expired(&mut self, id: RequestId) {
        if let Some(request) = self.remove_request(id) {
            self.admission.record_end(&request, 0.0);
        }
    }

    /// Gives the final answer when no further attempt is possible: a rejection if the client may safely
    /// repeat the request, a failure otherwise.
    pub(super) fn give_up(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_request(id) else { return };
        self.admission.record_end(&request, 0.0);
        if !request.is_safe_to_repeat() {
            actions.push(Action::Fail { id });
            return;
        }
        let is_too_late =
            now >= request.objective_at && !request.attempts.is_empty() && request.is_worthless_when_late();
        // While admission rejects requests, clients are advised to wait before they retry.
        let is_wait_advised = is_too_late || self.admission.is_shedding();
        let retry_after = if is_wait_advised { request.settings.max_retry_after } else { 0 };
        actions.push(Action::Reject { id, retry_after });
    }
}
