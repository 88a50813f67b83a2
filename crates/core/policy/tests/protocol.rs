//! Cases of the lease protocol that the state exploration does not cover: clock drift, fallback policies, rejections and blocking
//! members.

use rushquay_policy::{
    ActivePolicy, ChangeOutcome, Coordinator, Incarnation, LeaseTerms, Member, Phase, PolicyNumber,
    PolicyRecord, PolicySet, RecordError, Revision, StartupPolicy,
};

const SECOND: u64 = 1_000_000_000;

fn terms() -> LeaseTerms {
    LeaseTerms {
        lease_duration: 5 * SECOND,
        drift_ppm: 10_000,
        change_timeout: 60 * SECOND,
        fallback_duration: 100 * SECOND,
    }
}

fn new_member(boot: u64) -> Member {
    Member::new(Incarnation(boot), StartupPolicy::ServeNobody, 0)
}

/// Exchanges one request and its grant, at these times by the coordinator's clock and the member's.
fn exchange(c: &mut Coordinator, m: &mut Member, name: &str, (leader_time, member_time): (u64, u64)) {
    let request = m.next_request(member_time);
    if let Some(grant) = c.grant_lease(name, &request, leader_time) {
        m.process_grant(&grant, |_| Ok(()));
    }
}

/// The reading of a clock that is fast by `ppm` parts per million.
fn clock(time: u64, ppm: i64) -> u64 {
    (i128::from(time) * i128::from(1_000_000 + ppm) / 1_000_000) as u64
}

/// For every pair of clocks within the drift bound, a lease has expired at the member by the time at which the coordinator considers the
/// member fenced. With a clock beyond the bound this fails, which is why the bound is documented.
#[test]
fn a_lease_expires_before_its_fence_within_the_drift_bound() {
    let applies_past_its_fence = |member: i64, leader: i64| {
        (0..20u64).any(|tenth| {
            let granted = 1000 * SECOND + tenth * SECOND / 10;
            let mut c = Coordinator::lead(terms(), PolicyRecord::default(), clock(1, leader));
            let mut m = new_member(1);
            exchange(&mut c, &mut m, "p0", (clock(granted, leader), clock(granted, member)));
            let proposed = c.record().propose(("a", "b"), None).expect("proposed");
            c.adopt_record(proposed, clock(granted, leader));
            // The first time, in steps of a millisecond, at which no member blocks the change.
            let unblocked_at = (0..10_000u64).map(|ms| granted + ms * 1_000_000);
            let unblocked_at = unblocked_at
                .into_iter()
                .find(|t| c.blocking_members(clock(*t, leader)).is_empty())
                .expect("the change is unblocked");
            matches!(m.acting(clock(unblocked_at, member)), ActivePolicy::Leased(_))
        })
    };
    for member in [-10_000, 0, 10_000] {
        for leader in [-10_000, 0, 10_000] {
            assert!(!applies_past_its_fence(member, leader), "clocks {member} and {leader} ppm off");
        }
    }
    assert!(applies_past_its_fence(-60_000, 10_000), "the test does not detect a clock beyond its bound");
}

#[test]
fn without_a_lease_a_member_falls_back_and_then_denies() {
    let mut c = Coordinator::lead(terms(), PolicyRecord::default(), 0);
    let mut m = new_member(1);
    assert_eq!(m.acting(0), ActivePolicy::Denied, "it has no lease yet");
    exchange(&mut c, &mut m, "p0", (0, 0));
    assert_eq!(m.acting(5 * SECOND - 1), ActivePolicy::Leased(PolicySet::Pure(PolicyNumber(0))));
    assert_eq!(m.acting(5 * SECOND), ActivePolicy::Fallback);
    assert_eq!(m.acting(105 * SECOND - 1), ActivePolicy::Fallback);
    assert_eq!(m.acting(105 * SECOND), ActivePolicy::Denied);
    // A process that is configured to start with its own fallback policy applies it after its wait.
    let started = Member::new(Incarnation(2), StartupPolicy::FallbackAfter(3 * SECOND), 0);
    assert_eq!(
        (started.acting(3 * SECOND - 1), started.acting(3 * SECOND)),
        (ActivePolicy::Denied, ActivePolicy::Fallback)
    );
}

