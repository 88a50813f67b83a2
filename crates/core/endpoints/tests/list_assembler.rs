//! Assembling a whole list from incremental updates.

use rushquay_endpoints::{EndpointList, ListAssembler};

#[test]
fn updates_add_up_to_the_whole_list() {
    let list = |version, full, nodes: &[(&str, &str)]| -> EndpointList {
        let node = |(id, state): &(&str, &str)| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        let servers: Vec<String> = nodes.iter().map(node).collect();
        let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","));
        serde_json::from_str(&text).expect("a list")
    };
    let mut roll = ListAssembler::default();
    assert_eq!(roll.whole(), None);
    roll.take(&list(3, true, &[("a", "ready"), ("b", "ready")]));
    roll.take(&list(4, false, &[("b", "draining"), ("c", "ready")]));
    roll.take(&list(5, false, &[("a", "gone")]));
    assert_eq!(roll.whole(), Some(list(5, true, &[("b", "draining"), ("c", "ready")])));
    roll.take(&list(6, true, &[("d", "ready")]));
    assert_eq!(roll.whole(), Some(list(6, true, &[("d", "ready")])));
}
