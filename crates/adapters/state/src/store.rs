//! The embedded store: opening and creating its file, and its transactions. The tables' contents are in the submodules.

mod endpoints;
mod lease;
mod overrides;
mod records;

pub(crate) use lease::LeaseRecord;

use crate::dump::Dump;
use crate::error::{open_error, store_error, StateError};
use crate::record::RecordError;
use crate::writes::RecordWrite;
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, StorageBackend, TableDefinition,
    WriteTransaction,
};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

const ENDPOINTS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("nodes");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const OVERRIDES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("overrides");
const HISTORY: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("history");
const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// Memory for pages; a fleet's records are some hundred kilobytes.
const CACHE_BYTES: usize = 4 << 20;

/// A record that can't be used, and where it is.
struct InvalidRecord {
    table: &'static str,
    key: String,
    error: RecordError,
}

impl InvalidRecord {
    fn new(table: &'static str, key: impl ToString, error: RecordError) -> Self {
        InvalidRecord { table, key: key.to_string(), error }
    }
}

/// The store. Only one process can have it open at a time.
pub struct StateStore {
    path: PathBuf,
    db: Database,
}

impl StateStore {
    /// Opens the file, or creates it.
    ///
    /// # Errors
    /// See [`StateError`].
    pub fn open(path: &Path) -> Result<StateStore, StateError> {
        if !path.exists() {
            Self::create(path)?;
        }
        let db =
            Database::builder().set_cache_size(CACHE_BYTES).open(path).map_err(|e| open_error(path, e))?;
        Self::with_tables(path, db)
    }

    /// Creates a store beside the path and moves it there. Danger: killed while it writes its first pages, a store
    /// created in place would pass for a damaged one at each later start.
    fn create(path: &Path) -> Result<(), StateError> {
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(".new");
        let temporary = PathBuf::from(temporary);
        let io_error = |e: std::io::Error| store_error(path, redb::Error::Io(e));
        match Database::builder().create(&temporary) {
            Ok(db) => drop(Self::with_tables(path, db)?),
            Err(DatabaseError::DatabaseAlreadyOpen) => return Err(StateError::Locked(path.to_owned())),
            // A file that an earlier start left behind.
            Err(_) if temporary.exists() => {
                std::fs::remove_file(&temporary).map_err(io_error)?;
                let db = Database::builder().create(&temporary).map_err(|e| open_error(path, e))?;
                drop(Self::with_tables(path, db)?);
            }
            Err(e) => return Err(open_error(path, e)),
        }
        // Danger: a rename would replace a store that another instance has created meanwhile by an empty one, and
        // that instance's lease with it: there would be two leaders.
        match std::fs::hard_link(&temporary, path) {
            Ok(()) => {}
            // Another instance created it first.
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(_) if path.exists() => {}
            // Not every file system has hard links.
            Err(e) if e.kind() != ErrorKind::NotFound => {
                std::fs::rename(&temporary, path).map_err(io_error)?;
            }
            Err(e) => return Err(io_error(e)),
        }
        let _ = std::fs::remove_file(&temporary);
        let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(directory).and_then(|f| f.sync_all()).map_err(io_error)
    }

    /// Opens a store on a backend: memory, or one that fails on purpose.
    ///
    /// # Errors
    /// See [`StateError`].
    pub fn open_backend(backend: impl StorageBackend) -> Result<StateStore, StateError> {
        let path = Path::new("(backend)");
        let db = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
        Self::with_tables(path, db.map_err(|e| open_error(path, e))?)
    }

    fn with_tables(path: &Path, db: Database) -> Result<StateStore, StateError> {
        let store = StateStore { path: path.to_owned(), db };
        // Creates the tables.
        store.write_endpoints(|_, _| Ok(()))?;
        Ok(store)
    }

    /// Puts a dump in place of all that is stored but the lease.
    ///
    /// # Errors
    /// See [`StateError`]. Where a later of the transactions fails the earlier ones stay: restore again.
    pub fn replace(&self, dump: &Dump) -> Result<(), StateError> {
        self.keep(&dump.nodes)?;
        self.write_overrides(&dump.book, overrides::History::Replace)?;
        let gone = self.read_records()?.into_keys().filter(|n| !dump.records.contains_key(n)).collect();
        self.keep_records(&RecordWrite { set: dump.records.clone(), gone })
    }

    fn read_txn<T>(
        &self,
        read: impl FnOnce(&ReadTransaction) -> Result<Result<T, InvalidRecord>, redb::Error>,
    ) -> Result<T, StateError> {
        let found = self.db.begin_read().map_err(redb::Error::from).and_then(|txn| read(&txn));
        found.map_err(|e| store_error(&self.path, e))?.map_err(|invalid| StateError::Record {
            path: self.path.clone(),
            table: invalid.table,
            key: invalid.key,
            fault: invalid.error,
        })
    }

    fn write_txn(
        &self,
        write: impl FnOnce(&WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), StateError> {
        let commit = || -> Result<(), redb::Error> {
            let txn = self.db.begin_write()?;
            write(&txn)?;
            Ok(txn.commit()?)
        };
        commit().map_err(|e| store_error(&self.path, e))
    }
}
