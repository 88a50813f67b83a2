//! Which list responses a cursor accepts.

use rushquay_endpoints::{CursorUpdate, EndpointList, ListCursor};

fn list(version: u64, full: bool, nodes: usize) -> EndpointList {
    let node = r#"{"id":"a","addr":"10.0.0.1:80","state":"ready"}"#;
    let servers = vec![node; nodes].join(",");
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
    serde_json::from_str(&text).expect("a list")
}

#[test]
fn an_older_list_is_requested_once_more_and_then_accepted() {
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
fn a_continuing_list_and_a_list_after_a_reset_are_accepted_at_once() {
    let mut cursor = ListCursor::at(Some(41));
    assert_eq!(cursor.saw(&list(41, false, 0)), CursorUpdate::Taken, "nothing has changed");
    assert_eq!(cursor.saw(&list(43, true, 1)), CursorUpdate::Taken);
    cursor.reset();
    assert_eq!(cursor.saw(&list(1, true, 0)), CursorUpdate::Taken, "another discovery");
    assert_eq!(ListCursor::default().saw(&list(0, true, 0)), CursorUpdate::Taken);
}
