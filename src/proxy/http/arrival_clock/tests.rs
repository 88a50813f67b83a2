use super::*;

const MS: Nanos = 1_000_000;
const MB: u64 = 1 << 20;
const TIME_LIMIT: Nanos = 800 * MS;
/// The interval at which these tests look at an upload.
const LOOK: Nanos = 25 * MS;

/// An upload that nobody reads: its node takes nothing.
const fn lying(unread: u64, has_room: bool, end: Option<u64>) -> UploadFacts {
    UploadFacts { read: 1000, unread, has_room, end, is_awaited: false }
}

/// Looks at an upload from time to time. Returns when its answer is due.
fn due_at(mut facts: impl FnMut(Nanos) -> UploadFacts) -> Option<Nanos> {
    let mut clock = ArrivalClock::new(0, 1000);
    (1..2000).map(|look| look * LOOK).find(|now| {
        clock.observe(*now, &facts(*now));
        clock.is_due(TIME_LIMIT)
    })
}

/// Guards against a client that waits without end while its node takes nothing of a body that has arrived completely.
#[test]
fn a_body_that_lies_unread_is_answered_in_its_time() {
    for end in [Some(6000), None] {
        assert_eq!(due_at(|_| lying(5000, true, end)), Some(TIME_LIMIT), "{end:?}");
    }
}

/// Guards against the same with a body of which the end lies in the client's own system, since there is no room for it here.
#[test]
fn a_body_whose_end_may_wait_in_the_client_s_system_is_answered_in_its_time() {
    for end in [Some(3 * MB), None] {
        assert_eq!(due_at(|_| lying(2 * MB, false, end)), Some(TIME_LIMIT), "{end:?}");
    }
}

/// Guards against the same with a node that takes a little from time to time.
#[test]
fn a_body_that_is_taken_too_slowly_is_answered_in_its_time() {
    let trickling =
        |now: Nanos| UploadFacts { read: 1000 + now / MS * 100, ..lying(2 * MB, false, Some(4 * MB)) };
    assert_eq!(due_at(trickling), Some(TIME_LIMIT));
}

/// Guards against bytes that arrive now and then for want of room, and pass for a client that still sends.
#[test]
fn what_arrives_now_and_then_says_nothing_of_the_client() {
    let probed = |now: Nanos| lying(30_000 + now / (200 * MS) * 500, true, Some(3 * MB));
    assert_eq!(due_at(probed), Some(TIME_LIMIT));
}

/// Guards against a client that is given up while it still sends.
#[test]
fn the_time_runs_from_the_last_byte_however_long_it_takes_to_come() {
    let arriving = |now: Nanos| (now / MS).min(4_000);
    // The last look before the last byte was at 3,975 ms.
    assert_eq!(due_at(|now| lying(arriving(now), true, Some(5_000))), Some(3_975 * MS + TIME_LIMIT));
    assert_eq!(due_at(|now| lying(arriving(now), true, None)), Some(3_975 * MS + TIME_LIMIT));
}

/// Guards against a long body that is given up although its node takes it at a good pace.
#[test]
fn a_body_far_longer_than_what_waits_in_buffers_is_not_overdue_while_it_moves() {
    const LENGTH: u64 = 64 * MB;
    for end in [Some(LENGTH), None] {
        // 10 MB a second; there is always more to read.
        let moving = |now: Nanos| UploadFacts { read: now / (100 * MS) * MB, ..lying(MB, false, end) };
        let due = due_at(|now| moving(now.min(6_000 * MS))).expect("due");
        assert!(due > 6_000 * MS, "{end:?}: {} ms", due / MS);
    }
}

/// Guards against a slow client, which its attempt waits for, that is taken for one that has sent everything.
#[test]
fn a_client_that_pauses_is_not_overdue() {
    let paused = |_| UploadFacts { is_awaited: true, ..lying(0, true, None) };
    assert_eq!(due_at(paused), None);
}

/// Guards against a node that takes nothing of a body that is too long to be written before it does.
#[test]
fn a_node_that_takes_nothing_ends_an_upload_that_cannot_go_on() {
    assert_eq!(due_at(|_| lying(2 * MB, false, Some(1 << 30))), Some(MAX_NODE_SILENCE));
}
