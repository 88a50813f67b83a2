//! The messages that are read, and what becomes of each of their fields: the tables in `fields/`, which the page for
//! operators is made from.
//!
//! A table, and not a descriptor set with a reflection library: it holds the decision on every field beside its number and
//! type, so none can be forgotten, and it costs 40 KB in the program where descriptors cost 3 MB.

use std::collections::HashMap;
use std::sync::LazyLock;

/// What becomes of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// It is done as it says.
    Obeyed,
    /// It may stand there and changes nothing.
    Ignored,
    /// What holds it is refused whole.
    Refused,
}

/// A field's type.
#[derive(Clone, Debug, PartialEq)]
pub enum Type {
    /// `bool`.
    Bool,
    /// `int32`, `int64`, `uint32`, `uint64`: the least and the most that it holds.
    Whole(i128, i128),
    /// `double`.
    Double,
    /// `string`.
    Text,
    /// `bytes`.
    Bytes,
    /// An enum: names and numbers.
    Enum(Vec<(&'static str, i32)>),
    /// A message of the tables.
    Message(&'static str),
    /// `google.protobuf.BoolValue` and its like.
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
    /// Its number on the wire.
    pub number: u32,
    /// Its name.
    pub name: &'static str,
    /// The same in lower camel case.
    pub camel: String,
    /// What becomes of it.
    pub rule: Rule,
    /// Its type, where it is obeyed, or refused but for its default.
    pub kind: Option<Type>,
    /// There may be several.
    pub repeated: bool,
    /// Why it is not obeyed; may be empty.
    pub why: &'static str,
}

/// A message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its full name.
    pub name: &'static str,
    /// Its fields by number.
    pub fields: Vec<Field>,
}

impl Message {
    /// A field by its number.
    pub fn number(&self, number: u32) -> Option<&Field> {
        self.fields.binary_search_by_key(&number, |f| f.number).ok().map(|i| &self.fields[i])
    }

    /// A field by its name, as it stands in the published files or in lower camel case.
    pub fn named(&self, name: &str) -> Option<&Field> {
        self.fields.iter().find(|f| f.name == name || f.camel == name)
    }
}

static TEXTS: [&str; 4] = [
    include_str!("fields/bootstrap.txt"),
    include_str!("fields/cluster.txt"),
    include_str!("fields/endpoint.txt"),
    include_str!("fields/route.txt"),
];

static MESSAGES: LazyLock<HashMap<&'static str, Message>> = LazyLock::new(|| {
    let mut messages = HashMap::new();
    for text in TEXTS {
        let lines = text.lines().filter(|l| !l.starts_with('#')).collect::<Vec<_>>();
        for block in lines.split(|l| l.is_empty()).filter(|b| !b.is_empty()) {
            let mut fields: Vec<Field> = block[1..].iter().filter_map(|l| field(l)).collect();
            fields.sort_by_key(|f| f.number);
            messages.insert(block[0], Message { name: block[0], fields });
        }
    }
    messages
});

/// The message of this full name, if it is one that is read.
pub fn message(name: &str) -> Option<&'static Message> {
    MESSAGES.get(name)
}

/// All messages, in the order of their names.
pub fn all() -> Vec<&'static Message> {
    let mut all: Vec<_> = MESSAGES.values().collect();
    all.sort_by_key(|m| m.name);
    all
}

fn field(line: &'static str) -> Option<Field> {
    let (told, why) = line.split_once(" : ").unwrap_or((line, ""));
    let mut words = told.splitn(4, ' ');
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
    Some(Field { number, name, camel: camel(name), rule, kind: kind.map(of), repeated, why })
}

fn camel(name: &str) -> String {
    let mut words = name.split('_');
    let first = words.next().unwrap_or_default().to_owned();
    words.fold(first, |all, word| {
        let (head, tail) = word.split_at(word.len().min(1));
        all + &head.to_ascii_uppercase() + tail
    })
}

fn of(name: &'static str) -> Type {
    let unsigned = |bits: u32| Type::Whole(0, (1i128 << bits) - 1);
    let signed = |bits: u32| Type::Whole(-(1i128 << (bits - 1)), (1i128 << (bits - 1)) - 1);
    if let Some(values) = name.strip_prefix("enum(").and_then(|v| v.strip_suffix(')')) {
        let value = |v: &'static str| v.split_once('=').and_then(|(n, v)| Some((n, v.parse().ok()?)));
        return Type::Enum(values.split(',').filter_map(value).collect());
    }
    if let Some(inner) = name.strip_prefix("map<").and_then(|v| v.strip_suffix('>')) {
        return Type::Map(Box::new(of(inner)));
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

/// The table for operators, as Markdown: every message, every field, what becomes of it and why.
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
