//! Slow and stalled peers, and whether a body can be sent again.

use proptest::prelude::*;
use rushquay_stream_progress::{ProgressLimits, ProgressTracker, Replay, SECOND};

const BODY_LIMITS: ProgressLimits =
    ProgressLimits { max_silence: 3 * SECOND, grace: 4 * SECOND, min_rate: 16_000 };

#[test]
fn a_slow_peer_is_tolerated_and_a_silent_or_trickling_one_is_stalled() {
    // 64 kB per second, in pieces one second apart.
    let mut pace = ProgressTracker::new(0);
    for second in 1..200 {
        pace.record(second * SECOND, 64_000);
        assert!(!pace.is_stalled(second * SECOND + SECOND, &BODY_LIMITS), "second {second}");
    }
    assert!(pace.is_stalled(202 * SECOND, &BODY_LIMITS), "silent for three seconds");
    // One byte per second is enough during the grace period and too little afterwards.
    let mut trickling = ProgressTracker::new(0);
    let stalled_at = (1..100).find(|second| {
        trickling.record(second * SECOND, 1);
        trickling.is_stalled(second * SECOND, &BODY_LIMITS)
    });
    assert_eq!(stalled_at, Some(5));
    let no_minimum_rate = ProgressLimits { min_rate: 0, ..BODY_LIMITS };
    assert!(!trickling.is_stalled(6 * SECOND, &no_minimum_rate), "no minimum rate");
    assert_eq!(trickling.bytes(), 5);
}

#[test]
fn the_part_beyond_the_buffered_beginning_is_sent_once() {
    let mut whole = Replay::of(true);
    assert!(whole.may_send() && !whole.claim_rest() && whole.may_send());
    let mut partial = Replay::of(false);
    assert!(partial.may_send(), "an attempt that never connected has consumed nothing");
    assert!(partial.claim_rest(), "the first attempt that reads beyond the beginning");
    assert!(!partial.may_send() && !partial.claim_rest());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: a timer set too late keeps the connection of a dead peer; one set too early cuts off a live peer.
    #[test]
    fn a_peer_is_stalled_from_its_due_time_on_and_not_before(
        transfers in prop::collection::vec((0u64..2 * SECOND, 0usize..100_000), 0..30),
        silent in 1u64..5 * SECOND, start in 0u64..5 * SECOND, rate in 0u64..1_000_000,
    ) {
        let patience = ProgressLimits { max_silence: silent, grace: start, min_rate: rate };
        let (mut now, mut pace) = (0, ProgressTracker::new(0));
        for (elapsed, bytes) in transfers {
            now += elapsed;
            pace.record(now, bytes);
            let due = pace.stalled_at(&patience);
            prop_assert!(due <= now + silent, "never later than the limit on silence");
            prop_assert!(pace.is_stalled(due, &patience));
            if due > 0 {
                prop_assert!(!pace.is_stalled(due - 1, &patience));
            }
        }
    }
}
