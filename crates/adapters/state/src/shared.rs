//! State that several instances share, one of which writes at a time: a lease decides which.

use crate::store::LeaseRecord;
use crate::succession::Succession;
use crate::{EndpointWrite, OverrideWrite, RecordWrite, StateError, StateStore, StoredState};
use rushquay_overrides::{OverrideLimits, OverrideSet};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// A lease that was won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Its epoch, higher than those of all leases before it.
    pub epoch: u64,
    /// The store's own name for it.
    pub lease: i64,
}

/// What came of asking for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Campaign {
    /// It is this instance's.
    Won(HeldLease),
    /// Another has it.
    Taken {
        /// Who, as it calls itself.
        by: String,
    },
}

/// Why a shared store did not do what it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum SharedError {
    /// The lease is over or another's. Nothing was written, and nothing will be under this lease.
    #[error("the lease of epoch {0} is over: another instance leads or soon will")]
    Fenced(u64),
    /// It can't be reached, or did not answer in time: what was to be written may be there or not.
    #[error("{0}; the lease is kept for as long as it lasts")]
    Unreachable(String),
    /// It answers, and with a fault.
    #[error(transparent)]
    State(#[from] StateError),
}

/// Leases and state that several instances share. Calls wait for the store, so they belong on threads of their own.
///
/// Every write is bound to the lease: where it is over when the write is made, nothing is written
/// ([`SharedError::Fenced`]). Danger: checked before the write and apart from it, a pause between the two would let an
/// instance that no longer leads overwrite what its successor has written.
pub trait SharedState: Send + Sync {
    /// What it is and where, for people.
    fn name(&self) -> String;
    /// Asks for the lease for `me`, for so long from now.
    ///
    /// # Errors
    /// See [`SharedError`]. Where it is unreachable the lease may have been given; it then ends by itself.
    fn campaign(&self, me: &str, ttl: Duration) -> Result<Campaign, SharedError>;
    /// Lets the lease run for its whole time again.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn renew(&self, held: HeldLease) -> Result<(), SharedError>;
    /// Gives the lease back, so that another need not wait for its end.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn resign(&self, held: HeldLease) -> Result<(), SharedError>;
    /// Waits until the lease may be free, or so long.
    fn wait(&self, most: Duration);
    /// Reads all that is kept.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn load(&self, policy: OverrideLimits) -> Result<(StoredState, OverrideSet), SharedError>;
    /// Keeps a change of node knowledge.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn keep(&self, held: HeldLease, change: &EndpointWrite) -> Result<(), SharedError>;
    /// Keeps the book of overrides.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn keep_book(&self, held: HeldLease, change: &OverrideWrite) -> Result<(), SharedError>;
    /// Reads the records of other parts.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn load_records(&self) -> Result<BTreeMap<String, Value>, SharedError>;
    /// Keeps records of other parts. Where they are too many for one transaction of the store, each is there whole or not.
    ///
    /// # Errors
    /// See [`SharedError`].
    fn keep_records(&self, held: HeldLease, change: &RecordWrite) -> Result<(), SharedError>;
}

/// Another instance holds the file for as long as one of its calls takes. One that holds it for longer stands still.
const TURN: Duration = Duration::from_secs(2);
/// So many files in a row may be left to instances that stand still, in one call.
const SUCCESSORS_MOST: u32 = 3;
const TURN_AGAIN: Duration = Duration::from_millis(2);
/// The file is looked at so often for a lease that was given back.
const LOOK: Duration = Duration::from_millis(50);

/// Instances on one machine share a file. Each call holds it, alone, for as long as it takes: the file's lock is the
/// kernel's, so that a process that dies leaves nothing locked. What one that stands still keeps locked is left to it, and the others
/// go on with a copy.
pub struct SharedFile {
    files: Succession,
    clock: Box<dyn Fn() -> u64 + Send + Sync>,
    boot: String,
    ttl: std::sync::atomic::AtomicU64,
    first: u64,
}

impl SharedFile {
    /// Shares this file. `clock` must be the same for all processes of the machine and count while it is suspended, in
    /// nanoseconds; `boot` names the machine's present start: a lease from before it is over.
    pub fn new(path: &Path, boot: &str, clock: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        let ttl = std::sync::atomic::AtomicU64::new(0);
        SharedFile {
            files: Succession::of(path),
            clock: Box::new(clock),
            boot: boot.to_owned(),
            ttl,
            first: 1,
        }
    }

    /// The first epoch of a file that knows of none. Danger: a file that was lost begins anew, and who has heard of a later epoch takes
    /// nothing from its leaders; seconds of Unix time are later than all epochs of the file before it, which came a second apart at
    /// the least.
    pub fn first_epoch(mut self, first: u64) -> Self {
        self.first = first.max(1);
        self
    }

