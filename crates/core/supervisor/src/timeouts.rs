//! The timeouts by which a supervisor judges its processes.

use crate::{Nanos, SECOND};

/// Timeouts, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A successor has to be serving within this time.
    pub startup: Nanos,
    /// How long a serving successor is observed beside the incumbent.
    pub observation: Nanos,
    /// A process that sent no heartbeat for this time is considered hung.
    pub hang: Nanos,
    /// A process that was asked to end is killed after this time.
    pub drain: Nanos,
    /// The initial backoff after a failure; it doubles.
    pub min_backoff: Nanos,
    /// The maximum backoff.
    pub max_backoff: Nanos,
    /// A process that ran for this time ran steadily: the count of consecutive failures restarts.
    pub steady: Nanos,
    /// After this many consecutive failures without a steady run the program is rolled back.
    pub max_failures: u32,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            startup: 10 * SECOND,
            observation: 10 * SECOND,
            hang: 5 * SECOND,
            drain: 60 * SECOND,
            min_backoff: SECOND,
            max_backoff: 600 * SECOND,
            steady: 60 * SECOND,
            max_failures: 3,
        }
    }
}

/// A timeout out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct TimeoutsError {
    /// The field, by its name in settings.
    pub field: &'static str,
    /// The expected value.
    pub expected: &'static str,
}

impl Timeouts {
    /// Validates the timeouts.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn validate(self) -> Result<Self, TimeoutsError> {
        let require =
            |valid, field, expected| if valid { Ok(()) } else { Err(TimeoutsError { field, expected }) };
        let in_range = |timeout: Nanos| (SECOND / 10..=3600 * SECOND).contains(&timeout);
        require(in_range(self.startup), "yes_within_s", "seconds from 0.1 to 3600")?;
        require(in_range(self.observation), "watch_s", "seconds from 0.1 to 3600")?;
        // Danger: heartbeats are sent every 200 ms, and a busy machine delays them.
        require(self.hang >= SECOND && in_range(self.hang), "hang_s", "seconds from 1 to 3600")?;
        require(in_range(self.drain), "drain_s", "seconds from 0.1 to 3600")?;
        require(in_range(self.min_backoff), "pause_s", "seconds from 0.1 to 3600")?;
        require(self.max_backoff >= self.min_backoff, "pause_most_s", "at least pause_s")?;
        require(in_range(self.steady), "steady_s", "seconds from 0.1 to 3600")?;
        require((1..=100).contains(&self.max_failures), "ends_most", "a number from 1 to 100")?;
        Ok(self)
    }

    /// The backoff after the nth failure in a row, from 1.
    pub fn backoff_after(&self, failures: u32) -> Nanos {
        let backoff = self.min_backoff.saturating_mul(1 << failures.saturating_sub(1).min(30));
        backoff.min(self.max_backoff)
    }
}
