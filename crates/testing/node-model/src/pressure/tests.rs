use super::*;
use crate::{MILLI, SECOND};

#[test]
fn pressure_is_work_over_capacity_through_the_whole_window() {
    let mut p = Pressure::new(SECOND);
    let mut last = None;
    // Two milliseconds of work each millisecond, for a node that does one.
    for ms in 0..1_200 {
        last = p.came(ms * MILLI, 2.0 * MILLI as f64, 1.0);
        assert_eq!(last.is_some(), ms >= 1_000, "{ms}");
    }
    assert!((last.expect("watched") - 2.0).abs() < 0.1, "{last:?}");
    // A second of quiet.
    let after = p.came(2_300 * MILLI, MILLI as f64, 1.0).expect("watched");
    assert!(after < 0.3, "{after}");
}
