//! Named records of other components in the store.

use super::{InvalidRecord, StateStore, RECORDS};
use crate::error::StateError;
use crate::record::{sealed, unsealed};
use crate::writes::RecordWrite;
use redb::ReadableTable;
use serde_json::Value;
use std::collections::BTreeMap;

impl StateStore {
    /// Persists records of other components. Once this returns `Ok`, they survive a crash.
    ///
    /// # Errors
    /// See [`StateError`]; what was stored before stays.
    pub fn keep_records(&self, write: &RecordWrite) -> Result<(), StateError> {
        self.write_txn(|txn| {
            let mut records = txn.open_table(RECORDS)?;
            for (name, content) in &write.set {
                records.insert(name.as_str(), sealed(content).as_slice())?;
            }
            for name in &write.gone {
                records.remove(name.as_str())?;
            }
            Ok(())
        })
    }

    /// Reads the records of other components.
    ///
    /// # Errors
    /// The first record that can't be used.
    pub fn read_records(&self) -> Result<BTreeMap<String, Value>, StateError> {
        self.read_txn(|txn| {
            let records = match txn.open_table(RECORDS) {
                Ok(records) => records,
                // The store was written by a version that had no such records.
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Ok(BTreeMap::new())),
                Err(e) => return Err(e.into()),
            };
            let mut all = BTreeMap::new();
            for row in records.iter()? {
                let (key, record) = row?;
                match unsealed(record.value()) {
                    Ok(content) => drop(all.insert(key.value().to_owned(), content)),
                    Err(error) => return Ok(Err(InvalidRecord::new("records", key.value(), error))),
                }
            }
            Ok(Ok(all))
        })
    }
}
