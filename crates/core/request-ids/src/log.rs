//! The log in which two processes share their claims: records of fixed size, in the order in which they were appended.

use crate::digest::DIGEST_BYTES;
use crate::RequestDigest;

/// Tells the processes that share a log apart: the process id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessTag(pub u32);

/// A claim in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The claimed id.
    pub id: RequestDigest,
    /// The process that claims it.
    pub process: ProcessTag,
}

impl ClaimRecord {
    /// Length of an encoded record in bytes.
    pub const BYTES: usize = DIGEST_BYTES + 4;

    /// Encodes the record.
    pub fn to_bytes(self) -> [u8; Self::BYTES] {
        let mut bytes = [0; Self::BYTES];
        bytes[..DIGEST_BYTES].copy_from_slice(&self.id.to_bytes());
        bytes[DIGEST_BYTES..].copy_from_slice(&self.process.0.to_be_bytes());
        bytes
    }

    /// Decodes the whole records at the beginning of `bytes`.
    pub fn read_all(bytes: &[u8]) -> impl Iterator<Item = ClaimRecord> + '_ {
        bytes.chunks_exact(Self::BYTES).filter_map(|record| {
            let (id, process) = record.split_first_chunk::<DIGEST_BYTES>()?;
            let process = ProcessTag(u32::from_be_bytes(process.try_into().ok()?));
            Some(ClaimRecord { id: RequestDigest::from_bytes(*id), process })
        })
    }
}

/// Returns whether another process claimed the id of `own` before `own` did. `records` are those that were appended since the log was
/// last read, `own` among them.
pub fn claimed_before(records: &[ClaimRecord], own: ClaimRecord) -> bool {
    let first = records.iter().find(|record| record.id == own.id);
    first.is_some_and(|first| first.process != own.process)
}