#[test]
fn a_member_that_rejects_a_policy_aborts_the_change_and_is_named() {
    let mut c = Coordinator::lead(terms(), PolicyRecord::default(), 0);
    let (mut able, mut older) = (new_member(1), new_member(2));
    for m in [("able", &mut able), ("older", &mut older)] {
        exchange(&mut c, m.1, m.0, (0, 0));
    }
    let proposed = c.record().propose(("ravi", "less for hostels"), Some(Revision(1))).expect("proposed");
    c.adopt_record(proposed, SECOND);
    exchange(&mut c, &mut able, "able", (SECOND, SECOND));
    assert_eq!(able.acting(SECOND), ActivePolicy::Leased(PolicySet::Joint(PolicyNumber(0), PolicyNumber(1))));
    let request = older.next_request(SECOND);
    let grant = c.grant_lease("older", &request, SECOND).expect("a lease");
    older.process_grant(&grant, |_| Err("caps.attempts_cap: not known here".into()));
    assert_eq!(
        older.acting(SECOND),
        ActivePolicy::Leased(PolicySet::Pure(PolicyNumber(0))),
        "it keeps applying the previous policy set"
    );
    // A grant for a revision that it cannot apply does not extend its lease.
    let request = older.next_request(2 * SECOND);
    let grant = c.grant_lease("older", &request, 2 * SECOND).expect("a lease");
    older.process_grant(&grant, |_| Ok(()));
    assert_eq!(older.lease_expires_at(), 5 * SECOND);
    let record = c.step(2 * SECOND).expect("the change ends");
    let why = "caps.attempts_cap: not known here".to_owned();
    assert_eq!(record.last, Some((PolicyNumber(1), ChangeOutcome::Refused { name: "older".into(), why })));
    assert_eq!((record.in_force, &record.phase), (PolicyNumber(0), &Phase::Settled));
    c.adopt_record(record, 2 * SECOND);
    exchange(&mut c, &mut able, "able", (2 * SECOND, 2 * SECOND));
    assert_eq!(
        able.acting(2 * SECOND),
        ActivePolicy::Leased(PolicySet::Pure(PolicyNumber(0))),
        "the change is aborted everywhere"
    );
}

/// A member that is down cannot block a change, since it is fenced. Neither can one that sends requests and never receives a grant.
#[test]
fn an_unreachable_member_is_fenced_and_named_as_blocking() {
    let mut c = Coordinator::lead(terms(), PolicyRecord::default(), 0);
    let (mut healthy, mut down, mut deaf) = (new_member(1), new_member(2), new_member(3));
    for (name, m) in [("healthy", &mut healthy), ("down", &mut down), ("deaf", &mut deaf)] {
        exchange(&mut c, m, name, (0, 0));
    }
    let now = 3 * SECOND;
    let proposed = c.record().propose(("ravi", "b"), None).expect("proposed");
    c.adopt_record(proposed, now);
    exchange(&mut c, &mut healthy, "healthy", (now, now));
    let mut committed = None;
    for tenth in 30..200u64 {
        let now = tenth * SECOND / 10;
        c.grant_lease("deaf", &deaf.next_request(now), now);
        exchange(&mut c, &mut healthy, "healthy", (now, now));
        if let Some(record) = c.step(now) {
            assert_eq!(record.last, Some((PolicyNumber(1), ChangeOutcome::Committed)));
            committed = Some(now);
            break;
        }
        let names: Vec<String> = c.blocking_members(now).into_iter().map(|h| h.name).collect();
        assert!(names.contains(&"down".to_owned()) && names.contains(&"deaf".to_owned()), "{names:?}");
    }
    let committed = committed.expect("it is committed");
    assert!(committed <= terms().lease_expiry() + SECOND / 5, "after {committed} ns");
    for m in [&down, &deaf] {
        assert_eq!(m.acting(committed), ActivePolicy::Fallback);
    }
}