    /// The newest file, once no other instance holds it.
    fn open(&self) -> Result<Opened<'_>, SharedError> {
        for _ in 0..SUCCESSORS_MOST {
            let number = self.files.newest();
            if !self.files.is_closed(number) {
                match self.open_within(number, TURN) {
                    Ok(store) if !self.files.is_closed(number) => {
                        return Ok(Opened { store, number, files: &self.files });
                    }
                    Ok(_) => {}
                    Err(StateError::Locked(_)) => {
                        self.files.close(number).map_err(|e| self.unreachable(&e))?
                    }
                    Err(e) => return Err(e.into()),
                }
            }
            self.files.succeed(number).map_err(|e| self.unreachable(&e))?;
        }
        Err(self.unreachable(&"instances that stand still hold one file after another"))
    }

    /// A file, once no other instance holds it, within this time.
    fn open_within(&self, number: u64, most: Duration) -> Result<StateStore, StateError> {
        let (path, start) = (self.files.path(number), Instant::now());
        loop {
            match StateStore::open(&path) {
                Err(StateError::Locked(_)) if start.elapsed() < most => std::thread::sleep(TURN_AGAIN),
                other => return other,
            }
        }
    }

    fn unreachable(&self, why: &dyn std::fmt::Display) -> SharedError {
        SharedError::Unreachable(format!("{}: {why}", self.files.base().display()))
    }

    fn live(&self, record: &LeaseRecord) -> bool {
        record.boot == self.boot && (self.clock)() < record.until
    }

    /// Does something while the lease is held, and nobody else can take it.
    fn under<T>(
        &self,
        held: HeldLease,
        does: impl FnOnce(&StateStore, LeaseRecord) -> Result<T, StateError>,
    ) -> Result<T, SharedError> {
        let opened = self.open()?;
        let store = &opened.store;
        match store.lease()?.filter(|r| r.epoch == held.epoch && self.live(r)) {
            Some(record) => {
                let done = does(store, record)?;
                opened.counts().map(|()| done)
            }
            None => Err(SharedError::Fenced(held.epoch)),
        }
    }
}

/// A file that this instance holds.
struct Opened<'a> {
    store: StateStore,
    number: u64,
    files: &'a Succession,
}

impl Opened<'_> {
    /// Whether what has been written counts. Danger: this instance may have stood still meanwhile, and the others have gone on
    /// with a copy.
    fn counts(&self) -> Result<(), SharedError> {
        match self.files.is_closed(self.number) {
            false => Ok(()),
            true => {
                let path = self.files.path(self.number);
                let why = "it was left to this instance while it stood still";
                Err(SharedError::Unreachable(format!("{}: {why}", path.display())))
            }
        }
    }
}

impl SharedState for SharedFile {
    fn name(&self) -> String {
        format!("file {}", self.files.base().display())
    }

    fn campaign(&self, me: &str, ttl: Duration) -> Result<Campaign, SharedError> {
        let ttl = ttl.as_nanos() as u64;
        self.ttl.store(ttl, std::sync::atomic::Ordering::Relaxed);
        let opened = self.open()?;
        let store = &opened.store;
        let before = store.lease()?;
        if let Some(other) = before.as_ref().filter(|r| self.live(r)) {
            return Ok(Campaign::Taken { by: other.holder.clone() });
        }
        let epoch = before.map_or(self.first, |r| r.epoch + 1);
        let until = (self.clock)().saturating_add(ttl);
        store.set_lease(&LeaseRecord { holder: me.to_owned(), epoch, until, boot: self.boot.clone() })?;
        opened.counts()?;
        Ok(Campaign::Won(HeldLease { epoch, lease: 0 }))
    }

    fn renew(&self, held: HeldLease) -> Result<(), SharedError> {
        let ttl = self.ttl.load(std::sync::atomic::Ordering::Relaxed);
        let until = (self.clock)().saturating_add(ttl);
        self.under(held, |store, record| store.set_lease(&LeaseRecord { until, ..record }))
    }

    fn resign(&self, held: HeldLease) -> Result<(), SharedError> {
        // The epoch stays: the next is higher.
        self.under(held, |store, record| store.set_lease(&LeaseRecord { until: 0, ..record }))
    }

    fn wait(&self, most: Duration) {
        let start = Instant::now();
        while start.elapsed() < most {
            std::thread::sleep(LOOK.min(most));
            let lease = self.open().and_then(|opened| Ok(opened.store.lease()?));
            if lease.is_ok_and(|r| r.is_none_or(|r| !self.live(&r))) {
                return;
            }
        }
    }

    fn load(&self, policy: OverrideLimits) -> Result<(StoredState, OverrideSet), SharedError> {
        let opened = self.open()?;
        Ok((opened.store.read()?, opened.store.read_book(policy)?))
    }

    fn keep(&self, held: HeldLease, change: &EndpointWrite) -> Result<(), SharedError> {
        self.under(held, |store, _| store.keep(change))
    }

    fn keep_book(&self, held: HeldLease, change: &OverrideWrite) -> Result<(), SharedError> {
        self.under(held, |store, _| store.keep_book(change))
    }

    fn load_records(&self) -> Result<BTreeMap<String, Value>, SharedError> {
        Ok(self.open()?.store.read_records()?)
    }

    fn keep_records(&self, held: HeldLease, change: &RecordWrite) -> Result<(), SharedError> {
        self.under(held, |store, _| store.keep_records(change))
    }
}
