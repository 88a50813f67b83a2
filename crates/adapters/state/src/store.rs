//! The embedded store.

use crate::dump::Dump;
use crate::record::{open, seal, RecordError, StoredEndpoint, FORMAT_VERSION};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend,
    StorageError, TableDefinition,
};
use rushquay_endpoints::SourcedEndpoint;
use rushquay_overrides::{Override, OverrideEvent, OverrideLimits, OverrideSet};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

const NODES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("nodes");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const OVERRIDES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("overrides");
const HISTORY: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("history");
const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// The numbers that the book of overrides goes on from.
const BOOK: &str = "book";
/// Version of the list last taken.
const VERSION: &str = "version";
/// Who leads.
const LEASE: &str = "lease";
/// Memory for pages; a fleet's records are some hundred kilobytes.
const CACHE: usize = 4 << 20;

/// What keeps state from being kept or read. Each says what to do; the service goes on from memory meanwhile.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// Another process holds it.
    #[error("{0}: another instance holds it; stop that one, or give this one a file of its own")]
    Locked(PathBuf),
    /// It may not be written.
    #[error("{0}: can't be written ({1}); mount it writable, or run without --state")]
    ReadOnly(PathBuf, String),
    /// There is no room.
    #[error("{0}: no room on the disk; free some, the next change is written again")]
    Full(PathBuf),
    /// What stands there is no store, or damaged beyond its own repair.
    #[error("{0}: {1}; move it away and start anew, or restore a dump: rushquay control state restore")]
    Corrupt(PathBuf, String),
    /// A record in it is damaged or of another version.
    #[error("{path}: {table} {key:?}: {fault}")]
    Record {
        /// The file.
        path: PathBuf,
        /// The table.
        table: &'static str,
        /// The record's key.
        key: String,
        /// What is wrong with it.
        fault: RecordError,
    },
    /// Anything else that the machine refuses.
    #[error("{0}: {1}")]
    Io(PathBuf, String),
}

/// What was kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// Version of the list last taken; `None`: none was.
    pub version: Option<u64>,
    /// The nodes, by id.
    pub nodes: Vec<SourcedEndpoint>,
}

#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Numbers {
    next: u64,
    revision: u64,
}

/// Who leads, where instances share the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LeaseRecord {
    /// As it calls itself.
    pub holder: String,
    pub epoch: u64,
    /// Until when, on the machine's clock that all instances read.
    pub until: u64,
    /// The machine's start in which that clock counts.
    pub boot: String,
}

/// What is to be kept of a book of overrides, in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverrideWrite {
    /// All that are live.
    pub live: Vec<Override>,
    /// What happened since the last change was kept.
    pub events: Vec<OverrideEvent>,
    /// The number of the next override.
    pub next: u64,
    /// The book's revision.
    pub revision: u64,
    /// Events remembered.
    pub history: usize,
}

/// What is to be kept, in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointWrite {
    /// Everything else is dropped first.
    pub whole: bool,
    /// Version of the list last taken.
    pub version: Option<u64>,
    /// New or changed nodes.
    pub set: Vec<SourcedEndpoint>,
    /// Ids of nodes that are gone.
    pub gone: Vec<String>,
}

/// What is to be kept of other parts of the service, in one transaction: records by name, each of which is one part's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordWrite {
    /// New or changed ones.
    pub set: BTreeMap<String, Value>,
    /// Those that are gone.
    pub gone: Vec<String>,
}

/// The store. One process holds it at a time.
pub struct StateStore {
    path: PathBuf,
    db: Database,
}

impl StateStore {
    /// Opens the file, or begins one.
    ///
    /// # Errors
    /// See [`StateError`].
    pub fn open(path: &Path) -> Result<StateStore, StateError> {
        if !path.exists() {
            Self::begin(path)?;
        }
        let db = Database::builder().set_cache_size(CACHE).open(path).map_err(|e| opening(path, e))?;
        Self::ready(path, db)
    }

