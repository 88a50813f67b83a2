//! Envoy's configuration as YAML or JSON: converts ProtoJSON to encoded messages, with the same rule for every field as
//! [`crate::wire`], and encoded messages back to JSON for display.
//!
//! Source: the protobuf documentation, "ProtoJSON Format".

use crate::fields::{message, Field, Message, Rule, Type};
use crate::wire::{any_name, read_field, refused_field, split_any, Notes, Path, Raw, Refused, DEPTH};
use base64::engine::general_purpose::{STANDARD, URL_SAFE};
use base64::Engine as _;
use envoy_types::pb::google::protobuf::{value::Kind, ListValue, Struct, Value as ProtoValue};
use prost::Message as _;
use serde_json::{json, Map, Value};
use std::collections::HashMap;

/// Parses YAML, which includes JSON.
///
/// # Errors
/// Returns the first line of the parser's message if the text is not valid YAML.
pub fn parse(text: &str) -> Result<Value, Refused> {
    // Danger: otherwise a domain named `y` or `no` would be parsed as a boolean.
    let options = serde_saphyr::options! { strict_booleans: true };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| {
        let input = e.to_string();
        Refused::at("(file)", input.lines().next().unwrap_or_default().to_owned())
    })
}

/// Encodes a message, given by full name. `root` is the prefix of all field paths; it may be empty.
///
/// # Errors
/// Returns the first field that is refused or unknown, or whose value is invalid.
pub fn encode(name: &str, input: &Value, root: &str, notes: &mut Notes) -> Result<Vec<u8>, Refused> {
    let path = Path::root(root);
    let message = message(name).ok_or_else(|| Refused::at(path, format!("{name} is not read here")))?;
    let mut out = Vec::new();
    encode_fields(message, input, &path, &mut out, notes)?;
    Ok(out)
}

fn encode_fields(
    message: &Message,
    input: &Value,
    path: &Path<'_>,
    out: &mut Vec<u8>,
    notes: &mut Notes,
) -> Result<(), Refused> {
    if path.depth() > DEPTH {
        return Err(Refused::at(path, "messages stand too deep in one another"));
    }
    let input = input.as_object().ok_or_else(|| Refused::at(path, "expected fields"))?;
    if is_skippable_filter(message, input) {
        notes.ignore(path, "an optional or disabled filter that is not known here");
        // Encode only `is_optional`, which marks the filter as one to skip.
        write_key(message.named("is_optional").map_or(0, |f| f.number), 0, out);
        out.push(1);
        return Ok(());
    }
    for (name, value) in input.iter().filter(|(n, v)| *n != "@type" && !v.is_null()) {
        let Some(field) = message.named(name) else {
            return Err(Refused::at(path.below(name, None), format!("no field of {}", message.name)));
        };
        match field.rule {
            Rule::Ignored => {
                notes.ignore(&path.below(field.name, None), field.why);
                continue;
            }
            Rule::Refused => {
                let is_default = matches!(value, Value::Bool(false))
                    || value.as_f64() == Some(0.0)
                    || value.as_str() == Some("")
                    || value.as_array().is_some_and(Vec::is_empty);
                if is_default {
                    continue;
                }
                return Err(refused_field(field, &path.below(field.name, None)));
            }
            Rule::Obeyed => {}
        }
        let Some(kind) = &field.kind else { continue };
        if field.repeated {
            let list = value.as_array();
            let list = list.ok_or_else(|| Refused::at(path.below(field.name, None), "expected a list"))?;
            for (i, one) in list.iter().enumerate() {
                encode_value(field, kind, one, &path.below(field.name, Some(i)), out, notes)?;
            }
        } else {
            encode_value(field, kind, value, &path.below(field.name, None), out, notes)?;
        }
    }
    Ok(())
}

fn is_skippable_filter(message: &Message, input: &Map<String, Value>) -> bool {
    let names = ["is_optional", "isOptional", "disabled"];
    let skippable = names.iter().any(|n| input.get(*n) == Some(&Value::Bool(true)));
    let config = input.get("typed_config").or(input.get("typedConfig"));
    let url = config.and_then(|c| c.get("@type")).and_then(Value::as_str).unwrap_or_default();
    message.name.ends_with(".HttpFilter") && skippable && crate::fields::message(any_name(url)).is_none()
}

fn write_key(number: u32, wire: u32, out: &mut Vec<u8>) {
    write_varint(u64::from(number << 3 | wire), out);
}

fn write_varint(mut n: u64, out: &mut Vec<u8>) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn write_bytes(number: u32, body: &[u8], out: &mut Vec<u8>) {
    write_key(number, 2, out);
    write_varint(body.len() as u64, out);
    out.extend_from_slice(body);
}

