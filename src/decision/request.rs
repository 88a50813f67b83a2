//! Requests without a final answer, and their attempts.

use super::api::{Class, Effect, Entry, Group, Nanos, Request, RequestId, ServerId, Settings, State, Status};
use super::candidates::BucketId;
use super::endpoint_set::Endpoint;
use super::{Balancer, MS};
use std::rc::Rc;

/// Margin by which a repeat must precede the end of the deduplication window, for the transit time to the
/// endpoint.
const DEDUP_MARGIN: Nanos = 100 * MS;

/// An attempt of a request.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) sent_at: Nanos,
    pub(super) is_pending: bool,
    /// Whether the request may have taken effect at the endpoint.
    pub(super) may_have_run: bool,
    /// A hedge is sent after so long a silence; `None`: none is.
    pub(super) hedge_after: Option<Nanos>,
    /// How far its response has come, if it has begun.
    pub(super) response: Option<ResponseProgress>,
}

/// A response that has begun and is not complete.
#[derive(Clone, Copy)]
pub(super) struct ResponseProgress {
    pub(super) last_byte_at: Nanos,
    /// Whether its length is unknown.
    pub(super) may_be_long: bool,
}

impl ResponseProgress {
    /// When its endpoint counts as silent unless more bytes come. A long answer may come in lumps: of what is
    /// left to the client, half may pass without a byte.
    fn silent_at(&self, max_silence: Nanos, deadline: Nanos) -> Nanos {
        let time_left = if self.may_be_long { deadline.saturating_sub(self.last_byte_at) } else { 0 };
        self.last_byte_at.saturating_add(max_silence.max(time_left / 2))
    }
}

/// A request without a final answer.
pub(super) struct OpenRequest {
    /// The settings at the time of arrival; later changes do not affect the request.
    pub(super) settings: Rc<Settings>,
    pub(super) class: usize,
    pub(super) bucket: Option<BucketId>,
    pub(super) is_write: bool,
    /// Time of the latency objective; an answer until then earns its full value.
    pub(super) objective_at: Nanos,
    /// When the client gives up.
    pub(super) deadline: Nanos,
    /// Whether a streamed answer has begun.
    pub(super) is_streaming: bool,
    pub(super) tenant: Option<usize>,
    pub(super) arrived_at: Nanos,
    /// Whether it arrived with enough time left to meet its objective.
    pub(super) is_feasible: bool,
    /// Whether its value is low for the work that it takes.
    pub(super) is_low_value: bool,
    /// Whether the endpoint will probably have to fetch the value from the origin.
    pub(super) is_fetch: bool,
    /// The endpoint that operators pinned it to.
    pub(super) pinned: Option<ServerId>,
    pub(super) last_failure: FailureCause,
    pub(super) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Creates the state of an arriving request, without attempts. `objective` is the time left to its
    /// latency objective.
    pub(super) fn new(settings: Rc<Settings>, now: Nanos, request: &Request, objective: Nanos) -> Self {
        OpenRequest {
            settings,
            class: request.class as usize,
            bucket: None,
            is_write: request.is_write,
            objective_at: now.saturating_add(objective),
            deadline: now.saturating_add(request.remaining),
            is_streaming: false,
            tenant: request.tenant.map(|t| t as usize),
            arrived_at: now,
            is_feasible: true,
            is_low_value: false,
            is_fetch: false,
            pinned: request.pinned,
            last_failure: FailureCause::Slow,
            attempts: Vec::new(),
        }
    }

    pub(super) fn class(&self) -> Option<&Class> {
        self.settings.classes.get(self.class)
    }

    /// Whether an answer after the latency objective is worth nothing.
    pub(super) fn is_worthless_when_late(&self) -> bool {
        self.class().is_some_and(|c| c.late_value <= 0.0)
    }

