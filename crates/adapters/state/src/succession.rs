//! The files of a shared store, one after another.
//!
//! A store is locked for as long as one call takes. A process that is stopped in the middle of a call (SIGSTOP, a suspended virtual
//! machine, a disk that hangs) keeps it locked for as long as it stands still, and the lock can't be taken from it. The others then
//! go on with a copy: file `state.redb` is followed by `state.redb.1`, that by `state.redb.2`, and the one with the highest number
//! counts.
//!
//! - A file is **closed** by a marker beside it. Whoever has written to a file looks for its marker before it tells that the write
//!   counts; so every write that was told to count stands in the file when the marker is made.
//! - Then the file is copied, and the copy is linked to the next name, which only one process can do. What the stopped process
//!   writes when it goes on stands in a file that nobody reads, and it finds the marker.
//!
//! Old files are left where they are: small, rare, and a process that wakes up has to find the way from its own to the newest.

use crate::StateStore;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Copies that this process has begun: several instances may live in one.
static COPIES: AtomicU64 = AtomicU64::new(0);
/// A copy is made so often, until two in a row are alike.
const COPIES_MOST: u32 = 100;
/// Between two copies that differ.
const COPY_AGAIN: Duration = Duration::from_millis(5);

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

fn folder(path: &Path) -> &Path {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

fn sync_folder(path: &Path) -> io::Result<()> {
    File::open(folder(path))?.sync_all()
}

impl Succession {
    /// Of the store that begins with this file.
    pub fn of(base: &Path) -> Self {
        let newest = AtomicU64::new(highest(base));
        Succession { base: base.to_owned(), newest }
    }

    /// The first file.
    pub fn base(&self) -> &Path {
        &self.base
    }

    /// The file of this number.
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
            // Somebody has put the store away.
            newest = highest(&self.base);
        }
        while self.path(newest + 1).exists() {
            newest += 1;
        }
        self.newest.store(newest, Ordering::Relaxed);
        newest
    }

    /// Whether nothing that is written to this file from now on counts.
    pub fn is_closed(&self, number: u64) -> bool {
        self.marker(number).exists()
    }

    /// Closes a file: from here on no write to it counts.
    ///
    /// # Errors
    /// The marker can't be made.
    pub fn close(&self, number: u64) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.marker(number))?.sync_all()?;
        sync_folder(&self.base)
    }

    /// Makes the file behind a closed one, unless another process has.
    ///
    /// # Errors
    /// It can't be copied, or the copy is no store.
    pub fn succeed(&self, number: u64) -> io::Result<()> {
        let next = self.path(number + 1);
        if next.exists() {
            return Ok(());
        }
        let copy = COPIES.fetch_add(1, Ordering::Relaxed);
        let new = with_suffix(&next, &format!(".{}-{copy}.new", std::process::id()));
        let made = self.copy(number, &new).and_then(|()| match fs::hard_link(&new, &next) {
            Err(e) if e.kind() == ErrorKind::AlreadyExists => Ok(()),
            linked => linked,
        });
        let _ = fs::remove_file(&new);
        made.and_then(|()| sync_folder(&self.base))
    }

    /// Copies a file, and checks that the copy is a store.
    fn copy(&self, number: u64, to: &Path) -> io::Result<()> {
        let from = self.path(number);
        let mut before = fs::read(&from)?;
        for _ in 0..COPIES_MOST {
            // A call that had begun before the file was closed may still be writing.
            let again = fs::read(&from)?;
            if again == before {
                let mut file = File::create(to)?;
                file.write_all(&again)?;
                file.sync_all()?;
                // What a process left half done is mended here, as after a crash.
                return StateStore::open(to).map(drop).map_err(io::Error::other);
            }
            before = again;
            std::thread::sleep(COPY_AGAIN);
        }
        Err(io::Error::other("it is written without end"))
    }
}

/// The highest number of a file that follows this one; 0: none does.
fn highest(base: &Path) -> u64 {
    let Some(name) = base.file_name().and_then(|n| n.to_str()) else { return 0 };
    let entries = fs::read_dir(folder(base)).into_iter().flatten().flatten();
    let number = |entry: fs::DirEntry| -> Option<u64> {
        entry.file_name().to_str()?.strip_prefix(name)?.strip_prefix('.')?.parse().ok()
    };
    entries.filter_map(number).max().unwrap_or(0)
}

/// The newest file of a store that begins with this one.
pub fn newest_file(base: &Path) -> PathBuf {
    let succession = Succession::of(base);
    succession.path(succession.newest())
}
