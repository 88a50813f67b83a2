//! Keeps what the service knows in a file, on a thread of its own: a disk that is slow or full holds nobody up.

use crate::reopening_store::ReopeningStore;
use rushquay_endpoints::SourcedEndpoint;
use rushquay_overrides::{OverrideLimits, OverrideSet};
use rushquay_state::{
    EndpointWrite, HeldLease, OverrideWrite, RecordWrite, SharedError, SharedState, StateError, StateStore,
    StoredState,
};
use rushquay_xds::client::Outage;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tracing::{info, warn};

/// A write that failed is tried again after this.
const AGAIN: Duration = Duration::from_secs(1);

/// A file that can't be opened for a failure of the disk is opened again after this, so often at most.
const OPEN_AGAIN: Duration = Duration::from_millis(250);
const OPENS_MOST: u32 = 20;

/// Records of other parts, by name.
pub type Records = BTreeMap<String, Value>;

/// What keeps changes: a file of this instance alone, or what instances share.
pub trait DurableStore: Send + Sync {
    /// Keeps a change of node knowledge.
    ///
    /// # Errors
    /// Nothing of it is kept, or it is not known whether.
    fn keep(&self, change: &EndpointWrite) -> Result<(), SharedError>;
    /// Keeps the book of overrides.
    ///
    /// # Errors
    /// The same.
    fn keep_book(&self, change: &OverrideWrite) -> Result<(), SharedError>;
    /// Keeps records of other parts.
    ///
    /// # Errors
    /// The same.
    fn keep_records(&self, change: &RecordWrite) -> Result<(), SharedError>;
    /// Reads node knowledge.
    ///
    /// # Errors
    /// The store can't be read.
    fn saved(&self) -> Result<StoredState, SharedError>;
}

/// What instances share, for as long as a lease is held.
pub struct LeasedStore {
    pub store: Arc<dyn SharedState>,
    pub held: HeldLease,
}

impl DurableStore for LeasedStore {
    fn keep(&self, change: &EndpointWrite) -> Result<(), SharedError> {
        self.store.keep(self.held, change)
    }
    fn keep_book(&self, change: &OverrideWrite) -> Result<(), SharedError> {
        self.store.keep_book(self.held, change)
    }
    fn keep_records(&self, change: &RecordWrite) -> Result<(), SharedError> {
        self.store.keep_records(self.held, change)
    }
    fn saved(&self) -> Result<StoredState, SharedError> {
        Ok(self.store.load(OverrideLimits::default())?.0)
    }
}

/// What is known of a write that did not go well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistFailure {
    /// There is no store: nothing of it stands anywhere.
    NoStore,
    /// Another instance leads, or soon will: it never will be kept.
    Fenced,
    /// No answer came: it may yet come to be kept.
    Unsure,
    /// The store failed: a part of it, or all, may stand there.
    Failed,
}

/// Why something is not kept.
#[derive(Clone, Debug)]
pub struct PersistError {
    pub why: String,
    pub failure: PersistFailure,
}

/// How the file stands, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct PersistenceState {
    /// Why nothing is kept, or not all; `None`: all is.
    pub fault: Option<String>,
    /// Version of the list last kept.
    pub version: Option<u64>,
    /// Transactions.
    pub writes: u64,
}

#[derive(Default)]
struct Slot {
    /// The newest that is to be kept; what it replaced need not be.
    next: Option<(u64, Vec<SourcedEndpoint>)>,
    ending: bool,
    state: PersistenceState,
}

#[derive(Default)]
struct Shared {
    slot: Mutex<Slot>,
    changed: Condvar,
}

/// The keeper of a file. Dropping it writes what is still to be written.
pub struct Persistence {
    /// The file; `None`: what instances share.
    pub path: Option<PathBuf>,
    shared: Arc<Shared>,
    store: Option<Arc<dyn DurableStore>>,
    thread: Thread,
}