    /// Makes a store beside the place and moves it there. Danger: killed while it writes its first pages, a store in
    /// place would pass for a damaged one at each later start.
    fn begin(path: &Path) -> Result<(), StateError> {
        let mut new = path.as_os_str().to_owned();
        new.push(".new");
        let new = PathBuf::from(new);
        let io = |e: std::io::Error| failed(path, redb::Error::Io(e));
        match Database::builder().create(&new) {
            Ok(db) => drop(Self::ready(path, db)?),
            Err(DatabaseError::DatabaseAlreadyOpen) => return Err(StateError::Locked(path.to_owned())),
            // What an earlier start left behind.
            Err(_) if new.exists() => {
                std::fs::remove_file(&new).map_err(io)?;
                let db = Database::builder().create(&new).map_err(|e| opening(path, e))?;
                drop(Self::ready(path, db)?);
            }
            Err(e) => return Err(opening(path, e)),
        }
        // Danger: a rename would put an empty store in place of one that another instance has begun meanwhile, and that one's
        // lease with it: two would lead.
        match std::fs::hard_link(&new, path) {
            Ok(()) => {}
            // Another was quicker.
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(_) if path.exists() => {}
            // Not every file system has links.
            Err(e) if e.kind() != ErrorKind::NotFound => std::fs::rename(&new, path).map_err(io)?,
            Err(e) => return Err(io(e)),
        }
        let _ = std::fs::remove_file(&new);
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(folder).and_then(|f| f.sync_all()).map_err(io)
    }

    /// Opens what a backend holds: memory, or one that fails on purpose.
    ///
    /// # Errors
    /// See [`StateError`].
    pub fn open_backend(backend: impl StorageBackend) -> Result<StateStore, StateError> {
        let path = Path::new("(backend)");
        let db = Database::builder().set_cache_size(CACHE).create_with_backend(backend);
        Self::ready(path, db.map_err(|e| opening(path, e))?)
    }

    fn ready(path: &Path, db: Database) -> Result<StateStore, StateError> {
        let store = StateStore { path: path.to_owned(), db };
        // Both tables are there from the start.
        store.write(|_, _| Ok(()))?;
        Ok(store)
    }

    /// Reads all that is kept, and checks each record.
    ///
    /// # Errors
    /// The first record that can't be used.
    pub fn read(&self) -> Result<StoredState, StateError> {
        let fault = |table, key: &str, fault| StateError::Record {
            path: self.path.clone(),
            table,
            key: key.to_owned(),
            fault,
        };
        let txn = self.db.begin_read().map_err(|e| self.failed(e.into()))?;
        let nodes = txn.open_table(NODES).map_err(|e| self.failed(e.into()))?;
        let meta = txn.open_table(META).map_err(|e| self.failed(e.into()))?;
        let mut saved = StoredState::default();
        if let Some(record) = meta.get(VERSION).map_err(|e| self.failed(e.into()))? {
            let (_, content) = open(record.value()).map_err(|f| fault("meta", VERSION, f))?;
            let version = serde_json::from_slice(content);
            saved.version =
                Some(version.map_err(|e| fault("meta", VERSION, RecordError::Content(e.to_string())))?);
        }
        for row in nodes.iter().map_err(|e| self.failed(e.into()))? {
            let (key, record) = row.map_err(|e| self.failed(e.into()))?;
            let kept = StoredEndpoint::read(record.value()).map_err(|f| fault("nodes", key.value(), f))?;
            saved.nodes.push(kept.into());
        }
        Ok(saved)
    }

    /// Keeps a change. When this returns well, it outlives a crash; else it is there whole or not at all.
    ///
    /// # Errors
    /// See [`StateError`]; what was kept before stands.
    pub fn keep(&self, change: &EndpointWrite) -> Result<(), StateError> {
        self.write(|nodes, meta| {
            if change.whole {
                nodes.retain(|_, _| false)?;
            }
            for stated in &change.set {
                let record = StoredEndpoint::from(stated).record();
                nodes.insert(stated.member.id.as_str(), record.as_slice())?;
            }
            for id in &change.gone {
                nodes.remove(id.as_str())?;
            }
            if let Some(version) = change.version {
                let record = seal(FORMAT_VERSION, version.to_string().as_bytes());
                meta.insert(VERSION, record.as_slice())?;
            }
            Ok(())
        })
    }

    /// Keeps the book of overrides. When this returns well, it outlives a crash.
    ///
    /// # Errors
    /// See [`StateError`]; what was kept before stands.
    pub fn keep_book(&self, change: &OverrideWrite) -> Result<(), StateError> {
        self.book(change, false)
    }

