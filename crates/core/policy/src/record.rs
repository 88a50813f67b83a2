//! The policy record. Changes of policy are decided in the stored record, and nowhere else.

use crate::policy_set::{PolicyNumber, PolicySet, Revision};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of events in a record; the oldest are removed first.
const MAX_EVENTS: usize = 500;
/// Maximum length of an author, reason or operator name, in bytes.
const MAX_TEXT_BYTES: usize = 1000;

/// A proposed change that is neither committed nor aborted yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// The proposed policy.
    pub to: PolicyNumber,
    /// The author of the proposal.
    pub author: String,
    /// The reason that the author gave.
    pub reason: String,
}

/// The phase of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum Phase {
    /// One policy is in force.
    Settled,
    /// The old and the new policy are both in force, until every member applies both or is fenced.
    Joint(PendingChange),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "ended", rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The new policy is in force.
    Committed,
    /// An operator withdrew the change.
    Withdrawn {
        /// Name of the operator.
        by: String,
    },
    /// A proxy cannot apply the new policy.
    Refused {
        /// Name of the proxy.
        name: String,
        /// The reason that the proxy gave.
        why: String,
    },
    /// The change exceeded its time limit.
    OverTime {
        /// Names of the proxies that the change waited for.
        held_up_by: Vec<String>,
    },
}

impl std::fmt::Display for ChangeOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ChangeOutcome::Committed => write!(f, "committed: it holds everywhere"),
            ChangeOutcome::Withdrawn { by } => write!(f, "withdrawn by {by}: it holds nowhere"),
            ChangeOutcome::Refused { name, why } => write!(f, "aborted: {name} can't obey it: {why}"),
            ChangeOutcome::OverTime { held_up_by } => {
                write!(f, "aborted: held up by {}", held_up_by.join(", "))
            }
        }
    }
}

/// An entry of the record's event log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyEvent {
    /// The revision that the event produced.
    pub revision: Revision,
    /// The policy concerned.
    pub policy: PolicyNumber,
    /// Description for operators.
    pub what: String,
}

/// Why a proposal or withdrawal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record has changed since the caller read it.
    #[error("the record is at revision {now}, not {expected}: read it again, and repeat the request if it still applies")]
    Changed {
        /// The revision that the caller expected.
        expected: u64,
        /// The current revision.
        now: u64,
    },
    /// Another change is pending; there is at most one at a time.
    #[error("policy {0} is proposed and not decided yet; wait for its end, or withdraw it")]
    Undecided(u64),
    /// There is no pending change to withdraw.
    #[error("no change is pending")]
    Settled,
    /// A field is missing or too long.
    #[error("{0}: expected {1}")]
    Field(&'static str, &'static str),
}

/// The stored record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Incremented with each change of the record.
    pub revision: Revision,
    /// The number that the next proposed policy will get.
    pub next: PolicyNumber,
    /// The policy in force; while a change is pending, the old one.
    #[serde(rename = "holds")]
    pub in_force: PolicyNumber,
    /// The phase: whether a change is pending, and which.
    pub phase: Phase,
    /// The last change that ended, and its outcome.
    pub last: Option<(PolicyNumber, ChangeOutcome)>,
    /// The event log, oldest entry first.
    pub events: VecDeque<PolicyEvent>,
}

impl Default for PolicyRecord {
    fn default() -> Self {
        PolicyRecord {
            revision: Revision(1),
            next: PolicyNumber(1),
            in_force: PolicyNumber(0),
            phase: Phase::Settled,
            last: None,
            events: VecDeque::new(),
        }
    }
}

impl PolicyRecord {
    /// The policy set that members are to apply.
    pub fn policy_set(&self) -> PolicySet {
        match &self.phase {
            Phase::Settled => PolicySet::Pure(self.in_force),
            Phase::Joint(change) => PolicySet::Joint(self.in_force, change.to),
        }
    }

    fn check_revision(&self, expected: Option<Revision>) -> Result<(), RecordError> {
        match expected {
            Some(expected) if expected != self.revision => {
                Err(RecordError::Changed { expected: expected.0, now: self.revision.0 })
            }
            _ => Ok(()),
        }
    }

    /// Returns the record with a new policy proposed, whose number is [`PolicyRecord::next`] of `self`. If `expected` is given, it must be
    /// the revision of `self`.
    ///
    /// # Errors
    /// See [`RecordError`].
    pub fn propose(
        &self,
        (author, reason): (&str, &str),
        expected: Option<Revision>,
    ) -> Result<PolicyRecord, RecordError> {
        self.check_revision(expected)?;
        if let Phase::Joint(change) = &self.phase {
            return Err(RecordError::Undecided(change.to.0));
        }
        let is_valid = |text: &str| !text.trim().is_empty() && text.len() <= MAX_TEXT_BYTES;
        if !is_valid(author) {
            return Err(RecordError::Field("author", "who proposes the policy, at most 1000 bytes"));
        }
        if !is_valid(reason) {
            return Err(RecordError::Field("reason", "why the policy is proposed, at most 1000 bytes"));
        }
        let (author, reason) = (author.to_owned(), reason.to_owned());
        let what = format!("{author} proposes: {reason}");
        let mut next = self.clone();
        next.next = PolicyNumber(self.next.0 + 1);
        next.phase = Phase::Joint(PendingChange { to: self.next, author, reason });
        next.push_event(self.next, what);
        Ok(next)
    }

    /// Returns the record to continue from after the store was lost or restored from an older copy, while members have seen revisions up
    /// to `newest_seen`. The next revision is later than all of those. The number of the next policy has not been used before either,
    /// since each revision proposes at most one policy.
    pub fn resumed_after(&self, newest_seen: Revision) -> PolicyRecord {
        let revision = self.revision.max(newest_seen);
        PolicyRecord { revision, next: PolicyNumber(self.next.0.max(revision.0)), ..self.clone() }
    }

    /// Returns the record with the pending change ended by this outcome; `None` if no change is pending.
    pub fn conclude(&self, outcome: ChangeOutcome) -> Option<PolicyRecord> {
        let Phase::Joint(change) = &self.phase else { return None };
        let mut next = self.clone();
        if outcome == ChangeOutcome::Committed {
            next.in_force = change.to;
        }
        next.phase = Phase::Settled;
        next.last = Some((change.to, outcome.clone()));
        next.push_event(change.to, outcome.to_string());
        Some(next)
    }

    /// Returns the record with the pending change withdrawn by the operator `by`.
    ///
    /// # Errors
    /// See [`RecordError`].
    pub fn withdraw(&self, by: &str, expected: Option<Revision>) -> Result<PolicyRecord, RecordError> {
        self.check_revision(expected)?;
        if by.trim().is_empty() || by.len() > MAX_TEXT_BYTES {
            return Err(RecordError::Field("by", "who withdraws the change, at most 1000 bytes"));
        }
        self.conclude(ChangeOutcome::Withdrawn { by: by.to_owned() }).ok_or(RecordError::Settled)
    }

    fn push_event(&mut self, policy: PolicyNumber, what: String) {
        self.revision = Revision(self.revision.0 + 1);
        self.events.push_back(PolicyEvent { revision: self.revision, policy, what });
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
