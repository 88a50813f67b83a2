//! The statistics of a cohort in one interval and data centre, and the size of bursts of bad outcomes.

use crate::{Nanos, SECOND};
use rushquay_membership::{ClassStats, ProxyStats};
use std::collections::BTreeMap;

/// Minimum number of answers from which it is derived what is slow.
const MIN_ANSWERS: u64 = 50;
/// Factor by which the largest burst decays with each interval.
const BURST_DECAY: f64 = 0.998;
/// Assumed size of bursts until enough is observed.
pub(crate) const INITIAL_BURST: f64 = 2.0;

/// What one cohort did in one interval, in one data centre.
#[derive(Default)]
pub(crate) struct CohortStats {
    pub members: f64,
    pub restarts: u64,
    pub attempts: u64,
    /// Total running time of the members, in hundredths of a second.
    pub uptime_centiseconds: u64,
    /// Sums of memory and of open descriptors.
    pub resources: [f64; 2],
    /// For each member: late checks of the process's own clock, and all checks.
    pub clock_checks: Vec<(u64, u64)>,
    /// For each class: the statistics of each member.
    pub classes: BTreeMap<String, Vec<ClassStats>>,
}

impl CohortStats {
    pub fn add_member(&mut self, fresh: ProxyStats, restarted: bool, span: Nanos) {
        self.members += 1.0;
        self.restarts += u64::from(restarted);
        self.attempts += fresh.attempts;
        self.clock_checks.push((fresh.late_beats, fresh.beats));
        self.uptime_centiseconds += span / (SECOND / 100);
        self.resources[0] += fresh.memory as f64;
        self.resources[1] += fresh.descriptors as f64;
        for (name, class) in fresh.classes {
            self.classes.entry(name).or_default().push(class);
        }
    }

    pub fn requests(&self) -> u64 {
        self.classes.values().flatten().map(ClassStats::all).sum()
    }
}

/// Sums of bad and of all outcomes.
pub(crate) fn total(each: &[(u64, u64)]) -> (u64, u64) {
    each.iter().fold((0, 0), |sum, each| (sum.0 + each.0, sum.1 + each.1))
}

/// Sizes of bursts of bad outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bursts {
    /// The mean size, which widens a bound on a sum.
    pub mean: f64,
    intervals: f64,
    /// The largest recent size. Danger: a sequential test that multiplies likelihoods is broken by the largest burst, not by the mean one:
    /// with the mean in its place 85 of 1,000 versions that were no worse were stopped, where ten may be.
    pub largest: f64,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { mean: INITIAL_BURST, intervals: 0.0, largest: INITIAL_BURST }
    }
}

impl Bursts {
    /// Takes in the bad and all outcomes of each old member in an interval.
    pub fn observe(&mut self, old: &[(u64, u64)]) {
        let (bad, all) = total(old);
        let rate = bad as f64 / (all as f64).max(1.0);
        let excess = |(bad, all): &(u64, u64)| {
            let usual = *all as f64 * rate;
            1.0 + *bad as f64 - usual - 2.0 * usual.sqrt()
        };
        let now = old.iter().map(excess).fold(INITIAL_BURST, f64::max);
        self.largest = f64::max(self.largest * BURST_DECAY, now);
        if let Some(now) = dispersion(old) {
            self.intervals += 1.0;
            self.mean += (now - self.mean) / self.intervals.clamp(5.0, 100.0);
        }
    }
}

/// How much more members differ than by chance: Pearson's statistic by degree of freedom. `None`: too few outcomes.
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

/// The histogram buckets beyond which an answer is slow; `None`: too few answers.
pub(crate) fn slow_buckets(usual: &ClassStats) -> Option<[usize; 2]> {
    let enough = usual.times.iter().sum::<u64>() >= MIN_ANSWERS;
    enough.then(|| [quantile(&usual.times, 0.5), quantile(&usual.times, 0.9)])
}

/// The bucket up to which this part of the counts lies.
fn quantile(times: &[u64], part: f64) -> usize {
    let all: u64 = times.iter().sum();
    let mut below = 0;
    let bucket = times.iter().position(|n| {
        below += n;
        below as f64 >= all as f64 * part
    });
    bucket.unwrap_or(0)
}
