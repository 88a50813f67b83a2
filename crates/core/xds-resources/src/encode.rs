//! Encodes endpoints as xDS resources.

use crate::names::{assignment_name, collection_name, endpoint_name};
use crate::{METADATA, WEIGHT_UNIT};
use bytes::Bytes;
use envoy_types::pb::envoy::config::cluster::v3::{cluster, Cluster};
use envoy_types::pb::envoy::config::core::v3::{
    address, config_source::ConfigSourceSpecifier, socket_address::PortSpecifier, Address,
    AggregatedConfigSource, ApiVersion, ConfigSource, HealthStatus, Locality, Metadata, SocketAddress,
};
use envoy_types::pb::envoy::config::endpoint::v3::{
    lb_endpoint::HostIdentifier, locality_lb_endpoints::LbConfig, ClusterLoadAssignment, Endpoint,
    LbEndpoint, LedsClusterLocalityConfig, LocalityLbEndpoints,
};
use envoy_types::pb::envoy::config::listener::v3::{ApiListener, Listener};
use envoy_types::pb::envoy::config::route::v3::{
    route::Action, route_action::ClusterSpecifier, route_match::PathSpecifier, Route, RouteAction,
    RouteConfiguration, RouteMatch, VirtualHost,
};
use envoy_types::pb::envoy::extensions::filters::http::router::v3::Router;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    http_connection_manager::RouteSpecifier, http_filter::ConfigType, HttpConnectionManager, HttpFilter, Rds,
};
use envoy_types::pb::google::protobuf::{value, Any, Duration, Struct, UInt32Value, UInt64Value, Value};
use prost::{Message, Name};
use rushquay_endpoints::{EndpointState, Imposed, Pin, SourcedEndpoint};
use rushquay_xds::{version_of, Declared, Kind, Nanos, Store};
use std::collections::{BTreeMap, BTreeSet};

/// The size of the ring on which clients place endpoints.
const MIN_RING_SIZE: u64 = 1024;
/// The largest `load_balancing_weight` that is sent.
const MAX_WEIGHT: f64 = 16_000_000.0;

/// The names of the clusters of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterNames {
    /// The name of the cluster of cache nodes, and of the listener and the route that lead to it.
    pub cluster: String,
    /// The name of the origin's cluster.
    pub origin: String,
}

/// The endpoints of one cluster by id.
pub type EndpointsById = BTreeMap<String, SourcedEndpoint>;

/// Declares all resources of two clusters, cache nodes and origin. Returns the number of changes.
pub fn declare(
    store: &mut Store,
    cluster_names: &ClusterNames,
    clusters: [&EndpointsById; 2],
    now: Nanos,
) -> usize {
    let names = [cluster_names.cluster.as_str(), cluster_names.origin.as_str()];
    let mut endpoints = BTreeMap::new();
    let mut assignments = BTreeMap::new();
    for (name, nodes) in names.into_iter().zip(clusters) {
        endpoints.extend(
            nodes.values().map(|n| (endpoint_name(name, &n.member.zone, &n.member.id), endpoint_resource(n))),
        );
        assignments.insert(name.to_owned(), inline_assignment(name, nodes));
        assignments.insert(assignment_name(name), collection_assignment(name, nodes));
    }
    let single = |name: &str, content: Declared| BTreeMap::from([(name.to_owned(), content)]);
    let mut cluster_resources = single(names[0], cluster_resource(names[0]));
    cluster_resources.extend(single(names[1], cluster_resource(names[1])));
    store.declare(Kind::Cluster, cluster_resources, now)
        + store.declare(Kind::Endpoints, assignments, now)
        + store.declare(Kind::Endpoint, endpoints, now)
        + store.declare(Kind::Listener, single(names[0], listener_resource(names[0])), now)
        + store.declare(Kind::Route, single(names[0], route_resource(names[0])), now)
}

/// Declares the endpoints of one cluster again, of which only `changed` (and `gone`, with their last content) differ
/// from what is declared. Returns the number of changed resources.
pub fn declare_changed(
    store: &mut Store,
    cluster: &str,
    nodes: &EndpointsById,
    changed: &[SourcedEndpoint],
    gone: &[SourcedEndpoint],
    now: Nanos,
) -> usize {
    let mut count = 0;
    // A locality is declared before its endpoints.
    count += usize::from(store.set(
        Kind::Endpoints,
        &assignment_name(cluster),
        collection_assignment(cluster, nodes),
        now,
    ));
    let name = |n: &SourcedEndpoint| endpoint_name(cluster, &n.member.zone, &n.member.id);
    let live: BTreeSet<String> = changed.iter().map(name).collect();
    for node in changed {
        count += usize::from(store.set(Kind::Endpoint, &name(node), endpoint_resource(node), now));
    }
    for node in gone.iter().map(name).filter(|n| !live.contains(n)) {
        count += usize::from(store.remove(Kind::Endpoint, &node, now));
    }
    count + usize::from(store.set(Kind::Endpoints, cluster, inline_assignment(cluster, nodes), now))
}

fn declared(content: &str, message: &impl Message) -> Declared {
    Declared { version: version_of(content.as_bytes()), body: Bytes::from(message.encode_to_vec()) }
}

