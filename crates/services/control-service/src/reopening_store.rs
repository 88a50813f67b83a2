//! A file store of a single instance that is reopened after a failure.
//!
//! After an I/O error the embedded store rejects all further calls, because its state in memory may differ from the disk. A temporary
//! disk failure (EIO, ENOSPC, a failed sync) must not end persistence, so the store is closed, and the next call reopens it and reads
//! the actual content of the disk.

use crate::durable_store::DurableStore;
use crate::sync::lock;
use rushquay_state::{
    EndpointWrite, OverrideWrite, RecordWrite, SharedError, StateError, StateStore, StoredState,
};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

/// A store that is reopened after a failure.
pub struct ReopeningStore {
    path: PathBuf,
    store: Mutex<Option<StateStore>>,
}

impl ReopeningStore {
    /// Wraps a store that has just been opened from this file.
    pub fn new(path: &Path, store: StateStore) -> Self {
        ReopeningStore { path: path.to_owned(), store: Mutex::new(Some(store)) }
    }

    /// Runs an operation on the store, and reopens the store first if the last operation failed.
    fn with<T>(
        &self,
        operation: impl FnOnce(&StateStore) -> Result<T, StateError>,
    ) -> Result<T, SharedError> {
        let mut slot = lock(&self.store);
        let store = match slot.take() {
            Some(store) => store,
            None => StateStore::open(&self.path)?,
        };
        let result = operation(&store);
        // A damaged record does not affect the rest of the store; after any other error the store is closed.
        if matches!(result, Ok(_) | Err(StateError::Record { .. })) {
            *slot = Some(store);
        }
        Ok(result?)
    }
}

impl DurableStore for ReopeningStore {
    fn write_endpoints(&self, write: &EndpointWrite) -> Result<(), SharedError> {
        self.with(|store| store.keep(write))
    }

    fn write_overrides(&self, write: &OverrideWrite) -> Result<(), SharedError> {
        self.with(|store| store.keep_book(write))
    }

    fn write_records(&self, write: &RecordWrite) -> Result<(), SharedError> {
        self.with(|store| store.keep_records(write))
    }

    fn read_endpoints(&self) -> Result<StoredState, SharedError> {
        self.with(StateStore::read)
    }
}
