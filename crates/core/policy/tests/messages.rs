//! Encoding and decoding of messages, also between program versions.

use rushquay_config_version::ConfigVersion;
use rushquay_policy::{
    BroadcastError, FallbackPolicy, Incarnation, LeaseGrant, LeaseRequest, MessageError, Policy,
    PolicyBroadcast, PolicyNumber, PolicySet, Revision,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn broadcast() -> PolicyBroadcast {
    let settings = json!({"caps": {"attempts_cap": 3}});
    let floor = FallbackPolicy::Settings(
        ConfigVersion::read(&json!({"caps": {"attempts_cap": 1}})).expect("a fallback policy"),
    );
    let second = Policy::validated(&settings, floor).expect("a policy");
    let policies =
        BTreeMap::from([(PolicyNumber(0), Policy::base(FallbackPolicy::Nobody)), (PolicyNumber(2), second)]);
    PolicyBroadcast {
        revision: Revision(4),
        policy_set: PolicySet::Joint(PolicyNumber(0), PolicyNumber(2)),
        policies,
    }
}

#[test]
fn messages_round_trip() {
    assert_eq!(PolicyBroadcast::read(&broadcast().text()), Ok(broadcast()));
    let refused = Some((Revision(3), "categories[0].name".to_owned()));
    let request = LeaseRequest {
        incarnation: Incarnation(u64::MAX),
        seq: 9,
        acting: Revision(2),
        newest_seen: Revision(3),
        refused,
    };
    assert_eq!(LeaseRequest::read(&request.text()), Ok(request));
    let grant = LeaseGrant {
        incarnation: Incarnation(7),
        seq: 9,
        revision: Revision(4),
        policy_set: PolicySet::Pure(PolicyNumber(2)),
        lease_duration: 5,
        fallback_duration: 6,
    };
    assert_eq!(LeaseGrant::read(&grant.text()), Ok(grant));
}

/// Unknown fields are ignored, another format version is rejected, and a field that is absent in an older message gets its default.
#[test]
fn messages_of_adjacent_versions_are_decoded() {
    let request = LeaseRequest {
        incarnation: Incarnation(1),
        seq: 1,
        acting: Revision(0),
        newest_seen: Revision(5),
        refused: None,
    };
    let decode_edited = |change: fn(&mut Value)| {
        let mut message: Value = serde_json::from_str(&request.text()).expect("JSON");
        change(&mut message);
        LeaseRequest::read(&message.to_string())
    };
    assert_eq!(decode_edited(|m| m["color"] = json!("blue")), Ok(request.clone()));
    assert_eq!(decode_edited(|m| m["form"] = json!(2)), Err(MessageError::UnsupportedFormat(2)));
    let earlier = decode_edited(|m| drop(m.as_object_mut().expect("fields").remove("heard")));
    assert_eq!(earlier, Ok(LeaseRequest { newest_seen: Revision(0), ..request.clone() }));
    assert!(matches!(LeaseRequest::read("GET /"), Err(MessageError::Malformed(_))));
}

/// The revision of a broadcast is decoded even if the rest is not, so that a program can reject that revision.
#[test]
fn an_unreadable_broadcast_is_rejected_by_its_revision() {
    let decode_edited = |change: &dyn Fn(&mut Value)| {
        let mut message: Value = serde_json::from_str(&broadcast().text()).expect("JSON");
        change(&mut message);
        PolicyBroadcast::read(&message.to_string())
    };
    let unsupported = |read: Result<PolicyBroadcast, BroadcastError>| match read {
        Err(BroadcastError::Unsupported { revision: Revision(4), why }) => why,
        other => panic!("{other:?}"),
    };
    assert!(unsupported(decode_edited(&|m| m["form"] = json!(2))).contains("upgrade it first"));
    let why = unsupported(decode_edited(&|m| m["policies"]["2"]["settings"]["caps"]["hedge"] = json!(1)));
    assert!(why.contains("caps.hedge"), "{why}");
    assert!(unsupported(decode_edited(&|m| m["policies"]["2"]["mood"] = json!(1))).contains("mood"));
    let missing =
        unsupported(decode_edited(&|m| drop(m["policies"].as_object_mut().expect("policies").remove("2"))));
    assert!(missing.contains("policy 2 is in the policy set and missing from the broadcast"), "{missing}");
    assert!(matches!(decode_edited(&|m| m["revision"] = json!("x")), Err(BroadcastError::Malformed(_))));
}
