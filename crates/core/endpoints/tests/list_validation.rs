//! Strict validation of endpoint lists.

use rushquay_endpoints::validate_list;

fn field(text: &str) -> String {
    validate_list(text).expect_err("a fault").field
}

fn with(node: &str) -> String {
    format!(r#"{{"version":1,"full":true,"servers":[{node}]}}"#)
}

#[test]
fn each_error_names_its_field() {
    assert_eq!(field("{"), "(file)");
    assert_eq!(field(r#"{"full":true,"servers":[]}"#), "version");
    assert_eq!(field(r#"{"version":1,"full":false,"servers":[]}"#), "full");
    assert_eq!(field(r#"{"version":1,"servers":{}}"#), "servers");
    assert_eq!(field(&with(r#"{"addr":"1.2.3.4:5","state":"ready"}"#)), "servers[0].id");
    assert_eq!(field(&with(r#"{"id":"a","addr":"host:5","state":"ready"}"#)), "servers[0].addr");
    assert_eq!(field(&with(r#"{"id":"a","addr":"1.2.3.4:5","state":"redy"}"#)), "servers[0].state");
    let good = r#""id":"a","addr":"1.2.3.4:5","state":"ready""#;
    assert_eq!(field(&with(&format!(r#"{{{good},"weight":0}}"#))), "servers[0].weight");
    assert_eq!(field(&with(&format!(r#"{{{good},"cell":-1}}"#))), "servers[0].cell");
    assert_eq!(field(&with(&format!(r#"{{{good},"zone":7}}"#))), "servers[0].zone");
    assert_eq!(field(&with(&format!(r#"{{{good}}},{{{good}}}"#))), "servers[1].id");
    assert_eq!(validate_list(&with(&format!("{{{good}}}"))).map(|l| l.servers.len()), Ok(1));
}
