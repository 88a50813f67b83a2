//! Eviction under floods and crowds of useless connections, in a simple model of a connection table.

use proptest::prelude::*;
use rushquay_admission::{
    giving_way, order, ConnectionActivity, Evidence, Nanos, SlotRequest, JUST_CAME, SOON, STOPPED,
};

const MILLISECOND: Nanos = 1_000_000;
const NOW: Nanos = 100_000 * MILLISECOND;

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
fn activity_is_derived_from_evidence() {
    for (evidence, activity) in [
        (mute(SOON - 1), ConnectionActivity::Fresh),
        (mute(SOON), ConnectionActivity::Mute),
        (idle(0), ConnectionActivity::Idle),
        (writing(3000 * MILLISECOND, STOPPED - 1), ConnectionActivity::Writing),
        (writing(3000 * MILLISECOND, STOPPED), ConnectionActivity::Stopped),
        (Evidence { asked: 9, ..writing(0, 0) }, ConnectionActivity::Writing),
    ] {
        assert_eq!(evidence.doing(NOW), activity, "{evidence:?}");
    }
}

#[test]
fn connections_without_requests_are_evicted_first_and_writers_last() {
    let all = [
        writing(1900 * MILLISECOND, 100 * MILLISECOND),
        mute(10 * MILLISECOND),
        idle(5000 * MILLISECOND),
        mute(900 * MILLISECOND),
        writing(3000 * MILLISECOND, 2000 * MILLISECOND),
    ];
    assert_eq!(order(&all, NOW, 100, SlotRequest::Place), [4, 3, 2, 1, 0]);
    // Ahead of need only useless connections are candidates.
    assert_eq!(order(&all, NOW, 100, SlotRequest::Slack), [4, 3, 2]);
}

#[test]
fn a_just_accepted_connection_is_spared_and_no_more_useful_one_is_evicted_instead() {
    let just_accepted = mute(JUST_CAME - 1);
    for flood in [1, 30] {
        let mut all = vec![writing(300 * MILLISECOND, 50 * MILLISECOND), idle(5000 * MILLISECOND)];
        all.extend(std::iter::repeat_n(just_accepted, flood));
        let evicted = giving_way(&all, NOW, 100, SlotRequest::Place);
        assert_eq!(evicted, if flood == 1 { vec![1] } else { vec![] }, "{flood}");
        let later = giving_way(&all, NOW + 1, 100, SlotRequest::Place);
        assert_eq!(later, order(&all, NOW + 1, 100, SlotRequest::Place));
    }
    // A connection that stopped earlier is still evicted first.
    let all = [just_accepted, mute(JUST_CAME), writing(3000 * MILLISECOND, STOPPED), idle(0)];
    assert_eq!(giving_way(&all, NOW, 4, SlotRequest::Place), [2, 1]);
}

#[test]
fn connections_of_a_flood_evict_one_another() {
    let mut all = vec![idle(60_000 * MILLISECOND), writing(1500 * MILLISECOND, 300 * MILLISECOND)];
    all.extend((0..30).map(|n| mute(n * MILLISECOND)));
    let out = order(&all, NOW, 100, SlotRequest::Place);
    // The oldest of the flood, though fresh, precedes the one whose request was a minute ago and the one still sending.
    assert_eq!((out[0], &out[out.len() - 2..]), (31, &[0, 1][..]));
    assert!(
        order(&all, NOW, 100, SlotRequest::Slack).is_empty(),
        "no eviction ahead of need helps against a flood"
    );
}

#[test]
fn a_crowd_of_writers_does_not_evict_idle_clients() {
    let mut all: Vec<Evidence> = (0..60).map(|n| writing(2000 * MILLISECOND, n * 10 * MILLISECOND)).collect();
    all.push(idle(60_000 * MILLISECOND));
    let out = order(&all, NOW, 100, SlotRequest::Place);
    assert_eq!((out[0], out[60]), (59, 60), "the writer silent for longest is evicted first");
}

