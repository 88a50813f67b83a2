//! The statistics of a proxy. They are cumulative since its start, so a lost, late or duplicate report does not falsify the totals.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of buckets of a histogram of response times: four per doubling, from 0.5 ms to about 28 s.
pub const BUCKETS: usize = 64;
/// The upper edge of the first bucket, in nanoseconds.
const FIRST_BUCKET_EDGE_NS: f64 = 500_000.0;

/// The index of the bucket that counts a response time.
pub fn bucket(time: Nanos) -> usize {
    let steps = ((time as f64).max(1.0) / FIRST_BUCKET_EDGE_NS).log2() * 4.0;
    (steps.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// The upper edge of the bucket with this index; times up to and including it belong to the bucket.
pub fn bucket_upper_edge(bucket: usize) -> Nanos {
    (FIRST_BUCKET_EDGE_NS * (bucket as f64 / 4.0).exp2()) as Nanos
}

/// Numbers of completed requests of one class by outcome, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassStats {
    /// Served within the latency objective.
    pub served: u64,
    /// Served, but not within the latency objective.
    pub late: u64,
    /// Rejected.
    pub refused: u64,
    /// Failed, or past their deadline.
    pub failed: u64,
    /// Histogram of the response times of served requests, indexed by [`bucket`]; trailing zeros may be omitted.
    pub times: Vec<u64>,
}

impl ClassStats {
    /// The number of completed requests.
    pub fn total(&self) -> u64 {
        self.served.saturating_add(self.late).saturating_add(self.refused).saturating_add(self.failed)
    }

    /// Adds the response time of a served request to the histogram.
    pub fn record_response_time(&mut self, time: Nanos) {
        let index = bucket(time);
        if self.times.len() <= index {
            self.times.resize(index + 1, 0);
        }
        self.times[index] += 1;
    }

    /// The number of served requests that took longer than the upper edge of the bucket with this index.
    pub fn count_slower_than(&self, bucket_index: usize) -> u64 {
        self.times.iter().skip(bucket_index + 1).sum()
    }

    /// The difference from an earlier state of the same process.
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

    /// Adds the statistics of another process.
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

/// The statistics of one process since its start, and the resources that it uses at present.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProxyStats {
    /// Requests by class.
    pub classes: BTreeMap<String, ClassStats>,
    /// Number of attempts written completely to cache nodes.
    pub attempts: u64,
    /// Resident memory, in bytes; 0: unknown.
    pub memory: u64,
    /// Number of open file descriptors; 0: unknown.
    pub descriptors: u64,
    /// Number of periodic checks of the process's own clock. Together with `late_beats` they reveal pauses of the process, which response
    /// times do not: these are measured from when a request is read, so a pause between reads delays clients but is not measured.
    pub beats: u64,
    /// Number of those checks that were late because the process was paused.
    pub late_beats: u64,
}

impl ProxyStats {
    /// The difference from an earlier state of the same process; memory and descriptors keep their present values.
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

    /// Adds the statistics of another process; memory and descriptors are summed too.
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

    /// The number of completed requests of all classes.
    pub fn total(&self) -> u64 {
        self.classes.values().map(ClassStats::total).sum()
    }
}
