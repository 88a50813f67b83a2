//! The form of a record: two bytes of form, four of checksum (CRC-32 of the rest), and JSON. No I/O.

use rushquay_endpoints::{Endpoint, EndpointState, SourcedEndpoint};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The form that is written now. Forms before it are read and brought up to it.
///
/// - 1: `started` in milliseconds, as discovery tells it.
/// - 2: `started_ns`, in nanoseconds.
/// - 3: overrides may be pins. Danger: a version that knows none would take such a record for damaged.
pub const FORMAT_VERSION: u16 = 3;
const HEADER: usize = 6;

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is shorter than any record, or its checksum is another's.
    #[error("damaged: its checksum does not match")]
    Damaged,
    /// It was written by a later version.
    #[error("of form {0}, and this version knows forms to {FORMAT_VERSION}: use the version that wrote it")]
    Newer(u16),
    /// It is whole and says something else than a record.
    #[error("not a record: {0}")]
    Content(String),
}

/// Puts content into a record of a form.
pub(crate) fn seal(form: u16, content: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER + content.len());
    record.extend(form.to_be_bytes());
    record.extend(checksum(form, content).to_be_bytes());
    record.extend(content);
    record
}

fn checksum(form: u16, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&form.to_be_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// Takes a record apart: its form and its content.
pub(crate) fn open(record: &[u8]) -> Result<(u16, &[u8]), RecordError> {
    let [a, b, c, d, e, f, content @ ..] = record else { return Err(RecordError::Damaged) };
    let form = u16::from_be_bytes([*a, *b]);
    if checksum(form, content) != u32::from_be_bytes([*c, *d, *e, *f]) {
        return Err(RecordError::Damaged);
    }
    match form {
        0 => Err(RecordError::Damaged),
        form if form > FORMAT_VERSION => Err(RecordError::Newer(form)),
        form => Ok((form, content)),
    }
}

/// A node as it is kept, in the present form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredEndpoint {
    /// Its id.
    pub id: String,
    /// Where to connect.
    pub addr: Option<SocketAddr>,
    /// Its data centre.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state, as discovery words it.
    pub state: String,
    /// Its size as the list tells it, without the service's factors.
    pub weight: f64,
    /// When its process last started, Unix time in nanoseconds.
    pub started_ns: u64,
    /// The version of the list in which it was last told.
    pub listed: u64,
    /// That version is discovery's.
    pub shared: bool,
}

/// Form 1.
#[derive(Deserialize)]
struct Kept1 {
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
    fn from(stated: &SourcedEndpoint) -> Self {
        let m = &stated.member;
        StoredEndpoint {
            id: m.id.clone(),
            addr: m.addr,
            zone: m.zone.clone(),
            kind: m.kind.clone(),
            cell: m.cell,
            state: m.state.as_str().to_owned(),
            weight: m.weight,
            started_ns: m.started,
            listed: stated.listed,
            shared: stated.shared,
        }
    }
}

impl From<StoredEndpoint> for SourcedEndpoint {
    fn from(kept: StoredEndpoint) -> Self {
        let member = Endpoint {
            id: kept.id,
            addr: kept.addr,
            zone: kept.zone,
            kind: kept.kind,
            cell: kept.cell,
            state: EndpointState::from_word(&kept.state),
            weight: kept.weight,
            started: kept.started_ns,
        };
        // Overrides are kept in tables of their own.
        SourcedEndpoint { member, listed: kept.listed, shared: kept.shared, imposed: Default::default() }
    }
}

impl StoredEndpoint {
    /// As a record of the present form.
    pub fn record(&self) -> Vec<u8> {
        // Plain fields always have a JSON form.
        seal(FORMAT_VERSION, &serde_json::to_vec(self).unwrap_or_default())
    }

    /// Reads a record, brought up from an earlier form where it is of one.
    ///
    /// # Errors
    /// Damage, a later form, or other content.
    pub fn read(record: &[u8]) -> Result<StoredEndpoint, RecordError> {
        let (form, content) = open(record)?;
        let fault = |e: serde_json::Error| RecordError::Content(e.to_string());
        if form >= 2 {
            return serde_json::from_slice(content).map_err(fault);
        }
        let old: Kept1 = serde_json::from_slice(content).map_err(fault)?;
        let Kept1 { id, addr, zone, kind, cell, state, weight, started, listed, shared } = old;
        let started_ns = started.saturating_mul(1_000_000);
        Ok(StoredEndpoint { id, addr, zone, kind, cell, state, weight, started_ns, listed, shared })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_record_of_the_first_form_is_brought_up() {
        let old = br#"{"id":"a","addr":null,"zone":"z","kind":"k","cell":1,"state":"draining","weight":2.0,"started":7,"listed":3,"shared":true}"#;
        let kept = StoredEndpoint::read(&seal(1, old)).expect("read");
        assert_eq!((kept.started_ns, kept.listed, kept.state.as_str()), (7_000_000, 3, "draining"));
        assert_eq!(StoredEndpoint::read(&kept.record()), Ok(kept));
    }

    #[test]
    fn damage_in_any_byte_is_seen_and_later_forms_are_named() {
        let record = seal(FORMAT_VERSION, b"{}");
        for at in 0..record.len() {
            let mut damaged = record.clone();
            damaged[at] ^= 0x10;
            assert_eq!(open(&damaged), Err(RecordError::Damaged), "byte {at}");
        }
        assert_eq!(open(&record[..3]), Err(RecordError::Damaged));
        assert_eq!(open(&seal(9, b"{}")), Err(RecordError::Newer(9)));
    }
}
