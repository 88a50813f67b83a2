//! The log in `$TMPDIR` in which the two processes of an upgrade share which request ids are claimed.
//!
//! The incumbent creates it when it offers the hand-over, and writes into it all ids that are taken. From then on each process appends its
//! claim before it sends a request, then reads what was appended: of two claims of one id the first counts. Whoever is alone again removes it.

use rushquay_request_ids::{claimed_before, ClaimRecord, ProcessTag, RequestDigest};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Bytes read at once.
const READ_SIZE: usize = 1024 * ClaimRecord::BYTES;

/// Returns the path of the log of the processes that meet at this place.
pub fn log_path(meeting_place: &Path) -> PathBuf {
    let mut path = meeting_place.as_os_str().to_owned();
    path.push("-ids");
    path.into()
}

/// This process's end of the log.
pub struct SharedClaims {
    file: File,
    process: ProcessTag,
    /// How far the log has been read.
    read_to: u64,
}

impl SharedClaims {
    /// Creates the log, which begins with these ids. A log that another upgrade has left behind is replaced.
    pub fn create(path: &Path, taken: impl Iterator<Item = RequestDigest>) -> io::Result<Self> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let file = OpenOptions::new().read(true).append(true).create_new(true).open(path)?;
        let mut shared = Self::of(file);
        let records: Vec<u8> = taken.flat_map(|id| shared.record(id).to_bytes()).collect();
        shared.file.write_all(&records)?;
        shared.read_to = records.len() as u64;
        Ok(shared)
    }

    /// Opens the log of the incumbent.
    pub fn join(path: &Path) -> io::Result<Self> {
        Ok(Self::of(OpenOptions::new().read(true).append(true).open(path)?))
    }

    fn of(file: File) -> Self {
        SharedClaims { file, process: ProcessTag(std::process::id()), read_to: 0 }
    }

    fn record(&self, id: RequestDigest) -> ClaimRecord {
        ClaimRecord { id, process: self.process }
    }

    /// Claims an id. Returns whether the other process has claimed it before, and what has been appended since the log was last read.
    pub fn claim(&mut self, id: RequestDigest) -> io::Result<(bool, Vec<ClaimRecord>)> {
        let own = self.record(id);
        // Danger: a record in two parts could have another one between them; appending it in one call, the system keeps it whole.
        self.file.write_all(&own.to_bytes())?;
        let appended = self.read_appended()?;
        Ok((claimed_before(&appended, own), appended))
    }

    /// Returns whether a record is the other process's.
    pub fn is_foreign(&self, record: &ClaimRecord) -> bool {
        record.process != self.process
    }

    /// Reads what has been appended since the log was last read.
    pub fn read_appended(&mut self) -> io::Result<Vec<ClaimRecord>> {
        let mut records = Vec::new();
        let mut buffer = [0; READ_SIZE];
        loop {
            let n = match self.file.read_at(&mut buffer, self.read_to) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                read => read?,
            };
            let whole = n - n % ClaimRecord::BYTES;
            if whole == 0 {
                return Ok(records);
            }
            records.extend(ClaimRecord::read_all(&buffer[..whole]));
            self.read_to += whole as u64;
        }
    }
}
