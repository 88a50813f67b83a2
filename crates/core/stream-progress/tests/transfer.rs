//! Slow and stalled peers, and whether a body can be sent again.

use proptest::prelude::*;
use rushquay_stream_progress::{Pace, Patience, Replay, SECOND};

const BODY_LIMITS: Patience = Patience { silent: 3 * SECOND, start: 4 * SECOND, rate: 16_000 };

#[test]
fn a_slow_peer_is_tolerated_and_a_silent_or_trickling_one_is_stalled() {
    // 64 kB per second, in pieces one second apart.
    let mut pace = Pace::new(0);
    for second in 1..200 {
        pace.moved(second * SECOND, 64_000);
        assert!(!pace.stopped(second * SECOND + SECOND, &BODY_LIMITS), "second {second}");
    }
    assert!(pace.stopped(202 * SECOND, &BODY_LIMITS), "silent for three seconds");
    // One byte per second is enough during the grace period and too little afterwards.
    let mut trickling = Pace::new(0);
    let stalled_at = (1..100).find(|second| {
        trickling.moved(second * SECOND, 1);
        trickling.stopped(second * SECOND, &BODY_LIMITS)
    });
    assert_eq!(stalled_at, Some(5));
    let no_minimum_rate = Patience { rate: 0, ..BODY_LIMITS };
    assert!(!trickling.stopped(6 * SECOND, &no_minimum_rate), "no minimum rate");
    assert_eq!(trickling.bytes(), 5);
}

#[test]
fn the_part_beyond_the_buffered_beginning_is_sent_once() {
    let mut whole = Replay::of(true);
    assert!(whole.may_send() && !whole.past() && whole.may_send());
    let mut partial = Replay::of(false);
    assert!(partial.may_send(), "an attempt that never connected has consumed nothing");
    assert!(partial.past(), "the first attempt that reads beyond the beginning");
    assert!(!partial.may_send() && !partial.past());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: a timer set too late keeps the connection of a dead peer; one set too early cuts off a live peer.
    #[test]
    fn a_peer_is_stalled_from_its_due_time_on_and_not_before(
        transfers in prop::collection::vec((0u64..2 * SECOND, 0usize..100_000), 0..30),
        silent in 1u64..5 * SECOND, start in 0u64..5 * SECOND, rate in 0u64..1_000_000,
    ) {
        let patience = Patience { silent, start, rate };
        let (mut now, mut pace) = (0, Pace::new(0));
        for (elapsed, bytes) in transfers {
            now += elapsed;
            pace.moved(now, bytes);
            let due = pace.due(&patience);
            prop_assert!(due <= now + silent, "never later than the limit on silence");
            prop_assert!(pace.stopped(due, &patience));
            if due > 0 {
                prop_assert!(!pace.stopped(due - 1, &patience));
            }
        }
    }
}
