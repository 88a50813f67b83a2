//! Checks an encoded message field by field and rejects what must be obeyed but is not supported. This happens before the
//! message is decoded into its typed form, because that silently drops unknown fields.

use crate::fields::{message, Field, Message, Rule, Type};
use std::fmt;

/// Maximum nesting of messages. Danger: each level is a stack frame.
pub const DEPTH: usize = 48;
/// Maximum number of ignored fields listed by path; all are counted.
const MAX_LISTED: usize = 1000;

/// Why a configuration is rejected. No part of the resource is used; it has to be corrected at its source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}{}{reason}", if path.is_empty() { "" } else { ": " })]
pub struct Refused {
    /// The field's path, as in `endpoints[0].lb_endpoints[2].health_status`.
    pub path: String,
    /// The reason.
    pub reason: String,
}

impl Refused {
    /// Creates an error at this path.
    pub fn at(path: impl fmt::Display, why: impl Into<String>) -> Self {
        Refused { path: path.to_string(), reason: why.into() }
    }

    /// Prefixes the path with a parent path.
    pub fn below(self, path: impl fmt::Display) -> Self {
        let path = match self.path.is_empty() {
            true => path.to_string(),
            false => format!("{path}.{}", self.path),
        };
        Refused { path, ..self }
    }
}

/// The ignored fields of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notes {
    /// Paths of the first ignored fields, with the reasons.
    pub ignored: Vec<(String, &'static str)>,
    /// The number of all ignored fields.
    pub count: usize,
}

impl Notes {
    pub(crate) fn ignore(&mut self, path: &Path<'_>, why: &'static str) {
        self.count += 1;
        if self.ignored.len() < MAX_LISTED {
            self.ignored.push((path.to_string(), why));
        }
    }
}

/// A field path that is only formatted when needed.
#[derive(Clone, Copy)]
pub(crate) struct Path<'a> {
    pub parent: Option<&'a Path<'a>>,
    pub name: &'a str,
    pub index: Option<usize>,
}

impl<'a> Path<'a> {
    pub fn root(name: &'a str) -> Self {
        Path { parent: None, name, index: None }
    }

    pub fn below(&'a self, name: &'a str, index: Option<usize>) -> Self {
        Path { parent: Some(self), name, index }
    }

    pub fn depth(&self) -> usize {
        1 + self.parent.map_or(0, Path::depth)
    }
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent {
            parent.fmt(f)?;
            if !(parent.parent.is_none() && parent.name.is_empty()) {
                f.write_str(".")?;
            }
        }
        f.write_str(self.name)?;
        self.index.map_or(Ok(()), |i| write!(f, "[{i}]"))
    }
}

/// A field's value in the protobuf wire format.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Raw<'a> {
    Varint(u64),
    Fixed64(u64),
    Fixed32(u32),
    Bytes(&'a [u8]),
}

/// Reads one field, its number and value, from the start of `bytes`.
pub(crate) fn read_field<'a>(bytes: &mut &'a [u8]) -> Result<(u32, Raw<'a>), &'static str> {
    let key = varint(bytes)?;
    let number = u32::try_from(key >> 3).ok().filter(|n| *n > 0).ok_or("a field without a number")?;
    let value = match key & 7 {
        0 => Raw::Varint(varint(bytes)?),
        1 => Raw::Fixed64(u64::from_le_bytes(fixed(bytes)?)),
        2 => {
            let length = usize::try_from(varint(bytes)?).map_err(|_| "a length over all bounds")?;
            if length > bytes.len() {
                return Err("it ends in the midst of a field");
            }
            let (value, rest) = bytes.split_at(length);
            *bytes = rest;
            Raw::Bytes(value)
        }
        5 => Raw::Fixed32(u32::from_le_bytes(fixed(bytes)?)),
        _ => return Err("a field of no known form"),
    };
    Ok((number, value))
}

fn fixed<const N: usize>(bytes: &mut &[u8]) -> Result<[u8; N], &'static str> {
    let (value, rest) = bytes.split_first_chunk().ok_or("it ends in the midst of a field")?;
    *bytes = rest;
    Ok(*value)
}

fn varint(bytes: &mut &[u8]) -> Result<u64, &'static str> {
    let mut value = 0u64;
    for shift in (0..70).step_by(7) {
        let (byte, rest) = bytes.split_first().ok_or("it ends in the midst of a field")?;
        *bytes = rest;
        if shift < 64 {
            value |= u64::from(byte & 0x7f) << shift;
        }
        if byte & 0x80 == 0 {
            return Ok(value);
        }
    }
    Err("a number of more than ten bytes")
}

/// The full name of the message in an `Any`, from its type URL.
pub(crate) fn any_name(url: &str) -> &str {
    url.rsplit('/').next().unwrap_or(url)
}

