//! The operators' overrides, and which of their events are durable.

use super::persistence_handle::PersistenceHandle;
use crate::durable_store::{PersistError, PersistFailure};
use crate::sync::lock;
use rushquay_overrides::{OverrideLimits, OverrideSet};
use rushquay_state::OverrideWrite;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use tracing::{info, warn};

/// The override set and the number of its last durable event.
///
/// Lock order: write lock, persisted mark, set.
pub struct Overrides {
    set: Mutex<OverrideSet>,
    /// Held from a command's change of the set until the change is durable or rolled back.
    write_lock: Mutex<()>,
    /// The number of the last event that is durable.
    last_persisted_event: Mutex<u64>,
    /// A write of the set failed, and none has succeeded since.
    has_unpersisted: AtomicBool,
}

/// The locked number of the last durable event. No overrides are persisted while it is held.
pub struct PersistedMark<'a>(MutexGuard<'a, u64>);

impl PersistedMark<'_> {
    /// Sets it to the last event of a set that was read from the store.
    pub fn reset_to(&mut self, set: &OverrideSet) {
        *self.0 = last_event(set);
    }
}

/// One command's exclusive right to change the set.
pub struct OverrideWriter<'a> {
    overrides: &'a Overrides,
    _guard: MutexGuard<'a, ()>,
}

impl OverrideWriter<'_> {
    /// A copy of the set, for [`OverrideWriter::roll_back`].
    pub fn snapshot(&self) -> OverrideSet {
        self.overrides.set().clone()
    }

    /// Restores the set from before a change that could not be persisted.
    pub fn roll_back(&self, snapshot: OverrideSet) {
        self.overrides.replace(snapshot);
    }
}

impl Overrides {
    pub fn new(limits: OverrideLimits) -> Self {
        Overrides {
            set: Mutex::new(OverrideSet::new(limits)),
            write_lock: Mutex::default(),
            last_persisted_event: Mutex::default(),
            has_unpersisted: AtomicBool::new(false),
        }
    }

    /// The set itself, locked.
    pub fn set(&self) -> MutexGuard<'_, OverrideSet> {
        lock(&self.set)
    }

    /// Replaces the set.
    pub fn replace(&self, set: OverrideSet) {
        *self.set() = set;
    }

    /// Waits for the exclusive right to change the set by a command.
    pub fn writer(&self) -> OverrideWriter<'_> {
        OverrideWriter { overrides: self, _guard: lock(&self.write_lock) }
    }

    /// Locks the number of the last durable event.
    pub fn lock_persisted_mark(&self) -> PersistedMark<'_> {
        PersistedMark(lock(&self.last_persisted_event))
    }

    /// Whether overrides are held in memory alone because a write failed.
    pub fn has_unpersisted(&self) -> bool {
        self.has_unpersisted.load(Ordering::SeqCst)
    }

    /// Clears a failed write that belonged to an earlier lease.
    pub fn clear_unpersisted(&self) {
        self.has_unpersisted.store(false, Ordering::SeqCst);
    }

    /// Writes what has changed since the last durable event. Blocks on the store.
    pub fn persist(&self, persistence: &PersistenceHandle) -> Result<(), PersistError> {
        // Held during the write, so that writes are made one at a time, in the order of their events.
        let mut last_persisted = lock(&self.last_persisted_event);
        let Some(persistence) = persistence.current() else {
            return Err(PersistError {
                reason: "no --state file is given".into(),
                failure: PersistFailure::NoStore,
            });
        };
        let (write, last_event) = self.write_since(*last_persisted);
        match persistence.write_overrides(&write) {
            Ok(()) => {
                *last_persisted = last_event;
                if self.has_unpersisted.swap(false, Ordering::SeqCst) {
                    info!(overrides = write.live.len(), "overrides are persisted again");
                }
                Ok(())
            }
            Err(error) => {
                // The disk may have lost more than this write: the whole set is written next time.
                *last_persisted = 0;
                if !self.has_unpersisted.swap(true, Ordering::SeqCst) {
                    warn!(error = %error.reason, "overrides not persisted; held in memory");
                }
                Err(error)
            }
        }
    }

    /// The write with all events after `last_persisted`, and the number of the last of them.
    fn write_since(&self, last_persisted: u64) -> (OverrideWrite, u64) {
        let set = self.set();
        let mut events: Vec<_> = set.history().take_while(|e| e.number > last_persisted).cloned().collect();
        events.reverse();
        let last_event = events.last().map_or(last_persisted, |e| e.number);
        let write = OverrideWrite {
            live: set.live().cloned().collect(),
            events,
            next: set.next_id(),
            revision: set.revision(),
            history: set.limits().history,
        };
        (write, last_event)
    }
}

fn last_event(set: &OverrideSet) -> u64 {
    set.history().next().map_or(0, |e| e.number)
}
