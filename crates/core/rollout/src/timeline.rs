//! The timeline of a rollout under the present leader: requests of both cohorts by class over time, and the steps of the rollout.
//!
//! It is shown to operators. No decision depends on it, and a new leader starts with an empty one.

use crate::{Nanos, SECOND};
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of points. When it is reached, points are merged in pairs and the interval between them doubles.
const MAX_POINTS: usize = 240;
/// Maximum number of marks.
const MAX_MARKS: usize = 200;

/// Requests of one cohort in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Completed requests.
    pub all: u64,
    /// Requests that were refused, failed or late.
    pub bad: u64,
    /// Served requests slower than the 90th percentile before the rollout.
    pub slow: u64,
}

impl Sample {
    fn add(&mut self, other: Sample) {
        self.all += other.all;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

/// An interval of the timeline.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Point {
    /// Start of the interval, in Unix time.
    pub at: Nanos,
    /// By class: the new cohort, and the old cohort in the same data centres.
    pub classes: BTreeMap<String, [Sample; 2]>,
}

/// The timeline since the start of the rollout, or since this instance became leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The number of the rollout; 0: none.
    pub change: u64,
    /// Minimum time from one point to the next, in nanoseconds.
    pub every: Nanos,
    /// The points, the oldest first.
    pub points: Vec<Point>,
    /// The time and the description of each step of the rollout.
    pub marks: Vec<(Nanos, String)>,
}

impl Timeline {
    /// An empty timeline of a rollout.
    pub fn new(change: u64) -> Self {
        Timeline { change, every: SECOND, ..Timeline::default() }
    }

    /// Adds a step of the rollout; ignored after the first 200 (`MAX_MARKS`).
    pub fn mark(&mut self, now: Nanos, what: String) {
        if self.marks.len() < MAX_MARKS {
            self.marks.push((now, what));
        }
    }

    /// Adds samples to the last interval, or starts a new one. Samples with an earlier time than the last interval, as after a clock that
    /// went backwards, are added to the last interval.
    pub fn add(&mut self, now: Nanos, classes: &BTreeMap<String, [Sample; 2]>) {
        let starts_interval = self.points.last().is_none_or(|last| now >= last.at.saturating_add(self.every));
        if starts_interval {
            if self.points.len() >= MAX_POINTS {
                self.merge_pairs();
            }
            self.points.push(Point { at: now, classes: BTreeMap::new() });
        }
        let Some(last) = self.points.last_mut() else { return };
        add_classes(&mut last.classes, classes);
    }

    /// Merges points in pairs and doubles the interval.
    fn merge_pairs(&mut self) {
        self.every = self.every.saturating_mul(2);
        let merge = |pair: &[Point]| {
            let mut merged = pair[0].clone();
            pair[1..].iter().for_each(|next| add_classes(&mut merged.classes, &next.classes));
            merged
        };
        self.points = self.points.chunks(2).map(merge).collect();
    }

    /// The names of the classes with samples, sorted.
    pub fn classes(&self) -> Vec<String> {
        let mut names: Vec<String> = self.points.iter().flat_map(|p| p.classes.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names
    }
}

fn add_classes(into: &mut BTreeMap<String, [Sample; 2]>, more: &BTreeMap<String, [Sample; 2]>) {
    for (class, cohorts) in more {
        let sum = into.entry(class.clone()).or_default();
        sum.iter_mut().zip(cohorts).for_each(|(sum, cohort)| sum.add(*cohort));
    }
}

#[cfg(test)]
mod tests;