fn encode_value(
    field: &Field,
    kind: &Type,
    input: &Value,
    path: &Path<'_>,
    out: &mut Vec<u8>,
    notes: &mut Notes,
) -> Result<(), Refused> {
    let number = field.number;
    let invalid = |expected: &str| Refused::at(path, format!("expected {expected}, got {input}"));
    let string = || input.as_str().ok_or_else(|| invalid("a text"));
    match kind {
        Type::Bool => {
            write_key(number, 0, out);
            write_varint(u64::from(input.as_bool().ok_or_else(|| invalid("true or false"))?), out);
        }
        Type::Whole(min, max) => {
            let n = parse_integer(input).filter(|n| (min..=max).contains(&n));
            let n = n.ok_or_else(|| invalid(&format!("a whole number from {min} to {max}")))?;
            write_key(number, 0, out);
            write_varint(n as u64, out);
        }
        Type::Double => {
            let n =
                input.as_f64().or_else(|| input.as_str()?.parse().ok()).ok_or_else(|| invalid("a number"))?;
            write_key(number, 1, out);
            out.extend_from_slice(&n.to_le_bytes());
        }
        Type::Text => write_bytes(number, string()?.as_bytes(), out),
        Type::Bytes => {
            let decoded =
                STANDARD.decode(string()?).or_else(|_| URL_SAFE.decode(string().unwrap_or_default()));
            write_bytes(number, &decoded.map_err(|_| invalid("base64"))?, out);
        }
        Type::Enum(values) => {
            let named = input.as_str().and_then(|t| values.iter().find(|v| v.0 == t)).map(|v| v.1);
            let n = named.or_else(|| parse_integer(input).and_then(|n| i32::try_from(n).ok()));
            let n = n.ok_or_else(|| {
                let names: Vec<&str> = values.iter().map(|v| v.0).collect();
                invalid(&format!("one of {}", names.join(", ")))
            })?;
            write_key(number, 0, out);
            write_varint(i64::from(n) as u64, out);
        }
        Type::Message(name) => {
            let message =
                message(name).ok_or_else(|| Refused::at(path, format!("{name} is not read here")))?;
            let mut inner = Vec::new();
            encode_fields(message, input, path, &mut inner, notes)?;
            write_bytes(number, &inner, out);
        }
        Type::Wrapped(of) => {
            let mut inner = Vec::new();
            encode_value(&Field { number: 1, ..field.clone() }, of, input, path, &mut inner, notes)?;
            write_bytes(number, &inner, out);
        }
        Type::Duration => {
            let (seconds, nanos) =
                parse_duration(string()?).ok_or_else(|| invalid("seconds as in \"0.250s\""))?;
            let mut inner = Vec::new();
            write_key(1, 0, &mut inner);
            write_varint(seconds, &mut inner);
            write_key(2, 0, &mut inner);
            write_varint(nanos, &mut inner);
            write_bytes(number, &inner, out);
        }
        Type::Struct => {
            let input = input.as_object().ok_or_else(|| invalid("fields"))?;
            write_bytes(number, &to_struct(input).encode_to_vec(), out);
        }
        Type::Any => {
            let url = input.get("@type").and_then(Value::as_str);
            let url = url.ok_or_else(|| Refused::at(path, "expected @type"))?;
            let name = any_name(url);
            let message =
                message(name).ok_or_else(|| Refused::at(path, format!("{name:?} is not read here")))?;
            let (mut body, mut inner) = (Vec::new(), Vec::new());
            encode_fields(message, input, path, &mut body, notes)?;
            write_bytes(1, url.as_bytes(), &mut inner);
            write_bytes(2, &body, &mut inner);
            write_bytes(number, &inner, out);
        }
        Type::Map(of) => {
            let input = input.as_object().ok_or_else(|| invalid("fields"))?;
            for (name, value) in input {
                let mut entry = Vec::new();
                write_bytes(1, name.as_bytes(), &mut entry);
                let field = Field { number: 2, ..field.clone() };
                encode_value(&field, of, value, &path.below(name, None), &mut entry, notes)?;
                write_bytes(number, &entry, out);
            }
        }
    }
    Ok(())
}

/// Parses an integer. ProtoJSON also allows integers as strings and with a zero fraction.
fn parse_integer(input: &Value) -> Option<i128> {
    match input {
        Value::Number(n) => {
            let float = || n.as_f64().filter(|f| f.fract() == 0.0 && f.abs() < 1e18).map(|f| f as i128);
            n.as_i64().map(i128::from).or_else(|| n.as_u64().map(i128::from)).or_else(float)
        }
        Value::String(text) => text.parse().ok(),
        _ => None,
    }
}

