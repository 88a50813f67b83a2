//! The strict reading of a node list: each fault names its field and what was expected there.

use crate::{Endpoint, EndpointList};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A fault in a node list. Fix the field named and read the list again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}, found {found}")]
pub struct ListError {
    /// The field's path, as `servers[2].addr`; `(file)` for the whole.
    pub field: String,
    /// What was expected there.
    pub expected: &'static str,
    /// What stands there.
    pub found: String,
}

fn fault(field: impl Into<String>, expected: &'static str, found: impl ToString) -> ListError {
    let mut found = found.to_string();
    if found.len() > 80 {
        found = found.chars().take(77).collect::<String>() + "...";
    }
    ListError { field: field.into(), expected, found }
}

fn shown(v: Option<&Value>) -> String {
    v.map_or_else(|| "nothing".to_owned(), Value::to_string)
}

/// Reads a whole node list in discovery's form, strictly.
///
/// # Errors
/// The first fault: what is no JSON, a field that is missing or of another type, a list that isn't whole, an id
/// that is empty or stands twice, an address that isn't `IP:PORT`, a weight that isn't positive.
pub fn validate_list(text: &str) -> Result<EndpointList, ListError> {
    let root: Value = serde_json::from_str(text).map_err(|e| fault("(file)", "JSON", e))?;
    let Value::Object(fields) = &root else { return Err(fault("(file)", "an object", "something else")) };
    let version = fields.get("version").and_then(Value::as_u64);
    let version =
        version.ok_or_else(|| fault("version", "a whole number from 0", shown(fields.get("version"))))?;
    match fields.get("full") {
        Some(Value::Bool(true)) | None => {}
        other => return Err(fault("full", "true (the file holds the whole list)", shown(other))),
    }
    let servers = fields.get("servers").and_then(Value::as_array);
    let servers = servers.ok_or_else(|| fault("servers", "a list", shown(fields.get("servers"))))?;
    let mut ids = HashMap::new();
    let mut members = Vec::with_capacity(servers.len());
    for (i, server) in servers.iter().enumerate() {
        let member = check_member(&format!("servers[{i}]"), server)?;
        if let Some(first) = ids.insert(member.id.clone(), i) {
            let field = format!("servers[{i}].id");
            return Err(fault(field, "an id of its own", format!("{:?}, as servers[{first}]", member.id)));
        }
        members.push(member);
    }
    Ok(EndpointList { version, full: true, servers: members })
}

fn check_member(at: &str, v: &Value) -> Result<Endpoint, ListError> {
    let path = |name: &str| format!("{at}.{name}");
    if !v.is_object() {
        return Err(fault(at, "an object", v));
    }
    let text = |name: &str, expected| {
        let held = v.get(name).and_then(Value::as_str);
        held.ok_or_else(|| fault(path(name), expected, shown(v.get(name))))
    };
    if text("id", "a text that names the node")?.is_empty() {
        return Err(fault(path("id"), "a text that names the node", "\"\""));
    }
    let addr = text("addr", "an address, IP:PORT")?;
    if addr.parse::<SocketAddr>().is_err() {
        return Err(fault(path("addr"), "an address, IP:PORT", format!("{addr:?}")));
    }
    let state = text("state", "ready or draining")?;
    if !matches!(state, "ready" | "draining") {
        return Err(fault(path("state"), "ready or draining", format!("{state:?}")));
    }
    for name in ["zone", "kind"] {
        if v.get(name).is_some_and(|t| !t.is_string()) {
            return Err(fault(path(name), "a text", shown(v.get(name))));
        }
    }
    type Fits = fn(f64) -> bool;
    let numbers: [(&str, &'static str, Fits); 3] = [
        ("weight", "a number over 0, at most 1000000", |w| w > 0.0 && w <= 1e6),
        ("started_ms", "Unix time in milliseconds, or 0", |t| (0.0..1e16).contains(&t)),
        ("cell", "a whole number from 0 to 4294967295", |c| {
            c.fract() == 0.0 && (0.0..4_294_967_296.0).contains(&c)
        }),
    ];
    for (name, expected, fits) in numbers {
        if let Some(held) = v.get(name) {
            held.as_f64().filter(|n| fits(*n)).ok_or_else(|| fault(path(name), expected, held))?;
        }
    }
    serde_json::from_value(v.clone()).map_err(|e| fault(at, "a node", e))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn field(text: &str) -> String {
        validate_list(text).expect_err("a fault").field
    }

    fn with(node: &str) -> String {
        format!(r#"{{"version":1,"full":true,"servers":[{node}]}}"#)
    }

    #[test]
    fn each_fault_names_its_field() {
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
}
