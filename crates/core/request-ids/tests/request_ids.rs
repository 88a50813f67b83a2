//! Which ids are taken, for how long and in how much memory.

use rushquay_request_ids::{
    claimed_before, AlreadyClaimed, ClaimRecord, ClaimedIds, Nanos, ProcessTag, RequestDigest,
    MAX_REMEMBERED, RETENTION,
};

const SECOND: Nanos = 1_000_000_000;

fn id(name: &str) -> RequestDigest {
    RequestDigest::of(name.as_bytes())
}

#[test]
fn an_id_is_taken_while_its_request_is_in_flight() {
    let mut ids = ClaimedIds::default();
    assert_eq!(ids.claim(id("a"), 0), Ok(()));
    assert_eq!(ids.claim(id("a"), 3600 * SECOND), Err(AlreadyClaimed));
    assert_eq!(ids.claim(id("b"), 0), Ok(()));
}

/// Guards against a request that runs again under its id though it may have run.
#[test]
fn the_id_of_what_may_have_run_stays_taken() {
    let mut ids = ClaimedIds::default();
    ids.claim(id("a"), 0).expect("free");
    ids.remember(id("a"), 5 * SECOND);
    assert_eq!(ids.claim(id("a"), 5 * SECOND + RETENTION - 1), Err(AlreadyClaimed));
    assert_eq!(ids.claim(id("a"), 5 * SECOND + RETENTION), Ok(()));
}

#[test]
fn the_id_of_what_never_ran_is_free_again() {
    let mut ids = ClaimedIds::default();
    ids.claim(id("a"), 0).expect("free");
    ids.release(id("a"));
    assert_eq!(ids.claim(id("a"), 0), Ok(()));
}

/// Guards against memory that grows with ever new ids.
#[test]
fn the_oldest_ids_make_room_for_ever_new_ones() {
    let mut ids = ClaimedIds::default();
    for n in 0..3 * MAX_REMEMBERED {
        let id = id(&n.to_string());
        ids.claim(id, n as Nanos).expect("free");
        ids.remember(id, n as Nanos);
        assert!(ids.remembered() <= MAX_REMEMBERED);
    }
    assert_eq!(ids.claim(id("0"), SECOND), Ok(()));
    assert_eq!(ids.claim(id(&(3 * MAX_REMEMBERED - 1).to_string()), SECOND), Err(AlreadyClaimed));
}

/// Guards against a digest that differs between two versions of the program.
#[test]
fn records_keep_their_form() {
    let record = ClaimRecord { id: id("9b1f03aa5c7e2d41"), process: ProcessTag(0x0102_0304) };
    let bytes = record.to_bytes();
    assert_eq!(bytes[16..], [1, 2, 3, 4]);
    assert_eq!(ClaimRecord::read_all(&bytes).collect::<Vec<_>>(), [record]);
    assert_eq!(ClaimRecord::read_all(&bytes[..19]).count(), 0, "a part of a record is none");
    assert_eq!(bytes[..16], GOLDEN);
}

const GOLDEN: [u8; 16] = [238, 92, 137, 234, 206, 201, 174, 190, 25, 52, 38, 156, 116, 248, 157, 76];

/// Guards against a request that runs in both processes of an upgrade, because each finds the other's claim.
#[test]
fn of_two_processes_that_claim_an_id_the_first_has_it() {
    let [a, b] = [1, 2].map(|process| ClaimRecord { id: id("a"), process: ProcessTag(process) });
    let other = ClaimRecord { id: id("b"), process: ProcessTag(2) };
    assert!(!claimed_before(&[other, a], a));
    assert!(!claimed_before(&[other, a, b], a));
    assert!(claimed_before(&[other, a, b], b));
}
