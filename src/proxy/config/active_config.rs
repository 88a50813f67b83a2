//! What a proxy acts by: settings and the names that stand for what is in them. Taken whole, between two requests.

use crate::api::{Effect, Nanos, Settings};
use crate::proxy::config::interner::Interner;
use std::time::Duration;

/// Settings in force, with their names.
pub struct ActiveConfig {
    /// What the module goes by.
    pub settings: Settings,
    /// What its numbers stand for.
    pub names: Interner,
    /// By class: a repeat rests on a group that remembers it.
    keyed: Vec<bool>,
}

impl ActiveConfig {
    pub fn new(settings: Settings, names: Interner) -> Self {
        let keyed = settings.classes.iter().map(|c| c.effect == Effect::Keyed).collect();
        ActiveConfig { settings, names, keyed }
    }

    /// Whether a repeat of a write of this class rests on a group that remembers it.
    pub fn keyed(&self, class: u32) -> bool {
        self.keyed.get(class as usize).is_some_and(|k| *k)
    }

    /// For how long repeats of a class are remembered; `None`: they may run again, or must not be sent.
    pub fn remembered(&self, class: u32) -> Option<Nanos> {
        self.settings
            .classes
            .get(class as usize)
            .filter(|c| c.effect == Effect::Keyed)
            .map(|c| c.dedup_window)
    }

    /// The longest time that a class gives.
    pub fn longest(&self) -> Duration {
        Duration::from_nanos(self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
    }

    /// For each tenant here the number that it has there; `None`: it was not one.
    pub fn tenants_before(&self, before: &Interner) -> Vec<Option<usize>> {
        let had = |name: &String| before.tenants.iter().position(|t| t == name);
        self.names.tenants.iter().map(had).collect()
    }

    /// The time up to which an answer of this class is worth all that it can be.
    pub fn aim(&self, class: usize) -> Nanos {
        self.settings.classes.get(class).map_or(Nanos::MAX, |c| c.aim)
    }
}
