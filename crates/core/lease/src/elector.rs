//! Decides when an instance campaigns for the lease or renews it, and until when it may act as the leader.

use crate::{Epoch, Nanos, SECOND};

/// The durations that govern a lease, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time to live: how long after a renewal the store keeps the lease.
    pub ttl: Nanos,
    /// Interval between the leader's renewals.
    pub renew_interval: Nanos,
    /// Interval between a standby's requests for the lease.
    pub campaign_interval: Nanos,
    /// How much earlier than the store the leader considers the lease expired: the maximum drift between the two clocks within a TTL.
    pub drift_margin: Nanos,
}

/// The time to live is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ttl: expected 1 to 300 s, found {0} ms")]
pub struct LeaseTermsError(u64);

impl LeaseTerms {
    /// Derives the terms from a TTL: both intervals are a quarter of it, the drift margin is a tenth.
    ///
    /// # Errors
    /// `ttl` is shorter than a second or longer than five minutes.
    pub fn from_ttl(ttl: Nanos) -> Result<LeaseTerms, LeaseTermsError> {
        if !(SECOND..=300 * SECOND).contains(&ttl) {
            return Err(LeaseTermsError(ttl / 1_000_000));
        }
        Ok(LeaseTerms { ttl, renew_interval: ttl / 4, campaign_interval: ttl / 4, drift_margin: ttl / 10 })
    }
}

/// The role of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It does not lead, and campaigns for the lease.
    Standby {
        /// The leader that the store last reported; `None`: unknown.
        leader: Option<String>,
    },
    /// It leads.
    Leader {
        /// The epoch of its lease.
        epoch: Epoch,
        /// When its lease expires unless it is renewed, by this instance's clock.
        until: Nanos,
    },
}

/// What an instance has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the lease from the store.
    Campaign,
    /// Renew the lease.
    Renew,
    /// Stop acting as the leader at once: the lease may have expired.
    StepDown,
    /// Do nothing until this time.
    Wait(Nanos),
}

/// The election state machine of one instance.
#[derive(Clone, Debug)]
pub struct Elector {
    terms: LeaseTerms,
    role: Role,
    /// When to campaign or renew next.
    next_request_at: Nanos,
}

impl Elector {
    /// An instance that starts as a standby and campaigns immediately.
    pub fn new(terms: LeaseTerms) -> Self {
        Elector { terms, role: Role::Standby { leader: None }, next_request_at: 0 }
    }

    /// The role. It may still be [`Role::Leader`] after the lease has expired; [`Elector::leader_epoch`] checks the time.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The epoch of its lease if it may act as the leader at `now`.
    pub fn leader_epoch(&self, now: Nanos) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch, until } if now < until => Some(epoch),
            _ => None,
        }
    }

    /// The action for `now`.
    pub fn next_action(&self, now: Nanos) -> Action {
        match self.role {
            // Danger: after a pause the expiry has to be checked before any request; the store's response would arrive too late.
            Role::Leader { until, .. } if now >= until => Action::StepDown,
            Role::Leader { until, .. } if now < self.next_request_at => {
                Action::Wait(self.next_request_at.min(until))
            }
            Role::Leader { .. } => Action::Renew,
            Role::Standby { .. } if now < self.next_request_at => Action::Wait(self.next_request_at),
            Role::Standby { .. } => Action::Campaign,
        }
    }

    /// Records that the lease may be free, so that a standby campaigns without waiting for its next interval.
    pub fn lease_released(&mut self, now: Nanos) {
        if matches!(self.role, Role::Standby { .. }) {
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// Records that a request sent at `sent` was granted the lease. Returns whether the lease is still valid at `now`: its time counts
    /// from `sent`, which precedes the grant.
    pub fn granted(&mut self, epoch: Epoch, sent: Nanos, now: Nanos) -> bool {
        let until = self.expiry(sent);
        if now >= until {
            self.next_request_at = now;
            return false;
        }
        self.role = Role::Leader { epoch, until };
        self.next_request_at = sent.saturating_add(self.terms.renew_interval);
        true
    }

    /// Records that another instance holds the lease.
    pub fn lease_held_by_other(&mut self, by: Option<String>, now: Nanos) {
        self.role = Role::Standby { leader: by };
        self.next_request_at = now.saturating_add(self.terms.campaign_interval);
    }

    /// Records that the store renewed the lease in response to a request sent at `sent`.
    pub fn lease_renewed(&mut self, sent: Nanos) {
        let renewed_expiry = self.expiry(sent);
        if let Role::Leader { until, .. } = &mut self.role {
            *until = renewed_expiry.max(*until);
            self.next_request_at = sent.saturating_add(self.terms.renew_interval);
        }
    }

    /// Records that the lease has expired or was released.
    pub fn lease_lost(&mut self, now: Nanos) {
        self.role = Role::Standby { leader: None };
        self.next_request_at = now.saturating_add(self.terms.campaign_interval);
    }

    /// Records that the store was unreachable or did not respond. A leader keeps its lease until it expires; the next request follows after
    /// a quarter of the usual interval.
    pub fn store_unavailable(&mut self, now: Nanos) {
        self.next_request_at = now.saturating_add(self.terms.campaign_interval / 4);
    }

    /// When a lease that was requested at `sent` expires for this instance.
    fn expiry(&self, sent: Nanos) -> Nanos {
        sent.saturating_add(self.terms.ttl - self.terms.drift_margin)
    }
}
