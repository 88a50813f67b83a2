//! Measures, findings and verdicts of the analysis of a stage.

use serde::{Deserialize, Serialize};

/// A quantity that is compared between the cohorts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Share of requests that were refused, failed or late.
    Bad,
    /// Share of requests that failed.
    Failed,
    /// Share of served requests slower than the median before the rollout.
    SlowHalf,
    /// Share of served requests slower than the 90th percentile before the rollout.
    SlowTenth,
    /// Attempts beyond the first, per request.
    Attempts,
    /// Restarts of the process, per running time.
    Restarts,
    /// Mean resident memory, in bytes.
    Memory,
    /// Mean number of open file descriptors.
    Descriptors,
    /// Share of the process's checks of its own clock that came late because the process was paused.
    #[serde(rename = "stood-still")]
    ProcessPauses,
}

/// The difference between the cohorts for which a rollout is rolled back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The measure by which the new cohort is worse.
    pub measure: Measure,
    /// The request class; empty: all classes.
    pub class: String,
    /// The data centre; empty: all that the rollout has reached. Cohorts are compared within each, and the evidence is combined.
    #[serde(default)]
    pub zone: String,
    /// The rates of the new and the old cohort over the same time.
    pub rates: [f64; 2],
    /// The number of outcomes of the new and the old cohort.
    pub of: [u64; 2],
    /// Natural logarithm of the evidence; for memory and descriptors, the number of intervals in a row with an excess.
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
            Measure::ProcessPauses => "stood still",
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
    /// The stage cannot pass yet; the text says what is missing.
    Waiting(String),
    /// The new cohort is at most as much worse as permitted.
    Passed,
    /// The new cohort is worse.
    Worse(Finding),
    /// There is a fleet-wide problem, for which the rollout is not blamed; the text describes it.
    FleetProblem(String),
}
