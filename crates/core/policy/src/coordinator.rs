//! The coordinator of policy leases. It runs at the leader, grants leases to members and decides when a change ends.

use crate::messages::{LeaseGrant, LeaseRequest};
use crate::policy_set::{Incarnation, Revision};
use crate::record::{ChangeOutcome, Phase, PolicyRecord};
use crate::Nanos;
use std::collections::BTreeMap;

/// Durations of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Duration of a lease, by the member's clock.
    pub lease_duration: Nanos,
    /// Maximum drift of a clock in either direction, in parts per million; below 500,000.
    pub drift_ppm: u64,
    /// A pending change is aborted after this time, counted from when this leader learned of the change.
    pub change_timeout: Nanos,
    /// How long a member may apply the fallback policy after its lease expires, by the member's clock.
    pub fallback_duration: Nanos,
}

impl LeaseTerms {
    /// The time by this leader's clock after which a granted lease is certain to have expired by the member's clock. In the worst case
    /// the member's clock is slow and this one fast, both by the drift d: a lease of duration S lasts S/(1-d) of true time, during which
    /// this clock advances by S*(1+d)/(1-d).
    pub fn lease_expiry(&self) -> Nanos {
        self.worst_case_duration(self.lease_duration)
    }

    /// The time by this leader's clock after which no process still applies the fallback policy of a granted lease.
    pub fn fallback_expiry(&self) -> Nanos {
        self.worst_case_duration(self.lease_duration.saturating_add(self.fallback_duration))
    }

    fn worst_case_duration(&self, span: Nanos) -> Nanos {
        const PPM: u128 = 1_000_000;
        let drift = u128::from(self.drift_ppm.min(500_000));
        let worst_case_duration = (u128::from(span) * (PPM + drift)).div_ceil(PPM - drift);
        Nanos::try_from(worst_case_duration).unwrap_or(Nanos::MAX)
    }
}

/// What this leader knows about one process of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Process {
    /// When the last lease for each revision was granted; expired leases are removed.
    leases: BTreeMap<Revision, Nanos>,
    /// The newest revision that the process reported as applied.
    applied: Revision,
    /// The newest revision that the process rejected, and its reason.
    rejected: Option<(Revision, String)>,
}

/// A member that a pending change waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BlockingMember {
    /// Name of the member. It is empty for the unknown members that may hold leases of previous leaders.
    pub name: String,
    /// The member's process.
    pub boot: Incarnation,
    /// When the member is fenced, by this leader's clock: its leases have expired and the change no longer waits for it.
    pub fenced_at: Nanos,
}

/// The coordinator of one leadership epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    terms: LeaseTerms,
    record: PolicyRecord,
    /// Start of the leadership.
    leading_since: Nanos,
    /// When this leader learned of the current record.
    change_since: Nanos,
    processes: BTreeMap<(String, Incarnation), Process>,
    /// The member that reported the newest revision which the store does not have, and that revision.
    ahead_of_store: Option<(String, Revision)>,
}

impl Coordinator {
    /// Starts a leadership epoch from the stored record.
    pub fn lead(terms: LeaseTerms, record: PolicyRecord, now: Nanos) -> Self {
        Coordinator {
            terms,
            record,
            leading_since: now,
            change_since: now,
            processes: BTreeMap::new(),
            ahead_of_store: None,
        }
    }

    /// The last record that this leader knows to be stored.
    pub fn record(&self) -> &PolicyRecord {
        &self.record
    }

    /// Adopts a record that has been persisted. Danger: if a record were adopted before it is persisted, members could learn of a
    /// decision that the next leader does not find in the store.
    pub fn adopt_record(&mut self, record: PolicyRecord, now: Nanos) {
        self.record = record;
        self.change_since = now;
    }

    /// The member that has seen a revision which the store does not have, and that revision: the store was lost or replaced by an older
    /// copy. The leader cannot know then what other members apply, so it grants no lease and decides nothing.
    pub fn member_ahead_of_store(&self) -> Option<(&str, Revision)> {
        let ahead_of_store =
            self.ahead_of_store.as_ref().filter(|(_, revision)| *revision > self.record.revision);
        ahead_of_store.map(|(name, revision)| (name.as_str(), *revision))
    }

    /// The time by this leader's clock at which all leases granted by previous leaders have expired.
    pub fn previous_leases_expire_at(&self) -> Nanos {
        self.leading_since.saturating_add(self.terms.lease_expiry())
    }

