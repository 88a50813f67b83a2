//! What old and new did in a look, in one data centre, and how bad ends come together.

use crate::{Nanos, SECOND};
use rushquay_membership::{ClassStats, ProxyStats};
use std::collections::BTreeMap;

/// Answers of which it is told what is slow.
const ANSWERS: u64 = 50;
/// The largest burst is forgotten by this factor a look.
const FADES: f64 = 0.998;
/// Bursts are taken for this large until enough is seen of them.
pub(crate) const BURST: f64 = 2.0;

/// What one side did in a look, in one data centre.
#[derive(Default)]
pub(crate) struct Side {
    pub instances: f64,
    pub restarts: u64,
    pub attempts: u64,
    /// Hundredths of seconds.
    pub ran: u64,
    pub held: [f64; 2],
    /// Of each instance: looks at its clock that came late, and all.
    pub beats: Vec<(u64, u64)>,
    /// By class: for each instance.
    pub each: BTreeMap<String, Vec<ClassStats>>,
}

impl Side {
    pub fn take(&mut self, fresh: ProxyStats, restarted: bool, span: Nanos) {
        self.instances += 1.0;
        self.restarts += u64::from(restarted);
        self.attempts += fresh.attempts;
        self.beats.push((fresh.late_beats, fresh.beats));
        self.ran += span / (SECOND / 100);
        self.held[0] += fresh.memory as f64;
        self.held[1] += fresh.descriptors as f64;
        for (name, class) in fresh.classes {
            self.each.entry(name).or_default().push(class);
        }
    }

    pub fn all(&self) -> u64 {
        self.each.values().flatten().map(ClassStats::all).sum()
    }
}

/// Bad ones and all of these together.
pub(crate) fn total(each: &[(u64, u64)]) -> (u64, u64) {
    each.iter().fold((0, 0), |s, e| (s.0 + e.0, s.1 + e.1))
}

/// How bad ends come together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bursts {
    /// On the mean: what widens a bound on a sum.
    pub mean: f64,
    looks: f64,
    /// The largest lately. Danger: a test that multiplies chances is broken by the largest burst and not by the mean: with
    /// the mean in its place 85 of 1,000 changes that were no worse were stopped, where ten may be.
    pub largest: f64,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { mean: BURST, looks: 0.0, largest: BURST }
    }
}

impl Bursts {
    /// Takes in bad ends and all of each of the old in a look.
    pub fn saw(&mut self, old: &[(u64, u64)]) {
        let (bad, all) = total(old);
        let rate = bad as f64 / (all as f64).max(1.0);
        let beyond = |(bad, all): &(u64, u64)| {
            let usual = *all as f64 * rate;
            1.0 + *bad as f64 - usual - 2.0 * usual.sqrt()
        };
        let now = old.iter().map(beyond).fold(BURST, f64::max);
        self.largest = f64::max(self.largest * FADES, now);
        if let Some(now) = spread(old) {
            self.looks += 1.0;
            self.mean += (now - self.mean) / self.looks.clamp(5.0, 100.0);
        }
    }
}

/// How much more instances differ than by chance: Pearson's statistic for each degree of freedom. `None`: too little to tell.
fn spread(each: &[(u64, u64)]) -> Option<f64> {
    let each: Vec<(f64, f64)> =
        each.iter().filter(|(_, all)| *all > 0).map(|(bad, all)| (*bad as f64, *all as f64)).collect();
    let (bad, all) = each.iter().fold((0.0, 0.0), |s, e| (s.0 + e.0, s.1 + e.1));
    if each.len() < 2 || bad < 1.0 || bad >= all {
        return None;
    }
    let rate = bad / all;
    let off = |(bad, all): &(f64, f64)| (bad - all * rate).powi(2) / (all * rate * (1.0 - rate));
    Some(each.iter().map(off).sum::<f64>() / (each.len() - 1) as f64)
}

/// The buckets over which an answer is slow; `None`: too few were seen.
pub(crate) fn slow(usual: &ClassStats) -> Option<[usize; 2]> {
    let enough = usual.times.iter().sum::<u64>() >= ANSWERS;
    enough.then(|| [quantile(&usual.times, 0.5), quantile(&usual.times, 0.9)])
}

/// The bucket up to which this part of the counts lies.
fn quantile(times: &[u64], part: f64) -> usize {
    let all: u64 = times.iter().sum();
    let mut below = 0;
    let found = times.iter().position(|n| {
        below += n;
        below as f64 >= all as f64 * part
    });
    found.unwrap_or(0)
}
