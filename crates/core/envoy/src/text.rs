//! Envoy's configuration as YAML or JSON: protobuf's JSON form turned into encoded messages, with the same verdict on every
//! field as [`crate::wire`], and back for showing it.
//!
//! Source: the protobuf documentation, "ProtoJSON Format".

use crate::fields::{message, Field, Message, Rule, Type};
use crate::wire::{any, any_name, refuse, take, Notes, Path, Raw, Refused, DEPTH};
use base64::engine::general_purpose::{STANDARD, URL_SAFE};
use base64::Engine as _;
use envoy_types::pb::google::protobuf::{value::Kind, ListValue, Struct, Value as ProtoValue};
use prost::Message as _;
use serde_json::{json, Map, Value};
use std::collections::HashMap;

/// Reads YAML, of which JSON is a part.
///
/// # Errors
/// Where it is no YAML.
pub fn parse(text: &str) -> Result<Value, Refused> {
    // Danger: a domain that is called `y` or `no` would else be a truth value.
    let options = serde_saphyr::options! { strict_booleans: true };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| {
        let told = e.to_string();
        Refused::at("(file)", told.lines().next().unwrap_or_default().to_owned())
    })
}

/// Encodes a message of this full name.
///
/// # Errors
/// The first field that must be refused, that is unknown, or that holds what it can't.
pub fn encode(name: &str, told: &Value, root: &str, notes: &mut Notes) -> Result<Vec<u8>, Refused> {
    let path = Path::root(root);
    let message = message(name).ok_or_else(|| Refused::at(path, format!("{name} is not read here")))?;
    let mut out = Vec::new();
    fields(message, told, &path, &mut out, notes)?;
    Ok(out)
}

fn fields(
    message: &Message,
    told: &Value,
    path: &Path<'_>,
    out: &mut Vec<u8>,
    notes: &mut Notes,
) -> Result<(), Refused> {
    if path.depth() > DEPTH {
        return Err(Refused::at(path, "messages stand too deep in one another"));
    }
    let told = told.as_object().ok_or_else(|| Refused::at(path, "expected fields"))?;
    if passed_over(message, told) {
        notes.ignore(path, "an optional or disabled filter that is not known here");
        // What is left of it says that it may be passed over.
        key(message.named("is_optional").map_or(0, |f| f.number), 0, out);
        out.push(1);
        return Ok(());
    }
    for (name, value) in told.iter().filter(|(n, v)| *n != "@type" && !v.is_null()) {
        let Some(field) = message.named(name) else {
            return Err(Refused::at(path.below(name, None), format!("no field of {}", message.name)));
        };
        match field.rule {
            Rule::Ignored => {
                notes.ignore(&path.below(field.name, None), field.why);
                continue;
            }
            Rule::Refused => {
                let nothing = matches!(value, Value::Bool(false))
                    || value.as_f64() == Some(0.0)
                    || value.as_str() == Some("")
                    || value.as_array().is_some_and(Vec::is_empty);
                if nothing {
                    continue;
                }
                return Err(refuse(field, &path.below(field.name, None)));
            }
            Rule::Obeyed => {}
        }
        let Some(kind) = &field.kind else { continue };
        if field.repeated {
            let list = value.as_array();
            let list = list.ok_or_else(|| Refused::at(path.below(field.name, None), "expected a list"))?;
            for (i, one) in list.iter().enumerate() {
                put(field, kind, one, &path.below(field.name, Some(i)), out, notes)?;
            }
        } else {
            put(field, kind, value, &path.below(field.name, None), out, notes)?;
        }
    }
    Ok(())
}

fn passed_over(message: &Message, told: &Map<String, Value>) -> bool {
    let names = ["is_optional", "isOptional", "disabled"];
    let says = names.iter().any(|n| told.get(*n) == Some(&Value::Bool(true)));
    let config = told.get("typed_config").or(told.get("typedConfig"));
    let url = config.and_then(|c| c.get("@type")).and_then(Value::as_str).unwrap_or_default();
    message.name.ends_with(".HttpFilter") && says && crate::fields::message(any_name(url)).is_none()
}

fn key(number: u32, wire: u32, out: &mut Vec<u8>) {
    varint(u64::from(number << 3 | wire), out);
}

fn varint(mut n: u64, out: &mut Vec<u8>) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn bytes(number: u32, body: &[u8], out: &mut Vec<u8>) {
    key(number, 2, out);
    varint(body.len() as u64, out);
    out.extend_from_slice(body);
}

