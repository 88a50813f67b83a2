//! What a generation may say. Anything else is refused with its path: a field that is passed over would be taken for one
//! that holds.

use crate::Digest;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// A field that can't be obeyed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings{}{path}: expected {expected}", if path.is_empty() { "" } else { "." })]
pub struct FieldError {
    /// Where.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

impl FieldError {
    pub(crate) fn at(path: impl Into<String>, expected: impl Into<String>) -> Self {
        FieldError { path: path.into(), expected: expected.into() }
    }
}

/// What a field holds.
enum Form {
    /// A whole number in these bounds.
    Whole(u64, u64),
    /// A number in these bounds.
    Number(f64, f64),
    /// Yes or no.
    Flag,
    /// One of these words.
    Word(&'static [&'static str]),
    /// A list of whole numbers, each once.
    Row,
    /// A list of objects with these fields, `name` among them, each name once.
    Named(&'static [(&'static str, Form)]),
    /// An object with some of these fields.
    Fields(&'static [(&'static str, Form)]),
    /// A name.
    Name,
    /// The name of a content.
    Digest,
}

/// An hour: longer than any request is open.
const HOUR: u64 = 3_600_000_000_000;

/// What may change while requests are open.
const SETTINGS: &[(&str, Form)] = &[
    (
        "categories",
        Form::Named(&[
            ("name", Form::Name),
            ("promise_ns", Form::Whole(1, HOUR)),
            ("deadline_ns", Form::Whole(1, HOUR)),
            ("dedup_window_ns", Form::Whole(0, HOUR)),
            ("late_value", Form::Number(0.0, 1.0)),
            ("value", Form::Number(0.0, 1e9)),
            ("allowed_in", Form::Row),
            ("allowed_on", Form::Row),
            ("effect", Form::Word(&["safe", "keyed", "unsafe"])),
            ("group", Form::Word(&["all", "zone", "cell"])),
        ]),
    ),
    (
        "customers",
        Form::Named(&[
            ("name", Form::Name),
            ("quota_rps", Form::Number(0.0, 1e9)),
            ("fraction", Form::Number(0.0, 1.0)),
        ]),
    ),
    ("over_share_worth", Form::Number(0.0, 1.0)),
    // Which program a host runs; a proxy by itself can't change that.
    ("program", Form::Digest),
    ("worth_by", Form::Word(&["request", "work"])),
    (
        "caps",
        Form::Fields(&[
            ("attempts_cap", Form::Whole(1, 100)),
            ("second_copies", Form::Flag),
            ("max_retry_after_ns", Form::Whole(0, HOUR)),
        ]),
    ),
    (
        "deductions",
        Form::Fields(&[("handshake", Form::Number(0.0, 1e3)), ("cross_zone", Form::Number(0.0, 1e3))]),
    ),
];

pub fn check(settings: &Map<String, Value>) -> Result<(), FieldError> {
    fields("", settings, SETTINGS)
}

fn below(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn fields(path: &str, told: &Map<String, Value>, known: &[(&str, Form)]) -> Result<(), FieldError> {
    for (name, value) in told {
        let path = below(path, name);
        let Some((_, form)) = known.iter().find(|(n, _)| n == name) else {
            let all: Vec<&str> = known.iter().map(|(n, _)| *n).collect();
            return Err(FieldError::at(
                path,
                format!("one of {}; nothing else changes while it runs", all.join(", ")),
            ));
        };
        field(&path, value, form)?;
    }
    Ok(())
}

fn field(path: &str, value: &Value, form: &Form) -> Result<(), FieldError> {
    let need =
        |holds: bool, expected: String| if holds { Ok(()) } else { Err(FieldError::at(path, expected)) };
    match form {
        Form::Whole(from, to) => {
            let within = value.as_u64().is_some_and(|n| (*from..=*to).contains(&n));
            need(within, format!("a whole number from {from} to {to}"))
        }
        Form::Number(from, to) => {
            let within = value.as_f64().is_some_and(|n| (*from..=*to).contains(&n));
            need(within, format!("a number from {from} to {to}"))
        }
        Form::Flag => need(value.is_boolean(), "true or false".into()),
        Form::Word(words) => {
            need(value.as_str().is_some_and(|w| words.contains(&w)), format!("one of {}", words.join(", ")))
        }
        Form::Digest => need(
            value.as_str().is_some_and(|d| d.parse::<Digest>().is_ok_and(|read| read.to_string() == d)),
            "32 hex digits, in small letters".into(),
        ),
        Form::Name => {
            let name = value.as_str().is_some_and(|n| !n.trim().is_empty() && n.len() <= 200);
            need(name, "a name".into())
        }
        Form::Row => {
            let numbers = value.as_array().map(|l| l.iter().map(Value::as_u64).collect::<Option<Vec<u64>>>());
            let numbers = numbers.flatten().unwrap_or_default();
            let once = numbers.iter().collect::<BTreeSet<_>>().len() == numbers.len();
            let small = numbers.iter().all(|n| *n < 1 << 20);
            need(
                !numbers.is_empty() && once && small,
                "a list of whole numbers, one at least, each once".into(),
            )
        }
        Form::Fields(known) => match value.as_object() {
            Some(told) => fields(path, told, known),
            None => need(false, "an object".into()),
        },
        Form::Named(known) => {
            let Some(list) = value.as_array() else { return need(false, "a list of objects".into()) };
            let mut seen = BTreeSet::new();
            for (i, one) in list.iter().enumerate() {
                let path = format!("{path}[{i}]");
                let told = one.as_object().ok_or_else(|| FieldError::at(&path, "an object"))?;
                fields(&path, told, known)?;
                let name =
                    one["name"].as_str().ok_or_else(|| FieldError::at(below(&path, "name"), "a name"))?;
                if !seen.insert(name) {
                    return Err(FieldError::at(
                        below(&path, "name"),
                        format!("each name once, not {name:?} again"),
                    ));
                }
                let span = |name: &str| one[name].as_u64();
                if let (Some(promise), Some(deadline)) = (span("promise_ns"), span("deadline_ns")) {
                    if promise > deadline {
                        return Err(FieldError::at(below(&path, "promise_ns"), "deadline_ns at most"));
                    }
                }
            }
            Ok(())
        }
    }
}
