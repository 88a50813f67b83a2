//! Strict validation of endpoint lists: each error names the field and what was expected there.

use crate::{Endpoint, EndpointList};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// An invalid field of an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}, found {found}")]
pub struct ListError {
    /// The path of the field, such as `servers[2].addr`; `(file)` for the whole text.
    pub field: String,
    /// What was expected there.
    pub expected: &'static str,
    /// What was found there.
    pub found: String,
}

/// Maximum length of `found` in an error; longer texts are truncated.
const MAX_FOUND_BYTES: usize = 80;
/// Length of a truncated text without its ellipsis.
const TRUNCATED_FOUND_CHARS: usize = 77;

fn field_error(field: impl Into<String>, expected: &'static str, found: impl ToString) -> ListError {
    let mut found = found.to_string();
    if found.len() > MAX_FOUND_BYTES {
        found = found.chars().take(TRUNCATED_FOUND_CHARS).collect::<String>() + "...";
    }
    ListError { field: field.into(), expected, found }
}

fn describe(value: Option<&Value>) -> String {
    value.map_or_else(|| "nothing".to_owned(), Value::to_string)
}

/// Parses a whole endpoint list in discovery's format, strictly.
///
/// # Errors
/// The first error found: invalid JSON, a missing field or one of the wrong type, a list that is not whole, an id that
/// is empty or not unique, an address that is not `IP:PORT`, or a number out of range.
pub fn validate_list(text: &str) -> Result<EndpointList, ListError> {
    let root: Value = serde_json::from_str(text).map_err(|e| field_error("(file)", "JSON", e))?;
    let Value::Object(fields) = &root else {
        return Err(field_error("(file)", "an object", "something else"));
    };
    let version = fields.get("version").and_then(Value::as_u64);
    let version = version
        .ok_or_else(|| field_error("version", "a whole number from 0", describe(fields.get("version"))))?;
    match fields.get("full") {
        Some(Value::Bool(true)) | None => {}
        other => {
            return Err(field_error("full", "true (the file must contain the whole list)", describe(other)))
        }
    }
    let servers = fields.get("servers").and_then(Value::as_array);
    let servers = servers.ok_or_else(|| field_error("servers", "a list", describe(fields.get("servers"))))?;
    let mut ids = HashMap::new();
    let mut endpoints = Vec::with_capacity(servers.len());
    for (i, server) in servers.iter().enumerate() {
        let endpoint = parse_endpoint(&format!("servers[{i}]"), server)?;
        if let Some(first) = ids.insert(endpoint.id.clone(), i) {
            let field = format!("servers[{i}].id");
            return Err(field_error(field, "a unique id", format!("{:?}, as servers[{first}]", endpoint.id)));
        }
        endpoints.push(endpoint);
    }
    Ok(EndpointList { version, full: true, servers: endpoints })
}

fn parse_endpoint(location: &str, value: &Value) -> Result<Endpoint, ListError> {
    let path = |name: &str| format!("{location}.{name}");
    if !value.is_object() {
        return Err(field_error(location, "an object", value));
    }
    let text = |name: &str, expected| {
        let found = value.get(name).and_then(Value::as_str);
        found.ok_or_else(|| field_error(path(name), expected, describe(value.get(name))))
    };
    if text("id", "a non-empty string")?.is_empty() {
        return Err(field_error(path("id"), "a non-empty string", "\"\""));
    }
    let addr = text("addr", "an address, IP:PORT")?;
    if addr.parse::<SocketAddr>().is_err() {
        return Err(field_error(path("addr"), "an address, IP:PORT", format!("{addr:?}")));
    }
    let state = text("state", "ready or draining")?;
    if !matches!(state, "ready" | "draining") {
        return Err(field_error(path("state"), "ready or draining", format!("{state:?}")));
    }
    for name in ["zone", "kind"] {
        if value.get(name).is_some_and(|t| !t.is_string()) {
            return Err(field_error(path(name), "a string", describe(value.get(name))));
        }
    }
    type IsValid = fn(f64) -> bool;
    let numbers: [(&str, &'static str, IsValid); 3] = [
        ("weight", "a number over 0, at most 1000000", |w| w > 0.0 && w <= 1e6),
        ("started_ms", "Unix time in milliseconds, or 0", |t| (0.0..1e16).contains(&t)),
        ("cell", "a whole number from 0 to 4294967295", |c| {
            c.fract() == 0.0 && (0.0..4_294_967_296.0).contains(&c)
        }),
    ];
    for (name, expected, is_valid) in numbers {
        if let Some(found) = value.get(name) {
            found
                .as_f64()
                .filter(|n| is_valid(*n))
                .ok_or_else(|| field_error(path(name), expected, found))?;
        }
    }
    serde_json::from_value(value.clone()).map_err(|e| field_error(location, "a node", e))
}
