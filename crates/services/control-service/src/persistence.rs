//! Writes the state of the service to a store. A dedicated thread writes the endpoint list, so that a slow or full disk blocks nothing.

use crate::durable_store::{DurableStore, PersistError, PersistFailure};
use crate::reopening_store::ReopeningStore;
use crate::sync::lock;
use rushquay_endpoints::SourcedEndpoint;
use rushquay_overrides::{OverrideLimits, OverrideSet};
use rushquay_state::{
    EndpointWrite, OverrideWrite, RecordWrite, SharedError, StateError, StateStore, StoredState,
};
use rushquay_xds::client::Outage;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tracing::{info, warn};

/// The delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The delay before opening a file is retried after a disk error.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_OPEN_ATTEMPTS: u32 = 20;

/// Records of the controllers, by name.
pub type Records = BTreeMap<String, Value>;

/// The state of persistence, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct PersistenceState {
    /// Why some or all of the state is not persisted; `None` if all of it is.
    pub error: Option<String>,
    /// Version of the last persisted list.
    pub version: Option<u64>,
    /// Write transactions.
    pub writes: u64,
}

/// A version of the endpoint list.
struct VersionedList {
    version: u64,
    nodes: Vec<SourcedEndpoint>,
}

#[derive(Default)]
struct Inner {
    /// The newest list to write; it supersedes earlier lists that were not written.
    pending: Option<VersionedList>,
    is_ending: bool,
    state: PersistenceState,
}

/// State shared between the writer thread and the rest of the service.
#[derive(Default)]
struct Mailbox {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Mailbox {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Waits for a list to write, and returns it with whether the thread has to end after it; `None` if it has to end at once.
    fn wait(&self) -> Option<(VersionedList, bool)> {
        let mut inner = self.lock();
        while inner.pending.is_none() && !inner.is_ending {
            inner = self.changed.wait(inner).unwrap_or_else(PoisonError::into_inner);
        }
        Some((inner.pending.take()?, inner.is_ending))
    }
}

/// A store and the thread that writes to it. Dropping it writes the pending list.
pub struct Persistence {
    /// The file; `None` if the state is shared by several instances.
    pub path: Option<PathBuf>,
    mailbox: Arc<Mailbox>,
    store: Option<Arc<dyn DurableStore>>,
    thread: WriterThread,
}

/// The writer thread. Dropping this waits until the thread has written the pending list and ended.
struct WriterThread(Option<(JoinHandle<()>, Arc<Mailbox>)>);

impl Persistence {
    /// Opens the file and reads its content. If the file can't be used, this is logged, the service runs from memory, and the file is
    /// not changed.
    pub fn open(path: &Path, limits: OverrideLimits) -> (Persistence, StoredState, OverrideSet, Records) {
        match open_with_retries(path, limits) {
            Ok((store, stored, overrides, records)) => {
                let store = Arc::new(ReopeningStore::new(path, store));
                let persistence =
                    Persistence { path: Some(path.to_owned()), ..Persistence::on(store, stored.clone()) };
                (persistence, stored, overrides, records)
            }
            Err(error) => {
                warn!(file = %path.display(), %error, "state file unusable; running from memory");
                let mailbox = Arc::new(Mailbox::default());
                mailbox.lock().state.error = Some(error.to_string());
                let path = Some(path.to_owned());
                let persistence = Persistence { path, mailbox, store: None, thread: WriterThread(None) };
                (persistence, StoredState::default(), OverrideSet::new(limits), Records::new())
            }
        }
    }

    /// Starts the writer thread of a store. It writes the differences from `stored`, the store's current content.
    pub fn on(store: Arc<dyn DurableStore>, stored: StoredState) -> Persistence {
        let mailbox = Arc::new(Mailbox::default());
        mailbox.lock().state.version = stored.version;
        let mut writer = EndpointWriter::new(store.clone(), mailbox.clone(), stored);
        let thread = std::thread::spawn(move || writer.run());
        let thread = WriterThread(Some((thread, mailbox.clone())));
        Persistence { path: None, mailbox, store: Some(store), thread }
    }

    /// Queues this endpoint list for the writer thread, without waiting for the write.
    pub fn write_endpoints(&self, version: u64, nodes: Vec<SourcedEndpoint>) {
        if self.thread.0.is_some() {
            self.mailbox.lock().pending = Some(VersionedList { version, nodes });
            self.mailbox.changed.notify_one();
        }
    }

    /// Writes a change of the override set and returns once it is durable. Blocks on the store.
    ///
    /// # Errors
    /// The reason why the change is not durable.
    pub fn write_overrides(&self, write: &OverrideWrite) -> Result<(), PersistError> {
        Ok(self.store()?.write_overrides(write)?)
    }

    /// Writes records of the controllers and returns once they are durable. Blocks on the store.
    ///
    /// # Errors
    /// The reason why the records are not durable.
    pub fn write_records(&self, write: &RecordWrite) -> Result<(), PersistError> {
        Ok(self.store()?.write_records(write)?)
    }

    fn store(&self) -> Result<&dyn DurableStore, PersistError> {
        self.store.as_deref().ok_or_else(|| PersistError {
            reason: self.state().error.unwrap_or_default(),
            failure: PersistFailure::NoStore,
        })
    }

