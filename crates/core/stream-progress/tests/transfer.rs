//! Slow and stopped peers, and bodies that can and can't be sent again.

use proptest::prelude::*;
use rushquay_stream_progress::{Pace, Patience, Replay, SECOND};

const BODY: Patience = Patience { silent: 3 * SECOND, start: 4 * SECOND, rate: 16_000 };

#[test]
fn a_slow_peer_is_well_and_a_silent_or_dripping_one_is_not() {
    // 64 kB a second, in pieces a second apart.
    let mut pace = Pace::new(0);
    for second in 1..200 {
        pace.moved(second * SECOND, 64_000);
        assert!(!pace.stopped(second * SECOND + SECOND, &BODY), "second {second}");
    }
    assert!(pace.stopped(202 * SECOND, &BODY), "silent for three seconds");
    // A byte a second is progress at first, and then too little.
    let mut dripping = Pace::new(0);
    let stopped = (1..100).find(|s| {
        dripping.moved(s * SECOND, 1);
        dripping.stopped(s * SECOND, &BODY)
    });
    assert_eq!(stopped, Some(5));
    let any = Patience { rate: 0, ..BODY };
    assert!(!dripping.stopped(6 * SECOND, &any), "where any rate will do");
    assert_eq!(dripping.bytes(), 5);
}

#[test]
fn what_is_behind_the_beginning_goes_out_once() {
    let mut whole = Replay::of(true);
    assert!(whole.may_send() && !whole.past() && whole.may_send());
    let mut long = Replay::of(false);
    assert!(long.may_send(), "a connection that never came up has cost nothing");
    assert!(long.past(), "the first attempt that gets so far");
    assert!(!long.may_send() && !long.past());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: a timer set for too late, or for never, keeps a dead peer; one set too early cuts off a live one.
    #[test]
    fn a_peer_has_stopped_from_its_due_time_on_and_not_before(
        moves in prop::collection::vec((0u64..2 * SECOND, 0usize..100_000), 0..30),
        silent in 1u64..5 * SECOND, start in 0u64..5 * SECOND, rate in 0u64..1_000_000,
    ) {
        let patience = Patience { silent, start, rate };
        let (mut now, mut pace) = (0, Pace::new(0));
        for (after, bytes) in moves {
            now += after;
            pace.moved(now, bytes);
            let due = pace.due(&patience);
            prop_assert!(due <= now + silent, "never later than silence");
            prop_assert!(pace.stopped(due, &patience));
            if due > 0 {
                prop_assert!(!pace.stopped(due - 1, &patience));
            }
        }
    }
}
