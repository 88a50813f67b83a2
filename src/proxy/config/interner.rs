//! Translation between names on the wire and the numbers that the decision module uses.

use crate::api::{server_id, Entry, Nanos, State};
use crate::proxy::discovery::node_starts::ListedEndpoint;
use rushquay_endpoints::{Endpoint, EndpointState};
use std::net::SocketAddr;

/// The names of classes, tenants, zones and machine kinds; the decision module knows each by its index here.
#[derive(Default)]
pub struct Interner {
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones (data centres).
    pub zones: Vec<String>,
    /// Names of machine kinds.
    pub kinds: Vec<String>,
}

impl Interner {
    /// Converts a listed endpoint to an entry of the decision module, and returns the address to connect to.
    pub fn listed_entry(&self, listed: &ListedEndpoint) -> (Entry, Option<SocketAddr>) {
        let (entry, addr) = self.entry(&listed.endpoint, listed.started_at);
        (Entry { incarnation: Some(listed.incarnation), ..entry }, addr)
    }

    /// Converts an endpoint that started at this time by the clock of this process to an entry of the decision module, and returns the
    /// address to connect to.
    pub fn entry(&self, endpoint: &Endpoint, started_at: Nanos) -> (Entry, Option<SocketAddr>) {
        // A name that the settings do not list gets an index past the end, which matches no listed name.
        let index =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len()) as u32;
        // Danger: if two unlisted zones got the same number, their nodes would count as one deduplication group.
        let zone = match index(&self.zones, &endpoint.zone) {
            known if (known as usize) < self.zones.len() || endpoint.zone.is_empty() => known,
            _ => (1 << 30) + (server_id(&endpoint.zone) >> 34) as u32,
        };
        let entry = Entry {
            server: server_id(&endpoint.id),
            zone,
            kind: index(&self.kinds, &endpoint.kind),
            cell: endpoint.cell,
            state: match endpoint.state {
                EndpointState::Ready => State::Ready,
                EndpointState::Draining => State::Draining,
                EndpointState::Gone => State::Gone,
            },
            weight: endpoint.weight,
            started_at,
            incarnation: None,
        };
        (entry, endpoint.addr)
    }
}

/// Converts a key to a number: 16 hex digits are parsed, as on the simulator's wire; anything else is hashed.
pub fn key(text: &str) -> u64 {
    let hex = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok());
    hex.flatten().unwrap_or_else(|| server_id(text))
}

#[cfg(test)]
mod tests;
