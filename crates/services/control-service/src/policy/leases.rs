//! Granting policy leases to the proxies that requested them.

use super::controller::PolicyController;
use super::state::PolicyState;
use crate::state::LeaderContext;
use crate::sync::lock;
use rushquay_endpoints::Nanos;
use rushquay_policy::Incarnation;
use rushquay_xds_resources::{declare_text, policy_lease_name, remove_text};
use std::collections::BTreeSet;

impl PolicyController {
    /// Answers the pending lease requests, and removes the leases of processes that are no longer members.
    pub(super) fn grant_leases(&self, leader: &LeaderContext) {
        let mut state = lock(&self.state);
        if !leader.hub.store().is_open() {
            return;
        }
        state.broadcast(leader);
        let (unix_now, requests) = (leader.unix_now(), std::mem::take(&mut state.requests));
        // Danger: a process that was suspended since the tick began would grant leases that the next leader doesn't know of.
        let now = leader.monotonic_now();
        if !leader.holds_valid_lease() {
            return;
        }
        let mut grants = Vec::new();
        for (name, request) in requests {
            state.history.record(&name, request.incarnation, request.acting, unix_now);
            let Some(grant) = state.coordinator.grant_lease(&name, &request, now) else { continue };
            let PolicyState { archive, coordinator, .. } = &mut *state;
            archive.granted(&name, &request, coordinator.record(), now);
            grants.push((policy_lease_name(&name, request.incarnation.0), grant.text()));
            state.declared_leases.insert((name, request.incarnation));
        }
        let departed = state.remove_departed(unix_now);
        if grants.is_empty() && departed.is_empty() {
            return;
        }
        leader.hub.change(|store, at| {
            for (name, text) in &grants {
                declare_text(store, name, text, at);
            }
            for (name, incarnation) in &departed {
                remove_text(store, &policy_lease_name(name, incarnation.0), at);
            }
        });
    }
}

impl PolicyState {
    /// Removes and returns the declared leases of processes that are no longer members.
    fn remove_departed(&mut self, unix_now: Nanos) -> Vec<(String, Incarnation)> {
        let members: BTreeSet<(String, Incarnation)> =
            self.coordinator.members().map(|(name, incarnation, _)| (name.to_owned(), incarnation)).collect();
        let departed: Vec<(String, Incarnation)> =
            self.declared_leases.difference(&members).cloned().collect();
        for lease in &departed {
            self.declared_leases.remove(lease);
            self.history.record_lease_end(&lease.0, lease.1, unix_now);
        }
        departed
    }
}
