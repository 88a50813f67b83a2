//! Errors of the store, each with what the operator can do about it.

use crate::record::RecordError;
use redb::DatabaseError;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Why the store can't be read or written. Each text says what to do; the service continues from memory meanwhile.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// Another process has locked it.
    #[error("{0}: another instance holds it; stop that one, or give this one a file of its own")]
    Locked(PathBuf),
    /// It is not writable.
    #[error("{0}: can't be written ({1}); mount it writable, or run without --state")]
    ReadOnly(PathBuf, String),
    /// The disk is full.
    #[error("{0}: no room on the disk; free some, the next change is written again")]
    Full(PathBuf),
    /// The file is not a store, or damaged beyond automatic repair.
    #[error("{0}: {1}; move it away and start anew, or restore a dump: rushquay control state restore")]
    Corrupt(PathBuf, String),
    /// A record in it is damaged or of a later version.
    #[error("{path}: {table} {key:?}: {fault}")]
    Record {
        /// The file.
        path: PathBuf,
        /// The table.
        table: &'static str,
        /// The key of the record.
        key: String,
        /// What is wrong with the record.
        fault: RecordError,
    },
    /// Any other I/O error.
    #[error("{0}: {1}")]
    Io(PathBuf, String),
}

pub(crate) fn open_error(path: &Path, error: DatabaseError) -> StateError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StateError::Locked(path.to_owned()),
        DatabaseError::RepairAborted => {
            StateError::Corrupt(path.to_owned(), "its repair was broken off".into())
        }
        other => store_error(path, other.into()),
    }
}

pub(crate) fn store_error(path: &Path, error: redb::Error) -> StateError {
    let path = path.to_owned();
    match error {
        redb::Error::DatabaseAlreadyOpen => StateError::Locked(path),
        redb::Error::Corrupted(reason) => StateError::Corrupt(path, reason),
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
