//! Reads `Cluster`.

use crate::common::{host, nanos, source, From, Own};
use crate::endpoints::{assignment, named};
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

/// Which addresses of a name count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// Those of version 4 alone.
    V4,
    /// Those of version 6 alone.
    V6,
    /// Those of version 6, and where there are none those of version 4 (`AUTO`).
    V6First,
    /// Those of version 4, and where there are none those of version 6.
    V4First,
    /// All.
    All,
}

/// Where a cluster's endpoints come from.
#[derive(Clone, Debug)]
pub enum Members {
    /// They stand in the cluster.
    Static(Assignment),
    /// An assignment of this name.
    Eds {
        /// `service_name`, or the cluster's own.
        service: Arc<str>,
        /// Where it comes from.
        from: From,
    },
    /// Their names are looked up.
    Dns {
        /// The names, and when to look.
        lookups: Lookups,
        /// Which addresses count.
        family: Family,
    },
    /// They are those of other clusters, the first preferred.
    Aggregate(Vec<Arc<str>>),
}

/// A cluster.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Its name.
    pub name: Arc<str>,
    /// Where its endpoints come from.
    pub members: Members,
    /// How they share the load.
    pub rules: ClusterRules,
    /// How long a connection may take to come up, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Limits of default and high importance; `None`: the proxy's own.
    pub limits: Option<[Thresholds; 2]>,
    /// Most connections to one endpoint.
    pub node_connections: u32,
    /// Idle connections close after this time; `None`: as the settings say.
    pub idle: Option<Nanos>,
    /// All connections are made anew when an endpoint comes or goes.
    pub renew: bool,
    /// The cluster whose endpoints are the origin behind this one (metadata `rushquay.origin`).
    pub origin: Option<Arc<str>>,
    /// The name of the group that drops repeats of keyed requests (metadata `rushquay.dedup_group`), or the cluster's own.
    pub group: Arc<str>,
    /// HTTP/2 is to be spoken: good for control services alone.
    pub http2: bool,
    /// TLS is to be spoken: good for control services alone.
    pub tls: bool,
}

/// Reads a cluster.
pub fn cluster(told: &Proto) -> Result<Cluster, Refused> {
    if told.name.is_empty() {
        return Err(Refused::at("name", "empty"));
    }
    let own = Own::of(told.metadata.as_ref(), &["origin", "dedup_group"])?;
    let connect = told.connect_timeout.as_ref().map_or(Ok(5 * SECOND), |d| nanos("connect_timeout", d))?;
    if connect == 0 {
        return Err(Refused::at("connect_timeout", "0; expected a time over 0"));
    }
    let (http2, idle) = protocols(told)?;
    let (limits, node_connections) = limits(told)?;
    let common = told.common_lb_config.as_ref();
    Ok(Cluster {
        name: told.name.as_str().into(),
        members: members(told)?,
        rules: rules(told)?,
        connect_timeout: connect,
        limits,
        node_connections,
        idle,
        renew: common.is_some_and(|c| c.close_connections_on_host_set_change),
        origin: own.text("origin")?.map(Into::into),
        group: own.text("dedup_group")?.unwrap_or(&told.name).into(),
        http2,
        tls: told.transport_socket.as_ref().is_some_and(|s| s.name != "envoy.transport_sockets.raw_buffer"),
    })
}

impl Cluster {
    /// Whether nodes can be reached as it says.
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

fn members(told: &Proto) -> Result<Members, Refused> {
    let loads = || told.load_assignment.as_ref().ok_or_else(|| Refused::at("load_assignment", "missing"));
    let below = |r: Refused| r.below("load_assignment");
    let kind = match &told.cluster_discovery_type {
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
            if read.clusters.is_empty() || read.clusters.contains(&told.name) {
                let why = "expected names of other clusters, one at least";
                return Err(Refused::at("cluster_type.typed_config.clusters", why));
            }
            return Ok(Members::Aggregate(read.clusters.iter().map(|c| c.as_str().into()).collect()));
        }
    };
    match kind {
        DiscoveryType::Static => Ok(Members::Static(assignment(loads()?).map_err(below)?)),
        DiscoveryType::StrictDns => {
            let (localities, rules) = named(loads()?).map_err(below)?;
            let rate = |path, told: Option<_>, usual| told.map_or(Ok(usual), |d| nanos(path, d));
            let refresh = rate("dns_refresh_rate", told.dns_refresh_rate.as_ref(), 5 * SECOND)?;
            let failure = told.dns_failure_refresh_rate.as_ref();
            let base = failure.and_then(|f| f.base_interval.as_ref());
            let base = rate("dns_failure_refresh_rate.base_interval", base, refresh)?;
            let most = failure.and_then(|f| f.max_interval.as_ref());
            let most = rate("dns_failure_refresh_rate.max_interval", most, base.saturating_mul(10))?;
            if refresh < SECOND / 1000 || base < SECOND / 1000 {
                return Err(Refused::at("dns_refresh_rate", "expected 1 ms at least"));
            }
            let family = match DnsLookupFamily::try_from(told.dns_lookup_family) {
                Ok(DnsLookupFamily::Auto) => Family::V6First,
                Ok(DnsLookupFamily::V4Only) => Family::V4,
                Ok(DnsLookupFamily::V6Only) => Family::V6,
                Ok(DnsLookupFamily::V4Preferred) => Family::V4First,
                Ok(DnsLookupFamily::All) => Family::All,
                Err(_) => return Err(Refused::at("dns_lookup_family", "not known here")),
            };
            let rates = Rates { refresh, failure: (base, most) };
            Ok(Members::Dns { lookups: Lookups::new(localities, rules, rates), family })
        }
        DiscoveryType::Eds => {
            let eds = told.eds_cluster_config.as_ref();
            let eds = eds.ok_or_else(|| Refused::at("eds_cluster_config", "missing"))?;
            let from = eds.eds_config.as_ref();
            let from = from.ok_or_else(|| Refused::at("eds_cluster_config.eds_config", "missing"))?;
            let from = source(from).map_err(|r| r.below("eds_cluster_config.eds_config"))?;
            let service = if eds.service_name.is_empty() { &told.name } else { &eds.service_name };
            Ok(Members::Eds { service: service.as_str().into(), from })
        }
        DiscoveryType::LogicalDns | DiscoveryType::OriginalDst => {
            Err(Refused::at("type", format!("{} is not obeyed here", kind.as_str_name())))
        }
    }
}

