//! The cursor of a list watch: what to request from discovery next, and which of its responses are accepted.

use crate::EndpointList;

/// The position in discovery's list up to which this client has followed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCursor {
    version: Option<u64>,
    /// The version of the list in use, also while the whole list is being requested.
    current: Option<u64>,
    /// The last response did not continue the list in use.
    is_doubted: bool,
}

/// What becomes of a response of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorUpdate {
    /// It was accepted.
    Taken,
    /// It does not continue the list in use, which stays; the whole list has to be requested.
    Doubted,
}

impl ListCursor {
    /// A cursor at a version; `None`: there is no list yet.
    pub fn at(version: Option<u64>) -> Self {
        ListCursor { version, current: version, is_doubted: false }
    }

    /// The version to request changes from; `None`: the whole list.
    pub fn version(self) -> Option<u64> {
        self.version
    }

    /// The path to request: the whole list, or a watch that waits for at most `hold_ms` milliseconds.
    pub fn path(self, hold_ms: u128) -> String {
        match self.version {
            None => "/catalog/members".to_owned(),
            // Danger: 0 is a version like any other; without it each call would request the whole list, and never
            // watch.
            Some(version) => format!("/catalog/members?from={version}&hold_ms={hold_ms}"),
        }
    }

    /// Accepts a response unless it is older than the list in use, or is a whole list without any endpoint. Danger:
    /// an instance of discovery that lags behind brings endpoints back that are gone, and one that has just started
    /// knows none. After a doubted response the whole list is requested once more, and that response is accepted
    /// whatever it is: discovery may have started over, and the endpoints may all be gone.
    pub fn saw(&mut self, list: &EndpointList) -> CursorUpdate {
        let is_older = self.current.is_some_and(|current| list.version < current);
        let is_emptied = list.full && list.servers.is_empty() && self.current.is_some();
        if (is_older || is_emptied) && !self.is_doubted {
            (self.version, self.is_doubted) = (None, true);
            return CursorUpdate::Doubted;
        }
        *self = ListCursor::at(Some(list.version));
        CursorUpdate::Taken
    }

    /// Requests the whole list next: the incremental update could not be parsed, and would be sent again unchanged.
    pub fn spoilt(&mut self) {
        self.version = None;
    }

    /// Requests the whole list next, and accepts whatever comes: another discovery has versions of its own.
    pub fn reset(&mut self) {
        *self = ListCursor::default();
    }
}
