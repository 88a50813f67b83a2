//! The heartbeat that a process sends to its supervisor several times a second.

use serde::{Deserialize, Serialize};

/// The longest heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 512;

/// A heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub pid: u32,
    /// Whether it serves.
    pub yes: bool,
}

impl Heartbeat {
    /// Encodes the heartbeat.
    pub fn bytes(&self) -> Vec<u8> {
        // Plain fields always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a heartbeat; unknown fields of later programs are ignored. `None`: it is not valid.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        (bytes.len() <= MAX_HEARTBEAT_BYTES).then(|| serde_json::from_slice(bytes).ok())?
    }
}
