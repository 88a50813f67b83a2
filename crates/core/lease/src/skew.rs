//! The skew of another machine's clock against this one's, from measurements with error bounds.

use crate::Nanos;

/// Maximum drift between two clocks since a measurement, in parts per million.
const MAX_DRIFT_PPM: u64 = 200;

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Measurement {
    ahead: i64,
    error: Nanos,
    measured_at: Nanos,
}

/// The best measurement so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Skew {
    best: Option<Measurement>,
}

impl Skew {
    /// Takes a measurement made at this time of the monotonic clock; returns whether it is better than the previous best.
    pub fn measured(&mut self, ahead: i64, error: Nanos, measured_at: Nanos) -> bool {
        let new = Measurement { ahead, error, measured_at };
        // Danger: a measurement that contradicts the best one shows that a clock was corrected, however coarse it is.
        let contradicts = |old: &Measurement| ahead.abs_diff(old.ahead) > error + old.error_at(measured_at);
        let is_better = self.best.is_none_or(|old| contradicts(&old) || error <= old.error_at(measured_at));
        if is_better {
            self.best = Some(new);
        }
        is_better
    }

    /// By how much the other clock is ahead, in nanoseconds; 0 without a measurement.
    pub fn ahead(&self) -> i64 {
        self.best.map_or(0, |s| s.ahead)
    }

    /// The error bound of that at this time, in nanoseconds; `None` without a measurement.
    pub fn error(&self, now: Nanos) -> Option<Nanos> {
        self.best.map(|s| s.error_at(now))
    }
}

impl Measurement {
    fn error_at(&self, now: Nanos) -> Nanos {
        let drift = now.saturating_sub(self.measured_at) / 1_000_000 * MAX_DRIFT_PPM;
        self.error.saturating_add(drift)
    }
}
