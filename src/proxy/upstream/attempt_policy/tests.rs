use super::*;
use rushquay_load_assignment::Thresholds;

fn policy_with(retries: Option<RetryRules>, limits: Option<Thresholds>) -> AttemptPolicy {
    let breakers = limits.map(|l| Breakers::new([l, l]));
    let (importance, group_since, routes_since) = Default::default();
    AttemptPolicy { retries, importance, breakers, group_since, routes_since, single_group: true }
}

fn ended(status: Status, code: u16) -> AttemptRecord {
    let mut attempt = AttemptRecord::default();
    attempt.record_outcome(status, code);
    attempt
}

fn allowed(policy: &AttemptPolicy, earlier: &[AttemptRecord]) -> bool {
    policy.allow(earlier.iter().map(|m| (5, m)), false, 0).is_some()
}

#[test]
fn going_on_to_the_origin_after_a_miss_is_not_a_retry() {
    let never =
        policy_with(Some(RetryRules::default()), Some(Thresholds { retries: 0, ..Thresholds::default() }));
    assert!(allowed(&never, &[ended(Status::Miss, 404)]));
    assert!(allowed(&never, &[ended(Status::Moot, 0), AttemptRecord::unsent()]));
    assert!(!allowed(&never, &[ended(Status::Reset, 0)]));
}

#[test]
fn the_last_outcome_decides_and_hedged_requests_count_as_retries() {
    let on = RetryRules { max_retries: 2, conditions: RetryRules::CODES, codes: vec![500], per_try: 7 };
    let policy = policy_with(Some(on), None);
    assert!(allowed(&policy, &[ended(Status::Error, 500)]));
    assert!(!allowed(&policy, &[ended(Status::Error, 501)]));
    assert!(!allowed(&policy, &[ended(Status::Error, 500), ended(Status::Reset, 0)]));
    assert!(allowed(&policy, &[AttemptRecord::default()]), "a hedged request beside an attempt in flight");
    assert!(!allowed(
        &policy,
        &[ended(Status::Error, 500), ended(Status::Error, 500), AttemptRecord::default()]
    ));
    assert_eq!((policy.attempt_timeout(9), policy.attempt_timeout(3)), (7, 3));
}

#[test]
fn the_retry_limit_is_released_when_the_attempt_ends() {
    let policy = policy_with(None, Some(Thresholds { retries: 1, ..Thresholds::default() }));
    let first = [ended(Status::Reset, 0)];
    let earlier = || first.iter().map(|m| (5, m));
    let mut retry = policy.allow(earlier(), false, 0).expect("one retry is within the limit");
    assert!(policy.allow(earlier(), false, 0).is_none());
    retry.record_outcome(Status::Reset, 0);
    assert!(policy.allow(earlier(), false, 0).is_some());
}

#[test]
fn a_keyed_request_is_retried_only_within_its_deduplication_group() {
    let policy = policy_with(None, None);
    let (ran, never) = ([ended(Status::Timeout, 0)], [ended(Status::ConnectFailed, 0)]);
    let keyed = |attempts: &[AttemptRecord; 1], node| {
        policy.allow(attempts.iter().map(|m| (5, m)), true, node).is_some()
    };
    assert!(keyed(&ran, 5) && !keyed(&ran, 6) && keyed(&never, 6));
    policy.group_since.set(6);
    assert!(!keyed(&ran, 0), "the group changed while the request was in flight");
    assert!(keyed(&never, 0));
}

#[test]
fn a_rejection_is_safe_to_retry_only_if_the_client_reaches_the_same_group() {
    let (ran, never) = ([ended(Status::Timeout, 0)], [ended(Status::Full, 0)]);
    let harmless = |policy: &AttemptPolicy, attempts: &[AttemptRecord; 1]| {
        policy.reaches_same_group(attempts.iter().map(|m| (5, m)))
    };
    let one = policy_with(None, None);
    assert!(harmless(&one, &ran));
    one.routes_since.set(6);
    assert!(!harmless(&one, &ran), "the routes changed while the request was in flight");
    assert!(harmless(&one, &never));
    let mixed = AttemptPolicy { single_group: false, ..policy_with(None, None) };
    assert!(!harmless(&mixed, &ran) && harmless(&mixed, &never));
}
