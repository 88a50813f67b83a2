//! The endpoint list in a file: read again when it changes on disk, and on request.

use crate::state::SourceEvent;
use rushquay_endpoints::{validate_list, EndpointList, ListError};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc;

/// How often a file is checked for a change.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Checks after a change at which the file is read again whatever its stamp is. Danger: two writes within one tick of the file system's
/// clock leave the same stamp.
const READS_AFTER_CHANGE: u32 = 3;

/// What distinguishes one state of a file from another; replacing it by a rename gives another inode.
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
pub struct Watched {
    /// The stamp at the last check, if there was one; `None` within it: the file was not there.
    last_stamp: Option<Option<Stamp>>,
    /// Checks at which the file is still to be read.
    remaining_reads: u32,
}

impl Watched {
    /// Has it read at the next checks, whatever its stamp is.
    pub fn force_reread(&mut self) {
        self.remaining_reads = READS_AFTER_CHANGE;
    }

    /// It could not be opened or read just now: it is read again at the next check. Danger: its content would be missed until it changes
    /// again.
    pub fn unread(&mut self) {
        self.remaining_reads = self.remaining_reads.max(1);
    }

    /// Checks whether it is to be read now. `Some(true)`: and again soon, so that an error may still pass.
    pub fn look(&mut self, path: &Path) -> Option<bool> {
        let stamp = Some(stamp(path));
        if stamp != self.last_stamp {
            (self.last_stamp, self.remaining_reads) = (stamp, READS_AFTER_CHANGE);
        }
        self.remaining_reads = self.remaining_reads.checked_sub(1)?;
        Some(self.remaining_reads > 0)
    }
}

/// Why a file gives no list.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It could not be opened or read, which may pass.
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

/// What has been read of a file so far.
#[derive(Default)]
struct FileFollower {
    watched: Watched,
    last_error: String,
    last_list: Option<EndpointList>,
}

impl FileFollower {
    /// Reads the file where that is due; returns what is new.
    fn poll(&mut self, path: &Path) -> Option<SourceEvent> {
        let is_read_again_soon = self.watched.look(path)?;
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
                    self.watched.unread();
                }
                let error = error.to_string();
                // A half-written file is complete soon; each error is reported once.
                if is_read_again_soon || error == self.last_error {
                    return None;
                }
                self.last_error.clone_from(&error);
                // A file that is restored to its earlier content has to be reported as well.
                self.last_list = None;
                Some(SourceEvent::Unavailable(error))
            }
        }
    }

    /// Has the file read at the next poll, and its content reported even if it is as before.
    fn force_reread(&mut self) {
        self.watched.force_reread();
        self.last_list = None;
        self.last_error.clear();
    }
}

/// Follows the file for good; a message on `reread_requests` has it read at once. A file that can't be read changes nothing.
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
            () = tokio::time::sleep(LOOK_EVERY) => {}
            Some(()) = reread_requests.recv() => follower.force_reread(),
        }
    }
}
