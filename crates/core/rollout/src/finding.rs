//! What the analysis of a stage can find: its measures, findings and verdicts.

use serde::{Deserialize, Serialize};

/// What is compared between the cohorts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Refused, failed or late requests, of all.
    Bad,
    /// Failed requests, of all.
    Failed,
    /// Answers slower than half of those before the rollout, of those served.
    SlowHalf,
    /// Answers slower than nine in ten of those before the rollout, of those served.
    SlowTenth,
    /// Retries, of all requests.
    Attempts,
    /// Restarts, by running time.
    Restarts,
    /// Resident memory.
    Memory,
    /// Open file descriptors.
    Descriptors,
    /// Late checks of the process's own clock, of all: the process was paused.
    StoodStill,
}

/// What a rollout was stopped for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// What is worse.
    pub measure: Measure,
    /// The class; empty: all.
    pub class: String,
    /// The data centre; empty: all that the stage has reached, each compared by itself and the evidence combined.
    #[serde(default)]
    pub zone: String,
    /// The rates of the new and the old cohort over the same time.
    pub rates: [f64; 2],
    /// The number of outcomes of each.
    pub of: [u64; 2],
    /// Natural logarithm of the evidence.
    pub evidence: f64,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let what = match self.measure {
            Measure::Bad => "refused, failed or late",
            Measure::Failed => "failed",
            Measure::SlowHalf => "slower than half before",
            Measure::SlowTenth => "slower than nine in ten before",
            Measure::Attempts => "attempts beyond the first",
            Measure::Restarts => "restarts a second",
            Measure::Memory => "bytes of memory",
            Measure::Descriptors => "descriptors",
            Measure::StoodStill => "stood still",
        };
        let class = if self.class.is_empty() { "all" } else { &self.class };
        let [new, old] = self.rates;
        let [of_new, of_old] = self.of;
        let place = if self.zone.is_empty() { String::new() } else { format!(" in {}", self.zone) };
        write!(
            f,
            "{class}: {what}{place}: new {new:.4} of {of_new}, old {old:.4} of {of_old} over the same time"
        )
    }
}

/// The verdict on a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There is not enough evidence; the text says what is missing.
    Waiting(String),
    /// The new cohort is no worse, within the permitted margin.
    Passed,
    /// The new cohort is worse.
    Worse(Finding),
    /// Both cohorts, or the old one alone, are worse than before the stage.
    Trouble(String),
}
