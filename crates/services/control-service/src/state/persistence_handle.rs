//! The store that is in use at present, if any.

use crate::persistence::Persistence;
use crate::sync::lock;
use std::sync::{Arc, Mutex};

/// A slot for the present store. Its lock is a leaf: nothing else is locked under it.
#[derive(Default)]
pub struct PersistenceHandle(Mutex<Option<Arc<Persistence>>>);

impl PersistenceHandle {
    /// The present store; `None`: nothing is persisted.
    pub fn current(&self) -> Option<Arc<Persistence>> {
        lock(&self.0).clone()
    }

    /// Uses this store from now on.
    pub fn install(&self, persistence: Persistence) {
        *lock(&self.0) = Some(Arc::new(persistence));
    }

    /// Uses no store from now on.
    pub fn remove(&self) {
        let persistence = lock(&self.0).take();
        // Dropped outside the lock: its thread may be in the middle of a write, which ends by itself.
        drop(persistence);
    }
}
