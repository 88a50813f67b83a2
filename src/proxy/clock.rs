//! The one clock of a proxy, and what is kept of a client's time for the way.

use crate::api::Nanos;
use rushquay_control_service::Clocks;
use std::time::Instant;

/// A client's time runs from its sending: so much of it is kept for the way here and for the answer's way back.
const MARGIN: Nanos = 10_000_000;
/// At most this part of the time. Danger: some clients wait for little longer than an answer takes; a margin made for
/// long waits would leave them none.
const MARGIN_PART: Nanos = 12;

/// The one clock: monotonic, from the Unix time at the start, since nodes' start times are Unix times.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts now, by this wall clock.
    pub fn by(clocks: &Clocks) -> Self {
        Clock { base: (clocks.wall)(), start: Instant::now() }
    }

    /// Nanoseconds of Unix time, as far as it was right at the start.
    pub fn now(&self) -> Nanos {
        self.base.saturating_add(self.start.elapsed().as_nanos() as Nanos)
    }
}

/// What is kept of a client's time for the way.
pub fn margin(patience: Nanos) -> Nanos {
    MARGIN.min(patience / MARGIN_PART)
}
