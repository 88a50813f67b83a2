//! Words between versions: what an older or a newer program makes of them.

use rushquay_config_version::ConfigVersion;
use rushquay_policy::{
    BroadcastError, FallbackPolicy, Incarnation, LeaseGrant, LeaseRequest, MessageError, Policy,
    PolicyBroadcast, PolicyNumber, PolicySet, Revision,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn holding() -> PolicyBroadcast {
    let settings = json!({"caps": {"attempts_cap": 3}});
    let floor = FallbackPolicy::Settings(
        ConfigVersion::read(&json!({"caps": {"attempts_cap": 1}})).expect("a floor"),
    );
    let two = Policy::of(&settings, floor).expect("a policy");
    let policies =
        BTreeMap::from([(PolicyNumber(0), Policy::base(FallbackPolicy::Nobody)), (PolicyNumber(2), two)]);
    PolicyBroadcast {
        revision: Revision(4),
        told: PolicySet::Joint(PolicyNumber(0), PolicyNumber(2)),
        policies,
    }
}

#[test]
fn words_come_back_as_they_went() {
    assert_eq!(PolicyBroadcast::read(&holding().text()), Ok(holding()));
    let refused = Some((Revision(3), "categories[0].name".to_owned()));
    let ask = LeaseRequest {
        boot: Incarnation(u64::MAX),
        seq: 9,
        acting: Revision(2),
        heard: Revision(3),
        refused,
    };
    assert_eq!(LeaseRequest::read(&ask.text()), Ok(ask));
    let grant = LeaseGrant {
        boot: Incarnation(7),
        seq: 9,
        revision: Revision(4),
        told: PolicySet::Pure(PolicyNumber(2)),
        span: 5,
        floor: 6,
    };
    assert_eq!(LeaseGrant::read(&grant.text()), Ok(grant));
}

/// What a later version adds is passed over, what it means otherwise is refused, and what an earlier one lacks is as if nothing was said.
#[test]
fn the_next_and_the_last_version_are_read() {
    let ask =
        LeaseRequest { boot: Incarnation(1), seq: 1, acting: Revision(0), heard: Revision(5), refused: None };
    let with = |change: fn(&mut Value)| {
        let mut told: Value = serde_json::from_str(&ask.text()).expect("JSON");
        change(&mut told);
        LeaseRequest::read(&told.to_string())
    };
    assert_eq!(with(|t| t["color"] = json!("blue")), Ok(ask.clone()));
    assert_eq!(with(|t| t["form"] = json!(2)), Err(MessageError::Form(2)));
    let earlier = with(|t| drop(t.as_object_mut().expect("fields").remove("heard")));
    assert_eq!(earlier, Ok(LeaseRequest { heard: Revision(0), ..ask.clone() }));
    assert!(matches!(LeaseRequest::read("GET /"), Err(MessageError::Malformed(_))));
}

/// What a program can't read it can still refuse, by its revision.
#[test]
fn what_holds_is_refused_by_its_revision_where_it_cannot_be_read() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut told: Value = serde_json::from_str(&holding().text()).expect("JSON");
        change(&mut told);
        PolicyBroadcast::read(&told.to_string())
    };
    let beyond = |read: Result<PolicyBroadcast, BroadcastError>| match read {
        Err(BroadcastError::Beyond { revision: Revision(4), why }) => why,
        other => panic!("{other:?}"),
    };
    assert!(beyond(with(&|t| t["form"] = json!(2))).contains("upgrade it first"));
    let why = beyond(with(&|t| t["policies"]["2"]["settings"]["caps"]["hedge"] = json!(1)));
    assert!(why.contains("caps.hedge"), "{why}");
    assert!(beyond(with(&|t| t["policies"]["2"]["mood"] = json!(1))).contains("mood"));
    let missing = beyond(with(&|t| drop(t["policies"].as_object_mut().expect("them").remove("2"))));
    assert!(missing.contains("policy 2 is named and not told"), "{missing}");
    assert!(matches!(with(&|t| t["revision"] = json!("x")), Err(BroadcastError::Malformed(_))));
}
