//! How endpoint lists change the control state, and how the state is restored.

use rushquay_control_state::{ControlConfig, ControlState, EndpointChange, ListOutcome, ListSource};
use rushquay_endpoints::{EndpointList, EndpointState};

fn list(version: u64, full: bool, nodes: &str) -> EndpointList {
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{nodes}]}}"#);
    serde_json::from_str(&text).expect("a list")
}

fn node(id: &str, state: &str, more: &str) -> String {
    format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","zone":"z","kind":"k","state":"{state}"{more}}}"#)
}

fn new_control() -> ControlState {
    let weights = [("slow".to_owned(), 0.5)].into();
    ControlState::new(ControlConfig { weights, ..ControlConfig::default() }, ListSource::Discovery)
}

#[test]
fn nothing_is_declared_before_the_first_full_list() {
    let mut control = new_control();
    assert_eq!(
        control.process_list(&list(4, false, &node("a", "gone", "")), 0),
        ListOutcome::Changed(EndpointChange::default())
    );
    assert_eq!(control.version(), None);
    assert_eq!(control.process_list(&list(5, true, &node("a", "ready", "")), 0), ListOutcome::First);
}

#[test]
fn an_empty_full_list_is_ignored() {
    let mut control = new_control();
    control.process_list(&list(5, true, &node("a", "ready", "")), 0);
    assert_eq!(control.process_list(&list(6, true, ""), 1), ListOutcome::EmptyListIgnored);
    assert_eq!(control.clusters()[0].len(), 1);
}

#[test]
fn an_older_list_does_not_undo_a_drain() {
    let mut control = new_control();
    control.process_list(&list(5, true, &node("a", "ready", "")), 0);
    control.process_list(&list(6, false, &node("a", "draining", "")), 1);
    control.process_list(&list(3, true, &node("a", "ready", "")), 2);
    assert_eq!(control.clusters()[0]["a"].member.state, EndpointState::Draining);
    control.process_list(&list(7, true, &node("a", "ready", "")), 3);
    assert_eq!(control.clusters()[0]["a"].member.state, EndpointState::Ready);
}

#[test]
fn a_restored_state_equals_the_one_before_the_restart() {
    let mut before = new_control();
    before.process_list(&list(5, true, &format!("{},{}", node("a", "ready", ""), node("b", "ready", ""))), 0);
    before.process_list(&list(6, false, &node("b", "draining", "")), 1);
    before.process_list(&list(7, false, &node("c", "ready", r#","weight":2"#)), 1);
    let mut after = new_control();
    after.restore(before.version().expect("a version"), before.stored_endpoints(), 9);
    assert_eq!(after.clusters(), before.clusters());
    assert_eq!(after.stored_endpoints(), before.stored_endpoints());
    // Repeating the list changes nothing; an older list does not end the drain, a newer one does.
    let all = |b_state: &str| {
        format!(
            "{},{},{}",
            node("a", "ready", ""),
            node("b", b_state, ""),
            node("c", "ready", r#","weight":2"#)
        )
    };
    assert_eq!(
        after.process_list(&list(7, true, &all("draining")), 10),
        ListOutcome::Changed(EndpointChange::default())
    );
    after.process_list(&list(5, true, &all("ready")), 11);
    assert_eq!(after.clusters()[0]["b"].member.state, EndpointState::Draining);
    after.process_list(&list(8, true, &all("ready")), 12);
    assert_eq!(after.clusters()[0]["b"].member.state, EndpointState::Ready);
}

#[test]
fn the_origin_has_its_own_cluster_and_kinds_have_weight_factors() {
    let mut control = new_control();
    let slow = r#"{"id":"s","addr":"127.0.0.1:1","kind":"slow","state":"ready","weight":2}"#;
    let origin = r#"{"id":"o","addr":"127.0.0.1:1","kind":"origin","state":"ready"}"#;
    control.process_list(&list(5, true, &format!("{slow},{origin}")), 0);
    assert_eq!(control.clusters()[0]["s"].member.weight, 1.0);
    assert_eq!(control.clusters()[1].keys().collect::<Vec<_>>(), ["o"]);
    // An endpoint whose kind changes leaves its former cluster.
    let changed = slow.replace("slow", "origin");
    let ListOutcome::Changed(change) = control.process_list(&list(6, false, &changed), 1) else {
        panic!("not the first")
    };
    assert_eq!((change.removed[0].len(), change.changed[1].len(), control.clusters()[0].len()), (1, 1, 0));
}
