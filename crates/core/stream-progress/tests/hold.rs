//! How long the beginning of a response is held.

use rushquay_stream_progress::{Framing, Hold, Nanos, SECOND};

const MILLISECOND: Nanos = SECOND / 1000;
const UNKNOWN_LENGTHS: [Framing; 2] = [Framing::Chunked, Framing::Close];

#[test]
fn a_response_of_announced_length_is_held_to_its_end() {
    assert_eq!(Hold::of(Framing::Length, 0, SECOND), None);
}

/// Guards against a long answer that is dropped because its hold outlasts its client's time.
#[test]
fn no_hold_outlasts_the_clients_time() {
    for framing in UNKNOWN_LENGTHS {
        for wait in [1, 100, 300, 500, 643, 1_400, 30_000] {
            for head_at in [0, 30, 99, 250] {
                let answer_due = (wait + head_at) * MILLISECOND;
                let hold = Hold::of(framing, head_at * MILLISECOND, answer_due).expect("a hold");
                assert!(hold.until <= answer_due, "{framing:?}, {wait} ms, head at {head_at} ms");
                assert!(hold.arriving_until <= hold.until, "{framing:?}, {wait} ms, head at {head_at} ms");
            }
        }
    }
}

/// Guards against bytes that are held back for 2 s, for which a long answer counts as lost.
#[test]
fn what_arrives_for_a_patient_client_is_held_for_less_than_two_seconds() {
    for framing in UNKNOWN_LENGTHS {
        let hold = Hold::of(framing, 5 * SECOND, 60 * SECOND).expect("a hold");
        assert!((5 * SECOND..7 * SECOND).contains(&hold.arriving_until), "{framing:?}");
    }
}

/// Guards against a response that is passed on although it has broken off, where only its end could tell.
#[test]
fn a_response_up_to_the_close_that_has_stopped_is_held_while_its_client_waits() {
    assert_eq!(Hold::of(Framing::Close, 0, 60 * SECOND).map(|hold| hold.until), Some(60 * SECOND));
}

/// A head that comes when the answer is due already is not held, and no time is computed backwards.
#[test]
fn a_head_that_comes_late_is_passed_on_at_once() {
    for framing in UNKNOWN_LENGTHS {
        assert!(Hold::of(framing, 2 * SECOND, SECOND).is_some_and(|hold| hold.until <= 2 * SECOND));
    }
}
