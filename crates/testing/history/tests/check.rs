//! The checker is itself checked: books without a fault show none, and each seeded breach is found, with its request.

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
    tries: usize,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let effect = prop_oneof![Just(Effect::Safe), Just(Effect::Keyed), Just(Effect::Unsafe)];
    let answer =
        prop_oneof![4 => Just(Answer::Served), 1 => Just(Answer::Refused), 1 => Just(Answer::Failed)];
    (0u64..20_000, 20u64..400, effect, answer, prop::bool::weighted(0.1), 1usize..4).prop_map(
        |(at, took, effect, answer, excused, tries)| Exchange {
            at: at * MILLI,
            took: took * MILLI,
            effect,
            answer,
            excused,
            tries,
        },
    )
}

fn id(i: usize) -> String {
    format!("r{i}")
}

/// Entries of a run in which all went well: node `d` drains at ten seconds and is ready again at fifteen.
fn run(exchanges: &[Exchange]) -> Vec<(Nanos, Entry)> {
    let node = |n: usize| ["a", "b", "c"][n % 3].to_owned();
    let mut all = vec![
        (10_000 * MILLI, Entry::Drained { node: "d".into() }),
        (15_000 * MILLI, Entry::Ready { node: "d".into() }),
    ];
    for (i, e) in exchanges.iter().enumerate() {
        all.push((e.at, Entry::Asked { id: id(i), effect: e.effect, within: WITHIN }));
        for n in 0..e.tries {
            let at = e.at + e.took * n as u64 / 4;
            all.push((at, Entry::Sent { id: id(i), node: node(i + n) }));
        }
        let last = node(i + e.tries - 1);
        let ran = e.answer == Answer::Served || (e.answer == Answer::Failed && i % 2 == 0);
        if ran {
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

fn books(entries: impl IntoIterator<Item = (Nanos, Entry)>) -> History {
    let mut books = History::default();
    entries.into_iter().for_each(|(at, entry)| books.record(at, entry));
    books
}

/// Breaks one rule for the `i`-th exchange; what is to be found, or `None` where it can't be broken there.
fn spoil(kind: usize, i: usize, e: &Exchange, all: &mut Vec<(Nanos, Entry)>) -> Option<Violation> {
    let of = id(i);
    let over = e.at + e.took;
    let is_final = |entry: &Entry| matches!(entry, Entry::Final { id, .. } if *id == of);
    let ran = all.iter().find_map(|(_, entry)| match entry {
        Entry::Ran { id, node } if *id == of => Some(node.clone()),
        _ => None,
    });
    Some(match kind {
        0 if !e.excused => {
            all.retain(|(_, entry)| !is_final(entry));
            Violation::Unanswered(of)
        }
        1 if !e.excused => {
            all.push((over + 1, Entry::Final { id: of.clone(), answer: Answer::Failed, by: None }));
            Violation::Answers(of, 2)
        }
        2 if !e.excused => {
            let late = e.at + WITHIN + TOLERANCE.late + 1;
            all.iter_mut().filter(|(_, entry)| is_final(entry)).for_each(|(at, _)| *at = late);
            Violation::Late { id: of, by: TOLERANCE.late + 1 }
        }
        3 if !e.excused => {
            let by = TOLERANCE.crossing + 1;
            all.push((over + by, Entry::Sent { id: of.clone(), node: "a".into() }));
            Violation::SentAfterFinal { id: of, node: "a".into(), by }
        }
        4 if e.effect != Effect::Safe => {
            let node = ran?;
            all.push((over, Entry::Ran { id: of.clone(), node }));
            Violation::Doubled(of, 2)
        }
        5 if e.effect == Effect::Unsafe && e.answer == Answer::Refused && !e.excused => {
            all.push((e.at + 1, Entry::Ran { id: of.clone(), node: "b".into() }));
            Violation::RefusedAfterRun(of, "b".into())
        }
        6 if e.answer == Answer::Served && !e.excused => {
            let by = ran?;
            all.retain(|(_, entry)| !matches!(entry, Entry::Ran { id, .. } if *id == of));
            Violation::Forged(of, by)
        }
        7 => {
            let at = 10_000 * MILLI + TOLERANCE.drain + 1;
            all.push((at, Entry::Sent { id: of.clone(), node: "d".into() }));
            let by = TOLERANCE.drain + 1;
            Violation::SentToDrained { id: of, node: "d".into(), by }
        }
        8 => {
            all.retain(|(_, entry)| !matches!(entry, Entry::Asked { id, .. } if *id == of));
            let node = all.iter().find_map(|(_, entry)| match entry {
                Entry::Sent { id, node } if *id == of => Some(node.clone()),
                _ => None,
            });
            Violation::Unasked(of, node?)
        }
        _ => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn books_without_a_fault_show_none(exchanges in prop::collection::vec(exchange(), 1..40)) {
        prop_assert_eq!(books(run(&exchanges)).audit(TOLERANCE), vec![]);
    }

    /// Whatever surrounds it, and in whatever order the entries were made.
    #[test]
    fn a_seeded_breach_is_found(
        exchanges in prop::collection::vec(exchange(), 1..40), at in any::<prop::sample::Index>(),
        kind in 0usize..9, turn in any::<prop::sample::Index>()
    ) {
        let i = at.index(exchanges.len());
        let mut all = run(&exchanges);
        if let Some(breach) = spoil(kind, i, &exchanges[i], &mut all) {
            let turn = turn.index(all.len());
            all.rotate_left(turn);
            let found = books(all).audit(TOLERANCE);
            prop_assert!(found.contains(&breach), "{:?} is not in {:?}", breach, found);
            // Nothing is said of other requests.
            let own = |b: &Violation| b.to_string().starts_with(&format!("{} ", id(i)));
            prop_assert!(found.iter().all(own), "{:?}", found);
        }
    }
}

/// Each kind of breach is one that the seeding above does bring about.
#[test]
fn every_kind_is_seeded() {
    let served = Exchange {
        at: MILLI,
        took: 30 * MILLI,
        effect: Effect::Unsafe,
        answer: Answer::Served,
        excused: false,
        tries: 1,
    };
    let refused = Exchange { answer: Answer::Refused, ..served.clone() };
    for kind in 0..9 {
        let e = if kind == 5 { &refused } else { &served };
        let mut all = run(std::slice::from_ref(e));
        let breach = spoil(kind, 0, e, &mut all).unwrap_or_else(|| panic!("kind {kind} is not seeded"));
        assert!(books(all).audit(TOLERANCE).contains(&breach), "{breach}");
    }
}

#[test]
fn what_is_just_within_the_tolerance_is_no_breach() {
    let exact = [
        (0, Entry::Asked { id: "r".into(), effect: Effect::Safe, within: WITHIN }),
        (WITHIN + TOLERANCE.late, Entry::Final { id: "r".into(), answer: Answer::Failed, by: None }),
        (WITHIN + TOLERANCE.late + TOLERANCE.crossing, Entry::Sent { id: "r".into(), node: "a".into() }),
        (WITHIN, Entry::Drained { node: "a".into() }),
        (WITHIN + 1, Entry::Drained { node: "a".into() }),
    ];
    assert_eq!(books(exact.clone()).audit(TOLERANCE), vec![]);
    let mut later = books(exact);
    later.record(WITHIN + TOLERANCE.drain + 1, Entry::Sent { id: "r".into(), node: "a".into() });
    // The first word of the drain counts, not a repeat of it.
    assert!(later.audit(TOLERANCE).iter().any(|b| matches!(b, Violation::SentToDrained { .. })));
}
