//! Names on the wire for what the decision module knows by number.

use crate::api::{server_id, Entry, State};
use rushquay_endpoints::{Endpoint, EndpointState};
use std::net::SocketAddr;

/// Names on the wire for what the decision module knows by number.
#[derive(Default)]
pub struct Interner {
    /// Of classes.
    pub classes: Vec<String>,
    /// Of tenants.
    pub tenants: Vec<String>,
    /// Of data centres.
    pub zones: Vec<String>,
    /// Of machine kinds.
    pub kinds: Vec<String>,
}

impl Interner {
    /// An endpoint as the module reads it, and where to connect.
    pub fn entry(&self, m: &Endpoint) -> (Entry, Option<SocketAddr>) {
        // A name that the settings do not list is none of those that they do.
        let index =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len()) as u32;
        // Danger: two unlisted zones that are taken for one would be taken for one deduplication group.
        let zone = match index(&self.zones, &m.zone) {
            known if (known as usize) < self.zones.len() || m.zone.is_empty() => known,
            _ => (1 << 30) + (server_id(&m.zone) >> 34) as u32,
        };
        let entry = Entry {
            server: server_id(&m.id),
            zone,
            kind: index(&self.kinds, &m.kind),
            cell: m.cell,
            state: match m.state {
                EndpointState::Ready => State::Ready,
                EndpointState::Draining => State::Draining,
                EndpointState::Gone => State::Gone,
            },
            weight: m.weight,
            started_at: m.started,
        };
        (entry, m.addr)
    }
}

/// A key as a number: hex as on the simulator's wire, anything else hashed.
pub fn key(text: &str) -> u64 {
    let hex = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok());
    hex.flatten().unwrap_or_else(|| server_id(text))
}

#[cfg(test)]
mod tests;
