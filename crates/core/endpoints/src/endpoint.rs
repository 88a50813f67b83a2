//! A cache node and a list of them, in discovery's form (PROTOCOL, "Discovery").

use crate::Nanos;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;
use std::net::SocketAddr;

/// State of a node, from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

impl EndpointState {
    /// The state as discovery words it.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Gone => "gone",
        }
    }

    /// Reads discovery's word. A state that is new here gets nothing new: it counts as draining.
    pub fn from_word(word: &str) -> Self {
        match word {
            "ready" => EndpointState::Ready,
            "gone" => EndpointState::Gone,
            _ => EndpointState::Draining,
        }
    }
}

impl Serialize for EndpointState {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(self.as_str())
    }
}

/// A cache node, or the origin.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "Wire")]
pub struct Endpoint {
    /// Its id, the same at every proxy and after a restart.
    pub id: String,
    /// Where to connect; `None`: the list gave no address that can be read.
    pub addr: Option<SocketAddr>,
    /// Its data centre; empty where the list names none.
    pub zone: String,
    /// Its machine kind; empty where the list names none.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its size relative to others.
    pub weight: f64,
    /// When its process last started, Unix time in nanoseconds; 0: long ago, or not told.
    pub started: Nanos,
}

/// A list of nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// The list's version; grows with each change until discovery itself starts anew.
    pub version: u64,
    /// The whole list, else only the entries that changed.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Endpoint>,
}

/// What stands on the wire. Lenient, as a list that is followed must be: one odd field of one node must not cost the
/// rest of the fleet. [`crate::check_list`] is the strict reading.
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
    fn from(w: Wire) -> Self {
        let text = |v: Value| match v {
            Value::String(s) => s,
            _ => String::new(),
        };
        Endpoint {
            addr: w.addr.parse().ok(),
            zone: text(w.zone),
            kind: text(w.kind),
            cell: w.cell.unwrap_or(0),
            state: EndpointState::from_word(&w.state),
            weight: w.weight.unwrap_or(1.0),
            started: (w.started_ms.unwrap_or(0.0) * 1e6) as Nanos,
            id: w.id,
        }
    }
}

impl Serialize for Endpoint {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;
        let mut fields = to.serialize_struct("Member", 8)?;
        fields.serialize_field("id", &self.id)?;
        fields.serialize_field("addr", &self.addr.map(|a| a.to_string()).unwrap_or_default())?;
        fields.serialize_field("zone", &self.zone)?;
        fields.serialize_field("kind", &self.kind)?;
        fields.serialize_field("cell", &self.cell)?;
        fields.serialize_field("state", &self.state)?;
        fields.serialize_field("weight", &self.weight)?;
        fields.serialize_field("started_ms", &(self.started as f64 / 1e6))?;
        fields.end()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_odd_in_one_node_does_not_cost_the_list() {
        let text = r#"{"version":3,"full":true,"servers":[
            {"id":"a","addr":"10.0.0.1:80","zone":"z","kind":"k","cell":2,"state":"ready","weight":2.5,"started_ms":7},
            {"id":"b","addr":"nowhere","zone":4,"state":"resting"}]}"#;
        let list: EndpointList = serde_json::from_str(text).expect("a list");
        let (a, b) = (&list.servers[0], &list.servers[1]);
        assert_eq!((a.state, a.started, a.weight, a.cell), (EndpointState::Ready, 7_000_000, 2.5, 2));
        assert_eq!((b.addr, b.zone.as_str(), b.state), (None, "", EndpointState::Draining));
        let again: Endpoint =
            serde_json::from_value(serde_json::to_value(a).expect("JSON")).expect("a member");
        assert_eq!(&again, a);
    }
}