#[test]
fn invalid_proposals_and_withdrawals_are_rejected() {
    let record = PolicyRecord::default();
    let proposed = record.propose(("ravi", "b"), Some(Revision(1))).expect("proposed");
    assert_eq!(proposed.propose(("a", "b"), None), Err(RecordError::Undecided(1)));
    assert_eq!(
        record.propose(("a", "b"), Some(Revision(9))),
        Err(RecordError::Changed { expected: 9, now: 1 })
    );
    assert!(matches!(record.propose((" ", "b"), None), Err(RecordError::Field("author", _))));
    assert!(matches!(record.propose(("a", ""), None), Err(RecordError::Field("reason", _))));
    assert_eq!(record.withdraw("a", None), Err(RecordError::Settled));
    let withdrawn = proposed.withdraw("ravi", Some(Revision(2))).expect("withdrawn");
    assert_eq!(withdrawn.policy_set(), PolicySet::Pure(PolicyNumber(0)));
    // The same content proposed again is another policy.
    let proposed_again = withdrawn.propose(("ravi", "b"), None).expect("proposed");
    assert_eq!(proposed_again.policy_set(), PolicySet::Joint(PolicyNumber(0), PolicyNumber(2)));
    let committed = proposed_again.conclude(ChangeOutcome::Committed).expect("a change was pending");
    assert_eq!((committed.policy_set(), committed.revision), (PolicySet::Pure(PolicyNumber(2)), Revision(5)));
    let text = serde_json::to_string(&committed).expect("JSON");
    assert_eq!(serde_json::from_str::<PolicyRecord>(&text).expect("read"), committed);
}

/// That a store was lost or restored from an older copy is detected when a member reports a later revision. The leader then grants no
/// lease, and the next proposed policy gets a revision after all those that members have seen.
#[test]
fn a_store_behind_its_members_grants_no_lease() {
    let mut c = Coordinator::lead(terms(), PolicyRecord::default(), 0);
    let (mut old, mut young) = (new_member(1), new_member(2));
    let mut record = PolicyRecord::default();
    for _ in 0..3 {
        record = record
            .propose(("a", "b"), None)
            .expect("proposed")
            .conclude(ChangeOutcome::Committed)
            .expect("a change was pending");
    }
    c.adopt_record(record.clone(), 0);
    exchange(&mut c, &mut old, "old", (0, 0));
    assert_eq!(old.acting(0), ActivePolicy::Leased(PolicySet::Pure(PolicyNumber(3))));
    // The next leader finds an empty store.
    let mut c = Coordinator::lead(terms(), PolicyRecord::default(), SECOND);
    exchange(&mut c, &mut old, "old", (SECOND, SECOND));
    assert_eq!(c.member_ahead_of_store(), Some(("old", Revision(7))));
    exchange(&mut c, &mut young, "young", (SECOND, SECOND));
    assert_eq!(
        young.acting(SECOND),
        ActivePolicy::Denied,
        "applying the stored policy would conflict with the other member"
    );
    assert_eq!(c.step(100 * SECOND), None);
    let resumed = c
        .record()
        .resumed_after(Revision(7))
        .propose(("ravi", "the store was lost"), None)
        .expect("proposed");
    assert_eq!(
        (resumed.revision, resumed.policy_set()),
        (Revision(8), PolicySet::Joint(PolicyNumber(0), PolicyNumber(7)))
    );
    c.adopt_record(resumed, 10 * SECOND);
    assert_eq!(c.member_ahead_of_store(), None);
    for (name, m) in [("old", &mut old), ("young", &mut young)] {
        exchange(&mut c, m, name, (10 * SECOND, 10 * SECOND));
        assert_eq!(
            m.acting(10 * SECOND),
            ActivePolicy::Leased(PolicySet::Joint(PolicyNumber(0), PolicyNumber(7))),
            "{name}"
        );
    }
}
