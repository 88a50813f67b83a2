//! The course of a change as its leader saw it: old and new by class over time, and its steps. For people; nothing is decided by it, and
//! whoever leads next begins anew.

use crate::{Nanos, SECOND};
use serde::Serialize;
use std::collections::BTreeMap;

/// So many points are kept; a longer change has them further apart.
const POINTS: usize = 240;
/// So many steps.
const MARKS: usize = 200;

/// Requests of one side in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// All that ended.
    pub all: u64,
    /// Refused, failed or late.
    pub bad: u64,
    /// Of those served, the ones that took longer than nine in ten before the change.
    pub slow: u64,
}

impl Sample {
    fn add(&mut self, other: Sample) {
        self.all += other.all;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

/// A span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Point {
    /// When it began, Unix time.
    pub at: Nanos,
    /// By class: the new, and the old of the same data centres.
    pub classes: BTreeMap<String, [Sample; 2]>,
}

/// What was seen since the change began, or since this leader leads.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The number of the change; 0: none was seen.
    pub change: u64,
    /// Nanoseconds from one point to the next.
    pub every: Nanos,
    /// The points, the oldest first.
    pub points: Vec<Point>,
    /// Its steps, when each was made, and in words.
    pub marks: Vec<(Nanos, String)>,
}

impl Timeline {
    /// A change is seen from now on.
    pub fn new(change: u64) -> Self {
        Timeline { change, every: SECOND, ..Timeline::default() }
    }

    /// It has moved on.
    pub fn mark(&mut self, now: Nanos, what: String) {
        if self.marks.len() < MARKS {
            self.marks.push((now, what));
        }
    }

    /// What came in a look. Looks of one span are added up; what lies before the last span counts in it, since clocks may go back.
    pub fn add(&mut self, now: Nanos, classes: &BTreeMap<String, [Sample; 2]>) {
        let due = self.points.last().is_none_or(|last| now >= last.at.saturating_add(self.every));
        if due {
            if self.points.len() >= POINTS {
                self.halve();
            }
            self.points.push(Point { at: now, classes: BTreeMap::new() });
        }
        let Some(last) = self.points.last_mut() else { return };
        join(&mut last.classes, classes);
    }

    /// Two points become one.
    fn halve(&mut self) {
        self.every = self.every.saturating_mul(2);
        let pair = |two: &[Point]| {
            let mut one = two[0].clone();
            two[1..].iter().for_each(|next| join(&mut one.classes, &next.classes));
            one
        };
        self.points = self.points.chunks(2).map(pair).collect();
    }

    /// Classes of which anything was seen.
    pub fn classes(&self) -> Vec<String> {
        let mut names: Vec<String> = self.points.iter().flat_map(|p| p.classes.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names
    }
}

fn join(into: &mut BTreeMap<String, [Sample; 2]>, more: &BTreeMap<String, [Sample; 2]>) {
    for (class, sides) in more {
        let sum = into.entry(class.clone()).or_default();
        sum.iter_mut().zip(sides).for_each(|(sum, side)| sum.add(*side));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_change_keeps_its_points_further_apart_and_loses_no_request() {
        let mut course = Timeline::new(7);
        let one = |n| {
            BTreeMap::from([("plan".to_owned(), [Sample { all: n, bad: 1, slow: 0 }, Sample::default()])])
        };
        for look in 0..5000u64 {
            course.add(look * SECOND / 5, &one(3));
        }
        let all: u64 = course.points.iter().map(|p| p.classes["plan"][0].all).sum();
        assert_eq!(all, 15_000);
        assert!(
            course.points.len() <= POINTS && course.every > SECOND,
            "{} every {}",
            course.points.len(),
            course.every
        );
        // A clock that goes back.
        course.add(0, &one(1));
        assert_eq!(course.points.last().map(|p| p.at > 0), Some(true));
        assert_eq!(course.classes(), ["plan"]);
    }
}
