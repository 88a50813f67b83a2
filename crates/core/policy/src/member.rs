//! A proxy's side of the lease protocol: which policy set it applies now.
//!
//! A member decides nothing. Without a new lease it changes to the fallback policy when its lease expires, and then serves nobody.

use crate::messages::{LeaseGrant, LeaseRequest};
use crate::policy_set::{Incarnation, PolicySet, Revision};
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Pending requests that are remembered. Danger: a grant that answers a forgotten request grants nothing; at one request a second,
/// half a minute is longer than any lease.
const MAX_PENDING_REQUESTS: usize = 32;

/// What a proxy applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActivePolicy {
    /// The policy set it holds a lease for.
    Leased(PolicySet),
    /// Its lease has expired: the fallback policy.
    Fallback,
    /// Nothing: it never received a policy set, or the time of the fallback policy is over as well. It serves nobody.
    Denied,
}

/// What a proxy does after its start until it gets its first lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartupPolicy {
    /// It serves nobody.
    Waits,
    /// After this time it applies the fallback policy of its own settings file.
    FloorAfter(Nanos),
}

/// What a process passes to its successor, on the same machine and therefore by the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSnapshot {
    /// The newest revision that it has received.
    pub heard: Revision,
    /// The revision and policy set that it applies.
    pub told: Option<(Revision, PolicySet)>,
    /// When its lease for that expires.
    pub until: Nanos,
    /// For how long after that it may apply the fallback policy.
    pub floor: Nanos,
}

/// A proxy as a member of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    incarnation: Incarnation,
    /// When the process started, and what it does until its first lease.
    started_at: Nanos,
    startup: StartupPolicy,
    /// For how long after its lease expires it may apply the fallback policy, by the last grant.
    fallback_span: Nanos,
    /// Incremented by each request.
    seq: u64,
    /// Pending requests, the oldest first, with when each was sent.
    pending: VecDeque<(u64, Nanos)>,
    /// The newest revision ever received. Older grants are ignored, whatever becomes of this revision.
    newest_seen: Revision,
    /// What it applies, and when the lease for that expires.
    received: Option<(Revision, PolicySet)>,
    lease_expires_at: Nanos,
    refused: Option<(Revision, String)>,
}

impl Member {
    /// A process that starts now and knows nothing.
    pub fn new(boot: Incarnation, startup: StartupPolicy, now: Nanos) -> Self {
        Member {
            incarnation: boot,
            started_at: now,
            startup,
            fallback_span: 0,
            seq: 0,
            pending: VecDeque::new(),
            newest_seen: Revision(0),
            received: None,
            lease_expires_at: 0,
            refused: None,
        }
    }

    /// What the successor of this process has to know.
    pub fn snapshot(&self) -> MemberSnapshot {
        MemberSnapshot {
            heard: self.newest_seen,
            told: self.received,
            until: self.lease_expires_at,
            floor: self.fallback_span,
        }
    }

    /// A successor that takes over now. It has received what the incumbent has, so that it never goes back to an earlier revision. Danger:
    /// it holds no lease. The coordinator knows of the incumbent's alone; if the successor used that, it would still apply it after the
    /// incumbent has reported that it applies something newer. Until its own first lease it applies the fallback policy.
    pub fn take_over(
        boot: Incarnation,
        startup: StartupPolicy,
        incumbent: MemberSnapshot,
        now: Nanos,
    ) -> Self {
        let MemberSnapshot { heard, told, until, floor } = incumbent;
        Member {
            newest_seen: heard,
            received: told,
            lease_expires_at: until.min(now),
            fallback_span: floor,
            ..Member::new(boot, startup, now)
        }
    }

    /// What it applies now. A request reads this once, and completes by what it read.
    pub fn acting(&self, now: Nanos) -> ActivePolicy {
        self.standing(now).0
    }

    /// What it applies now, and until when if no grant arrives.
    pub fn standing(&self, now: Nanos) -> (ActivePolicy, Nanos) {
        match self.received {
            Some((_, set)) if now < self.lease_expires_at => {
                (ActivePolicy::Leased(set), self.lease_expires_at)
            }
            Some(_) => match self.lease_expires_at.saturating_add(self.fallback_span) {
                fallback_until if now < fallback_until => (ActivePolicy::Fallback, fallback_until),
                _ => (ActivePolicy::Denied, Nanos::MAX),
            },
            None => match self.startup {
                StartupPolicy::Waits => (ActivePolicy::Denied, Nanos::MAX),
                StartupPolicy::FloorAfter(wait) => match self.started_at.saturating_add(wait) {
                    fallback_from if now < fallback_from => (ActivePolicy::Denied, fallback_from),
                    _ => (ActivePolicy::Fallback, Nanos::MAX),
                },
            },
        }
    }

    /// The revision that it applies; 0: none.
    pub fn revision(&self) -> Revision {
        self.received.map_or(Revision(0), |(revision, _)| revision)
    }

    /// When its lease expires.
    pub fn until(&self) -> Nanos {
        self.lease_expires_at
    }

    /// The last policy set it received, whether or not it still holds a lease for it.
    pub fn told(&self) -> Option<PolicySet> {
        self.received.map(|(_, set)| set)
    }

    /// Its incarnation.
    pub fn boot(&self) -> Incarnation {
        self.incarnation
    }

    /// The request to send now.
    pub fn ask(&mut self, now: Nanos) -> LeaseRequest {
        self.seq += 1;
        self.pending.push_back((self.seq, now));
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let acting = if now < self.lease_expires_at { self.revision() } else { Revision(0) };
        LeaseRequest {
            boot: self.incarnation,
            seq: self.seq,
            acting,
            heard: self.newest_seen,
            refused: self.refused.clone(),
        }
    }

    /// Processes a grant. `apply`: applies a policy set, or returns why this proxy cannot. Returns whether what it applies has changed.
    pub fn granted(
        &mut self,
        grant: &LeaseGrant,
        apply: impl FnOnce(PolicySet) -> Result<(), String>,
    ) -> bool {
        if grant.boot != self.incarnation || grant.revision < self.newest_seen {
            return false;
        }
        let Some(index) = self.pending.iter().position(|(seq, _)| *seq == grant.seq) else { return false };
        let (_, sent) = self.pending[index];
        // Danger: a lease counted from when the grant arrived would last past the moment at which the coordinator takes it to be
        // expired, if the grant was delayed or its sender paused meanwhile.
        let until = sent.saturating_add(grant.span);
        self.fallback_span = grant.floor;
        if grant.revision > self.newest_seen {
            self.newest_seen = grant.revision;
            if let Err(reason) = apply(grant.told) {
                // The member goes on with what it had, for as long as its lease for that lasts.
                self.refused = Some((grant.revision, reason));
                return false;
            }
            self.refused = None;
            self.received = Some((grant.revision, grant.told));
            self.lease_expires_at = until;
            return true;
        }
        // A lease for what it cannot apply does not extend the lease for what it does apply.
        if self.revision() == grant.revision {
            self.lease_expires_at = self.lease_expires_at.max(until);
        }
        false
    }
}
