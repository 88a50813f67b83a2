//! xDS resources as nodes. What stands there is checked before anything of it is taken.

use crate::names::{LEAVES, POLICY_RESOURCE, TEXT_TYPE};
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
use rushquay_endpoints::{Endpoint, EndpointState, Imposed, SourcedEndpoint};
use rushquay_xds::client::ReceivedResource;
use rushquay_xds::Kind;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Why a resource can't be taken. It names the field; correct it at the server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// No message of its type.
    #[error("not a message of its type: {0}")]
    Malformed(String),
    /// A field can't be obeyed.
    #[error("{field}: {why}")]
    Field {
        /// Its path.
        field: String,
        /// What is wrong.
        why: String,
    },
    /// A kind that isn't asked for.
    #[error("resources of this type are not read here")]
    Unread,
}

/// A text of policies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyMessage {
    /// What holds, for all alike.
    Broadcast(String),
    /// A leave for this process.
    LeaseGrant(String),
}

/// A resource as the proxy reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedResource {
    /// A cluster's assignment.
    Assignment {
        /// Endpoints that stand inline.
        endpoints: Vec<SourcedEndpoint>,
        /// Names of the collections that hold the others.
        collections: Vec<String>,
    },
    /// One endpoint of a collection.
    Endpoint(SourcedEndpoint),
    /// Settings for a proxy.
    Settings(ConfigAssignment),
    /// What holds of policies, and a leave to act by it: texts that whoever follows them reads.
    Policy(PolicyMessage),
}

fn field(field: impl Into<String>, why: impl Into<String>) -> DecodeError {
    DecodeError::Field { field: field.into(), why: why.into() }
}

/// Reads a resource; returns its name with it.
///
/// # Errors
/// See [`DecodeError`]; nothing of the resource is to be taken.
pub fn decode(kind: Kind, came: &ReceivedResource) -> Result<(String, DecodedResource), DecodeError> {
    let malformed = |e: prost::DecodeError| DecodeError::Malformed(e.to_string());
    match kind {
        Kind::Endpoint => {
            let name = came.name.clone().ok_or_else(|| field("name", "missing"))?;
            let message = LbEndpoint::decode(came.body.as_slice()).map_err(malformed)?;
            Ok((name, DecodedResource::Endpoint(endpoint("", &message, "")?)))
        }
        Kind::Endpoints => {
            let message = ClusterLoadAssignment::decode(came.body.as_slice()).map_err(malformed)?;
            let item = assignment(&message)?;
            Ok((came.name.clone().unwrap_or(message.cluster_name), item))
        }
        Kind::Extension => {
            let message = TypedExtensionConfig::decode(came.body.as_slice()).map_err(malformed)?;
            let config = message.typed_config.unwrap_or_default();
            if config.type_url != TEXT_TYPE {
                return Err(field("typed_config", format!("a {}, not a {TEXT_TYPE}", config.type_url)));
            }
            let text = String::decode(config.value.as_slice()).map_err(malformed)?;
            let name = came.name.clone().unwrap_or(message.name);
            let item = if name == POLICY_RESOURCE {
                DecodedResource::Policy(PolicyMessage::Broadcast(text))
            } else if name.starts_with(LEAVES) {
                DecodedResource::Policy(PolicyMessage::LeaseGrant(text))
            } else {
                DecodedResource::Settings(
                    ConfigAssignment::read(&text).map_err(|e| field("typed_config", e.to_string()))?,
                )
            };
            Ok((name, item))
        }
        _ => Err(DecodeError::Unread),
    }
}

fn assignment(message: &ClusterLoadAssignment) -> Result<DecodedResource, DecodeError> {
    if message.cluster_name.is_empty() {
        return Err(field("cluster_name", "empty"));
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
                    return Err(field(
                        format!("{path}.leds_cluster_locality_config.leds_collection_name"),
                        "only glob collections (ending in /*) are read",
                    ));
                }
                collections.push(leds.leds_collection_name.clone());
            }
            Some(_) => {
                return Err(field(format!("{path}.load_balancer_endpoints"), "deprecated and not read"))
            }
        }
        for (j, one) in locality.lb_endpoints.iter().enumerate() {
            let path = format!("{path}.lb_endpoints[{j}]");
            let stated = endpoint(&format!("{path}."), one, zone)?;
            // Danger: of two entries for one node the one read last would win by chance.
            if let Some(first) = seen.insert(stated.member.id.clone(), path.clone()) {
                return Err(field(path, format!("names {:?} again, as {first}", stated.member.id)));
            }
            endpoints.push(stated);
        }
    }
    Ok(DecodedResource::Assignment { endpoints, collections })
}

