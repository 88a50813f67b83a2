//! The statistics of a proxy: cumulative since its start, so that a report that is lost, late or duplicated changes no total.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Buckets of a histogram of response times: four per doubling, from half a millisecond to about half a minute.
pub const BUCKETS: usize = 64;
/// The upper edge of the first bucket, in nanoseconds.
const FIRST_BUCKET_EDGE_NS: f64 = 500_000.0;

/// The bucket of a time.
pub fn bucket(time: Nanos) -> usize {
    let steps = ((time as f64).max(1.0) / FIRST_BUCKET_EDGE_NS).log2() * 4.0;
    (steps.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// The upper edge of a bucket.
pub fn upper(bucket: usize) -> Nanos {
    (FIRST_BUCKET_EDGE_NS * (bucket as f64 / 4.0).exp2()) as Nanos
}

/// Requests of one class by outcome, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassStats {
    /// Served within the latency objective.
    pub served: u64,
    /// Served later than that.
    pub late: u64,
    /// Rejected.
    pub refused: u64,
    /// Failed, or past their deadline.
    pub failed: u64,
    /// Histogram of the response times of served requests, by [`bucket`]; missing buckets at the end are 0.
    pub times: Vec<u64>,
}

impl ClassStats {
    /// All completed requests.
    pub fn all(&self) -> u64 {
        self.served.saturating_add(self.late).saturating_add(self.refused).saturating_add(self.failed)
    }

    /// Counts the response time of a served request.
    pub fn took(&mut self, time: Nanos) {
        let at = bucket(time);
        if self.times.len() <= at {
            self.times.resize(at + 1, 0);
        }
        self.times[at] += 1;
    }

    /// How many served requests took longer than the upper edge of this bucket.
    pub fn slower(&self, than: usize) -> u64 {
        self.times.iter().skip(than + 1).sum()
    }

    /// The difference to an earlier state of the same process.
    pub fn since(&self, before: &Self) -> Self {
        let difference = |a: u64, b: u64| a.saturating_sub(b);
        let times = self.times.iter().enumerate();
        ClassStats {
            served: difference(self.served, before.served),
            late: difference(self.late, before.late),
            refused: difference(self.refused, before.refused),
            failed: difference(self.failed, before.failed),
            times: times.map(|(i, n)| difference(*n, before.times.get(i).copied().unwrap_or(0))).collect(),
        }
    }

    /// Adds the statistics of another.
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

/// The statistics of one process since its start, and the resources it uses now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProxyStats {
    /// Requests by class.
    pub classes: BTreeMap<String, ClassStats>,
    /// Attempts written completely to cache nodes.
    pub attempts: u64,
    /// Resident memory, in bytes; 0: not known.
    pub memory: u64,
    /// Open file descriptors; 0: not known.
    pub descriptors: u64,
    /// Checks of the process's own clock, and how many of them came late because the process was paused. Response times are measured from
    /// when a request is read: a process that is paused between reads makes clients wait and measures nothing of that.
    pub beats: u64,
    /// See [`ProxyStats::beats`].
    pub late_beats: u64,
}

impl ProxyStats {
    /// The difference to an earlier state of the same process; memory and descriptors as they are now.
    pub fn since(&self, before: &Self) -> Self {
        let none = ClassStats::default();
        let class = |(name, now): (&String, &ClassStats)| {
            (name.clone(), now.since(before.classes.get(name).unwrap_or(&none)))
        };
        ProxyStats {
            classes: self.classes.iter().map(class).collect(),
            attempts: self.attempts.saturating_sub(before.attempts),
            beats: self.beats.saturating_sub(before.beats),
            late_beats: self.late_beats.saturating_sub(before.late_beats),
            ..*self
        }
    }

    /// Adds the statistics of another; memory and descriptors are summed.
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

    /// All completed requests.
    pub fn all(&self) -> u64 {
        self.classes.values().map(ClassStats::all).sum()
    }
}
