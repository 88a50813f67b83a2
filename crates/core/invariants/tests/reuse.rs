//! When a connection to an endpoint may carry another request.

use rushquay_invariants::{
    may_reuse, Nanos, ResponseHistory, Rest, Reuse, ReuseFacts, MILLISECOND, MIN_REST, PROBATION_REST,
};

const SECOND: Nanos = 1_000 * MILLISECOND;

/// The history of endpoints that have been silent behind many responses.
fn silent() -> ResponseHistory {
    let mut history = ResponseHistory::default();
    (0..20).for_each(|_| history.record_silence(PROBATION_REST));
    history
}

#[test]
fn a_connection_carries_a_request_only_after_its_rest_and_never_behind_input() {
    let facts = |rested| ReuseFacts { rested, required_rest: MIN_REST, has_input: false };
    assert_eq!(may_reuse(&facts(0)), Reuse::After(MIN_REST));
    assert_eq!(may_reuse(&facts(MIN_REST - 1)), Reuse::After(1));
    assert_eq!(may_reuse(&facts(MIN_REST)), Reuse::Now);
    for rested in [0, MIN_REST, 10 * SECOND] {
        assert_eq!(may_reuse(&ReuseFacts { has_input: true, ..facts(rested) }), Reuse::Never);
    }
}

#[test]
fn the_rest_is_long_until_enough_responses_were_followed_by_silence() {
    let mut history = ResponseHistory::default();
    let probation = Rest { required: PROBATION_REST, max_wait: PROBATION_REST };
    (0..19).for_each(|_| history.record_silence(PROBATION_REST));
    // A shorter silence shows nothing.
    (0..100).for_each(|_| history.record_silence(PROBATION_REST - 1));
    assert_eq!(history.rest(SECOND), probation);
    history.record_silence(10 * SECOND);
    assert_eq!(history.rest(SECOND), Rest { required: MIN_REST, max_wait: MIN_REST });
    assert_eq!(history, silent());
}

#[test]
fn an_unsolicited_response_lengthens_the_rest_beyond_its_delay_for_a_while() {
    let mut history = silent();
    // The usual rest is long enough for these.
    for delay in [0, 1, 5].map(|ms| ms * MILLISECOND) {
        history.record_unsolicited(SECOND, delay);
        assert_eq!(history.rest(SECOND).required, MIN_REST);
    }
    for delay in [6, 25, 100, 240].map(|ms| ms * MILLISECOND) {
        history.record_unsolicited(SECOND, delay);
        assert_eq!(history.rest(SECOND).required, PROBATION_REST.max(4 * delay));
    }
    // Neither a shorter delay nor silence shortens the rest again.
    history.record_unsolicited(20 * SECOND, MILLISECOND);
    assert_eq!(history.rest(20 * SECOND).required, 960 * MILLISECOND);
    (0..5).for_each(|_| history.record_silence(SECOND));
    assert_eq!(history.rest(50 * SECOND - 1).required, 960 * MILLISECOND);
    // Each response counts for 30 s; behind the last one silence has to be shown anew.
    assert_eq!(history.rest(50 * SECOND).required, PROBATION_REST);
}

#[test]
fn a_known_delay_that_the_usual_rest_covers_does_not_shorten_the_rest_on_probation() {
    let mut history = ResponseHistory::default();
    history.record_unsolicited(SECOND, MILLISECOND);
    assert_eq!(history.rest(SECOND).required, PROBATION_REST);
}

#[test]
fn the_rest_has_a_limit() {
    let mut history = silent();
    history.record_unsolicited(0, Nanos::MAX);
    assert_eq!(history.rest(0).required, SECOND);
}
