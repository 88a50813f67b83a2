//! What a request's cluster and route permit for its attempts, in addition to the decision module: they can only forbid.

use crate::api::{Nanos, Status};
use rushquay_load_assignment::repeats::{may_repeat, Tried};
use rushquay_load_assignment::{Breakers, Hold, Importance, Trip};
use rushquay_routing::{Ended, Retries};
use std::cell::Cell;
use std::rc::Rc;

/// The terms of one request.
pub struct AttemptPolicy {
    /// What its route says of repeated attempts; `None`: nothing.
    pub retries: Option<Retries>,
    /// Which limits of its cluster hold.
    pub importance: Importance,
    /// Its cluster's limits; `None`: it has none.
    pub breakers: Option<Breakers>,
    /// Since when its cluster's group of nodes is what it is; told by the cluster, also while the request is out.
    pub group_since: Rc<Cell<Nanos>>,
    /// Since when the routes are what they are.
    pub routes_since: Rc<Cell<Nanos>>,
    /// Wherever its route may lead a repeat of its client's, the same group is there.
    pub one_group: bool,
}

/// What becomes of an attempt, as terms see it.
#[derive(Debug, Default)]
pub struct Made {
    /// It counts among the repeats that are out.
    repeat: Option<Hold>,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Out,
    Ended(Option<Ended>, bool),
    /// Nothing was sent, or the node lacked the key: no attempt that a policy would count.
    Uncounted,
}

impl Made {
    /// One that was never sent.
    pub fn unsent() -> Self {
        Made { repeat: None, state: State::Uncounted }
    }

    /// It has ended so; `code`: the status of its answer, or 0.
    pub fn ended(&mut self, status: Status, code: u16) {
        self.repeat = None;
        let ended = match status {
            Status::Moot | Status::Miss => return self.state = State::Uncounted,
            Status::Ok | Status::Cancelled => None,
            Status::ConnectFailed => Some(Ended::ConnectFailure),
            Status::Reset => Some(Ended::Reset),
            Status::Timeout => Some(Ended::TimedOut),
            Status::Full => Some(Ended::Overloaded),
            Status::Error => Some(Ended::Status(code)),
        };
        self.state = State::Ended(ended, !status.never_ran());
    }

    fn may_have_run(&self) -> bool {
        matches!(self.state, State::Out | State::Ended(_, true))
    }
}

impl AttemptPolicy {
    /// Whether another attempt may be made after these, with the time at which each was sent; `node_since`: since when the
    /// node that it would go to belongs to its group.
    pub fn allow<'a>(
        &self,
        earlier: impl Iterator<Item = (Nanos, &'a Made)> + Clone,
        keyed: bool,
        node_since: Nanos,
    ) -> Option<Made> {
        if keyed && !may_repeat(self.group_since.get(), node_since, tried(earlier.clone())) {
            return None;
        }
        let counted = earlier.filter(|(_, m)| m.state != State::Uncounted);
        let made = counted.clone().count() as u32;
        if made == 0 {
            return Some(Made::default());
        }
        let last = counted.filter_map(|(_, m)| match m.state {
            State::Ended(how, _) => how,
            _ => None,
        });
        if self.retries.as_ref().is_some_and(|r| !r.allow(made, last.last())) {
            return None;
        }
        let repeat =
            self.breakers.as_ref().map(|b| b.take(self.importance, Trip::Retries)).transpose().ok()?;
        Some(Made { repeat, state: State::Out })
    }

    /// Whether a repeat of the client's meets the group that these attempts were sent to, whatever cluster its route then
    /// picks.
    pub fn remembered<'a>(&self, made: impl Iterator<Item = (Nanos, &'a Made)>) -> bool {
        let since =
            if self.one_group { self.group_since.get().max(self.routes_since.get()) } else { Nanos::MAX };
        may_repeat(since, 0, tried(made))
    }

    /// How long an attempt may take, at most `wait`.
    pub fn wait(&self, wait: Nanos) -> Nanos {
        match self.retries.as_ref().map_or(0, |r| r.per_try) {
            0 => wait,
            most => wait.min(most),
        }
    }
}

fn tried<'a, I: Iterator<Item = (Nanos, &'a Made)>>(made: I) -> impl Iterator<Item = Tried> + use<'a, I> {
    made.map(|(sent, m)| Tried { sent, may_have_run: m.may_have_run() })
}

#[cfg(test)]
mod tests;