    /// A copy of the current state.
    pub fn state(&self) -> PersistenceState {
        self.mailbox.lock().state.clone()
    }
}

impl Drop for WriterThread {
    fn drop(&mut self) {
        if let Some((thread, mailbox)) = self.0.take() {
            mailbox.lock().is_ending = true;
            mailbox.changed.notify_one();
            let _ = thread.join();
        }
    }
}

/// Opens a store and reads its content. Disk errors are retried up to [`MAX_OPEN_ATTEMPTS`] times.
fn open_with_retries(
    path: &Path,
    limits: OverrideLimits,
) -> Result<(StateStore, StoredState, OverrideSet, Records), StateError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let opened = StateStore::open(path).and_then(|store| {
            let (stored, overrides, records) =
                (store.read()?, store.read_book(limits)?, store.read_records()?);
            Ok((store, stored, overrides, records))
        });
        match opened {
            Err(error @ (StateError::Io(..) | StateError::Full(_))) if attempts < MAX_OPEN_ATTEMPTS => {
                warn!(file = %path.display(), %error, "state file not opened; retrying");
                std::thread::sleep(OPEN_RETRY_DELAY);
            }
            other => return other,
        }
    }
}

/// The state of the writer thread.
struct EndpointWriter {
    store: Arc<dyn DurableStore>,
    mailbox: Arc<Mailbox>,
    /// The endpoints in the store, by id.
    stored: BTreeMap<String, SourcedEndpoint>,
    stored_version: Option<u64>,
    /// A write failed, and it is not known how much of it took effect.
    is_in_doubt: bool,
    outage: Outage,
}

fn by_id(nodes: Vec<SourcedEndpoint>) -> BTreeMap<String, SourcedEndpoint> {
    nodes.into_iter().map(|s| (s.member.id.clone(), s)).collect()
}

impl EndpointWriter {
    fn new(store: Arc<dyn DurableStore>, mailbox: Arc<Mailbox>, stored: StoredState) -> Self {
        EndpointWriter {
            store,
            mailbox,
            stored: by_id(stored.nodes),
            stored_version: stored.version,
            is_in_doubt: false,
            outage: Outage::default(),
        }
    }

    /// Writes each queued list until the thread has to end.
    fn run(&mut self) {
        let mailbox = self.mailbox.clone();
        while let Some((list, is_ending)) = mailbox.wait() {
            let written = self.write(&list);
            self.is_in_doubt = written.is_err();
            match written {
                Ok(has_written) => self.on_written(list, has_written),
                Err(error) => {
                    self.log_failure(&error);
                    let mut inner = mailbox.lock();
                    inner.state.error = Some(error.to_string());
                    // The lease is over: the next leader writes the list.
                    if matches!(error, SharedError::Fenced(_)) {
                        return;
                    }
                    // Retries this list unless a newer one has arrived meanwhile.
                    inner.pending.get_or_insert(list);
                    if is_ending {
                        return;
                    }
                    let waited = mailbox.changed.wait_timeout(inner, WRITE_RETRY_DELAY);
                    drop(waited.unwrap_or_else(PoisonError::into_inner));
                }
            }
        }
    }

    /// Writes the differences from the store's content; returns whether there were any.
    fn write(&mut self, list: &VersionedList) -> Result<bool, SharedError> {
        if self.is_in_doubt {
            let stored = self.store.read_endpoints()?;
            self.stored_version = stored.version;
            self.stored = by_id(stored.nodes);
        }
        let Some(write) = difference(&self.stored, self.stored_version, list) else { return Ok(false) };
        self.store.write_endpoints(&write)?;
        Ok(true)
    }

    fn on_written(&mut self, list: VersionedList, has_written: bool) {
        self.stored = by_id(list.nodes);
        self.stored_version = Some(list.version);
        if let Some(failures) = self.outage.over() {
            info!(failures, "endpoint list is persisted again");
        }
        let state = &mut self.mailbox.lock().state;
        (state.error, state.version) = (None, self.stored_version);
        state.writes += u64::from(has_written);
    }

    fn log_failure(&mut self, error: &SharedError) {
        if let Some(failure) = self.outage.failed(&error.to_string()) {
            warn!(%error, failure, "endpoint list not persisted; last stored list stays, serving continues");
        }
    }
}

/// The difference between the store's content and a list; `None` if there is none.
fn difference(
    stored: &BTreeMap<String, SourcedEndpoint>,
    stored_version: Option<u64>,
    list: &VersionedList,
) -> Option<EndpointWrite> {
    let changed = list.nodes.iter().filter(|s| stored.get(&s.member.id) != Some(s));
    let set: Vec<SourcedEndpoint> = changed.cloned().collect();
    let live: BTreeSet<&str> = list.nodes.iter().map(|s| s.member.id.as_str()).collect();
    let gone: Vec<String> = stored.keys().filter(|id| !live.contains(id.as_str())).cloned().collect();
    let is_new_version = stored_version != Some(list.version);
    (is_new_version || !set.is_empty() || !gone.is_empty()).then(|| EndpointWrite {
        whole: false,
        version: is_new_version.then_some(list.version),
        set,
        gone,
    })
}
