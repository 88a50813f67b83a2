//! The timeouts by which a supervisor judges its processes.

use crate::{Nanos, SECOND};

/// Timeouts, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A successor has to be serving within this time.
    pub yes_within: Nanos,
    /// How long a serving successor is observed beside the incumbent.
    pub watch: Nanos,
    /// A process without a heartbeat for this time hangs.
    pub hang: Nanos,
    /// A process that was asked to end is killed after this time.
    pub drain: Nanos,
    /// The initial backoff after a failure; it doubles.
    pub pause: Nanos,
    /// The maximal backoff.
    pub pause_most: Nanos,
    /// A process that ran for this time is steady: the next unexpected end is counted from 1.
    pub steady: Nanos,
    /// After this many ends in a row without a steady run the program is rolled back.
    pub ends_most: u32,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            yes_within: 10 * SECOND,
            watch: 10 * SECOND,
            hang: 5 * SECOND,
            drain: 60 * SECOND,
            pause: SECOND,
            pause_most: 600 * SECOND,
            steady: 60 * SECOND,
            ends_most: 3,
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
    pub fn checked(self) -> Result<Self, TimeoutsError> {
        let need =
            |holds, field, expected| if holds { Ok(()) } else { Err(TimeoutsError { field, expected }) };
        let within = |span: Nanos| (SECOND / 10..=3600 * SECOND).contains(&span);
        need(within(self.yes_within), "yes_within_s", "seconds from 0.1 to 3600")?;
        need(within(self.watch), "watch_s", "seconds from 0.1 to 3600")?;
        // Danger: heartbeats come four times a second, and a busy machine delays them.
        need(self.hang >= SECOND && within(self.hang), "hang_s", "seconds from 1 to 3600")?;
        need(within(self.drain), "drain_s", "seconds from 0.1 to 3600")?;
        need(within(self.pause), "pause_s", "seconds from 0.1 to 3600")?;
        need(self.pause_most >= self.pause, "pause_most_s", "pause_s at least")?;
        need(within(self.steady), "steady_s", "seconds from 0.1 to 3600")?;
        need((1..=100).contains(&self.ends_most), "ends_most", "a number from 1 to 100")?;
        Ok(self)
    }

    /// The backoff after the nth failure in a row, from 1.
    pub fn pause_after(&self, failures: u32) -> Nanos {
        let doubled = self.pause.saturating_mul(1 << failures.saturating_sub(1).min(30));
        doubled.min(self.pause_most)
    }
}
