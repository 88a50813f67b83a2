//! Publishing to each proxy the config version that it is to apply.

use super::controller::RolloutController;
use super::state::RolloutState;
use crate::state::LeaderContext;
use crate::sync::lock;
use rushquay_config_version::{ConfigAssignment, Digest};
use rushquay_xds_resources::declare_settings;

/// An assignment that has not been published.
struct NewAssignment {
    proxy: String,
    /// The rollout and the config version.
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
        // Nothing is published before the first endpoint list; a later tick tries again.
        let mut state = lock(&self.state);
        for NewAssignment { proxy, .. } in &new {
            state.declared.remove(proxy);
        }
    }
}

impl RolloutState {
    /// The assignments that differ from those declared; they count as declared from now on.
    fn take_new_assignments(&mut self) -> Vec<NewAssignment> {
        // Danger: a store that was lost or begun anew knows of no rollout. If that were published, all proxies would go back to what their
        // files say at once, in no stages.
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