/// The writing thread; dropped, it writes what is still to be written.
struct Thread(Option<(JoinHandle<()>, Arc<Shared>)>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Slot> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Persistence {
    /// Opens the file and reads what it holds. One that can't be used is named in a line; the service then runs from
    /// memory, and the file stays as it is.
    pub fn open(path: &Path, policy: OverrideLimits) -> (Persistence, StoredState, OverrideSet, Records) {
        let shared = Arc::new(Shared::default());
        match open_patiently(path, policy) {
            Ok((store, saved, book, records)) => {
                let store = Arc::new(ReopeningStore::new(path, store));
                let keeper =
                    Persistence { path: Some(path.to_owned()), ..Persistence::on(store, saved.clone()) };
                (keeper, saved, book, records)
            }
            Err(e) => {
                warn!(file = %path.display(), fault = %e, "state can't be used: running from memory");
                shared.lock().state.fault = Some(e.to_string());
                let path = Some(path.to_owned());
                let keeper = Persistence { path, shared, store: None, thread: Thread(None) };
                (keeper, StoredState::default(), OverrideSet::new(policy), Records::new())
            }
        }
    }

    /// Keeps what differs from what is kept already.
    pub fn on(store: Arc<dyn DurableStore>, saved: StoredState) -> Persistence {
        let shared = Arc::new(Shared::default());
        shared.lock().state.version = saved.version;
        let known = saved.nodes.into_iter().map(|s| (s.member.id.clone(), s)).collect();
        let (own, held) = (shared.clone(), store.clone());
        let thread = std::thread::spawn(move || keep(&*held, &own, known, saved.version));
        let thread = Thread(Some((thread, shared.clone())));
        Persistence { path: None, shared, store: Some(store), thread }
    }

    /// Has this kept, soon.
    pub fn keep(&self, version: u64, nodes: Vec<SourcedEndpoint>) {
        if self.thread.0.is_some() {
            self.shared.lock().next = Some((version, nodes));
            self.shared.changed.notify_one();
        }
    }

    /// Keeps the book of overrides, and returns once it is kept. It waits for the disk.
    ///
    /// # Errors
    /// Why it is not kept.
    pub fn keep_book(&self, change: &OverrideWrite) -> Result<(), PersistError> {
        self.at_once(|store| store.keep_book(change))
    }

    /// Keeps records of other parts, and returns once they are kept. It waits for the disk.
    ///
    /// # Errors
    /// Why they are not kept.
    pub fn keep_records(&self, change: &RecordWrite) -> Result<(), PersistError> {
        self.at_once(|store| store.keep_records(change))
    }

    fn at_once(
        &self,
        keeps: impl FnOnce(&dyn DurableStore) -> Result<(), SharedError>,
    ) -> Result<(), PersistError> {
        let fault = |e: SharedError| {
            let failure = match e {
                SharedError::Fenced(_) => PersistFailure::Fenced,
                SharedError::Unreachable(_) => PersistFailure::Unsure,
                SharedError::State(_) => PersistFailure::Failed,
            };
            PersistError { why: e.to_string(), failure }
        };
        match &self.store {
            Some(store) => keeps(&**store).map_err(fault),
            None => {
                let why = self.state().fault.unwrap_or_default();
                Err(PersistError { why, failure: PersistFailure::NoStore })
            }
        }
    }

    /// How the file stands.
    pub fn state(&self) -> PersistenceState {
        self.shared.lock().state.clone()
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        if let Some((thread, shared)) = self.0.take() {
            shared.lock().ending = true;
            shared.changed.notify_one();
            let _ = thread.join();
        }
    }
}

/// Opens a store and reads what it holds, again and again for a while where the disk fails.
fn open_patiently(
    path: &Path,
    policy: OverrideLimits,
) -> Result<(StateStore, StoredState, OverrideSet, Records), StateError> {
    let mut tries = 0;
    loop {
        tries += 1;
        let opened = StateStore::open(path).and_then(|store| {
            let (saved, book, records) = (store.read()?, store.read_book(policy)?, store.read_records()?);
            Ok((store, saved, book, records))
        });
        match opened {
            Err(e @ (StateError::Io(..) | StateError::Full(_))) if tries < OPENS_MOST => {
                warn!(file = %path.display(), fault = %e, "state can't be opened yet");
                std::thread::sleep(OPEN_AGAIN);
            }
            other => return other,
        }
    }
}

/// Writes what has changed against what is known to be kept, until the end.
fn keep(
    store: &dyn DurableStore,
    shared: &Shared,
    mut known: BTreeMap<String, SourcedEndpoint>,
    mut version: Option<u64>,
) {
    let mut outage = Outage::default();
    // A write failed: it is not known what of it is kept.
    let mut doubtful = false;
    loop {
        let (next, ending) = {
            let mut slot = shared.lock();
            while slot.next.is_none() && !slot.ending {
                slot = shared.changed.wait(slot).unwrap_or_else(PoisonError::into_inner);
            }
            (slot.next.take(), slot.ending)
        };
        let Some((now, nodes)) = next else { return };
        let read = if doubtful { store.saved().map(Some) } else { Ok(None) };
        let kept = read.and_then(|saved| {
            if let Some(saved) = saved {
                version = saved.version;
                known = saved.nodes.into_iter().map(|s| (s.member.id.clone(), s)).collect();
            }
            let change = difference(&known, version, now, &nodes);
            change.as_ref().map_or(Ok(()), |change| store.keep(change)).map(|()| change.is_some())
        });
        doubtful = kept.is_err();
        match kept {
            Ok(written) => {
                known = nodes.into_iter().map(|s| (s.member.id.clone(), s)).collect();
                version = Some(now);
                if let Some(n) = outage.over() {
                    info!(failures = n, "state is written again");
                }
                let state = &mut shared.lock().state;
                (state.fault, state.version) = (None, version);
                state.writes += u64::from(written);
            }
            Err(e) => {
                failed(&e, &mut outage);
                let mut slot = shared.lock();
                slot.state.fault = Some(e.to_string());
                // What was written under a lease that is over is the next leader's to write.
                if matches!(e, SharedError::Fenced(_)) {
                    return;
                }
                // Unless something newer has come meanwhile.
                slot.next.get_or_insert((now, nodes));
                if ending {
                    return;
                }
                drop(shared.changed.wait_timeout(slot, AGAIN).unwrap_or_else(PoisonError::into_inner));
            }
        }
    }
}

fn failed(e: &SharedError, outage: &mut Outage) {
    if let Some(n) = outage.failed(&e.to_string()) {
        warn!(fault = %e, failure = n, "state is not written: the last good state stands, serving goes on");
    }
}

/// What is to be written; `None`: nothing.
fn difference(
    known: &BTreeMap<String, SourcedEndpoint>,
    version: Option<u64>,
    now: u64,
    nodes: &[SourcedEndpoint],
) -> Option<EndpointWrite> {
    let set: Vec<SourcedEndpoint> =
        nodes.iter().filter(|s| known.get(&s.member.id) != Some(s)).cloned().collect();
    let live: std::collections::BTreeSet<&str> = nodes.iter().map(|s| s.member.id.as_str()).collect();
    let gone: Vec<String> = known.keys().filter(|id| !live.contains(id.as_str())).cloned().collect();
    let new = version != Some(now);
    (new || !set.is_empty() || !gone.is_empty()).then(|| EndpointWrite {
        whole: false,
        version: new.then_some(now),
        set,
        gone,
    })
}
