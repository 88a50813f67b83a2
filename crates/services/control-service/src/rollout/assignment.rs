//! Publishes the config version that each proxy is assigned.

use super::controller::RolloutController;
use super::state::RolloutState;
use crate::state::LeaderContext;
use crate::sync::lock;
use rushquay_config_version::{ConfigAssignment, Digest};
use rushquay_xds_resources::declare_settings;

/// An assignment that has not been published yet.
struct NewAssignment {
    proxy: String,
    /// The rollout's id and the config version's digest.
    key: (u64, Digest),
    assignment: ConfigAssignment,
}

impl RolloutController {
    /// Publishes the assignments that have changed.
    pub(super) fn publish_assignments(&self, leader: &LeaderContext) {
        let new = lock(&self.state).take_new_assignments();
        if new.is_empty() {
            return;
        }
        if leader.hub.store().is_open() {
            leader.hub.change(|store, now| {
                for NewAssignment { proxy, assignment, .. } in &new {
                    declare_settings(store, proxy, assignment, now);
                }
            });
            return;
        }
        // Nothing is published before the first endpoint list; a later tick retries.
        let mut state = lock(&self.state);
        for NewAssignment { proxy, .. } in &new {
            state.declared.remove(proxy);
        }
    }
}

impl RolloutState {
    /// Takes the assignments that differ from the declared ones, and marks them as declared.
    fn take_new_assignments(&mut self) -> Vec<NewAssignment> {
        // Danger: a store that was lost or recreated holds no rollout. If that were published, all proxies would return to the settings
        // of their files at once, not in stages.
        if !self.registry.has_started_any() {
            return Vec::new();
        }
        let mut new = Vec::new();
        for member in self.membership.members() {
            let proxy = &member.record.name;
            let (change, version) = self.registry.assigned_version(proxy);
            let key = (change, version.digest());
            if self.declared.get(proxy) != Some(&key) {
                let assignment = ConfigAssignment { rollout: change, version: version.clone() };
                new.push(NewAssignment { proxy: proxy.clone(), key, assignment });
            }
        }
        self.declared.extend(new.iter().map(|new| (new.proxy.clone(), new.key)));
        new
    }
}
