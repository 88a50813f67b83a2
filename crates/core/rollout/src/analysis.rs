//! The analysis of a stage: it compares the cohorts that apply the old and the new version over the same time.
//!
//! Its state is kept only in the memory of the leader: a new leader starts with no evidence, and the soak time of the stage starts again.
//! `samples` collects the statistics of the cohorts in an interval, `comparison` updates the tests from them, and `verdict` decides
//! whether the stage passes.

use crate::cohorts::{slow_buckets, Bursts};
use crate::finding::Measure;
use crate::fleet_baseline::FleetBaseline;
use crate::sequential_test::SequentialTest;
use crate::timeline::Sample;
use crate::Nanos;
use rushquay_membership::{ClassStats, ProxyStats};
use std::collections::{BTreeMap, BTreeSet};

mod comparison;
mod samples;
mod verdict;

pub use verdict::Score;

/// The error rates and margins of the verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum probability that a version that is no worse is stopped by any of the tests, over all stages.
    pub alpha: f64,
    /// Maximum probability that a stage passes although a class does worse than permitted, over all checks.
    pub beta: f64,
    /// The new cohort's permitted rate of bad outcomes is the old cohort's times this factor...
    pub times: f64,
    /// ...plus this margin, as a share of all requests.
    pub beyond: f64,
    /// The same factor and margin for the rate of answers slower than the 90th percentile before the rollout.
    pub slow: (f64, f64),
    /// Factor on both margins within a single data centre: it has fewer requests, but a version that is worse only there has to be
    /// detected too.
    pub single_zone_factor: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            alpha: 0.01,
            beta: 0.05,
            times: 1.5,
            beyond: 0.02,
            slow: (1.5, 0.1),
            single_zone_factor: 4.0,
        }
    }
}

/// Identifies a sequential test.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TestKey {
    /// The data centre; empty: all that the rollout has reached.
    zone: String,
    /// The request class; empty: all classes.
    class: String,
    measure: Measure,
}

impl TestKey {
    fn new(zone: &str, class: &str, measure: Measure) -> Self {
        TestKey { zone: zone.to_owned(), class: class.to_owned(), measure }
    }
}

/// The analysis of the present stage, and the baseline before the rollout.
#[derive(Clone, Debug)]
pub struct Analysis {
    bounds: Bounds,
    /// The rollout changes the program, so each of its members is restarted.
    replaces_program: bool,
    /// Incarnation and statistics of the last report of each member.
    last_reports: BTreeMap<String, (u64, ProxyStats)>,
    /// Members whose process has just started, with the time left of their warm-up.
    warming_up: BTreeMap<String, Nanos>,
    /// Those of them that the rollout restarted to replace the program. The stage must not pass before their requests count.
    new_warming_up: BTreeSet<String>,
    /// The state of the whole fleet, before the rollout and now.
    baseline: FleetBaseline,
    /// Response times before the rollout, by class.
    baseline_times: BTreeMap<String, ClassStats>,
    /// Histogram buckets beyond which an answer is slow, by class: those of the median and of the 90th percentile before the rollout.
    slow_buckets: BTreeMap<String, [usize; 2]>,
    tests: BTreeMap<TestKey, SequentialTest>,
    /// Data centres with members of the new cohort.
    reached_zones: BTreeSet<String>,
    /// Burst sizes of the old cohort, by class and measure.
    bursts: BTreeMap<(String, Measure), Bursts>,
    /// Number of intervals in a row in which the new cohort used too much memory, and too many descriptors.
    excess_intervals: [u32; 2],
    /// Mean memory and mean descriptors, each of the new and the old cohort, in the last interval.
    resource_means: [[f64; 2]; 2],
    /// Requests of the new and the old cohort in the last interval, by class.
    last_samples: BTreeMap<String, [Sample; 2]>,
    /// A rollout is running, so the baseline is not updated.
    is_baseline_frozen: bool,
    /// A stage has begun, so the cohorts are compared.
    is_comparing: bool,
    /// Since when all members of the stage apply the new version; `None`: not all do.
    soaking_since: Option<Nanos>,
    /// How many times it was checked whether the stage passes.
    checks: u32,
    /// Number of stages of the rollout, which share the error rate `alpha`.
    stages: usize,
}

impl Analysis {
    /// An analysis without any reports.
    pub fn new(bounds: Bounds) -> Self {
        Analysis {
            replaces_program: false,
            bounds,
            last_reports: BTreeMap::new(),
            warming_up: BTreeMap::new(),
            new_warming_up: BTreeSet::new(),
            baseline: FleetBaseline::default(),
            baseline_times: BTreeMap::new(),
            slow_buckets: BTreeMap::new(),
            tests: BTreeMap::new(),
            reached_zones: BTreeSet::new(),
            bursts: BTreeMap::new(),
            excess_intervals: [0; 2],
            resource_means: [[0.0; 2]; 2],
            last_samples: BTreeMap::new(),
            is_baseline_frozen: false,
            is_comparing: false,
            soaking_since: None,
            checks: 0,
            stages: 1,
        }
    }

    /// Sets whether the rollout replaces the program. If it does, the restart of a process into the new program does not count as a failure.
    pub fn set_replaces_program(&mut self, replaces: bool) {
        self.replaces_program = replaces;
    }

    /// Begins a stage; `stages` is the number of stages of the rollout. The evidence of earlier stages is dropped; the baseline before the
    /// rollout is kept until the rollout is over.
    pub fn begin_stage(&mut self, stages: usize) {
        self.is_baseline_frozen = true;
        for (class, stats) in &self.baseline_times {
            if let Some(buckets) = slow_buckets(stats) {
                self.slow_buckets.entry(class.clone()).or_insert(buckets);
            }
        }
        self.tests.clear();
        self.reached_zones.clear();
        self.excess_intervals = [0; 2];
        (self.checks, self.soaking_since, self.is_comparing, self.stages) = (0, None, true, stages.max(1));
    }

    /// Starts the soak time: all members of the stage apply the new version.
    pub fn begin_soak(&mut self, now: Nanos) {
        (self.checks, self.soaking_since) = (0, Some(now));
    }

    /// Resets the analysis after a rollout: a new baseline is learned.
    pub fn end_rollout(&mut self) {
        if self.is_baseline_frozen {
            *self = Analysis {
                last_reports: std::mem::take(&mut self.last_reports),
                ..Analysis::new(self.bounds)
            };
        }
    }

    /// The baseline before the rollout: bad outcomes and attempts, each per request; `None`: too few requests were observed.
    pub fn baseline_rates(&self) -> Option<[f64; 2]> {
        self.baseline.rates_before()
    }

    /// Sets the baseline of a previous leader, which is used while this one has none.
    pub fn set_inherited_baseline(&mut self, usual: Option<[f64; 2]>) {
        self.baseline.set_inherited(usual);
    }
}