fn put(
    field: &Field,
    kind: &Type,
    told: &Value,
    path: &Path<'_>,
    out: &mut Vec<u8>,
    notes: &mut Notes,
) -> Result<(), Refused> {
    let number = field.number;
    let wrong = |expected: &str| Refused::at(path, format!("expected {expected}, got {told}"));
    let text = || told.as_str().ok_or_else(|| wrong("a text"));
    match kind {
        Type::Bool => {
            key(number, 0, out);
            varint(u64::from(told.as_bool().ok_or_else(|| wrong("true or false"))?), out);
        }
        Type::Whole(least, most) => {
            let n = whole(told).filter(|n| (least..=most).contains(&n));
            let n = n.ok_or_else(|| wrong(&format!("a whole number from {least} to {most}")))?;
            key(number, 0, out);
            varint(n as u64, out);
        }
        Type::Double => {
            let n = told.as_f64().or_else(|| told.as_str()?.parse().ok()).ok_or_else(|| wrong("a number"))?;
            key(number, 1, out);
            out.extend_from_slice(&n.to_le_bytes());
        }
        Type::Text => bytes(number, text()?.as_bytes(), out),
        Type::Bytes => {
            let decoded = STANDARD.decode(text()?).or_else(|_| URL_SAFE.decode(text().unwrap_or_default()));
            bytes(number, &decoded.map_err(|_| wrong("base64"))?, out);
        }
        Type::Enum(values) => {
            let named = told.as_str().and_then(|t| values.iter().find(|v| v.0 == t)).map(|v| v.1);
            let n = named.or_else(|| whole(told).and_then(|n| i32::try_from(n).ok()));
            let n = n.ok_or_else(|| {
                let names: Vec<&str> = values.iter().map(|v| v.0).collect();
                wrong(&format!("one of {}", names.join(", ")))
            })?;
            key(number, 0, out);
            varint(i64::from(n) as u64, out);
        }
        Type::Message(name) => {
            let message =
                message(name).ok_or_else(|| Refused::at(path, format!("{name} is not read here")))?;
            let mut inner = Vec::new();
            fields(message, told, path, &mut inner, notes)?;
            bytes(number, &inner, out);
        }
        Type::Wrapped(of) => {
            let mut inner = Vec::new();
            put(&Field { number: 1, ..field.clone() }, of, told, path, &mut inner, notes)?;
            bytes(number, &inner, out);
        }
        Type::Duration => {
            let (seconds, nanos) = duration(text()?).ok_or_else(|| wrong("seconds as in \"0.250s\""))?;
            let mut inner = Vec::new();
            key(1, 0, &mut inner);
            varint(seconds, &mut inner);
            key(2, 0, &mut inner);
            varint(nanos, &mut inner);
            bytes(number, &inner, out);
        }
        Type::Struct => {
            let told = told.as_object().ok_or_else(|| wrong("fields"))?;
            bytes(number, &structure(told).encode_to_vec(), out);
        }
        Type::Any => {
            let url = told.get("@type").and_then(Value::as_str);
            let url = url.ok_or_else(|| Refused::at(path, "expected @type"))?;
            let name = any_name(url);
            let message =
                message(name).ok_or_else(|| Refused::at(path, format!("{name:?} is not read here")))?;
            let (mut body, mut inner) = (Vec::new(), Vec::new());
            fields(message, told, path, &mut body, notes)?;
            bytes(1, url.as_bytes(), &mut inner);
            bytes(2, &body, &mut inner);
            bytes(number, &inner, out);
        }
        Type::Map(of) => {
            let told = told.as_object().ok_or_else(|| wrong("fields"))?;
            for (name, value) in told {
                let mut entry = Vec::new();
                bytes(1, name.as_bytes(), &mut entry);
                let field = Field { number: 2, ..field.clone() };
                put(&field, of, value, &path.below(name, None), &mut entry, notes)?;
                bytes(number, &entry, out);
            }
        }
    }
    Ok(())
}

/// Whole numbers may stand as texts, and with a fraction of nought.
fn whole(told: &Value) -> Option<i128> {
    match told {
        Value::Number(n) => {
            let float = || n.as_f64().filter(|f| f.fract() == 0.0 && f.abs() < 1e18).map(|f| f as i128);
            n.as_i64().map(i128::from).or_else(|| n.as_u64().map(i128::from)).or_else(float)
        }
        Value::String(text) => text.parse().ok(),
        _ => None,
    }
}

/// Seconds and the nanoseconds beyond them.
fn duration(text: &str) -> Option<(u64, u64)> {
    let text = text.strip_suffix('s')?;
    let (seconds, part) = text.split_once('.').unwrap_or((text, ""));
    let digits = |t: &str| t.bytes().all(|b| b.is_ascii_digit());
    if part.len() > 9 || !digits(part) || !digits(seconds) {
        return None;
    }
    let nanos = format!("{part:0<9}").parse().ok()?;
    Some((seconds.parse().ok().filter(|s| *s <= 315_576_000_000)?, nanos))
}

pub(crate) fn structure(told: &Map<String, Value>) -> Struct {
    let fields: HashMap<String, ProtoValue> = told.iter().map(|(n, v)| (n.clone(), loose(v))).collect();
    Struct { fields }
}

