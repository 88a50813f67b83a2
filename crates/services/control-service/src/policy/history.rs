//! Which revision each proxy applied, and when: an audit trail for operators.

use rushquay_endpoints::Nanos;
use rushquay_policy::{Incarnation, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The most changes kept for one proxy.
const MAX_CHANGES: usize = 64;
/// The most proxies with a history.
const MAX_PROXIES: usize = 20_000;

/// The revision that a process applied from a given time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionChange {
    /// When the leader received it, in Unix nanoseconds.
    pub at: Nanos,
    /// The process.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// The revision that it applies; 0 if it has no lease or has ended.
    pub revision: Revision,
}

/// The recent changes of each proxy.
#[derive(Clone, Debug, Default)]
pub struct PolicyHistory {
    by_proxy: BTreeMap<String, VecDeque<RevisionChange>>,
    /// Proxies with changes that are not persisted.
    unpersisted: BTreeSet<String>,
    /// When records were last taken to be persisted.
    last_taken_at: Nanos,
}

impl PolicyHistory {
    /// Restores the persisted history. A record that can't be read is skipped, because no decision depends on it.
    pub fn restore<'a>(records: impl Iterator<Item = (&'a str, &'a Value)>) -> Self {
        let read =
            |(name, json): (&str, &Value)| Some((name.to_owned(), Deserialize::deserialize(json).ok()?));
        PolicyHistory { by_proxy: records.filter_map(read).collect(), ..PolicyHistory::default() }
    }

    /// Records the revision that a process reports as applied.
    pub fn record(&mut self, name: &str, incarnation: Incarnation, revision: Revision, at: Nanos) {
        if !self.by_proxy.contains_key(name) && self.by_proxy.len() >= MAX_PROXIES {
            return;
        }
        let changes = self.by_proxy.entry(name.to_owned()).or_default();
        let last = changes.iter().rev().find(|c| c.incarnation == incarnation).map(|c| c.revision);
        // A new process that applies nothing is not recorded.
        if last.unwrap_or_default() == revision {
            return;
        }
        changes.push_back(RevisionChange { at, incarnation, revision });
        while changes.len() > MAX_CHANGES {
            changes.pop_front();
        }
        self.unpersisted.insert(name.to_owned());
    }

    /// Records that a process has let its lease expire.
    pub fn record_lease_end(&mut self, name: &str, incarnation: Incarnation, at: Nanos) {
        self.record(name, incarnation, Revision(0), at);
    }

    /// The changes of a proxy, the oldest first.
    pub fn changes(&self, name: &str) -> Option<&VecDeque<RevisionChange>> {
        self.by_proxy.get(name)
    }

    /// Takes at most `limit` records to persist; none if less than `period` has passed since the last call that took any.
    pub fn take_unpersisted(&mut self, now: Nanos, period: Nanos, limit: usize) -> Vec<(String, Value)> {
        if self.unpersisted.is_empty() || now.saturating_sub(self.last_taken_at) < period {
            return Vec::new();
        }
        self.last_taken_at = now;
        let names: Vec<String> = self.unpersisted.iter().take(limit).cloned().collect();
        let take = |name: String| {
            self.unpersisted.remove(&name);
            let json = serde_json::to_value(self.by_proxy.get(&name)).unwrap_or_default();
            (name, json)
        };
        names.into_iter().map(take).collect()
    }

    /// Marks records whose write failed as unpersisted again.
    pub fn retry(&mut self, names: impl IntoIterator<Item = String>) {
        self.unpersisted.extend(names);
    }
}
