//! The analysis of a stage: it compares the cohorts that apply the old and the new version over the same time.
//!
//! Only the leader keeps it, in memory: a new leader begins anew, and the stage soaks anew with it. `samples` collects what the
//! cohorts did in an interval, `comparison` turns that into evidence, and `verdict` decides by it.

use crate::cohorts::{slow_buckets, Bursts};
use crate::finding::Measure;
use crate::fleet_baseline::FleetBaseline;
use crate::sequential_test::Odds;
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
    /// The probability that a version that is no worse is stopped by any of the tests, over all stages.
    pub alpha: f64,
    /// The probability that a stage passes although a class does worse than is allowed, over all checks.
    pub beta: f64,
    /// Factor by which the new cohort's rate of bad outcomes may exceed the old cohort's...
    pub times: f64,
    /// ...and what it may exceed that by, as a part of all requests.
    pub beyond: f64,
    /// The same factor and part for answers slower than the slowest tenth of the old cohort.
    pub slow: (f64, f64),
    /// Factor on the permitted parts within a single data centre: there are fewer requests in one, but what is worse in one alone has to be
    /// excluded all the same.
    pub apart: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { alpha: 0.01, beta: 0.05, times: 1.5, beyond: 0.02, slow: (1.5, 0.1), apart: 4.0 }
    }
}

/// Identifies a test.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Test {
    /// Empty: all data centres that the rollout has reached.
    zone: String,
    /// Empty: all classes.
    class: String,
    measure: Measure,
}

impl Test {
    fn new(zone: &str, class: &str, measure: Measure) -> Self {
        Test { zone: zone.to_owned(), class: class.to_owned(), measure }
    }
}

/// The analysis of the stage that runs, and the baseline before it.
#[derive(Clone, Debug)]
pub struct Analysis {
    bounds: Bounds,
    replaces_program: bool,
    /// Incarnation and statistics of the last report of each member.
    last_reports: BTreeMap<String, (u64, ProxyStats)>,
    /// Members that have only just started, with what is left of their warm-up.
    warming_up: BTreeMap<String, Nanos>,
    /// Those of them that started with the new version: a stage that passed before they count would pass without them.
    new_warming_up: BTreeSet<String>,
    /// The state of the whole fleet, now and before the rollout.
    baseline: FleetBaseline,
    /// Response times before the rollout, by class.
    usual_times: BTreeMap<String, ClassStats>,
    /// Histogram buckets beyond which an answer is slow, by class: half, and nine in ten, were no slower before.
    slow_buckets: BTreeMap<String, [usize; 2]>,
    tests: BTreeMap<Test, Odds>,
    /// Data centres with members that have changed.
    reached_zones: BTreeSet<String>,
    /// Burst sizes as the old cohort shows them.
    bursts: BTreeMap<(String, Measure), Bursts>,
    /// Consecutive intervals in which the new cohort held too much memory, or too many descriptors.
    excess_intervals: [u32; 2],
    /// Mean memory and descriptors of the new and the old cohort.
    resource_means: [[f64; 2]; 2],
    /// What the cohorts did in the last interval, by class.
    last_samples: BTreeMap<String, [Sample; 2]>,
    /// A rollout runs: the baseline before it is no longer updated.
    is_baseline_frozen: bool,
    /// The cohorts are compared.
    is_comparing: bool,
    /// Since when all members of the stage have changed.
    soaking_since: Option<Nanos>,
    /// How often it was checked whether the stage passes.
    checks: u32,
    /// How many stages share the probability of a false stop.
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
            usual_times: BTreeMap::new(),
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

    /// Sets whether the rollout replaces the program: a process that ends to make room for the new one has not failed.
    pub fn replaces(&mut self, replaces: bool) {
        self.replaces_program = replaces;
    }

    /// Begins a stage of a rollout of so many stages. The evidence of earlier stages is dropped; the baseline before the rollout
    /// stays until the rollout is over.
    pub fn begin(&mut self, stages: usize) {
        self.is_baseline_frozen = true;
        for (class, stats) in &self.usual_times {
            if let Some(buckets) = slow_buckets(stats) {
                self.slow_buckets.entry(class.clone()).or_insert(buckets);
            }
        }
        self.tests.clear();
        self.reached_zones.clear();
        self.excess_intervals = [0; 2];
        (self.checks, self.soaking_since, self.is_comparing, self.stages) = (0, None, true, stages.max(1));
    }

    /// All members of the stage have changed.
    pub fn soak(&mut self, now: Nanos) {
        (self.checks, self.soaking_since) = (0, Some(now));
    }

    /// No rollout runs any more: the baseline is learned anew.
    pub fn rest(&mut self) {
        if self.is_baseline_frozen {
            *self = Analysis {
                last_reports: std::mem::take(&mut self.last_reports),
                ..Analysis::new(self.bounds)
            };
        }
    }

    /// The baseline before the rollout: bad outcomes and attempts, as parts of all requests; `None`: not known.
    pub fn usual(&self) -> Option<[f64; 2]> {
        self.baseline.usual()
    }

    /// Adopts the baseline of a previous leader, where this one has none.
    pub fn told_usual(&mut self, usual: Option<[f64; 2]>) {
        self.baseline.set_inherited(usual);
    }
}
