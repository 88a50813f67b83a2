//! The endpoint list in the store.

use super::{InvalidRecord, StateStore, ENDPOINTS, HISTORY, META, OVERRIDES};
use crate::error::StateError;
use crate::record::{open, seal, RecordError, StoredEndpoint, FORMAT_VERSION};
use crate::writes::{EndpointWrite, StoredState};
use redb::{ReadableTable, StorageError};

/// The key of the version of the last list.
const VERSION: &str = "version";

type Table<'txn> = redb::Table<'txn, &'static str, &'static [u8]>;

impl StateStore {
    /// Reads the endpoint list, and checks each record.
    ///
    /// # Errors
    /// The first record that can't be used.
    pub fn read(&self) -> Result<StoredState, StateError> {
        self.read_txn(|txn| {
            let endpoints = txn.open_table(ENDPOINTS)?;
            let meta = txn.open_table(META)?;
            let mut state = StoredState::default();
            if let Some(record) = meta.get(VERSION)? {
                match parse_version(record.value()) {
                    Ok(version) => state.version = Some(version),
                    Err(error) => return Ok(Err(InvalidRecord::new("meta", VERSION, error))),
                }
            }
            for row in endpoints.iter()? {
                let (key, record) = row?;
                match StoredEndpoint::read(record.value()) {
                    Ok(endpoint) => state.nodes.push(endpoint.into()),
                    Err(error) => return Ok(Err(InvalidRecord::new("nodes", key.value(), error))),
                }
            }
            Ok(Ok(state))
        })
    }

    /// Persists a change of the endpoint list. Once this returns `Ok`, the change survives a crash; otherwise it is
    /// there whole or not at all.
    ///
    /// # Errors
    /// See [`StateError`]; what was stored before stays.
    pub fn keep(&self, write: &EndpointWrite) -> Result<(), StateError> {
        self.write_endpoints(|endpoints, meta| {
            if write.whole {
                endpoints.retain(|_, _| false)?;
            }
            for sourced in &write.set {
                let record = StoredEndpoint::from(sourced).record();
                endpoints.insert(sourced.member.id.as_str(), record.as_slice())?;
            }
            for id in &write.gone {
                endpoints.remove(id.as_str())?;
            }
            if let Some(version) = write.version {
                let record = seal(FORMAT_VERSION, version.to_string().as_bytes());
                meta.insert(VERSION, record.as_slice())?;
            }
            Ok(())
        })
    }

    /// Writes to the endpoint and meta tables, and creates the tables that every store has.
    pub(super) fn write_endpoints(
        &self,
        write: impl FnOnce(&mut Table<'_>, &mut Table<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StateError> {
        self.write_txn(|txn| {
            let mut endpoints = txn.open_table(ENDPOINTS)?;
            let mut meta = txn.open_table(META)?;
            write(&mut endpoints, &mut meta)?;
            txn.open_table(OVERRIDES)?;
            txn.open_table(HISTORY)?;
            Ok(())
        })
    }
}

fn parse_version(record: &[u8]) -> Result<u64, RecordError> {
    let (_, content) = open(record)?;
    serde_json::from_slice(content).map_err(|e| RecordError::Content(e.to_string()))
}
