//! After each change the shares seen at the nodes are those declared; headers, paths and clusters are as the routes say.

use super::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rushquay_envoy::resource::{decode, Item};
use rushquay_envoy::Notes;
use rushquay_load_assignment::effective::{effective, Sharing};
use rushquay_load_assignment::Health;
use rushquay_xds::server::Variant;
use rushquay_xds::Kind;
use std::collections::BTreeMap;

/// By node in order: zone, priority, health and weight; `None`: not listed.
type Step = Vec<Option<(u8, u8, usize, u32)>>;
const HEALTH: [&str; 6] = ["UNKNOWN", "HEALTHY", "DEGRADED", "UNHEALTHY", "DRAINING", "TIMEOUT"];

fn declared(nodes: &[rushquay_test_servers::Node], step: &Step) -> String {
    let mut places: BTreeMap<(u8, u8), Vec<String>> = BTreeMap::new();
    for (node, told) in nodes.iter().zip(step) {
        if let Some((zone, priority, health, weight)) = told {
            let more = format!(", health_status: {}, load_balancing_weight: {weight}", HEALTH[*health]);
            places.entry((*zone, *priority)).or_default().push(endpoint(node.addr, &more));
        }
    }
    let locality = |((zone, priority), list): (&(u8, u8), &Vec<String>)| {
        format!("{{locality: {{zone: z{zone}}}, priority: {priority}, load_balancing_weight: {}, lb_endpoints: [{}]}}", zone + 1, list.join(", "))
    };
    let list: Vec<String> = places.iter().map(locality).collect();
    format!("{{cluster_name: c, endpoints: [{}]}}", list.join(", "))
}