    /// Puts these in place of all that is kept but the lease.
    ///
    /// # Errors
    /// See [`StateError`]. Where the second of the two fails the first stands: restore again.
    pub fn replace(&self, dumped: &Dump) -> Result<(), StateError> {
        self.keep(&dumped.nodes)?;
        self.book(&dumped.book, true)?;
        let gone = self.read_records()?.into_keys().filter(|n| !dumped.records.contains_key(n)).collect();
        self.keep_records(&RecordWrite { set: dumped.records.clone(), gone })
    }

    fn book(&self, change: &OverrideWrite, whole: bool) -> Result<(), StateError> {
        let done = || -> Result<(), redb::Error> {
            let txn = self.db.begin_write()?;
            {
                let mut overrides = txn.open_table(OVERRIDES)?;
                overrides.retain(|_, _| false)?;
                for one in &change.live {
                    overrides.insert(one.id, sealed(one).as_slice())?;
                }
                let mut history = txn.open_table(HISTORY)?;
                if whole {
                    history.retain(|_, _| false)?;
                }
                for event in &change.events {
                    history.insert(event.number, sealed(event).as_slice())?;
                }
                // Danger: a history that is never cut grows for ever.
                while history.len()? > change.history as u64 {
                    history.pop_first()?;
                }
                let numbers = Numbers { next: change.next, revision: change.revision };
                txn.open_table(META)?.insert(BOOK, sealed(&numbers).as_slice())?;
            }
            Ok(txn.commit()?)
        };
        done().map_err(|e| self.failed(e))
    }

    /// Reads the book of overrides.
    ///
    /// # Errors
    /// The first record that can't be used.
    pub fn read_book(&self, policy: OverrideLimits) -> Result<OverrideSet, StateError> {
        let fault =
            |table, key: String, fault| StateError::Record { path: self.path.clone(), table, key, fault };
        let read = || -> Result<Result<OverrideSet, StateError>, redb::Error> {
            let txn = self.db.begin_read()?;
            let (mut live, mut events) = (Vec::new(), Vec::new());
            for row in txn.open_table(OVERRIDES)?.iter()? {
                let (key, record) = row?;
                match unsealed::<Override>(record.value()) {
                    Ok(one) => live.push(one),
                    Err(f) => return Ok(Err(fault("overrides", key.value().to_string(), f))),
                }
            }
            for row in txn.open_table(HISTORY)?.iter()? {
                let (key, record) = row?;
                match unsealed::<OverrideEvent>(record.value()) {
                    Ok(one) => events.push(one),
                    Err(f) => return Ok(Err(fault("history", key.value().to_string(), f))),
                }
            }
            let numbers = match txn.open_table(META)?.get(BOOK)? {
                None => Numbers::default(),
                Some(record) => match unsealed(record.value()) {
                    Ok(numbers) => numbers,
                    Err(f) => return Ok(Err(fault("meta", BOOK.into(), f))),
                },
            };
            Ok(Ok(OverrideSet::restore(policy, live, events, numbers.next, numbers.revision)))
        };
        read().map_err(|e| self.failed(e))?
    }

    /// Keeps records of other parts. When this returns well, they outlive a crash.
    ///
    /// # Errors
    /// See [`StateError`]; what was kept before stands.
    pub fn keep_records(&self, change: &RecordWrite) -> Result<(), StateError> {
        let done = || -> Result<(), redb::Error> {
            let txn = self.db.begin_write()?;
            {
                let mut records = txn.open_table(RECORDS)?;
                for (name, content) in &change.set {
                    records.insert(name.as_str(), sealed(content).as_slice())?;
                }
                for name in &change.gone {
                    records.remove(name.as_str())?;
                }
            }
            Ok(txn.commit()?)
        };
        done().map_err(|e| self.failed(e))
    }

