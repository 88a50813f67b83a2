//! The cursor of a list watch: what to request from discovery next, and which responses to accept.

use crate::{EndpointList, Nanos};

/// The version of discovery's list that this client has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCursor {
    /// The version to request changes from; `None`: request the whole list.
    version: Option<u64>,
    /// The version of the list in use, kept while the whole list is being requested.
    current: Option<u64>,
    /// Whether the last response was rejected, so that the next one is accepted unconditionally.
    was_rejected: bool,
}

/// Whether a response of discovery is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorUpdate {
    /// The response was accepted.
    Accepted,
    /// The response does not continue the list in use. That list stays in use, and the whole list has to be requested.
    Rejected,
}

impl ListCursor {
    /// A cursor at this version of the list; `None`: there is no list yet.
    pub fn at(version: Option<u64>) -> Self {
        ListCursor { version, current: version, was_rejected: false }
    }

    /// The version to request changes from; `None`: the whole list.
    pub fn version(self) -> Option<u64> {
        self.version
    }

    /// The path to request: the whole list, or a watch in which discovery waits up to `hold_ms` milliseconds for a change.
    pub fn path(self, hold_ms: u128) -> String {
        match self.version {
            None => "/catalog/members".to_owned(),
            // Danger: version 0 is valid. If it were treated as missing, each call would request the whole list and
            // none would watch.
            Some(version) => format!("/catalog/members?from={version}&hold_ms={hold_ms}"),
        }
    }

    /// Returns whether a list cannot be the response to the watch requested last, which discovery holds for `hold` and which was answered
    /// after `elapsed`. Discovery answers a watch when there is something newer, or at the end of the hold. Danger: a response of
    /// HTTP/1.1 does not name its request. A second copy of an earlier one, sent on the same connection, would be taken for the response
    /// to this watch, and could restore endpoints that are draining. A response without entries changes nothing, whatever it is.
    pub fn is_unsolicited(self, list: &EndpointList, hold: Nanos, elapsed: Nanos) -> bool {
        self.version == Some(list.version) && !list.servers.is_empty() && elapsed < hold / 10 * 9
    }

    /// Accepts a response unless it is older than the list in use, or is an empty whole list that would replace it.
    /// Danger: an instance of discovery that lags behind would restore endpoints that are gone, and one that has just
    /// started knows no endpoints. After a rejected response the whole list is requested once more, and the response to
    /// that is accepted unconditionally: discovery may have restarted its versions, and all endpoints may be gone.
    pub fn accept(&mut self, list: &EndpointList) -> CursorUpdate {
        let is_older = self.current.is_some_and(|current| list.version < current);
        let is_emptied = list.full && list.servers.is_empty() && self.current.is_some();
        if (is_older || is_emptied) && !self.was_rejected {
            (self.version, self.was_rejected) = (None, true);
            return CursorUpdate::Rejected;
        }
        *self = ListCursor::at(Some(list.version));
        CursorUpdate::Accepted
    }

    /// Requests the whole list next, because an incremental update could not be parsed and would be sent again unchanged.
    pub fn request_whole_list(&mut self) {
        self.version = None;
    }

    /// Requests the whole list next and accepts it unconditionally, because a different discovery numbers its versions
    /// independently.
    pub fn reset(&mut self) {
        *self = ListCursor::default();
    }
}
