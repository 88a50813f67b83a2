//! The phases of a rollout, and why it is held or rolled back.

use crate::finding::Finding;
use crate::Nanos;
use serde::{Deserialize, Serialize};

/// Why a rollout is held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum HoldReason {
    /// An operator holds it.
    Operator {
        /// Who.
        by: String,
    },
    /// A fleet-wide problem that is not blamed on the rollout.
    Trouble {
        /// Description of the problem.
        what: String,
    },
    /// Reports of proxies that have changed are missing: whether they are worse is not known.
    Silent {
        /// Some of their names.
        names: Vec<String>,
    },
    /// No proxy can be moved: all that the stage has left are away.
    Nobody,
}

/// Why a rollout is rolled back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum RollbackReason {
    /// An operator rolls it back.
    Operator {
        /// Who.
        by: String,
    },
    /// The new cohort is worse.
    Worse(Finding),
    /// A proxy cannot apply the new version.
    Refused {
        /// Name of the proxy.
        name: String,
        /// Why.
        why: String,
    },
    /// Proxies serve and did not apply the new version in time.
    Unconfirmed {
        /// Some of their names.
        names: Vec<String>,
    },
    /// A hold exceeded its time limit.
    Patience {
        /// What it waited for.
        what: String,
    },
    /// The rollout exceeded its time limit.
    OverTime,
    /// Another rollout displaces it.
    Displaced {
        /// Number of the other rollout.
        by: u64,
    },
}

/// The phase of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum Phase {
    /// The proxies of a stage are moved to the new version, a few at a time.
    Moving {
        /// Index of the stage.
        stage: usize,
    },
    /// The cohorts are compared.
    Soaking {
        /// Which stage.
        stage: usize,
        /// Since when.
        since: Nanos,
    },
    /// Paused until the reason for it is over.
    Held {
        /// Which stage.
        stage: usize,
        /// Why.
        why: HoldReason,
        /// Since when.
        since: Nanos,
    },
    /// Rolling back, a few proxies at a time.
    Back {
        /// Why.
        why: RollbackReason,
    },
    /// Rolling back, and some serving proxies do not follow.
    Stuck {
        /// Why it is rolled back.
        why: RollbackReason,
        /// Names of those proxies.
        names: Vec<String>,
    },
    /// All reachable proxies apply the new version; it is in force from now on.
    Done,
    /// All reachable proxies apply the old version again.
    GoneBack {
        /// Why.
        why: RollbackReason,
    },
}

impl Phase {
    /// The names of all phases.
    pub const NAMES: [&'static str; 7] = ["moving", "soaking", "held", "back", "stuck", "done", "gone-back"];

    /// Its name in documents and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Phase::Moving { .. } => "moving",
            Phase::Soaking { .. } => "soaking",
            Phase::Held { .. } => "held",
            Phase::Back { .. } => "back",
            Phase::Stuck { .. } => "stuck",
            Phase::Done => "done",
            Phase::GoneBack { .. } => "gone-back",
        }
    }

    /// Whether the rollout has ended.
    pub fn over(&self) -> bool {
        matches!(self, Phase::Done | Phase::GoneBack { .. })
    }

    /// Why the rollout is or was rolled back, if it is or was.
    pub fn back(&self) -> Option<&RollbackReason> {
        match self {
            Phase::Back { why } | Phase::Stuck { why, .. } | Phase::GoneBack { why } => Some(why),
            _ => None,
        }
    }
}

impl std::fmt::Display for HoldReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HoldReason::Operator { by } => write!(f, "held by {by}"),
            HoldReason::Trouble { what } => write!(f, "{what}"),
            HoldReason::Silent { names } => write!(f, "not heard: {}", names.join(", ")),
            HoldReason::Nobody => write!(f, "nobody left in the stage can be told"),
        }
    }
}

impl std::fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RollbackReason::Operator { by } => write!(f, "{by} said so"),
            RollbackReason::Worse(finding) => write!(f, "{finding}"),
            RollbackReason::Refused { name, why } => write!(f, "{name} can't obey it: {why}"),
            RollbackReason::Unconfirmed { names } => {
                write!(f, "told and serving, but not acting by it: {}", names.join(", "))
            }
            RollbackReason::Patience { what } => write!(f, "waited for too long: {what}"),
            RollbackReason::OverTime => write!(f, "it took longer than it may"),
            RollbackReason::Displaced { by } => write!(f, "change {by} takes its place"),
        }
    }
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Phase::Moving { stage } => write!(f, "stage {} is told", stage + 1),
            Phase::Soaking { stage, .. } => write!(f, "stage {} soaks", stage + 1),
            Phase::Held { stage, why, .. } => write!(f, "held in stage {}: {why}", stage + 1),
            Phase::Back { why } => write!(f, "going back: {why}"),
            Phase::Stuck { why, names } => write!(f, "stuck on the way back at {}: {why}", names.join(", ")),
            Phase::Done => write!(f, "done"),
            Phase::GoneBack { why } => write!(f, "gone back: {why}"),
        }
    }
}
