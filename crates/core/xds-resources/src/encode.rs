//! Nodes as xDS resources.

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
use rushquay_endpoints::{EndpointState, Imposed, SourcedEndpoint};
use rushquay_xds::{version_of, Declared, Kind, Nanos, Store};
use std::collections::{BTreeMap, BTreeSet};

/// Which clusters the nodes make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterNames {
    /// Name of the cluster of cache nodes, and of the listener and the route that lead to it.
    pub cluster: String,
    /// Name of the origin's cluster.
    pub origin: String,
}

/// The nodes of one cluster by id.
pub type EndpointsById = BTreeMap<String, SourcedEndpoint>;

/// Declares all resources for two clusters: cache nodes and origin. Returns how many changed.
pub fn declare(store: &mut Store, shape: &ClusterNames, clusters: [&EndpointsById; 2], now: Nanos) -> usize {
    let names = [shape.cluster.as_str(), shape.origin.as_str()];
    let mut endpoints = BTreeMap::new();
    let mut assignments = BTreeMap::new();
    for (name, nodes) in names.into_iter().zip(clusters) {
        endpoints.extend(nodes.values().map(|n| (endpoint_name(name, &n.member.zone, &n.member.id), one(n))));
        assignments.insert(name.to_owned(), inline(name, nodes));
        assignments.insert(assignment_name(name), by_collections(name, nodes));
    }
    let all = |name: &str, content: Declared| BTreeMap::from([(name.to_owned(), content)]);
    let mut of_clusters = all(names[0], cluster_of(names[0]));
    of_clusters.extend(all(names[1], cluster_of(names[1])));
    store.declare(Kind::Cluster, of_clusters, now)
        + store.declare(Kind::Endpoints, assignments, now)
        + store.declare(Kind::Endpoint, endpoints, now)
        + store.declare(Kind::Listener, all(names[0], listener(names[0])), now)
        + store.declare(Kind::Route, all(names[0], route(names[0])), now)
}

/// Declares the nodes of one cluster again, of which only `changed` (and `gone`, as they were) differ from what
/// stands. Returns how many resources changed.
pub fn declare_changed(
    store: &mut Store,
    cluster: &str,
    nodes: &EndpointsById,
    changed: &[SourcedEndpoint],
    gone: &[SourcedEndpoint],
    now: Nanos,
) -> usize {
    let mut count = 0;
    // A locality is there before what stands in it.
    count += usize::from(store.set(
        Kind::Endpoints,
        &assignment_name(cluster),
        by_collections(cluster, nodes),
        now,
    ));
    let name = |n: &SourcedEndpoint| endpoint_name(cluster, &n.member.zone, &n.member.id);
    let live: BTreeSet<String> = changed.iter().map(name).collect();
    for node in changed {
        count += usize::from(store.set(Kind::Endpoint, &name(node), one(node), now));
    }
    for node in gone.iter().map(name).filter(|n| !live.contains(n)) {
        count += usize::from(store.remove(Kind::Endpoint, &node, now));
    }
    count + usize::from(store.set(Kind::Endpoints, cluster, inline(cluster, nodes), now))
}

fn declared(content: &str, message: &impl Message) -> Declared {
    Declared { version: version_of(content.as_bytes()), body: Bytes::from(message.encode_to_vec()) }
}

/// All that an endpoint says, in one order.
fn content(node: &SourcedEndpoint) -> String {
    let m = &node.member;
    format!(
        "{:?} {:?} {:?} {:?} {} {:?} {} {} {} {}{}",
        m.id,
        m.addr,
        m.zone,
        m.kind,
        m.cell,
        m.state,
        m.weight,
        m.started,
        node.listed,
        node.shared,
        // Digests of nodes on which nothing is imposed are what they were.
        if node.imposed.is_empty() { String::new() } else { format!(" {:?}", node.imposed) }
    )
}

fn one(node: &SourcedEndpoint) -> Declared {
    declared(&content(node), &endpoint(node))
}

fn endpoint(node: &SourcedEndpoint) -> LbEndpoint {
    let m = &node.member;
    let (out, factor) = node.imposed.present.unwrap_or((false, 1.0));
    let health = match m.state {
        EndpointState::Ready if out => HealthStatus::Draining,
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
        // Danger: numbers here are doubles, which don't hold Unix time in nanoseconds.
        ("started_ns", text(&m.started.to_string())),
        ("listed", text(&node.listed.to_string())),
        ("shared", value::Kind::BoolValue(node.shared)),
    ];
    let imposed = imposed(&node.imposed);
    // Clients of this project take the state below for the list's, and let what is imposed end by themselves.
    let own = (out && m.state == EndpointState::Ready).then(|| ("state", text(m.state.as_str())));
    let fields = fields.into_iter().chain(own).chain(imposed);
    let fields = fields.map(|(name, kind)| (name.to_owned(), Value { kind: Some(kind) })).collect();
    LbEndpoint {
        health_status: health as i32,
        metadata: Some(Metadata {
            filter_metadata: [(METADATA.to_owned(), Struct { fields })].into(),
            ..Metadata::default()
        }),
        load_balancing_weight: Some(UInt32Value { value: weight(m.weight * factor) }),
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

/// What is imposed, as fields of the metadata. Danger: numbers there are doubles, which don't hold Unix time in
/// nanoseconds.
fn imposed(imposed: &Imposed) -> Vec<(&'static str, value::Kind)> {
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

/// `load_balancing_weight`, which must be 1 at the least.
fn weight(weight: f64) -> u32 {
    (weight * WEIGHT_UNIT).round().clamp(1.0, 16_000_000.0) as u32
}

/// A locality without its endpoints. Danger: gRPC passes over one without a weight, and multiplies its weight with
/// that of each endpoint on the ring; where all are alike, what counts is the endpoints' own.
fn locality(zone: &str) -> LocalityLbEndpoints {
    LocalityLbEndpoints {
        locality: Some(Locality { zone: zone.to_owned(), ..Locality::default() }),
        load_balancing_weight: Some(UInt32Value { value: 1 }),
        ..LocalityLbEndpoints::default()
    }
}

fn inline(cluster: &str, nodes: &EndpointsById) -> Declared {
    // An endpoint that can't be connected to would spoil the whole for clients that check.
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
    let told: Vec<String> = reachable().map(content).collect();
    declared(&format!("{cluster:?} {}", told.join("\n")), &assignment)
}

/// Changes when a data centre comes or goes, and not with its nodes.
fn by_collections(cluster: &str, nodes: &EndpointsById) -> Declared {
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

fn cluster_of(name: &str) -> Declared {
    let message = Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(cluster::ClusterDiscoveryType::Type(cluster::DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(cluster::EdsClusterConfig { eds_config: Some(ads()), ..Default::default() }),
        connect_timeout: Some(Duration { seconds: 1, nanos: 0 }),
        // Round robin passes over the endpoints' weights in gRPC. On a ring without a hash policy each request goes to a
        // random place (gRFC A42, "Hash policy"), so that weights are obeyed, within a zone and between them.
        lb_policy: cluster::LbPolicy::RingHash as i32,
        lb_config: Some(cluster::LbConfig::RingHashLbConfig(cluster::RingHashLbConfig {
            minimum_ring_size: Some(UInt64Value { value: 1024 }),
            ..Default::default()
        })),
        ..Cluster::default()
    };
    declared(&format!("cluster 2 {name:?}"), &message)
}

/// What a proxyless gRPC client resolves: a listener with `api_listener` (gRFC A27, "Listener Proto").
fn listener(name: &str) -> Declared {
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

fn route(name: &str) -> Declared {
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
