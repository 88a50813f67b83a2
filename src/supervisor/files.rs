//! What a host has on its disk: programs under their digests, its record, its lock.

use super::HostSettings;
use ring::digest::{Context, SHA256};
use rushquay_config_version::Digest;
use rushquay_supervisor::{RecordError, SupervisorRecord};
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File};
use std::io::{self, Read, Write as _};
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A host that ends just now lets go of its folder within this time.
const LOCK_WITHIN: Duration = Duration::from_secs(2);

/// Why a file can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The disk says so.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// There is none.
    #[error("no program {0} in {1}: put it there with `rushquay host add`")]
    Missing(Digest, PathBuf),
    /// It is something else.
    #[error("{0} has the digest {1}: it was changed since it was put there, and is not started")]
    Other(PathBuf, Digest),
    /// The record.
    #[error("{0}: {1}")]
    Record(PathBuf, RecordError),
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> FileError + '_ {
    move |e| FileError::Io(path.to_owned(), e)
}

/// The digest of a file's content: the first 128 bits of its SHA-256.
///
/// # Errors
/// A file that can't be read.
pub fn digest(path: &Path) -> Result<Digest, FileError> {
    let mut file = File::open(path).map_err(at(path))?;
    let (mut context, mut part) = (Context::new(&SHA256), vec![0; 1 << 20]);
    loop {
        match file.read(&mut part).map_err(at(path))? {
            0 => break,
            n => context.update(&part[..n]),
        }
    }
    let whole = context.finish();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&whole.as_ref()[..16]);
    Ok(Digest::from_bytes(bytes))
}

/// Puts a program into a folder under its digest; whole, or not at all.
///
/// # Errors
/// Files that can't be read or written.
pub fn add(file: &Path, folder: &Path) -> Result<Digest, FileError> {
    fs::create_dir_all(folder).map_err(at(folder))?;
    let name = digest(file)?;
    let (part, whole) =
        (folder.join(format!(".{name}.{}", std::process::id())), folder.join(name.to_string()));
    let put = || {
        fs::copy(file, &part)?;
        fs::set_permissions(&part, fs::Permissions::from_mode(0o755))?;
        File::open(&part)?.sync_all()?;
        fs::rename(&part, &whole)
    };
    put().map_err(|e| {
        let _ = fs::remove_file(&part);
        FileError::Io(whole.clone(), e)
    })?;
    match digest(&whole)? {
        same if same == name => Ok(name),
        other => Err(FileError::Other(whole, other)),
    }
}

/// A host's folder.
pub struct Files {
    dir: PathBuf,
    folder: PathBuf,
}

impl Files {
    /// Makes the folder where it is not there.
    ///
    /// # Errors
    /// A folder that can't be made.
    pub fn open(settings: &HostSettings) -> Result<Self, String> {
        let files = Files { dir: settings.dir.clone(), folder: settings.programs.clone() };
        fs::create_dir_all(files.held()).map_err(|e| format!("dir: {}: {e}", files.held().display()))?;
        Ok(files)
    }

    /// Where processes give signs of life.
    pub fn socket(&self) -> PathBuf {
        self.dir.join("host")
    }

    /// The folder itself.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Programs that this host may have to start again.
    fn held(&self) -> PathBuf {
        self.dir.join("programs")
    }

    fn record(&self) -> PathBuf {
        self.dir.join("record.json")
    }

    /// Makes this process the only host of the folder, until what comes back is dropped.
    ///
    /// # Errors
    /// Another one is.
    pub fn lock(&self) -> Result<File, String> {
        let path = self.dir.join("lock");
        let file = File::create(&path).map_err(|e| format!("dir: {}: {e}", path.display()))?;
        let begin = Instant::now();
        // Danger: a host that was killed between fork and exec has a child that still holds it, and that none could find yet.
        while let Err(e) = flock(&file, FlockOperation::NonBlockingLockExclusive) {
            if begin.elapsed() >= LOCK_WITHIN {
                return Err(format!("dir: {}: {e}; another host runs here", path.display()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(file)
    }

    /// What was kept; `None`: nothing was.
    ///
    /// # Errors
    /// A record that can't be read.
    pub fn read_record(&self) -> Result<Option<SupervisorRecord>, FileError> {
        let path = self.record();
        match fs::read_to_string(&path) {
            Ok(text) => SupervisorRecord::read(&text).map(Some).map_err(|e| FileError::Record(path, e)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(FileError::Io(path, e)),
        }
    }

    /// Keeps a record, whole or not at all.
    ///
    /// # Errors
    /// A disk that doesn't take it.
    pub fn keep_record(&self, record: &SupervisorRecord) -> Result<(), String> {
        let (path, new) = (self.record(), self.dir.join("record.new"));
        let keep = || {
            let mut file = File::create(&new)?;
            file.write_all(record.text().as_bytes())?;
            file.sync_all()?;
            fs::rename(&new, &path)?;
            File::open(&self.dir)?.sync_all()
        };
        keep().map_err(|e| format!("{} can't be kept: {e}", path.display()))
    }

    /// A file of this program, checked, held on to in this host's own folder where that can be done.
    ///
    /// # Errors
    /// There is none, or what stands there is something else.
    pub fn program(&self, program: Digest) -> Result<PathBuf, FileError> {
        let (own, theirs) = (self.held().join(program.to_string()), self.folder.join(program.to_string()));
        let mut other = None;
        for path in [&own, &theirs] {
            match digest(path) {
                Ok(found) if found == program => {
                    // Danger: what is cleared out of the folder may be what has to be gone back to.
                    let held =
                        path == &own || fs::hard_link(path, &own).is_ok() || fs::copy(path, &own).is_ok();
                    return Ok(if held { own.clone() } else { theirs.clone() });
                }
                Ok(found) => {
                    other = Some(FileError::Other(path.clone(), found));
                    if path == &own {
                        let _ = fs::remove_file(path);
                    }
                }
                Err(FileError::Io(_, e)) if e.kind() == io::ErrorKind::NotFound => {}
                Err(e) => other = Some(e),
            }
        }
        Err(other.unwrap_or(FileError::Missing(program, self.folder.clone())))
    }

    /// Lets go of all programs but these.
    pub fn hold(&self, programs: &[Digest]) {
        for entry in fs::read_dir(self.held()).into_iter().flatten().flatten() {
            let keeps = programs.iter().any(|p| *entry.file_name() == *p.to_string());
            if !keeps {
                let _ = fs::remove_file(entry.path());
            }
        }
    }
}

impl From<FileError> for String {
    fn from(error: FileError) -> String {
        error.to_string()
    }
}
