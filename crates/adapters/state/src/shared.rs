//! State that several instances share, and the lease that decides which one of them writes.

use crate::store::LeaseRecord;
use crate::succession::Succession;
use crate::{EndpointWrite, OverrideWrite, RecordWrite, StateError, StateStore, StoredState};
use rushquay_overrides::{OverrideLimits, OverrideSet};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The epoch, higher than those of all leases before it.
    pub epoch: u64,
    /// The store's own id of the lease.
    pub lease: i64,
}

/// The outcome of a campaign for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Campaign {
    /// This instance holds the lease.
    Won(HeldLease),
    /// Another instance holds it.
    Taken {
        /// The name that the other instance gave itself.
        by: String,
    },
}

/// Why an operation on a shared store failed.
#[derive(Debug, thiserror::Error)]
pub enum SharedError {
    /// The lease has expired or is another instance's. Nothing was written, and nothing will be under this lease.
    #[error("the lease of epoch {0} is over: another instance leads or soon will")]
    Fenced(u64),
    /// The store is unreachable, or did not answer in time: the write may have taken effect or not.
    #[error("{0}; the lease is kept for as long as it lasts")]
    Unreachable(String),
    /// The store answered with an error.
    #[error(transparent)]
    State(#[from] StateError),
}

/// A lease and state that several instances share. Calls block on the store, so they belong on threads of their own.
///
/// Every write is bound to the lease: where the lease has expired when the write is made, nothing is written
/// ([`SharedError::Fenced`]). Danger: checked before the write and apart from it, a pause between the two would let
/// an instance that is no longer the leader overwrite what its successor has written.
pub trait SharedState: Send + Sync {
    /// The kind and the location of the store, for people.
    fn name(&self) -> String;
    /// Campaigns for the lease on behalf of `candidate`, for the duration `ttl` from now.
    ///
    /// # Errors
    /// See [`SharedError`]. Where the store is unreachable the lease may have been granted; it then expires by
    /// itself.
    fn campaign(&self, candidate: &str, ttl: Duration) -> Result<Campaign, SharedError>;
    /// Renews the lease for its whole duration.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn renew(&self, held: HeldLease) -> Result<(), SharedError>;
    /// Releases the lease, so that another instance need not wait until it expires.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn resign(&self, held: HeldLease) -> Result<(), SharedError>;
    /// Blocks until the lease may be free, at most for this long.
    fn wait(&self, max: Duration);
    /// Reads the endpoint list and the overrides.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn load(&self, limits: OverrideLimits) -> Result<(StoredState, OverrideSet), SharedError>;
    /// Persists a change of the endpoint list.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn keep(&self, held: HeldLease, write: &EndpointWrite) -> Result<(), SharedError>;
    /// Persists the overrides.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn keep_book(&self, held: HeldLease, write: &OverrideWrite) -> Result<(), SharedError>;
    /// Reads the records of other components.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn load_records(&self) -> Result<BTreeMap<String, Value>, SharedError>;
    /// Persists records of other components. Where they are too many for one transaction of the store, each is there
    /// whole or not at all.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn keep_records(&self, held: HeldLease, write: &RecordWrite) -> Result<(), SharedError>;
}

/// How long to wait for the file's lock. Another instance holds it for as long as one of its calls takes; one that
/// holds it for longer is suspended.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// The most files in a row that one call abandons to suspended instances.
const MAX_SUCCESSIONS_PER_CALL: u32 = 3;
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// How often the file is checked for a lease that was released.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A store in a file that instances on one machine share. Each call holds the file exclusively for as long as it
/// takes: the lock is the kernel's, so a process that dies leaves nothing locked. A file that a suspended process
/// keeps locked is abandoned to it, and the others continue with a copy.
pub struct SharedFile {
    files: Succession,
    clock: Box<dyn Fn() -> u64 + Send + Sync>,
    boot: String,
    ttl: AtomicU64,
    first_epoch: u64,
}

impl SharedFile {
    /// Shares this file. `clock` must be the same for all processes of the machine and count while it is suspended,
    /// in nanoseconds; `boot` names the machine's present start: a lease from before it has expired.
    pub fn new(path: &Path, boot: &str, clock: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        let ttl = AtomicU64::new(0);
        SharedFile {
            files: Succession::of(path),
            clock: Box::new(clock),
            boot: boot.to_owned(),
            ttl,
            first_epoch: 1,
        }
    }

    /// Sets the first epoch of a file without one. Danger: a file that was lost starts over, and whoever has seen a
    /// later epoch rejects the messages of its leaders; seconds of Unix time are later than all epochs of the
    /// previous file, which were at least a second apart.
    pub fn first_epoch(mut self, epoch: u64) -> Self {
        self.first_epoch = epoch.max(1);
        self
    }

    /// Opens the newest file, once no other instance holds it.
    fn open(&self) -> Result<OpenFile<'_>, SharedError> {
        for _ in 0..MAX_SUCCESSIONS_PER_CALL {
            let number = self.files.newest();
            if !self.files.is_closed(number) {
                match self.open_within(number, LOCK_TIMEOUT) {
                    Ok(store) if !self.files.is_closed(number) => {
                        return Ok(OpenFile { store, number, files: &self.files });
                    }
                    Ok(_) => {}
                    Err(StateError::Locked(_)) => {
                        self.files.close(number).map_err(|e| self.unreachable(&e))?;
                    }
                    Err(e) => return Err(e.into()),
                }
            }
            self.files.succeed(number).map_err(|e| self.unreachable(&e))?;
        }
        Err(self.unreachable(&"suspended instances hold one file after another"))
    }

