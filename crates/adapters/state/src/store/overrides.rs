//! Operators' overrides and their history in the store.

use super::{InvalidRecord, StateStore, HISTORY, META, OVERRIDES};
use crate::error::StateError;
use crate::record::{sealed, unsealed};
use crate::writes::OverrideWrite;
use redb::{ReadTransaction, ReadableTable, ReadableTableMetadata, TableDefinition, WriteTransaction};
use rushquay_overrides::{OverrideLimits, OverrideSet};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The key of the counters.
const COUNTERS: &str = "book";

/// The numbers from which a set of overrides continues.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Counters {
    next: u64,
    revision: u64,
}

/// What becomes of the stored history.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum History {
    Append,
    Replace,
}

impl StateStore {
    /// Persists the overrides. Once this returns `Ok`, the change survives a crash.
    ///
    /// # Errors
    /// See [`StateError`]; what was stored before stays.
    pub fn keep_book(&self, write: &OverrideWrite) -> Result<(), StateError> {
        self.write_overrides(write, History::Append)
    }

    pub(super) fn write_overrides(&self, write: &OverrideWrite, mode: History) -> Result<(), StateError> {
        self.write_txn(|txn| {
            let mut overrides = txn.open_table(OVERRIDES)?;
            overrides.retain(|_, _| false)?;
            for live in &write.live {
                overrides.insert(live.id, sealed(live).as_slice())?;
            }
            write_history(txn, write, mode)?;
            let counters = Counters { next: write.next, revision: write.revision };
            txn.open_table(META)?.insert(COUNTERS, sealed(&counters).as_slice())?;
            Ok(())
        })
    }

    /// Reads the overrides.
    ///
    /// # Errors
    /// The first record that can't be used.
    pub fn read_book(&self, limits: OverrideLimits) -> Result<OverrideSet, StateError> {
        self.read_txn(|txn| {
            let live = match read_all(txn, OVERRIDES, "overrides")? {
                Ok(live) => live,
                Err(invalid) => return Ok(Err(invalid)),
            };
            let events = match read_all(txn, HISTORY, "history")? {
                Ok(events) => events,
                Err(invalid) => return Ok(Err(invalid)),
            };
            let record = txn.open_table(META)?.get(COUNTERS)?;
            let counters: Counters = match record.map(|record| unsealed(record.value())).transpose() {
                Ok(counters) => counters.unwrap_or_default(),
                Err(error) => return Ok(Err(InvalidRecord::new("meta", COUNTERS, error))),
            };
            Ok(Ok(OverrideSet::restore(limits, live, events, counters.next, counters.revision)))
        })
    }
}

fn write_history(txn: &WriteTransaction, write: &OverrideWrite, mode: History) -> Result<(), redb::Error> {
    let mut history = txn.open_table(HISTORY)?;
    if mode == History::Replace {
        history.retain(|_, _| false)?;
    }
    for event in &write.events {
        history.insert(event.number, sealed(event).as_slice())?;
    }
    // Danger: a history that is never truncated grows without bound.
    while history.len()? > write.history as u64 {
        history.pop_first()?;
    }
    Ok(())
}

fn read_all<T: DeserializeOwned>(
    txn: &ReadTransaction,
    table: TableDefinition<'_, u64, &[u8]>,
    name: &'static str,
) -> Result<Result<Vec<T>, InvalidRecord>, redb::Error> {
    let mut all = Vec::new();
    for row in txn.open_table(table)?.iter()? {
        let (key, record) = row?;
        match unsealed(record.value()) {
            Ok(one) => all.push(one),
            Err(error) => return Ok(Err(InvalidRecord::new(name, key.value(), error))),
        }
    }
    Ok(Ok(all))
}
