//! Parses `ClusterLoadAssignment`.

use crate::common::{address, host, nanos, ProjectMetadata};
use crate::pb::envoy::config::core::v3::HealthStatus;
use crate::pb::envoy::config::endpoint::v3::{
    cluster_load_assignment::policy::DropOverload, lb_endpoint::HostIdentifier, ClusterLoadAssignment,
    Endpoint as Proto, LbEndpoint, LocalityLbEndpoints,
};
use crate::pb::envoy::r#type::v3::{fractional_percent::DenominatorType, FractionalPercent};
use crate::wire::Refused;
use rushquay_load_assignment::dns::{Named, NamedLocality};
use rushquay_load_assignment::{
    Assignment, Endpoint, Health, Locality, LocalityName, Overload, Place, Rules,
};
use std::num::NonZeroU32;
use std::sync::Arc;

/// The fields of an endpoint's metadata under this project's key. Those that are not read here come from this project's
/// control service, which also sends them in Envoy's own fields.
const METADATA_FIELDS: [&str; 13] = [
    "id",
    "kind",
    "cell",
    "zone",
    "started_ns",
    "weight",
    "state",
    "listed",
    "shared",
    "out_ns",
    "factors",
    "cold_after_ns",
    "pins",
];

/// Parses an assignment whose endpoints are given by IP address.
pub fn assignment(proto: &ClusterLoadAssignment) -> Result<Assignment, Refused> {
    let localities = read_localities(proto, |path, l| {
        let endpoints = l.lb_endpoints.iter().enumerate();
        let endpoints = endpoints.map(|(j, e)| {
            let at = format!("{path}.lb_endpoints[{j}]");
            addressed_endpoint(e, l.locality.as_ref().map_or("", |l| l.zone.as_str()))
                .map_err(|r| r.below(at))
        });
        let endpoints = endpoints.collect::<Result<_, _>>()?;
        Ok(Locality { name: name(l), priority: priority(path, l)?, weight: weight(path, l)?, endpoints })
    })?;
    Assignment::new(localities, rules(proto)?).map_err(|e| Refused::at("", e.to_string()))
}

/// Parses an assignment whose endpoints are given by host name.
pub fn named_assignment(proto: &ClusterLoadAssignment) -> Result<(Vec<NamedLocality>, Rules), Refused> {
    let localities = read_localities(proto, |path, l| {
        let zone = l.locality.as_ref().map_or("", |l| l.zone.as_str());
        let endpoints = l.lb_endpoints.iter().enumerate().map(|(j, e)| {
            let at = format!("{path}.lb_endpoints[{j}]");
            let read = || {
                let (host, port) = host("endpoint.address", endpoint(e)?.address.as_ref())?;
                let metadata = ProjectMetadata::parse(e.metadata.as_ref(), &METADATA_FIELDS)?;
                let (weight, health) = (endpoint_weight(e)?, health(e)?);
                Ok(Named { host: host.into(), port, weight, health, place: read_place(&metadata, zone)? })
            };
            read().map_err(|r: Refused| r.below(at))
        });
        let endpoints = endpoints.collect::<Result<_, _>>()?;
        Ok(NamedLocality { name: name(l), priority: priority(path, l)?, weight: weight(path, l)?, endpoints })
    })?;
    Ok((localities, rules(proto)?))
}

fn read_localities<T>(
    proto: &ClusterLoadAssignment,
    read: impl Fn(&str, &LocalityLbEndpoints) -> Result<T, Refused>,
) -> Result<Vec<T>, Refused> {
    let read = |(i, l): (usize, &LocalityLbEndpoints)| read(&format!("endpoints[{i}]"), l);
    proto.endpoints.iter().enumerate().map(read).collect()
}

fn name(l: &LocalityLbEndpoints) -> LocalityName {
    l.locality.as_ref().map_or_else(LocalityName::default, |l| LocalityName {
        region: l.region.as_str().into(),
        zone: l.zone.as_str().into(),
        sub_zone: l.sub_zone.as_str().into(),
    })
}

fn priority(path: &str, l: &LocalityLbEndpoints) -> Result<u8, Refused> {
    u8::try_from(l.priority).map_err(|_| Refused::at(format!("{path}.priority"), "expected 0 to 127"))
}

