//! The files of a shared store, one after another.
//!
//! A store is locked for as long as one call takes. A process that is stopped in the middle of a call (SIGSTOP, a
//! suspended virtual machine, a disk that hangs) keeps it locked for as long as it is suspended, and the lock can't
//! be taken from it. The others then continue with a copy: file `state.redb` is followed by `state.redb.1`, that by
//! `state.redb.2`, and the one with the highest number is valid.
//!
//! - A file is **closed** by a marker beside it. Whoever has written to a file checks for its marker before it
//!   acknowledges the write; so every acknowledged write is in the file when the marker is made.
//! - Then the file is copied, and the copy is linked to the next name, which only one process can do. What the
//!   stopped process writes when it resumes is in a file that nobody reads, and it finds the marker.
//!
//! Old files are left in place: they are small and rare, and a process that resumes has to find the way from its own
//! to the newest.

use crate::StateStore;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Counts the copies that this process has begun: several instances may live in one process.
static COPY_COUNT: AtomicU64 = AtomicU64::new(0);
/// The most reads of a file, until two in a row are equal.
const MAX_COPY_ATTEMPTS: u32 = 100;
/// The delay between two reads that differ.
const COPY_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The files of a shared store.
#[derive(Debug)]
pub struct Succession {
    base: PathBuf,
    newest: AtomicU64,
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

fn directory(path: &Path) -> &Path {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

fn sync_directory(path: &Path) -> io::Result<()> {
    File::open(directory(path))?.sync_all()
}

impl Succession {
    /// The files of the store whose first file is this one.
    pub fn of(base: &Path) -> Self {
        let newest = AtomicU64::new(highest_number(base));
        Succession { base: base.to_owned(), newest }
    }

    /// The first file.
    pub fn base(&self) -> &Path {
        &self.base
    }

    /// The path of the file of this number.
    pub fn path(&self, number: u64) -> PathBuf {
        match number {
            0 => self.base.clone(),
            number => with_suffix(&self.base, &format!(".{number}")),
        }
    }

    fn marker(&self, number: u64) -> PathBuf {
        with_suffix(&self.path(number), ".closed")
    }

    /// The number of the newest file.
    pub fn newest(&self) -> u64 {
        let mut newest = self.newest.load(Ordering::Relaxed);
        if newest > 0 && !self.path(newest).exists() {
            // The store was moved away.
            newest = highest_number(&self.base);
        }
        while self.path(newest + 1).exists() {
            newest += 1;
        }
        self.newest.store(newest, Ordering::Relaxed);
        newest
    }

    /// Whether writes to this file are void from now on.
    pub fn is_closed(&self, number: u64) -> bool {
        self.marker(number).exists()
    }

    /// Closes a file: later writes to it are void.
    ///
    /// # Errors
    /// The marker can't be created.
    pub fn close(&self, number: u64) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.marker(number))?.sync_all()?;
        sync_directory(&self.base)
    }

    /// Creates the successor of a closed file, unless another process has.
    ///
    /// # Errors
    /// The file can't be copied, or the copy is not a valid store.
    pub fn succeed(&self, number: u64) -> io::Result<()> {
        let next = self.path(number + 1);
        if next.exists() {
            return Ok(());
        }
        let copy_number = COPY_COUNT.fetch_add(1, Ordering::Relaxed);
        let temporary = with_suffix(&next, &format!(".{}-{copy_number}.new", std::process::id()));
        let result = self.copy(number, &temporary).and_then(|()| match fs::hard_link(&temporary, &next) {
            Err(e) if e.kind() == ErrorKind::AlreadyExists => Ok(()),
            linked => linked,
        });
        let _ = fs::remove_file(&temporary);
        result.and_then(|()| sync_directory(&self.base))
    }

    /// Copies a file, and checks that the copy is a valid store.
    fn copy(&self, number: u64, to: &Path) -> io::Result<()> {
        let from = self.path(number);
        let mut previous = fs::read(&from)?;
        for _ in 0..MAX_COPY_ATTEMPTS {
            // A call that began before the file was closed may still be writing.
            let content = fs::read(&from)?;
            if content == previous {
                let mut file = File::create(to)?;
                file.write_all(&content)?;
                file.sync_all()?;
                // Opening repairs what a process left half done, as after a crash.
                return StateStore::open(to).map(drop).map_err(io::Error::other);
            }
            previous = content;
            std::thread::sleep(COPY_RETRY_INTERVAL);
        }
        Err(io::Error::other("it keeps changing"))
    }
}

/// The highest number of a file that follows this one; 0: none does.
fn highest_number(base: &Path) -> u64 {
    let Some(name) = base.file_name().and_then(|n| n.to_str()) else { return 0 };
    let entries = fs::read_dir(directory(base)).into_iter().flatten().flatten();
    let number = |entry: fs::DirEntry| -> Option<u64> {
        entry.file_name().to_str()?.strip_prefix(name)?.strip_prefix('.')?.parse().ok()
    };
    entries.filter_map(number).max().unwrap_or(0)
}

/// The newest file of the store whose first file is this one.
pub fn newest_file(base: &Path) -> PathBuf {
    let succession = Succession::of(base);
    succession.path(succession.newest())
}