/// The text of an endpoint's whole content, whose digest is the version of its resource.
///
/// Danger: the version is on the wire, and a proxy that reconnects compares it with what it has. This text must stay
/// the same from one version of this program to the next, so it is written out here and does not use the derived
/// `Debug` of types, which changes with the names of their fields and variants.
fn content_text(node: &SourcedEndpoint) -> String {
    let endpoint = &node.member;
    format!(
        "{:?} {:?} {:?} {:?} {} {} {} {} {} {}{}",
        endpoint.id,
        endpoint.addr,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        state_text(endpoint.state),
        endpoint.weight,
        endpoint.started.unix_nanos(),
        node.list_version,
        node.is_from_discovery,
        // The text of an endpoint without overrides is the same as before there were overrides.
        if node.imposed.is_empty() { String::new() } else { format!(" {}", overrides_text(&node.imposed)) }
    )
}

fn state_text(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Draining",
        EndpointState::Gone => "Gone",
    }
}

/// The text of what is imposed. The names in it are part of the format.
fn overrides_text(imposed: &Imposed) -> String {
    let Imposed { out, weights, pins, cold_after, present } = imposed;
    let pins: Vec<String> = pins.iter().map(pin_text).collect();
    format!(
        "Imposed {{ out: {out:?}, weights: {weights:?}, pins: [{}], \
         cold_after: {cold_after:?}, present: {present:?} }}",
        pins.join(", ")
    )
}

fn pin_text(pin: &Pin) -> String {
    let Pin { number, until, class, keys } = pin;
    format!("Pin {{ number: {number:?}, until: {until:?}, class: {class:?}, keys: {keys:?} }}")
}

fn endpoint_resource(node: &SourcedEndpoint) -> Declared {
    declared(&content_text(node), &endpoint(node))
}

fn endpoint(node: &SourcedEndpoint) -> LbEndpoint {
    let m = &node.member;
    let (is_out, factor) = node.imposed.present.unwrap_or((false, 1.0));
    let health = match m.state {
        EndpointState::Ready if is_out => HealthStatus::Draining,
        EndpointState::Ready => HealthStatus::Healthy,
        EndpointState::Draining => HealthStatus::Draining,
        EndpointState::Gone => HealthStatus::Unhealthy,
    };
    let text = |t: &str| value::Kind::StringValue(t.to_owned());
    let fields = [
        ("id", text(&m.id)),
        ("kind", text(&m.kind)),
        ("zone", text(&m.zone)),
        ("cell", value::Kind::NumberValue(f64::from(m.cell))),
        ("weight", value::Kind::NumberValue(m.weight)),
        // Danger: numbers here are doubles, which can't represent Unix time in nanoseconds.
        ("started_ns", text(&m.started.unix_nanos().to_string())),
        ("listed", text(&node.list_version.to_string())),
        ("shared", value::Kind::BoolValue(node.is_from_discovery)),
    ];
    let overrides = override_fields(&node.imposed);
    // Clients of this project take the state in the metadata for the list's, and expire overrides by themselves.
    let list_state = (is_out && m.state == EndpointState::Ready).then(|| ("state", text(m.state.as_str())));
    let fields = fields.into_iter().chain(list_state).chain(overrides);
    let fields = fields.map(|(name, kind)| (name.to_owned(), Value { kind: Some(kind) })).collect();
    LbEndpoint {
        health_status: health as i32,
        metadata: Some(Metadata {
            filter_metadata: [(METADATA.to_owned(), Struct { fields })].into(),
            ..Metadata::default()
        }),
        load_balancing_weight: Some(UInt32Value { value: load_balancing_weight(m.weight * factor) }),
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: m.addr.map(|addr| Address {
                address: Some(address::Address::SocketAddress(SocketAddress {
                    address: addr.ip().to_string(),
                    port_specifier: Some(PortSpecifier::PortValue(addr.port().into())),
                    ..SocketAddress::default()
                })),
            }),
            ..Endpoint::default()
        })),
    }
}

/// The overrides as fields of the metadata. Danger: numbers there are doubles, which can't represent Unix time in
/// nanoseconds.
fn override_fields(imposed: &Imposed) -> Vec<(&'static str, value::Kind)> {
    if imposed.is_empty() {
        return Vec::new();
    }
    let text = value::Kind::StringValue;
    let weights: Vec<String> = imposed.weights.iter().map(|(until, f)| format!("{until}:{f}")).collect();
    vec![
        ("out_ns", text(format!("{}:{}", imposed.out.0, imposed.out.1))),
        ("factors", text(weights.join(","))),
        ("cold_after_ns", text(imposed.cold_after.to_string())),
        // Plain fields always have a JSON form.
        ("pins", text(serde_json::to_string(&imposed.pins).unwrap_or_default())),
    ]
}

/// `load_balancing_weight`, which must be at least 1.
fn load_balancing_weight(weight: f64) -> u32 {
    (weight * WEIGHT_UNIT).round().clamp(1.0, MAX_WEIGHT) as u32
}

