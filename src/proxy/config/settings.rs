//! `settings`, as the platform and generations give them, read for the module.

use crate::api::Settings;
use crate::proxy::config::interner::Interner;
use serde_json::Value;

/// Reads `settings`, with the names in it.
///
/// # Errors
/// The path of a field, and what is wrong with it.
pub fn settings_of(told: &Value) -> Result<(Settings, Interner), String> {
    let mut pairs = Vec::new();
    flatten("", told, &mut pairs);
    let settings =
        crate::wire::settings(pairs.iter().map(String::as_str)).map_err(|e| format!("settings: {e}"))?;
    let names = Interner {
        classes: names(told, "categories")?,
        tenants: names(told, "customers")?,
        zones: names(told, "localities")?,
        kinds: names(told, "machine_types")?,
    };
    if names.classes.is_empty() {
        return Err("settings.categories is missing or empty".into());
    }
    if let Some(i) = settings.classes.iter().position(|c| c.deadline == 0) {
        return Err(format!("settings.categories.{i}.deadline_ns is missing or 0"));
    }
    // Danger: a class without an effect would be taken for idempotent.
    let effect = |class: &Value| class["effect"].is_string();
    let classes = told["categories"].as_array().map_or(&[][..], Vec::as_slice);
    if let Some(i) = classes.iter().position(|c| !effect(c)) {
        return Err(format!("settings.categories.{i}.effect is missing or no text"));
    }
    Ok((settings, names))
}

/// A number without a fraction, however it is written.
pub fn whole(v: &Value) -> Option<u64> {
    let float = || v.as_f64().filter(|f| f.fract() == 0.0 && (0.0..9e15).contains(f)).map(|f| f as u64);
    v.as_u64().or_else(float)
}

/// The names in a list of texts or of objects that have one.
fn names(settings: &Value, field: &str) -> Result<Vec<String>, String> {
    let Some(list) = settings.get(field) else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| format!("settings.{field} is not a list"))?;
    let name = |(i, v): (usize, &Value)| {
        let name = v.as_str().or_else(|| v["name"].as_str());
        name.map(str::to_owned).ok_or_else(|| format!("settings.{field}.{i}.name is missing"))
    };
    list.iter().enumerate().map(name).collect()
}

/// Nested settings in the form of the simulator's wire, so that both programs read them alike.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<String>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&below(name), v, pairs)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            pairs.push(format!("{}={}", below("count"), list.len()));
            list.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
        }
        Value::Array(list) => {
            let row: Vec<String> = list.iter().map(plain).collect();
            pairs.push(format!("{path}={}", row.join(",")));
        }
        plain_value => pairs.push(format!("{path}={}", plain(plain_value))),
    }
}

fn plain(value: &Value) -> String {
    match (value, whole(value)) {
        (_, Some(number)) => number.to_string(),
        (Value::String(text), _) => text.clone(),
        (other, _) => other.to_string(),
    }
}
