//! The order of eviction, and its effect on a simulated connection table under floods of connections that complete no request.

use proptest::prelude::*;
use rushquay_admission::{
    evictable_connections, eviction_order, ConnectionActivity, Evidence, Nanos, SlotRequest, EVICTION_GRACE,
    FRESH_PERIOD, STOPPED_AFTER,
};

const MILLISECOND: Nanos = 1_000_000;
const NOW: Nanos = 100_000 * MILLISECOND;

fn mute(age: Nanos) -> Evidence {
    Evidence { complete_requests: 0, has_partial_request: false, since: NOW - age, last_io_at: NOW - age }
}

fn idle(age: Nanos) -> Evidence {
    Evidence { complete_requests: 3, ..mute(age) }
}

fn writing(age: Nanos, silent: Nanos) -> Evidence {
    Evidence { has_partial_request: true, last_io_at: NOW - silent, ..mute(age) }
}

#[test]
fn activity_is_derived_from_evidence() {
    for (evidence, activity) in [
        (mute(FRESH_PERIOD - 1), ConnectionActivity::Fresh),
        (mute(FRESH_PERIOD), ConnectionActivity::Mute),
        (idle(0), ConnectionActivity::Idle),
        (writing(3000 * MILLISECOND, STOPPED_AFTER - 1), ConnectionActivity::Writing),
        (writing(3000 * MILLISECOND, STOPPED_AFTER), ConnectionActivity::Stopped),
        (Evidence { complete_requests: 9, ..writing(0, 0) }, ConnectionActivity::Writing),
    ] {
        assert_eq!(evidence.activity(NOW), activity, "{evidence:?}");
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
    assert_eq!(eviction_order(&all, NOW, 100, SlotRequest::NewConnection), [4, 3, 2, 1, 0]);
    // Fresh and writing connections are not evicted in advance.
    assert_eq!(eviction_order(&all, NOW, 100, SlotRequest::InAdvance), [4, 3, 2]);
}

#[test]
fn a_just_accepted_connection_is_spared_and_no_higher_ranked_one_is_evicted_instead() {
    let just_accepted = mute(EVICTION_GRACE - 1);
    for flood in [1, 30] {
        let mut all = vec![writing(300 * MILLISECOND, 50 * MILLISECOND), idle(5000 * MILLISECOND)];
        all.extend(std::iter::repeat_n(just_accepted, flood));
        let evicted = evictable_connections(&all, NOW, 100, SlotRequest::NewConnection);
        assert_eq!(evicted, if flood == 1 { vec![1] } else { vec![] }, "{flood}");
        let later = evictable_connections(&all, NOW + 1, 100, SlotRequest::NewConnection);
        assert_eq!(later, eviction_order(&all, NOW + 1, 100, SlotRequest::NewConnection));
    }
    // Stopped and mute connections that rank before the just accepted one may still be evicted.
    let all = [just_accepted, mute(EVICTION_GRACE), writing(3000 * MILLISECOND, STOPPED_AFTER), idle(0)];
    assert_eq!(evictable_connections(&all, NOW, 4, SlotRequest::NewConnection), [2, 1]);
}

#[test]
fn connections_of_a_flood_evict_one_another() {
    let mut all = vec![idle(60_000 * MILLISECOND), writing(1500 * MILLISECOND, 300 * MILLISECOND)];
    all.extend((0..30).map(|n| mute(n * MILLISECOND)));
    let ranked = eviction_order(&all, NOW, 100, SlotRequest::NewConnection);
    // The oldest connection of the flood, though fresh, is evicted before an idle one of a minute and one that is still sending.
    assert_eq!((ranked[0], &ranked[ranked.len() - 2..]), (31, &[0, 1][..]));
    assert!(
        eviction_order(&all, NOW, 100, SlotRequest::InAdvance).is_empty(),
        "evicting in advance does not help against a flood"
    );
}

#[test]
fn crowding_writers_are_evicted_before_idle_clients() {
    let mut all: Vec<Evidence> = (0..60).map(|n| writing(2000 * MILLISECOND, n * 10 * MILLISECOND)).collect();
    all.push(idle(60_000 * MILLISECOND));
    let ranked = eviction_order(&all, NOW, 100, SlotRequest::NewConnection);
    assert_eq!((ranked[0], ranked[60]), (59, 60), "the writer silent for longest is evicted first");
}

/// Each genuine client takes two seconds to send its request, in pieces 250 ms apart, while a hundred connections per second
/// arrive that send nothing, or half a request and then nothing more.
#[test]
fn slow_clients_finish_during_a_flood_of_connections_that_never_do() {
    const SLOTS: usize = 60;
    for sends_half in [false, true] {
        // Each connection, with the time at which its request is complete if it belongs to a genuine client.
        let mut table: Vec<(Evidence, Option<Nanos>)> = Vec::new();
        let (mut finished, mut lost) = (0, 0);
        for step in 0..3000u64 {
            let now = NOW + step * 10 * MILLISECOND;
            table.iter_mut().filter(|(_, complete_at)| complete_at.is_some()).for_each(|(e, _)| {
                if (now - e.since).is_multiple_of(250 * MILLISECOND) {
                    (e.has_partial_request, e.last_io_at) = (true, now);
                }
            });
            let before = table.len();
            table.retain(|(_, complete_at)| complete_at.is_none_or(|complete_at| now < complete_at));
            finished += before - table.len();
            // The table has no timeouts for stopped connections: they leave it only by eviction.
            let is_genuine = step.is_multiple_of(50);
            if table.len() == SLOTS {
                let evidence: Vec<Evidence> = table.iter().map(|(e, _)| *e).collect();
                let evicted = eviction_order(&evidence, now, SLOTS, SlotRequest::NewConnection)[0];
                lost += usize::from(table.remove(evicted).1.is_some());
            }
            let begun = is_genuine || sends_half;
            let accepted =
                Evidence { complete_requests: 0, has_partial_request: begun, since: now, last_io_at: now };
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
        complete_requests: asked,
        has_partial_request: begun,
        since: NOW - since.max(moved) * MILLISECOND,
        last_io_at: NOW - moved * MILLISECOND,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: otherwise new connections could be locked out permanently by those accepted just before them.
    #[test]
    fn a_connection_may_be_evicted_once_none_was_just_accepted(
        all in prop::collection::vec(evidence(), 1..80),
        places in 1usize..100,
    ) {
        let evictable = evictable_connections(&all, NOW, places, SlotRequest::NewConnection);
        let all_candidates = eviction_order(&all, NOW, places, SlotRequest::NewConnection);
        prop_assert_eq!(&evictable[..], &all_candidates[..evictable.len()]);
        let is_just_accepted = |evidence: &Evidence| {
            evidence.activity(NOW) == ConnectionActivity::Fresh && NOW - evidence.since < EVICTION_GRACE
        };
        prop_assert!(evictable.iter().all(|n| !is_just_accepted(&all[*n])));
        prop_assert!(!evictable_connections(&all, NOW + EVICTION_GRACE, places, SlotRequest::NewConnection).is_empty());
    }

    /// Danger: a full table without candidates for eviction locks out every new client.
    #[test]
    fn every_connection_is_a_candidate_exactly_once(
        all in prop::collection::vec(evidence(), 1..80),
        places in 1usize..100,
    ) {
        let mut ranked = eviction_order(&all, NOW, places, SlotRequest::NewConnection);
        prop_assert_eq!(ranked.len(), all.len());
        let first = all[ranked[0]].activity(NOW);
        // A writer is evicted first only if there are no others, or if writers occupy more than half of the slots.
        let writers = all.iter().filter(|e| e.activity(NOW) == ConnectionActivity::Writing).count();
        prop_assert!(first != ConnectionActivity::Writing || writers == all.len() || writers > places / 2);
        ranked.sort_unstable();
        ranked.dedup();
        prop_assert_eq!(ranked.len(), all.len());
    }
}
