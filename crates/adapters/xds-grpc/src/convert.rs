//! Conversion between the messages of `envoy.service.discovery.v3` and the plain types of the state machines.

use envoy_types::pb::envoy::config::core::v3::{node::UserAgentVersionType, ControlPlane, Node};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::{value, Any, Value};
use envoy_types::pb::google::rpc::Status;
use rushquay_xds::client::{ReceivedResource, ServerAnswer, Topic};
use rushquay_xds::server::{Answer, DeltaRequest, SotwRequest};

/// The key of a topic in a node's metadata.
fn metadata_key(topic: Topic) -> &'static str {
    match topic {
        Topic::Report => "rushquay.report",
        Topic::PolicyLease => "rushquay.leave",
    }
}

/// gRPC's status code for a rejected configuration.
const INVALID_ARGUMENT: i32 = 3;

fn error_message(status: Option<Status>) -> Option<String> {
    status.map(|s| s.message)
}

fn error_status(error: Option<String>) -> Option<Status> {
    error.map(|message| Status { code: INVALID_ARGUMENT, message, details: Vec::new() })
}

/// The node of a process of this project.
pub fn node(id: &str, cluster: &str) -> Node {
    Node {
        id: id.to_owned(),
        cluster: cluster.to_owned(),
        user_agent_name: "rushquay".into(),
        user_agent_version_type: Some(UserAgentVersionType::UserAgentVersion(
            env!("CARGO_PKG_VERSION").into(),
        )),
        ..Node::default()
    }
}

/// Adds metadata of a process to its node.
pub fn with_metadata(mut node: Node, metadata: Vec<(Topic, String)>) -> Node {
    for (topic, text) in metadata {
        let value = Value { kind: Some(value::Kind::StringValue(text)) };
        let fields = &mut node.metadata.get_or_insert_default().fields;
        fields.insert(metadata_key(topic).into(), value);
    }
    node
}

/// Removes and returns the metadata of a topic, where there is any.
pub fn take_metadata(node: &mut Node, topic: Topic) -> Option<String> {
    match node.metadata.as_mut()?.fields.remove(metadata_key(topic))?.kind? {
        value::Kind::StringValue(text) => Some(text),
        _ => None,
    }
}

pub fn delta_request(m: DeltaDiscoveryRequest) -> DeltaRequest {
    DeltaRequest {
        type_url: m.type_url,
        subscribe: m.resource_names_subscribe,
        unsubscribe: m.resource_names_unsubscribe,
        initial_versions: m.initial_resource_versions,
        nonce: m.response_nonce,
        error: error_message(m.error_detail),
    }
}

pub fn sotw_request(m: DiscoveryRequest) -> SotwRequest {
    SotwRequest {
        type_url: m.type_url,
        version: m.version_info,
        names: m.resource_names,
        nonce: m.response_nonce,
        error: error_message(m.error_detail),
    }
}

pub fn to_delta_request(r: DeltaRequest, node: Option<Node>) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        node,
        type_url: r.type_url,
        resource_names_subscribe: r.subscribe,
        resource_names_unsubscribe: r.unsubscribe,
        initial_resource_versions: r.initial_versions,
        response_nonce: r.nonce,
        error_detail: error_status(r.error),
        ..DeltaDiscoveryRequest::default()
    }
}

pub fn to_sotw_request(r: SotwRequest, node: Option<Node>) -> DiscoveryRequest {
    DiscoveryRequest {
        version_info: r.version,
        node,
        resource_names: r.names,
        type_url: r.type_url,
        response_nonce: r.nonce,
        error_detail: error_status(r.error),
        ..DiscoveryRequest::default()
    }
}

fn control_plane(identifier: &str) -> Option<ControlPlane> {
    Some(ControlPlane { identifier: identifier.to_owned() })
}

pub fn delta_response(a: Answer, incarnation: &str) -> DeltaDiscoveryResponse {
    let type_url = a.kind.type_url();
    let resource = |r: std::sync::Arc<rushquay_xds::Resource>| Resource {
        name: r.name.to_string(),
        version: r.version.to_string(),
        resource: Some(Any { type_url: type_url.to_owned(), value: r.body.to_vec() }),
        ..Resource::default()
    };
    DeltaDiscoveryResponse {
        system_version_info: a.version,
        resources: a.resources.into_iter().map(resource).collect(),
        type_url: type_url.to_owned(),
        removed_resources: a.removed.iter().map(|n| n.to_string()).collect(),
        nonce: a.nonce,
        control_plane: control_plane(incarnation),
        ..DeltaDiscoveryResponse::default()
    }
}

pub fn sotw_response(a: Answer, incarnation: &str) -> DiscoveryResponse {
    let type_url = a.kind.type_url();
    DiscoveryResponse {
        version_info: a.version,
        resources: a
            .resources
            .into_iter()
            .map(|r| Any { type_url: type_url.to_owned(), value: r.body.to_vec() })
            .collect(),
        type_url: type_url.to_owned(),
        nonce: a.nonce,
        control_plane: control_plane(incarnation),
        ..DiscoveryResponse::default()
    }
}

pub fn from_delta_response(m: DeltaDiscoveryResponse) -> ServerAnswer {
    let received = |r: Resource| {
        let any = r.resource.unwrap_or_default();
        ReceivedResource { name: Some(r.name), version: r.version, type_url: any.type_url, body: any.value }
    };
    ServerAnswer {
        type_url: m.type_url,
        version: m.system_version_info,
        nonce: m.nonce,
        control_plane: m.control_plane.map(|c| c.identifier).unwrap_or_default(),
        resources: m.resources.into_iter().map(received).collect(),
        removed: m.removed_resources,
    }
}

pub fn from_sotw_response(m: DiscoveryResponse) -> ServerAnswer {
    let received = |any: Any| ReceivedResource {
        name: None,
        version: String::new(),
        type_url: any.type_url,
        body: any.value,
    };
    ServerAnswer {
        type_url: m.type_url,
        version: m.version_info,
        nonce: m.nonce,
        control_plane: m.control_plane.map(|c| c.identifier).unwrap_or_default(),
        resources: m.resources.into_iter().map(received).collect(),
        removed: Vec::new(),
    }
}
