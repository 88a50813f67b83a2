//! The pages of the control service and what a proxy tells operators: paths, statuses, keys, types, names of metrics and their labels.

use crate::golden::assert_same;
use crate::rig::{config, get_as, member, Peer, Server};
use rushquay_admin::{Cause, NodeCloseCause, TurnedAway};
use rushquay_fleet_harness::{call, start, Fleet, Shape, LONG};
use rushquay_invariants::{Label, Violation};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::Read as _;
use std::time::Duration;

/// The type of a value, as a reader of JSON sees it.
fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "flag",
        Value::Number(_) => "number",
        Value::String(_) => "text",
        Value::Array(_) => "list",
        Value::Object(_) => "object",
    }
}

/// Keys that are names of proxies, classes, nodes or digests.
fn is_name(key: &str) -> bool {
    key.contains('.')
        || key.len() == 32
        || key.parse::<u64>().is_ok()
        || ["read", "set", "plan"].contains(&key)
}

/// Every path in a document with the types that stand there.
fn shape(value: &Value, at: &str, found: &mut BTreeMap<String, BTreeSet<&'static str>>) {
    found.entry(if at.is_empty() { "/".into() } else { at.to_owned() }).or_default().insert(kind(value));
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let key = if is_name(key) { "<name>" } else { key };
                shape(value, &format!("{at}/{key}"), found);
            }
        }
        Value::Array(items) => items.iter().for_each(|item| shape(item, &format!("{at}/<item>"), found)),
        _ => {}
    }
}

/// A shape as text. What is null now may be a value a moment later, so null is told only where nothing else stands.
fn shown(page: &str, value: &Value) -> String {
    let mut found = BTreeMap::new();
    shape(value, "", &mut found);
    let mut text = format!("== {page}\n");
    for (path, kinds) in found {
        let kinds: Vec<&str> = kinds.into_iter().collect();
        let _ = writeln!(text, "{path} {}", kinds.join(" or "));
    }
    text
}

/// Names of metrics with their types and labels, and the labels' values where the program makes them.
fn metrics_form(text: &str) -> String {
    let mut lines = BTreeSet::new();
    for line in text.lines() {
        if line.starts_with("# TYPE") || line == "# EOF" {
            lines.insert(line.to_owned());
        } else if !line.starts_with('#') {
            lines.insert(line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned());
        }
    }
    lines.into_iter().map(|line| line + "\n").collect()
}

fn shape_of_fleet(seed: u64) -> Shape {
    let rollout = "times = 3.0\nbeyond = 0.1\nbeta = 0.2\n".into();
    let control = "leave_s = 3.0\nlimit_s = 60.0\nfloor_s = 600.0\nlook_ms = 50\n".to_owned();
    let policy = Some((control, "ask_ms = 300\n".into()));
    let shape = Shape::new(env!("CARGO_BIN_EXE_rushquay"), seed);
    Shape { nodes: 1, controls: 1, rollout, policy, ..shape }
}

