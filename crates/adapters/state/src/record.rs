//! The format of a stored record: two bytes of format version, four of checksum (CRC-32 of the rest), and JSON. No
//! I/O.

use rushquay_endpoints::{Endpoint, EndpointState, SourcedEndpoint, StatedStart};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::net::SocketAddr;

/// The format version that is written. Earlier versions are read and upgraded.
///
/// - 1: `started` in milliseconds, as discovery reports it.
/// - 2: `started_ns`, in nanoseconds.
/// - 3: overrides may be pins. Danger: a program version that does not know pins would take such a record for
///   damaged.
pub const FORMAT_VERSION: u16 = 3;
const HEADER_BYTES: usize = 6;
/// Versions before it have `started` in milliseconds.
const FIRST_VERSION_IN_NANOS: u16 = 2;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is shorter than any record, or its checksum does not match.
    #[error("damaged: its checksum does not match")]
    Damaged,
    /// It was written by a later version.
    #[error("of form {0}, and this version knows forms to {FORMAT_VERSION}: use the version that wrote it")]
    Newer(u16),
    /// It is undamaged, and its content is not that of a record.
    #[error("not a record: {0}")]
    Content(String),
}

/// Makes a record of a format version.
pub(crate) fn seal(version: u16, content: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + content.len());
    record.extend(version.to_be_bytes());
    record.extend(checksum(version, content).to_be_bytes());
    record.extend(content);
    record
}

fn checksum(version: u16, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_be_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// Splits a record into its format version and its content, and checks it.
pub(crate) fn open(record: &[u8]) -> Result<(u16, &[u8]), RecordError> {
    let [a, b, c, d, e, f, content @ ..] = record else { return Err(RecordError::Damaged) };
    let version = u16::from_be_bytes([*a, *b]);
    if checksum(version, content) != u32::from_be_bytes([*c, *d, *e, *f]) {
        return Err(RecordError::Damaged);
    }
    match version {
        0 => Err(RecordError::Damaged),
        version if version > FORMAT_VERSION => Err(RecordError::Newer(version)),
        version => Ok((version, content)),
    }
}

/// Makes a record of the present format version from anything that has a JSON form.
pub fn sealed(content: &impl Serialize) -> Vec<u8> {
    // Plain fields always have a JSON form.
    seal(FORMAT_VERSION, &serde_json::to_vec(content).unwrap_or_default())
}

/// Reads such a record.
///
/// # Errors
/// The record is damaged, of a later version, or has other content.
pub fn unsealed<T: DeserializeOwned>(record: &[u8]) -> Result<T, RecordError> {
    let (_, content) = open(record)?;
    serde_json::from_slice(content).map_err(|e| RecordError::Content(e.to_string()))
}

/// A stored endpoint, in the present format version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredEndpoint {
    /// The id.
    pub id: String,
    /// The address to connect to.
    pub addr: Option<SocketAddr>,
    /// The data centre.
    pub zone: String,
    /// The machine type.
    pub kind: String,
    /// The cell.
    pub cell: u32,
    /// The state as discovery writes it.
    pub state: String,
    /// The weight from the list, without the factors of overrides.
    pub weight: f64,
    /// When the process last started, Unix time in nanoseconds.
    pub started_ns: u64,
    /// The version of the list that last had this entry.
    pub listed: u64,
    /// Whether that version is discovery's.
    pub shared: bool,
}

/// Format version 1.
#[derive(Deserialize)]
struct StoredEndpointV1 {
    id: String,
    addr: Option<SocketAddr>,
    zone: String,
    kind: String,
    cell: u32,
    state: String,
    weight: f64,
    started: u64,
    listed: u64,
    shared: bool,
}

impl From<&SourcedEndpoint> for StoredEndpoint {
    fn from(sourced: &SourcedEndpoint) -> Self {
        let endpoint = &sourced.member;
        StoredEndpoint {
            id: endpoint.id.clone(),
            addr: endpoint.addr,
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            cell: endpoint.cell,
            state: endpoint.state.as_str().to_owned(),
            weight: endpoint.weight,
            started_ns: endpoint.started.unix_nanos(),
            listed: sourced.list_version,
            shared: sourced.is_from_discovery,
        }
    }
}

impl From<StoredEndpoint> for SourcedEndpoint {
    fn from(stored: StoredEndpoint) -> Self {
        let member = Endpoint {
            id: stored.id,
            addr: stored.addr,
            zone: stored.zone,
            kind: stored.kind,
            cell: stored.cell,
            state: EndpointState::from_text(&stored.state),
            weight: stored.weight,
            started: StatedStart::from_unix_nanos(stored.started_ns),
        };
        // Overrides are stored in tables of their own.
        SourcedEndpoint {
            member,
            list_version: stored.listed,
            is_from_discovery: stored.shared,
            imposed: Default::default(),
        }
    }
}

impl StoredEndpoint {
    /// Makes a record of the present format version.
    pub fn record(&self) -> Vec<u8> {
        // Plain fields always have a JSON form.
        seal(FORMAT_VERSION, &serde_json::to_vec(self).unwrap_or_default())
    }

    /// Reads a record, and upgrades it from an earlier format version.
    ///
    /// # Errors
    /// The record is damaged, of a later version, or has other content.
    pub fn read(record: &[u8]) -> Result<StoredEndpoint, RecordError> {
        let (version, content) = open(record)?;
        let content_error = |e: serde_json::Error| RecordError::Content(e.to_string());
        if version >= FIRST_VERSION_IN_NANOS {
            return serde_json::from_slice(content).map_err(content_error);
        }
        let old: StoredEndpointV1 = serde_json::from_slice(content).map_err(content_error)?;
        let StoredEndpointV1 { id, addr, zone, kind, cell, state, weight, started, listed, shared } = old;
        let started_ns = started.saturating_mul(NANOS_PER_MILLI);
        Ok(StoredEndpoint { id, addr, zone, kind, cell, state, weight, started_ns, listed, shared })
    }
}

#[cfg(test)]
mod tests;
