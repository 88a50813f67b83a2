//! Parses `Cluster`.

use crate::common::{host, nanos, source, ProjectMetadata, ResourceSource};
use crate::endpoints::{assignment, named_assignment};
use crate::pb::envoy::config::cluster::v3::{
    circuit_breakers::Thresholds as ProtoThresholds, cluster::common_lb_config::LocalityConfigSpecifier,
    cluster::ClusterDiscoveryType, cluster::DiscoveryType, cluster::DnsLookupFamily, cluster::LbPolicy,
    Cluster as Proto, LoadBalancingPolicy,
};
use crate::pb::envoy::config::core::v3::RoutingPriority;
use crate::pb::envoy::extensions::clusters::aggregate::v3::ClusterConfig;
use crate::pb::envoy::extensions::load_balancing_policies::common::v3::{
    locality_lb_config::LocalityConfigSpecifier as InPolicy, LocalityLbConfig,
};
use crate::pb::envoy::extensions::load_balancing_policies::{
    least_request::v3::LeastRequest, maglev::v3::Maglev, random::v3::Random, ring_hash::v3::RingHash,
    round_robin::v3::RoundRobin, wrr_locality::v3::WrrLocality,
};
use crate::pb::envoy::extensions::upstreams::http::v3::{
    http_protocol_options::{explicit_http_config::ProtocolConfig, UpstreamProtocolOptions},
    HttpProtocolOptions,
};
use crate::wire::{any_name, Refused};
use prost::Message as _;
use rushquay_load_assignment::dns::{Lookups, Rates};
use rushquay_load_assignment::effective::Sharing;
use rushquay_load_assignment::{Assignment, ClusterRules, Nanos, RetryBudget, Thresholds};
use std::sync::Arc;

const SECOND: Nanos = 1_000_000_000;

/// Which addresses of a DNS name are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// IPv4 only.
    V4,
    /// IPv6 only.
    V6,
    /// IPv6, or IPv4 if there are no IPv6 addresses (`AUTO`).
    V6First,
    /// IPv4, or IPv6 if there are no IPv4 addresses.
    V4First,
    /// All addresses.
    All,
}

/// Where a cluster's endpoints come from.
#[derive(Clone, Debug)]
pub enum Members {
    /// They are part of the cluster resource.
    Static(Assignment),
    /// They come from a `ClusterLoadAssignment` (EDS).
    Eds {
        /// The assignment's name: `service_name`, or the cluster's name if that is empty.
        service: Arc<str>,
        /// The source of the assignment.
        from: ResourceSource,
    },
    /// Their host names are resolved (`STRICT_DNS`).
    Dns {
        /// The host names, and when to resolve them.
        lookups: Lookups,
        /// Which addresses are used.
        family: Family,
    },
    /// An aggregate of other clusters, in order of preference.
    Aggregate(Vec<Arc<str>>),
}

/// A parsed cluster.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Its name.
    pub name: Arc<str>,
    /// Where its endpoints come from.
    pub members: Members,
    /// How the endpoints share the load.
    pub rules: ClusterRules,
    /// The connect timeout, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Circuit breaker thresholds of default and high priority; `None`: the proxy's own limits.
    pub limits: Option<[Thresholds; 2]>,
    /// Maximum number of connections to one endpoint.
    pub node_connections: u32,
    /// Idle timeout of connections, in nanoseconds; `None`: as in the proxy's settings.
    pub idle: Option<Nanos>,
    /// Whether all connections are re-established when an endpoint is added or removed.
    pub renew: bool,
    /// The cluster whose endpoints are the origin behind this one (metadata `rushquay.origin`).
    pub origin: Option<Arc<str>>,
    /// The deduplication group for keyed requests (metadata `rushquay.dedup_group`); by default the cluster's name.
    pub group: Arc<str>,
    /// Whether it uses HTTP/2, which is supported for control services only.
    pub http2: bool,
    /// Whether it uses TLS, which is supported for control services only.
    pub tls: bool,
}

