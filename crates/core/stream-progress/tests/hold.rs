//! How long the beginning of a response is held.

use rushquay_stream_progress::{hold_until, Framing, Nanos, SECOND};

const MILLISECOND: Nanos = SECOND / 1000;
const UNKNOWN_LENGTHS: [Framing; 2] = [Framing::Chunked, Framing::Close];

#[test]
fn a_response_of_announced_length_is_held_to_its_end() {
    assert_eq!(hold_until(Framing::Length, 0, SECOND), None);
}

/// Guards against a long answer that is dropped because its hold outlasts its client's time.
#[test]
fn no_hold_outlasts_the_clients_time() {
    for framing in UNKNOWN_LENGTHS {
        for wait in [1, 100, 300, 500, 643, 1_400, 30_000] {
            for head_at in [0, 30, 99, 250] {
                let answer_due = (wait + head_at) * MILLISECOND;
                let until = hold_until(framing, head_at * MILLISECOND, answer_due).expect("a hold");
                assert!(until <= answer_due, "{framing:?}, {wait} ms, head at {head_at} ms");
            }
        }
    }
}

/// Guards against bytes that are held back for 2 s, for which a long answer counts as lost.
#[test]
fn a_patient_clients_answer_is_held_for_less_than_two_seconds() {
    for framing in UNKNOWN_LENGTHS {
        let until = hold_until(framing, 5 * SECOND, 60 * SECOND).expect("a hold");
        assert!((5 * SECOND..7 * SECOND).contains(&until), "{framing:?}");
    }
}

/// A head that comes when the answer is due already is not held, and no time is computed backwards.
#[test]
fn a_head_that_comes_late_is_passed_on_at_once() {
    for framing in UNKNOWN_LENGTHS {
        assert!(hold_until(framing, 2 * SECOND, SECOND).is_some_and(|until| until <= 2 * SECOND));
    }
}
