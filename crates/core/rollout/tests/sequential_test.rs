//! The sequential test of whether the new cohort is worse, and the bound by which a stage passes.

use rushquay_rollout::{is_rate_at_most, SequentialTest};

#[test]
fn equal_rates_or_no_old_requests_give_no_evidence() {
    let mut test = SequentialTest::default();
    test.add([50, 0], [50, 0], 1.0);
    assert_eq!(test.evidence(), 0.0);
    for _ in 0..500 {
        test.add([10, 90], [100, 900], 1.0);
    }
    assert!(test.evidence() < 0.0, "{}", test.evidence());
}

#[test]
fn a_fivefold_rate_is_detected_within_ten_intervals() {
    let mut test = SequentialTest::default();
    let mut intervals = 0;
    while test.evidence() < (1.0f64 / 1e-4).ln() {
        test.add([5, 9], [100, 900], 1.0);
        intervals += 1;
    }
    assert!(intervals < 10, "{intervals}");
}

#[test]
fn a_rate_is_excluded_only_after_enough_good_outcomes() {
    // It takes 149 outcomes, none of them bad, to exclude a rate above 2% at the 5% level.
    assert!(!is_rate_at_most(0, 147, 1.0, 0.02, 0.05));
    assert!(is_rate_at_most(0, 150, 1.0, 0.02, 0.05));
    assert!(!is_rate_at_most(0, 0, 1.0, 0.9, 0.05));
    assert!(!is_rate_at_most(30, 1000, 1.0, 0.02, 0.05));
    assert!(!is_rate_at_most(0, 150, 3.0, 0.02, 0.05), "outcomes in bursts are weaker evidence");
}
