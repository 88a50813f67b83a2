use super::*;
use rushquay_load_assignment::Thresholds;

fn terms(retries: Option<Retries>, limits: Option<Thresholds>) -> AttemptPolicy {
    let breakers = limits.map(|l| Breakers::new([l, l]));
    let (importance, group_since, routes_since) = Default::default();
    AttemptPolicy { retries, importance, breakers, group_since, routes_since, one_group: true }
}

fn ended(status: Status, code: u16) -> Made {
    let mut made = Made::default();
    made.ended(status, code);
    made
}

fn allowed(terms: &AttemptPolicy, earlier: &[Made]) -> bool {
    terms.allow(earlier.iter().map(|m| (5, m)), false, 0).is_some()
}

#[test]
fn the_way_to_the_origin_is_no_repeat() {
    let never = terms(Some(Retries::default()), Some(Thresholds { retries: 0, ..Thresholds::default() }));
    assert!(allowed(&never, &[ended(Status::Miss, 404)]));
    assert!(allowed(&never, &[ended(Status::Moot, 0), Made::unsent()]));
    assert!(!allowed(&never, &[ended(Status::Reset, 0)]));
}

#[test]
fn the_last_end_decides_and_second_copies_count_as_repeats() {
    let on = Retries { most: 2, on: Retries::CODES, codes: vec![500], per_try: 7 };
    let policy = terms(Some(on), None);
    assert!(allowed(&policy, &[ended(Status::Error, 500)]));
    assert!(!allowed(&policy, &[ended(Status::Error, 501)]));
    assert!(!allowed(&policy, &[ended(Status::Error, 500), ended(Status::Reset, 0)]));
    assert!(allowed(&policy, &[Made::default()]), "a copy beside one that is out");
    assert!(!allowed(&policy, &[ended(Status::Error, 500), ended(Status::Error, 500), Made::default()]));
    assert_eq!((policy.wait(9), policy.wait(3)), (7, 3));
}

#[test]
fn a_place_among_the_repeats_comes_back_when_the_attempt_ends() {
    let terms = terms(None, Some(Thresholds { retries: 1, ..Thresholds::default() }));
    let first = [ended(Status::Reset, 0)];
    let earlier = || first.iter().map(|m| (5, m));
    let mut repeat = terms.allow(earlier(), false, 0).expect("room for one");
    assert!(terms.allow(earlier(), false, 0).is_none());
    repeat.ended(Status::Reset, 0);
    assert!(terms.allow(earlier(), false, 0).is_some());
}

#[test]
fn a_keyed_request_stays_with_the_group_that_remembers_it() {
    let terms = terms(None, None);
    let (ran, never) = ([ended(Status::Timeout, 0)], [ended(Status::ConnectFailed, 0)]);
    let keyed = |made: &[Made; 1], node| terms.allow(made.iter().map(|m| (5, m)), true, node).is_some();
    assert!(keyed(&ran, 5) && !keyed(&ran, 6) && keyed(&never, 6));
    terms.group_since.set(6);
    assert!(!keyed(&ran, 0), "the group changed while the request was out");
    assert!(keyed(&never, 0));
}

#[test]
fn a_refusal_is_harmless_only_where_the_client_meets_the_same_group() {
    let (ran, never) = ([ended(Status::Timeout, 0)], [ended(Status::Full, 0)]);
    let harmless = |terms: &AttemptPolicy, made: &[Made; 1]| terms.remembered(made.iter().map(|m| (5, m)));
    let one = terms(None, None);
    assert!(harmless(&one, &ran));
    one.routes_since.set(6);
    assert!(!harmless(&one, &ran), "the routes changed while it was out");
    assert!(harmless(&one, &never));
    let mixed = AttemptPolicy { one_group: false, ..terms(None, None) };
    assert!(!harmless(&mixed, &ran) && harmless(&mixed, &never));
}
