//! How far another machine's clock is ahead of this one's, from measurements that each may be wrong by so much.

use crate::Nanos;

/// Two clocks drift apart by at most this part of the time between measurements, in millionths.
const DRIFT_PPM: u64 = 200;

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sample {
    ahead: i64,
    error: Nanos,
    at: Nanos,
}

/// The best of what was measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Skew {
    best: Option<Sample>,
}

impl Skew {
    /// Takes a measurement made at this time of this machine's steady clock; true if it is better than what was known.
    pub fn measured(&mut self, ahead: i64, error: Nanos, at: Nanos) -> bool {
        let new = Sample { ahead, error, at };
        // Danger: one that contradicts what was known is news of a clock that was put right, however coarse it is.
        let contradicts = |old: &Sample| ahead.abs_diff(old.ahead) > error + old.error_at(at);
        let better = self.best.is_none_or(|old| contradicts(&old) || error <= old.error_at(at));
        if better {
            self.best = Some(new);
        }
        better
    }

    /// By how much the other clock is ahead, in nanoseconds; 0 where nothing was measured.
    pub fn ahead(&self) -> i64 {
        self.best.map_or(0, |s| s.ahead)
    }

    /// By how much that may be wrong at this time, in nanoseconds; `None`: nothing was measured.
    pub fn error(&self, now: Nanos) -> Option<Nanos> {
        self.best.map(|s| s.error_at(now))
    }
}

impl Sample {
    fn error_at(&self, now: Nanos) -> Nanos {
        let drift = now.saturating_sub(self.at) / 1_000_000 * DRIFT_PPM;
        self.error.saturating_add(drift)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn the_surest_measurement_counts_until_drift_makes_it_unsure() {
        let mut skew = Skew::default();
        assert_eq!((skew.ahead(), skew.error(0)), (0, None));
        assert!(skew.measured(5_000, 1_000_000, 0));
        assert!(!skew.measured(90_000, 4_000_000, SECOND));
        assert_eq!(skew.ahead(), 5_000);
        // 200 millionths of 100 s are 20 ms: a coarser one is better by then.
        assert!(skew.measured(90_000, 4_000_000, 100 * SECOND));
        assert_eq!((skew.ahead(), skew.error(100 * SECOND)), (90_000, Some(4_000_000)));
    }

    #[test]
    fn a_clock_that_was_put_right_is_believed_at_once() {
        let mut skew = Skew::default();
        skew.measured(3600 * SECOND as i64, 1_000, 0);
        assert!(skew.measured(0, 50_000_000, 10));
        assert_eq!(skew.ahead(), 0);
    }
}