/// A locality without its endpoints. Danger: gRPC ignores a locality without a weight, and multiplies its weight with
/// that of each endpoint on the ring; with equal weights of the localities only those of the endpoints matter.
fn locality(zone: &str) -> LocalityLbEndpoints {
    LocalityLbEndpoints {
        locality: Some(Locality { zone: zone.to_owned(), ..Locality::default() }),
        load_balancing_weight: Some(UInt32Value { value: 1 }),
        ..LocalityLbEndpoints::default()
    }
}

fn inline_assignment(cluster: &str, nodes: &EndpointsById) -> Declared {
    // Clients that validate would reject the whole assignment for one endpoint without an address.
    let reachable = || nodes.values().filter(|n| n.member.addr.is_some());
    let mut zones: BTreeMap<&str, Vec<LbEndpoint>> = BTreeMap::new();
    reachable().for_each(|n| zones.entry(&n.member.zone).or_default().push(endpoint(n)));
    let endpoints =
        zones.into_iter().map(|(zone, lb_endpoints)| LocalityLbEndpoints { lb_endpoints, ..locality(zone) });
    let assignment = ClusterLoadAssignment {
        cluster_name: cluster.to_owned(),
        endpoints: endpoints.collect(),
        ..ClusterLoadAssignment::default()
    };
    let contents: Vec<String> = reachable().map(content_text).collect();
    declared(&format!("{cluster:?} {}", contents.join("\n")), &assignment)
}

/// The assignment that refers to collections. It changes when a data centre is added or removed, and not with its
/// endpoints.
fn collection_assignment(cluster: &str, nodes: &EndpointsById) -> Declared {
    let zones: BTreeSet<&str> = nodes.values().map(|n| n.member.zone.as_str()).collect();
    let endpoints = zones.iter().map(|zone| LocalityLbEndpoints {
        lb_config: Some(LbConfig::LedsClusterLocalityConfig(LedsClusterLocalityConfig {
            leds_config: Some(ads()),
            leds_collection_name: collection_name(cluster, zone),
        })),
        ..locality(zone)
    });
    let assignment = ClusterLoadAssignment {
        cluster_name: assignment_name(cluster),
        endpoints: endpoints.collect(),
        ..ClusterLoadAssignment::default()
    };
    declared(&format!("{cluster:?} {zones:?}"), &assignment)
}

fn ads() -> ConfigSource {
    ConfigSource {
        resource_api_version: ApiVersion::V3 as i32,
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    }
}

fn any<M: Message + Name>(message: &M) -> Any {
    Any { type_url: M::type_url(), value: message.encode_to_vec() }
}

fn cluster_resource(name: &str) -> Declared {
    let message = Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(cluster::ClusterDiscoveryType::Type(cluster::DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(cluster::EdsClusterConfig { eds_config: Some(ads()), ..Default::default() }),
        connect_timeout: Some(Duration { seconds: 1, nanos: 0 }),
        // gRPC's round robin ignores the weights of endpoints. On a ring without a hash policy each request goes to a
        // random place (gRFC A42, "Hash policy"), so that weights apply, within a zone and between zones.
        lb_policy: cluster::LbPolicy::RingHash as i32,
        lb_config: Some(cluster::LbConfig::RingHashLbConfig(cluster::RingHashLbConfig {
            minimum_ring_size: Some(UInt64Value { value: MIN_RING_SIZE }),
            ..Default::default()
        })),
        ..Cluster::default()
    };
    declared(&format!("cluster 2 {name:?}"), &message)
}

/// The listener that a proxyless gRPC client resolves, with `api_listener` (gRFC A27, "Listener Proto").
fn listener_resource(name: &str) -> Declared {
    let router = HttpFilter {
        name: "envoy.filters.http.router".into(),
        config_type: Some(ConfigType::TypedConfig(any(&Router::default()))),
        ..HttpFilter::default()
    };
    let manager = HttpConnectionManager {
        stat_prefix: name.to_owned(),
        route_specifier: Some(RouteSpecifier::Rds(Rds {
            config_source: Some(ads()),
            route_config_name: name.to_owned(),
        })),
        http_filters: vec![router],
        ..HttpConnectionManager::default()
    };
    let message = Listener {
        name: name.to_owned(),
        api_listener: Some(ApiListener { api_listener: Some(any(&manager)) }),
        ..Listener::default()
    };
    declared(&format!("listener 1 {name:?}"), &message)
}

fn route_resource(name: &str) -> Declared {
    let to_cluster = Route {
        r#match: Some(RouteMatch {
            path_specifier: Some(PathSpecifier::Prefix(String::new())),
            ..RouteMatch::default()
        }),
        action: Some(Action::Route(RouteAction {
            cluster_specifier: Some(ClusterSpecifier::Cluster(name.to_owned())),
            ..RouteAction::default()
        })),
        ..Route::default()
    };
    let message = RouteConfiguration {
        name: name.to_owned(),
        virtual_hosts: vec![VirtualHost {
            name: name.to_owned(),
            domains: vec!["*".into()],
            routes: vec![to_cluster],
            ..VirtualHost::default()
        }],
        ..RouteConfiguration::default()
    };
    declared(&format!("route 1 {name:?}"), &message)
}
