//! The active configuration of a proxy: settings, and the names in them. Replaced as a whole, between two requests.

use crate::api::{Effect, Nanos, Settings};
use crate::proxy::config::interner::Interner;
use std::time::Duration;

/// Settings in force, with their names.
pub struct ActiveConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// The names behind the module's numbers.
    pub names: Interner,
    /// By class: whether a retry relies on deduplication by a group of nodes.
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

    /// How long nodes deduplicate retries of a class; `None`: they may run again, or must not be sent.
    pub fn remembered(&self, class: u32) -> Option<Nanos> {
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

    /// For each tenant of this configuration its number in the other; `None`: it is new.
    pub fn tenants_before(&self, before: &Interner) -> Vec<Option<usize>> {
        let had = |name: &String| before.tenants.iter().position(|t| t == name);
        self.names.tenants.iter().map(had).collect()
    }

    /// The latency objective of a class.
    pub fn aim(&self, class: usize) -> Nanos {
        self.settings.classes.get(class).map_or(Nanos::MAX, |c| c.latency_objective)
    }
}
