//! When to ask for the lease, when to renew it, and until when it may be leant on.

use crate::{Epoch, Nanos, SECOND};

/// The times of a lease, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// For so long the store holds a lease that isn't renewed.
    pub ttl: Nanos,
    /// It is renewed after this.
    pub renew: Nanos,
    /// Who does not lead asks again after this.
    pub retry: Nanos,
    /// So much earlier than the store the leader takes it to be over: what two clocks may drift apart in a lease's time.
    pub margin: Nanos,
}

/// Terms that can't hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ttl: expected 1 to 300 s, found {0} ms")]
pub struct LeaseTermsError(u64);

impl LeaseTerms {
    /// From the time to live alone: renewed after a quarter of it, asked for as often, over a tenth early.
    ///
    /// # Errors
    /// Below a second or over five minutes.
    pub fn of(ttl: Nanos) -> Result<LeaseTerms, LeaseTermsError> {
        if !(SECOND..=300 * SECOND).contains(&ttl) {
            return Err(LeaseTermsError(ttl / 1_000_000));
        }
        Ok(LeaseTerms { ttl, renew: ttl / 4, retry: ttl / 4, margin: ttl / 10 })
    }
}

/// What an instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows, and takes over when the lease is free.
    Standby {
        /// Who leads, as the store last said.
        leader: Option<String>,
    },
    /// It leads.
    Leader {
        /// Its lease's.
        epoch: Epoch,
        /// Until when it may, as things stand.
        until: Nanos,
    },
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the store for the lease.
    Campaign,
    /// Renew the lease.
    Renew,
    /// The lease is over, or may be: hand out nothing more, and follow.
    StepDown,
    /// Nothing until then.
    Wait(Nanos),
}

/// One instance's part in it.
#[derive(Clone, Debug)]
pub struct Elector {
    terms: LeaseTerms,
    role: Role,
    /// When to ask or renew.
    next: Nanos,
}

impl Elector {
    /// Follows at first, and asks at once.
    pub fn new(terms: LeaseTerms) -> Self {
        Elector { terms, role: Role::Standby { leader: None }, next: 0 }
    }

    /// What it is; for what may be done, ask [`Elector::leads`].
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The epoch in which it may speak at this time, if it may.
    pub fn leads(&self, now: Nanos) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch, until } if now < until => Some(epoch),
            _ => None,
        }
    }

    /// What to do now.
    pub fn act(&self, now: Nanos) -> Action {
        match self.role {
            // Danger: after a pause the first thing known is the clock; asked first, the store might take its time to say
            // what the clock says at once.
            Role::Leader { until, .. } if now >= until => Action::StepDown,
            Role::Leader { until, .. } if now < self.next => Action::Wait(self.next.min(until)),
            Role::Leader { .. } => Action::Renew,
            Role::Standby { .. } if now < self.next => Action::Wait(self.next),
            Role::Standby { .. } => Action::Campaign,
        }
    }

    /// The lease may be free now: what was waited for need not be.
    pub fn free(&mut self, now: Nanos) {
        if matches!(self.role, Role::Standby { .. }) {
            self.next = self.next.min(now);
        }
    }

    /// The store gave the lease, on a request sent at `asked`. Whether it still holds: it runs from before it was given.
    pub fn won(&mut self, epoch: Epoch, asked: Nanos, now: Nanos) -> bool {
        let until = self.until(asked);
        if now >= until {
            self.next = now;
            return false;
        }
        self.role = Role::Leader { epoch, until };
        self.next = asked.saturating_add(self.terms.renew);
        true
    }

    /// Another holds the lease.
    pub fn beaten(&mut self, by: Option<String>, now: Nanos) {
        self.role = Role::Standby { leader: by };
        self.next = now.saturating_add(self.terms.retry);
    }

    /// The store renewed the lease, on a request sent at `asked`.
    pub fn renewed(&mut self, asked: Nanos) {
        let renewed = self.until(asked);
        if let Role::Leader { until, .. } = &mut self.role {
            *until = renewed.max(*until);
            self.next = asked.saturating_add(self.terms.renew);
        }
    }

    /// The store says that the lease is over, or the leader gives it back.
    pub fn lost(&mut self, now: Nanos) {
        self.role = Role::Standby { leader: None };
        self.next = now.saturating_add(self.terms.retry);
    }

    /// The store can't be reached or did not answer: a leader leads on until its time is over, and asks again soon.
    pub fn unknown(&mut self, now: Nanos) {
        self.next = now.saturating_add(self.terms.retry / 4);
    }

    fn until(&self, asked: Nanos) -> Nanos {
        asked.saturating_add(self.terms.ttl - self.terms.margin)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn terms() -> LeaseTerms {
        LeaseTerms::of(4 * SECOND).expect("terms")
    }

    #[test]
    fn a_lease_runs_from_the_question_and_not_from_the_answer() {
        let mut e = Elector::new(terms());
        assert_eq!(e.act(0), Action::Campaign);
        // The answer took longer than the lease.
        assert!(!e.won(Epoch(1), 0, 4 * SECOND));
        assert_eq!(e.leads(4 * SECOND), None);
        assert!(e.won(Epoch(2), 4 * SECOND, 5 * SECOND));
        let until = 4 * SECOND + 3600 * SECOND / 1000;
        assert_eq!((e.leads(until - 1), e.leads(until)), (Some(Epoch(2)), None));
    }

    #[test]
    fn after_a_pause_it_steps_down_before_it_asks_anybody() {
        let mut e = Elector::new(terms());
        e.won(Epoch(3), 0, 0);
        assert_eq!(e.act(SECOND / 2), Action::Wait(SECOND));
        assert_eq!(e.act(SECOND), Action::Renew);
        assert_eq!(e.act(300 * SECOND), Action::StepDown);
        assert_eq!(e.leads(300 * SECOND), None);
    }

    #[test]
    fn a_store_that_is_silent_does_not_end_a_lease_before_its_time() {
        let mut e = Elector::new(terms());
        e.won(Epoch(3), 0, 0);
        e.unknown(SECOND);
        assert_eq!(e.leads(3 * SECOND), Some(Epoch(3)));
        assert_eq!(e.act(3 * SECOND), Action::Renew);
        // A late answer renews from when it was asked for.
        e.renewed(SECOND);
        assert_eq!(e.leads(4 * SECOND), Some(Epoch(3)));
        e.renewed(0);
        assert_eq!(e.leads(4 * SECOND), Some(Epoch(3)), "an answer that was overtaken");
    }

    #[test]
    fn a_follower_asks_sooner_when_the_lease_is_free() {
        let mut e = Elector::new(terms());
        e.beaten(Some("a".into()), 0);
        assert_eq!(e.act(1), Action::Wait(SECOND));
        e.free(2);
        assert_eq!(e.act(2), Action::Campaign);
    }
}
