//! The guards, walked through all that callers can state.

use rushquay_invariants::*;

const NOW: Nanos = 10_000 * MILLISECOND;

fn facts() -> SendFacts {
    SendFacts { now: NOW, deadline: NOW + 300 * MILLISECOND, ..SendFacts::default() }
}

#[test]
fn an_attempt_is_denied_for_each_rule_by_itself() {
    assert_eq!(may_send(&facts()), Ok(()));
    let cases = [
        (SendFacts { request: RequestState::Answered(NOW), ..facts() }, SendDenied::Answered),
        (SendFacts { request: RequestState::Abandoned(NOW), ..facts() }, SendDenied::Abandoned),
        (SendFacts { node: NodeStanding::Left, ..facts() }, SendDenied::NodeLeft),
        (SendFacts { deadline: NOW, ..facts() }, SendDenied::Late),
        (SendFacts { repeat_by: Some(NOW), ..facts() }, SendDenied::RepeatWindow),
    ];
    for (facts, denied) in cases {
        assert_eq!(may_send(&facts), Err(denied));
    }
    assert_eq!(may_send(&SendFacts { repeat_by: Some(NOW + 1), ..facts() }), Ok(()));
}

#[test]
fn what_the_guard_lets_pass_is_no_violation_and_slack_is_given_once() {
    let sent = |facts, told_left| check_sent(&Sent { facts, told_left });
    let left = 300 * MILLISECOND;
    assert_eq!(sent(facts(), left), None);
    assert_eq!(sent(facts(), left + 150 * MILLISECOND), None);
    assert_eq!(sent(facts(), left + 151 * MILLISECOND), Some(Violation::DeadlineOverstated));
    let gone = |ago: Nanos| SendFacts { request: RequestState::Abandoned(NOW - ago), ..facts() };
    assert_eq!(sent(gone(100 * MILLISECOND), left), None);
    assert_eq!(sent(gone(101 * MILLISECOND), left), Some(Violation::SentForGoneClient));
    let answered = SendFacts { request: RequestState::Answered(NOW), ..facts() };
    assert_eq!(sent(answered, left), Some(Violation::SentAfterAnswer));
    let node = SendFacts { node: NodeStanding::Left, ..facts() };
    assert_eq!(sent(node, left), Some(Violation::SentToLeavingNode));
    let repeat = |by| SendFacts { repeat_by: Some(by), ..facts() };
    assert_eq!(sent(repeat(NOW - 50 * MILLISECOND), left), None);
    assert_eq!(sent(repeat(NOW - 51 * MILLISECOND), left), Some(Violation::RepeatedPastWindow));
}

/// All connections that can be.
fn connections() -> impl Iterator<Item = ConnectionFacts> {
    (0..32u8).map(|bits| ConnectionFacts {
        answering: bits & 1 > 0,
        read_behind: bits & 2 > 0,
        head_begun: bits & 4 > 0,
        unwritten: bits & 8 > 0,
        peer_gone: bits & 16 > 0,
    })
}

/// Whatever the cause: a close that the guard lets pass leaves no request that was read unanswered.
#[test]
fn no_close_that_is_let_pass_is_a_violation() {
    for facts in connections() {
        for cause in CloseCause::ALL.iter().copied() {
            match may_close(&facts, cause) {
                Ok(()) => assert_eq!(check_closed(&facts, cause), None, "{facts:?} {cause:?}"),
                Err(Owed::Answer) => assert!(facts.answering || facts.read_behind, "{facts:?} {cause:?}"),
                Err(Owed::RestOfAnswer) => assert!(facts.unwritten, "{facts:?} {cause:?}"),
                Err(Owed::RestOfHead) => assert!(facts.head_begun, "{facts:?} {cause:?}"),
            }
        }
    }
}

#[test]
fn a_request_that_is_dropped_is_a_violation_whatever_closes_its_connection() {
    let dropped = ConnectionFacts { answering: true, ..ConnectionFacts::default() };
    for cause in [CloseCause::Idle, CloseCause::Drain, CloseCause::MadeRoom, CloseCause::NoRequest] {
        assert_eq!(check_closed(&dropped, cause), Some(Violation::ClosedUnanswered));
    }
    assert_eq!(check_closed(&dropped, CloseCause::ProcessEnd), Some(Violation::EndedUnanswered));
    let behind = ConnectionFacts { read_behind: true, ..ConnectionFacts::default() };
    assert_eq!(check_closed(&behind, CloseCause::Drain), Some(Violation::ClosedUnanswered));
    assert_eq!(check_closed(&behind, CloseCause::PeerEnded), None);
}

/// A head that has begun has its time, except where its place is needed or that time is over.
#[test]
fn a_head_that_has_begun_is_waited_for() {
    let begun = ConnectionFacts { head_begun: true, ..ConnectionFacts::default() };
    for (cause, closes) in [
        (CloseCause::Drain, false),
        (CloseCause::Idle, false),
        (CloseCause::MadeRoom, true),
        (CloseCause::NoRequest, true),
    ] {
        assert_eq!(may_close(&begun, cause).is_ok(), closes, "{cause:?}");
    }
}

#[test]
fn a_process_says_that_it_serves_only_when_all_is_there() {
    for bits in 0..8u8 {
        let facts =
            ServeFacts { node_known: bits & 1 > 0, policy_permits: bits & 2 > 0, draining: bits & 4 > 0 };
        let all = facts.node_known && facts.policy_permits && !facts.draining;
        assert_eq!(may_serve(&facts).is_ok(), all, "{facts:?}");
        let violation = (!all).then_some(Violation::SaidServingUnready);
        assert_eq!(check_said_serving(&facts), violation, "{facts:?}");
    }
}

#[test]
fn labels_stand_in_their_order() {
    for (index, violation) in Violation::ALL.iter().enumerate() {
        assert_eq!(violation.index(), index, "{}", violation.name());
    }
}