    /// Answers the request of a member; returns `None` if no lease is granted. The caller must hold the leader lease, by its own clock,
    /// when it calls this.
    pub fn grant_lease(&mut self, name: &str, request: &LeaseRequest, now: Nanos) -> Option<LeaseGrant> {
        // Danger: if leases were granted from a store that is behind, a proxy that has just started would apply the stored policy while
        // other proxies still apply one that the store has lost.
        if request.newest_seen
            > self.ahead_of_store.as_ref().map_or(self.record.revision, |(_, revision)| *revision)
        {
            self.ahead_of_store = Some((name.to_owned(), request.newest_seen));
        }
        if self.member_ahead_of_store().is_some() {
            return None;
        }
        let lease_expiry = self.terms.lease_expiry();
        let process = self.processes.entry((name.to_owned(), request.incarnation)).or_default();
        // A delayed request may report an older revision than is already known; a process never returns to an earlier revision.
        process.applied = process.applied.max(request.acting);
        if request.refused.as_ref().map(|r| r.0) > process.rejected.as_ref().map(|r| r.0) {
            process.rejected.clone_from(&request.refused);
        }
        process.leases.retain(|_, granted| now.saturating_sub(*granted) <= lease_expiry);
        process.leases.insert(self.record.revision, now);
        let (revision, told) = (self.record.revision, self.record.policy_set());
        let LeaseTerms { lease_duration: span, fallback_duration: floor, .. } = self.terms;
        Some(LeaseGrant {
            incarnation: request.incarnation,
            seq: request.seq,
            revision,
            policy_set: told,
            lease_duration: span,
            fallback_duration: floor,
        })
    }

    /// The members that may still apply a revision older than the current one.
    pub fn blocking_members(&self, now: Nanos) -> Vec<BlockingMember> {
        let lease_expiry = self.terms.lease_expiry();
        let mut blocked = Vec::new();
        // Danger: until the end of their leadership, previous leaders may have granted leases to members that this one does not know.
        let predecessors_expired_at = self.previous_leases_expire_at();
        if now <= predecessors_expired_at {
            blocked.push(BlockingMember {
                name: String::new(),
                boot: Incarnation(0),
                fenced_at: predecessors_expired_at,
            });
        }
        for ((name, boot), process) in &self.processes {
            // A process that applies the current revision never returns to an earlier one.
            if process.applied >= self.record.revision {
                continue;
            }
            let older_leases_expire_at = process
                .leases
                .range(..self.record.revision)
                .map(|(_, granted_at)| granted_at.saturating_add(lease_expiry));
            if let Some(fenced_at) = older_leases_expire_at.max().filter(|fenced_at| now <= *fenced_at) {
                blocked.push(BlockingMember { name: name.clone(), boot: *boot, fenced_at });
            }
        }
        blocked
    }

    /// Returns the record in which the pending change has ended, if it ends now. The record takes effect only once it is persisted.
    pub fn step(&mut self, now: Nanos) -> Option<PolicyRecord> {
        let lease_expiry = self.terms.lease_expiry();
        self.processes.retain(|_, process| {
            process.leases.values().any(|granted| now.saturating_sub(*granted) <= lease_expiry)
        });
        let Phase::Joint(_) = self.record.phase else { return None };
        if self.member_ahead_of_store().is_some() {
            return None;
        }
        let revision = self.record.revision;
        let refused = self.processes.iter().find_map(|((name, _), process)| {
            let (_, why) =
                process.rejected.as_ref().filter(|(rejected_revision, _)| *rejected_revision == revision)?;
            Some(ChangeOutcome::Refused { name: name.clone(), why: why.clone() })
        });
        let blocked = self.blocking_members(now);
        let outcome = match (refused, blocked.is_empty()) {
            (Some(refused), _) => refused,
            (None, true) => ChangeOutcome::Committed,
            (None, false) if now.saturating_sub(self.change_since) > self.terms.change_timeout => {
                let name = |member: &BlockingMember| {
                    if member.name.is_empty() {
                        "a leader that has only just begun".into()
                    } else {
                        member.name.clone()
                    }
                };
                ChangeOutcome::OverTime { held_up_by: blocked.iter().map(name).collect() }
            }
            (None, false) => return None,
        };
        self.record.conclude(outcome)
    }

    /// The processes that may hold a lease granted by this leader: member name, incarnation, and the newest revision reported as applied.
    pub fn members(&self) -> impl Iterator<Item = (&str, Incarnation, Revision)> {
        self.processes.iter().map(|((name, boot), process)| (name.as_str(), *boot, process.applied))
    }

    /// The durations of the protocol.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// The latest time, by this leader's clock, at which the pending change is aborted.
    pub fn change_deadline(&self) -> Nanos {
        self.change_since.saturating_add(self.terms.change_timeout)
    }
}
