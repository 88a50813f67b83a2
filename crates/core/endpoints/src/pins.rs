//! Pins: operators bind keys or request classes to an endpoint. The most specific pin applies to a request.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// The keys and the request class that are bound to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pin {
    /// The number of the override that sets it.
    pub number: u64,
    /// When it ends, Unix time in nanoseconds.
    pub until: Nanos,
    /// The request class; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The keys: a single key, or a prefix followed by `*`; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<String>,
}

impl Pin {
    /// Whether it matches a request of this class for this key.
    pub fn matches(&self, class: &str, key: &str) -> bool {
        let matches_key = self.keys.as_deref().is_none_or(|keys| match keys.strip_suffix('*') {
            Some(prefix) => key.starts_with(prefix),
            None => key == keys,
        });
        matches_key && self.class.as_deref().is_none_or(|c| c == class)
    }

    /// Its precedence over other pins, to be compared: an exact key before a prefix, a longer prefix before a shorter
    /// one, with a class before without; among equals, the one set last.
    pub fn specificity(&self) -> (bool, usize, bool, u64) {
        let keys = self.keys.as_deref().unwrap_or("");
        let prefix_length = keys.strip_suffix('*').unwrap_or(keys).len();
        (self.keys.is_some() && !keys.ends_with('*'), prefix_length, self.class.is_some(), self.number)
    }
}

/// All pins of a fleet, each with its endpoint or a handle for it.
#[derive(Clone, Debug, Default)]
pub struct Pins<T> {
    /// In order of decreasing specificity.
    all: Vec<(Pin, T)>,
}

impl<T> Pins<T> {
    /// Collects pins with their endpoints.
    pub fn new(pins: impl IntoIterator<Item = (Pin, T)>) -> Self {
        let mut all: Vec<(Pin, T)> = pins.into_iter().collect();
        all.sort_by_key(|(pin, _)| std::cmp::Reverse(pin.specificity()));
        Pins { all }
    }

    /// Whether there are no pins.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The endpoint to which a request is pinned at `now`. Danger: a pin that has ended must not apply, even if it has not
    /// been removed yet.
    pub fn find(&self, class: &str, key: &str, now: Nanos) -> Option<&T> {
        self.all
            .iter()
            .find(|(pin, _)| pin.until > now && pin.matches(class, key))
            .map(|(_, endpoint)| endpoint)
    }
}
