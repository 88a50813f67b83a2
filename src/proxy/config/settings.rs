//! Parses the `settings` object of the configuration file or of a config version for the decision module.

use crate::api::Settings;
use crate::proxy::config::interner::Interner;
use serde_json::Value;

/// Parses `settings`, with the names in it.
///
/// # Errors
/// The path of a field, and what is wrong with it.
pub fn settings_of(root: &Value) -> Result<(Settings, Interner), String> {
    let mut pairs = Vec::new();
    flatten("", root, &mut pairs);
    let settings =
        crate::wire::settings(pairs.iter().map(String::as_str)).map_err(|e| format!("settings: {e}"))?;
    let names = Interner {
        classes: names(root, "categories")?,
        tenants: names(root, "customers")?,
        zones: names(root, "localities")?,
        kinds: names(root, "machine_types")?,
    };
    if names.classes.is_empty() {
        return Err("settings.categories is missing or empty".into());
    }
    if let Some(i) = settings.classes.iter().position(|c| c.deadline == 0) {
        return Err(format!("settings.categories.{i}.deadline_ns is missing or 0"));
    }
    // Danger: a class without an effect would be treated as idempotent.
    let effect = |class: &Value| class["effect"].is_string();
    let classes = root["categories"].as_array().map_or(&[][..], Vec::as_slice);
    if let Some(i) = classes.iter().position(|c| !effect(c)) {
        return Err(format!("settings.categories.{i}.effect is missing or no text"));
    }
    Ok((settings, names))
}

/// Parses a non-negative integer, which may be written as a float (`1e9`).
pub fn whole(v: &Value) -> Option<u64> {
    let float = || v.as_f64().filter(|f| f.fract() == 0.0 && (0.0..9e15).contains(f)).map(|f| f as u64);
    v.as_u64().or_else(float)
}

/// Reads the names in a list of strings or of objects with a `name`.
fn names(settings: &Value, field: &str) -> Result<Vec<String>, String> {
    let Some(list) = settings.get(field) else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| format!("settings.{field} is not a list"))?;
    let name = |(i, v): (usize, &Value)| {
        let name = v.as_str().or_else(|| v["name"].as_str());
        name.map(str::to_owned).ok_or_else(|| format!("settings.{field}.{i}.name is missing"))
    };
    list.iter().enumerate().map(name).collect()
}

/// Flattens nested settings to the `path=value` pairs of the simulator's wire format, so that both are parsed by the same code.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<String>) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&child_path(name), v, pairs)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            pairs.push(format!("{}={}", child_path("count"), list.len()));
            list.iter().enumerate().for_each(|(i, v)| flatten(&child_path(&i.to_string()), v, pairs));
        }
        Value::Array(list) => {
            let row: Vec<String> = list.iter().map(scalar).collect();
            pairs.push(format!("{path}={}", row.join(",")));
        }
        scalar_value => pairs.push(format!("{path}={}", scalar(scalar_value))),
    }
}

fn scalar(value: &Value) -> String {
    match (value, whole(value)) {
        (_, Some(number)) => number.to_string(),
        (Value::String(text), _) => text.clone(),
        (other, _) => other.to_string(),
    }
}
