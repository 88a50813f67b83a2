//! What stands in many messages: addresses, sources of configuration, durations, this project's metadata.

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

/// The filter name under which metadata is this project's own.
pub const METADATA: &str = "rushquay";
/// Envoy's `initial_fetch_timeout` where nothing is told.
pub const FETCH: Nanos = 15_000_000_000;

/// Where resources come from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// The aggregated stream.
    Ads,
    /// A file, read again when it changes.
    File(PathBuf),
}

/// A source, and how long to wait for its first answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct From {
    /// Where.
    pub source: Source,
    /// In nanoseconds; 0: for good.
    pub wait: Nanos,
}

/// Reads a source.
pub fn source(told: &ConfigSource) -> Result<From, Refused> {
    if told.resource_api_version == ApiVersion::V2 as i32 {
        return Err(Refused::at("resource_api_version", "V2 is over; expected V3"));
    }
    let wait =
        told.initial_fetch_timeout.as_ref().map_or(Ok(FETCH), |d| nanos("initial_fetch_timeout", d))?;
    let source = match &told.config_source_specifier {
        Some(ConfigSourceSpecifier::Ads(_)) => Source::Ads,
        Some(ConfigSourceSpecifier::PathConfigSource(path)) if path.path.is_empty() => {
            return Err(Refused::at("path_config_source.path", "empty"));
        }
        Some(ConfigSourceSpecifier::PathConfigSource(path)) => Source::File(path.path.clone().into()),
        _ => return Err(Refused::at("", "expected ads or path_config_source")),
    };
    Ok(From { source, wait })
}

/// A span that is not negative.
pub fn nanos(path: &str, told: &Duration) -> Result<Nanos, Refused> {
    let (s, n) = (u64::try_from(told.seconds), u64::try_from(told.nanos));
    match (s, n) {
        (Ok(s), Ok(n)) => Ok(s.saturating_mul(1_000_000_000).saturating_add(n)),
        _ => Err(Refused::at(path, "negative")),
    }
}

/// A name or an address, and a port.
pub fn host(path: &str, told: Option<&Address>) -> Result<(String, u16), Refused> {
    let Some(Address { address: Some(address::Address::SocketAddress(socket)) }) = told else {
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

/// An address that needs no look-up. With `any` the port may be 0.
pub fn address(path: &str, told: Option<&Address>, any: bool) -> Result<SocketAddr, Refused> {
    let (host, port) = host(path, told)?;
    let ip: IpAddr = host.parse().map_err(|_| {
        Refused::at(format!("{path}.socket_address.address"), format!("{host:?} is no IP address"))
    })?;
    if port == 0 && !any {
        return Err(Refused::at(format!("{path}.socket_address.port_value"), "0; expected a port from 1"));
    }
    Ok(SocketAddr::new(ip, port))
}

/// The metadata under this project's name. Danger: a misspelt field would be passed over in silence.
pub struct Own<'a>(Option<&'a HashMap<String, Value>>);

impl<'a> Own<'a> {
    /// Reads it; names other than `known` are refused.
    pub fn of(told: Option<&'a Metadata>, known: &[&str]) -> Result<Self, Refused> {
        let own = told.and_then(|m| m.filter_metadata.get(METADATA)).map(|s| &s.fields);
        let unknown = own.and_then(|f| f.keys().filter(|k| !known.contains(&k.as_str())).min());
        match unknown {
            Some(name) => Err(Refused::at(format!("{METADATA_PATH}.{name}"), "not known here")),
            None => Ok(Own(own)),
        }
    }

    /// A text; `None` where there is none.
    pub fn text(&self, name: &str) -> Result<Option<&'a str>, Refused> {
        match self.0.and_then(|f| f.get(name)).map(|v| &v.kind) {
            None => Ok(None),
            Some(Some(value::Kind::StringValue(text))) if !text.is_empty() => Ok(Some(text)),
            Some(_) => Err(Refused::at(format!("{METADATA_PATH}.{name}"), "expected a text")),
        }
    }

    /// A whole number that may stand as a text.
    pub fn whole(&self, name: &str) -> Result<Option<u64>, Refused> {
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
