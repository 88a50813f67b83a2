//! Estimating the skew between two clocks.

use rushquay_lease::{Skew, SECOND};

#[test]
fn the_most_accurate_measurement_is_used_until_drift_outweighs_it() {
    let mut skew = Skew::default();
    assert_eq!((skew.ahead(), skew.error(0)), (0, None));
    assert!(skew.add_measurement(5_000, 1_000_000, 0));
    assert!(!skew.add_measurement(90_000, 4_000_000, SECOND));
    assert_eq!(skew.ahead(), 5_000);
    // 200 ppm of 100 s are 20 ms: by then a coarser measurement has the lower error bound.
    assert!(skew.add_measurement(90_000, 4_000_000, 100 * SECOND));
    assert_eq!((skew.ahead(), skew.error(100 * SECOND)), (90_000, Some(4_000_000)));
}

#[test]
fn a_corrected_clock_is_accepted_at_once() {
    let mut skew = Skew::default();
    skew.add_measurement(3600 * SECOND as i64, 1_000, 0);
    assert!(skew.add_measurement(0, 50_000_000, 10));
    assert_eq!(skew.ahead(), 0);
}