fn endpoint(path: &str, message: &LbEndpoint, zone: &str) -> Result<SourcedEndpoint, DecodeError> {
    let at = |name: &str| format!("{path}{name}");
    let addr = match &message.host_identifier {
        Some(HostIdentifier::Endpoint(e)) => address(&at("endpoint.address"), e.address.as_ref())?,
        Some(HostIdentifier::EndpointName(_)) => return Err(field(at("endpoint_name"), "not read")),
        None => return Err(field(at("endpoint"), "missing")),
    };
    let state = match HealthStatus::try_from(message.health_status) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded) => EndpointState::Ready,
        // A state that is new here gets nothing new.
        _ => EndpointState::Draining,
    };
    let own = Own::of(message.metadata.as_ref());
    // Where something is imposed the health is for clients that know nothing of it.
    let state = own.text("state").map_or(state, EndpointState::from_word);
    let weight = match (own.number("weight"), &message.load_balancing_weight) {
        (Some(exact), _) if exact > 0.0 && exact.is_finite() => exact,
        (Some(_), _) => return Err(field(at("metadata.rushquay.weight"), "not over 0")),
        (None, Some(w)) if w.value == 0 => {
            return Err(field(at("load_balancing_weight"), "0; it must be 1 at least"))
        }
        (None, Some(w)) => f64::from(w.value) / WEIGHT_UNIT,
        (None, None) => 1.0,
    };
    let id = match (own.text("id"), addr) {
        (Some(""), _) => return Err(field(at("metadata.rushquay.id"), "empty")),
        (Some(id), _) => id.to_owned(),
        // A server that isn't this project's names its endpoints by their addresses.
        (None, Some(addr)) => addr.to_string(),
        (None, None) => return Err(field(at("endpoint.address"), "missing")),
    };
    let nanos = |name: &str| match own.text(name) {
        None => Ok(0),
        Some(text) => {
            text.parse().map_err(|_| field(at(&format!("metadata.rushquay.{name}")), "not a whole number"))
        }
    };
    let member = Endpoint {
        id,
        addr,
        zone: own.text("zone").unwrap_or(zone).to_owned(),
        kind: own.text("kind").unwrap_or("").to_owned(),
        cell: own.number("cell").map_or(0, |c| c as u32),
        state,
        weight,
        started: nanos("started_ns")?,
    };
    let imposed =
        imposed(&own).map_err(|name| field(at(&format!("metadata.rushquay.{name}")), "not as expected"))?;
    Ok(SourcedEndpoint { member, listed: nanos("listed")?, shared: own.flag("shared"), imposed })
}

/// What is imposed; the name of a field that can't be read.
fn imposed(own: &Own<'_>) -> Result<Imposed, &'static str> {
    let pair = |text: &str| {
        let (a, b) = text.split_once(':')?;
        Some((a.parse().ok()?, b.to_owned()))
    };
    let mut imposed = Imposed::default();
    if let Some(text) = own.text("out_ns") {
        let (since, until) = pair(text).ok_or("out_ns")?;
        imposed.out = (since, until.parse().map_err(|_| "out_ns")?);
    }
    for text in own.text("factors").into_iter().flat_map(|t| t.split(',')).filter(|t| !t.is_empty()) {
        let (until, factor) = pair(text).ok_or("factors")?;
        let factor: f64 = factor.parse().map_err(|_| "factors")?;
        if !(factor > 0.0 && factor <= 10.0) {
            return Err("factors");
        }
        imposed.weights.push((until, factor));
    }
    if let Some(text) = own.text("cold_after_ns") {
        imposed.cold_after = text.parse().map_err(|_| "cold_after_ns")?;
    }
    if let Some(text) = own.text("pins") {
        imposed.pins = serde_json::from_str(text).map_err(|_| "pins")?;
    }
    Ok(imposed)
}

/// An address that can be connected to without a look-up; `None` where there is none at all.
fn address(path: &str, message: Option<&Address>) -> Result<Option<SocketAddr>, DecodeError> {
    let Some(message) = message else { return Ok(None) };
    let Some(address::Address::SocketAddress(socket)) = &message.address else {
        return Err(field(path, "only socket_address is read"));
    };
    let ip: IpAddr = socket.address.parse().map_err(|_| {
        field(format!("{path}.socket_address.address"), format!("{:?} is no IP address", socket.address))
    })?;
    let port = match socket.port_specifier {
        Some(PortSpecifier::PortValue(port)) => u16::try_from(port).ok().filter(|p| *p > 0),
        _ => None,
    };
    let port =
        port.ok_or_else(|| field(format!("{path}.socket_address.port_value"), "no port from 1 to 65535"))?;
    Ok(Some(SocketAddr::new(ip, port)))
}

/// The metadata under this project's filter name.
struct Own<'a>(Option<&'a HashMap<String, Value>>);

impl<'a> Own<'a> {
    fn of(metadata: Option<&'a Metadata>) -> Self {
        Own(metadata.and_then(|m| m.filter_metadata.get(METADATA)).map(|s| &s.fields))
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
