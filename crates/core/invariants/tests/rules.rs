//! The invariants, over the combinations of facts that callers can pass.

use rushquay_invariants::*;

const NOW: Nanos = 10_000 * MILLISECOND;

fn facts() -> SendFacts {
    SendFacts { now: NOW, deadline: NOW + 300 * MILLISECOND, ..SendFacts::default() }
}

#[test]
fn each_send_rule_denies_an_attempt_on_its_own() {
    assert_eq!(may_send(&facts()), Ok(()));
    let cases = [
        (SendFacts { request: RequestState::Answered(NOW), ..facts() }, SendDenied::Answered),
        (SendFacts { request: RequestState::Abandoned(NOW), ..facts() }, SendDenied::Abandoned),
        (SendFacts { node: NodeStanding::Left, ..facts() }, SendDenied::NodeLeft),
        (SendFacts { deadline: NOW, ..facts() }, SendDenied::Late),
        (SendFacts { retry_deadline: Some(NOW), ..facts() }, SendDenied::RepeatWindow),
        (SendFacts { has_input: true, ..facts() }, SendDenied::UnreadInput),
    ];
    for (facts, denied) in cases {
        assert_eq!(may_send(&facts), Err(denied));
    }
    assert_eq!(may_send(&SendFacts { retry_deadline: Some(NOW + 1), ..facts() }), Ok(()));
}

#[test]
fn a_sent_attempt_is_a_violation_only_beyond_the_slack() {
    let sent = |facts, told_left| check_sent(&SentAttempt { facts, announced_time_left: told_left });
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
    let repeat = |by| SendFacts { retry_deadline: Some(by), ..facts() };
    assert_eq!(sent(repeat(NOW - 50 * MILLISECOND), left), None);
    assert_eq!(sent(repeat(NOW - 51 * MILLISECOND), left), Some(Violation::RepeatedPastWindow));
}

/// Every combination of connection facts.
fn all_connection_facts() -> impl Iterator<Item = ConnectionFacts> {
    (0..32u8).map(|bits| ConnectionFacts {
        answering: bits & 1 > 0,
        read_behind: bits & 2 > 0,
        head_begun: bits & 4 > 0,
        unwritten: bits & 8 > 0,
        peer_gone: bits & 16 > 0,
    })
}

#[test]
fn a_permitted_close_is_never_a_violation() {
    for facts in all_connection_facts() {
        for cause in CloseCause::ALL.iter().copied() {
            match may_close(&facts, cause) {
                Ok(()) => assert_eq!(check_closed(&facts, cause), None, "{facts:?} {cause:?}"),
                Err(Outstanding::Answer) => {
                    assert!(facts.answering || facts.read_behind, "{facts:?} {cause:?}");
                }
                Err(Outstanding::RestOfAnswer) => assert!(facts.unwritten, "{facts:?} {cause:?}"),
                Err(Outstanding::RestOfHead) => assert!(facts.head_begun, "{facts:?} {cause:?}"),
            }
        }
    }
}

#[test]
fn closing_with_an_unanswered_request_is_a_violation_unless_the_client_caused_it() {
    let unanswered = ConnectionFacts { answering: true, ..ConnectionFacts::default() };
    for cause in [CloseCause::Idle, CloseCause::Drain, CloseCause::MadeRoom, CloseCause::NoRequest] {
        assert_eq!(check_closed(&unanswered, cause), Some(Violation::ClosedUnanswered));
    }
    assert_eq!(check_closed(&unanswered, CloseCause::ProcessEnd), Some(Violation::EndedUnanswered));
    let pipelined = ConnectionFacts { read_behind: true, ..ConnectionFacts::default() };
    assert_eq!(check_closed(&pipelined, CloseCause::Drain), Some(Violation::ClosedUnanswered));
    assert_eq!(check_closed(&pipelined, CloseCause::PeerEnded), None);
}

/// The client may finish a partial head unless the slot is needed or the head's timeout has passed.
#[test]
fn a_partial_request_head_delays_the_close() {
    let partial_head = ConnectionFacts { head_begun: true, ..ConnectionFacts::default() };
    for (cause, permitted) in [
        (CloseCause::Drain, false),
        (CloseCause::Idle, false),
        (CloseCause::MadeRoom, true),
        (CloseCause::NoRequest, true),
    ] {
        assert_eq!(may_close(&partial_head, cause).is_ok(), permitted, "{cause:?}");
    }
}

#[test]
fn serving_is_reported_only_when_every_precondition_holds() {
    for bits in 0..8u8 {
        let facts =
            ServeFacts { node_known: bits & 1 > 0, policy_permits: bits & 2 > 0, draining: bits & 4 > 0 };
        let ready = facts.node_known && facts.policy_permits && !facts.draining;
        assert_eq!(may_serve(&facts).is_ok(), ready, "{facts:?}");
        let violation = (!ready).then_some(Violation::SaidServingUnready);
        assert_eq!(check_reported_serving(&facts), violation, "{facts:?}");
    }
}

#[test]
fn label_indexes_match_their_position() {
    for (index, violation) in Violation::ALL.iter().enumerate() {
        assert_eq!(violation.index(), index, "{}", violation.name());
    }
}
