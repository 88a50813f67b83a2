//! Checks the checker: a history without a fault has no violations, and each seeded violation is found with its request.

use proptest::prelude::*;
use rushquay_history::{Answer, Effect, Entry, History, Nanos, Tolerance, Violation, MILLI};

const TOLERANCE: Tolerance = Tolerance { late: 50 * MILLI, drain: 550 * MILLI, crossing: 5 * MILLI };
const WITHIN: Nanos = 400 * MILLI;

#[derive(Clone, Debug)]
struct Exchange {
    at: Nanos,
    took: Nanos,
    effect: Effect,
    answer: Answer,
    excused: bool,
    attempts: usize,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let effect = prop_oneof![Just(Effect::Safe), Just(Effect::Keyed), Just(Effect::Unsafe)];
    let answer =
        prop_oneof![4 => Just(Answer::Served), 1 => Just(Answer::Refused), 1 => Just(Answer::Failed)];
    (0u64..20_000, 20u64..400, effect, answer, prop::bool::weighted(0.1), 1usize..4).prop_map(
        |(at, took, effect, answer, excused, attempts)| Exchange {
            at: at * MILLI,
            took: took * MILLI,
            effect,
            answer,
            excused,
            attempts,
        },
    )
}

fn id(i: usize) -> String {
    format!("r{i}")
}

/// Events of a run without violations: node `d` drains at ten seconds and is ready again at fifteen.
fn run(exchanges: &[Exchange]) -> Vec<(Nanos, Entry)> {
    let node = |n: usize| ["a", "b", "c"][n % 3].to_owned();
    let mut all = vec![
        (10_000 * MILLI, Entry::Drained { node: "d".into() }),
        (15_000 * MILLI, Entry::Ready { node: "d".into() }),
    ];
    for (i, e) in exchanges.iter().enumerate() {
        all.push((e.at, Entry::Asked { id: id(i), effect: e.effect, within: WITHIN }));
        for n in 0..e.attempts {
            let at = e.at + e.took * n as u64 / 4;
            all.push((at, Entry::Sent { id: id(i), node: node(i + n) }));
        }
        let last = node(i + e.attempts - 1);
        let is_executed = e.answer == Answer::Served || (e.answer == Answer::Failed && i % 2 == 0);
        if is_executed {
            all.push((e.at + e.took - MILLI, Entry::Ran { id: id(i), node: last.clone() }));
        }
        let by = (e.answer == Answer::Served).then_some(last);
        if e.excused {
            all.push((e.at, Entry::Excused { id: id(i) }));
        } else {
            all.push((e.at + e.took, Entry::Final { id: id(i), answer: e.answer, by }));
        }
    }
    all
}

fn history(entries: impl IntoIterator<Item = (Nanos, Entry)>) -> History {
    let mut history = History::default();
    entries.into_iter().for_each(|(at, entry)| history.record(at, entry));
    history
}

