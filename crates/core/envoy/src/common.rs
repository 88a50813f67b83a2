//! Parses parts that many messages share: addresses, configuration sources, durations, this project's metadata.

use crate::pb::envoy::config::core::v3::{
    address, config_source::ConfigSourceSpecifier, socket_address::PortSpecifier, socket_address::Protocol,
    Address, ApiVersion, ConfigSource, Metadata,
};
use crate::wire::Refused;
use envoy_types::pb::google::protobuf::{value, Duration, Value};
use rushquay_load_assignment::Nanos;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The key of this project's entry in `filter_metadata`.
pub const METADATA: &str = "rushquay";
/// Envoy's default `initial_fetch_timeout`.
pub const DEFAULT_FETCH_TIMEOUT: Nanos = 15_000_000_000;

/// Where resources come from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// The aggregated discovery service (ADS) stream.
    Ads,
    /// A file, reloaded when it changes.
    File(PathBuf),
}

/// A source, and how long to wait for its first response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceSource {
    /// The source.
    pub source: Source,
    /// The wait in nanoseconds; 0: no time limit.
    pub wait: Nanos,
}

/// Parses a configuration source.
pub fn source(proto: &ConfigSource) -> Result<ResourceSource, Refused> {
    if proto.resource_api_version == ApiVersion::V2 as i32 {
        return Err(Refused::at("resource_api_version", "V2 is over; expected V3"));
    }
    let wait = proto
        .initial_fetch_timeout
        .as_ref()
        .map_or(Ok(DEFAULT_FETCH_TIMEOUT), |d| nanos("initial_fetch_timeout", d))?;
    let source = match &proto.config_source_specifier {
        Some(ConfigSourceSpecifier::Ads(_)) => Source::Ads,
        Some(ConfigSourceSpecifier::PathConfigSource(path)) if path.path.is_empty() => {
            return Err(Refused::at("path_config_source.path", "empty"));
        }
        Some(ConfigSourceSpecifier::PathConfigSource(path)) => Source::File(path.path.clone().into()),
        _ => return Err(Refused::at("", "expected ads or path_config_source")),
    };
    Ok(ResourceSource { source, wait })
}

/// Parses a duration, which must not be negative, into nanoseconds.
pub fn nanos(path: &str, proto: &Duration) -> Result<Nanos, Refused> {
    let (s, n) = (u64::try_from(proto.seconds), u64::try_from(proto.nanos));
    match (s, n) {
        (Ok(s), Ok(n)) => Ok(s.saturating_mul(1_000_000_000).saturating_add(n)),
        _ => Err(Refused::at(path, "negative")),
    }
}

/// Parses a host (a name or an IP address) and a port.
pub fn host(path: &str, proto: Option<&Address>) -> Result<(String, u16), Refused> {
    let Some(Address { address: Some(address::Address::SocketAddress(socket)) }) = proto else {
        return Err(Refused::at(path, "expected socket_address"));
    };
    if socket.protocol != Protocol::Tcp as i32 {
        return Err(Refused::at(format!("{path}.socket_address.protocol"), "expected TCP"));
    }
    let port = match socket.port_specifier {
        Some(PortSpecifier::PortValue(port)) => u16::try_from(port).ok(),
        _ => None,
    };
    let port = port.ok_or_else(|| {
        Refused::at(format!("{path}.socket_address.port_value"), "expected a port up to 65535")
    })?;
    if socket.address.is_empty() {
        return Err(Refused::at(format!("{path}.socket_address.address"), "empty"));
    }
    Ok((socket.address.clone(), port))
}

/// Parses an IP address and a port. With `allow_port_0` the port may be 0.
pub fn address(path: &str, proto: Option<&Address>, allow_port_0: bool) -> Result<SocketAddr, Refused> {
    let (host, port) = host(path, proto)?;
    let ip: IpAddr = host.parse().map_err(|_| {
        Refused::at(format!("{path}.socket_address.address"), format!("{host:?} is no IP address"))
    })?;
    if port == 0 && !allow_port_0 {
        return Err(Refused::at(format!("{path}.socket_address.port_value"), "0; expected a port from 1"));
    }
    Ok(SocketAddr::new(ip, port))
}

/// This project's entry in a message's metadata. Danger: without a check a misspelt field would be ignored silently.
pub struct ProjectMetadata<'a>(Option<&'a HashMap<String, Value>>);

impl<'a> ProjectMetadata<'a> {
    /// Parses it; rejects fields other than `known`.
    pub fn parse(proto: Option<&'a Metadata>, known: &[&str]) -> Result<Self, Refused> {
        let fields = proto.and_then(|m| m.filter_metadata.get(METADATA)).map(|s| &s.fields);
        let unknown = fields.and_then(|f| f.keys().filter(|k| !known.contains(&k.as_str())).min());
        match unknown {
            Some(name) => Err(Refused::at(format!("{METADATA_PATH}.{name}"), "not known here")),
            None => Ok(ProjectMetadata(fields)),
        }
    }

    /// A string field; `None` if absent.
    pub fn text(&self, name: &str) -> Result<Option<&'a str>, Refused> {
        match self.0.and_then(|f| f.get(name)).map(|v| &v.kind) {
            None => Ok(None),
            Some(Some(value::Kind::StringValue(text))) if !text.is_empty() => Ok(Some(text)),
            Some(_) => Err(Refused::at(format!("{METADATA_PATH}.{name}"), "expected a text")),
        }
    }

    /// An integer field, given as a number or a string; `None` if absent.
    pub fn integer(&self, name: &str) -> Result<Option<u64>, Refused> {
        let wrong = || Refused::at(format!("{METADATA_PATH}.{name}"), "expected a whole number");
        match self.0.and_then(|f| f.get(name)).map(|v| &v.kind) {
            None => Ok(None),
            Some(Some(value::Kind::StringValue(text))) => text.parse().map(Some).map_err(|_| wrong()),
            Some(Some(value::Kind::NumberValue(n))) if n.fract() == 0.0 && (0.0..9e15).contains(n) => {
                Ok(Some(*n as u64))
            }
            Some(_) => Err(wrong()),
        }
    }
}

const METADATA_PATH: &str = "metadata.filter_metadata.rushquay";
