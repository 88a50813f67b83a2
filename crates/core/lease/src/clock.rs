//! Unix time that never jumps, from two clocks.
//!
//! The duration of an override is meant by its author; a wall clock that is put forward by an hour must not end it, and one that is put
//! back must not prolong it. So this clock is Unix time at the start, and from there a monotonic clock that also counts while the machine
//! is suspended. The deviation of the wall clock is reported.

use crate::Nanos;

/// The reading of both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Unix time of the machine's wall clock.
    pub wall: Nanos,
    /// A monotonic clock with any origin that includes suspended time.
    pub steady: Nanos,
}

/// Unix time that advances evenly.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: ClockReading,
    /// By how much the wall clock was ahead of this one at the last check, in nanoseconds.
    offset: i64,
    jumps: u64,
}

/// The wall clock may drift by less than this between two checks without being reported as a jump.
const JUMP_THRESHOLD_NS: i64 = 500_000_000;

impl Clock {
    /// Starts at the reading of the wall clock.
    pub fn new(start: ClockReading) -> Self {
        Clock { start, offset: 0, jumps: 0 }
    }

    /// Unix time by this clock.
    pub fn now(&self, reading: ClockReading) -> Nanos {
        self.start.wall.saturating_add(reading.steady.saturating_sub(self.start.steady))
    }

    /// Compares both clocks; returns by how much the wall clock has jumped since the last check, if it has.
    pub fn look(&mut self, reading: ClockReading) -> Option<i64> {
        let offset = reading.wall as i64 - self.now(reading) as i64;
        let jump = offset - self.offset;
        self.offset = offset;
        let has_jumped = jump.abs() >= JUMP_THRESHOLD_NS;
        self.jumps += u64::from(has_jumped);
        has_jumped.then_some(jump)
    }

    /// By how much the wall clock is ahead, in nanoseconds, and how often it jumped.
    pub fn offset(&self) -> (i64, u64) {
        (self.offset, self.jumps)
    }
}