/// Breaks one rule for the `i`-th exchange; returns the expected violation, or `None` if the rule cannot be broken there.
fn seed_violation(kind: usize, i: usize, e: &Exchange, all: &mut Vec<(Nanos, Entry)>) -> Option<Violation> {
    let request_id = id(i);
    let ended_at = e.at + e.took;
    let is_final = |entry: &Entry| matches!(entry, Entry::Final { id, .. } if *id == request_id);
    let executing_node = all.iter().find_map(|(_, entry)| match entry {
        Entry::Ran { id, node } if *id == request_id => Some(node.clone()),
        _ => None,
    });
    Some(match kind {
        0 if !e.excused => {
            all.retain(|(_, entry)| !is_final(entry));
            Violation::Unanswered(request_id)
        }
        1 if !e.excused => {
            all.push((
                ended_at + 1,
                Entry::Final { id: request_id.clone(), answer: Answer::Failed, by: None },
            ));
            Violation::Answers(request_id, 2)
        }
        2 if !e.excused => {
            let late = e.at + WITHIN + TOLERANCE.late + 1;
            all.iter_mut().filter(|(_, entry)| is_final(entry)).for_each(|(at, _)| *at = late);
            Violation::Late { id: request_id, by: TOLERANCE.late + 1 }
        }
        3 if !e.excused => {
            let by = TOLERANCE.crossing + 1;
            all.push((ended_at + by, Entry::Sent { id: request_id.clone(), node: "a".into() }));
            Violation::SentAfterFinal { id: request_id, node: "a".into(), by }
        }
        4 if e.effect != Effect::Safe => {
            let node = executing_node?;
            all.push((ended_at, Entry::Ran { id: request_id.clone(), node }));
            Violation::Doubled(request_id, 2)
        }
        5 if e.effect == Effect::Unsafe && e.answer == Answer::Refused && !e.excused => {
            all.push((e.at + 1, Entry::Ran { id: request_id.clone(), node: "b".into() }));
            Violation::RefusedAfterRun(request_id, "b".into())
        }
        6 if e.answer == Answer::Served && !e.excused => {
            let by = executing_node?;
            all.retain(|(_, entry)| !matches!(entry, Entry::Ran { id, .. } if *id == request_id));
            Violation::Forged(request_id, by)
        }
        7 => {
            let at = 10_000 * MILLI + TOLERANCE.drain + 1;
            all.push((at, Entry::Sent { id: request_id.clone(), node: "d".into() }));
            let by = TOLERANCE.drain + 1;
            Violation::SentToDrained { id: request_id, node: "d".into(), by }
        }
        8 => {
            all.retain(|(_, entry)| !matches!(entry, Entry::Asked { id, .. } if *id == request_id));
            let node = all.iter().find_map(|(_, entry)| match entry {
                Entry::Sent { id, node } if *id == request_id => Some(node.clone()),
                _ => None,
            });
            Violation::Unasked(request_id, node?)
        }
        _ => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_history_without_a_fault_has_no_violations(exchanges in prop::collection::vec(exchange(), 1..40)) {
        prop_assert_eq!(history(run(&exchanges)).audit(TOLERANCE), vec![]);
    }

    /// Whatever the surrounding events, and in whatever order they were recorded.
    #[test]
    fn a_seeded_violation_is_found(
        exchanges in prop::collection::vec(exchange(), 1..40), at in any::<prop::sample::Index>(),
        kind in 0usize..9, rotation in any::<prop::sample::Index>()
    ) {
        let i = at.index(exchanges.len());
        let mut all = run(&exchanges);
        if let Some(violation) = seed_violation(kind, i, &exchanges[i], &mut all) {
            let rotation = rotation.index(all.len());
            all.rotate_left(rotation);
            let found = history(all).audit(TOLERANCE);
            prop_assert!(found.contains(&violation), "{:?} is not in {:?}", violation, found);
            // No violation is reported for other requests.
            let prefix = format!("{} ", id(i));
            let concerns_request = |violation: &Violation| violation.to_string().starts_with(&prefix);
            prop_assert!(found.iter().all(concerns_request), "{:?}", found);
        }
    }
}

/// Each kind of violation can be seeded by the function above.
#[test]
fn every_kind_of_violation_can_be_seeded() {
    let served = Exchange {
        at: MILLI,
        took: 30 * MILLI,
        effect: Effect::Unsafe,
        answer: Answer::Served,
        excused: false,
        attempts: 1,
    };
    let refused = Exchange { answer: Answer::Refused, ..served.clone() };
    for kind in 0..9 {
        let e = if kind == 5 { &refused } else { &served };
        let mut all = run(std::slice::from_ref(e));
        let violation =
            seed_violation(kind, 0, e, &mut all).unwrap_or_else(|| panic!("kind {kind} is not seeded"));
        assert!(history(all).audit(TOLERANCE).contains(&violation), "{violation}");
    }
}

#[test]
fn events_just_within_the_tolerance_are_no_violation() {
    let exact = [
        (0, Entry::Asked { id: "r".into(), effect: Effect::Safe, within: WITHIN }),
        (WITHIN + TOLERANCE.late, Entry::Final { id: "r".into(), answer: Answer::Failed, by: None }),
        (WITHIN + TOLERANCE.late + TOLERANCE.crossing, Entry::Sent { id: "r".into(), node: "a".into() }),
        (WITHIN, Entry::Drained { node: "a".into() }),
        (WITHIN + 1, Entry::Drained { node: "a".into() }),
    ];
    assert_eq!(history(exact.clone()).audit(TOLERANCE), vec![]);
    let mut later = history(exact);
    later.record(WITHIN + TOLERANCE.drain + 1, Entry::Sent { id: "r".into(), node: "a".into() });
    // The first notification of the drain counts, not a repeat of it.
    assert!(later
        .audit(TOLERANCE)
        .iter()
        .any(|violation| matches!(violation, Violation::SentToDrained { .. })));
}
