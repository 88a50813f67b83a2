//! The timeline of a rollout as its leader saw it: both cohorts by class over time, and the steps.
//!
//! It serves operators; no decision depends on it, and a new leader begins anew.

use crate::{Nanos, SECOND};
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of points; a longer rollout has them further apart.
const MAX_POINTS: usize = 240;
/// Maximum number of marks.
const MAX_MARKS: usize = 200;

/// Requests of one cohort in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// All completed requests.
    pub all: u64,
    /// Refused, failed or late.
    pub bad: u64,
    /// Requests served more slowly than nine in ten before the rollout.
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
    /// Start, in Unix time.
    pub at: Nanos,
    /// By class: the new cohort, and the old one of the same data centres.
    pub classes: BTreeMap<String, [Sample; 2]>,
}

/// The timeline since the start of the rollout, or of this leadership.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The number of the rollout; 0: none.
    pub change: u64,
    /// Nanoseconds from one point to the next.
    pub every: Nanos,
    /// The points, the oldest first.
    pub points: Vec<Point>,
    /// The steps of the rollout, with when each was made, for operators.
    pub marks: Vec<(Nanos, String)>,
}

impl Timeline {
    /// The timeline of a rollout that begins now.
    pub fn new(change: u64) -> Self {
        Timeline { change, every: SECOND, ..Timeline::default() }
    }

    /// Adds a step of the rollout.
    pub fn mark(&mut self, now: Nanos, what: String) {
        if self.marks.len() < MAX_MARKS {
            self.marks.push((now, what));
        }
    }

    /// Adds samples. Those of one interval are summed; a time before the last interval counts in that, since clocks may go backwards.
    pub fn add(&mut self, now: Nanos, classes: &BTreeMap<String, [Sample; 2]>) {
        let due = self.points.last().is_none_or(|last| now >= last.at.saturating_add(self.every));
        if due {
            if self.points.len() >= MAX_POINTS {
                self.merge_pairs();
            }
            self.points.push(Point { at: now, classes: BTreeMap::new() });
        }
        let Some(last) = self.points.last_mut() else { return };
        add_classes(&mut last.classes, classes);
    }

    /// Merges points in pairs.
    fn merge_pairs(&mut self) {
        self.every = self.every.saturating_mul(2);
        let pair = |two: &[Point]| {
            let mut one = two[0].clone();
            two[1..].iter().for_each(|next| add_classes(&mut one.classes, &next.classes));
            one
        };
        self.points = self.points.chunks(2).map(pair).collect();
    }

    /// Classes with any samples.
    pub fn classes(&self) -> Vec<String> {
        let mut names: Vec<String> = self.points.iter().flat_map(|p| p.classes.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names
    }
}

fn add_classes(into: &mut BTreeMap<String, [Sample; 2]>, more: &BTreeMap<String, [Sample; 2]>) {
    for (class, sides) in more {
        let sum = into.entry(class.clone()).or_default();
        sum.iter_mut().zip(sides).for_each(|(sum, side)| sum.add(*side));
    }
}

#[cfg(test)]
mod tests;