fn rules(told: &Proto) -> Result<ClusterRules, Refused> {
    let mut rules = ClusterRules::default();
    let policy =
        LbPolicy::try_from(told.lb_policy).map_err(|_| Refused::at("lb_policy", "not known here"))?;
    if let Some(policy) = &told.load_balancing_policy {
        // It goes before lb_policy and its settings.
        rules.sharing.by_locality = by_locality(policy)?;
    } else if policy == LbPolicy::LoadBalancingPolicyConfig {
        return Err(Refused::at("load_balancing_policy", "missing"));
    }
    let Some(common) = &told.common_lb_config else { return Ok(rules) };
    let sharing: &mut Sharing = &mut rules.sharing;
    if let Some(percent) = &common.healthy_panic_threshold {
        if !(0.0..=100.0).contains(&percent.value) {
            return Err(Refused::at("common_lb_config.healthy_panic_threshold", "expected 0 to 100"));
        }
        // Envoy takes whole percent.
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

/// Whether the first policy that is known lets localities share by their weights.
fn by_locality(policy: &LoadBalancingPolicy) -> Result<bool, Refused> {
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
            // What it picks with within a locality is the decision module's.
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

fn limits(told: &Proto) -> Result<Limits, Refused> {
    let Some(breakers) = &told.circuit_breakers else { return Ok((None, u32::MAX)) };
    let mut limits = [Thresholds::NONE; 2];
    let at = |i| format!("circuit_breakers.thresholds[{i}]");
    let mut seen = [false; 2];
    for (i, told) in breakers.thresholds.iter().enumerate() {
        let importance = match RoutingPriority::try_from(told.priority) {
            Ok(priority) => priority as usize,
            Err(_) => return Err(Refused::at(format!("{}.priority", at(i)), "not known here")),
        };
        if std::mem::replace(&mut seen[importance], true) {
            // Danger: Envoy takes the first of two, and others the last.
            return Err(Refused::at(format!("{}.priority", at(i)), "stands twice"));
        }
        limits[importance] = thresholds(told).map_err(|r| r.below(at(i)))?;
    }
    let mut node = u32::MAX;
    for (i, told) in breakers.per_host_thresholds.iter().enumerate() {
        let at = format!("circuit_breakers.per_host_thresholds[{i}]");
        let others =
            told.max_requests.is_some() || told.max_retries.is_some() || told.max_pending_requests.is_some();
        if others || told.retry_budget.is_some() || told.priority != 0 || i > 0 {
            return Err(Refused::at(at, "only max_connections of the default priority is obeyed"));
        }
        node = told.max_connections.as_ref().map_or(u32::MAX, |v| v.value);
    }
    Ok(((!breakers.thresholds.is_empty()).then_some(limits), node))
}

fn thresholds(told: &ProtoThresholds) -> Result<Thresholds, Refused> {
    let usual = Thresholds::default();
    let value = |v: &Option<envoy_types::pb::google::protobuf::UInt32Value>, usual| {
        v.as_ref().map_or(usual, |v| v.value)
    };
    let budget = told.retry_budget.as_ref().map(|b| {
        let percent = b.budget_percent.as_ref().map_or(20.0, |p| p.value);
        if !(0.0..=100.0).contains(&percent) {
            return Err(Refused::at("retry_budget.budget_percent", "expected 0 to 100"));
        }
        Ok(RetryBudget { percent, min_concurrency: value(&b.min_retry_concurrency, 3) })
    });
    Ok(Thresholds {
        connections: value(&told.max_connections, usual.connections),
        pending: value(&told.max_pending_requests, usual.pending),
        requests: value(&told.max_requests, usual.requests),
        retries: value(&told.max_retries, usual.retries),
        budget: budget.transpose()?,
    })
}

/// Whether HTTP/2 is wanted, and after which time idle connections close.
fn protocols(told: &Proto) -> Result<(bool, Option<Nanos>), Refused> {
    let mut http2 = told.http2_protocol_options.is_some();
    let mut idle = told.common_http_protocol_options.as_ref().and_then(|c| c.idle_timeout);
    for (name, any) in &told.typed_extension_protocol_options {
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

/// The addresses of a static cluster's endpoints, by name or number; for control services.
pub fn addresses(told: &Proto) -> Result<Vec<(String, u16)>, Refused> {
    let mut found = Vec::new();
    let endpoints = told.load_assignment.iter().flat_map(|a| &a.endpoints).flat_map(|l| &l.lb_endpoints);
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
