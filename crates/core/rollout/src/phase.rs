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
        /// The operator.
        by: String,
    },
    /// A fleet-wide problem that the rollout is not blamed for.
    #[serde(rename = "trouble")]
    FleetProblem {
        /// Description of the problem.
        what: String,
    },
    /// Reports of proxies with the new version are missing, so whether they do worse is not known.
    Silent {
        /// Some of their names.
        names: Vec<String>,
    },
    /// No serving proxy is left to move, and the stage is incomplete or no proxy has moved at all.
    #[serde(rename = "nobody")]
    NoCandidates,
}

/// Why a rollout is rolled back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum RollbackReason {
    /// An operator requested it.
    Operator {
        /// The operator.
        by: String,
    },
    /// The new cohort does worse.
    Worse(Finding),
    /// A proxy cannot apply the new version.
    Refused {
        /// Name of the proxy.
        name: String,
        /// The reason it reported.
        why: String,
    },
    /// Serving proxies did not apply the new version within the confirm timeout.
    Unconfirmed {
        /// Some of their names.
        names: Vec<String>,
    },
    /// A hold, or the wait for evidence, exceeded its time limit.
    #[serde(rename = "patience")]
    HoldTimeout {
        /// What the rollout waited for.
        what: String,
    },
    /// The rollout exceeded its time limit.
    #[serde(rename = "over-time")]
    RolloutTimeout,
    /// Another rollout displaced it.
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
    /// All proxies of the stage apply the new version, and the cohorts are compared.
    Soaking {
        /// Index of the stage.
        stage: usize,
        /// Start of the soak time.
        since: Nanos,
    },
    /// Paused until the reason for the hold ceases, or an operator resumes the rollout.
    Held {
        /// Index of the stage.
        stage: usize,
        /// Why it is held.
        why: HoldReason,
        /// Start of the hold.
        since: Nanos,
    },
    /// Rolling back, a few proxies at a time.
    #[serde(rename = "back")]
    RollingBack {
        /// Why it is rolled back.
        why: RollbackReason,
    },
    /// Rolling back, and some serving proxies did not apply the old version in time.
    Stuck {
        /// Why it is rolled back.
        why: RollbackReason,
        /// Names of those proxies.
        names: Vec<String>,
    },
    /// All reachable proxies apply the new version; it is in force from now on.
    Done,
    /// All reachable proxies apply the old version again.
    #[serde(rename = "gone-back")]
    RolledBack {
        /// Why it was rolled back.
        why: RollbackReason,
    },
}

impl Phase {
    /// The names of all phases, as in documents and metrics.
    pub const NAMES: [&'static str; 7] = ["moving", "soaking", "held", "back", "stuck", "done", "gone-back"];

    /// Its name in documents and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Phase::Moving { .. } => "moving",
            Phase::Soaking { .. } => "soaking",
            Phase::Held { .. } => "held",
            Phase::RollingBack { .. } => "back",
            Phase::Stuck { .. } => "stuck",
            Phase::Done => "done",
            Phase::RolledBack { .. } => "gone-back",
        }
    }

    /// Whether the rollout has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack { .. })
    }

    /// Why the rollout is being or was rolled back; `None` in all other phases.
    pub fn rollback_reason(&self) -> Option<&RollbackReason> {
        match self {
            Phase::RollingBack { why } | Phase::Stuck { why, .. } | Phase::RolledBack { why } => Some(why),
            _ => None,
        }
    }
}

impl std::fmt::Display for HoldReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HoldReason::Operator { by } => write!(f, "held by {by}"),
            HoldReason::FleetProblem { what } => write!(f, "{what}"),
            HoldReason::Silent { names } => write!(f, "not heard: {}", names.join(", ")),
            HoldReason::NoCandidates => write!(f, "no serving proxy is left to move in the stage"),
        }
    }
}

impl std::fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RollbackReason::Operator { by } => write!(f, "requested by {by}"),
            RollbackReason::Worse(finding) => write!(f, "{finding}"),
            RollbackReason::Refused { name, why } => write!(f, "{name} can't obey it: {why}"),
            RollbackReason::Unconfirmed { names } => {
                write!(f, "serving, but not applying the new version in time: {}", names.join(", "))
            }
            RollbackReason::HoldTimeout { what } => write!(f, "waited for too long: {what}"),
            RollbackReason::RolloutTimeout => write!(f, "it took longer than it may"),
            RollbackReason::Displaced { by } => write!(f, "displaced by change {by}"),
        }
    }
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Phase::Moving { stage } => write!(f, "stage {} is told", stage + 1),
            Phase::Soaking { stage, .. } => write!(f, "stage {} soaks", stage + 1),
            Phase::Held { stage, why, .. } => write!(f, "held in stage {}: {why}", stage + 1),
            Phase::RollingBack { why } => write!(f, "rolling back: {why}"),
            Phase::Stuck { why, names } => write!(f, "rollback stuck at {}: {why}", names.join(", ")),
            Phase::Done => write!(f, "done"),
            Phase::RolledBack { why } => write!(f, "rolled back: {why}"),
        }
    }
}
