//! The supported messages, and whether each of their fields is obeyed, ignored or refused: the tables in `fields/`, from
//! which the documentation page for operators is generated.
//!
//! These are tables instead of a descriptor set with a reflection library: they hold the rule for every field next to its
//! number and type, so no field can be forgotten, and they take 40 KB in the binary where descriptors take 3 MB.

use std::collections::HashMap;
use std::sync::LazyLock;

/// How a field is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// It is applied.
    Obeyed,
    /// It is accepted and has no effect.
    Ignored,
    /// The whole resource that contains it is rejected, unless the field has its default value.
    Refused,
}

/// A field's type.
#[derive(Clone, Debug, PartialEq)]
pub enum Type {
    /// `bool`.
    Bool,
    /// `int32`, `int64`, `uint32`, `uint64`: the minimum and maximum value.
    Whole(i128, i128),
    /// `double`.
    Double,
    /// `string`.
    Text,
    /// `bytes`.
    Bytes,
    /// An enum: the names and numbers of its values.
    Enum(Vec<(&'static str, i32)>),
    /// A message in these tables, by full name.
    Message(&'static str),
    /// `google.protobuf.BoolValue` and the other wrapper types.
    Wrapped(Box<Type>),
    /// `google.protobuf.Duration`.
    Duration,
    /// `google.protobuf.Struct`.
    Struct,
    /// `google.protobuf.Any`.
    Any,
    /// `map<string, ...>`.
    Map(Box<Type>),
}

/// A field.
#[derive(Clone, Debug)]
pub struct Field {
    /// The field number.
    pub number: u32,
    /// Its name.
    pub name: &'static str,
    /// The name in lower camel case.
    pub camel: String,
    /// How it is handled.
    pub rule: Rule,
    /// The type, if the field is obeyed, or if its default is accepted and any other value refused.
    pub kind: Option<Type>,
    /// Whether the field is repeated.
    pub repeated: bool,
    /// Why it is not obeyed; may be empty.
    pub why: &'static str,
}

/// A message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its full name.
    pub name: &'static str,
    /// Its fields, sorted by number.
    pub fields: Vec<Field>,
}

impl Message {
    /// Finds a field by number.
    pub fn number(&self, number: u32) -> Option<&Field> {
        self.fields.binary_search_by_key(&number, |f| f.number).ok().map(|i| &self.fields[i])
    }

    /// Finds a field by its protobuf name or its lower camel case name.
    pub fn named(&self, name: &str) -> Option<&Field> {
        self.fields.iter().find(|f| f.name == name || f.camel == name)
    }
}

static TABLES: [&str; 4] = [
    include_str!("fields/bootstrap.txt"),
    include_str!("fields/cluster.txt"),
    include_str!("fields/endpoint.txt"),
    include_str!("fields/route.txt"),
];

static MESSAGES: LazyLock<HashMap<&'static str, Message>> = LazyLock::new(|| {
    let mut messages = HashMap::new();
    for text in TABLES {
        let lines = text.lines().filter(|l| !l.starts_with('#')).collect::<Vec<_>>();
        for block in lines.split(|l| l.is_empty()).filter(|b| !b.is_empty()) {
            let mut fields: Vec<Field> = block[1..].iter().filter_map(|l| parse_field(l)).collect();
            fields.sort_by_key(|f| f.number);
            messages.insert(block[0], Message { name: block[0], fields });
        }
    }
    messages
});

/// Finds a supported message by full name.
pub fn message(name: &str) -> Option<&'static Message> {
    MESSAGES.get(name)
}

/// All messages, sorted by name.
pub fn all() -> Vec<&'static Message> {
    let mut all: Vec<_> = MESSAGES.values().collect();
    all.sort_by_key(|m| m.name);
    all
}

fn parse_field(line: &'static str) -> Option<Field> {
    let (definition, why) = line.split_once(" : ").unwrap_or((line, ""));
    let mut words = definition.splitn(4, ' ');
    let rule = match words.next()? {
        "+" => Rule::Obeyed,
        "~" => Rule::Ignored,
        _ => Rule::Refused,
    };
    let (number, name) = (words.next()?.parse().ok()?, words.next()?);
    let kind = words.next();
    let (repeated, kind) = match kind.and_then(|k| k.strip_prefix("repeated ")) {
        Some(kind) => (true, Some(kind)),
        None => (false, kind),
    };
    Some(Field {
        number,
        name,
        camel: lower_camel_case(name),
        rule,
        kind: kind.map(parse_type),
        repeated,
        why,
    })
}

fn lower_camel_case(name: &str) -> String {
    let mut words = name.split('_');
    let first = words.next().unwrap_or_default().to_owned();
    words.fold(first, |all, word| {
        let (head, tail) = word.split_at(word.len().min(1));
        all + &head.to_ascii_uppercase() + tail
    })
}

fn parse_type(name: &'static str) -> Type {
    let unsigned = |bits: u32| Type::Whole(0, (1i128 << bits) - 1);
    let signed = |bits: u32| Type::Whole(-(1i128 << (bits - 1)), (1i128 << (bits - 1)) - 1);
    if let Some(values) = name.strip_prefix("enum(").and_then(|v| v.strip_suffix(')')) {
        let value = |v: &'static str| v.split_once('=').and_then(|(n, v)| Some((n, v.parse().ok()?)));
        return Type::Enum(values.split(',').filter_map(value).collect());
    }
    if let Some(inner) = name.strip_prefix("map<").and_then(|v| v.strip_suffix('>')) {
        return Type::Map(Box::new(parse_type(inner)));
    }
    match name {
        "bool" => Type::Bool,
        "uint32" => unsigned(32),
        "uint64" => unsigned(64),
        "int32" => signed(32),
        "int64" => signed(64),
        "double" => Type::Double,
        "string" => Type::Text,
        "bytes" => Type::Bytes,
        "google.protobuf.BoolValue" => Type::Wrapped(Box::new(Type::Bool)),
        "google.protobuf.UInt32Value" => Type::Wrapped(Box::new(unsigned(32))),
        "google.protobuf.UInt64Value" => Type::Wrapped(Box::new(unsigned(64))),
        "google.protobuf.Int64Value" => Type::Wrapped(Box::new(signed(64))),
        "google.protobuf.DoubleValue" => Type::Wrapped(Box::new(Type::Double)),
        "google.protobuf.StringValue" => Type::Wrapped(Box::new(Type::Text)),
        "google.protobuf.Duration" => Type::Duration,
        "google.protobuf.Struct" => Type::Struct,
        "google.protobuf.Any" => Type::Any,
        message => Type::Message(message),
    }
}

/// The tables as Markdown for operators: every field of every message, how it is handled and why.
pub fn page() -> String {
    let mut page = String::new();
    for message in all() {
        page += &format!("\n### `{}`\n\n| field | | why |\n| --- | --- | --- |\n", message.name);
        for field in &message.fields {
            let rule = match field.rule {
                Rule::Obeyed => "obeyed",
                Rule::Ignored => "ignored",
                Rule::Refused => "refused",
            };
            page += &format!("| `{}` | {rule} | {} |\n", field.name, field.why);
        }
    }
    page
}
