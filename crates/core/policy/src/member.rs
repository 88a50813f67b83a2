//! The proxy's side of the lease protocol: which policy set the proxy applies now.
//!
//! A member decides nothing. If its lease expires without renewal, it applies the fallback policy for a limited time and then serves
//! nobody.

use crate::messages::{LeaseGrant, LeaseRequest};
use crate::policy_set::{Incarnation, PolicySet, Revision};
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of pending requests that are remembered. Danger: a grant that answers a forgotten request is ignored. At one request
/// per second the limit covers half a minute, which is longer than any lease.
const MAX_PENDING_REQUESTS: usize = 32;

/// What a proxy applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActivePolicy {
    /// The policy set it holds a lease for.
    Leased(PolicySet),
    /// The fallback policy, since its lease has expired.
    Fallback,
    /// Nothing: it has never received a policy set, or the time limit of the fallback policy has passed as well. It serves nobody.
    Denied,
}

/// What a proxy does between its start and its first lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartupPolicy {
    /// It serves nobody.
    ServeNobody,
    /// It serves nobody for this time, then applies the fallback policy of its own settings file.
    FallbackAfter(Nanos),
}

/// The state that a process passes to its successor. Both run on the same machine, so times refer to the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSnapshot {
    /// The newest revision that it has received.
    #[serde(rename = "heard")]
    pub newest_seen: Revision,
    /// The revision and policy set that it applies.
    #[serde(rename = "told")]
    pub applied_set: Option<(Revision, PolicySet)>,
    /// When its lease for that policy set expires.
    #[serde(rename = "until")]
    pub lease_expires_at: Nanos,
    /// How long it may apply the fallback policy after the lease expires.
    #[serde(rename = "floor")]
    pub fallback_duration: Nanos,
}

/// A proxy as a member of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    incarnation: Incarnation,
    started_at: Nanos,
    /// What the process does until its first lease.
    startup: StartupPolicy,
    /// How long it may apply the fallback policy after its lease expires, according to the last grant.
    fallback_span: Nanos,
    /// Sequence number of the last request.
    seq: u64,
    /// Pending requests, oldest first: sequence number and when each was sent.
    pending: VecDeque<(u64, Nanos)>,
    /// The newest revision ever received. Grants of older revisions are ignored, even if this revision could not be applied.
    newest_seen: Revision,
    /// The revision and policy set that it applied last.
    received: Option<(Revision, PolicySet)>,
    /// When the lease for `received` expires.
    lease_expires_at: Nanos,
    /// The newest revision, if it could not be applied, and the reason.
    rejected: Option<(Revision, String)>,
}

impl Member {
    /// A process that starts now, without state from an earlier process.
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
            rejected: None,
        }
    }

    /// The state to pass to the successor of this process.
    pub fn snapshot(&self) -> MemberSnapshot {
        MemberSnapshot {
            newest_seen: self.newest_seen,
            applied_set: self.received,
            lease_expires_at: self.lease_expires_at,
            fallback_duration: self.fallback_span,
        }
    }

    /// A successor that takes over now. It starts from the revision that the incumbent has received, so that it never returns to an
    /// earlier one, and applies the fallback policy until its own first lease. Danger: it must not use the incumbent's lease. The
    /// coordinator attributes that lease to the incumbent alone and stops waiting for it once the incumbent reports a newer revision,
    /// while the successor would still apply the older one.
    pub fn take_over(
        boot: Incarnation,
        startup: StartupPolicy,
        incumbent: MemberSnapshot,
        now: Nanos,
    ) -> Self {
        let MemberSnapshot {
            newest_seen: heard,
            applied_set: told,
            lease_expires_at: until,
            fallback_duration: floor,
        } = incumbent;
        Member {
            newest_seen: heard,
            received: told,
            lease_expires_at: until.min(now),
            fallback_span: floor,
            ..Member::new(boot, startup, now)
        }
    }

    /// What it applies now. A caller that handles a request reads this once, and completes the request by that result.
    pub fn acting(&self, now: Nanos) -> ActivePolicy {
        self.active_policy_until(now).0
    }

    /// What it applies now, and until when if no further grant arrives.
    pub fn active_policy_until(&self, now: Nanos) -> (ActivePolicy, Nanos) {
        match self.received {
            Some((_, set)) if now < self.lease_expires_at => {
                (ActivePolicy::Leased(set), self.lease_expires_at)
            }
            Some(_) => match self.lease_expires_at.saturating_add(self.fallback_span) {
                fallback_until if now < fallback_until => (ActivePolicy::Fallback, fallback_until),
                _ => (ActivePolicy::Denied, Nanos::MAX),
            },
            None => match self.startup {
                StartupPolicy::ServeNobody => (ActivePolicy::Denied, Nanos::MAX),
                StartupPolicy::FallbackAfter(wait) => match self.started_at.saturating_add(wait) {
                    fallback_from if now < fallback_from => (ActivePolicy::Denied, fallback_from),
                    _ => (ActivePolicy::Fallback, Nanos::MAX),
                },
            },
        }
    }

    /// The revision that it applied last; 0 if it has not applied any.
    pub fn revision(&self) -> Revision {
        self.received.map_or(Revision(0), |(revision, _)| revision)
    }

    /// When its lease expires.
    pub fn lease_expires_at(&self) -> Nanos {
        self.lease_expires_at
    }

    /// The policy set that it applied last, whether or not it still holds a lease for it.
    pub fn last_policy_set(&self) -> Option<PolicySet> {
        self.received.map(|(_, set)| set)
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the next request, to be sent now.
    pub fn next_request(&mut self, now: Nanos) -> LeaseRequest {
        self.seq += 1;
        self.pending.push_back((self.seq, now));
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let acting = if now < self.lease_expires_at { self.revision() } else { Revision(0) };
        LeaseRequest {
            incarnation: self.incarnation,
            seq: self.seq,
            acting,
            newest_seen: self.newest_seen,
            refused: self.rejected.clone(),
        }
    }

    /// Processes a grant. `apply` applies a policy set, or returns the reason why this proxy cannot. Returns whether the applied policy set
    /// has changed.
    pub fn process_grant(
        &mut self,
        grant: &LeaseGrant,
        apply: impl FnOnce(PolicySet) -> Result<(), String>,
    ) -> bool {
        if grant.incarnation != self.incarnation || grant.revision < self.newest_seen {
            return false;
        }
        let Some(index) = self.pending.iter().position(|(seq, _)| *seq == grant.seq) else { return false };
        let (_, sent) = self.pending[index];
        // Danger: the lease counts from when the request was sent. If it counted from when the grant arrives, a grant that was delayed, or
        // whose sender paused, would make it last past the time at which the coordinator considers it expired.
        let until = sent.saturating_add(grant.lease_duration);
        self.fallback_span = grant.fallback_duration;
        if grant.revision > self.newest_seen {
            self.newest_seen = grant.revision;
            if let Err(reason) = apply(grant.policy_set) {
                // The member keeps applying the previous policy set until its lease for that expires.
                self.rejected = Some((grant.revision, reason));
                return false;
            }
            self.rejected = None;
            self.received = Some((grant.revision, grant.policy_set));
            self.lease_expires_at = until;
            return true;
        }
        // A grant for a revision that it cannot apply does not extend the lease for the policy set that it does apply.
        if self.revision() == grant.revision {
            self.lease_expires_at = self.lease_expires_at.max(until);
        }
        false
    }
}
