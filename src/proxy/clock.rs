//! The clock that all parts of a proxy share, and the part of a client's deadline that is reserved for the network.

use crate::api::Nanos;
use rushquay_control_service::Clocks;
use std::time::Instant;

/// Maximum time reserved for the network in both directions, since a client's deadline runs from when it sends its request.
const MAX_MARGIN: Nanos = 10_000_000;
/// At most this fraction (1/12) of the deadline is reserved. Danger: some clients wait only slightly longer than an answer takes; a margin
/// made for long deadlines would leave them no time.
const MARGIN_DIVISOR: Nanos = 12;

/// A monotonic clock that starts at the Unix time of its creation, since nodes' start times are Unix times.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the current time of the given wall clock.
    pub fn by(clocks: &Clocks) -> Self {
        Clock { base: (clocks.wall)(), start: Instant::now() }
    }

    /// Returns Unix time in nanoseconds; an error of the wall clock at the start remains.
    pub fn now(&self) -> Nanos {
        self.base.saturating_add(self.start.elapsed().as_nanos() as Nanos)
    }
}

/// Returns how much of a client's deadline is reserved for the network.
pub fn margin(deadline: Nanos) -> Nanos {
    MAX_MARGIN.min(deadline / MARGIN_DIVISOR)
}
