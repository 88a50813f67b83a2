//! The timeline is bounded in size and loses no samples.

use super::*;

#[test]
fn a_long_rollout_merges_points_without_losing_requests() {
    let mut timeline = Timeline::new(7);
    let samples =
        |n| BTreeMap::from([("plan".to_owned(), [Sample { all: n, bad: 1, slow: 0 }, Sample::default()])]);
    for interval in 0..5000u64 {
        timeline.add(interval * SECOND / 5, &samples(3));
    }
    let all: u64 = timeline.points.iter().map(|p| p.classes["plan"][0].all).sum();
    assert_eq!(all, 15_000);
    assert!(
        timeline.points.len() <= MAX_POINTS && timeline.every > SECOND,
        "{} points, one every {} ns",
        timeline.points.len(),
        timeline.every
    );
    // Samples of a clock that went backwards are added to the last point.
    timeline.add(0, &samples(1));
    assert_eq!(timeline.points.last().map(|p| p.at > 0), Some(true));
    assert_eq!(timeline.classes(), ["plan"]);
}
