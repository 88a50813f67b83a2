//! Estimates the skew of another machine's clock from measurements with error bounds.

use crate::Nanos;

/// Maximum drift between the two clocks after a measurement, in parts per million.
const MAX_DRIFT_PPM: u64 = 200;

/// One measurement of the skew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Measurement {
    /// How far the other clock was ahead, in nanoseconds.
    ahead: i64,
    /// Bound on the error of `ahead` at the time of the measurement.
    error: Nanos,
    /// Time of the measurement, on the monotonic clock.
    measured_at: Nanos,
}

/// The estimated skew: the best measurement so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Skew {
    best: Option<Measurement>,
}

impl Skew {
    /// Adds a measurement made at this time of the monotonic clock; returns whether it replaces the estimate.
    pub fn add_measurement(&mut self, ahead: i64, error: Nanos, measured_at: Nanos) -> bool {
        let new = Measurement { ahead, error, measured_at };
        // Danger: a measurement that contradicts the estimate shows that one of the clocks was corrected, however coarse it is.
        let contradicts = |old: &Measurement| ahead.abs_diff(old.ahead) > error + old.error_at(measured_at);
        let replaces_best =
            self.best.is_none_or(|old| contradicts(&old) || error <= old.error_at(measured_at));
        if replaces_best {
            self.best = Some(new);
        }
        replaces_best
    }

    /// How far the other clock is ahead, in nanoseconds; 0 without a measurement.
    pub fn ahead(&self) -> i64 {
        self.best.map_or(0, |s| s.ahead)
    }

    /// The error bound of [`Skew::ahead`] at `now`, in nanoseconds; `None` without a measurement.
    pub fn error(&self, now: Nanos) -> Option<Nanos> {
        self.best.map(|s| s.error_at(now))
    }
}

impl Measurement {
    /// The error bound at `now`; it grows with the drift since the measurement.
    fn error_at(&self, now: Nanos) -> Nanos {
        let drift = now.saturating_sub(self.measured_at) / 1_000_000 * MAX_DRIFT_PPM;
        self.error.saturating_add(drift)
    }
}
