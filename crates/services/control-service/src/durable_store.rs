//! The interface of a durable store, and the errors of a write to it.

use rushquay_overrides::OverrideLimits;
use rushquay_state::{
    EndpointWrite, HeldLease, OverrideWrite, RecordWrite, SharedError, SharedState, StoredState,
};
use std::sync::Arc;

/// A store whose writes survive a restart: a file of this instance, or state shared by several instances.
pub trait DurableStore: Send + Sync {
    /// Writes a change of the endpoint list.
    ///
    /// # Errors
    /// Nothing of it was written, or it is not known whether it was.
    fn write_endpoints(&self, write: &EndpointWrite) -> Result<(), SharedError>;
    /// Writes a change of the override set.
    ///
    /// # Errors
    /// As for [`DurableStore::write_endpoints`].
    fn write_overrides(&self, write: &OverrideWrite) -> Result<(), SharedError>;
    /// Writes named records of the controllers.
    ///
    /// # Errors
    /// As for [`DurableStore::write_endpoints`].
    fn write_records(&self, write: &RecordWrite) -> Result<(), SharedError>;
    /// Reads the endpoint list.
    ///
    /// # Errors
    /// The store can't be read.
    fn read_endpoints(&self) -> Result<StoredState, SharedError>;
}

/// State shared by several instances, written under a lease.
pub struct LeasedStore {
    pub store: Arc<dyn SharedState>,
    pub held: HeldLease,
}

impl DurableStore for LeasedStore {
    fn write_endpoints(&self, write: &EndpointWrite) -> Result<(), SharedError> {
        self.store.keep(self.held, write)
    }
    fn write_overrides(&self, write: &OverrideWrite) -> Result<(), SharedError> {
        self.store.keep_book(self.held, write)
    }
    fn write_records(&self, write: &RecordWrite) -> Result<(), SharedError> {
        self.store.keep_records(self.held, write)
    }
    fn read_endpoints(&self) -> Result<StoredState, SharedError> {
        Ok(self.store.load(OverrideLimits::default())?.0)
    }
}

/// What is known about a failed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistFailure {
    /// There is no store: nothing was written.
    NoStore,
    /// Another instance leads or is about to: the write will never take effect.
    Fenced,
    /// No response arrived: the write may still take effect.
    Unsure,
    /// The store failed: the write may have taken effect in full, in part or not at all.
    Failed,
}

/// A write that did not succeed.
#[derive(Clone, Debug)]
pub struct PersistError {
    /// The store's error as text for operators.
    pub reason: String,
    /// What is known about the write.
    pub failure: PersistFailure,
}

impl From<SharedError> for PersistError {
    fn from(error: SharedError) -> Self {
        let failure = match error {
            SharedError::Fenced(_) => PersistFailure::Fenced,
            SharedError::Unreachable(_) => PersistFailure::Unsure,
            SharedError::State(_) => PersistFailure::Failed,
        };
        PersistError { reason: error.to_string(), failure }
    }
}
