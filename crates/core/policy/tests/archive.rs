//! Which policies may be proposed beside the floors that somebody may still act by, and which are kept.

use rushquay_policy::{
    ChangeOutcome, FallbackPolicy, Incarnation, LeaseRequest, LeaseTerms, Policy, PolicyArchive,
    PolicyNumber, PolicyRecord, Revision, UnfitPolicy,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000_000;

fn terms() -> LeaseTerms {
    LeaseTerms { span: 10 * SECOND, drift_ppm: 0, limit: 60 * SECOND, floor: 90 * SECOND }
}

fn attempts(n: u64) -> Value {
    json!({"caps": {"attempts_cap": n}})
}

fn ask(boot: u64, acting: Revision) -> LeaseRequest {
    LeaseRequest { boot: Incarnation(boot), seq: 1, acting, heard: acting, refused: None }
}

struct Stand {
    shelf: PolicyArchive,
    record: PolicyRecord,
}

impl Stand {
    fn new() -> Self {
        let record = PolicyRecord::default();
        Stand { shelf: PolicyArchive::lead(BTreeMap::new(), FallbackPolicy::Nobody, &record, 0), record }
    }

    fn fit(&self, settings: &Value, floor: Option<&Value>, now: u64) -> Result<Policy, UnfitPolicy> {
        self.shelf.fit(settings, floor, (&self.record, &terms()), now)
    }

    /// A policy is proposed, and everybody that is named joins and then acts by it alone.
    fn hold(&mut self, settings: &Value, floor: &Value, now: u64, joins: &[u64]) -> PolicyNumber {
        let policy = self.fit(settings, Some(floor), now).expect("it may be proposed");
        self.record = self.record.propose(("a", "b"), None).expect("proposed");
        let number = self.record.policy_set().numbers().nth(1).expect("two");
        self.shelf.put(number, policy);
        self.shelf.moved(&self.record);
        for revision in [self.record.revision, Revision(self.record.revision.0 + 1)] {
            if revision != self.record.revision {
                self.record = self.record.conclude(ChangeOutcome::Committed).expect("it was under way");
                self.shelf.moved(&self.record);
            }
            for boot in joins {
                self.shelf.granted(&format!("p{boot}"), &ask(*boot, revision), &self.record, now);
            }
        }
        number
    }
}

#[test]
fn a_policy_is_never_stricter_than_a_floor_that_somebody_may_act_by() {
    let mut stand = Stand::new();
    // So late that nobody stands on what an earlier leader gave leave for.
    let late = 200 * SECOND;
    stand.hold(&attempts(4), &attempts(3), late, &[1, 2]);
    let below =
        |stand: &Stand, settings: &Value, now: u64| match stand.fit(settings, Some(&json!("nobody")), now) {
            Err(UnfitPolicy::BelowFloor { of, who, for_s, .. }) => Some((of, who, for_s)),
            Err(other) => panic!("{other}"),
            Ok(_) => None,
        };
    let (of, who, _) = below(&stand, &attempts(2), late).expect("whoever is cut off now makes three");
    assert_eq!((of, who), (1, vec!["whoever loses its leave".to_owned()]));
    assert_eq!(below(&stand, &attempts(3), late), None);
    // Only one of the two joins what has the stricter floor; the other is away.
    stand.hold(&attempts(4), &attempts(1), late, &[1]);
    let (of, who, for_s) = below(&stand, &attempts(2), late + SECOND).expect("the other may be alive");
    assert_eq!((of, who, for_s), (1, vec!["p2".to_owned()], 99));
    // It comes, as the process that it was, or its time on the floor is over.
    let mut came = Stand { shelf: stand.shelf.clone(), record: stand.record.clone() };
    came.shelf.granted("p2", &ask(2, came.record.revision), &came.record, late + SECOND);
    assert_eq!(below(&came, &attempts(2), late + SECOND), None);
    assert!(below(&stand, &attempts(2), late + 100 * SECOND).is_some());
    assert_eq!(below(&stand, &attempts(2), late + 100 * SECOND + 1), None);
}

/// Whom an earlier leader gave leave is not known: each of its floors counts for as long as anybody could stand on it.
#[test]
fn a_new_leader_takes_every_floor_that_held_for_one_in_use() {
    let mut stand = Stand::new();
    stand.hold(&attempts(4), &attempts(3), 0, &[1]);
    stand.hold(&attempts(4), &attempts(1), 0, &[1]);
    assert!(stand.fit(&attempts(2), None, 101 * SECOND).is_ok());
    let kept = [1, 2].map(|n| (PolicyNumber(n), stand.shelf.get(PolicyNumber(n)).expect("kept").clone()));
    let led = PolicyArchive::lead(BTreeMap::from(kept), FallbackPolicy::Nobody, &stand.record, 200 * SECOND);
    let fits = |now: u64| led.fit(&attempts(2), None, (&stand.record, &terms()), now);
    assert!(matches!(fits(300 * SECOND), Err(UnfitPolicy::BelowFloor { of: 1, .. })));
    assert!(fits(300 * SECOND + 1).is_ok());
}

/// One that was proposed and ended otherwise has told nobody to stand on its floor.
#[test]
fn a_policy_that_never_held_bounds_nothing() {
    let mut stand = Stand::new();
    let late = 200 * SECOND;
    let policy = stand.fit(&attempts(9), Some(&attempts(8)), late).expect("it may be proposed");
    stand.record = stand.record.propose(("a", "b"), None).expect("proposed");
    stand.shelf.put(PolicyNumber(1), policy);
    stand.shelf.moved(&stand.record);
    stand.shelf.granted("p1", &ask(1, Revision(0)), &stand.record, late);
    stand.record = stand.record.withdraw("a", None).expect("withdrawn");
    stand.shelf.moved(&stand.record);
    assert!(stand.fit(&attempts(2), Some(&json!("nobody")), late).is_ok());
}

#[test]
fn a_floor_names_each_field_that_its_policy_names_as_strictly() {
    let stand = Stand::new();
    let looser = |settings: &Value, floor: &Value| match stand.fit(settings, Some(floor), 0) {
        Err(UnfitPolicy::Policy(why)) => why.to_string(),
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
fn the_last_few_stay_and_those_in_use_stay_for_as_long_as_they_are() {
    let mut stand = Stand::new();
    for n in 0..12u64 {
        stand.hold(&attempts(9), &attempts(1), n, &[1]);
    }
    let useless = |stand: &mut Stand, now: u64| stand.shelf.useless(&stand.record, &terms(), now);
    assert_eq!(useless(&mut stand, 50 * SECOND), [], "this leader has only just begun");
    let gone = useless(&mut stand, 300 * SECOND);
    assert_eq!(gone, [1, 2, 3, 4].map(PolicyNumber));
    stand.shelf.forget(&gone);
    assert_eq!(useless(&mut stand, 300 * SECOND), []);
    assert!(stand.shelf.get(PolicyNumber(1)).is_none() && stand.shelf.get(PolicyNumber(12)).is_some());
}
