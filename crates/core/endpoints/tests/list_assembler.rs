//! Assembling the whole list from whole lists and incremental updates.

use rushquay_endpoints::{EndpointList, ListAssembler};

#[test]
fn updates_add_up_to_the_whole_list() {
    let list = |version, full, nodes: &[(&str, &str)]| -> EndpointList {
        let node = |(id, state): &(&str, &str)| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
        let servers: Vec<String> = nodes.iter().map(node).collect();
        let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","));
        serde_json::from_str(&text).expect("a list")
    };
    let mut assembler = ListAssembler::default();
    assert_eq!(assembler.whole_list(), None);
    assembler.apply(&list(3, true, &[("a", "ready"), ("b", "ready")]));
    assembler.apply(&list(4, false, &[("b", "draining"), ("c", "ready")]));
    assembler.apply(&list(5, false, &[("a", "gone")]));
    assert_eq!(assembler.whole_list(), Some(list(5, true, &[("b", "draining"), ("c", "ready")])));
    assembler.apply(&list(6, true, &[("d", "ready")]));
    assert_eq!(assembler.whole_list(), Some(list(6, true, &[("d", "ready")])));
}
