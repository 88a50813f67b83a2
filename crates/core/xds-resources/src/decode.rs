//! Decodes xDS resources into endpoints. A resource is validated before any of it is used.

use crate::names::{POLICY_LEASE_PREFIX, POLICY_RESOURCE, TEXT_TYPE};
use crate::{METADATA, WEIGHT_UNIT};
use envoy_types::pb::envoy::config::core::v3::{
    address, socket_address::PortSpecifier, Address, HealthStatus, Metadata, TypedExtensionConfig,
};
use envoy_types::pb::envoy::config::endpoint::v3::{
    lb_endpoint::HostIdentifier, locality_lb_endpoints::LbConfig, ClusterLoadAssignment, LbEndpoint,
};
use envoy_types::pb::google::protobuf::{value, Value};
use prost::Message;
use rushquay_config_version::ConfigAssignment;
use rushquay_endpoints::{Endpoint, EndpointState, Imposed, SourcedEndpoint, StatedStart};
use rushquay_xds::client::ReceivedResource;
use rushquay_xds::Kind;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Why a resource is rejected. It names the field; correct it at the server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is not a message of its type.
    #[error("not a message of its type: {0}")]
    Malformed(String),
    /// A field is invalid.
    #[error("{field}: {reason}")]
    Field {
        /// The path of the field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A kind that is not subscribed to.
    #[error("resources of this type are not read here")]
    Unread,
}

/// A message about policies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyMessage {
    /// The policies in force, for all proxies.
    Broadcast(String),
    /// A policy lease for this process.
    LeaseGrant(String),
}

/// A decoded resource.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedResource {
    /// A cluster's assignment.
    Assignment {
        /// Inline endpoints.
        endpoints: Vec<SourcedEndpoint>,
        /// The names of the collections with the others.
        collections: Vec<String>,
    },
    /// One endpoint of a collection.
    Endpoint(SourcedEndpoint),
    /// Settings for a proxy.
    Settings(ConfigAssignment),
    /// The policies in force, or a policy lease: texts that the policy client parses.
    Policy(PolicyMessage),
}

fn field_error(field: impl Into<String>, reason: impl Into<String>) -> DecodeError {
    DecodeError::Field { field: field.into(), reason: reason.into() }
}

/// Decodes a resource; returns its name with it.
///
/// # Errors
/// See [`DecodeError`]; nothing of the resource may be used.
pub fn decode(kind: Kind, received: &ReceivedResource) -> Result<(String, DecodedResource), DecodeError> {
    let malformed = |e: prost::DecodeError| DecodeError::Malformed(e.to_string());
    match kind {
        Kind::Endpoint => {
            let name = received.name.clone().ok_or_else(|| field_error("name", "missing"))?;
            let message = LbEndpoint::decode(received.body.as_slice()).map_err(malformed)?;
            Ok((name, DecodedResource::Endpoint(endpoint("", &message, "")?)))
        }
        Kind::Endpoints => {
            let message = ClusterLoadAssignment::decode(received.body.as_slice()).map_err(malformed)?;
            let item = assignment(&message)?;
            Ok((received.name.clone().unwrap_or(message.cluster_name), item))
        }
        Kind::Extension => {
            let message = TypedExtensionConfig::decode(received.body.as_slice()).map_err(malformed)?;
            let config = message.typed_config.unwrap_or_default();
            if config.type_url != TEXT_TYPE {
                return Err(field_error("typed_config", format!("a {}, not a {TEXT_TYPE}", config.type_url)));
            }
            let text = String::decode(config.value.as_slice()).map_err(malformed)?;
            let name = received.name.clone().unwrap_or(message.name);
            let item = if name == POLICY_RESOURCE {
                DecodedResource::Policy(PolicyMessage::Broadcast(text))
            } else if name.starts_with(POLICY_LEASE_PREFIX) {
                DecodedResource::Policy(PolicyMessage::LeaseGrant(text))
            } else {
                DecodedResource::Settings(
                    ConfigAssignment::read(&text).map_err(|e| field_error("typed_config", e.to_string()))?,
                )
            };
            Ok((name, item))
        }
        _ => Err(DecodeError::Unread),
    }
}

