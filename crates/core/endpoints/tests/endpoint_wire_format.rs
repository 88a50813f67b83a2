//! Lenient parsing of endpoint lists.

use rushquay_endpoints::{Endpoint, EndpointList, EndpointState};

#[test]
fn invalid_fields_of_one_endpoint_do_not_invalidate_the_list() {
    let text = r#"{"version":3,"full":true,"servers":[
        {"id":"a","addr":"10.0.0.1:80","zone":"z","kind":"k","cell":2,"state":"ready","weight":2.5,"started_ms":7},
        {"id":"b","addr":"nowhere","zone":4,"state":"resting"}]}"#;
    let list: EndpointList = serde_json::from_str(text).expect("a list");
    let (a, b) = (&list.servers[0], &list.servers[1]);
    assert_eq!(
        (a.state, a.started.unix_nanos(), a.weight, a.cell),
        (EndpointState::Ready, 7_000_000, 2.5, 2)
    );
    assert_eq!((b.addr, b.zone.as_str(), b.state), (None, "", EndpointState::Draining));
    let reparsed: Endpoint =
        serde_json::from_value(serde_json::to_value(a).expect("JSON")).expect("an endpoint");
    assert_eq!(&reparsed, a);
}
