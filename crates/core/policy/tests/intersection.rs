//! Algebraic properties of the intersection of two policies, and which request classes are rejected.

use proptest::prelude::*;
use rushquay_policy::{intersect, looser_paths, RejectedClass};
use serde_json::{json, Value};

fn set() -> impl Strategy<Value = Value> {
    prop_oneof![
        1 => Just(Value::Null),
        4 => proptest::collection::vec(0u32..4, 1..4).prop_map(|mut zones| {
            zones.sort_unstable();
            zones.dedup();
            json!(zones)
        }),
    ]
}

fn class(name: &'static str) -> impl Strategy<Value = Value> {
    let words = (
        prop_oneof![Just("safe"), Just("keyed"), Just("unsafe")],
        prop_oneof![Just("all"), Just("zone"), Just("cell")],
    );
    (words, 1u64..5, 1u64..5, 0u64..4, 0.0f64..2.0, set(), set()).prop_map(
        move |((effect, group), promise, deadline, dedup, value, zones, kinds)| {
            let mut class = json!({"name": name, "effect": effect, "group": group, "promise_ns": promise,
                                   "deadline_ns": deadline, "dedup_window_ns": dedup, "value": value});
            for (field, set) in [("allowed_in", zones), ("allowed_on", kinds)] {
                if !set.is_null() {
                    class[field] = set;
                }
            }
            class
        },
    )
}

fn policy() -> impl Strategy<Value = Value> {
    let tenants = proptest::collection::btree_map("[abc]", 0.0f64..9.0, 0..3);
    let caps = (1u64..6, any::<bool>(), 0u64..5);
    let rest = (0.0f64..1.0, prop_oneof![4 => Just("request"), 1 => Just("time")]);
    (class("read"), class("set"), tenants, caps, rest).prop_map(|(read, set, tenants, caps, (over, by))| {
        let (attempts, copies, wait) = caps;
        let tenants: Vec<Value> =
            tenants.into_iter().map(|(name, quota)| json!({"name": name, "quota_rps": quota})).collect();
        json!({"categories": [read, set], "customers": tenants, "over_share_worth": over, "worth_by": by,
               "caps": {"attempts_cap": attempts, "second_copies": copies, "max_retry_after_ns": wait}})
    })
}

/// The paths in which two policies have nothing in common, in the notation of [`looser_paths`].
fn rejected_paths(stops: &std::collections::BTreeSet<RejectedClass>) -> Vec<&str> {
    stops.iter().map(|s| s.path.as_str()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn intersection_is_commutative_idempotent_and_never_looser(a in policy(), b in policy(), c in policy()) {
        let (one, two) = (intersect(&a, &b), intersect(&b, &a));
        prop_assert_eq!(&one, &two);
        let repeated = intersect(&one.settings, &one.settings);
        prop_assert_eq!(&repeated.settings, &one.settings);
        prop_assert!(repeated.rejected_classes.is_empty());
        // Only rejected fields may be looser than either policy.
        for policy in [&a, &b] {
            let loose = looser_paths(&one.settings, policy);
            let rejected = rejected_paths(&one.rejected_classes);
            prop_assert!(loose.iter().all(|path| rejected.contains(&path.as_str())), "{:?} of {} and {}: {}", loose, a, b, one.settings);
        }
        // The operation is associative if nothing is rejected.
        let (left, right) = (intersect(&one.settings, &c), intersect(&a, &intersect(&b, &c).settings));
        if one.rejected_classes.is_empty() && left.rejected_classes.is_empty() && right.rejected_classes.is_empty() && intersect(&b, &c).rejected_classes.is_empty() {
            prop_assert_eq!(left.settings, right.settings);
        }
    }
}

#[test]
fn intersection_takes_the_stricter_value_of_each_field() {
    let a = json!({"categories": [{"name": "plan", "allowed_in": [0, 1, 2], "effect": "safe", "deadline_ns": 9, "group": "all"}],
                   "customers": [{"name": "hostels", "quota_rps": 50.0}, {"name": "clinics", "quota_rps": 9.0}],
                   "caps": {"attempts_cap": 4, "second_copies": true, "max_retry_after_ns": 1}});
    let b = json!({"categories": [{"name": "plan", "allowed_in": [2, 1, 3], "effect": "keyed", "deadline_ns": 5, "group": "zone"}],
                   "customers": [{"name": "hostels", "quota_rps": 70.0}],
                   "caps": {"attempts_cap": 2, "second_copies": false, "max_retry_after_ns": 7}});
    let intersection = intersect(&a, &b);
    assert!(intersection.rejected_classes.is_empty(), "{:?}", intersection.rejected_classes);
    let plan = &intersection.settings["categories"][0];
    assert_eq!(
        *plan,
        json!({"name": "plan", "allowed_in": [1, 2], "effect": "keyed", "deadline_ns": 5, "group": "zone"})
    );
    let caps = json!({"attempts_cap": 2, "second_copies": false, "max_retry_after_ns": 7});
    assert_eq!(intersection.settings["caps"], caps);
    // A tenant that only one policy limits is limited.
    let tenants = json!([{"name": "clinics", "quota_rps": 9.0}, {"name": "hostels", "quota_rps": 50.0}]);
    assert_eq!(intersection.settings["customers"], tenants);
}

#[test]
fn fields_with_nothing_in_common_reject_their_class() {
    let class =
        |zones: Value| json!({"categories": [{"name": "plan", "allowed_in": zones}, {"name": "read"}]});
    let intersection = intersect(&class(json!([0, 1])), &class(json!([2])));
    let messages: Vec<String> = intersection.rejected_classes.iter().map(|s| s.to_string()).collect();
    assert_eq!(
        messages,
        ["plan is refused until it is decided: the two have nothing in common in categories.allowed_in"]
    );
    // A conflict in a field without an order rejects every request that the field concerns.
    let intersection = intersect(&json!({"worth_by": "request"}), &json!({"worth_by": "time"}));
    assert_eq!(
        intersection.rejected_classes.into_iter().collect::<Vec<_>>(),
        [RejectedClass { class: None, path: "worth_by".into() }]
    );
    // So does a conflict in an unknown field.
    let intersection = intersect(&json!({"rules": {"new": 1}}), &json!({"rules": {"new": 2}}));
    assert_eq!(
        intersection.rejected_classes.into_iter().next().map(|s| s.path).as_deref(),
        Some("rules.new")
    );
    let intersection =
        intersect(&json!({"categories": [{"name": "a"}]}), &json!({"categories": [{"name": "b"}]}));
    assert_eq!(
        intersection.rejected_classes.into_iter().next().map(|s| (s.class, s.path)),
        Some((None, "categories".into()))
    );
}
