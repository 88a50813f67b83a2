//! The coordinator of policy leases: it runs at the leader, grants leases to members and decides when a change ends.

use crate::messages::{LeaseGrant, LeaseRequest};
use crate::policy_set::{Incarnation, Revision};
use crate::record::{ChangeOutcome, Phase, PolicyRecord};
use crate::Nanos;
use std::collections::BTreeMap;

/// Durations of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Duration of a lease, by the member's clock.
    pub span: Nanos,
    /// Maximum drift of a clock in either direction, in parts per million; below 500,000.
    pub drift_ppm: u64,
    /// A change that is undecided for so long is aborted, counted from when this leader learned of it.
    pub limit: Nanos,
    /// For how long after its lease expires a member may apply the fallback policy, by its own clock.
    pub floor: Nanos,
}

impl LeaseTerms {
    /// The time, by this leader's clock, after which a granted lease has surely expired by the member's clock. The member's clock may be
    /// slow and this one fast: a lease of S lasts S/(1-d) of true time, during which this clock shows (1+d) times as much.
    pub fn lease_expiry(&self) -> Nanos {
        self.worst_case(self.span)
    }

    /// The time, by this leader's clock, after which no process applies the fallback policy of a granted lease any more.
    pub fn fallback_expiry(&self) -> Nanos {
        self.worst_case(self.span.saturating_add(self.floor))
    }

    fn worst_case(&self, span: Nanos) -> Nanos {
        const PPM: u128 = 1_000_000;
        let drift = u128::from(self.drift_ppm.min(500_000));
        let worst_case = (u128::from(span) * (PPM + drift)).div_ceil(PPM - drift);
        Nanos::try_from(worst_case).unwrap_or(Nanos::MAX)
    }
}

/// What this leader knows of one process of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Process {
    /// When the last lease for each revision was granted; expired leases are removed.
    leases: BTreeMap<Revision, Nanos>,
    /// The newest revision that the process reported as applied.
    acting: Revision,
    refused: Option<(Revision, String)>,
}

/// A member that a pending change waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BlockedReason {
    /// Name of the member; empty: this leader itself, which has only just taken over.
    pub name: String,
    /// The member's process.
    pub boot: Incarnation,
    /// When the member is fenced and no longer waited for, by this leader's clock.
    pub fenced_at: Nanos,
}

/// The coordinator of one leadership epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    terms: LeaseTerms,
    record: PolicyRecord,
    /// Start of the leadership.
    leading_since: Nanos,
    /// When this leader learned of the present record.
    change_since: Nanos,
    processes: BTreeMap<(String, Incarnation), Process>,
    /// A member that has seen a revision which the store does not know, and that revision.
    ahead_of_store: Option<(String, Revision)>,
}

impl Coordinator {
    /// Begins a leadership on the stored record.
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

    /// The stored record, as far as it is known here.
    pub fn record(&self) -> &PolicyRecord {
        &self.record
    }

    /// Adopts a record that has been persisted. Danger: if a record were adopted before it is persisted, members would know of a decision
    /// that no successor knows.
    pub fn kept(&mut self, record: PolicyRecord, now: Nanos) {
        self.record = record;
        self.change_since = now;
    }

    /// The member that has seen a revision which the store does not know: the store was lost, or is an older copy. What other members
    /// apply is not known here then, so no lease is granted and nothing is decided.
    pub fn behind(&self) -> Option<(&str, Revision)> {
        let ahead_of_store =
            self.ahead_of_store.as_ref().filter(|(_, revision)| *revision > self.record.revision);
        ahead_of_store.map(|(name, revision)| (name.as_str(), *revision))
    }

    /// When all leases granted by previous leaders have expired, by this leader's clock.
    pub fn alone_from(&self) -> Nanos {
        self.leading_since.saturating_add(self.terms.lease_expiry())
    }

