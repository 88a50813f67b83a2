//! Which of discovery's responses a cursor accepts.

use rushquay_endpoints::{CursorUpdate, EndpointList, ListCursor};

fn list(version: u64, full: bool, nodes: usize) -> EndpointList {
    let node = r#"{"id":"a","addr":"10.0.0.1:80","state":"ready"}"#;
    let servers = vec![node; nodes].join(",");
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
    serde_json::from_str(&text).expect("a list")
}

#[test]
fn after_an_outdated_list_the_whole_list_is_requested_and_accepted_unconditionally() {
    for outdated in [list(40, true, 1), list(40, false, 1), list(42, true, 0)] {
        let mut cursor = ListCursor::at(Some(41));
        assert_eq!(cursor.accept(&outdated), CursorUpdate::Rejected);
        assert_eq!(cursor.path(9), "/catalog/members", "the whole list is requested");
        let (mut gets_newer, mut gets_outdated) = (cursor, cursor);
        assert_eq!(gets_newer.accept(&list(42, true, 1)), CursorUpdate::Accepted);
        assert_eq!(gets_newer.version(), Some(42));
        assert_eq!(
            gets_outdated.accept(&outdated),
            CursorUpdate::Accepted,
            "discovery has restarted its versions"
        );
        assert_eq!(gets_outdated.version(), Some(outdated.version));
        assert_eq!(
            gets_outdated.accept(&list(outdated.version.saturating_sub(1), true, 1)),
            CursorUpdate::Rejected
        );
    }
}

#[test]
fn a_continuing_list_and_a_list_after_a_reset_are_accepted_at_once() {
    let mut cursor = ListCursor::at(Some(41));
    assert_eq!(cursor.accept(&list(41, false, 0)), CursorUpdate::Accepted, "no changes");
    assert_eq!(cursor.accept(&list(43, true, 1)), CursorUpdate::Accepted);
    cursor.reset();
    assert_eq!(cursor.accept(&list(1, true, 0)), CursorUpdate::Accepted, "another discovery");
    assert_eq!(ListCursor::default().accept(&list(0, true, 0)), CursorUpdate::Accepted);
}

#[test]
fn entries_of_the_same_version_before_the_end_of_a_hold_are_unsolicited() {
    const HOLD: u64 = 1_000;
    let cursor = ListCursor::at(Some(41));
    for same in [list(41, true, 1), list(41, false, 1)] {
        assert!(cursor.is_unsolicited(&same, HOLD, 30));
        assert!(!cursor.is_unsolicited(&same, HOLD, HOLD), "the hold has ended");
        assert!(!cursor.is_unsolicited(&same, 0, 30), "it was to be answered at once");
        assert!(!ListCursor::default().is_unsolicited(&same, HOLD, 30), "the whole list was requested");
    }
    assert!(!cursor.is_unsolicited(&list(41, false, 0), HOLD, 30), "it changes nothing");
    // What is older is rejected, and the whole list requested.
    for other in [list(42, false, 1), list(40, true, 1)] {
        assert!(!cursor.is_unsolicited(&other, HOLD, 30));
    }
}
