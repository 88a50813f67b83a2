//! Where a follower of discovery stands: what to ask for next.

use crate::Members;

/// The version of the list that a follower holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(Option<u64>);

impl Cursor {
    /// At a version; `None`: there is no list yet.
    pub fn at(version: Option<u64>) -> Self {
        Cursor(version)
    }

    /// The version held.
    pub fn version(self) -> Option<u64> {
        self.0
    }

    /// The path to ask for: the whole list, or a watch that waits for at most `hold_ms` milliseconds.
    pub fn path(self, hold_ms: u128) -> String {
        match self.0 {
            None => "/catalog/members".to_owned(),
            // Danger: 0 is a version like any other; without it each call is for the whole list, and no watch.
            Some(version) => format!("/catalog/members?from={version}&hold_ms={hold_ms}"),
        }
    }

    /// Takes an answer.
    pub fn saw(&mut self, list: &Members) {
        self.0 = Some(list.version);
    }

    /// Asks for the whole list next.
    pub fn reset(&mut self) {
        self.0 = None;
    }
}