/// Parses a cluster.
pub fn cluster(proto: &Proto) -> Result<Cluster, Refused> {
    if proto.name.is_empty() {
        return Err(Refused::at("name", "empty"));
    }
    let metadata = ProjectMetadata::parse(proto.metadata.as_ref(), &["origin", "dedup_group"])?;
    let connect = proto.connect_timeout.as_ref().map_or(Ok(5 * SECOND), |d| nanos("connect_timeout", d))?;
    if connect == 0 {
        return Err(Refused::at("connect_timeout", "0; expected a time over 0"));
    }
    let (http2, idle) = protocols(proto)?;
    let (limits, node_connections) = limits(proto)?;
    let common = proto.common_lb_config.as_ref();
    Ok(Cluster {
        name: proto.name.as_str().into(),
        members: members(proto)?,
        rules: rules(proto)?,
        connect_timeout: connect,
        limits,
        node_connections,
        idle,
        renew: common.is_some_and(|c| c.close_connections_on_host_set_change),
        origin: metadata.text("origin")?.map(Into::into),
        group: metadata.text("dedup_group")?.unwrap_or(&proto.name).into(),
        http2,
        tls: proto.transport_socket.as_ref().is_some_and(|s| s.name != "envoy.transport_sockets.raw_buffer"),
    })
}

impl Cluster {
    /// Returns the cluster if its protocol is supported for cache nodes: HTTP/1.1 without TLS.
    pub fn usable(self) -> Result<Self, Refused> {
        match (self.http2, self.tls) {
            (true, _) => {
                Err(Refused::at("typed_extension_protocol_options", "only HTTP/1.1 is spoken to nodes"))
            }
            (_, true) => Err(Refused::at("transport_socket", "TLS is not spoken to nodes")),
            _ => Ok(self),
        }
    }
}

fn members(proto: &Proto) -> Result<Members, Refused> {
    let load_assignment =
        || proto.load_assignment.as_ref().ok_or_else(|| Refused::at("load_assignment", "missing"));
    let below = |r: Refused| r.below("load_assignment");
    let kind = match &proto.cluster_discovery_type {
        None => DiscoveryType::Static,
        Some(ClusterDiscoveryType::Type(kind)) => DiscoveryType::try_from(*kind)
            .map_err(|_| Refused::at("type", format!("{kind} is not known here")))?,
        Some(ClusterDiscoveryType::ClusterType(custom)) => {
            let any = custom.typed_config.as_ref();
            let any = any.ok_or_else(|| Refused::at("cluster_type.typed_config", "missing"))?;
            if any_name(&any.type_url) != "envoy.extensions.clusters.aggregate.v3.ClusterConfig" {
                return Err(Refused::at("cluster_type", format!("{} is not read here", any.type_url)));
            }
            let read = ClusterConfig::decode(any.value.as_slice());
            let read = read.map_err(|e| Refused::at("cluster_type.typed_config", e.to_string()))?;
            if read.clusters.is_empty() || read.clusters.contains(&proto.name) {
                let why = "expected names of other clusters, one at least";
                return Err(Refused::at("cluster_type.typed_config.clusters", why));
            }
            return Ok(Members::Aggregate(read.clusters.iter().map(|c| c.as_str().into()).collect()));
        }
    };
    match kind {
        DiscoveryType::Static => Ok(Members::Static(assignment(load_assignment()?).map_err(below)?)),
        DiscoveryType::StrictDns => {
            let (localities, rules) = named_assignment(load_assignment()?).map_err(below)?;
            let rate = |path, proto: Option<_>, default| proto.map_or(Ok(default), |d| nanos(path, d));
            let refresh = rate("dns_refresh_rate", proto.dns_refresh_rate.as_ref(), 5 * SECOND)?;
            let failure = proto.dns_failure_refresh_rate.as_ref();
            let base = failure.and_then(|f| f.base_interval.as_ref());
            let base = rate("dns_failure_refresh_rate.base_interval", base, refresh)?;
            let max_interval = failure.and_then(|f| f.max_interval.as_ref());
            let max_interval =
                rate("dns_failure_refresh_rate.max_interval", max_interval, base.saturating_mul(10))?;
            if refresh < SECOND / 1000 || base < SECOND / 1000 {
                return Err(Refused::at("dns_refresh_rate", "expected 1 ms at least"));
            }
            let family = match DnsLookupFamily::try_from(proto.dns_lookup_family) {
                Ok(DnsLookupFamily::Auto) => Family::V6First,
                Ok(DnsLookupFamily::V4Only) => Family::V4,
                Ok(DnsLookupFamily::V6Only) => Family::V6,
                Ok(DnsLookupFamily::V4Preferred) => Family::V4First,
                Ok(DnsLookupFamily::All) => Family::All,
                Err(_) => return Err(Refused::at("dns_lookup_family", "not known here")),
            };
            let rates = Rates { refresh, failure: (base, max_interval) };
            Ok(Members::Dns { lookups: Lookups::new(localities, rules, rates), family })
        }
        DiscoveryType::Eds => {
            let eds = proto.eds_cluster_config.as_ref();
            let eds = eds.ok_or_else(|| Refused::at("eds_cluster_config", "missing"))?;
            let from = eds.eds_config.as_ref();
            let from = from.ok_or_else(|| Refused::at("eds_cluster_config.eds_config", "missing"))?;
            let from = source(from).map_err(|r| r.below("eds_cluster_config.eds_config"))?;
            let service = if eds.service_name.is_empty() { &proto.name } else { &eds.service_name };
            Ok(Members::Eds { service: service.as_str().into(), from })
        }
        DiscoveryType::LogicalDns | DiscoveryType::OriginalDst => {
            Err(Refused::at("type", format!("{} is not obeyed here", kind.as_str_name())))
        }
    }
}

