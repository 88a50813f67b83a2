//! Matches of texts (`envoy/type/matcher/v3/string.proto`), headers and query parameters.

use crate::Head;
use regex::Regex;
use std::borrow::Cow;

/// How a text must be.
#[derive(Clone, Debug)]
pub enum Text {
    /// Equal.
    Exact(String),
    /// Begins so.
    Prefix(String),
    /// Ends so.
    Suffix(String),
    /// Holds this.
    Contains(String),
    /// The whole of it fits the expression.
    Regex(Regex),
}

/// A match of a text.
#[derive(Clone, Debug)]
pub struct TextMatch {
    text: Text,
    /// Case doesn't matter (not for expressions, which say so themselves).
    fold: bool,
}

/// Compiles an expression that must fit the whole of a text, bounded in size.
///
/// # Errors
/// What is wrong with it.
pub fn whole(expression: &str) -> Result<Regex, String> {
    let compiled = regex::RegexBuilder::new(&format!("^(?:{expression})$")).size_limit(1 << 20).build();
    compiled.map_err(|e| e.to_string().lines().last().unwrap_or_default().trim().to_owned())
}

impl TextMatch {
    /// With `fold` the case of ASCII letters doesn't matter.
    pub fn new(text: Text, fold: bool) -> Self {
        let lower = |t: String| if fold { t.to_ascii_lowercase() } else { t };
        let text = match text {
            Text::Exact(t) => Text::Exact(lower(t)),
            Text::Prefix(t) => Text::Prefix(lower(t)),
            Text::Suffix(t) => Text::Suffix(lower(t)),
            Text::Contains(t) => Text::Contains(lower(t)),
            Text::Regex(r) => Text::Regex(r),
        };
        TextMatch { text, fold }
    }

    /// Whether a text fits.
    pub fn fits(&self, text: &str) -> bool {
        let folded = match (&self.text, self.fold) {
            (Text::Regex(r), _) => return r.is_match(text),
            (_, true) => Cow::Owned(text.to_ascii_lowercase()),
            (_, false) => Cow::Borrowed(text),
        };
        match &self.text {
            Text::Exact(t) => *folded == *t,
            Text::Prefix(t) => folded.starts_with(t.as_str()),
            Text::Suffix(t) => folded.ends_with(t.as_str()),
            Text::Contains(t) => folded.contains(t.as_str()),
            Text::Regex(_) => false,
        }
    }
}

/// How a header must be.
#[derive(Clone, Debug)]
pub enum HeaderIs {
    /// There, or not there.
    Present(bool),
    /// A whole number from the first up to the second, which is out.
    Range(i64, i64),
    /// A text.
    Text(TextMatch),
}

/// A match of a header (`HeaderMatcher`).
#[derive(Clone, Debug)]
pub struct HeaderMatch {
    /// Its name in lower case; `:method`, `:path` and `:authority` stand for these.
    pub name: String,
    /// How it must be.
    pub is: HeaderIs,
    /// It must not be so. One that isn't there then fits a match of its text (`invert_match`).
    pub invert: bool,
    /// One that isn't there counts as an empty text (`treat_missing_header_as_empty`).
    pub missing_is_empty: bool,
}

impl HeaderMatch {
    /// Whether a request fits.
    pub fn fits(&self, head: &dyn Head) -> bool {
        let value = value(head, &self.name);
        let value = match value {
            None if self.missing_is_empty && !matches!(self.is, HeaderIs::Present(_)) => {
                Some(Cow::Borrowed(""))
            }
            other => other,
        };
        let fits = match (&self.is, &value) {
            (HeaderIs::Present(wanted), value) => value.is_some() == *wanted,
            (_, None) => return self.invert,
            (HeaderIs::Range(from, to), Some(v)) => v.parse::<i64>().is_ok_and(|n| (*from..*to).contains(&n)),
            (HeaderIs::Text(text), Some(v)) => text.fits(v),
        };
        fits != self.invert
    }
}

/// A header's values joined by commas.
fn value<'a>(head: &'a dyn Head, name: &'a str) -> Option<Cow<'a, str>> {
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
            let rest = values.fold(format!("{first},{second}"), |all, v| all + "," + v);
            Some(Cow::Owned(rest))
        }
    }
}

/// A match of a query parameter (`QueryParameterMatcher`).
#[derive(Clone, Debug)]
pub struct QueryMatch {
    /// Its name.
    pub name: String,
    /// How its first value must be; `None`: it must be there.
    pub is: Option<TextMatch>,
}

impl QueryMatch {
    /// Whether a request fits. Values are compared as they stand, not decoded, as Envoy does.
    pub fn fits(&self, head: &dyn Head) -> bool {
        let pairs = head.query().split('&').map(|p| p.split_once('=').unwrap_or((p, "")));
        let mut named = pairs.filter(|(name, _)| *name == self.name);
        match (named.next(), &self.is) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some((_, value)), Some(is)) => is.fits(value),
        }
    }
}
