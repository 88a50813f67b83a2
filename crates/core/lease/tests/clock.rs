//! The clock while the wall clock jumps.

use rushquay_lease::{Clock, ClockReading, SECOND};

#[test]
fn a_jump_of_the_wall_clock_is_reported_and_does_not_affect_the_clock() {
    let at = |wall: u64, steady: u64| ClockReading { wall: wall * SECOND, steady: steady * SECOND };
    let mut clock = Clock::new(at(1000, 5));
    assert_eq!(clock.check_for_jump(at(1010, 15)), None);
    // Forward by an hour, then back to the epoch.
    assert_eq!(clock.check_for_jump(at(4620, 25)), Some(3600 * SECOND as i64));
    assert_eq!(clock.now(at(4620, 25)), 1020 * SECOND);
    assert_eq!(clock.check_for_jump(at(4630, 35)), None);
    assert_eq!(clock.check_for_jump(at(0, 45)), Some(-4640 * SECOND as i64));
    assert_eq!(clock.now(at(0, 45)), 1040 * SECOND);
    // Suspended for a day, during which the monotonic clock advances too.
    assert_eq!(clock.now(at(86_400, 86_445)), 87_440 * SECOND);
    assert_eq!(clock.offset().1, 2);
}