fn loose(told: &Value) -> ProtoValue {
    let kind = match told {
        Value::Null => Kind::NullValue(0),
        Value::Bool(b) => Kind::BoolValue(*b),
        Value::Number(n) => Kind::NumberValue(n.as_f64().unwrap_or_default()),
        Value::String(t) => Kind::StringValue(t.clone()),
        Value::Array(list) => Kind::ListValue(ListValue { values: list.iter().map(loose).collect() }),
        Value::Object(fields) => Kind::StructValue(structure(fields)),
    };
    ProtoValue { kind: Some(kind) }
}

fn shown_loose(value: &ProtoValue) -> Value {
    match &value.kind {
        None | Some(Kind::NullValue(_)) => Value::Null,
        Some(Kind::BoolValue(b)) => json!(b),
        Some(Kind::NumberValue(n)) => json!(n),
        Some(Kind::StringValue(t)) => json!(t),
        Some(Kind::ListValue(l)) => l.values.iter().map(shown_loose).collect(),
        Some(Kind::StructValue(s)) => shown_structure(s),
    }
}

fn shown_structure(s: &Struct) -> Value {
    s.fields.iter().map(|(n, v)| (n.clone(), shown_loose(v))).collect::<Map<_, _>>().into()
}

/// An encoded message of this full name as JSON: the fields that are obeyed.
pub fn show(name: &str, encoded: &[u8]) -> Value {
    let Some(message) = message(name) else { return Value::Null };
    let mut shown = Map::new();
    let mut left = encoded;
    while !left.is_empty() {
        let Ok((number, raw)) = take(&mut left) else { break };
        let Some(field) = message.number(number).filter(|f| f.rule == Rule::Obeyed) else { continue };
        let Some(kind) = &field.kind else { continue };
        match kind {
            Type::Map(of) => {
                if let Some((name, value)) = entry(of, raw) {
                    shown.entry(field.name).or_insert_with(|| json!({}))[name] = value;
                }
            }
            _ if field.repeated => {
                let list = shown.entry(field.name).or_insert_with(|| json!([]));
                if let Value::Array(list) = list {
                    list.push(shown_value(kind, raw));
                }
            }
            _ => drop(shown.insert(field.name.into(), shown_value(kind, raw))),
        }
    }
    shown.into()
}

fn entry(of: &Type, raw: Raw<'_>) -> Option<(String, Value)> {
    let Raw::Bytes(mut left) = raw else { return None };
    let (mut name, mut value) = (String::new(), Value::Null);
    while let Ok((number, raw)) = take(&mut left) {
        match (number, raw) {
            (1, Raw::Bytes(text)) => name = String::from_utf8_lossy(text).into_owned(),
            (2, raw) => value = shown_value(of, raw),
            _ => {}
        }
    }
    Some((name, value))
}

fn shown_value(kind: &Type, raw: Raw<'_>) -> Value {
    match (kind, raw) {
        (Type::Bool, Raw::Varint(n)) => json!(n != 0),
        (Type::Whole(0, _), Raw::Varint(n)) => json!(n),
        (Type::Whole(..), Raw::Varint(n)) => json!(n as i64),
        (Type::Double, Raw::Fixed64(n)) => json!(f64::from_bits(n)),
        (Type::Enum(values), Raw::Varint(n)) => {
            values.iter().find(|v| i64::from(v.1) == n as i64).map_or(json!(n), |v| json!(v.0))
        }
        (Type::Text, Raw::Bytes(b)) => json!(String::from_utf8_lossy(b)),
        (Type::Bytes, Raw::Bytes(b)) => json!(STANDARD.encode(b)),
        (Type::Message(name), Raw::Bytes(b)) => show(name, b),
        (Type::Wrapped(of), Raw::Bytes(mut b)) => match take(&mut b) {
            Ok((_, raw)) => shown_value(of, raw),
            Err(_) => match **of {
                Type::Bool => json!(false),
                Type::Text => json!(""),
                _ => json!(0),
            },
        },
        (Type::Duration, Raw::Bytes(mut b)) => {
            let mut parts = [0, 0];
            while let Ok((n @ 1..=2, Raw::Varint(value))) = take(&mut b) {
                parts[n as usize - 1] = value;
            }
            json!(format!("{}s", parts[0] as f64 + parts[1] as f64 / 1e9))
        }
        (Type::Struct, Raw::Bytes(b)) => Struct::decode(b).map_or(Value::Null, |s| shown_structure(&s)),
        (Type::Any, Raw::Bytes(b)) => {
            let Ok((url, body)) = any(b) else { return Value::Null };
            let mut shown = show(any_name(url), body);
            if let Value::Object(fields) = &mut shown {
                fields.insert("@type".into(), json!(url));
            }
            shown
        }
        _ => Value::Null,
    }
}