    /// How long the endpoint of an attempt may still be silent before the attempt is hedged; `None`: it has
    /// been silent for too long, or has not begun to answer.
    pub(super) fn remaining_silence(&self, now: Nanos, attempt: &Attempt) -> Option<Nanos> {
        let max_silence = self.attempts.iter().rev().find_map(|a| a.hedge_after)?;
        let silent_at = attempt.response?.silent_at(max_silence, self.deadline);
        silent_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    pub(super) fn has_pending_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.is_pending)
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        (self.attempts.len() as u32) < self.settings.max_attempts.max(1)
    }

    /// Whether the client may safely repeat the request: repeats are harmless, or no attempt can have taken
    /// effect.
    pub(super) fn is_safe_to_repeat(&self) -> bool {
        let may_have_run = self.attempts.iter().any(|a| a.is_pending || a.may_have_run);
        match self.class().map_or(Effect::Unsafe, |c| c.effect) {
            Effect::Safe => true,
            Effect::Keyed => !may_have_run || self.class().is_some_and(|c| c.group == Group::All),
            Effect::Unsafe => !may_have_run,
        }
    }

    /// Whether a further attempt may go to this endpoint, given the earlier attempts that may have taken
    /// effect.
    pub(super) fn allows_repeat_at(&self, now: Nanos, entry: &Entry) -> bool {
        let Some(class) = self.class() else { return true };
        let mut effective = self.attempts.iter().filter(|a| a.is_pending || a.may_have_run);
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => effective.next().is_none(),
            Effect::Keyed => effective.all(|attempt| {
                let dedup_until = attempt.sent_at.saturating_add(class.dedup_window);
                let is_deduplicated = match class.group {
                    Group::All => true,
                    Group::Zone => attempt.zone == entry.zone,
                    Group::Cell => attempt.cell == entry.cell && attempt.zone == entry.zone,
                };
                // Danger: an endpoint that has started since knows nothing of what its group got before.
                let has_memory = entry.started_at <= attempt.sent_at;
                now.saturating_add(DEDUP_MARGIN) < dedup_until && is_deduplicated && has_memory
            }),
        }
    }
}

/// How an attempt ended.
pub(super) struct Completion {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) server: ServerId,
    pub(super) status: Status,
    pub(super) elapsed: Nanos,
    /// Whether the request has had its final answer.
    pub(super) is_final: bool,
    /// Cache hit or miss, if the endpoint reported it.
    pub(super) hit: Option<bool>,
}

/// Why the last attempt of a request failed, as far as it concerns admission.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum FailureCause {
    /// No failure so far: a request that ends without a timely answer was too slow.
    #[default]
    Slow,
    /// The endpoint had no capacity.
    Overloaded,
    /// A failure of the origin or a fault of the endpoint; reducing the load would not help.
    Other,
}

impl FailureCause {
    pub(super) fn of(ended: &Completion, is_fetch: bool) -> Self {
        match ended.status {
            Status::Full | Status::ConnectFailed => FailureCause::Overloaded,
            Status::Error | Status::Reset | Status::Miss => FailureCause::Other,
            Status::Ok if ended.hit == Some(false) => FailureCause::Other,
            _ if is_fetch => FailureCause::Other,
            _ => FailureCause::Slow,
        }
    }
}

impl Balancer {
    /// Removes a request that is over, and releases the origin capacity of its pending attempts.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(&id)?;
        let fetches = request.attempts.iter().filter(|a| a.is_pending && request.is_fetch).count() as f64;
        self.origin.release(fetches);
        Some(request)
    }

    /// Whether the rules allow an attempt at this endpoint. Every attempt passes this check before it is
    /// sent, regardless of how the endpoint was chosen.
    pub(super) fn is_attempt_allowed(&self, now: Nanos, request: &OpenRequest, endpoint: &Endpoint) -> bool {
        endpoint.entry.state == State::Ready
            && self.is_open_to(request.class(), endpoint)
            && now < request.deadline
            && !request.is_streaming
            && request.has_attempts_left()
            && (!request.has_pending_attempt() || request.settings.allows_hedging)
            && request.allows_repeat_at(now, &endpoint.entry)
    }
}
