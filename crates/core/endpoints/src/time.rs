//! The two kinds of time that the merger needs, as separate types so that they cannot be confused.
//!
//! Durations (how long a restriction is kept, how long a removal is remembered) are measured on this process's monotonic clock, which
//! never steps. Overrides end at times on the control service's clock, which steps with each correction of that clock and each change of
//! leader.

use crate::Nanos;

/// A time on this process's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonotonicTime(Nanos);

impl MonotonicTime {
    /// The time `nanos` nanoseconds after the clock's origin, which is arbitrary.
    pub const fn from_nanos(nanos: Nanos) -> Self {
        MonotonicTime(nanos)
    }

    /// Nanoseconds since the clock's origin.
    pub fn nanos(self) -> Nanos {
        self.0
    }

    /// The duration since `earlier`, in nanoseconds; 0 if `earlier` is later than this time.
    pub fn since(self, earlier: MonotonicTime) -> Nanos {
        self.0.saturating_sub(earlier.0)
    }
}

/// A time on the control service's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OverrideTime(Nanos);

impl OverrideTime {
    /// The time with this Unix time, in nanoseconds.
    pub const fn from_unix_nanos(nanos: Nanos) -> Self {
        OverrideTime(nanos)
    }

    /// Unix time in nanoseconds.
    pub fn unix_nanos(self) -> Nanos {
        self.0
    }
}

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeTime {
    /// For measuring durations.
    pub monotonic: MonotonicTime,
    /// For the start and end of overrides.
    pub overrides: OverrideTime,
}

impl MergeTime {
    /// The current time for a merger that receives no overrides.
    pub const fn without_overrides(monotonic: Nanos) -> Self {
        MergeTime {
            monotonic: MonotonicTime::from_nanos(monotonic),
            overrides: OverrideTime::from_unix_nanos(0),
        }
    }
}