fn assignment(message: &ClusterLoadAssignment) -> Result<DecodedResource, DecodeError> {
    if message.cluster_name.is_empty() {
        return Err(field_error("cluster_name", "empty"));
    }
    let (mut endpoints, mut collections) = (Vec::new(), Vec::new());
    let mut seen = HashMap::new();
    for (i, locality) in message.endpoints.iter().enumerate() {
        let path = format!("endpoints[{i}]");
        let zone = locality.locality.as_ref().map_or("", |l| l.zone.as_str());
        match &locality.lb_config {
            None => {}
            Some(LbConfig::LedsClusterLocalityConfig(leds)) => {
                if !leds.leds_collection_name.ends_with("/*") {
                    return Err(field_error(
                        format!("{path}.leds_cluster_locality_config.leds_collection_name"),
                        "only glob collections (ending in /*) are read",
                    ));
                }
                collections.push(leds.leds_collection_name.clone());
            }
            Some(_) => {
                return Err(field_error(format!("{path}.load_balancer_endpoints"), "deprecated and not read"))
            }
        }
        for (j, lb_endpoint) in locality.lb_endpoints.iter().enumerate() {
            let path = format!("{path}.lb_endpoints[{j}]");
            let endpoint = endpoint(&format!("{path}."), lb_endpoint, zone)?;
            // Danger: of two entries for one endpoint the one decoded last would win by chance.
            if let Some(first) = seen.insert(endpoint.member.id.clone(), path.clone()) {
                return Err(field_error(path, format!("names {:?} again, as {first}", endpoint.member.id)));
            }
            endpoints.push(endpoint);
        }
    }
    Ok(DecodedResource::Assignment { endpoints, collections })
}

fn endpoint(path: &str, message: &LbEndpoint, zone: &str) -> Result<SourcedEndpoint, DecodeError> {
    let field_path = |name: &str| format!("{path}{name}");
    let addr = match &message.host_identifier {
        Some(HostIdentifier::Endpoint(e)) => address(&field_path("endpoint.address"), e.address.as_ref())?,
        Some(HostIdentifier::EndpointName(_)) => {
            return Err(field_error(field_path("endpoint_name"), "not read"))
        }
        None => return Err(field_error(field_path("endpoint"), "missing")),
    };
    let state = match HealthStatus::try_from(message.health_status) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded) => EndpointState::Ready,
        // An unknown state must get no new requests.
        _ => EndpointState::Draining,
    };
    let metadata = ProjectMetadata::of(message.metadata.as_ref());
    // With overrides, the health status is for clients that do not know them.
    let state = metadata.text("state").map_or(state, EndpointState::from_text);
    let weight = match (metadata.number("weight"), &message.load_balancing_weight) {
        (Some(exact), _) if exact > 0.0 && exact.is_finite() => exact,
        (Some(_), _) => return Err(field_error(field_path("metadata.rushquay.weight"), "not over 0")),
        (None, Some(w)) if w.value == 0 => {
            return Err(field_error(field_path("load_balancing_weight"), "0; it must be 1 at least"))
        }
        (None, Some(w)) => f64::from(w.value) / WEIGHT_UNIT,
        (None, None) => 1.0,
    };
    let id = match (metadata.text("id"), addr) {
        (Some(""), _) => return Err(field_error(field_path("metadata.rushquay.id"), "empty")),
        (Some(id), _) => id.to_owned(),
        // Other servers than this project's identify their endpoints by address.
        (None, Some(addr)) => addr.to_string(),
        (None, None) => return Err(field_error(field_path("endpoint.address"), "missing")),
    };
    let nanos = |name: &str| match metadata.text(name) {
        None => Ok(0),
        Some(text) => text
            .parse()
            .map_err(|_| field_error(field_path(&format!("metadata.rushquay.{name}")), "not a whole number")),
    };
    let member = Endpoint {
        id,
        addr,
        zone: metadata.text("zone").unwrap_or(zone).to_owned(),
        kind: metadata.text("kind").unwrap_or("").to_owned(),
        cell: metadata.number("cell").map_or(0, |c| c as u32),
        state,
        weight,
        started: StatedStart::from_unix_nanos(nanos("started_ns")?),
    };
    let imposed = imposed(&metadata)
        .map_err(|name| field_error(field_path(&format!("metadata.rushquay.{name}")), "not as expected"))?;
    Ok(SourcedEndpoint {
        member,
        list_version: nanos("listed")?,
        is_from_discovery: metadata.flag("shared"),
        imposed,
    })
}

