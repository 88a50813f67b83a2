//! The heartbeat that a process sends to its supervisor several times a second.

use serde::{Deserialize, Serialize};

/// The longest heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 512;

/// Reports that a process is alive, and whether it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The id of the process.
    pub pid: u32,
    /// Whether it serves.
    pub yes: bool,
}

impl Heartbeat {
    /// Encodes the heartbeat.
    pub fn bytes(&self) -> Vec<u8> {
        // A struct of plain fields can't fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a heartbeat; unknown fields of later versions are ignored. Returns `None` if it is invalid.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        (bytes.len() <= MAX_HEARTBEAT_BYTES).then(|| serde_json::from_slice(bytes).ok())?
    }
}
