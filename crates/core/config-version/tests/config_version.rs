//! Validation of config versions, their digests, and how they are applied over a proxy's own settings.

use rushquay_config_version::{AssignmentError, ConfigAssignment, ConfigVersion};
use serde_json::{json, Value};

fn validation_error(document: Value) -> (String, String) {
    let error = ConfigVersion::read(&document).expect_err("rejected");
    (error.path, error.expected)
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_fields() {
    let one: Value =
        serde_json::from_str(r#"{"over_share_worth":0.5,"caps":{"attempts_cap":2,"second_copies":false}}"#)
            .expect("JSON");
    let other: Value =
        serde_json::from_str(r#"{"caps":{"second_copies":false,"attempts_cap":2},"over_share_worth":0.5}"#)
            .expect("JSON");
    let (one, other) =
        (ConfigVersion::read(&one).expect("valid"), ConfigVersion::read(&other).expect("valid"));
    assert_eq!(one.digest(), other.digest());
    assert_ne!(one.digest(), ConfigVersion::base().digest());
    assert_eq!(one.digest().to_string().parse(), Ok(one.digest()));
}

#[test]
fn invalid_fields_are_rejected_with_their_path() {
    let cases = [
        (json!([]), ""),
        (json!({"zone": 2}), "zone"),
        (json!({"localities": ["x"]}), "localities"),
        (json!({"caps": {"cancelling": false}}), "caps.cancelling"),
        (json!({"caps": {"attempts_cap": 0}}), "caps.attempts_cap"),
        (json!({"caps": 5}), "caps"),
        (json!({"over_share_worth": -0.1}), "over_share_worth"),
        (json!({"over_share_worth": null}), "over_share_worth"),
        (json!({"customers": [{"name": "a"}, {"name": "a"}]}), "customers[1].name"),
        (json!({"customers": [{"quota_rps": 5}]}), "customers[0].name"),
        (json!({"customers": [{"name": "a", "quota_rps": -1}]}), "customers[0].quota_rps"),
        (json!({"categories": [{"name": "r", "effect": "perhaps"}]}), "categories[0].effect"),
        (json!({"categories": [{"name": "r", "allowed_in": []}]}), "categories[0].allowed_in"),
        (json!({"categories": [{"name": "r", "allowed_in": [1, 1]}]}), "categories[0].allowed_in"),
        (
            json!({"categories": [{"name": "r", "promise_ns": 5, "deadline_ns": 4}]}),
            "categories[0].promise_ns",
        ),
        (json!({"categories": [{"name": "r", "stream": true}]}), "categories[0].stream"),
    ];
    for (document, path) in cases {
        let (at, expected) = validation_error(document.clone());
        assert_eq!(at, path, "{document}: {expected}");
    }
    let long = json!({"customers": (0..2000).map(|n| json!({"name": format!("tenant-number-{n}")})).collect::<Vec<_>>()});
    assert!(validation_error(long).1.contains("bytes at most"));
}

#[test]
fn classes_are_merged_by_name_and_tenants_replaced_whole() {
    let own = json!({
        "zone": 3, "categories": [{"name": "read", "deadline_ns": 9, "effect": "safe"}, {"name": "set", "deadline_ns": 7}],
        "customers": [{"name": "a", "quota_rps": 1}, {"name": "b", "quota_rps": 2}], "caps": {"attempts_cap": 5, "cancelling": true},
    });
    let version = json!({"categories": [{"name": "set", "deadline_ns": 8}], "customers": [{"name": "c", "quota_rps": 4}],
                      "caps": {"attempts_cap": 2}});
    let applied = ConfigVersion::read(&version).expect("valid").over(&own).expect("applicable");
    assert_eq!(
        applied,
        json!({
            "zone": 3, "categories": [{"name": "read", "deadline_ns": 9, "effect": "safe"}, {"name": "set", "deadline_ns": 8}],
            "customers": [{"name": "c", "quota_rps": 4}], "caps": {"attempts_cap": 2, "cancelling": true},
        })
    );
    assert_eq!(ConfigVersion::base().over(&own), Ok(own.clone()));
    let unknown = ConfigVersion::read(&json!({"categories": [{"name": "sett"}]})).expect("valid by itself");
    assert_eq!(unknown.over(&own).expect_err("rejected").path, "categories[0].name");
}

#[test]
fn an_assignment_is_decoded_whole_or_rejected() {
    let generation = ConfigVersion::read(&json!({"over_share_worth": 0.25})).expect("valid");
    let sent = ConfigAssignment { rollout: 7, version: generation };
    assert_eq!(ConfigAssignment::read(&sent.text()), Ok(sent.clone()));
    // A later program may add fields.
    let with_added_field = sent.text().replacen('{', "{\"by\":\"later\",", 1);
    assert_eq!(ConfigAssignment::read(&with_added_field), Ok(sent.clone()));
    assert!(matches!(
        ConfigAssignment::read(&sent.text().replace("0.25", "0.5")),
        Err(AssignmentError::DigestMismatch { .. })
    ));
    assert_eq!(
        ConfigAssignment::read(&sent.text().replace("\"form\":1", "\"form\":2")),
        Err(AssignmentError::UnsupportedFormat(2))
    );
    assert!(matches!(ConfigAssignment::read("{\"form\":1}"), Err(AssignmentError::Malformed(_))));
    let unknown_setting = sent.text().replace("over_share_worth", "zone");
    assert!(matches!(ConfigAssignment::read(&unknown_setting), Err(AssignmentError::Field(_))));
}