    /// Answers a request of a member; `None`: no lease is granted. The caller must be the leader, by its own clock, when it calls this.
    pub fn hear(&mut self, name: &str, request: &LeaseRequest, now: Nanos) -> Option<LeaseGrant> {
        // Danger: with a lease for the content of such a store, a proxy that has just started would apply it beside proxies that apply
        // what is no longer stored.
        if request.heard
            > self.ahead_of_store.as_ref().map_or(self.record.revision, |(_, revision)| *revision)
        {
            self.ahead_of_store = Some((name.to_owned(), request.heard));
        }
        if self.behind().is_some() {
            return None;
        }
        let lease_expiry = self.terms.lease_expiry();
        let process = self.processes.entry((name.to_owned(), request.boot)).or_default();
        // A delayed request reports less than is known; a process never goes back to an earlier revision.
        process.acting = process.acting.max(request.acting);
        if request.refused.as_ref().map(|r| r.0) > process.refused.as_ref().map(|r| r.0) {
            process.refused.clone_from(&request.refused);
        }
        process.leases.retain(|_, granted| now.saturating_sub(*granted) <= lease_expiry);
        process.leases.insert(self.record.revision, now);
        let (revision, told) = (self.record.revision, self.record.policy_set());
        let LeaseTerms { span, floor, .. } = self.terms;
        Some(LeaseGrant { boot: request.boot, seq: request.seq, revision, told, span, floor })
    }

    /// The members that may still apply something older than the present revision.
    pub fn holdups(&self, now: Nanos) -> Vec<BlockedReason> {
        let lease_expiry = self.terms.lease_expiry();
        let mut blocked = Vec::new();
        // Danger: previous leaders may have granted leases to members unknown to this one, up to the end of their leadership.
        let predecessors_expired_at = self.alone_from();
        if now <= predecessors_expired_at {
            blocked.push(BlockedReason {
                name: String::new(),
                boot: Incarnation(0),
                fenced_at: predecessors_expired_at,
            });
        }
        for ((name, boot), process) in &self.processes {
            // A process that applies the present revision never goes back to an earlier one.
            if process.acting >= self.record.revision {
                continue;
            }
            let granted_for_older = process
                .leases
                .range(..self.record.revision)
                .map(|(_, granted_at)| granted_at.saturating_add(lease_expiry));
            if let Some(fenced_at) = granted_for_older.max().filter(|fenced_at| now <= *fenced_at) {
                blocked.push(BlockedReason { name: name.clone(), boot: *boot, fenced_at });
            }
        }
        blocked
    }

    /// The record with the pending change ended, if it ends now. It takes effect only once it is persisted.
    pub fn step(&mut self, now: Nanos) -> Option<PolicyRecord> {
        let lease_expiry = self.terms.lease_expiry();
        self.processes.retain(|_, process| {
            process.leases.values().any(|granted| now.saturating_sub(*granted) <= lease_expiry)
        });
        let Phase::Joint(_) = self.record.phase else { return None };
        if self.behind().is_some() {
            return None;
        }
        let revision = self.record.revision;
        let refused = self.processes.iter().find_map(|((name, _), process)| {
            let (_, why) =
                process.refused.as_ref().filter(|(rejected_revision, _)| *rejected_revision == revision)?;
            Some(ChangeOutcome::Refused { name: name.clone(), why: why.clone() })
        });
        let blocked = self.holdups(now);
        let outcome = match (refused, blocked.is_empty()) {
            (Some(refused), _) => refused,
            (None, true) => ChangeOutcome::Committed,
            (None, false) if now.saturating_sub(self.change_since) > self.terms.limit => {
                let name = |reason: &BlockedReason| {
                    if reason.name.is_empty() {
                        "a leader that has only just begun".into()
                    } else {
                        reason.name.clone()
                    }
                };
                ChangeOutcome::OverTime { held_up_by: blocked.iter().map(name).collect() }
            }
            (None, false) => return None,
        };
        self.record.conclude(outcome)
    }

    /// The processes that hold a lease as far as this leader knows: name, process, and the newest revision reported as applied.
    pub fn members(&self) -> impl Iterator<Item = (&str, Incarnation, Revision)> {
        self.processes.iter().map(|((name, boot), process)| (name.as_str(), *boot, process.acting))
    }

    /// The durations of the protocol.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// When the pending change is aborted at the latest, by this leader's clock.
    pub fn gives_up(&self) -> Nanos {
        self.change_since.saturating_add(self.terms.limit)
    }
}
