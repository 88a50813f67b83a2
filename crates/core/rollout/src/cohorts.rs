//! The statistics of a cohort in one interval and data centre, and estimates of the size of bursts of bad outcomes.

use crate::{Nanos, SECOND};
use rushquay_membership::{ClassStats, ProxyStats};
use std::collections::BTreeMap;

/// Minimum number of answers from which the response time quantiles are taken.
const MIN_ANSWERS: u64 = 50;
/// Factor by which the size of the largest burst decays with each interval.
const BURST_DECAY: f64 = 0.998;
/// Assumed size of bursts before any are observed, and the minimum for the largest.
pub(crate) const INITIAL_BURST: f64 = 2.0;

/// The statistics of one cohort in one interval and data centre.
#[derive(Default)]
pub(crate) struct CohortStats {
    pub members: f64,
    pub restarts: u64,
    pub attempts: u64,
    /// Total running time of the members, in hundredths of a second.
    pub uptime_centiseconds: u64,
    /// Sums over the members of resident memory and of open file descriptors.
    pub resources: [f64; 2],
    /// For each member: late and all checks of the process's own clock.
    pub clock_checks: Vec<(u64, u64)>,
    /// For each class: the statistics of each member.
    pub classes: BTreeMap<String, Vec<ClassStats>>,
}

impl CohortStats {
    pub fn add_member(&mut self, stats: ProxyStats, restarted: bool, elapsed: Nanos) {
        self.members += 1.0;
        self.restarts += u64::from(restarted);
        self.attempts += stats.attempts;
        self.clock_checks.push((stats.late_beats, stats.beats));
        self.uptime_centiseconds += elapsed / (SECOND / 100);
        self.resources[0] += stats.memory as f64;
        self.resources[1] += stats.descriptors as f64;
        for (name, class) in stats.classes {
            self.classes.entry(name).or_default().push(class);
        }
    }

    pub fn requests(&self) -> u64 {
        self.classes.values().flatten().map(ClassStats::total).sum()
    }
}

/// Sums of bad and of all outcomes.
pub(crate) fn total(each: &[(u64, u64)]) -> (u64, u64) {
    each.iter().fold((0, 0), |sum, each| (sum.0 + each.0, sum.1 + each.1))
}

/// Sizes of bursts of bad outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bursts {
    /// The mean size, for the confidence bound on the rate of a whole stage.
    pub mean: f64,
    intervals: f64,
    /// The largest recent size, for the sequential test. Danger: a test that multiplies likelihoods depends on the largest burst, not on the
    /// mean one. With the mean, it stopped 85 of 1,000 versions that were no worse, while its error rate permits 10.
    pub largest: f64,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { mean: INITIAL_BURST, intervals: 0.0, largest: INITIAL_BURST }
    }
}

impl Bursts {
    /// Updates the estimates from the bad and all outcomes of each member of the old cohort in an interval.
    pub fn observe(&mut self, old: &[(u64, u64)]) {
        let (bad, all) = total(old);
        let rate = bad as f64 / (all as f64).max(1.0);
        let excess = |(bad, all): &(u64, u64)| {
            let expected = *all as f64 * rate;
            1.0 + *bad as f64 - expected - 2.0 * expected.sqrt()
        };
        let size = old.iter().map(excess).fold(INITIAL_BURST, f64::max);
        self.largest = f64::max(self.largest * BURST_DECAY, size);
        if let Some(current) = dispersion(old) {
            self.intervals += 1.0;
            self.mean += (current - self.mean) / self.intervals.clamp(5.0, 100.0);
        }
    }
}

/// The overdispersion of the members' rates: Pearson's chi-squared statistic per degree of freedom, which is about 1 if they differ by
/// chance alone. `None`: too few members or outcomes.
fn dispersion(each: &[(u64, u64)]) -> Option<f64> {
    let each: Vec<(f64, f64)> =
        each.iter().filter(|(_, all)| *all > 0).map(|(bad, all)| (*bad as f64, *all as f64)).collect();
    let (bad, all) = each.iter().fold((0.0, 0.0), |sum, each| (sum.0 + each.0, sum.1 + each.1));
    if each.len() < 2 || bad < 1.0 || bad >= all {
        return None;
    }
    let rate = bad / all;
    let deviation = |(bad, all): &(f64, f64)| (bad - all * rate).powi(2) / (all * rate * (1.0 - rate));
    Some(each.iter().map(deviation).sum::<f64>() / (each.len() - 1) as f64)
}

/// The histogram buckets of the median and the 90th percentile of response times; `None`: too few answers.
pub(crate) fn slow_buckets(baseline: &ClassStats) -> Option<[usize; 2]> {
    let has_enough = baseline.times.iter().sum::<u64>() >= MIN_ANSWERS;
    has_enough.then(|| [quantile(&baseline.times, 0.5), quantile(&baseline.times, 0.9)])
}

/// The bucket up to which this share of the counts lies.
fn quantile(times: &[u64], share: f64) -> usize {
    let all: u64 = times.iter().sum();
    let mut below = 0;
    let bucket = times.iter().position(|n| {
        below += n;
        below as f64 >= all as f64 * share
    });
    bucket.unwrap_or(0)
}
