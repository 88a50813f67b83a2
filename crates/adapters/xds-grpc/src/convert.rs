//! Messages of `envoy.service.discovery.v3` as the state machines' plain types, and back.

use envoy_types::pb::envoy::config::core::v3::{node::UserAgentVersionType, ControlPlane, Node};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::{value, Any, Value};
use envoy_types::pb::google::rpc::Status;
use rushquay_xds::client::{ReceivedResource, ServerAnswer, Topic};
use rushquay_xds::server::{Answer, DeltaRequest, SotwRequest};

/// The field of a node's metadata under which a process tells of itself.
fn field(topic: Topic) -> &'static str {
    match topic {
        Topic::Report => "rushquay.report",
        Topic::PolicyLease => "rushquay.leave",
    }
}

/// gRPC's code for a refused configuration.
const INVALID_ARGUMENT: i32 = 3;

fn error(status: Option<Status>) -> Option<String> {
    status.map(|s| s.message)
}

fn status(error: Option<String>) -> Option<Status> {
    error.map(|message| Status { code: INVALID_ARGUMENT, message, details: Vec::new() })
}

/// How a process of this project names itself.
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

/// Puts what a process tells of itself into its node.
pub fn with_metadata(mut node: Node, told: Vec<(Topic, String)>) -> Node {
    for (topic, told) in told {
        let value = Value { kind: Some(value::Kind::StringValue(told)) };
        let metadata = node.metadata.get_or_insert_default();
        metadata.fields.insert(field(topic).into(), value);
    }
    node
}

/// What a process tells of itself, where it does.
pub fn take_metadata(node: &mut Node, topic: Topic) -> Option<String> {
    match node.metadata.as_mut()?.fields.remove(field(topic))?.kind? {
        value::Kind::StringValue(told) => Some(told),
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
        error: error(m.error_detail),
    }
}

pub fn sotw_request(m: DiscoveryRequest) -> SotwRequest {
    SotwRequest {
        type_url: m.type_url,
        version: m.version_info,
        names: m.resource_names,
        nonce: m.response_nonce,
        error: error(m.error_detail),
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
        error_detail: status(r.error),
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
        error_detail: status(r.error),
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
    let came = |r: Resource| {
        let any = r.resource.unwrap_or_default();
        ReceivedResource { name: Some(r.name), version: r.version, type_url: any.type_url, body: any.value }
    };
    ServerAnswer {
        type_url: m.type_url,
        version: m.system_version_info,
        nonce: m.nonce,
        control_plane: m.control_plane.map(|c| c.identifier).unwrap_or_default(),
        resources: m.resources.into_iter().map(came).collect(),
        removed: m.removed_resources,
    }
}

pub fn from_sotw_response(m: DiscoveryResponse) -> ServerAnswer {
    let came = |any: Any| ReceivedResource {
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
        resources: m.resources.into_iter().map(came).collect(),
        removed: Vec::new(),
    }
}
