//! Whether a cold node is pushed over: sent more than a multiple of what it can do just then, for a while.

use crate::Nanos;
use std::collections::VecDeque;

/// Parts in which the while is looked at.
const PARTS: u64 = 20;

/// Work that has come lately, in parts of a window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pressure {
    window: Nanos,
    /// When a part began and what came in it, in nanoseconds of work and of what could be done.
    parts: VecDeque<(Nanos, f64, f64)>,
}

impl Pressure {
    pub fn new(window: Nanos) -> Self {
        Pressure { window, parts: VecDeque::new() }
    }

    /// Work has come, and at this moment so much could be done in a nanosecond; by what multiple the work of the last
    /// window is over what could be done in it. `None`: it has not been watched for so long yet.
    pub fn came(&mut self, now: Nanos, work: f64, capacity: f64) -> Option<f64> {
        let length = (self.window / PARTS).max(1);
        let part = now / length * length;
        match self.parts.back_mut() {
            Some(last) if last.0 == part => last.1 += work,
            last => {
                // Parts in which nothing came have their capacity as well.
                let from = last.map_or(part, |l| l.0 + length);
                let mut at = from.max(part.saturating_sub(self.window));
                while at < part {
                    self.parts.push_back((at, 0.0, capacity * length as f64));
                    at += length;
                }
                self.parts.push_back((part, work, capacity * length as f64));
            }
        }
        while self.parts.front().is_some_and(|p| p.0 + self.window < part) {
            self.parts.pop_front();
        }
        let watched = self.parts.front().is_some_and(|p| part - p.0 >= self.window);
        let sum = self.parts.iter().fold((0.0, 0.0), |s, p| (s.0 + p.1, s.1 + p.2));
        watched.then(|| sum.0 / sum.1.max(f64::MIN_POSITIVE))
    }
}

#[cfg(test)]
mod tests;