    /// Reads the records of other parts.
    ///
    /// # Errors
    /// The first that can't be used.
    pub fn read_records(&self) -> Result<BTreeMap<String, Value>, StateError> {
        type Found = Result<BTreeMap<String, Value>, (String, RecordError)>;
        let read = || -> Result<Found, redb::Error> {
            let txn = self.db.begin_read()?;
            let records = match txn.open_table(RECORDS) {
                Ok(records) => records,
                // Kept by a program that had none.
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Ok(BTreeMap::new())),
                Err(e) => return Err(e.into()),
            };
            let mut all = BTreeMap::new();
            for row in records.iter()? {
                let (key, record) = row?;
                match unsealed(record.value()) {
                    Ok(content) => drop(all.insert(key.value().to_owned(), content)),
                    Err(fault) => return Ok(Err((key.value().to_owned(), fault))),
                }
            }
            Ok(Ok(all))
        };
        let fault =
            |(key, fault)| StateError::Record { path: self.path.clone(), table: "records", key, fault };
        read().map_err(|e| self.failed(e))?.map_err(fault)
    }

    pub(crate) fn lease(&self) -> Result<Option<LeaseRecord>, StateError> {
        let read = || -> Result<Option<Result<LeaseRecord, RecordError>>, redb::Error> {
            let meta = self.db.begin_read()?.open_table(META)?;
            Ok(meta.get(LEASE)?.map(|record| unsealed(record.value())))
        };
        let fault = |fault| StateError::Record {
            path: self.path.clone(),
            table: "meta",
            key: LEASE.to_owned(),
            fault,
        };
        read().map_err(|e| self.failed(e))?.transpose().map_err(fault)
    }

    pub(crate) fn set_lease(&self, lease: &LeaseRecord) -> Result<(), StateError> {
        self.write(|_, meta| meta.insert(LEASE, sealed(lease).as_slice()).map(drop))
    }

    fn write(
        &self,
        change: impl FnOnce(&mut Rows<'_>, &mut Rows<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StateError> {
        let txn = self.db.begin_write().map_err(|e| self.failed(e.into()))?;
        {
            let mut nodes = txn.open_table(NODES).map_err(|e| self.failed(e.into()))?;
            let mut meta = txn.open_table(META).map_err(|e| self.failed(e.into()))?;
            change(&mut nodes, &mut meta).map_err(|e| self.failed(e.into()))?;
            txn.open_table(OVERRIDES).map_err(|e| self.failed(e.into()))?;
            txn.open_table(HISTORY).map_err(|e| self.failed(e.into()))?;
        }
        txn.commit().map_err(|e| self.failed(e.into()))
    }

    fn failed(&self, e: redb::Error) -> StateError {
        failed(&self.path, e)
    }
}

/// Puts anything that has a JSON form into a record of the present form.
pub fn sealed(of: &impl Serialize) -> Vec<u8> {
    // Plain fields always have a JSON form.
    seal(FORMAT_VERSION, &serde_json::to_vec(of).unwrap_or_default())
}

/// Reads such a record.
///
/// # Errors
/// Damage, a later form, or other content.
pub fn unsealed<T: DeserializeOwned>(record: &[u8]) -> Result<T, RecordError> {
    let (_, content) = open(record)?;
    serde_json::from_slice(content).map_err(|e| RecordError::Content(e.to_string()))
}

type Rows<'txn> = redb::Table<'txn, &'static str, &'static [u8]>;

fn opening(path: &Path, e: DatabaseError) -> StateError {
    match e {
        DatabaseError::DatabaseAlreadyOpen => StateError::Locked(path.to_owned()),
        DatabaseError::RepairAborted => {
            StateError::Corrupt(path.to_owned(), "its repair was broken off".into())
        }
        other => failed(path, other.into()),
    }
}

fn failed(path: &Path, e: redb::Error) -> StateError {
    let path = path.to_owned();
    match e {
        redb::Error::DatabaseAlreadyOpen => StateError::Locked(path),
        redb::Error::Corrupted(why) => StateError::Corrupt(path, why),
        redb::Error::Io(e) => match e.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
                StateError::Full(path)
            }
            ErrorKind::ReadOnlyFilesystem | ErrorKind::PermissionDenied => {
                StateError::ReadOnly(path, e.to_string())
            }
            ErrorKind::InvalidData => StateError::Corrupt(path, e.to_string()),
            _ => StateError::Io(path, e.to_string()),
        },
        other => StateError::Io(path, other.to_string()),
    }
}
