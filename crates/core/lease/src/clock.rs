//! A Unix clock that steps of the wall clock do not affect.
//!
//! An operator sets an override for a duration: stepping the wall clock forward by an hour must not end it, and stepping it back must not
//! prolong it. The clock therefore reads the wall clock once, at startup, and advances by a monotonic clock that also counts suspended
//! time. Later deviations of the wall clock are reported.

use crate::Nanos;

/// Both clocks, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Unix time of the machine's wall clock.
    pub wall: Nanos,
    /// A monotonic clock that includes suspended time; its origin is arbitrary.
    pub steady: Nanos,
}

/// Unix time that never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: ClockReading,
    /// How far the wall clock was ahead of this clock at the last check, in nanoseconds.
    offset: i64,
    jumps: u64,
}

/// Smallest change of the offset between two checks that is reported as a jump; less is drift.
const JUMP_THRESHOLD_NS: i64 = 500_000_000;

impl Clock {
    /// A clock that starts at the wall clock's time in `start`.
    pub fn new(start: ClockReading) -> Self {
        Clock { start, offset: 0, jumps: 0 }
    }

    /// Unix time by this clock.
    pub fn now(&self, reading: ClockReading) -> Nanos {
        self.start.wall.saturating_add(reading.steady.saturating_sub(self.start.steady))
    }

    /// Compares the two clocks; returns by how many nanoseconds the wall clock has jumped since the last check, if it has.
    pub fn check_for_jump(&mut self, reading: ClockReading) -> Option<i64> {
        let offset = reading.wall as i64 - self.now(reading) as i64;
        let jump = offset - self.offset;
        self.offset = offset;
        let has_jumped = jump.abs() >= JUMP_THRESHOLD_NS;
        self.jumps += u64::from(has_jumped);
        has_jumped.then_some(jump)
    }

    /// How far the wall clock is ahead, in nanoseconds, and how often it has jumped.
    pub fn offset(&self) -> (i64, u64) {
        (self.offset, self.jumps)
    }
}