/// Splits an encoded `Any` into its type URL and value.
pub(crate) fn split_any(bytes: &[u8]) -> Result<(&str, &[u8]), &'static str> {
    let (mut url, mut value, mut left) = ("", &[][..], bytes);
    while !left.is_empty() {
        match read_field(&mut left)? {
            (1, Raw::Bytes(text)) => {
                url = std::str::from_utf8(text).map_err(|_| "a type URL that is no text")?;
            }
            (2, Raw::Bytes(body)) => value = body,
            _ => {}
        }
    }
    Ok((url, value))
}

/// Checks an encoded message, given by full name. `root` is the prefix of all field paths; it may be empty.
///
/// # Errors
/// Returns the first field that is refused, unknown or malformed.
pub fn check(name: &str, bytes: &[u8], root: &str, notes: &mut Notes) -> Result<(), Refused> {
    let path = Path::root(root);
    let message = message(name).ok_or_else(|| Refused::at(path, format!("{name} is not read here")))?;
    check_message(message, bytes, &path, notes)
}

fn check_message(message: &Message, bytes: &[u8], path: &Path<'_>, notes: &mut Notes) -> Result<(), Refused> {
    if path.depth() > DEPTH {
        return Err(Refused::at(path, "messages stand too deep in one another"));
    }
    if is_skippable_filter(message, bytes) {
        notes.ignore(path, "an optional or disabled filter that is not known here");
        return Ok(());
    }
    let mut left = bytes;
    // The last index of each repeated field so far.
    let mut counts: Vec<(u32, usize)> = Vec::new();
    while !left.is_empty() {
        let (number, raw) = read_field(&mut left).map_err(|why| Refused::at(path, why))?;
        let Some(field) = message.number(number) else {
            let why = format!("field {number} of {} is not known here", message.name);
            return Err(Refused::at(path, why));
        };
        let index = field.repeated.then(|| match counts.iter_mut().find(|(n, _)| *n == number) {
            Some((_, count)) => {
                *count += 1;
                *count
            }
            None => {
                counts.push((number, 0));
                0
            }
        });
        let path = path.below(field.name, index);
        match field.rule {
            Rule::Obeyed => {
                if let Some(kind) = &field.kind {
                    check_value(kind, raw, &path, notes)?;
                }
            }
            Rule::Ignored => notes.ignore(&path, field.why),
            Rule::Refused if is_default(field, raw) => {}
            Rule::Refused => return Err(refused_field(field, &path)),
        }
    }
    Ok(())
}

pub(crate) fn refused_field(field: &Field, path: &Path<'_>) -> Refused {
    let why = if field.why.is_empty() { "not obeyed here" } else { field.why };
    Refused::at(path, format!("refused: {why}"))
}

/// Returns whether a refused field has its default value, which is the same as its absence.
fn is_default(field: &Field, raw: Raw<'_>) -> bool {
    match (raw, &field.kind) {
        (Raw::Varint(n), _) => n == 0,
        (Raw::Fixed64(n), _) => n == 0,
        (Raw::Fixed32(n), _) => n == 0,
        (Raw::Bytes(body), Some(Type::Wrapped(_))) => {
            let mut left = body;
            body.is_empty() || matches!(read_field(&mut left), Ok((1, Raw::Varint(0))))
        }
        (Raw::Bytes(_), _) => false,
    }
}

fn check_value(kind: &Type, raw: Raw<'_>, path: &Path<'_>, notes: &mut Notes) -> Result<(), Refused> {
    let Raw::Bytes(body) = raw else { return Ok(()) };
    match kind {
        Type::Message(name) => {
            let message =
                message(name).ok_or_else(|| Refused::at(path, format!("{name} is not read here")))?;
            check_message(message, body, path, notes)
        }
        Type::Any => {
            let (url, body) = split_any(body).map_err(|why| Refused::at(path, why))?;
            let name = any_name(url);
            let message =
                message(name).ok_or_else(|| Refused::at(path, format!("{name:?} is not read here")))?;
            check_message(message, body, path, notes)
        }
        Type::Map(inner) => {
            let (mut key, mut left) = ("", body);
            let mut found = None;
            while !left.is_empty() {
                match read_field(&mut left).map_err(|why| Refused::at(path, why))? {
                    (1, Raw::Bytes(text)) => key = std::str::from_utf8(text).unwrap_or("?"),
                    (2, raw) => found = Some(raw),
                    _ => {}
                }
            }
            found.map_or(Ok(()), |raw| check_value(inner, raw, &path.below(key, None), notes))
        }
        _ => Ok(()),
    }
}

/// Whether to skip an HTTP filter of an unknown type because it is optional or disabled. Envoy skips unknown filters with
/// `is_optional` too.
fn is_skippable_filter(message: &Message, bytes: &[u8]) -> bool {
    if !message.name.ends_with(".HttpFilter") {
        return false;
    }
    let (mut left, mut optional, mut known) = (bytes, false, true);
    while let Ok((number, raw)) = read_field(&mut left) {
        match (number, raw) {
            (4, Raw::Bytes(body)) => {
                known = split_any(body).is_ok_and(|(url, _)| crate::fields::message(any_name(url)).is_some());
            }
            (6 | 7, Raw::Varint(n)) => optional |= n != 0,
            _ => {}
        }
    }
    optional && !known
}