fn weight(path: &str, l: &LocalityLbEndpoints) -> Result<Option<NonZeroU32>, Refused> {
    let at = || Refused::at(format!("{path}.load_balancing_weight"), "0; expected 1 at least");
    l.load_balancing_weight.as_ref().map(|w| NonZeroU32::new(w.value).ok_or_else(at)).transpose()
}

fn endpoint(proto: &LbEndpoint) -> Result<&Proto, Refused> {
    match &proto.host_identifier {
        Some(HostIdentifier::Endpoint(endpoint)) => Ok(endpoint),
        _ => Err(Refused::at("endpoint", "missing")),
    }
}

fn endpoint_weight(proto: &LbEndpoint) -> Result<NonZeroU32, Refused> {
    let weight = proto.load_balancing_weight.as_ref().map_or(1, |w| w.value);
    NonZeroU32::new(weight).ok_or_else(|| Refused::at("load_balancing_weight", "0; expected 1 at least"))
}

fn health(proto: &LbEndpoint) -> Result<Health, Refused> {
    Ok(match HealthStatus::try_from(proto.health_status) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy) => Health::Healthy,
        Ok(HealthStatus::Degraded) => Health::Degraded,
        Ok(HealthStatus::Unhealthy | HealthStatus::Timeout) => Health::Unhealthy,
        Ok(HealthStatus::Draining) => Health::Draining,
        Err(_) => {
            return Err(Refused::at("health_status", format!("{} is not known here", proto.health_status)))
        }
    })
}

fn read_place(metadata: &ProjectMetadata<'_>, zone: &str) -> Result<Place, Refused> {
    let cell = metadata.integer("cell")?.unwrap_or(0);
    Ok(Place {
        zone: metadata.text("zone")?.unwrap_or(zone).into(),
        kind: metadata.text("kind")?.unwrap_or("").into(),
        cell: u32::try_from(cell)
            .map_err(|_| Refused::at("metadata.filter_metadata.rushquay.cell", "over 2^32"))?,
    })
}

fn addressed_endpoint(proto: &LbEndpoint, zone: &str) -> Result<Endpoint, Refused> {
    let addr = address("endpoint.address", endpoint(proto)?.address.as_ref(), false)?;
    let metadata = ProjectMetadata::parse(proto.metadata.as_ref(), &METADATA_FIELDS)?;
    let id: Arc<str> = metadata.text("id")?.map_or_else(|| addr.to_string().into(), Into::into);
    let started = metadata.integer("started_ns")?;
    Ok(Endpoint {
        id,
        addr,
        weight: endpoint_weight(proto)?,
        health: health(proto)?,
        place: read_place(&metadata, zone)?,
        started,
    })
}

fn rules(proto: &ClusterLoadAssignment) -> Result<Rules, Refused> {
    let mut rules = Rules::default();
    let Some(policy) = &proto.policy else { return Ok(rules) };
    if let Some(factor) = &policy.overprovisioning_factor {
        rules.overprovisioning = factor.value;
    }
    let at = "policy.endpoint_stale_after";
    rules.stale_after = policy.endpoint_stale_after.as_ref().map(|d| nanos(at, d)).transpose()?;
    if rules.stale_after == Some(0) {
        return Err(Refused::at(at, "0; expected a time over 0"));
    }
    rules.weighted_health = policy.weighted_priority_health;
    let overload = |(i, o): (usize, &DropOverload)| {
        let at = format!("policy.drop_overloads[{i}]");
        if o.category.is_empty() {
            return Err(Refused::at(format!("{at}.category"), "empty"));
        }
        let part = o
            .drop_percentage
            .as_ref()
            .map_or(Ok(0.0), |p| fraction_value(&format!("{at}.drop_percentage"), p))?;
        Ok(Overload { category: o.category.as_str().into(), part })
    };
    rules.overloads = policy.drop_overloads.iter().enumerate().map(overload).collect::<Result<_, _>>()?;
    Ok(rules)
}

/// Converts a fractional percent to a fraction from 0 to 1; larger values are capped at 1.
pub fn fraction_value(path: &str, proto: &FractionalPercent) -> Result<f64, Refused> {
    let whole = match DenominatorType::try_from(proto.denominator) {
        Ok(DenominatorType::Hundred) => 100.0,
        Ok(DenominatorType::TenThousand) => 10_000.0,
        Ok(DenominatorType::Million) => 1_000_000.0,
        Err(_) => return Err(Refused::at(format!("{path}.denominator"), "not known here")),
    };
    Ok((f64::from(proto.numerator) / whole).min(1.0))
}
