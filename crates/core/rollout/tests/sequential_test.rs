//! The sequential test of whether the new cohort is worse, and the test of whether a stage may pass.

use rushquay_rollout::{passes, Odds};

#[test]
fn equal_rates_or_no_old_requests_give_no_evidence() {
    let mut odds = Odds::default();
    odds.add([50, 0], [50, 0], 1.0);
    assert_eq!(odds.evidence(), 0.0);
    for _ in 0..500 {
        odds.add([10, 90], [100, 900], 1.0);
    }
    assert!(odds.evidence() < 0.0, "{}", odds.evidence());
}

#[test]
fn a_fivefold_rate_is_detected_within_ten_intervals() {
    let mut odds = Odds::default();
    let mut intervals = 0;
    while odds.evidence() < (1.0f64 / 1e-4).ln() {
        odds.add([5, 9], [100, 900], 1.0);
        intervals += 1;
    }
    assert!(intervals < 10, "{intervals}");
}

#[test]
fn passing_takes_enough_good_outcomes() {
    // Without any bad outcome, a rate of 2% is excluded at the 5% level by 149 outcomes.
    assert!(!passes(0, 147, 1.0, 0.02, 0.05));
    assert!(passes(0, 150, 1.0, 0.02, 0.05));
    assert!(!passes(0, 0, 1.0, 0.9, 0.05));
    assert!(!passes(30, 1000, 1.0, 0.02, 0.05));
    assert!(!passes(0, 150, 3.0, 0.02, 0.05), "bursts carry less evidence");
}
