//! String matchers (`envoy/type/matcher/v3/string.proto`) and the header and query parameter matchers built on them.

use crate::Head;
use regex::Regex;
use std::borrow::Cow;

/// The pattern of a string matcher.
#[derive(Clone, Debug)]
pub enum Text {
    /// Equals this string.
    Exact(String),
    /// Starts with this string.
    Prefix(String),
    /// Ends with this string.
    Suffix(String),
    /// Contains this string.
    Contains(String),
    /// The whole string matches the expression.
    Regex(Regex),
}

/// A string matcher (`StringMatcher`).
#[derive(Clone, Debug)]
pub struct TextMatch {
    pattern: Text,
    /// Does not apply to regular expressions, which set case sensitivity in the expression itself.
    ignore_case: bool,
}

/// Maximum size of a compiled regular expression, in bytes.
const MAX_COMPILED_REGEX_BYTES: usize = 1 << 20;

/// Compiles a regular expression that must match a whole string. The size of the compiled expression is bounded.
///
/// # Errors
/// Returns the last line of the error message of the `regex` crate if the expression is invalid or too large.
pub fn compile_full_match(expression: &str) -> Result<Regex, String> {
    let anchored = format!("^(?:{expression})$");
    let compiled = regex::RegexBuilder::new(&anchored).size_limit(MAX_COMPILED_REGEX_BYTES).build();
    compiled.map_err(|error| error.to_string().lines().last().unwrap_or_default().trim().to_owned())
}

impl TextMatch {
    /// Creates a matcher; with `ignore_case` the case of ASCII letters is ignored.
    pub fn new(pattern: Text, ignore_case: bool) -> Self {
        let normalize = |text: String| if ignore_case { text.to_ascii_lowercase() } else { text };
        let pattern = match pattern {
            Text::Exact(exact) => Text::Exact(normalize(exact)),
            Text::Prefix(prefix) => Text::Prefix(normalize(prefix)),
            Text::Suffix(suffix) => Text::Suffix(normalize(suffix)),
            Text::Contains(part) => Text::Contains(normalize(part)),
            Text::Regex(regex) => Text::Regex(regex),
        };
        TextMatch { pattern, ignore_case }
    }

    /// Returns `true` if `text` matches.
    pub fn matches(&self, text: &str) -> bool {
        let normalized = match (&self.pattern, self.ignore_case) {
            (Text::Regex(regex), _) => return regex.is_match(text),
            (_, true) => Cow::Owned(text.to_ascii_lowercase()),
            (_, false) => Cow::Borrowed(text),
        };
        match &self.pattern {
            Text::Exact(exact) => *normalized == *exact,
            Text::Prefix(prefix) => normalized.starts_with(prefix.as_str()),
            Text::Suffix(suffix) => normalized.ends_with(suffix.as_str()),
            Text::Contains(part) => normalized.contains(part.as_str()),
            Text::Regex(_) => false,
        }
    }
}

/// The condition of a header matcher.
#[derive(Clone, Debug)]
pub enum HeaderIs {
    /// The header is present (`true`) or absent (`false`).
    Present(bool),
    /// The value is an integer in the half-open range from the first to the second number.
    Range(i64, i64),
    /// The value matches a string matcher.
    Text(TextMatch),
}

/// A header matcher (`HeaderMatcher`).
#[derive(Clone, Debug)]
pub struct HeaderMatch {
    /// Header name in lower case; `:method`, `:path` and `:authority` name the pseudo-headers.
    pub name: String,
    /// The condition on the header.
    pub is: HeaderIs,
    /// Negates the condition (`invert_match`); an absent header then matches any condition on the value.
    pub invert: bool,
    /// Treats an absent header as an empty value (`treat_missing_header_as_empty`).
    pub missing_is_empty: bool,
}

impl HeaderMatch {
    /// Returns `true` if the request matches.
    pub fn matches(&self, head: &dyn Head) -> bool {
        let value = header_value(head, &self.name);
        let value = match value {
            None if self.missing_is_empty && !matches!(self.is, HeaderIs::Present(_)) => {
                Some(Cow::Borrowed(""))
            }
            value => value,
        };
        let is_met = match (&self.is, &value) {
            (HeaderIs::Present(expected), value) => value.is_some() == *expected,
            (_, None) => return self.invert,
            (HeaderIs::Range(start, end), Some(value)) => {
                value.parse::<i64>().is_ok_and(|number| (*start..*end).contains(&number))
            }
            (HeaderIs::Text(matcher), Some(value)) => matcher.matches(value),
        };
        is_met != self.invert
    }
}

/// Returns all values of a header joined by commas, or `None` if it is absent.
fn header_value<'a>(head: &'a dyn Head, name: &'a str) -> Option<Cow<'a, str>> {
    match name {
        ":method" => return Some(Cow::Borrowed(head.method())),
        ":authority" => return Some(Cow::Borrowed(head.authority())),
        ":path" if head.query().is_empty() => return Some(Cow::Borrowed(head.path())),
        ":path" => return Some(Cow::Owned(format!("{}?{}", head.path(), head.query()))),
        _ => {}
    }
    let mut values = head.header(name);
    let first = values.next()?;
    match values.next() {
        None => Some(Cow::Borrowed(first)),
        Some(second) => {
            let rest = values.fold(format!("{first},{second}"), |joined, value| joined + "," + value);
            Some(Cow::Owned(rest))
        }
    }
}

/// A query parameter matcher (`QueryParameterMatcher`).
#[derive(Clone, Debug)]
pub struct QueryMatch {
    /// Name of the parameter.
    pub name: String,
    /// Condition on the first value; `None`: the parameter must be present.
    pub is: Option<TextMatch>,
}

impl QueryMatch {
    /// Returns `true` if the request matches. Values are compared without percent-decoding, as in Envoy.
    pub fn matches(&self, head: &dyn Head) -> bool {
        let pairs = head.query().split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let mut matching_pairs = pairs.filter(|(name, _)| *name == self.name);
        match (matching_pairs.next(), &self.is) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some((_, value)), Some(matcher)) => matcher.matches(value),
        }
    }
}