/// The overrides; the error is the name of an invalid field.
fn imposed(metadata: &ProjectMetadata<'_>) -> Result<Imposed, &'static str> {
    let pair = |text: &str| {
        let (a, b) = text.split_once(':')?;
        Some((a.parse().ok()?, b.to_owned()))
    };
    let mut imposed = Imposed::default();
    if let Some(text) = metadata.text("out_ns") {
        let (since, until) = pair(text).ok_or("out_ns")?;
        imposed.out = (since, until.parse().map_err(|_| "out_ns")?);
    }
    for text in metadata.text("factors").into_iter().flat_map(|t| t.split(',')).filter(|t| !t.is_empty()) {
        let (until, factor) = pair(text).ok_or("factors")?;
        let factor: f64 = factor.parse().map_err(|_| "factors")?;
        if !(factor > 0.0 && factor <= 10.0) {
            return Err("factors");
        }
        imposed.weights.push((until, factor));
    }
    if let Some(text) = metadata.text("cold_after_ns") {
        imposed.cold_after = text.parse().map_err(|_| "cold_after_ns")?;
    }
    if let Some(text) = metadata.text("pins") {
        imposed.pins = serde_json::from_str(text).map_err(|_| "pins")?;
    }
    Ok(imposed)
}

/// An address that needs no resolution; `None` where there is none at all.
fn address(path: &str, message: Option<&Address>) -> Result<Option<SocketAddr>, DecodeError> {
    let Some(message) = message else { return Ok(None) };
    let Some(address::Address::SocketAddress(socket)) = &message.address else {
        return Err(field_error(path, "only socket_address is read"));
    };
    let ip: IpAddr = socket.address.parse().map_err(|_| {
        field_error(
            format!("{path}.socket_address.address"),
            format!("{:?} is no IP address", socket.address),
        )
    })?;
    let port = match socket.port_specifier {
        Some(PortSpecifier::PortValue(port)) => u16::try_from(port).ok().filter(|p| *p > 0),
        _ => None,
    };
    let port = port
        .ok_or_else(|| field_error(format!("{path}.socket_address.port_value"), "no port from 1 to 65535"))?;
    Ok(Some(SocketAddr::new(ip, port)))
}

/// The metadata under the name of this project's filter.
struct ProjectMetadata<'a>(Option<&'a HashMap<String, Value>>);

impl<'a> ProjectMetadata<'a> {
    fn of(metadata: Option<&'a Metadata>) -> Self {
        ProjectMetadata(metadata.and_then(|m| m.filter_metadata.get(METADATA)).map(|s| &s.fields))
    }

    fn kind(&self, name: &str) -> Option<&'a value::Kind> {
        self.0?.get(name)?.kind.as_ref()
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        match self.kind(name)? {
            value::Kind::StringValue(text) => Some(text),
            _ => None,
        }
    }

    fn number(&self, name: &str) -> Option<f64> {
        match self.kind(name)? {
            value::Kind::NumberValue(number) => Some(*number),
            _ => None,
        }
    }

    fn flag(&self, name: &str) -> bool {
        matches!(self.kind(name), Some(value::Kind::BoolValue(true)))
    }
}
