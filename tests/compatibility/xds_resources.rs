//! Resources on the xDS stream: names, versions and bytes. A version that changes has every proxy fetch everything again after an upgrade.

use crate::golden::{assert_same, rushquay, Folder};
use base64::Engine as _;
use envoy_types::pb::envoy::config::core::v3::Node as NodeId;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, Resource};
use prost::Message as _;
use rushquay_config_version::ConfigAssignment;
use rushquay_endpoints::{EndpointList, Imposed, Pin, SourcedEndpoint};
use rushquay_xds::{Kind, Store};
use rushquay_xds_resources::{
    declare_changed, declare_settings, policy_lease_name, settings_name, EndpointsById, POLICY_RESOURCE,
};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::process::Stdio;
use tokio_stream::wrappers::ReceiverStream;

const NODES: &str = r#"{"version": 3, "full": true, "servers": [
    {"id": "a", "addr": "127.0.0.1:9001", "zone": "rajkot", "kind": "std-1c", "cell": 2, "state": "ready", "weight": 1.5, "started_ms": 1700000000000},
    {"id": "b", "addr": "127.0.0.1:9002", "zone": "surat", "kind": "slow-1c", "state": "draining"},
    {"id": "o", "addr": "127.0.0.1:9003", "zone": "rajkot", "kind": "origin", "state": "ready"}]}"#;

/// Kinds in the order of their type URLs, by what a subscriber calls them.
const TYPES: [&str; 5] = [
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
];

fn shown(resource: &Resource) -> String {
    let body = resource.resource.as_ref().expect("a body");
    // The order of the entries of a map is that of its hash: a metadata's fields are shown by their sorted bytes.
    let mut bytes = body.value.clone();
    bytes.sort_unstable();
    let bytes = base64::engine::general_purpose::STANDARD.encode(&bytes);
    format!("{} {} {}\n  {bytes}\n", body.type_url, resource.name, resource.version)
}

async fn resources_of(xds: &str) -> String {
    let mut client =
        AggregatedDiscoveryServiceClient::connect(format!("http://{xds}")).await.expect("connected");
    let (requests, rest) = tokio::sync::mpsc::channel(16);
    let node = Some(NodeId { id: "golden".into(), ..NodeId::default() });
    for (number, type_url) in TYPES.into_iter().enumerate() {
        let node = node.clone().filter(|_| number == 0);
        let names = vec!["*".to_owned()];
        let (type_url, resource_names_subscribe) = (type_url.to_owned(), names);
        let request =
            DeltaDiscoveryRequest { node, type_url, resource_names_subscribe, ..Default::default() };
        requests.send(request).await.expect("sent");
    }
    let mut answers =
        client.delta_aggregated_resources(ReceiverStream::new(rest)).await.expect("a stream").into_inner();
    let mut lines = Vec::new();
    for _ in TYPES {
        let answer = answers.message().await.expect("an answer").expect("the stream goes on");
        let (type_url, response_nonce) = (answer.type_url.clone(), answer.nonce.clone());
        lines.extend(answer.resources.iter().map(shown));
        let acknowledged = DeltaDiscoveryRequest { type_url, response_nonce, ..Default::default() };
        requests.send(acknowledged).await.expect("sent");
    }
    lines.sort();
    lines.concat()
}

#[tokio::test]
async fn resources_of_a_node_list_are_unchanged() {
    let folder = Folder::new("xds");
    let nodes = folder.write("nodes.json", NODES);
    let arguments = ["control", "--listen", "127.0.0.1:0", "--nodes", nodes.to_str().expect("a path")];
    let mut child = rushquay(&arguments).stdout(Stdio::piped()).spawn().expect("started");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
    let xds = line.split_whitespace().find_map(|part| part.strip_prefix("xds=")).expect("an address");
    let text = resources_of(xds).await;
    child.kill().expect("killed");
    child.wait().expect("ended");
    assert_same("xds/resources.txt", &text);
}

fn stored(store: &Store, kind: Kind, name: &str) -> String {
    let resource = store.get(kind, name).unwrap_or_else(|| panic!("{name} is declared"));
    let mut bytes = resource.body.to_vec();
    bytes.sort_unstable();
    format!("{name} {}\n  {}\n", resource.version, base64::engine::general_purpose::STANDARD.encode(&bytes))
}

/// With operators' overrides on it an endpoint says more.
#[test]
fn endpoints_with_overrides_are_unchanged() {
    let list: EndpointList = serde_json::from_str(NODES).expect("a list");
    let pin = Pin { number: 4, until: 50, class: Some("read".into()), keys: Some("7f*".into()) };
    let imposed = [
        Imposed { out: (10, 90), ..Imposed::default() },
        Imposed { weights: vec![(40, 0.5), (60, 2.0)], present: Some((false, 0.5)), ..Imposed::default() },
        Imposed {
            out: (10, 90),
            weights: vec![(40, 0.5)],
            pins: vec![pin],
            cold_after: 7,
            present: Some((true, 0.5)),
        },
    ];
    let mut text = String::new();
    for imposed in imposed {
        let member = list.servers[0].clone();
        let node = SourcedEndpoint { member, list_version: 3, is_from_discovery: true, imposed };
        let mut store = Store::new("golden", 10);
        let nodes: EndpointsById = [(node.member.id.clone(), node.clone())].into();
        declare_changed(&mut store, "cache-nodes", &nodes, &[node], &[], 0);
        let name = rushquay_xds_resources::endpoint_name("cache-nodes", "rajkot", "a");
        text += &stored(&store, Kind::Endpoint, &name);
        text += &stored(&store, Kind::Endpoints, "cache-nodes");
    }
    assert_same("xds/overrides.txt", &text);
}

#[test]
fn settings_resources_and_names_are_unchanged() {
    let mut store = Store::new("golden", 10);
    let text = crate::golden::read("messages/assignment.jsonl");
    let assignment = ConfigAssignment::read(text.lines().next().expect("an example")).expect("an assignment");
    declare_settings(&mut store, "p0.rajkot", &assignment, 0);
    let mut text = stored(&store, Kind::Extension, &settings_name("p0.rajkot"));
    let _ = writeln!(
        text,
        "{POLICY_RESOURCE}\n{}\n{}",
        policy_lease_name("p0.rajkot", 0x1f),
        settings_name("a/b c")
    );
    assert_same("xds/settings.txt", &text);
}

/// What a process says of itself stands in its node's metadata.
#[test]
fn node_metadata_is_unchanged() {
    let told = vec![
        (rushquay_xds::client::Topic::Report, "report".to_owned()),
        (rushquay_xds::client::Topic::PolicyLease, "request".to_owned()),
    ];
    let node = rushquay_xds_grpc::with_metadata(rushquay_xds_grpc::node("p0", "rushquay"), told);
    let mut fields: Vec<(String, Vec<u8>)> = node
        .metadata
        .clone()
        .expect("metadata")
        .fields
        .into_iter()
        .map(|(k, v)| (k, v.encode_to_vec()))
        .collect();
    fields.sort();
    let plain = NodeId { metadata: None, ..node };
    assert_same("xds/node.txt", &format!("{plain:?}\n{fields:?}\n"));
}
