//! Validation of the settings of a config version.
//!
//! Unknown fields are rejected with their path. If they were ignored, an operator would believe that they are in force.

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

/// One hour in nanoseconds, the upper bound of durations: no request stays open for longer.
const HOUR_NS: u64 = 3_600_000_000_000;

/// The settings that may change while requests are in progress.
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
    // The program that the supervisor runs; a proxy cannot replace its own program.
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

/// Validates the fields of a config version.
pub fn check(settings: &Map<String, Value>) -> Result<(), FieldError> {
    check_fields("", settings, SETTINGS)
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn check_fields(
    path: &str,
    object: &Map<String, Value>,
    known: &[(&str, FieldType)],
) -> Result<(), FieldError> {
    for (name, value) in object {
        let path = join_path(path, name);
        let Some((_, field_type)) = known.iter().find(|(n, _)| n == name) else {
            let known_names: Vec<&str> = known.iter().map(|(n, _)| *n).collect();
            return Err(FieldError::at(
                path,
                format!("one of {}; other settings change only with a restart", known_names.join(", ")),
            ));
        };
        check_field(&path, value, field_type)?;
    }
    Ok(())
}

fn check_field(path: &str, value: &Value, field_type: &FieldType) -> Result<(), FieldError> {
    let ensure = |is_valid: bool, expected: String| {
        if is_valid {
            Ok(())
        } else {
            Err(FieldError::at(path, expected))
        }
    };
    match field_type {
        FieldType::Integer(min, max) => {
            let is_within = value.as_u64().is_some_and(|n| (*min..=*max).contains(&n));
            ensure(is_within, format!("a whole number from {min} to {max}"))
        }
        FieldType::Number(min, max) => {
            let is_within = value.as_f64().is_some_and(|n| (*min..=*max).contains(&n));
            ensure(is_within, format!("a number from {min} to {max}"))
        }
        FieldType::Boolean => ensure(value.is_boolean(), "true or false".into()),
        FieldType::OneOf(words) => {
            ensure(value.as_str().is_some_and(|w| words.contains(&w)), format!("one of {}", words.join(", ")))
        }
        FieldType::Digest => ensure(
            value.as_str().is_some_and(|d| d.parse::<Digest>().is_ok_and(|read| read.to_string() == d)),
            "32 hex digits in lower case".into(),
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
                "a non-empty list of distinct whole numbers".into(),
            )
        }
        FieldType::Object(known) => match value.as_object() {
            Some(object) => check_fields(path, object, known),
            None => ensure(false, "an object".into()),
        },
        FieldType::NamedObjects(known) => check_named_objects(path, value, known),
    }
}

fn check_named_objects(path: &str, value: &Value, known: &[(&str, FieldType)]) -> Result<(), FieldError> {
    let Some(list) = value.as_array() else { return Err(FieldError::at(path, "a list of objects")) };
    let mut seen = BTreeSet::new();
    for (i, element) in list.iter().enumerate() {
        let path = format!("{path}[{i}]");
        let object = element.as_object().ok_or_else(|| FieldError::at(&path, "an object"))?;
        check_fields(&path, object, known)?;
        let name =
            element["name"].as_str().ok_or_else(|| FieldError::at(join_path(&path, "name"), "a name"))?;
        if !seen.insert(name) {
            return Err(FieldError::at(
                join_path(&path, "name"),
                format!("unique names; {name:?} occurs twice"),
            ));
        }
        let duration = |name: &str| element[name].as_u64();
        if let (Some(promise_ns), Some(deadline_ns)) = (duration("promise_ns"), duration("deadline_ns")) {
            if promise_ns > deadline_ns {
                return Err(FieldError::at(join_path(&path, "promise_ns"), "at most deadline_ns"));
            }
        }
    }
    Ok(())
}
