//! The active configuration of a proxy: settings and the names in them, always replaced as a whole between two requests.

use crate::api::{Effect, Nanos, Settings};
use crate::proxy::config::interner::Interner;
use std::time::Duration;

/// The settings in force, with the names in them.
pub struct ActiveConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// The names that the decision module knows by index.
    pub names: Interner,
    /// For each class: whether a retry relies on deduplication by a group of nodes.
    keyed: Vec<bool>,
}

impl ActiveConfig {
    pub fn new(settings: Settings, names: Interner) -> Self {
        let keyed = settings.classes.iter().map(|c| c.effect == Effect::Keyed).collect();
        ActiveConfig { settings, names, keyed }
    }

    /// Whether the retry of a write of this class relies on deduplication by a group of nodes.
    pub fn keyed(&self, class: u32) -> bool {
        self.keyed.get(class as usize).is_some_and(|k| *k)
    }

    /// How long nodes deduplicate retries of a class. `None` if its requests may safely run again or must not be retried.
    pub fn dedup_window(&self, class: u32) -> Option<Nanos> {
        self.settings
            .classes
            .get(class as usize)
            .filter(|c| c.effect == Effect::Keyed)
            .map(|c| c.dedup_window)
    }

    /// The longest deadline of any class.
    pub fn longest(&self) -> Duration {
        Duration::from_nanos(self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
    }

    /// For each tenant of this configuration, its index in the previous one; `None` if it is new.
    pub fn tenants_before(&self, before: &Interner) -> Vec<Option<usize>> {
        let previous_index = |name: &String| before.tenants.iter().position(|t| t == name);
        self.names.tenants.iter().map(previous_index).collect()
    }

    /// The latency objective of a class.
    pub fn latency_objective(&self, class: usize) -> Nanos {
        self.settings.classes.get(class).map_or(Nanos::MAX, |c| c.latency_objective)
    }
}
