//! Settings files: each key that is read, and that no other is taken.

use crate::golden::{path, run, Folder};
use serde_json::Value as Json;
use std::fmt::Write as _;
use toml::{Table, Value};

/// Tables whose keys are names that an operator chooses, or that go to the proxy's own settings.
const OPEN_TABLES: [&str; 4] = ["control.weights", "environment", "floor", "policy.floor"];

fn check(file: &std::path::Path) -> (bool, String) {
    let output = run(&["check", file.to_str().expect("a path")]);
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), text)
}

/// All keys of a table, by their path.
fn keys(table: &Table, at: &str, found: &mut Vec<String>) {
    for (key, value) in table {
        let path = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
        found.push(path.clone());
        if let Value::Table(inner) = value {
            if !OPEN_TABLES.contains(&path.as_str()) {
                keys(inner, &path, found);
            }
        }
    }
}

/// The table with one key renamed, and the new name.
fn with_renamed(table: &Table, path: &str) -> (Table, String) {
    let (mut changed, mut steps) = (table.clone(), path.split('.').collect::<Vec<_>>());
    let key = steps.pop().expect("a key");
    let renamed = format!("{key}_renamed");
    let mut at = &mut changed;
    for step in steps {
        at = at[step].as_table_mut().expect("a table");
    }
    let value = at.remove(key).expect("the key");
    at.insert(renamed.clone(), value);
    (changed, renamed)
}

/// The full example is taken whole, and each of its keys under another name is refused by that name.
fn every_key_is_read(name: &str) {
    let text = std::fs::read_to_string(path(&format!("settings/{name}"))).expect("an example");
    let table: Table = toml::from_str(&text).expect("TOML");
    let folder = Folder::new(name);
    let (good, said) = check(&folder.write(name, &text));
    assert!(good, "{name}: {said}");
    refuses_renamed_keys(name, &table, &folder);
}

fn refuses_renamed_keys(name: &str, table: &Table, folder: &Folder) {
    let mut all = Vec::new();
    keys(table, "", &mut all);
    assert!(!all.is_empty());
    for key in all {
        let (changed, renamed) = with_renamed(table, &key);
        let (good, said) = check(&folder.write(name, &toml::to_string(&changed).expect("TOML")));
        assert!(!good, "{name}: {key} under another name was taken");
        // A file is told by a key of its own; without that key it is taken for another kind of file, and refused as such.
        let told_by = ["addresses", "programs", "report_ms", "ask_ms", "bootstrap"].contains(&key.as_str());
        assert!(said.contains(&renamed) || told_by, "{name}: {key}: {said}");
    }
}

#[test]
fn every_key_of_a_control_service_is_read() {
    every_key_is_read("control_file_store.toml");
}

#[test]
fn every_key_of_a_control_service_on_etcd_is_read() {
    every_key_is_read("control_etcd_store.toml");
}

#[test]
fn every_key_of_a_subscription_is_read() {
    every_key_is_read("subscription.toml");
}

#[test]
fn every_key_of_a_proxys_part_in_rollouts_is_read() {
    every_key_is_read("rollout.toml");
}

#[test]
fn every_key_of_a_proxys_part_in_policies_is_read() {
    every_key_is_read("policy.toml");
}

#[test]
fn every_key_of_a_supervisor_is_read() {
    every_key_is_read("host.toml");
}

#[test]
fn every_key_of_the_envoy_form_is_read() {
    let name = "envoy.toml";
    let text = std::fs::read_to_string(path("settings/envoy.toml")).expect("an example");
    let folder = Folder::new(name);
    let bootstrap = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/envoy/bootstrap.yaml");
    let text = text.replace("BOOTSTRAP", bootstrap.to_str().expect("a path"));
    let (good, said) = check(&folder.write(name, &text));
    assert!(good, "{said}");
    refuses_renamed_keys(name, &toml::from_str(&text).expect("TOML"), &folder);
}

/// TLS files are read when settings are; that the sections are known is seen by what is missing.
#[test]
fn tls_sections_keep_their_keys() {
    let folder = Folder::new("tls");
    let tls = "cert = '/nonexistent/c.pem'\nkey = '/nonexistent/k.pem'\nca = '/nonexistent/ca.pem'\n";
    let etcd = "[standby]\nname = 'a'\netcd = ['https://10.0.0.1:2379']\n";
    let cases = [
        ("control.toml", format!("[tls]\n{tls}"), vec!["tls.cert", "tls.key", "tls.ca"]),
        (
            "standby.toml",
            format!("{etcd}[standby.tls]\n{tls}"),
            vec!["standby.tls.cert", "standby.tls.key", "standby.tls.ca"],
        ),
        (
            "subscription.toml",
            format!("addresses = ['10.0.0.1:5']\n[tls]\n{tls}server_name = 'a.example.org'\n"),
            vec!["tls.cert", "tls.key", "tls.ca", "tls.server_name"],
        ),
    ];
    for (name, text, keys) in cases {
        let (_, said) = check(&folder.write(name, &text));
        assert!(!said.contains("unknown field"), "{name}: {said}");
        let table: Table = toml::from_str(&text).expect("TOML");
        for key in keys {
            let (changed, renamed) = with_renamed(&table, key);
            let (good, said) = check(&folder.write(name, &toml::to_string(&changed).expect("TOML")));
            assert!(!good && said.contains(&renamed), "{name}: {key}: {said}");
        }
    }
}

/// The paths of all values of a document.
fn leaves(value: &Json, at: &str, found: &mut Vec<String>) {
    match value {
        Json::Object(fields) => {
            found.extend((!at.is_empty()).then(|| at.to_owned()));
            fields.iter().for_each(|(key, value)| leaves(value, &format!("{at}/{key}"), found));
        }
        Json::Array(items) => {
            found.push(at.to_owned());
            items.iter().take(1).for_each(|item| leaves(item, &format!("{at}/0"), found));
        }
        _ => found.push(at.to_owned()),
    }
}

/// What is said of a value that no key can have.
fn refusals(name: &str) -> String {
    let example: Json =
        serde_json::from_str(&crate::golden::read(&format!("settings/{name}"))).expect("JSON");
    let folder = Folder::new(name);
    let (good, said) = check(&folder.write(name, &example.to_string()));
    assert!(good, "{name}: {said}");
    let (mut paths, mut text) = (Vec::new(), String::new());
    leaves(&example, "", &mut paths);
    for path in paths {
        let mut changed = example.clone();
        *changed.pointer_mut(&path).expect("the value") = serde_json::json!({"no": [{}]});
        let (good, said) = check(&folder.write(name, &changed.to_string()));
        // Which field is at fault is the form; in which words is not.
        let key = path.rsplit('/').find(|step| step.parse::<usize>().is_err()).expect("a key");
        let outcome = if good {
            "passed over"
        } else if said.contains(key) {
            "refused by name"
        } else {
            "refused"
        };
        let _ = writeln!(text, "{path} {outcome}");
    }
    text
}

#[test]
fn a_proxys_configuration_keeps_its_keys() {
    crate::golden::assert_same("settings/proxy_refusals.txt", &refusals("proxy.json"));
}

#[test]
fn a_node_list_keeps_its_keys() {
    crate::golden::assert_same("settings/nodes_refusals.txt", &refusals("nodes.json"));
}
