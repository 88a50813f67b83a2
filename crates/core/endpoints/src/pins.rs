//! Pins: keys or request classes that operators have bound to an endpoint, and which of several applies to a request.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// One pin: what is bound to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pin {
    /// The number of the override that it comes from.
    pub number: u64,
    /// The end, Unix time in nanoseconds.
    pub until: Nanos,
    /// The request class; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The keys: one, or with a trailing `*` all with that prefix; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<String>,
}

impl Pin {
    /// Whether it matches a request of this class for this key.
    pub fn covers(&self, class: &str, key: &str) -> bool {
        let matches_key = self.keys.as_deref().is_none_or(|keys| match keys.strip_suffix('*') {
            Some(prefix) => key.starts_with(prefix),
            None => key == keys,
        });
        matches_key && self.class.as_deref().is_none_or(|c| c == class)
    }

    /// How specific it is, for comparison: an exact key first, then the longer key prefix, then with a class; of
    /// equals the one set last.
    pub fn rank(&self) -> (bool, usize, bool, u64) {
        let keys = self.keys.as_deref().unwrap_or("");
        let prefix_length = keys.strip_suffix('*').unwrap_or(keys).len();
        (self.keys.is_some() && !keys.ends_with('*'), prefix_length, self.class.is_some(), self.number)
    }
}

/// All pins of a fleet, each with its endpoint (or a handle for it).
#[derive(Clone, Debug, Default)]
pub struct Pins<T> {
    /// The most specific first.
    all: Vec<(Pin, T)>,
}

impl<T> Pins<T> {
    /// Collects the pins of all endpoints.
    pub fn new(pins: impl IntoIterator<Item = (Pin, T)>) -> Self {
        let mut all: Vec<(Pin, T)> = pins.into_iter().collect();
        all.sort_by_key(|(pin, _)| std::cmp::Reverse(pin.rank()));
        Pins { all }
    }

    /// Whether there are no pins.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The endpoint that a request is pinned to at this time. Danger: a pin that has ended applies to no request,
    /// also where nobody has removed it yet.
    pub fn find(&self, class: &str, key: &str, now: Nanos) -> Option<&T> {
        self.all
            .iter()
            .find(|(pin, _)| pin.until > now && pin.covers(class, key))
            .map(|(_, endpoint)| endpoint)
    }
}
