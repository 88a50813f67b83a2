//! Floods and crowds against true clients, in a plain model of a table of connections.

use proptest::prelude::*;
use rushquay_admission::{
    giving_way, order, ConnectionActivity, Evidence, Nanos, SlotRequest, JUST_CAME, SOON, STOPPED,
};

const MS: Nanos = 1_000_000;
const NOW: Nanos = 100_000 * MS;

fn mute(age: Nanos) -> Evidence {
    Evidence { asked: 0, begun: false, since: NOW - age, moved: NOW - age }
}

fn idle(age: Nanos) -> Evidence {
    Evidence { asked: 3, ..mute(age) }
}

fn writing(age: Nanos, silent: Nanos) -> Evidence {
    Evidence { begun: true, moved: NOW - silent, ..mute(age) }
}

#[test]
fn evidence_says_what_a_connection_does() {
    for (evidence, doing) in [
        (mute(SOON - 1), ConnectionActivity::Fresh),
        (mute(SOON), ConnectionActivity::Mute),
        (idle(0), ConnectionActivity::Idle),
        (writing(3000 * MS, STOPPED - 1), ConnectionActivity::Writing),
        (writing(3000 * MS, STOPPED), ConnectionActivity::Stopped),
        (Evidence { asked: 9, ..writing(0, 0) }, ConnectionActivity::Writing),
    ] {
        assert_eq!(evidence.doing(NOW), doing, "{evidence:?}");
    }
}

#[test]
fn who_never_asked_goes_first_and_who_writes_goes_last() {
    let all = [
        writing(1900 * MS, 100 * MS),
        mute(10 * MS),
        idle(5000 * MS),
        mute(900 * MS),
        writing(3000 * MS, 2000 * MS),
    ];
    assert_eq!(order(&all, NOW, 100, SlotRequest::Place), [4, 3, 2, 1, 0]);
    // Ahead of need only what is of no use is asked to go.
    assert_eq!(order(&all, NOW, 100, SlotRequest::Slack), [4, 3, 2]);
}

#[test]
fn who_has_just_come_is_waited_for_and_nobody_of_more_use_goes_instead() {
    let newcomer = mute(JUST_CAME - 1);
    for flood in [1, 30] {
        let mut all = vec![writing(300 * MS, 50 * MS), idle(5000 * MS)];
        all.extend(std::iter::repeat_n(newcomer, flood));
        let idle_goes = giving_way(&all, NOW, 100, SlotRequest::Place);
        assert_eq!(idle_goes, if flood == 1 { vec![1] } else { vec![] }, "{flood}");
        let later = giving_way(&all, NOW + 1, 100, SlotRequest::Place);
        assert_eq!(later, order(&all, NOW + 1, 100, SlotRequest::Place));
    }
    // Whoever stopped before goes first all the same.
    let all = [newcomer, mute(JUST_CAME), writing(3000 * MS, STOPPED), idle(0)];
    assert_eq!(giving_way(&all, NOW, 4, SlotRequest::Place), [2, 1]);
}

#[test]
fn a_flood_pushes_out_one_another() {
    let mut all = vec![idle(60_000 * MS), writing(1500 * MS, 300 * MS)];
    all.extend((0..30).map(|n| mute(n * MS)));
    let out = order(&all, NOW, 100, SlotRequest::Place);
    // The oldest of the flood, fresh as it is, before the one that asked a minute ago and the one that still writes.
    assert_eq!((out[0], &out[out.len() - 2..]), (31, &[0, 1][..]));
    assert!(
        order(&all, NOW, 100, SlotRequest::Slack).is_empty(),
        "nothing helps against a flood ahead of time"
    );
}

#[test]
fn a_crowd_of_writers_does_not_empty_the_house_of_those_that_ask() {
    let mut all: Vec<Evidence> = (0..60).map(|n| writing(2000 * MS, n * 10 * MS)).collect();
    all.push(idle(60_000 * MS));
    let out = order(&all, NOW, 100, SlotRequest::Place);
    assert_eq!((out[0], out[60]), (59, 60), "the one that has sent nothing for longest");
}

/// A table under a crowd: each true client takes two seconds for its request, in pieces 250 ms apart, while a hundred
/// connections a second come that send nothing, or a half and no more.
#[test]
fn slow_clients_finish_among_a_crowd_that_never_does() {
    const PLACES: usize = 60;
    for half in [false, true] {
        // With each connection, when a true client among them will have finished.
        let mut table: Vec<(Evidence, Option<Nanos>)> = Vec::new();
        let (mut finished, mut lost) = (0, 0);
        for step in 0..3000u64 {
            let now = NOW + step * 10 * MS;
            table.iter_mut().filter(|(_, ends)| ends.is_some()).for_each(|(e, _)| {
                if (now - e.since).is_multiple_of(250 * MS) {
                    (e.begun, e.moved) = (true, now);
                }
            });
            let before = table.len();
            table.retain(|(_, ends)| ends.is_none_or(|ends| now < ends));
            finished += before - table.len();
            // Patience with those that stop is the look-out's; here only room counts.
            let true_client = step.is_multiple_of(50);
            if table.len() == PLACES {
                let evidence: Vec<Evidence> = table.iter().map(|(e, _)| *e).collect();
                let out = order(&evidence, now, PLACES, SlotRequest::Place)[0];
                lost += usize::from(table.remove(out).1.is_some());
            }
            let begun = true_client || half;
            let came = Evidence { asked: 0, begun, since: now, moved: now };
            table.push((came, true_client.then_some(now + 2000 * MS)));
        }
        assert!(finished > 50 && lost == 0, "half {half}: {finished} finished, {lost} lost");
    }
}

fn evidence() -> impl Strategy<Value = Evidence> {
    (0u64..3, any::<bool>(), 0u64..5000, 0u64..5000).prop_map(|(asked, begun, since, moved)| Evidence {
        asked,
        begun,
        since: NOW - since.max(moved) * MS,
        moved: NOW - moved * MS,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: newcomers would be kept out for good by those that came just before them.
    #[test]
    fn somebody_gives_way_once_nobody_has_just_come(
        all in prop::collection::vec(evidence(), 1..80),
        places in 1usize..100,
    ) {
        let giving = giving_way(&all, NOW, places, SlotRequest::Place);
        let order_now = order(&all, NOW, places, SlotRequest::Place);
        prop_assert_eq!(&giving[..], &order_now[..giving.len()]);
        prop_assert!(giving.iter().all(|n| !(all[*n].doing(NOW) == ConnectionActivity::Fresh && NOW - all[*n].since < JUST_CAME)));
        prop_assert!(!giving_way(&all, NOW + JUST_CAME, places, SlotRequest::Place).is_empty());
    }

    /// Danger: a full table of which nobody gives way keeps every new client out.
    #[test]
    fn somebody_always_gives_way_and_nobody_twice(all in prop::collection::vec(evidence(), 1..80), places in 1usize..100) {
        let mut out = order(&all, NOW, places, SlotRequest::Place);
        prop_assert_eq!(out.len(), all.len());
        let first = all[out[0]].doing(NOW);
        // A writer goes first only where nobody else is left, or writers hold half of the places.
        let writers = all.iter().filter(|e| e.doing(NOW) == ConnectionActivity::Writing).count();
        prop_assert!(first != ConnectionActivity::Writing || writers == all.len() || writers > places / 2);
        out.sort_unstable();
        out.dedup();
        prop_assert_eq!(out.len(), all.len());
    }
}