    /// Opens a file, once no other instance holds it, within this time.
    fn open_within(&self, number: u64, max: Duration) -> Result<StateStore, StateError> {
        let (path, start) = (self.files.path(number), Instant::now());
        loop {
            match StateStore::open(&path) {
                Err(StateError::Locked(_)) if start.elapsed() < max => {
                    std::thread::sleep(LOCK_RETRY_INTERVAL);
                }
                other => return other,
            }
        }
    }

    fn unreachable(&self, reason: &dyn std::fmt::Display) -> SharedError {
        SharedError::Unreachable(format!("{}: {reason}", self.files.base().display()))
    }

    fn is_live(&self, record: &LeaseRecord) -> bool {
        record.boot == self.boot && (self.clock)() < record.until
    }

    /// Runs an operation while the lease is held, and no other instance can take it.
    fn with_lease<T>(
        &self,
        held: HeldLease,
        operation: impl FnOnce(&StateStore, LeaseRecord) -> Result<T, StateError>,
    ) -> Result<T, SharedError> {
        let open_file = self.open()?;
        let store = &open_file.store;
        match store.lease()?.filter(|r| r.epoch == held.epoch && self.is_live(r)) {
            Some(record) => {
                let result = operation(store, record)?;
                open_file.confirm().map(|()| result)
            }
            None => Err(SharedError::Fenced(held.epoch)),
        }
    }
}

/// A file that this instance has locked.
struct OpenFile<'a> {
    store: StateStore,
    number: u64,
    files: &'a Succession,
}

impl OpenFile<'_> {
    /// Checks that what was written takes effect. Danger: this instance may have been suspended meanwhile, and the
    /// others have continued with a copy.
    fn confirm(&self) -> Result<(), SharedError> {
        match self.files.is_closed(self.number) {
            false => Ok(()),
            true => {
                let path = self.files.path(self.number);
                let reason = "it was abandoned to this instance while it was suspended";
                Err(SharedError::Unreachable(format!("{}: {reason}", path.display())))
            }
        }
    }
}

impl SharedState for SharedFile {
    fn name(&self) -> String {
        format!("file {}", self.files.base().display())
    }

    fn campaign(&self, candidate: &str, ttl: Duration) -> Result<Campaign, SharedError> {
        let ttl = ttl.as_nanos() as u64;
        self.ttl.store(ttl, Ordering::Relaxed);
        let open_file = self.open()?;
        let store = &open_file.store;
        let previous = store.lease()?;
        if let Some(current) = previous.as_ref().filter(|r| self.is_live(r)) {
            return Ok(Campaign::Taken { by: current.holder.clone() });
        }
        let epoch = previous.map_or(self.first_epoch, |r| r.epoch + 1);
        let until = (self.clock)().saturating_add(ttl);
        store.set_lease(&LeaseRecord {
            holder: candidate.to_owned(),
            epoch,
            until,
            boot: self.boot.clone(),
        })?;
        open_file.confirm()?;
        Ok(Campaign::Won(HeldLease { epoch, lease: 0 }))
    }

    fn renew(&self, held: HeldLease) -> Result<(), SharedError> {
        let ttl = self.ttl.load(Ordering::Relaxed);
        let until = (self.clock)().saturating_add(ttl);
        self.with_lease(held, |store, record| store.set_lease(&LeaseRecord { until, ..record }))
    }

    fn resign(&self, held: HeldLease) -> Result<(), SharedError> {
        // The epoch stays: the next one is higher.
        self.with_lease(held, |store, record| store.set_lease(&LeaseRecord { until: 0, ..record }))
    }

    fn wait(&self, max: Duration) {
        let start = Instant::now();
        while start.elapsed() < max {
            std::thread::sleep(LEASE_POLL_INTERVAL.min(max));
            let lease = self.open().and_then(|open_file| Ok(open_file.store.lease()?));
            if lease.is_ok_and(|r| r.is_none_or(|r| !self.is_live(&r))) {
                return;
            }
        }
    }

    fn load(&self, limits: OverrideLimits) -> Result<(StoredState, OverrideSet), SharedError> {
        let open_file = self.open()?;
        Ok((open_file.store.read()?, open_file.store.read_book(limits)?))
    }

    fn keep(&self, held: HeldLease, write: &EndpointWrite) -> Result<(), SharedError> {
        self.with_lease(held, |store, _| store.keep(write))
    }

    fn keep_book(&self, held: HeldLease, write: &OverrideWrite) -> Result<(), SharedError> {
        self.with_lease(held, |store, _| store.keep_book(write))
    }

    fn load_records(&self) -> Result<BTreeMap<String, Value>, SharedError> {
        Ok(self.open()?.store.read_records()?)
    }

    fn keep_records(&self, held: HeldLease, write: &RecordWrite) -> Result<(), SharedError> {
        self.with_lease(held, |store, _| store.keep_records(write))
    }
}
