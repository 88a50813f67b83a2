//! Strict validation of endpoint lists.

use rushquay_endpoints::validate_list;

fn invalid_field(text: &str) -> String {
    validate_list(text).expect_err("an invalid list").field
}

fn list_of(endpoints: &str) -> String {
    format!(r#"{{"version":1,"full":true,"servers":[{endpoints}]}}"#)
}

#[test]
fn each_error_names_its_field() {
    assert_eq!(invalid_field("{"), "(file)");
    assert_eq!(invalid_field(r#"{"full":true,"servers":[]}"#), "version");
    assert_eq!(invalid_field(r#"{"version":1,"full":false,"servers":[]}"#), "full");
    assert_eq!(invalid_field(r#"{"version":1,"servers":{}}"#), "servers");
    assert_eq!(invalid_field(&list_of(r#"{"addr":"1.2.3.4:5","state":"ready"}"#)), "servers[0].id");
    assert_eq!(invalid_field(&list_of(r#"{"id":"a","addr":"host:5","state":"ready"}"#)), "servers[0].addr");
    assert_eq!(
        invalid_field(&list_of(r#"{"id":"a","addr":"1.2.3.4:5","state":"redy"}"#)),
        "servers[0].state"
    );
    let valid = r#""id":"a","addr":"1.2.3.4:5","state":"ready""#;
    assert_eq!(invalid_field(&list_of(&format!(r#"{{{valid},"weight":0}}"#))), "servers[0].weight");
    assert_eq!(invalid_field(&list_of(&format!(r#"{{{valid},"cell":-1}}"#))), "servers[0].cell");
    assert_eq!(invalid_field(&list_of(&format!(r#"{{{valid},"zone":7}}"#))), "servers[0].zone");
    assert_eq!(invalid_field(&list_of(&format!(r#"{{{valid}}},{{{valid}}}"#))), "servers[1].id");
    assert_eq!(validate_list(&list_of(&format!("{{{valid}}}"))).map(|l| l.servers.len()), Ok(1));
}
