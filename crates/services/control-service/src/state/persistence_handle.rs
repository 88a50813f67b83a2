//! The store that is currently in use, if any.

use crate::persistence::Persistence;
use crate::sync::lock;
use std::sync::{Arc, Mutex};

/// A slot for the current store. Its lock is a leaf: no other lock is taken under it.
#[derive(Default)]
pub struct PersistenceHandle(Mutex<Option<Arc<Persistence>>>);

impl PersistenceHandle {
    /// The current store; `None` if nothing is persisted.
    pub fn current(&self) -> Option<Arc<Persistence>> {
        lock(&self.0).clone()
    }

    /// Installs this store.
    pub fn install(&self, persistence: Persistence) {
        *lock(&self.0) = Some(Arc::new(persistence));
    }

    /// Removes the store; nothing is persisted until another one is installed.
    pub fn remove(&self) {
        let persistence = lock(&self.0).take();
        // Dropped outside the lock, because dropping it waits for a write in progress.
        drop(persistence);
    }
}
