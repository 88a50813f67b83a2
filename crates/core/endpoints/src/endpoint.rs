//! Endpoints and endpoint lists in discovery's wire format (PROTOCOL, "Discovery").

use crate::{Nanos, StatedStart};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;
use std::net::SocketAddr;

/// The state of an endpoint, from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It finishes its pending requests; new ones must not be sent to it.
    Draining,
    /// It was removed.
    Gone,
}

impl EndpointState {
    /// The state in discovery's wire format.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Gone => "gone",
        }
    }

    /// Parses the wire format. An unknown state counts as draining, so that the endpoint gets no new requests.
    pub fn from_text(text: &str) -> Self {
        match text {
            "ready" => EndpointState::Ready,
            "gone" => EndpointState::Gone,
            _ => EndpointState::Draining,
        }
    }
}

impl Serialize for EndpointState {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

/// A cache node, or the origin.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "Wire")]
pub struct Endpoint {
    /// The id. It is the same at every proxy, and does not change when the endpoint restarts.
    pub id: String,
    /// The address to connect to; `None`: the list has no valid address for it.
    pub addr: Option<SocketAddr>,
    /// The data centre; empty if the list has none.
    pub zone: String,
    /// The machine type; empty if the list has none.
    pub kind: String,
    /// The number of the cell; 0 if the list has none.
    pub cell: u32,
    /// The state.
    pub state: EndpointState,
    /// The capacity relative to other endpoints.
    pub weight: f64,
    /// When its process last started, as stated. It identifies the incarnation.
    pub started: StatedStart,
}

/// A list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// The version. It increases with each change, and may start again when discovery restarts.
    pub version: u64,
    /// Whether this is the whole list; otherwise it contains only the entries that changed.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Endpoint>,
}

/// The wire format of an endpoint. Parsing is lenient, so that an invalid field of one endpoint does not make a watch
/// reject the whole list; [`crate::validate_list`] is strict.
#[derive(Deserialize)]
struct Wire {
    id: String,
    #[serde(default)]
    addr: String,
    #[serde(default)]
    zone: Value,
    #[serde(default)]
    kind: Value,
    #[serde(default)]
    cell: Option<u32>,
    state: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: Option<f64>,
}

impl From<Wire> for Endpoint {
    fn from(wire: Wire) -> Self {
        let text_or_empty = |value: Value| match value {
            Value::String(text) => text,
            _ => String::new(),
        };
        Endpoint {
            addr: wire.addr.parse().ok(),
            zone: text_or_empty(wire.zone),
            kind: text_or_empty(wire.kind),
            cell: wire.cell.unwrap_or(0),
            state: EndpointState::from_text(&wire.state),
            weight: wire.weight.unwrap_or(1.0),
            started: StatedStart::from_unix_nanos((wire.started_ms.unwrap_or(0.0) * 1e6) as Nanos),
            id: wire.id,
        }
    }
}

impl Serialize for Endpoint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;
        const FIELD_COUNT: usize = 8;
        let mut fields = serializer.serialize_struct("Member", FIELD_COUNT)?;
        fields.serialize_field("id", &self.id)?;
        fields.serialize_field("addr", &self.addr.map(|addr| addr.to_string()).unwrap_or_default())?;
        fields.serialize_field("zone", &self.zone)?;
        fields.serialize_field("kind", &self.kind)?;
        fields.serialize_field("cell", &self.cell)?;
        fields.serialize_field("state", &self.state)?;
        fields.serialize_field("weight", &self.weight)?;
        fields.serialize_field("started_ms", &(self.started.unix_nanos() as f64 / 1e6))?;
        fields.end()
    }
}
