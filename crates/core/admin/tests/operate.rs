//! Command parsing, connection slots, the text exposition, and request accounting under any order of events.

use proptest::prelude::*;
use rushquay_admin::{
    figures, AdminCommand, Cause, CommandError, ConnectionSlots, Entry, Line, RequestMetrics, RequestOutcome,
    ServingState, StatementSource, TurnedAway, LINE_MOST,
};
use rushquay_invariants::{CloseCause, Violation};

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

#[test]
fn commands_are_parsed_and_invalid_lines_are_classified() {
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
fn a_new_connection_evicts_the_longest_waiting_one() {
    let mut slots = ConnectionSlots::new(3);
    let silent: Vec<_> = (0..3).map(|_| slots.come().0).collect();
    let (caller, evicted) = slots.come();
    assert_eq!(evicted, Some(silent[0]), "the longest-waiting connection is evicted");
    slots.left(caller);
    assert_eq!(slots.waiting(), 2);
    let (_, evicted) = slots.come();
    assert_eq!(evicted, None);
    slots.left(silent[0]);
    assert_eq!(slots.waiting(), 3, "releasing an evicted connection frees no further slot");
}

#[test]
fn metrics_are_rendered_one_per_line_and_end_with_a_dot() {
    let metrics = RequestMetrics::new(&names(&["read", "a\"b\\c\nd"]));
    metrics.take(0).answered(RequestOutcome::Completed);
    metrics.take(1).answered(RequestOutcome::Failed);
    let _open = metrics.take(0);
    metrics.attempts.one_more();
    metrics.members.set(12);
    metrics.unavailable.set(2);
    metrics.retries.one_more(Cause::Miss);
    metrics.retries.one_more(Cause::SecondCopy);
    metrics.retries.one_more(Cause::Miss);
    metrics.turned_away.one_more(TurnedAway::UnknownClass);
    metrics.closes.one_more(CloseCause::Drain);
    metrics.violations.one_more(Violation::ClosedUnanswered);
    metrics.passed_over.one_more(StatementSource::Control);
    metrics.clock_offsets.control.set(-7_400_000);
    let text = figures(&metrics);
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
            "proxy_statements_passed_over{source=\"control\"} 1",
            "proxy_statements_passed_over_total 1",
            "proxy_clock_ahead_ms{clock=\"discovery\"} 0",
            "proxy_clock_ahead_ms{clock=\"control\"} -7400000",
            "."
        ]
    );
}

#[test]
fn the_serving_state_is_the_one_set_last() {
    let metrics = RequestMetrics::new(&[]);
    assert_eq!(metrics.standing(), ServingState::Starting);
    for state in [ServingState::Serving, ServingState::Draining, ServingState::Starting] {
        metrics.stand(state);
        assert_eq!(metrics.standing(), state);
    }
}

/// An event in the life of a request.
#[derive(Clone, Debug)]
enum Event {
    Take(usize),
    Answer(usize, RequestOutcome),
    Drop(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        Just(RequestOutcome::Completed),
        Just(RequestOutcome::Rejected),
        Just(RequestOutcome::Failed)
    ];
    prop_oneof![
        (0usize..4).prop_map(Event::Take),
        (0usize..16, end).prop_map(|(n, end)| Event::Answer(n, end)),
        (0usize..16).prop_map(Event::Drop),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: a request counted twice, or not at all, makes the metrics wrong for good.
    #[test]
    fn every_accepted_request_is_pending_or_counted_once(events in prop::collection::vec(event(), 0..200)) {
        let metrics = RequestMetrics::new(&names(&["a", "b", "c"]));
        let mut open: Vec<(Entry, usize, Option<RequestOutcome>)> = Vec::new();
        // Expected counts by class and outcome, kept independently; class 3 is unknown to the metrics.
        let mut ended = [[0u64; 3]; 3];
        let (mut taken, mut gone) = (0, 0);
        for event in events {
            match event {
                Event::Take(class) => {
                    taken += 1;
                    open.push((metrics.take(class), class, None));
                }
                Event::Answer(n, end) => {
                    if let Some((entry, _, recorded)) = open.get_mut(n) {
                        entry.answered(end);
                        *recorded = Some(end);
                    }
                }
                Event::Drop(n) if n < open.len() => {
                    let (entry, class, recorded) = open.swap_remove(n);
                    drop(entry);
                    match recorded {
                        Some(end) if class < 3 => ended[class][end as usize] += 1,
                        _ => gone += 1,
                    }
                }
                Event::Drop(_) => {}
            }
            let all: u64 = ended.iter().flatten().sum();
            prop_assert_eq!(metrics.taken(), all + gone + metrics.pending());
            let counted = (metrics.taken(), metrics.pending(), metrics.gone());
            prop_assert_eq!(counted, (taken, open.len() as u64, gone));
            for (class, ends) in ended.iter().enumerate() {
                for end in [RequestOutcome::Completed, RequestOutcome::Rejected, RequestOutcome::Failed] {
                    prop_assert_eq!(metrics.ended(class, end), ends[end as usize]);
                }
            }
        }
    }
}
