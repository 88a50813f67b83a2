//! Calls in every shape, and the ledger's one law under any order of events.

use proptest::prelude::*;
use rushquay_admin::{
    figures, AdminCommand, Cause, CommandError, ConnectionSlots, Entry, Line, RequestMetrics, RequestOutcome,
    ServingState, TurnedAway, LINE_MOST,
};
use rushquay_invariants::{CloseCause, Violation};

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

#[test]
fn calls_are_read_and_everything_else_is_named() {
    let whole = |line: &[u8]| AdminCommand::read(line, false);
    for line in [&b"STATUS\n"[..], b"STATUS\r\n", b" STATUS \n"] {
        assert_eq!(whole(line), Line::Whole(Ok(AdminCommand::Status)));
    }
    assert_eq!(whole(b"METRICS\n"), Line::Whole(Ok(AdminCommand::Metrics)));
    for partial in [&b""[..], b"S", b"STATUS", b"STATUS\r"] {
        assert_eq!(whole(partial), Line::Partial, "{partial:?}");
    }
    assert_eq!(AdminCommand::read(b"STATUS", true), Line::Whole(Err(CommandError::Cut)));
    assert_eq!(whole(b"status\n"), Line::Whole(Err(CommandError::Unknown)));
    assert_eq!(whole(b"\n"), Line::Whole(Err(CommandError::Unknown)));
    assert_eq!(whole(b"STATUS\nSTATUS\n"), Line::Whole(Err(CommandError::More)));
    assert_eq!(whole(b"\x16\x03\x01"), Line::Whole(Err(CommandError::Binary)));
    assert_eq!(whole(b"STAT\0US\n"), Line::Whole(Err(CommandError::Binary)));
    assert_eq!(whole(&[b'A'; LINE_MOST]), Line::Whole(Err(CommandError::Long)));
    let mut long = vec![b'A'; LINE_MOST];
    long.push(b'\n');
    assert_eq!(whole(&long), Line::Whole(Err(CommandError::Long)));
}

#[test]
fn a_true_caller_always_finds_a_place() {
    let mut places = ConnectionSlots::new(3);
    let mute: Vec<_> = (0..3).map(|_| places.come().0).collect();
    let (caller, gives_way) = places.come();
    assert_eq!(gives_way, Some(mute[0]), "whoever has waited for longest");
    places.left(caller);
    assert_eq!(places.waiting(), 2);
    let (_, gives_way) = places.come();
    assert_eq!(gives_way, None);
    places.left(mute[0]);
    assert_eq!(places.waiting(), 3, "one that was sent away leaves nothing behind");
}

#[test]
fn figures_stand_a_line_each_and_end_with_a_dot() {
    let ledger = RequestMetrics::new(&names(&["read", "a\"b\\c\nd"]));
    ledger.take(0).answered(RequestOutcome::Completed);
    ledger.take(1).answered(RequestOutcome::Failed);
    let _open = ledger.take(0);
    ledger.attempts.one_more();
    ledger.members.set(12);
    ledger.unavailable.set(2);
    ledger.retries.one_more(Cause::Miss);
    ledger.retries.one_more(Cause::SecondCopy);
    ledger.retries.one_more(Cause::Miss);
    ledger.turned_away.one_more(TurnedAway::UnknownClass);
    ledger.closes.one_more(CloseCause::Drain);
    ledger.violations.one_more(Violation::ClosedUnanswered);
    let text = figures(&ledger);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "proxy_completed{lane=\"read\"} 1",
            "proxy_completed{lane=\"a\\\"b\\\\c\\nd\"} 0",
            "proxy_rejected{lane=\"read\"} 0",
            "proxy_rejected{lane=\"a\\\"b\\\\c\\nd\"} 0",
            "proxy_failed{lane=\"read\"} 0",
            "proxy_failed{lane=\"a\\\"b\\\\c\\nd\"} 1",
            "proxy_upstream_requests 1",
            "proxy_pending 1",
            "proxy_members 12",
            "proxy_members_unavailable 2",
            "proxy_retries{after=\"miss\"} 2",
            "proxy_retries{after=\"second_copy\"} 1",
            "proxy_retries_total 3",
            "proxy_refusals_total 0",
            "proxy_failures_total 0",
            "proxy_turned_away{reason=\"unknown_class\"} 1",
            "proxy_turned_away_total 1",
            "proxy_attempts_denied_total 0",
            "proxy_client_closes{cause=\"drain\"} 1",
            "proxy_client_closes_total 1",
            "proxy_node_closes_total 0",
            "proxy_violations{rule=\"closed_unanswered\"} 1",
            "proxy_violations_total 1",
            "."
        ]
    );
}

#[test]
fn a_process_stands_as_it_said_last() {
    let ledger = RequestMetrics::new(&[]);
    assert_eq!(ledger.standing(), ServingState::Starting);
    for standing in [ServingState::Serving, ServingState::Draining, ServingState::Starting] {
        ledger.stand(standing);
        assert_eq!(ledger.standing(), standing);
    }
}

/// What may befall a request in any order.
#[derive(Clone, Debug)]
enum Step {
    Take(usize),
    Answer(usize, RequestOutcome),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        Just(RequestOutcome::Completed),
        Just(RequestOutcome::Rejected),
        Just(RequestOutcome::Failed)
    ];
    prop_oneof![
        (0usize..4).prop_map(Step::Take),
        (0usize..16, end).prop_map(|(n, end)| Step::Answer(n, end)),
        (0usize..16).prop_map(Step::Drop),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: a request counted twice, or not at all, makes the figures untrue for good.
    #[test]
    fn what_was_taken_is_pending_or_ended_once(steps in prop::collection::vec(step(), 0..200)) {
        let ledger = RequestMetrics::new(&names(&["a", "b", "c"]));
        let mut open: Vec<(Entry, usize, Option<RequestOutcome>)> = Vec::new();
        // By class and end, as a second book; class 3 is none that the ledger knows.
        let mut ended = [[0u64; 3]; 3];
        let (mut taken, mut gone) = (0, 0);
        for step in steps {
            match step {
                Step::Take(class) => {
                    taken += 1;
                    open.push((ledger.take(class), class, None));
                }
                Step::Answer(n, end) => {
                    if let Some((entry, _, said)) = open.get_mut(n) {
                        entry.answered(end);
                        *said = Some(end);
                    }
                }
                Step::Drop(n) if n < open.len() => {
                    let (entry, class, said) = open.swap_remove(n);
                    drop(entry);
                    match said {
                        Some(end) if class < 3 => ended[class][end as usize] += 1,
                        _ => gone += 1,
                    }
                }
                Step::Drop(_) => {}
            }
            let all: u64 = ended.iter().flatten().sum();
            prop_assert_eq!(ledger.taken(), all + gone + ledger.pending());
            prop_assert_eq!((ledger.taken(), ledger.pending(), ledger.gone()), (taken, open.len() as u64, gone));
            for (class, ends) in ended.iter().enumerate() {
                for end in [RequestOutcome::Completed, RequestOutcome::Rejected, RequestOutcome::Failed] {
                    prop_assert_eq!(ledger.ended(class, end), ends[end as usize]);
                }
            }
        }
    }
}