/// A connection table under a crowd: each genuine client takes two seconds for its request, in pieces 250 ms apart, while a
/// hundred connections a second arrive that send nothing, or half a request and no more.
#[test]
fn slow_clients_finish_among_a_crowd_of_connections_that_never_do() {
    const SLOTS: usize = 60;
    for sends_half in [false, true] {
        // Each connection, with the time at which it finishes if it belongs to a genuine client.
        let mut table: Vec<(Evidence, Option<Nanos>)> = Vec::new();
        let (mut finished, mut lost) = (0, 0);
        for step in 0..3000u64 {
            let now = NOW + step * 10 * MILLISECOND;
            table.iter_mut().filter(|(_, finishes_at)| finishes_at.is_some()).for_each(|(e, _)| {
                if (now - e.since).is_multiple_of(250 * MILLISECOND) {
                    (e.begun, e.moved) = (true, now);
                }
            });
            let before = table.len();
            table.retain(|(_, finishes_at)| finishes_at.is_none_or(|finishes_at| now < finishes_at));
            finished += before - table.len();
            // Timeouts of stopped connections are enforced elsewhere; only the number of slots counts here.
            let is_genuine = step.is_multiple_of(50);
            if table.len() == SLOTS {
                let evidence: Vec<Evidence> = table.iter().map(|(e, _)| *e).collect();
                let evicted = order(&evidence, now, SLOTS, SlotRequest::Place)[0];
                lost += usize::from(table.remove(evicted).1.is_some());
            }
            let begun = is_genuine || sends_half;
            let accepted = Evidence { asked: 0, begun, since: now, moved: now };
            table.push((accepted, is_genuine.then_some(now + 2000 * MILLISECOND)));
        }
        assert!(
            finished > 50 && lost == 0,
            "half a request sent: {sends_half}: {finished} finished, {lost} lost"
        );
    }
}

fn evidence() -> impl Strategy<Value = Evidence> {
    (0u64..3, any::<bool>(), 0u64..5000, 0u64..5000).prop_map(|(asked, begun, since, moved)| Evidence {
        asked,
        begun,
        since: NOW - since.max(moved) * MILLISECOND,
        moved: NOW - moved * MILLISECOND,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: new connections would be locked out for good by those accepted just before them.
    #[test]
    fn a_connection_is_evicted_once_none_was_just_accepted(
        all in prop::collection::vec(evidence(), 1..80),
        places in 1usize..100,
    ) {
        let evictable = giving_way(&all, NOW, places, SlotRequest::Place);
        let order_now = order(&all, NOW, places, SlotRequest::Place);
        prop_assert_eq!(&evictable[..], &order_now[..evictable.len()]);
        let is_just_accepted = |evidence: &Evidence| {
            evidence.doing(NOW) == ConnectionActivity::Fresh && NOW - evidence.since < JUST_CAME
        };
        prop_assert!(evictable.iter().all(|n| !is_just_accepted(&all[*n])));
        prop_assert!(!giving_way(&all, NOW + JUST_CAME, places, SlotRequest::Place).is_empty());
    }

    /// Danger: a full table from which no connection may be evicted locks out every new client.
    #[test]
    fn every_connection_is_a_candidate_exactly_once(
        all in prop::collection::vec(evidence(), 1..80),
        places in 1usize..100,
    ) {
        let mut out = order(&all, NOW, places, SlotRequest::Place);
        prop_assert_eq!(out.len(), all.len());
        let first = all[out[0]].doing(NOW);
        // A writer comes first only where there are only writers, or they hold half of the slots.
        let writers = all.iter().filter(|e| e.doing(NOW) == ConnectionActivity::Writing).count();
        prop_assert!(first != ConnectionActivity::Writing || writers == all.len() || writers > places / 2);
        out.sort_unstable();
        out.dedup();
        prop_assert_eq!(out.len(), all.len());
    }
}
