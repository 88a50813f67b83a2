//! The comparison of the two cohorts over one interval, which updates the tests.

use super::samples::ZoneCohorts;
use super::{Analysis, TestKey};
use crate::cohorts::{slow_buckets, total, CohortStats, INITIAL_BURST};
use crate::finding::Measure;
use crate::sequential_test::SequentialTest;
use rushquay_membership::ClassStats;
use std::collections::BTreeSet;

/// Measures that are tested for each class, over all data centres and within each.
pub(super) const CLASS_MEASURES: [Measure; 4] =
    [Measure::Bad, Measure::Failed, Measure::SlowHalf, Measure::SlowTenth];
/// Number of further checks, over all classes: attempts, restarts, process pauses, memory and descriptors.
pub(super) const OVERALL_TESTS: f64 = 5.0;
/// Number of intervals in a row with excessive memory or descriptors after which a rollout is rolled back.
pub(super) const MAX_EXCESS_INTERVALS: u32 = 10;

/// The new cohort's mean memory is excessive above the old cohort's mean times the first number plus the second, in bytes.
const MEMORY_MARGIN: (f64, f64) = (1.5, 32.0 * 1048576.0);
/// The same for open descriptors.
const DESCRIPTOR_MARGIN: (f64, f64) = (1.5, 64.0);

/// For memory and for descriptors, and for each cohort: the sum over the members, and the number of members.
type ResourceSums = [[(f64, f64); 2]; 2];

impl Analysis {
    /// Compares the cohorts within each data centre, so that differences between data centres are not taken for differences between the
    /// versions.
    pub(super) fn compare(&mut self, zones: &ZoneCohorts) {
        let mut sums: ResourceSums = [[(0.0, 0.0); 2]; 2];
        for (zone, cohorts) in zones {
            if cohorts[0].members > 0.0 {
                self.reached_zones.insert(zone.clone());
            }
            let classes: BTreeSet<&String> =
                cohorts.iter().flat_map(|cohort| cohort.classes.keys()).collect();
            for class in classes {
                self.learn_slow_buckets(class, &cohorts[1]);
                for measure in CLASS_MEASURES {
                    self.compare_class((zone, class), measure, cohorts);
                }
            }
            self.compare_overall(cohorts);
            for (resource, cohort_sums) in sums.iter_mut().enumerate() {
                for (cohort, sum) in cohorts.iter().zip(cohort_sums) {
                    *sum = (sum.0 + cohort.resources[resource], sum.1 + cohort.members);
                }
            }
        }
        self.compare_resources(&sums);
    }

    /// If there were too few answers of a class before the rollout, learns its usual response times from the old cohort. Once there are
    /// enough answers, the buckets beyond which an answer is slow are fixed.
    fn learn_slow_buckets(&mut self, class: &str, old: &CohortStats) {
        if self.slow_buckets.contains_key(class) {
            return;
        }
        let baseline = self.baseline_times.entry(class.to_owned()).or_default();
        old.classes.get(class).into_iter().flatten().for_each(|stats| baseline.add(stats));
        if let Some(buckets) = slow_buckets(baseline) {
            self.slow_buckets.insert(class.to_owned(), buckets);
        }
    }

    /// Compares the measures that are not counted by class: attempts, late clock checks and restarts.
    fn compare_overall(&mut self, cohorts: &[CohortStats; 2]) {
        let all = [0, 1].map(|i| cohorts[i].requests());
        let retries = [0, 1].map(|i| cohorts[i].attempts.saturating_sub(all[i]));
        self.test("", "", Measure::Attempts).add(retries, all, INITIAL_BURST);
        let bursts = self.bursts.entry((String::new(), Measure::ProcessPauses)).or_default();
        bursts.observe(&cohorts[1].clock_checks);
        let (burst, [new, old]) = (bursts.largest, [0, 1].map(|i| total(&cohorts[i].clock_checks)));
        self.test("", "", Measure::ProcessPauses).add([new.0, old.0], [new.1, old.1], burst);
        let uptime = [0, 1].map(|i| cohorts[i].uptime_centiseconds);
        let restarts = [0, 1].map(|i| cohorts[i].restarts);
        self.test("", "", Measure::Restarts).add(restarts, uptime, 1.0);
    }

    /// Counts the intervals in which the new cohort uses excessive memory or descriptors.
    fn compare_resources(&mut self, sums: &ResourceSums) {
        for (resource, (factor, margin)) in [MEMORY_MARGIN, DESCRIPTOR_MARGIN].into_iter().enumerate() {
            let means = sums[resource].map(|(sum, members)| sum / f64::max(members, 1.0));
            self.resource_means[resource] = means;
            let has_both_cohorts = sums[resource].iter().all(|(_, members)| *members > 0.0);
            let is_excessive = has_both_cohorts && means[0] > means[1] * factor + margin;
            self.excess_intervals[resource] =
                if is_excessive { self.excess_intervals[resource] + 1 } else { 0 };
        }
    }

    /// The test with this key, which is created if it does not exist.
    fn test(&mut self, zone: &str, class: &str, measure: Measure) -> &mut SequentialTest {
        self.tests.entry(TestKey::new(zone, class, measure)).or_default()
    }

    /// Compares one measure of one class within one data centre.
    fn compare_class(&mut self, (zone, class): (&str, &str), measure: Measure, cohorts: &[CohortStats; 2]) {
        let buckets = self.slow_buckets.get(class).copied();
        // Bad and all outcomes of one member; `None`: it is not known yet which answers are slow.
        let counts_of = |stats: &ClassStats| match measure {
            Measure::SlowHalf => buckets.map(|b| (stats.count_slower_than(b[0]), stats.served + stats.late)),
            Measure::SlowTenth => buckets.map(|b| (stats.count_slower_than(b[1]), stats.served + stats.late)),
            Measure::Failed => Some((stats.failed, stats.total())),
            _ => Some((stats.refused + stats.failed + stats.late, stats.total())),
        };
        let counts = |i: usize| {
            cohorts[i].classes.get(class).into_iter().flatten().filter_map(counts_of).collect::<Vec<_>>()
        };
        let (new, old) = (counts(0), counts(1));
        let bursts = self.bursts.entry((class.to_owned(), measure)).or_default();
        bursts.observe(&old);
        let burst = bursts.largest;
        let (new, old) = (total(&new), total(&old));
        // The test over all data centres detects small differences everywhere; the one of this data centre detects larger ones only here.
        for test_zone in ["", zone] {
            self.test(test_zone, class, measure).add([new.0, old.0], [new.1, old.1], burst);
        }
    }
}