/// Parses a ProtoJSON duration into seconds and nanoseconds.
fn parse_duration(text: &str) -> Option<(u64, u64)> {
    let text = text.strip_suffix('s')?;
    let (seconds, part) = text.split_once('.').unwrap_or((text, ""));
    let digits = |t: &str| t.bytes().all(|b| b.is_ascii_digit());
    if part.len() > 9 || !digits(part) || !digits(seconds) {
        return None;
    }
    let nanos = format!("{part:0<9}").parse().ok()?;
    Some((seconds.parse().ok().filter(|s| *s <= 315_576_000_000)?, nanos))
}

pub(crate) fn to_struct(input: &Map<String, Value>) -> Struct {
    let fields: HashMap<String, ProtoValue> =
        input.iter().map(|(n, v)| (n.clone(), to_proto_value(v))).collect();
    Struct { fields }
}

fn to_proto_value(input: &Value) -> ProtoValue {
    let kind = match input {
        Value::Null => Kind::NullValue(0),
        Value::Bool(b) => Kind::BoolValue(*b),
        Value::Number(n) => Kind::NumberValue(n.as_f64().unwrap_or_default()),
        Value::String(t) => Kind::StringValue(t.clone()),
        Value::Array(list) => {
            Kind::ListValue(ListValue { values: list.iter().map(to_proto_value).collect() })
        }
        Value::Object(fields) => Kind::StructValue(to_struct(fields)),
    };
    ProtoValue { kind: Some(kind) }
}

fn proto_value_to_json(value: &ProtoValue) -> Value {
    match &value.kind {
        None | Some(Kind::NullValue(_)) => Value::Null,
        Some(Kind::BoolValue(b)) => json!(b),
        Some(Kind::NumberValue(n)) => json!(n),
        Some(Kind::StringValue(t)) => json!(t),
        Some(Kind::ListValue(l)) => l.values.iter().map(proto_value_to_json).collect(),
        Some(Kind::StructValue(s)) => struct_to_json(s),
    }
}

fn struct_to_json(s: &Struct) -> Value {
    s.fields.iter().map(|(n, v)| (n.clone(), proto_value_to_json(v))).collect::<Map<_, _>>().into()
}

/// Converts an encoded message, given by full name, to JSON; includes only the obeyed fields.
pub fn show(name: &str, encoded: &[u8]) -> Value {
    let Some(message) = message(name) else { return Value::Null };
    let mut shown = Map::new();
    let mut left = encoded;
    while !left.is_empty() {
        let Ok((number, raw)) = read_field(&mut left) else { break };
        let Some(field) = message.number(number).filter(|f| f.rule == Rule::Obeyed) else { continue };
        let Some(kind) = &field.kind else { continue };
        match kind {
            Type::Map(of) => {
                if let Some((name, value)) = map_entry_to_json(of, raw) {
                    shown.entry(field.name).or_insert_with(|| json!({}))[name] = value;
                }
            }
            _ if field.repeated => {
                let list = shown.entry(field.name).or_insert_with(|| json!([]));
                if let Value::Array(list) = list {
                    list.push(value_to_json(kind, raw));
                }
            }
            _ => drop(shown.insert(field.name.into(), value_to_json(kind, raw))),
        }
    }
    shown.into()
}

fn map_entry_to_json(of: &Type, raw: Raw<'_>) -> Option<(String, Value)> {
    let Raw::Bytes(mut left) = raw else { return None };
    let (mut name, mut value) = (String::new(), Value::Null);
    while let Ok((number, raw)) = read_field(&mut left) {
        match (number, raw) {
            (1, Raw::Bytes(text)) => name = String::from_utf8_lossy(text).into_owned(),
            (2, raw) => value = value_to_json(of, raw),
            _ => {}
        }
    }
    Some((name, value))
}

fn value_to_json(kind: &Type, raw: Raw<'_>) -> Value {
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
        (Type::Wrapped(of), Raw::Bytes(mut b)) => match read_field(&mut b) {
            Ok((_, raw)) => value_to_json(of, raw),
            Err(_) => match **of {
                Type::Bool => json!(false),
                Type::Text => json!(""),
                _ => json!(0),
            },
        },
        (Type::Duration, Raw::Bytes(mut b)) => {
            let mut parts = [0, 0];
            while let Ok((n @ 1..=2, Raw::Varint(value))) = read_field(&mut b) {
                parts[n as usize - 1] = value;
            }
            json!(format!("{}s", parts[0] as f64 + parts[1] as f64 / 1e9))
        }
        (Type::Struct, Raw::Bytes(b)) => Struct::decode(b).map_or(Value::Null, |s| struct_to_json(&s)),
        (Type::Any, Raw::Bytes(b)) => {
            let Ok((url, body)) = split_any(b) else { return Value::Null };
            let mut shown = show(any_name(url), body);
            if let Value::Object(fields) = &mut shown {
                fields.insert("@type".into(), json!(url));
            }
            shown
        }
        _ => Value::Null,
    }
}