fn rules(proto: &Proto) -> Result<ClusterRules, Refused> {
    let mut rules = ClusterRules::default();
    let policy =
        LbPolicy::try_from(proto.lb_policy).map_err(|_| Refused::at("lb_policy", "not known here"))?;
    if let Some(policy) = &proto.load_balancing_policy {
        // It takes precedence over lb_policy and its settings.
        rules.sharing.by_locality = uses_locality_weights(policy)?;
    } else if policy == LbPolicy::LoadBalancingPolicyConfig {
        return Err(Refused::at("load_balancing_policy", "missing"));
    }
    let Some(common) = &proto.common_lb_config else { return Ok(rules) };
    let sharing: &mut Sharing = &mut rules.sharing;
    if let Some(percent) = &common.healthy_panic_threshold {
        if !(0.0..=100.0).contains(&percent.value) {
            return Err(Refused::at("common_lb_config.healthy_panic_threshold", "expected 0 to 100"));
        }
        // Envoy truncates to whole percent.
        sharing.panic = percent.value.floor();
    }
    if let Some(window) = &common.update_merge_window {
        rules.merge_window = nanos("common_lb_config.update_merge_window", window)?;
    }
    match &common.locality_config_specifier {
        Some(LocalityConfigSpecifier::LocalityWeightedLbConfig(_)) => sharing.by_locality = true,
        Some(LocalityConfigSpecifier::ZoneAwareLbConfig(zone)) => {
            sharing.fail_on_panic = zone.fail_traffic_on_panic;
        }
        None => {}
    }
    Ok(rules)
}

/// Whether the first policy with a `typed_config` uses locality-weighted load balancing.
fn uses_locality_weights(policy: &LoadBalancingPolicy) -> Result<bool, Refused> {
    let at = "load_balancing_policy.policies";
    let first = policy.policies.iter().find_map(|p| p.typed_extension_config.as_ref()?.typed_config.as_ref());
    let any = first.ok_or_else(|| Refused::at(at, "expected one with a typed_config"))?;
    let wrong = |e: prost::DecodeError| Refused::at(at, e.to_string());
    let weighted = |config: Option<LocalityLbConfig>| {
        matches!(
            config.and_then(|c| c.locality_config_specifier),
            Some(InPolicy::LocalityWeightedLbConfig(_))
        )
    };
    let body = any.value.as_slice();
    match any_name(&any.type_url).rsplit('.').next().unwrap_or_default() {
        "WrrLocality" => {
            // The decision module, not this policy, picks the endpoint within a locality.
            WrrLocality::decode(body).map_err(wrong)?;
            Ok(true)
        }
        "RoundRobin" => RoundRobin::decode(body).map(|p| weighted(p.locality_lb_config)).map_err(wrong),
        "LeastRequest" => LeastRequest::decode(body).map(|p| weighted(p.locality_lb_config)).map_err(wrong),
        "Random" => Random::decode(body).map(|p| weighted(p.locality_lb_config)).map_err(wrong),
        "RingHash" => RingHash::decode(body).map(|p| p.locality_weighted_lb_config.is_some()).map_err(wrong),
        "Maglev" => Maglev::decode(body).map(|p| p.locality_weighted_lb_config.is_some()).map_err(wrong),
        "ClientSideWeightedRoundRobin" => Ok(false),
        other => Err(Refused::at(at, format!("{other} is not a policy that is known here"))),
    }
}

type Limits = (Option<[Thresholds; 2]>, u32);

