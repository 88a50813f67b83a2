//! By which revision each proxy acted, and when: for people who ask later.

use rushquay_policy::{Incarnation, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Nanos = u64;

/// Changes that are remembered of a proxy.
const CHANGES: usize = 64;
/// Proxies that are remembered.
const PROXIES: usize = 20_000;

/// From then on a process acted so.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// When it was heard, Unix time in nanoseconds.
    pub at: Nanos,
    /// The process.
    pub boot: Incarnation,
    /// By what it acts; 0: it has no leave, or is gone.
    pub revision: Revision,
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub struct PolicyHistory {
    by: BTreeMap<String, VecDeque<Change>>,
    changed: BTreeSet<String>,
    kept: Nanos,
}

impl PolicyHistory {
    /// What was kept. What can't be read is left: it decides nothing.
    pub fn restore<'a>(kept: impl Iterator<Item = (&'a str, &'a Value)>) -> Self {
        let read =
            |(name, told): (&str, &Value)| Some((name.to_owned(), Deserialize::deserialize(told).ok()?));
        PolicyHistory { by: kept.filter_map(read).collect(), ..PolicyHistory::default() }
    }

    /// A process says by which revision it acts.
    pub fn heard(&mut self, name: &str, boot: Incarnation, revision: Revision, at: Nanos) {
        if !self.by.contains_key(name) && self.by.len() >= PROXIES {
            return;
        }
        let changes = self.by.entry(name.to_owned()).or_default();
        let last = changes.iter().rev().find(|c| c.boot == boot).map(|c| c.revision);
        // One that is asked for the first time and acts by nothing has nothing to tell.
        if last.unwrap_or_default() == revision {
            return;
        }
        changes.push_back(Change { at, boot, revision });
        while changes.len() > CHANGES {
            changes.pop_front();
        }
        self.changed.insert(name.to_owned());
    }

    /// A process has let its leave run out.
    pub fn gone(&mut self, name: &str, boot: Incarnation, at: Nanos) {
        self.heard(name, boot, Revision(0), at);
    }

    /// The changes of a proxy, the oldest first.
    pub fn of(&self, name: &str) -> Option<&VecDeque<Change>> {
        self.by.get(name)
    }

    /// What is to be kept now: so many at the most, and none sooner than `every` after the last.
    pub fn due(&mut self, now: Nanos, every: Nanos, most: usize) -> Vec<(String, Value)> {
        if self.changed.is_empty() || now.saturating_sub(self.kept) < every {
            return Vec::new();
        }
        self.kept = now;
        let names: Vec<String> = self.changed.iter().take(most).cloned().collect();
        let told = |name: String| {
            self.changed.remove(&name);
            let told = serde_json::to_value(self.by.get(&name)).unwrap_or_default();
            (name, told)
        };
        names.into_iter().map(told).collect()
    }

    /// These were not kept.
    pub fn again(&mut self, names: Vec<String>) {
        self.changed.extend(names);
    }
}
