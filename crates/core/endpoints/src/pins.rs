//! Pins: keys or classes that operators have bound to a node, and which of several counts for a request.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// What is bound to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pin {
    /// The number of the override that it comes from.
    pub number: u64,
    /// Until when, Unix time in nanoseconds.
    pub until: Nanos,
    /// The class of requests; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The keys: one, or with a `*` at the end all that begin so; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<String>,
}

impl Pin {
    /// Whether it is on a request of this class for this key.
    pub fn covers(&self, class: &str, key: &str) -> bool {
        let keys = self.keys.as_deref().is_none_or(|keys| match keys.strip_suffix('*') {
            Some(start) => key.starts_with(start),
            None => key == keys,
        });
        keys && self.class.as_deref().is_none_or(|c| c == class)
    }

    /// How narrow it is: a key of its own, then by how much of the key is told, then with a class; of the same the one set
    /// last.
    pub fn rank(&self) -> (bool, usize, bool, u64) {
        let keys = self.keys.as_deref().unwrap_or("");
        let told = keys.strip_suffix('*').unwrap_or(keys).len();
        (self.keys.is_some() && !keys.ends_with('*'), told, self.class.is_some(), self.number)
    }
}

/// All pins of a fleet, each with its node (or what stands for it).
#[derive(Clone, Debug, Default)]
pub struct Pins<T> {
    /// The narrowest first.
    all: Vec<(Pin, T)>,
}

impl<T> Pins<T> {
    /// From the pins of all nodes.
    pub fn new(pins: impl IntoIterator<Item = (Pin, T)>) -> Self {
        let mut all: Vec<(Pin, T)> = pins.into_iter().collect();
        all.sort_by_key(|(pin, _)| std::cmp::Reverse(pin.rank()));
        Pins { all }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The node that counts for a request at this time. Danger: one that has ended counts for nobody, also where nobody has
    /// come to take it out.
    pub fn find(&self, class: &str, key: &str, now: Nanos) -> Option<&T> {
        self.all.iter().find(|(pin, _)| pin.until > now && pin.covers(class, key)).map(|(_, node)| node)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pin(number: u64, until: Nanos, class: Option<&str>, keys: Option<&str>) -> Pin {
        let text = |t: Option<&str>| t.map(str::to_owned);
        Pin { number, until, class: text(class), keys: text(keys) }
    }

    #[test]
    fn the_narrowest_that_has_not_ended_counts() {
        let pins = Pins::new([
            (pin(1, 100, None, Some("boiler-*")), "prefix"),
            (pin(2, 100, Some("read"), None), "class"),
            (pin(3, 50, None, Some("boiler-7")), "key"),
            (pin(4, 100, Some("read"), Some("boiler-*")), "prefix and class"),
            (pin(5, 100, None, Some("boiler-7*")), "longer prefix"),
        ]);
        let find = |class, key, now| pins.find(class, key, now).copied();
        assert_eq!(find("read", "boiler-7", 10), Some("key"));
        assert_eq!(find("read", "boiler-7", 50), Some("longer prefix"));
        assert_eq!(find("read", "boiler-3", 10), Some("prefix and class"));
        assert_eq!(find("set", "boiler-3", 10), Some("prefix"));
        assert_eq!(find("read", "lamp", 10), Some("class"));
        assert_eq!(find("set", "lamp", 10), None);
        assert_eq!(find("read", "boiler-7", 100), None);
    }

    #[test]
    fn of_two_alike_the_later_counts_and_then_the_earlier_if_it_lasts_longer() {
        let pins = Pins::new([(pin(1, 90, None, Some("a")), "old"), (pin(2, 50, None, Some("a")), "new")]);
        assert_eq!(pins.find("read", "a", 10), Some(&"new"));
        assert_eq!(pins.find("read", "a", 60), Some(&"old"));
    }
}
