//! Follows the list in a file: read again when it changes on disk, and when asked to.

use crate::state::SourceEvent;
use rushquay_endpoints::{validate_list, EndpointList};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc;

/// How often a file is looked at.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Looks after a change at which the file is read again whatever its stamp says. Danger: two writes within one tick
/// of the file system's clock leave the same stamp.
const READ_AGAIN: u32 = 3;

/// What tells one state of a file from another; replacing it by a rename gives another inode.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stamp {
    inode: u64,
    length: u64,
    modified: (i64, i64),
}

fn stamp(path: &Path) -> Option<Stamp> {
    let m = std::fs::metadata(path).ok()?;
    Some(Stamp { inode: m.ino(), length: m.len(), modified: (m.mtime(), m.mtime_nsec()) })
}

/// A file that is looked at again and again.
#[derive(Default)]
pub struct Watched {
    seen: Option<Option<Stamp>>,
    looks: u32,
}

impl Watched {
    /// Has it read at the next looks, whatever its stamp says.
    pub fn again(&mut self) {
        self.looks = READ_AGAIN;
    }

    /// It could not be opened or read just now: it is tried again at the next look. Danger: what it says would be missed until it
    /// changes again.
    pub fn unread(&mut self) {
        self.looks = self.looks.max(1);
    }

    /// Whether it is to be read now. `Some(true)`: and again soon, so that a fault may still pass.
    pub fn look(&mut self, path: &Path) -> Option<bool> {
        let now = Some(stamp(path));
        if now != self.seen {
            (self.seen, self.looks) = (now, READ_AGAIN);
        }
        self.looks = self.looks.checked_sub(1)?;
        Some(self.looks > 0)
    }
}

/// Why a file brings no list.
enum ReadError {
    /// It could not be opened or read, which may pass.
    Unread(String),
    /// It says something else.
    Invalid(String),
}

/// Reads the file, strictly.
pub fn read(path: &Path) -> Result<EndpointList, String> {
    try_read(path).map_err(|e| match e {
        ReadError::Unread(why) | ReadError::Invalid(why) => why,
    })
}

fn try_read(path: &Path) -> Result<EndpointList, ReadError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| ReadError::Unread(format!("{}: {e}", path.display())))?;
    validate_list(&text).map_err(|e| ReadError::Invalid(format!("{}: {e}", path.display())))
}

/// Follows for good; a message on `again` has the file read at once. What can't be read changes nothing.
pub async fn follow(path: PathBuf, told: mpsc::Sender<SourceEvent>, mut again: mpsc::Receiver<()>) {
    let mut watched = Watched::default();
    let mut last_fault = String::new();
    let mut last_text = None;
    loop {
        if let Some(soon) = watched.look(&path) {
            let read = try_read(&path).map_err(|e| match e {
                ReadError::Unread(why) => {
                    watched.unread();
                    why
                }
                ReadError::Invalid(why) => why,
            });
            match read {
                Ok(list) => {
                    last_fault.clear();
                    if last_text.as_ref() != Some(&list) {
                        last_text = Some(list.clone());
                        if told.send(SourceEvent::EndpointList(list)).await.is_err() {
                            return;
                        }
                    }
                }
                // Half-written files pass; each fault is told once.
                Err(fault) if !soon && fault != last_fault => {
                    last_fault.clone_from(&fault);
                    // A file that is mended to what it was before has to be told as well.
                    last_text = None;
                    if told.send(SourceEvent::Unavailable(fault)).await.is_err() {
                        return;
                    }
                }
                Err(_) => {}
            }
        }
        tokio::select! {
            () = tokio::time::sleep(LOOK_EVERY) => {}
            Some(()) = again.recv() => {
                watched.again();
                last_text = None;
                last_fault.clear();
            }
        }
    }
}
