//! What a request's cluster and route say of its attempts, beside the decision module: they can only forbid.

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
mod tests {
    use super::*;
    use rushquay_load_assignment::Thresholds;

    fn terms(retries: Option<Retries>, limits: Option<Thresholds>) -> AttemptPolicy {
        let breakers = limits.map(|l| Breakers::new([l, l]));
        let (importance, group_since, routes_since) = Default::default();
        AttemptPolicy { retries, importance, breakers, group_since, routes_since, one_group: true }
    }

    fn ended(status: Status, code: u16) -> Made {
        let mut made = Made::default();
        made.ended(status, code);
        made
    }

    fn allowed(terms: &AttemptPolicy, earlier: &[Made]) -> bool {
        terms.allow(earlier.iter().map(|m| (5, m)), false, 0).is_some()
    }

    #[test]
    fn the_way_to_the_origin_is_no_repeat() {
        let never = terms(Some(Retries::default()), Some(Thresholds { retries: 0, ..Thresholds::default() }));
        assert!(allowed(&never, &[ended(Status::Miss, 404)]));
        assert!(allowed(&never, &[ended(Status::Moot, 0), Made::unsent()]));
        assert!(!allowed(&never, &[ended(Status::Reset, 0)]));
    }

    #[test]
    fn the_last_end_decides_and_second_copies_count_as_repeats() {
        let on = Retries { most: 2, on: Retries::CODES, codes: vec![500], per_try: 7 };
        let policy = terms(Some(on), None);
        assert!(allowed(&policy, &[ended(Status::Error, 500)]));
        assert!(!allowed(&policy, &[ended(Status::Error, 501)]));
        assert!(!allowed(&policy, &[ended(Status::Error, 500), ended(Status::Reset, 0)]));
        assert!(allowed(&policy, &[Made::default()]), "a copy beside one that is out");
        assert!(!allowed(&policy, &[ended(Status::Error, 500), ended(Status::Error, 500), Made::default()]));
        assert_eq!((policy.wait(9), policy.wait(3)), (7, 3));
    }

    #[test]
    fn a_place_among_the_repeats_comes_back_when_the_attempt_ends() {
        let terms = terms(None, Some(Thresholds { retries: 1, ..Thresholds::default() }));
        let first = [ended(Status::Reset, 0)];
        let earlier = || first.iter().map(|m| (5, m));
        let mut repeat = terms.allow(earlier(), false, 0).expect("room for one");
        assert!(terms.allow(earlier(), false, 0).is_none());
        repeat.ended(Status::Reset, 0);
        assert!(terms.allow(earlier(), false, 0).is_some());
    }

    #[test]
    fn a_keyed_request_stays_with_the_group_that_remembers_it() {
        let terms = terms(None, None);
        let (ran, never) = ([ended(Status::Timeout, 0)], [ended(Status::ConnectFailed, 0)]);
        let keyed = |made: &[Made; 1], node| terms.allow(made.iter().map(|m| (5, m)), true, node).is_some();
        assert!(keyed(&ran, 5) && !keyed(&ran, 6) && keyed(&never, 6));
        terms.group_since.set(6);
        assert!(!keyed(&ran, 0), "the group changed while the request was out");
        assert!(keyed(&never, 0));
    }

    #[test]
    fn a_refusal_is_harmless_only_where_the_client_meets_the_same_group() {
        let (ran, never) = ([ended(Status::Timeout, 0)], [ended(Status::Full, 0)]);
        let harmless =
            |terms: &AttemptPolicy, made: &[Made; 1]| terms.remembered(made.iter().map(|m| (5, m)));
        let one = terms(None, None);
        assert!(harmless(&one, &ran));
        one.routes_since.set(6);
        assert!(!harmless(&one, &ran), "the routes changed while it was out");
        assert!(harmless(&one, &never));
        let mixed = AttemptPolicy { one_group: false, ..terms(None, None) };
        assert!(!harmless(&mixed, &ran) && harmless(&mixed, &never));
    }
}
