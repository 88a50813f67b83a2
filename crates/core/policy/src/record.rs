//! What stands in the store: the only place where a change is decided.

use crate::messages::PolicySet;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Events that are remembered.
const EVENTS: usize = 500;
/// A proposal's texts are at most this long, in bytes.
const TEXT_MOST: usize = 1000;

/// The number of a policy, never used twice: policies of one content that were proposed twice are two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PolicyNumber(pub u64);

/// Counts up with each change of what holds. 0: before all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// A change that is not decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// What is to hold.
    pub to: PolicyNumber,
    /// Who proposed it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// Where the record stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum Phase {
    /// One policy holds.
    Settled,
    /// Old and new both hold, until all are known to obey both.
    Joint(PendingChange),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "ended", rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The new holds.
    Committed,
    /// An operator took it back.
    Withdrawn {
        /// Who.
        by: String,
    },
    /// A proxy can't obey it.
    Refused {
        /// Which.
        name: String,
        /// Why.
        why: String,
    },
    /// It took longer than it may.
    OverTime {
        /// What it waited for.
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

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyEvent {
    /// The revision that it made.
    pub revision: Revision,
    /// The policy that it was about.
    pub policy: PolicyNumber,
    /// In words.
    pub what: String,
}

/// Why a proposal or command was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Somebody else changed something since.
    #[error("the record is at revision {now}, not {expected}: look again, and ask again if it still is what you want")]
    Changed {
        /// What was expected.
        expected: u64,
        /// What it is.
        now: u64,
    },
    /// One change at a time.
    #[error("policy {0} is proposed and not decided yet; wait for its end, or withdraw it")]
    Undecided(u64),
    /// Nothing to withdraw.
    #[error("no change is under way")]
    Settled,
    /// A field that is missing.
    #[error("{0}: expected {1}")]
    Field(&'static str, &'static str),
}

/// The record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Counts up with each change of it.
    pub revision: Revision,
    /// The number of the next policy.
    pub next: PolicyNumber,
    /// What holds; while a change is under way, the old.
    pub holds: PolicyNumber,
    /// Whether a change is under way.
    pub phase: Phase,
    /// How the last change ended.
    pub last: Option<(PolicyNumber, ChangeOutcome)>,
    /// What happened, the oldest first.
    pub events: VecDeque<PolicyEvent>,
}

impl Default for PolicyRecord {
    fn default() -> Self {
        PolicyRecord {
            revision: Revision(1),
            next: PolicyNumber(1),
            holds: PolicyNumber(0),
            phase: Phase::Settled,
            last: None,
            events: VecDeque::new(),
        }
    }
}

impl PolicyRecord {
    /// What members are to act by.
    pub fn policy_set(&self) -> PolicySet {
        match &self.phase {
            Phase::Settled => PolicySet::Pure(self.holds),
            Phase::Joint(change) => PolicySet::Joint(self.holds, change.to),
        }
    }

    fn expect(&self, expected: Option<Revision>) -> Result<(), RecordError> {
        match expected {
            Some(expected) if expected != self.revision => {
                Err(RecordError::Changed { expected: expected.0, now: self.revision.0 })
            }
            _ => Ok(()),
        }
    }

    /// The record in which a new policy is proposed; its number is [`Record::next`] of before.
    ///
    /// # Errors
    /// See [`Refusal`].
    pub fn propose(
        &self,
        (author, reason): (&str, &str),
        expected: Option<Revision>,
    ) -> Result<PolicyRecord, RecordError> {
        self.expect(expected)?;
        if let Phase::Joint(change) = &self.phase {
            return Err(RecordError::Undecided(change.to.0));
        }
        let sound = |text: &str| !text.trim().is_empty() && text.len() <= TEXT_MOST;
        if !sound(author) {
            return Err(RecordError::Field("author", "who asks, in 1000 bytes at most"));
        }
        if !sound(reason) {
            return Err(RecordError::Field("reason", "why, in 1000 bytes at most"));
        }
        let (author, reason) = (author.to_owned(), reason.to_owned());
        let what = format!("{author} proposes: {reason}");
        let mut next = self.clone();
        next.next = PolicyNumber(self.next.0 + 1);
        next.phase = Phase::Joint(PendingChange { to: self.next, author, reason });
        next.push_event(self.next, what);
        Ok(next)
    }

    /// The record as it goes on where revisions up to this one were told that it knows nothing of: the next one is later than all of them,
    /// and so are its policies' numbers, since each revision has named one new policy at the most.
    pub fn resumed_after(&self, told: Revision) -> PolicyRecord {
        let revision = self.revision.max(told);
        PolicyRecord { revision, next: PolicyNumber(self.next.0.max(revision.0)), ..self.clone() }
    }

    /// The record in which the change under way has ended so. `None`: there is none.
    pub fn conclude(&self, how: ChangeOutcome) -> Option<PolicyRecord> {
        let Phase::Joint(change) = &self.phase else { return None };
        let mut next = self.clone();
        if how == ChangeOutcome::Committed {
            next.holds = change.to;
        }
        next.phase = Phase::Settled;
        next.last = Some((change.to, how.clone()));
        next.push_event(change.to, how.to_string());
        Some(next)
    }

    /// The record in which an operator has withdrawn the change.
    ///
    /// # Errors
    /// See [`Refusal`].
    pub fn withdraw(&self, by: &str, expected: Option<Revision>) -> Result<PolicyRecord, RecordError> {
        self.expect(expected)?;
        if by.trim().is_empty() || by.len() > TEXT_MOST {
            return Err(RecordError::Field("by", "who asks, in 1000 bytes at most"));
        }
        self.conclude(ChangeOutcome::Withdrawn { by: by.to_owned() }).ok_or(RecordError::Settled)
    }

    fn push_event(&mut self, policy: PolicyNumber, what: String) {
        self.revision = Revision(self.revision.0 + 1);
        self.events.push_back(PolicyEvent { revision: self.revision, policy, what });
        while self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
