//! One clock out of two: Unix time that never jumps.
//!
//! Overrides last for a span that somebody meant; a wall clock that is put forward by an hour must not end them, and one
//! that is put back must not let them go on. So time is Unix time at the start, and from there a clock that only counts,
//! also while the machine is suspended. What the wall clock says differs is reported.

use crate::Nanos;

/// Both clocks at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Unix time as the machine has it.
    pub wall: Nanos,
    /// A clock that counts from anywhere, suspended times included.
    pub steady: Nanos,
}

/// Unix time that goes on evenly.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: ClockReading,
    /// How far the wall clock is ahead of this one, as last seen.
    offset: i64,
    steps: u64,
}

/// The wall clock is put right by small steps all the time; this far it may go between two looks without being named.
const STEP: i64 = 500_000_000;

impl Clock {
    /// Starts with what the wall clock says.
    pub fn new(start: ClockReading) -> Self {
        Clock { start, offset: 0, steps: 0 }
    }

    /// Unix time by this clock.
    pub fn now(&self, reading: ClockReading) -> Nanos {
        self.start.wall.saturating_add(reading.steady.saturating_sub(self.start.steady))
    }

    /// Looks at both clocks; by how much the wall clock jumped since the last look, if it did.
    pub fn look(&mut self, reading: ClockReading) -> Option<i64> {
        let offset = reading.wall as i64 - self.now(reading) as i64;
        let jump = offset - self.offset;
        self.offset = offset;
        let jumped = jump.abs() >= STEP;
        self.steps += u64::from(jumped);
        jumped.then_some(jump)
    }

    /// How far the wall clock is ahead, in nanoseconds, and how often it jumped.
    pub fn offset(&self) -> (i64, u64) {
        (self.offset, self.steps)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn a_wall_clock_that_jumps_moves_nothing_and_is_named() {
        let at = |wall: u64, steady: u64| ClockReading { wall: wall * SECOND, steady: steady * SECOND };
        let mut clock = Clock::new(at(1000, 5));
        assert_eq!(clock.look(at(1010, 15)), None);
        // An hour forward, then two back.
        assert_eq!(clock.look(at(4620, 25)), Some(3600 * SECOND as i64));
        assert_eq!(clock.now(at(4620, 25)), 1020 * SECOND);
        assert_eq!(clock.look(at(4630, 35)), None);
        assert_eq!(clock.look(at(0, 45)), Some(-4640 * SECOND as i64));
        assert_eq!(clock.now(at(0, 45)), 1040 * SECOND);
        // Suspended for a day: both went on.
        assert_eq!(clock.now(at(86_400, 86_445)), 87_440 * SECOND);
        assert_eq!(clock.offset().1, 2);
    }
}
