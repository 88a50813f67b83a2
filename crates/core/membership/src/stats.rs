//! What a proxy counts: all since its boot, so that a report that is lost, late or doubled loses and adds nothing.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Buckets of a distribution of times: four to a doubling, from half a millisecond to about half a minute.
pub const BUCKETS: usize = 64;
/// The upper edge of the first bucket.
const FIRST: f64 = 500_000.0;

/// The bucket of a time.
pub fn bucket(time: Nanos) -> usize {
    let steps = ((time as f64).max(1.0) / FIRST).log2() * 4.0;
    (steps.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// The upper edge of a bucket.
pub fn upper(bucket: usize) -> Nanos {
    (FIRST * (bucket as f64 / 4.0).exp2()) as Nanos
}

/// Requests of one class, by how they ended, since the boot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassStats {
    /// Served within the aim.
    pub served: u64,
    /// Served after it.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or overdue.
    pub failed: u64,
    /// Times to the answer of what was served, by [`bucket`]; what is missing at the end is 0.
    pub times: Vec<u64>,
}

impl ClassStats {
    /// All that ended.
    pub fn all(&self) -> u64 {
        self.served.saturating_add(self.late).saturating_add(self.refused).saturating_add(self.failed)
    }

    /// Counts the time of one that was served.
    pub fn took(&mut self, time: Nanos) {
        let at = bucket(time);
        if self.times.len() <= at {
            self.times.resize(at + 1, 0);
        }
        self.times[at] += 1;
    }

    /// How many of those served took longer than the upper edge of this bucket.
    pub fn slower(&self, than: usize) -> u64 {
        self.times.iter().skip(than + 1).sum()
    }

    /// What has come since an earlier state of the same boot.
    pub fn since(&self, before: &Self) -> Self {
        let less = |a: u64, b: u64| a.saturating_sub(b);
        let times = self.times.iter().enumerate();
        ClassStats {
            served: less(self.served, before.served),
            late: less(self.late, before.late),
            refused: less(self.refused, before.refused),
            failed: less(self.failed, before.failed),
            times: times.map(|(i, n)| less(*n, before.times.get(i).copied().unwrap_or(0))).collect(),
        }
    }

    /// Adds another's.
    pub fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        self.times.iter_mut().zip(&other.times).for_each(|(a, b)| *a += b);
    }
}

/// What one process has counted since its boot, and what it holds now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProxyStats {
    /// By class.
    pub classes: BTreeMap<String, ClassStats>,
    /// Attempts written whole to cache nodes.
    pub attempts: u64,
    /// Resident memory, in bytes; 0: not known.
    pub memory: u64,
    /// Open descriptors; 0: not known.
    pub descriptors: u64,
    /// Looks at its own clock, and how many of them came late since the process stood still. What it measures of requests begins when
    /// it reads them: one that stands still between reads makes clients wait and measures nothing of it.
    pub beats: u64,
    /// See [`Figures::beats`].
    pub late_beats: u64,
}

impl ProxyStats {
    /// What has come since an earlier state of the same boot; memory and descriptors as they are now.
    pub fn since(&self, before: &Self) -> Self {
        let nothing = ClassStats::default();
        let class = |(name, now): (&String, &ClassStats)| {
            (name.clone(), now.since(before.classes.get(name).unwrap_or(&nothing)))
        };
        ProxyStats {
            classes: self.classes.iter().map(class).collect(),
            attempts: self.attempts.saturating_sub(before.attempts),
            beats: self.beats.saturating_sub(before.beats),
            late_beats: self.late_beats.saturating_sub(before.late_beats),
            ..*self
        }
    }

    /// Adds another's counts; memory and descriptors are summed.
    pub fn add(&mut self, other: &Self) {
        for (name, class) in &other.classes {
            self.classes.entry(name.clone()).or_default().add(class);
        }
        self.attempts += other.attempts;
        self.memory += other.memory;
        self.descriptors += other.descriptors;
        self.beats += other.beats;
        self.late_beats += other.late_beats;
    }

    /// All requests that ended.
    pub fn all(&self) -> u64 {
        self.classes.values().map(ClassStats::all).sum()
    }
}
