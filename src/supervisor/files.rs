//! The files of a supervisor: programs named by their digests, its persisted record, its lock.

use super::SupervisorSettings;
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

/// How long to wait for the lock of a supervisor that is just ending.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a file can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// An I/O error.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// There is no program with this digest.
    #[error("no program {0} in {1}: put it there with `rushquay host add`")]
    MissingProgram(Digest, PathBuf),
    /// The content of the file does not match the digest in its name.
    #[error("{0} has the digest {1}: the file was modified after it was added, and is not started")]
    DigestMismatch(PathBuf, Digest),
    /// The record is invalid.
    #[error("{0}: {1}")]
    Record(PathBuf, RecordError),
}

/// Attaches the path to an I/O error.
fn at(path: &Path) -> impl FnOnce(io::Error) -> FileError + '_ {
    move |e| FileError::Io(path.to_owned(), e)
}

/// The digest of a file's content: the first 128 bits of its SHA-256.
///
/// # Errors
/// The file can't be read.
pub fn file_digest(path: &Path) -> Result<Digest, FileError> {
    let mut file = File::open(path).map_err(at(path))?;
    let (mut context, mut buffer) = (Context::new(&SHA256), vec![0; 1 << 20]);
    loop {
        match file.read(&mut buffer).map_err(at(path))? {
            0 => break,
            n => context.update(&buffer[..n]),
        }
    }
    let hash = context.finish();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_ref()[..16]);
    Ok(Digest::from_bytes(bytes))
}

/// Adds a program to a folder, in a file named by its digest. The file appears atomically.
///
/// # Errors
/// A file can't be read or written, or changed while it was copied.
pub fn add_program(file: &Path, folder: &Path) -> Result<Digest, FileError> {
    fs::create_dir_all(folder).map_err(at(folder))?;
    let name = file_digest(file)?;
    let (temporary, path) =
        (folder.join(format!(".{name}.{}", std::process::id())), folder.join(name.to_string()));
    let copy = || {
        fs::copy(file, &temporary)?;
        fs::set_permissions(&temporary, fs::Permissions::from_mode(0o755))?;
        File::open(&temporary)?.sync_all()?;
        fs::rename(&temporary, &path)
    };
    copy().map_err(|e| {
        let _ = fs::remove_file(&temporary);
        FileError::Io(path.clone(), e)
    })?;
    match file_digest(&path)? {
        same if same == name => Ok(name),
        other => Err(FileError::DigestMismatch(path, other)),
    }
}

/// The files of one supervisor.
pub struct Files {
    /// The supervisor's own folder.
    dir: PathBuf,
    /// The folder to which operators add programs.
    programs: PathBuf,
}

impl Files {
    /// Creates the supervisor's folder if it does not exist.
    ///
    /// # Errors
    /// The folder can't be created.
    pub fn open(settings: &SupervisorSettings) -> Result<Self, String> {
        let files = Files { dir: settings.dir.clone(), programs: settings.programs.clone() };
        fs::create_dir_all(files.retained_dir())
            .map_err(|e| format!("dir: {}: {e}", files.retained_dir().display()))?;
        Ok(files)
    }

    /// The path of the socket that receives heartbeats.
    pub fn socket(&self) -> PathBuf {
        self.dir.join("host")
    }

    /// The supervisor's own folder.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// The folder of the programs that this supervisor may have to start again.
    fn retained_dir(&self) -> PathBuf {
        self.dir.join("programs")
    }

    /// The path of the record.
    fn record_path(&self) -> PathBuf {
        self.dir.join("record.json")
    }

    /// Makes this process the only supervisor of the folder, until the returned lock is dropped.
    ///
    /// # Errors
    /// Another supervisor holds the lock, or the lock file can't be created.
    pub fn lock(&self) -> Result<File, String> {
        let path = self.dir.join("lock");
        let file = File::create(&path).map_err(|e| format!("dir: {}: {e}", path.display()))?;
        let started_at = Instant::now();
        // Danger: a supervisor that was killed between fork and exec leaves a child that still holds the lock, and that the
        // search in `/proc` does not find before its exec. The lock must be free before the search.
        while let Err(e) = flock(&file, FlockOperation::NonBlockingLockExclusive) {
            if started_at.elapsed() >= LOCK_TIMEOUT {
                return Err(format!("dir: {}: {e}; another host runs here", path.display()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(file)
    }

    /// Reads the persisted record; `None`: there is none.
    ///
    /// # Errors
    /// The record can't be read.
    pub fn read_record(&self) -> Result<Option<SupervisorRecord>, FileError> {
        let path = self.record_path();
        match fs::read_to_string(&path) {
            Ok(text) => SupervisorRecord::read(&text).map(Some).map_err(|e| FileError::Record(path, e)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(FileError::Io(path, e)),
        }
    }

    /// Persists a record atomically.
    ///
    /// # Errors
    /// The record can't be written.
    pub fn write_record(&self, record: &SupervisorRecord) -> Result<(), String> {
        let (path, temporary) = (self.record_path(), self.dir.join("record.new"));
        let write = || {
            let mut file = File::create(&temporary)?;
            file.write_all(record.text().as_bytes())?;
            file.sync_all()?;
            fs::rename(&temporary, &path)?;
            File::open(&self.dir)?.sync_all()
        };
        write().map_err(|e| format!("{} can't be kept: {e}", path.display()))
    }

    /// Returns a file of this program whose digest was verified: a link or a copy in the supervisor's own folder, or the
    /// original if neither can be made.
    ///
    /// # Errors
    /// There is no file of this program, or its content has another digest.
    pub fn find_program(&self, program: Digest) -> Result<PathBuf, FileError> {
        let (own, added) =
            (self.retained_dir().join(program.to_string()), self.programs.join(program.to_string()));
        let mut error = None;
        for path in [&own, &added] {
            match file_digest(path) {
                Ok(found) if found == program => {
                    // Danger: a program that an operator removes from the folder may be the one to roll back to.
                    let retained =
                        path == &own || fs::hard_link(path, &own).is_ok() || fs::copy(path, &own).is_ok();
                    return Ok(if retained { own.clone() } else { added.clone() });
                }
                Ok(found) => {
                    error = Some(FileError::DigestMismatch(path.clone(), found));
                    if path == &own {
                        let _ = fs::remove_file(path);
                    }
                }
                Err(FileError::Io(_, e)) if e.kind() == io::ErrorKind::NotFound => {}
                Err(e) => error = Some(e),
            }
        }
        Err(error.unwrap_or(FileError::MissingProgram(program, self.programs.clone())))
    }

    /// Removes all programs but these from the supervisor's own folder.
    pub fn retain_programs(&self, programs: &[Digest]) {
        for entry in fs::read_dir(self.retained_dir()).into_iter().flatten().flatten() {
            let is_retained = programs.iter().any(|p| *entry.file_name() == *p.to_string());
            if !is_retained {
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