fn limits(proto: &Proto) -> Result<Limits, Refused> {
    let Some(breakers) = &proto.circuit_breakers else { return Ok((None, u32::MAX)) };
    let mut limits = [Thresholds::NONE; 2];
    let at = |i| format!("circuit_breakers.thresholds[{i}]");
    let mut seen = [false; 2];
    for (i, proto) in breakers.thresholds.iter().enumerate() {
        let importance = match RoutingPriority::try_from(proto.priority) {
            Ok(priority) => priority as usize,
            Err(_) => return Err(Refused::at(format!("{}.priority", at(i)), "not known here")),
        };
        if std::mem::replace(&mut seen[importance], true) {
            // Danger: of two entries Envoy uses the first, other implementations the last.
            return Err(Refused::at(format!("{}.priority", at(i)), "stands twice"));
        }
        limits[importance] = thresholds(proto).map_err(|r| r.below(at(i)))?;
    }
    let mut node = u32::MAX;
    for (i, proto) in breakers.per_host_thresholds.iter().enumerate() {
        let at = format!("circuit_breakers.per_host_thresholds[{i}]");
        let others = proto.max_requests.is_some()
            || proto.max_retries.is_some()
            || proto.max_pending_requests.is_some();
        if others || proto.retry_budget.is_some() || proto.priority != 0 || i > 0 {
            return Err(Refused::at(at, "only max_connections of the default priority is obeyed"));
        }
        node = proto.max_connections.as_ref().map_or(u32::MAX, |v| v.value);
    }
    Ok(((!breakers.thresholds.is_empty()).then_some(limits), node))
}

fn thresholds(proto: &ProtoThresholds) -> Result<Thresholds, Refused> {
    let default = Thresholds::default();
    let value = |v: &Option<envoy_types::pb::google::protobuf::UInt32Value>, default| {
        v.as_ref().map_or(default, |v| v.value)
    };
    let budget = proto.retry_budget.as_ref().map(|b| {
        let percent = b.budget_percent.as_ref().map_or(20.0, |p| p.value);
        if !(0.0..=100.0).contains(&percent) {
            return Err(Refused::at("retry_budget.budget_percent", "expected 0 to 100"));
        }
        Ok(RetryBudget { percent, min_concurrency: value(&b.min_retry_concurrency, 3) })
    });
    Ok(Thresholds {
        connections: value(&proto.max_connections, default.connections),
        pending: value(&proto.max_pending_requests, default.pending),
        requests: value(&proto.max_requests, default.requests),
        retries: value(&proto.max_retries, default.retries),
        budget: budget.transpose()?,
    })
}

/// Whether the cluster uses HTTP/2, and its idle timeout.
fn protocols(proto: &Proto) -> Result<(bool, Option<Nanos>), Refused> {
    let mut http2 = proto.http2_protocol_options.is_some();
    let mut idle = proto.common_http_protocol_options.as_ref().and_then(|c| c.idle_timeout);
    for (name, any) in &proto.typed_extension_protocol_options {
        let at = format!("typed_extension_protocol_options.{name}");
        if any_name(&any.type_url) != "envoy.extensions.upstreams.http.v3.HttpProtocolOptions" {
            return Err(Refused::at(at, format!("{} is not read here", any.type_url)));
        }
        let read = HttpProtocolOptions::decode(any.value.as_slice());
        let read = read.map_err(|e| Refused::at(&at, e.to_string()))?;
        idle = read.common_http_protocol_options.and_then(|c| c.idle_timeout).or(idle);
        match read.upstream_protocol_options {
            Some(UpstreamProtocolOptions::ExplicitHttpConfig(explicit)) => match explicit.protocol_config {
                Some(ProtocolConfig::HttpProtocolOptions(_)) => http2 = false,
                Some(ProtocolConfig::Http2ProtocolOptions(_)) => http2 = true,
                _ => return Err(Refused::at(at, "expected http_protocol_options or http2_protocol_options")),
            },
            None => {}
        }
    }
    let idle = idle.map(|d| nanos("common_http_protocol_options.idle_timeout", &d)).transpose()?;
    Ok((http2, idle.filter(|i| *i > 0)))
}

/// The hosts (names or IP addresses) and ports of a static cluster's endpoints; used for control services.
pub fn addresses(proto: &Proto) -> Result<Vec<(String, u16)>, Refused> {
    let mut found = Vec::new();
    let endpoints = proto.load_assignment.iter().flat_map(|a| &a.endpoints).flat_map(|l| &l.lb_endpoints);
    for endpoint in endpoints {
        use crate::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
        let Some(HostIdentifier::Endpoint(endpoint)) = &endpoint.host_identifier else { continue };
        found.push(host("load_assignment.endpoints.address", endpoint.address.as_ref())?);
    }
    match found.is_empty() {
        true => Err(Refused::at("load_assignment", "expected one endpoint at least")),
        false => Ok(found),
    }
}