/// Random lists one after another; after each, so many requests for keys all over reach each node as its part says.
async fn follows(variant: Variant, seed: u8) {
    const REQUESTS: usize = 1200;
    let nodes = nodes(10, Duration::ZERO).await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, variant));
    let sharing = Sharing { by_locality: true, ..Sharing::default() };
    management.declare(&[
        cluster("c", ", common_lb_config: {locality_weighted_lb_config: {}, update_merge_window: 0s}"),
        listener(),
    ]);
    let one = prop::option::weighted(
        0.8,
        (
            0u8..3,
            prop_oneof![2 => Just(0u8), 1 => Just(1u8)],
            prop_oneof![3 => Just(1usize), 2 => 0usize..6],
            prop_oneof![Just(1u32), 1u32..9, Just(u32::MAX / 20)],
        ),
    );
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut client = proxy.client().await;
    for number in 1..=8 {
        let step: Step =
            prop::collection::vec(one.clone(), nodes.len()).new_tree(&mut runner).expect("a step").current();
        let yaml = declared(&nodes, &step);
        let Ok((_, Item::Endpoints(assignment))) =
            decode(Kind::Endpoints, &encoded(Kind::Endpoints, &yaml), &mut Notes::default())
        else {
            panic!("good")
        };
        management.declare(&[(Kind::Endpoints, "c", yaml.clone()), routes(number, &[&all_to("c")])]);
        proxy.reached(number).await;
        nodes.iter().for_each(|n| n.clear());
        let now = effective(&assignment, &sharing, false);
        let parts: BTreeMap<_, _> = assignment
            .endpoints()
            .zip(&now.shares)
            .map(|((_, e), part)| (e.addr, (e.health, *part)))
            .collect();
        let takes = now.shares.iter().any(|p| *p > 0.0);
        for _ in 0..if takes { REQUESTS } else { 10 } {
            let answer = client.get(&format!("/read/{}", key())).await;
            assert_eq!(answer.status, if takes { 200 } else { 503 }, "seed {seed} step {number}: {yaml}");
        }
        for node in &nodes {
            let seen = node.count() as f64;
            let (health, part) = parts.get(&node.addr).copied().unwrap_or((Health::Draining, 0.0));
            let mean = part * REQUESTS as f64;
            // Each request's node is drawn by its key: six standard deviations, and a little for the smallest parts.
            let bound = 6.0 * (mean * (1.0 - part)).sqrt() + 3.0 * f64::from(u8::from(part > 0.0));
            assert!(
                (seen - mean).abs() <= bound,
                "seed {seed} step {number}: {} has {seen} of {mean:.1} ({health:?}), {yaml}",
                node.id
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shares_are_those_declared_after_each_change_by_delta() {
    follows(Variant::Delta, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shares_are_those_declared_after_each_change_by_state_of_the_world() {
    follows(Variant::Sotw, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_changed_on_their_way_as_the_routes_say() {
    let (a, b) = (nodes(1, Duration::ZERO).await, nodes(1, Duration::ZERO).await);
    let raw = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let seen = raw.local_addr().expect("an address");
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    management.declare(&[
        cluster("a", ""),
        cluster("b", ""),
        cluster("raw", ""),
        cluster("gone", ""),
        of_nodes("a", &a),
        of_nodes("b", &b),
        assignment("raw", &[endpoint(seen, "")]),
        assignment("gone", &[]),
        listener(),
        routes(1, &[
            "{match: {path: /ping}, direct_response: {status: 299, body: {inline_string: pong}}, response_headers_to_add: [{header: {key: x-by, value: routes}}]}",
            "{match: {prefix: /old/}, route: {cluster: raw, prefix_rewrite: /read/, host_rewrite_literal: plant.local}, request_headers_to_add: [{header: {key: X-Zone, value: surat}}, {header: {key: x-two, value: '2'}, append_action: ADD_IF_ABSENT}], request_headers_to_remove: [x-secret], response_headers_to_add: [{header: {key: x-by, value: raw}}]}",
            "{match: {prefix: /, headers: [{name: x-to, string_match: {exact: b}}]}, route: {cluster: b}}",
            "{match: {prefix: /named}, route: {cluster_header: x-cluster, cluster_not_found_response_code: NOT_FOUND}, metadata: {filter_metadata: {rushquay: {class: read}}}}",
            "{match: {prefix: /empty}, route: {cluster: gone}, metadata: {filter_metadata: {rushquay: {class: read}}}}",
            "{match: {prefix: /read}, route: {cluster: a}}",
        ]),
    ]);
    proxy.reached(1).await;
    let mut client = proxy.client().await;
    let ping = client.get("/ping").await;
    assert_eq!((ping.status, ping.body.as_str(), ping.header("x-by")), (299, "pong", Some("routes")));
    assert_eq!(client.get("/read/1").await.status, 200);
    assert_eq!((a[0].count(), b[0].count()), (1, 0));
    assert_eq!(client.ask("GET", "/read/1", &[("x-to", "b")]).await.status, 200);
    assert_eq!((a[0].count(), b[0].count()), (1, 1));
    assert_eq!(client.ask("GET", "/named/1", &[("x-cluster", "b")]).await.status, 200);
    assert_eq!(client.ask("GET", "/named/1", &[("x-cluster", "nobody")]).await.status, 404);
    assert_eq!(client.ask("GET", "/named/1", &[]).await.status, 404);
    let empty = client.get("/empty/1").await;
    assert_eq!(empty.status, 503, "it has no endpoints");
    assert_eq!(client.get("/elsewhere").await.status, 404);
    let told = tokio::spawn(async move {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let (mut stream, _) = raw.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a byte"));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("written");
        String::from_utf8(head).expect("text").to_lowercase()
    });
    // A client cannot remove by `Connection` what its route adds.
    let sent = [("x-secret", "s"), ("x-two", "own"), ("connection", "x-zone")];
    let answer = client.ask("GET", "/old/7?x=1", &sent).await;
    assert_eq!((answer.status, answer.header("x-by")), (200, Some("raw")));
    let head = told.await.expect("a head");
    assert!(head.starts_with("get /read/7?x=1 http/1.1\r\n"), "{head}");
    for (line, there) in [
        ("host: plant.local", true),
        ("x-zone: surat", true),
        ("x-two: own", true),
        ("x-two: 2", false),
        ("x-secret", false),
    ] {
        assert_eq!(head.contains(line), there, "{line} in {head}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn weighted_clusters_and_aggregates_share_by_key() {
    let nodes = nodes(3, Duration::ZERO).await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    let aggregate = (Kind::Cluster, "both", "{name: both, lb_policy: CLUSTER_PROVIDED, cluster_type: {name: envoy.clusters.aggregate, typed_config: {'@type': type.googleapis.com/envoy.extensions.clusters.aggregate.v3.ClusterConfig, clusters: [a, b]}}}".to_owned());
    let split = "{match: {prefix: /}, route: {weighted_clusters: {clusters: [{name: both, weight: 70}, {name: c, weight: 30}]}}}";
    let healthy = |i: usize| endpoint(nodes[i].addr, "");
    let ill =
        |i: u8| endpoint(format!("127.0.0.{i}:9").parse().expect("an address"), ", health_status: UNHEALTHY");
    // Half of a's endpoints are healthy, which makes 70 of 100.
    management.declare(&[
        cluster("a", ", common_lb_config: {healthy_panic_threshold: {value: 0}}"),
        cluster("b", ""),
        cluster("c", ""),
        aggregate,
        assignment("a", &[healthy(0), ill(9)]),
        assignment("b", &[healthy(1)]),
        assignment("c", &[healthy(2)]),
        listener(),
        routes(1, &[split]),
    ]);
    proxy.reached(1).await;
    let mut client = proxy.client().await;
    let mut first = Vec::new();
    for i in 0..2000 {
        let answer = client.get(&format!("/read/{i:016x}")).await;
        assert_eq!(answer.status, 200);
        first.push(answer.body);
    }
    for (node, part) in nodes.iter().zip([0.49, 0.21, 0.30]) {
        let (seen, mean) = (node.count() as f64, part * 2000.0);
        assert!(
            (seen - mean).abs() < 6.0 * f64::sqrt(mean * (1.0 - part)),
            "{} has {seen} of {mean}",
            node.id
        );
    }
    for (i, before) in first.iter().enumerate().take(200) {
        assert_eq!(client.get(&format!("/read/{i:016x}")).await.body, *before, "a key keeps its cluster");
    }
    // All of a fails: its part goes to b.
    management.declare(&[assignment("a", &[ill(8), ill(9)]), routes(2, &[split])]);
    proxy.reached(2).await;
    nodes.iter().for_each(|n| n.clear());
    for _ in 0..300 {
        assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200);
    }
    assert_eq!(nodes[0].count(), 0);
    assert!(nodes[1].count() > 150);
}
