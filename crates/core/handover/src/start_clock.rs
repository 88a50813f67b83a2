//! The clocks by which an incumbent tells how long ago endpoints started.

use serde::{Deserialize, Serialize};

/// A duration, or a time on a clock that the field names, in nanoseconds.
type Nanos = u64;

/// Two clocks of the incumbent, read at the same moment. The clock of its successor may have been stepped since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartClockHandover {
    /// Unix time by the clock that the starts of endpoints are stated by, as far as the incumbent knows it.
    pub starts_nanos: Nanos,
    /// Unix time by the incumbent's own clock.
    pub process_nanos: Nanos,
    /// The machine's monotonic clock, which both processes share.
    pub monotonic_nanos: Nanos,
}

impl StartClockHandover {
    /// Unix time by the clock of the starts at a later moment of the monotonic clock.
    pub fn starts_at(&self, monotonic_nanos: Nanos) -> Nanos {
        self.starts_nanos.saturating_add(monotonic_nanos.saturating_sub(self.monotonic_nanos))
    }

    /// Unix time by the incumbent's own clock at a later moment of the monotonic clock.
    pub fn process_at(&self, monotonic_nanos: Nanos) -> Nanos {
        self.process_nanos.saturating_add(monotonic_nanos.saturating_sub(self.monotonic_nanos))
    }
}
