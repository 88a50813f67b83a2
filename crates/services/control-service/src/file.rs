//! The endpoint list in a file: read again when it changes on disk, and on request.

use crate::state::SourceEvent;
use rushquay_endpoints::{validate_list, EndpointList, ListError};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc;

/// The interval at which a file is checked for changes.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of checks after a change at which the file is read even if its stamp is unchanged. Danger: two writes within one tick of
/// the file system's clock leave the same stamp.
const READS_AFTER_CHANGE: u32 = 3;

/// Metadata that changes with the file's content. Replacing the file by a rename changes the inode.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stamp {
    inode: u64,
    length: u64,
    modified: (i64, i64),
}

fn stamp(path: &Path) -> Option<Stamp> {
    let metadata = std::fs::metadata(path).ok()?;
    let modified = (metadata.mtime(), metadata.mtime_nsec());
    Some(Stamp { inode: metadata.ino(), length: metadata.len(), modified })
}

/// A file that is polled for changes.
#[derive(Default)]
pub struct FileWatcher {
    /// The stamp at the last check, if there was one; the inner `None` means that the file did not exist.
    last_stamp: Option<Option<Stamp>>,
    /// The number of coming checks at which the file is read again.
    remaining_reads: u32,
}

impl FileWatcher {
    /// Makes the next checks read the file even if its stamp is unchanged.
    pub fn force_reread(&mut self) {
        self.remaining_reads = READS_AFTER_CHANGE;
    }

    /// Records that the file could not be read, so that the next check reads it again. Danger: otherwise its content would be missed
    /// until the file changes again.
    pub fn read_failed(&mut self) {
        self.remaining_reads = self.remaining_reads.max(1);
    }

    /// Checks whether the file has to be read now: `None` if not; `Some(true)` if it will be read again soon, so that an error may be
    /// temporary.
    pub fn should_read(&mut self, path: &Path) -> Option<bool> {
        let stamp = Some(stamp(path));
        if stamp != self.last_stamp {
            (self.last_stamp, self.remaining_reads) = (stamp, READS_AFTER_CHANGE);
        }
        self.remaining_reads = self.remaining_reads.checked_sub(1)?;
        Some(self.remaining_reads > 0)
    }
}

/// The reason why no list could be read from a file.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It could not be opened or read, which may be temporary.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// It holds no valid list.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with the list.
        source: ListError,
    },
}

/// Reads and validates the file.
pub fn read(path: &Path) -> Result<EndpointList, ReadError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ReadError::Io { path: path.to_owned(), source })?;
    validate_list(&text).map_err(|source| ReadError::Invalid { path: path.to_owned(), source })
}

/// A followed file, with its last list and error.
#[derive(Default)]
struct FileFollower {
    watched: FileWatcher,
    last_error: String,
    last_list: Option<EndpointList>,
}

impl FileFollower {
    /// Reads the file if it may have changed; returns a new list or a new error.
    fn poll(&mut self, path: &Path) -> Option<SourceEvent> {
        let will_be_reread = self.watched.should_read(path)?;
        match read(path) {
            Ok(list) => {
                self.last_error.clear();
                if self.last_list.as_ref() == Some(&list) {
                    return None;
                }
                self.last_list = Some(list.clone());
                Some(SourceEvent::EndpointList(list))
            }
            Err(error) => {
                if matches!(error, ReadError::Io { .. }) {
                    self.watched.read_failed();
                }
                let error = error.to_string();
                // A half-written file is complete soon; each error is reported once.
                if will_be_reread || error == self.last_error {
                    return None;
                }
                self.last_error.clone_from(&error);
                // A file that is restored to its earlier content has to be reported as well.
                self.last_list = None;
                Some(SourceEvent::Unavailable(error))
            }
        }
    }

    /// Makes the next poll read the file, and report its content even if it is unchanged.
    fn force_reread(&mut self) {
        self.watched.force_reread();
        self.last_list = None;
        self.last_error.clear();
    }
}

/// Follows the file until the receiver of `events` is dropped. A message on `reread_requests` causes an immediate read. A file that can't
/// be read leaves the last list in use.
pub async fn follow(
    path: PathBuf,
    events: mpsc::Sender<SourceEvent>,
    mut reread_requests: mpsc::Receiver<()>,
) {
    let mut follower = FileFollower::default();
    loop {
        if let Some(event) = follower.poll(&path) {
            if events.send(event).await.is_err() {
                return;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            Some(()) = reread_requests.recv() => follower.force_reread(),
        }
    }
}
