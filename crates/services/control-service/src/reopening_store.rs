//! A store in a file of this instance alone, which is opened anew after a failure.
//!
//! The embedded store refuses every call after an input or output error, for good: what it holds in memory may differ from what is on
//! the disk. A disk that fails for a while (EIO, ENOSPC, a failed sync) must not end the keeping, so the store is closed, and the next
//! call opens it again and reads what the disk really holds.

use crate::persistence::DurableStore;
use rushquay_state::{
    EndpointWrite, OverrideWrite, RecordWrite, SharedError, StateError, StateStore, StoredState,
};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// A store that is opened anew after a failure.
pub struct ReopeningStore {
    path: PathBuf,
    store: Mutex<Option<StateStore>>,
}

impl ReopeningStore {
    /// Around a store that has just been opened from this file.
    pub fn new(path: &Path, store: StateStore) -> Self {
        ReopeningStore { path: path.to_owned(), store: Mutex::new(Some(store)) }
    }

    /// Does something with the store, which is opened first where the last call failed.
    fn with<T>(&self, does: impl FnOnce(&StateStore) -> Result<T, StateError>) -> Result<T, SharedError> {
        let mut open = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let store = match open.take() {
            Some(store) => store,
            None => StateStore::open(&self.path)?,
        };
        let done = does(&store);
        // A damaged record is the record's own fault; after anything else the store is not to be trusted.
        if matches!(done, Ok(_) | Err(StateError::Record { .. })) {
            *open = Some(store);
        }
        Ok(done?)
    }
}

impl DurableStore for ReopeningStore {
    fn keep(&self, change: &EndpointWrite) -> Result<(), SharedError> {
        self.with(|store| store.keep(change))
    }

    fn keep_book(&self, change: &OverrideWrite) -> Result<(), SharedError> {
        self.with(|store| store.keep_book(change))
    }

    fn keep_records(&self, change: &RecordWrite) -> Result<(), SharedError> {
        self.with(|store| store.keep_records(change))
    }

    fn saved(&self) -> Result<StoredState, SharedError> {
        self.with(StateStore::read)
    }
}
