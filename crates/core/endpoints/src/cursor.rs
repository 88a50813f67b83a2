//! What to ask discovery for next, and which of its answers count.

use crate::EndpointList;

/// Where a list at discovery has been followed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCursor {
    version: Option<u64>,
    /// The version of the list that is held, also while the whole list is asked for.
    held: Option<u64>,
    /// The last answer was no sequel to it.
    doubted: bool,
}

/// What becomes of an answer of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorUpdate {
    /// It counts.
    Taken,
    /// It is no sequel to what is held, which stays; the whole list is to be asked for.
    Doubted,
}

impl ListCursor {
    /// At a version; `None`: there is no list yet.
    pub fn at(version: Option<u64>) -> Self {
        ListCursor { version, held: version, doubted: false }
    }

    /// The version to ask from; `None`: the whole list.
    pub fn version(self) -> Option<u64> {
        self.version
    }

    /// The path to ask for: the whole list, or a watch that waits for at most `hold_ms` milliseconds.
    pub fn path(self, hold_ms: u128) -> String {
        match self.version {
            None => "/catalog/members".to_owned(),
            // Danger: 0 is a version like any other; without it each call is for the whole list, and no watch.
            Some(version) => format!("/catalog/members?from={version}&hold_ms={hold_ms}"),
        }
    }

    /// Takes an answer, unless it is older than what is held, or names no node at all in a whole list. Danger: an instance
    /// of discovery that lags behind brings nodes back that are gone, and one that has just started knows none. A doubted
    /// answer is asked for once more as a whole; what comes then counts: discovery may have begun anew, and the nodes may
    /// all be gone.
    pub fn saw(&mut self, list: &EndpointList) -> CursorUpdate {
        let older = self.held.is_some_and(|held| list.version < held);
        let emptied = list.full && list.servers.is_empty() && self.held.is_some();
        if (older || emptied) && !self.doubted {
            (self.version, self.doubted) = (None, true);
            return CursorUpdate::Doubted;
        }
        *self = ListCursor::at(Some(list.version));
        CursorUpdate::Taken
    }

    /// Asks for the whole list next: the changes that came could not be read, and would come again.
    pub fn spoilt(&mut self) {
        self.version = None;
    }

    /// Asks for the whole list next, and takes what comes: another discovery has versions of its own.
    pub fn reset(&mut self) {
        *self = ListCursor::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(version: u64, full: bool, nodes: usize) -> EndpointList {
        let node = r#"{"id":"a","addr":"10.0.0.1:80","state":"ready"}"#;
        let servers = vec![node; nodes].join(",");
        let text = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
        serde_json::from_str(&text).expect("a list")
    }

    #[test]
    fn an_older_list_is_asked_for_once_more_and_then_counts() {
        for older in [list(40, true, 1), list(40, false, 1), list(42, true, 0)] {
            let mut cursor = ListCursor::at(Some(41));
            assert_eq!(cursor.saw(&older), CursorUpdate::Doubted);
            assert_eq!(cursor.path(9), "/catalog/members", "the whole list is asked for");
            let (mut good, mut again) = (cursor, cursor);
            assert_eq!(good.saw(&list(42, true, 1)), CursorUpdate::Taken);
            assert_eq!(good.version(), Some(42));
            assert_eq!(again.saw(&older), CursorUpdate::Taken, "discovery has begun anew");
            assert_eq!(again.version(), Some(older.version));
            assert_eq!(again.saw(&list(older.version.saturating_sub(1), true, 1)), CursorUpdate::Doubted);
        }
    }

    #[test]
    fn what_follows_and_what_is_new_counts_at_once() {
        let mut cursor = ListCursor::at(Some(41));
        assert_eq!(cursor.saw(&list(41, false, 0)), CursorUpdate::Taken, "nothing has changed");
        assert_eq!(cursor.saw(&list(43, true, 1)), CursorUpdate::Taken);
        cursor.reset();
        assert_eq!(cursor.saw(&list(1, true, 0)), CursorUpdate::Taken, "another discovery");
        assert_eq!(ListCursor::default().saw(&list(0, true, 0)), CursorUpdate::Taken);
    }
}
