//! The comparison of the two cohorts over one interval.

use super::samples::ZoneCohorts;
use super::{Analysis, Test};
use crate::cohorts::{slow_buckets, total, CohortStats, INITIAL_BURST};
use crate::finding::Measure;
use crate::sequential_test::Odds;
use rushquay_membership::ClassStats;
use std::collections::BTreeSet;

/// Measures that are tested for each class.
pub(super) const CLASS_MEASURES: [Measure; 4] =
    [Measure::Bad, Measure::Failed, Measure::SlowHalf, Measure::SlowTenth];
/// Number of further tests, for all classes together.
pub(super) const OVERALL_TESTS: f64 = 5.0;
/// Intervals in a row with excessive memory or descriptors after which a rollout is stopped.
pub(super) const MAX_EXCESS_INTERVALS: u32 = 10;

/// Memory of the new cohort is excessive beyond the old cohort's mean times the first plus the second, in bytes.
const MEMORY_MARGIN: (f64, f64) = (1.5, 32.0 * 1048576.0);
/// The same for open descriptors.
const DESCRIPTOR_MARGIN: (f64, f64) = (1.5, 64.0);

/// Sums of memory and of descriptors, each for both cohorts, with the number of members.
type ResourceSums = [[(f64, f64); 2]; 2];

impl Analysis {
    /// Compares the cohorts within each data centre: what one data centre suffers is no difference between old and new.
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

    /// Where the usual response times of a class are unknown, the old cohort shows them now; what counts as slow is fixed from then on.
    fn learn_slow_buckets(&mut self, class: &str, old: &CohortStats) {
        if self.slow_buckets.contains_key(class) {
            return;
        }
        let usual = self.usual_times.entry(class.to_owned()).or_default();
        old.classes.get(class).into_iter().flatten().for_each(|stats| usual.add(stats));
        if let Some(buckets) = slow_buckets(usual) {
            self.slow_buckets.insert(class.to_owned(), buckets);
        }
    }

    /// Compares what is not counted by class: attempts, late clock checks and restarts.
    fn compare_overall(&mut self, cohorts: &[CohortStats; 2]) {
        let all = [0, 1].map(|i| cohorts[i].requests());
        let retries = [0, 1].map(|i| cohorts[i].attempts.saturating_sub(all[i]));
        self.test("", "", Measure::Attempts).add(retries, all, INITIAL_BURST);
        let bursts = self.bursts.entry((String::new(), Measure::StoodStill)).or_default();
        bursts.observe(&cohorts[1].clock_checks);
        let (burst, [new, old]) = (bursts.largest, [0, 1].map(|i| total(&cohorts[i].clock_checks)));
        self.test("", "", Measure::StoodStill).add([new.0, old.0], [new.1, old.1], burst);
        let uptime = [0, 1].map(|i| cohorts[i].uptime_centiseconds);
        let restarts = [0, 1].map(|i| cohorts[i].restarts);
        self.test("", "", Measure::Restarts).add(restarts, uptime, 1.0);
    }

    fn compare_resources(&mut self, sums: &ResourceSums) {
        for (resource, (factor, margin)) in [MEMORY_MARGIN, DESCRIPTOR_MARGIN].into_iter().enumerate() {
            let means = sums[resource].map(|(sum, members)| sum / f64::max(members, 1.0));
            self.resource_means[resource] = means;
            let are_both_there = sums[resource].iter().all(|(_, members)| *members > 0.0);
            let is_excessive = are_both_there && means[0] > means[1] * factor + margin;
            self.excess_intervals[resource] =
                if is_excessive { self.excess_intervals[resource] + 1 } else { 0 };
        }
    }

    fn test(&mut self, zone: &str, class: &str, measure: Measure) -> &mut Odds {
        self.tests.entry(Test::new(zone, class, measure)).or_default()
    }

    fn compare_class(&mut self, (zone, class): (&str, &str), measure: Measure, cohorts: &[CohortStats; 2]) {
        let buckets = self.slow_buckets.get(class).copied();
        // Bad outcomes and all outcomes of one member; `None`: it is not known yet what is slow.
        let counts_of = |stats: &ClassStats| match measure {
            Measure::SlowHalf => buckets.map(|b| (stats.slower(b[0]), stats.served + stats.late)),
            Measure::SlowTenth => buckets.map(|b| (stats.slower(b[1]), stats.served + stats.late)),
            Measure::Failed => Some((stats.failed, stats.all())),
            _ => Some((stats.refused + stats.failed + stats.late, stats.all())),
        };
        let counts = |i: usize| {
            cohorts[i].classes.get(class).into_iter().flatten().filter_map(counts_of).collect::<Vec<_>>()
        };
        let (new, old) = (counts(0), counts(1));
        let bursts = self.bursts.entry((class.to_owned(), measure)).or_default();
        bursts.observe(&old);
        let burst = bursts.largest;
        let (new, old) = (total(&new), total(&old));
        // The test over all data centres detects what is a little worse everywhere, that of one what is worse there alone.
        for place in ["", zone] {
            self.test(place, class, measure).add([new.0, old.0], [new.1, old.1], burst);
        }
    }
}
