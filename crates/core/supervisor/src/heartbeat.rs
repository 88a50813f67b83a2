//! What a process tells its host, several times a second.

use serde::{Deserialize, Serialize};

/// A pulse is at most this long, in bytes.
const MOST: usize = 512;

/// A sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub pid: u32,
    /// It serves.
    pub yes: bool,
}

impl Heartbeat {
    /// As it travels.
    pub fn bytes(&self) -> Vec<u8> {
        // Plain fields always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads one; fields that a later program adds are passed over. `None`: it is none.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        (bytes.len() <= MOST).then(|| serde_json::from_slice(bytes).ok())?
    }
}
