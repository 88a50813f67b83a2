//! Validation of the settings of a config version.
//!
//! Unknown fields are rejected with their path: if they were ignored, an operator would take them for being in force.

use crate::Digest;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// An invalid field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings{}{path}: expected {expected}", if path.is_empty() { "" } else { "." })]
pub struct FieldError {
    /// Path of the field.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

impl FieldError {
    pub(crate) fn at(path: impl Into<String>, expected: impl Into<String>) -> Self {
        FieldError { path: path.into(), expected: expected.into() }
    }
}

/// The type and bounds of a field.
enum FieldType {
    /// An integer within these bounds.
    Integer(u64, u64),
    /// A number within these bounds.
    Number(f64, f64),
    /// A boolean.
    Boolean,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// A list of distinct integers.
    IntegerList,
    /// A list of objects with these fields, among them a `name` that is unique in the list.
    NamedObjects(&'static [(&'static str, FieldType)]),
    /// An object with some of these fields.
    Object(&'static [(&'static str, FieldType)]),
    /// A name.
    Name,
    /// A content digest.
    Digest,
}

/// One hour in nanoseconds: longer than any request stays open.
const HOUR_NS: u64 = 3_600_000_000_000;

/// The settings that may change while requests are open.
const SETTINGS: &[(&str, FieldType)] = &[
    (
        "categories",
        FieldType::NamedObjects(&[
            ("name", FieldType::Name),
            ("promise_ns", FieldType::Integer(1, HOUR_NS)),
            ("deadline_ns", FieldType::Integer(1, HOUR_NS)),
            ("dedup_window_ns", FieldType::Integer(0, HOUR_NS)),
            ("late_value", FieldType::Number(0.0, 1.0)),
            ("value", FieldType::Number(0.0, 1e9)),
            ("allowed_in", FieldType::IntegerList),
            ("allowed_on", FieldType::IntegerList),
            ("effect", FieldType::OneOf(&["safe", "keyed", "unsafe"])),
            ("group", FieldType::OneOf(&["all", "zone", "cell"])),
        ]),
    ),
    (
        "customers",
        FieldType::NamedObjects(&[
            ("name", FieldType::Name),
            ("quota_rps", FieldType::Number(0.0, 1e9)),
            ("fraction", FieldType::Number(0.0, 1.0)),
        ]),
    ),
    ("over_share_worth", FieldType::Number(0.0, 1.0)),
    // The program that a supervisor runs; a proxy by itself cannot change that.
    ("program", FieldType::Digest),
    ("worth_by", FieldType::OneOf(&["request", "work"])),
    (
        "caps",
        FieldType::Object(&[
            ("attempts_cap", FieldType::Integer(1, 100)),
            ("second_copies", FieldType::Boolean),
            ("max_retry_after_ns", FieldType::Integer(0, HOUR_NS)),
        ]),
    ),
    (
        "deductions",
        FieldType::Object(&[
            ("handshake", FieldType::Number(0.0, 1e3)),
            ("cross_zone", FieldType::Number(0.0, 1e3)),
        ]),
    ),
];

pub fn check(settings: &Map<String, Value>) -> Result<(), FieldError> {
    fields("", settings, SETTINGS)
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn fields(path: &str, object: &Map<String, Value>, known: &[(&str, FieldType)]) -> Result<(), FieldError> {
    for (name, value) in object {
        let path = join_path(path, name);
        let Some((_, field_type)) = known.iter().find(|(n, _)| n == name) else {
            let all: Vec<&str> = known.iter().map(|(n, _)| *n).collect();
            return Err(FieldError::at(
                path,
                format!("one of {}; nothing else changes while it runs", all.join(", ")),
            ));
        };
        field(&path, value, field_type)?;
    }
    Ok(())
}

fn field(path: &str, value: &Value, field_type: &FieldType) -> Result<(), FieldError> {
    let ensure = |is_valid: bool, expected: String| {
        if is_valid {
            Ok(())
        } else {
            Err(FieldError::at(path, expected))
        }
    };
    match field_type {
        FieldType::Integer(from, to) => {
            let is_within = value.as_u64().is_some_and(|n| (*from..=*to).contains(&n));
            ensure(is_within, format!("a whole number from {from} to {to}"))
        }
        FieldType::Number(from, to) => {
            let is_within = value.as_f64().is_some_and(|n| (*from..=*to).contains(&n));
            ensure(is_within, format!("a number from {from} to {to}"))
        }
        FieldType::Boolean => ensure(value.is_boolean(), "true or false".into()),
        FieldType::OneOf(words) => {
            ensure(value.as_str().is_some_and(|w| words.contains(&w)), format!("one of {}", words.join(", ")))
        }
        FieldType::Digest => ensure(
            value.as_str().is_some_and(|d| d.parse::<Digest>().is_ok_and(|read| read.to_string() == d)),
            "32 hex digits, in small letters".into(),
        ),
        FieldType::Name => {
            let is_name = value.as_str().is_some_and(|n| !n.trim().is_empty() && n.len() <= 200);
            ensure(is_name, "a name".into())
        }
        FieldType::IntegerList => {
            let numbers = value.as_array().map(|l| l.iter().map(Value::as_u64).collect::<Option<Vec<u64>>>());
            let numbers = numbers.flatten().unwrap_or_default();
            let are_distinct = numbers.iter().collect::<BTreeSet<_>>().len() == numbers.len();
            let are_small = numbers.iter().all(|n| *n < 1 << 20);
            ensure(
                !numbers.is_empty() && are_distinct && are_small,
                "a list of whole numbers, one at least, each once".into(),
            )
        }
        FieldType::Object(known) => match value.as_object() {
            Some(object) => fields(path, object, known),
            None => ensure(false, "an object".into()),
        },
        FieldType::NamedObjects(known) => named_objects(path, value, known),
    }
}

fn named_objects(path: &str, value: &Value, known: &[(&str, FieldType)]) -> Result<(), FieldError> {
    let Some(list) = value.as_array() else { return Err(FieldError::at(path, "a list of objects")) };
    let mut seen = BTreeSet::new();
    for (i, one) in list.iter().enumerate() {
        let path = format!("{path}[{i}]");
        let object = one.as_object().ok_or_else(|| FieldError::at(&path, "an object"))?;
        fields(&path, object, known)?;
        let name = one["name"].as_str().ok_or_else(|| FieldError::at(join_path(&path, "name"), "a name"))?;
        if !seen.insert(name) {
            return Err(FieldError::at(
                join_path(&path, "name"),
                format!("each name once, not {name:?} again"),
            ));
        }
        let duration = |name: &str| one[name].as_u64();
        if let (Some(promise), Some(deadline)) = (duration("promise_ns"), duration("deadline_ns")) {
            if promise > deadline {
                return Err(FieldError::at(join_path(&path, "promise_ns"), "deadline_ns at most"));
            }
        }
    }
    Ok(())
}