/// Posts until a leader has taken it. On a busy machine the only instance may lose its lease for a moment, and says so.
async fn post(fleet: &Fleet, path: &str, body: Value, expected: u16) -> Value {
    let start = std::time::Instant::now();
    loop {
        let (status, said) = fleet.post(path, body.clone()).await;
        if status == expected {
            return said;
        }
        let leads_no_more = matches!(status, 0 | 503 | 507) && start.elapsed() < LONG;
        assert!(leads_no_more, "{path}: {status} {said}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A fleet in which a policy was committed, an override is set, another was lifted, and a rollout is complete.
///
/// Also what the rollout's page said while old and new were compared.
pub async fn fleet_with_history(differ: impl FnOnce(&mut Shape)) -> (Fleet, Value) {
    let mut shape = shape_of_fleet(5);
    differ(&mut shape);
    let mut fleet = Fleet::start(shape).await;
    let policy = json!({"settings": {"caps": {"attempts_cap": 4}}, "floor": {"caps": {"attempts_cap": 1}},
                        "author": "ravi", "reason": "fewer attempts"});
    post(&fleet, "/v1/policy", policy, 201).await;
    fleet.until("the policy is committed", |_| true).await;
    while fleet.get("/v1/policy").await["last"].is_null() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    #[expect(clippy::disallowed_methods, reason = "an override expires at a Unix time")]
    let until =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock").as_nanos()
            as u64;
    let until = until + 6 * 3600 * 1_000_000_000;
    let one = |scope: Value, effect: Value| json!({"scope": scope, "effect": effect, "until": until, "author": "asha", "reason": "boiler"});
    let effects = [json!({"weight": 0.5}), json!({"pinned": {"class": "plan", "keys": "7f*"}}), json!("out")];
    let mut last = 0;
    for effect in effects {
        let set = post(&fleet, "/v1/overrides", one(json!({"node": "n0.surat"}), effect), 201).await;
        last = set["override"]["id"].as_u64().expect("a number");
    }
    let leader = fleet.leader().await;
    let path = &format!("/v1/overrides/{last}?by=asha");
    let lifted = call(fleet.controls[leader].admin, hyper::Method::DELETE, path, Some("*"), None).await;
    assert_eq!(lifted.map(|(status, _)| status), Some(200));
    fleet.load(4, Duration::from_millis(10));
    let plan = json!({"stages": [{"count": 1}], "at_once": 2, "back_at_once": 3, "soak_s": 1.5, "confirm_s": 30.0,
                      "patience_s": 300.0, "limit_s": 600.0});
    start(&fleet, json!({"caps": {"max_retry_after_ns": 3_000_000_000u64}}), plan).await;
    let compared = |s: &Value| {
        s["change"]["phase"]["phase"] == "soaking" && s["evidence"].as_array().is_some_and(|e| !e.is_empty())
    };
    let soaking = fleet.until("old and new are compared", compared).await;
    fleet.until("the rollout is complete", |s| s["change"]["phase"]["phase"] == "done").await;
    fleet.calm().await;
    (fleet, soaking)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pages_of_the_control_service_are_unchanged() {
    let (fleet, soaking) = fleet_with_history(|_| {}).await;
    // All proxies have the new settings.
    fleet
        .until("all act by it", |s| {
            s["fleet"].as_array().is_some_and(|f| f.iter().all(|f| f["acting"] == s["holds"]))
                && s["evidence"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
    let mut text = shown("/v1/rollout, soaking", &soaking);
    for page in [
        "/status",
        "/v1/overrides",
        "/v1/overrides/history",
        "/v1/rollout",
        "/v1/rollout/history",
        "/v1/roster",
        "/v1/policy",
        "/v1/policy/history",
        "/v1/policy/explain/p0.rajkot",
    ] {
        text += &shown(page, &fleet.get(page).await);
    }
    let ask = json!({"settings": {"caps": {"attempts_cap": 3}}, "author": "a", "reason": "b"});
    let planned = post(&fleet, "/v1/rollout/plan", ask, 200).await;
    text += &shown("/v1/rollout/plan", &planned);
    let ask =
        json!({"settings": {"caps": {"attempts_cap": 3}}, "floor": "nobody", "author": "a", "reason": "b"});
    let diff = post(&fleet, "/v1/policy/diff", ask, 200).await;
    text += &shown("/v1/policy/diff", &diff);
    assert_same("pages/control.txt", &text);
    let metrics = fleet.get("/metrics").await;
    assert_same("pages/control_metrics.txt", &metrics_form(metrics.as_str().expect("text")));
    statuses(&fleet).await;
}

/// A call: method, path, `If-Match` and body.
type Call = (hyper::Method, &'static str, Option<&'static str>, Option<Value>);

/// What a script tells outcomes apart by.
async fn statuses(fleet: &Fleet) {
    let admin = fleet.controls[fleet.leader().await].admin;
    let get = hyper::Method::GET;
    let post = hyper::Method::POST;
    let override_of = |node: &str, until: u64| {
        Some(json!({"scope": {"node": node}, "effect": "out", "until": until, "author": "a", "reason": "b"}))
    };
    let rollout = |settings: Value| Some(json!({"settings": settings, "author": "a", "reason": "b"}));
    let policy = |settings: Value| {
        Some(json!({"settings": settings, "floor": "nobody", "author": "a", "reason": "b"}))
    };
    let cases: Vec<Call> = vec![
        (get.clone(), "/healthz", None, None),
        (get.clone(), "/elsewhere", None, None),
        (post.clone(), "/v1/overrides", None, override_of("n0.surat", u64::MAX)),
        (post.clone(), "/v1/overrides", Some("no number"), override_of("n0.surat", u64::MAX)),
        (post.clone(), "/v1/overrides", Some("\"99999\""), override_of("n0.surat", u64::MAX)),
        (post.clone(), "/v1/overrides", Some("*"), override_of("n0.surat", u64::MAX)),
        (post.clone(), "/v1/overrides", Some("*"), Some(json!({"scope": "all"}))),
        (hyper::Method::DELETE, "/v1/overrides/999?by=a", Some("*"), None),
        (post.clone(), "/v1/rollout", None, rollout(json!({}))),
        (post.clone(), "/v1/rollout", Some("99999"), rollout(json!({"caps": {"attempts_cap": 2}}))),
        (post.clone(), "/v1/rollout", Some("*"), rollout(json!({"zone": 1}))),
        (post.clone(), "/v1/rollout/hold", Some("*"), Some(json!({"by": "a"}))),
        (post.clone(), "/v1/rollout/elsewhere", Some("*"), Some(json!({"by": "a"}))),
        (post.clone(), "/v1/policy", None, policy(json!({}))),
        (post.clone(), "/v1/policy", Some("99999"), policy(json!({"caps": {"attempts_cap": 2}}))),
        (post.clone(), "/v1/policy", Some("*"), policy(json!({"zone": 1}))),
        (post.clone(), "/v1/policy/abort", Some("*"), Some(json!({"by": "a"}))),
        (get, "/v1/policy/explain/nobody", None, None),
    ];
    let mut text = String::new();
    for (method, path, tag, body) in &cases {
        let mut answer = call(admin, method.clone(), path, *tag, body.clone()).await.expect("an answer");
        // No case is one of an instance that does not lead.
        while answer.0 == 503 {
            fleet.leader().await;
            answer = call(admin, method.clone(), path, *tag, body.clone()).await.expect("an answer");
        }
        let (status, said) = answer;
        let form = if said.is_object() {
            said.as_object().expect("fields").keys().cloned().collect::<Vec<_>>().join(",")
        } else {
            "text".into()
        };
        let _ = writeln!(
            text,
            "{method} {path} {} {} -> {status} {form}",
            tag.unwrap_or("-"),
            body.clone().unwrap_or_default()
        );
    }
    assert_same("pages/control_statuses.txt", &text);
}

fn labels<L: Label>(name: &str) -> String {
    let names: Vec<&str> = L::ALL.iter().map(|label| label.name()).collect();
    format!("{name}: {}\n", names.join(" "))
}

fn operators(admin: std::net::SocketAddr, call: &str) -> String {
    let mut peer = Peer::to(admin);
    peer.write(call);
    let mut text = String::new();
    peer.0.read_to_string(&mut text).expect("an answer");
    text
}

#[test]
fn what_a_proxy_tells_operators_is_unchanged() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut proxy =
        crate::rig::Proxy::with(&config(discovery.addr, &servers), &[("PROXY_ADMIN_ADDR", "127.0.0.1:0")]);
    let admin = proxy.yes();
    let mut client = proxy.client();
    client.write(&get_as("one", "read", ""));
    let mut node = cache.take();
    node.request();
    node.reply("404 Not Found", "X-Lookup: miss\r\n", "");
    let mut fetched = origin.take();
    fetched.request();
    fetched.reply("200 OK", "", "value");
    client.answer();
    client.write(&get_as("two", "order", ""));
    node.request();
    node.reply("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
    client.answer();
    client.write(&get_as("three", "nothing", ""));
    client.answer();
    let mut text = operators(admin, "STATUS\n");
    for bad in ["NONSENSE\n", "STATUS\nSTATUS\n", "\u{e9}\n"] {
        let said = operators(admin, bad);
        assert!(said.starts_with("-ERR "), "{said}");
    }
    // The connection is counted a moment after the client has seen its end.
    assert!(client.read().is_none());
    let mut metrics = operators(admin, "METRICS\n");
    while !metrics.contains("proxy_client_closes{") {
        std::thread::sleep(Duration::from_millis(5));
        metrics = operators(admin, "METRICS\n");
    }
    text += &metrics_form(&metrics);
    text += &labels::<Cause>("after");
    text += &labels::<TurnedAway>("reason");
    text += &labels::<NodeCloseCause>("node_closes cause");
    text += &labels::<Violation>("rule");
    text += &labels::<rushquay_invariants::SendDenied>("attempts_denied cause");
    text += &labels::<rushquay_invariants::CloseCause>("client_closes cause");
    assert_same("pages/proxy.txt", &text);
}
