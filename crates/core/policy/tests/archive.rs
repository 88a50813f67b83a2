//! Which policies may be proposed while fallback policies are in use, and which policies are retained.

use rushquay_policy::{
    ChangeOutcome, FallbackPolicy, Incarnation, LeaseRequest, LeaseTerms, Policy, PolicyArchive,
    PolicyNumber, PolicyRecord, ProposalError, Revision,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000_000;

fn terms() -> LeaseTerms {
    LeaseTerms {
        lease_duration: 10 * SECOND,
        drift_ppm: 0,
        change_timeout: 60 * SECOND,
        fallback_duration: 90 * SECOND,
    }
}

fn attempts(n: u64) -> Value {
    json!({"caps": {"attempts_cap": n}})
}

fn lease_request(boot: u64, acting: Revision) -> LeaseRequest {
    LeaseRequest { incarnation: Incarnation(boot), seq: 1, acting, newest_seen: acting, refused: None }
}

struct Fixture {
    archive: PolicyArchive,
    record: PolicyRecord,
}

impl Fixture {
    fn new() -> Self {
        let record = PolicyRecord::default();
        Fixture { archive: PolicyArchive::lead(BTreeMap::new(), FallbackPolicy::Nobody, &record, 0), record }
    }

    fn fit(&self, settings: &Value, floor: Option<&Value>, now: u64) -> Result<Policy, ProposalError> {
        self.archive.validate_proposal(settings, floor, (&self.record, &terms()), now)
    }

    /// Proposes and commits a policy; each process in `processes` gets a lease for every step and applies the result.
    fn commit_policy(
        &mut self,
        settings: &Value,
        floor: &Value,
        now: u64,
        processes: &[u64],
    ) -> PolicyNumber {
        let policy = self.fit(settings, Some(floor), now).expect("the policy is accepted");
        self.record = self.record.propose(("a", "b"), None).expect("proposed");
        let number = self.record.policy_set().numbers().nth(1).expect("a joint policy set");
        self.archive.put(number, policy);
        self.archive.record_changed(&self.record);
        for revision in [self.record.revision, Revision(self.record.revision.0 + 1)] {
            if revision != self.record.revision {
                self.record = self.record.conclude(ChangeOutcome::Committed).expect("a change is pending");
                self.archive.record_changed(&self.record);
            }
            for boot in processes {
                self.archive.granted(&format!("p{boot}"), &lease_request(*boot, revision), &self.record, now);
            }
        }
        number
    }
}

#[test]
fn a_policy_stricter_than_a_fallback_in_use_is_rejected() {
    let mut fixture = Fixture::new();
    // All leases of earlier leaders have expired by then.
    let late = 200 * SECOND;
    fixture.commit_policy(&attempts(4), &attempts(3), late, &[1, 2]);
    let stricter_than_fallback = |fixture: &Fixture, settings: &Value, now: u64| match fixture.fit(
        settings,
        Some(&json!("nobody")),
        now,
    ) {
        Err(ProposalError::StricterThanFallback { policy, proxies, remaining_s, .. }) => {
            Some((policy, proxies, remaining_s))
        }
        Err(other) => panic!("{other}"),
        Ok(_) => None,
    };
    let (policy, proxies, _) = stricter_than_fallback(&fixture, &attempts(2), late)
        .expect("the fallback of the policy in force is in use");
    assert_eq!((policy, proxies), (1, vec!["any proxy that loses its lease".to_owned()]));
    assert_eq!(stricter_than_fallback(&fixture, &attempts(3), late), None);
    // Only one of the two processes gets a lease for the policy with the stricter fallback; the other is unreachable.
    fixture.commit_policy(&attempts(4), &attempts(1), late, &[1]);
    let (policy, proxies, remaining_s) = stricter_than_fallback(&fixture, &attempts(2), late + SECOND)
        .expect("the other process may still apply the old fallback");
    assert_eq!((policy, proxies, remaining_s), (1, vec!["p2".to_owned()], 99));
    // The old fallback is no longer in use once the other process has requested a lease, or its time on the fallback policy is over.
    let mut rejoined = Fixture { archive: fixture.archive.clone(), record: fixture.record.clone() };
    rejoined.archive.granted(
        "p2",
        &lease_request(2, rejoined.record.revision),
        &rejoined.record,
        late + SECOND,
    );
    assert_eq!(stricter_than_fallback(&rejoined, &attempts(2), late + SECOND), None);
    assert!(stricter_than_fallback(&fixture, &attempts(2), late + 100 * SECOND).is_some());
    assert_eq!(stricter_than_fallback(&fixture, &attempts(2), late + 100 * SECOND + 1), None);
}

/// The leases of an earlier leader are unknown: each of its fallback policies counts as in use for as long as any proxy could apply it.
#[test]
fn a_new_leader_counts_every_former_fallback_as_in_use() {
    let mut fixture = Fixture::new();
    fixture.commit_policy(&attempts(4), &attempts(3), 0, &[1]);
    fixture.commit_policy(&attempts(4), &attempts(1), 0, &[1]);
    assert!(fixture.fit(&attempts(2), None, 101 * SECOND).is_ok());
    let persisted =
        [1, 2].map(|n| (PolicyNumber(n), fixture.archive.get(PolicyNumber(n)).expect("persisted").clone()));
    let successor =
        PolicyArchive::lead(BTreeMap::from(persisted), FallbackPolicy::Nobody, &fixture.record, 200 * SECOND);
    let fits = |now: u64| successor.validate_proposal(&attempts(2), None, (&fixture.record, &terms()), now);
    assert!(matches!(fits(300 * SECOND), Err(ProposalError::StricterThanFallback { policy: 1, .. })));
    assert!(fits(300 * SECOND + 1).is_ok());
}

/// No proxy applies the fallback policy of a policy that was proposed and withdrawn.
#[test]
fn a_withdrawn_policy_sets_no_bound() {
    let mut fixture = Fixture::new();
    let late = 200 * SECOND;
    let policy = fixture.fit(&attempts(9), Some(&attempts(8)), late).expect("the policy is accepted");
    fixture.record = fixture.record.propose(("a", "b"), None).expect("proposed");
    fixture.archive.put(PolicyNumber(1), policy);
    fixture.archive.record_changed(&fixture.record);
    fixture.archive.granted("p1", &lease_request(1, Revision(0)), &fixture.record, late);
    fixture.record = fixture.record.withdraw("a", None).expect("withdrawn");
    fixture.archive.record_changed(&fixture.record);
    assert!(fixture.fit(&attempts(2), Some(&json!("nobody")), late).is_ok());
}

#[test]
fn a_fallback_looser_than_its_policy_is_rejected() {
    let fixture = Fixture::new();
    let looser = |settings: &Value, floor: &Value| match fixture.fit(settings, Some(floor), 0) {
        Err(ProposalError::Policy(why)) => why.to_string(),
        other => panic!("{other:?}"),
    };
    assert!(looser(&attempts(3), &attempts(4)).contains("caps.attempts_cap"));
    assert!(looser(&attempts(3), &json!({"over_share_worth": 0.0})).contains("caps.attempts_cap"));
    assert!(looser(&attempts(3), &json!(7)).contains("floor is 7"));
    let shares = json!({"customers": [{"name": "a", "fraction": 0.6}, {"name": "b", "fraction": 0.6}]});
    assert!(looser(&shares, &json!("nobody")).contains("add up to 1 at most"));
    let program = json!({"program": "00000000000000000000000000000000"});
    assert!(looser(&program, &json!("nobody")).contains("programs change in stages"));
}

#[test]
fn recent_policies_and_those_in_use_are_retained() {
    let mut fixture = Fixture::new();
    for n in 0..12u64 {
        fixture.commit_policy(&attempts(9), &attempts(1), n, &[1]);
    }
    let unused =
        |fixture: &mut Fixture, now: u64| fixture.archive.unused_policies(&fixture.record, &terms(), now);
    assert_eq!(unused(&mut fixture, 50 * SECOND), [], "the leadership has only just begun");
    let removed = unused(&mut fixture, 300 * SECOND);
    assert_eq!(removed, [1, 2, 3, 4].map(PolicyNumber));
    fixture.archive.forget(&removed);
    assert_eq!(unused(&mut fixture, 300 * SECOND), []);
    assert!(
        fixture.archive.get(PolicyNumber(1)).is_none() && fixture.archive.get(PolicyNumber(12)).is_some()
    );
}
