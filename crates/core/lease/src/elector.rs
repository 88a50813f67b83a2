//! The elector: when to campaign for the lease, when to renew it, and how long it may be relied on.

use crate::{Epoch, Nanos, SECOND};

/// The times of a lease, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The time for which the store holds a lease that is not renewed.
    pub ttl: Nanos,
    /// Interval at which the leader renews it.
    pub renew: Nanos,
    /// Interval at which a standby campaigns.
    pub retry: Nanos,
    /// How much earlier than the store the leader considers it expired: the maximum drift of two clocks within the time of a lease.
    pub margin: Nanos,
}

/// The time to live is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ttl: expected 1 to 300 s, found {0} ms")]
pub struct LeaseTermsError(u64);

impl LeaseTerms {
    /// Terms for a time to live: renewed after a quarter of it, campaigned for as often, considered expired a tenth early.
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

/// The role of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It stands by, and takes over when the lease is free.
    Standby {
        /// The leader, as last reported by the store.
        leader: Option<String>,
    },
    /// It leads.
    Leader {
        /// The epoch of its lease.
        epoch: Epoch,
        /// When its lease expires unless it is renewed.
        until: Nanos,
    },
}

/// What an instance has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the lease from the store.
    Campaign,
    /// Renew the lease.
    Renew,
    /// The lease has expired, or may have: send nothing more, and stand by.
    StepDown,
    /// Nothing until that time.
    Wait(Nanos),
}

/// The state machine of one instance.
#[derive(Clone, Debug)]
pub struct Elector {
    terms: LeaseTerms,
    role: Role,
    /// When to campaign or renew.
    next: Nanos,
}

impl Elector {
    /// Stands by at first, and campaigns at once.
    pub fn new(terms: LeaseTerms) -> Self {
        Elector { terms, role: Role::Standby { leader: None }, next: 0 }
    }

    /// The role; whether it may act as the leader is [`Elector::leads`].
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The epoch in which it may act as the leader at this time, if it may.
    pub fn leads(&self, now: Nanos) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch, until } if now < until => Some(epoch),
            _ => None,
        }
    }

    /// What to do now.
    pub fn act(&self, now: Nanos) -> Action {
        match self.role {
            // Danger: after a pause the clock has to be checked first; the store might take a while to respond what the clock shows at
            // once.
            Role::Leader { until, .. } if now >= until => Action::StepDown,
            Role::Leader { until, .. } if now < self.next => Action::Wait(self.next.min(until)),
            Role::Leader { .. } => Action::Renew,
            Role::Standby { .. } if now < self.next => Action::Wait(self.next),
            Role::Standby { .. } => Action::Campaign,
        }
    }

    /// Notes that the lease may be free now, so that a standby need not wait.
    pub fn free(&mut self, now: Nanos) {
        if matches!(self.role, Role::Standby { .. }) {
            self.next = self.next.min(now);
        }
    }

    /// Notes a lease won by a request sent at `sent`; returns whether it is still valid, since it counts from before it was granted.
    pub fn won(&mut self, epoch: Epoch, sent: Nanos, now: Nanos) -> bool {
        let until = self.expiry(sent);
        if now >= until {
            self.next = now;
            return false;
        }
        self.role = Role::Leader { epoch, until };
        self.next = sent.saturating_add(self.terms.renew);
        true
    }

    /// Notes that another instance holds the lease.
    pub fn beaten(&mut self, by: Option<String>, now: Nanos) {
        self.role = Role::Standby { leader: by };
        self.next = now.saturating_add(self.terms.retry);
    }

    /// Notes that the store renewed the lease, by a request sent at `sent`.
    pub fn renewed(&mut self, sent: Nanos) {
        let renewed = self.expiry(sent);
        if let Role::Leader { until, .. } = &mut self.role {
            *until = renewed.max(*until);
            self.next = sent.saturating_add(self.terms.renew);
        }
    }

    /// Notes that the lease has expired in the store, or that the leader releases it.
    pub fn lost(&mut self, now: Nanos) {
        self.role = Role::Standby { leader: None };
        self.next = now.saturating_add(self.terms.retry);
    }

    /// Notes that the store is unreachable or did not respond: a leader keeps its lease until it expires, and retries soon.
    pub fn unknown(&mut self, now: Nanos) {
        self.next = now.saturating_add(self.terms.retry / 4);
    }

    fn expiry(&self, sent: Nanos) -> Nanos {
        sent.saturating_add(self.terms.ttl - self.terms.margin)
    }
}
