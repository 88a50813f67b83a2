//! What an old process holds by word of the control service goes to the new one while the control service is away: real processes.

mod rig;

use rig::fleet::{node, served, until_served, Control, ListSource, Place};
use rig::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::Read as _;

/// Guards against a new version that forgets what operators and the control service have said while that is away: a node out of service, a
/// pin, a drain that only the control service has told, and a node that only it lists.
#[test]
fn new_versions_keep_what_the_control_service_said_while_it_is_away() {
    let (place, discovery) = (Place::new(), Server::new());
    let addresses = ["c1", "c2", "c3", "c4", "o1"].map(|name| (name, node(name)));
    let entry = |name: &str, state: &str| {
        let (name, addr) = addresses.iter().find(|(n, _)| *n == name).expect("a node");
        member(name, *addr, if *name == "o1" { "origin" } else { "std" }, state)
    };
    let known: Vec<Value> = ["c1", "c2", "c3", "o1"].iter().map(|name| entry(name, "ready")).collect();
    let with_more: Vec<Value> = ["c1", "c2", "c4", "o1"]
        .iter()
        .map(|name| entry(name, "ready"))
        .chain([entry("c3", "draining")])
        .collect();
    let nodes = place.write("nodes.json", &list(41, true, &with_more).to_string());
    let state = place.folder.join("control.redb");
    let control = Control::start(ListSource::File(&nodes), Some(&state), "127.0.0.1:0", &[]);
    let xds = control.xds;
    let clusters = "clusters = [\"cache-nodes\", \"origin\"]\nbackoff_ms = 20\nbackoff_most_ms = 100\n";
    let subscription = place.write("subscription.toml", &format!("addresses = [\"{xds}\"]\n{clusters}"));
    let mut config = config(discovery.addr, &known);
    config["listen"] = json!(place.listen.to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(1_000_000_000u64);
        class["promise_ns"] = json!(500_000_000u64);
    }
    let start = || {
        let variables = [
            ("TMPDIR", place.folder.to_str().expect("a path")),
            ("PROXY_CONTROL", subscription.to_str().expect("a path")),
        ];
        Proxy::with(&config, &variables)
    };
    let mut old = start();
    old.yes();
    control.overrides("set --node c1 --out --for 10m --reason boiler-room --force");
    control.overrides("set --node c4 --pin-class read --pin-keys 7f* --for 10m --reason warm");
    until_served(&old, &["c2", "c4"], "c4");
    drop(control);
    for _ in 0..3 {
        let mut new = start();
        new.yes();
        old.signal("-TERM");
        assert!(old.child.wait().expect("ended").success());
        for _ in 0..3 {
            let by = served(&new);
            assert_eq!(by, (BTreeSet::from(["c2".into(), "c4".into()]), "c4".into()));
        }
        old = new;
    }
    // What the control service says when it is back goes before what was handed over.
    let control = Control::start(ListSource::File(&nodes), Some(&state), &xds.to_string(), &[]);
    control.overrides("lift 1 --author asha");
    until_served(&old, &["c1", "c2", "c4"], "c4");
    let mut rest = String::new();
    old.signal("-TERM");
    old.log.read_to_string(&mut rest).expect("its log");
    assert!(!rest.contains("rule broken"), "{rest}");
}
