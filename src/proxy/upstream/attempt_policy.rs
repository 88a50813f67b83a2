//! Limits that a request's cluster and route put on its attempts. They apply on top of the decision module's choices and can only
//! deny an attempt.

use crate::api::{Nanos, Status};
use rushquay_load_assignment::retry_safety::{may_retry, EarlierAttempt};
use rushquay_load_assignment::{BreakerLimit, BreakerSlot, Breakers, RoutePriority};
use rushquay_routing::{RetryRules, RetryTrigger};
use std::cell::Cell;
use std::rc::Rc;

/// The attempt policy of one request.
pub struct AttemptPolicy {
    /// The retry policy of its route; `None`: the route has none.
    pub retries: Option<RetryRules>,
    /// The importance level of the request, which selects the set of circuit breaker limits.
    pub importance: RoutePriority,
    /// The circuit breakers of its cluster; `None`: the cluster has none.
    pub breakers: Option<Breakers>,
    /// When the cluster's deduplication group last changed. Shared with the cluster, so a change during the request is seen.
    pub group_since: Rc<Cell<Nanos>>,
    /// When the route table last changed.
    pub routes_since: Rc<Cell<Nanos>>,
    /// Whether every cluster that the route may choose for a client's retry has the same deduplication group.
    pub single_group: bool,
}

/// The record of one attempt, as the attempt policy counts it.
#[derive(Debug, Default)]
pub struct AttemptRecord {
    /// Holds a place in the cluster's retry limit until the attempt ends; `None`: it is no retry, or no limit applies.
    retry_hold: Option<BreakerSlot>,
    state: AttemptState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum AttemptState {
    #[default]
    InFlight,
    Ended(Option<RetryTrigger>, bool),
    /// Nothing was sent, or the node did not have the key: not an attempt that a retry policy counts.
    Uncounted,
}

impl AttemptRecord {
    /// Creates the record of an attempt that was never sent.
    pub fn unsent() -> Self {
        AttemptRecord { retry_hold: None, state: AttemptState::Uncounted }
    }

    /// Records the outcome. `code` is the status code of the response, or 0 if there was none.
    pub fn record_outcome(&mut self, status: Status, code: u16) {
        self.retry_hold = None;
        let ended = match status {
            Status::Moot | Status::Miss => return self.state = AttemptState::Uncounted,
            Status::Ok | Status::Cancelled => None,
            Status::ConnectFailed => Some(RetryTrigger::ConnectFailure),
            Status::Reset => Some(RetryTrigger::Reset),
            Status::Timeout => Some(RetryTrigger::TimedOut),
            Status::Full => Some(RetryTrigger::Overloaded),
            Status::Error => Some(RetryTrigger::Status(code)),
        };
        self.state = AttemptState::Ended(ended, !status.never_ran());
    }

    fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Ended(_, true))
    }
}

impl AttemptPolicy {
    /// Returns a record for the next attempt if the policy allows one after `earlier`, the previous attempts with the time at which
    /// each was sent. `node_since` is when the target node joined its group.
    pub fn allow<'a>(
        &self,
        earlier: impl Iterator<Item = (Nanos, &'a AttemptRecord)> + Clone,
        keyed: bool,
        node_since: Nanos,
    ) -> Option<AttemptRecord> {
        if keyed && !may_retry(self.group_since.get(), node_since, tried(earlier.clone())) {
            return None;
        }
        let counted = earlier.filter(|(_, m)| m.state != AttemptState::Uncounted);
        let attempts = counted.clone().count() as u32;
        if attempts == 0 {
            return Some(AttemptRecord::default());
        }
        let endings = counted.filter_map(|(_, m)| match m.state {
            AttemptState::Ended(ending, _) => ending,
            _ => None,
        });
        if self.retries.as_ref().is_some_and(|r| !r.allow(attempts, endings.last())) {
            return None;
        }
        let retry_hold = self
            .breakers
            .as_ref()
            .map(|b| b.acquire(self.importance, BreakerLimit::Retries))
            .transpose()
            .ok()?;
        Some(AttemptRecord { retry_hold, state: AttemptState::InFlight })
    }

    /// Returns whether a retry by the client would reach the deduplication group that these attempts were sent to, whichever cluster
    /// the route then chooses.
    pub fn reaches_same_group<'a>(&self, attempts: impl Iterator<Item = (Nanos, &'a AttemptRecord)>) -> bool {
        let since =
            if self.single_group { self.group_since.get().max(self.routes_since.get()) } else { Nanos::MAX };
        may_retry(since, 0, tried(attempts))
    }

    /// Returns the timeout of an attempt: `timeout`, or the per-try timeout of the route if that is shorter.
    pub fn attempt_timeout(&self, timeout: Nanos) -> Nanos {
        match self.retries.as_ref().map_or(0, |r| r.per_try) {
            0 => timeout,
            per_try => timeout.min(per_try),
        }
    }
}

fn tried<'a, I: Iterator<Item = (Nanos, &'a AttemptRecord)>>(
    attempts: I,
) -> impl Iterator<Item = EarlierAttempt> + use<'a, I> {
    attempts.map(|(sent, m)| EarlierAttempt { sent, may_have_run: m.may_have_run() })
}

#[cfg(test)]
mod tests;
