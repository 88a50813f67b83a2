//! Persists the decisions of the rollout controller and the membership.

use super::controller::RolloutController;
use super::record::{member_record_name, REGISTRY_RECORD};
use super::state::RolloutState;
use crate::durable_store::PersistError;
use crate::error::CommandError;
use crate::state::LeaderContext;
use crate::sync::lock;
use rushquay_endpoints::Nanos;
use rushquay_membership::{Member, MemberRecord};
use rushquay_rollout::RolloutRegistry;
use rushquay_state::RecordWrite;
use rushquay_xds_resources::remove_settings;
use std::collections::BTreeMap;

/// The most member records in one write. Danger: if a whole fleet rejoined at once, a single write of all of them would occupy the store
/// and delay the renewal of the lease.
const MAX_MEMBERS_PER_WRITE: usize = 500;

/// Changes of the membership to persist.
struct MemberWrite {
    set: Vec<MemberRecord>,
    removed: Vec<String>,
}

impl MemberWrite {
    fn to_records(&self) -> RecordWrite {
        let json = |member| serde_json::to_value(member).unwrap_or_default();
        RecordWrite {
            set: self.set.iter().map(|member| (member_record_name(&member.name), json(member))).collect(),
            gone: self.removed.iter().map(|proxy| member_record_name(proxy)).collect(),
        }
    }
}

impl RolloutController {
    /// Persists a registry, and applies it only then. Danger: a step that was published first would be known to proxies but not to the
    /// next leader.
    pub(super) fn persist_registry(
        &self,
        leader: &LeaderContext,
        registry: RolloutRegistry,
        now: Nanos,
    ) -> Result<(), CommandError> {
        let record = serde_json::to_value(registry.record()).unwrap_or_default();
        let set = BTreeMap::from([(REGISTRY_RECORD.to_owned(), record)]);
        if let Err(error) = leader.persist_records(&RecordWrite { set, gone: Vec::new() }) {
            return Err(self.on_write_failed(leader, &error));
        }
        let mut state = lock(&self.state);
        state.record_status.on_written();
        // The lease may have ended meanwhile. The next leader then reads the step and applies it.
        leader.require_leadership()?;
        state.apply(registry, now);
        Ok(())
    }

    fn on_write_failed(&self, leader: &LeaderContext, error: &PersistError) -> CommandError {
        lock(&self.state).record_status.on_write_failed("rollout", error);
        leader.reject_unpersisted(error)
    }

    /// Writes the current registry again if a write of another one failed, which may have taken effect.
    pub(super) fn resolve_doubt(&self, leader: &LeaderContext, now: Nanos) {
        let registry = {
            let state = lock(&self.state);
            state.record_status.is_in_doubt().then(|| state.registry.clone())
        };
        if let Some(registry) = registry {
            // A failure is retried at the next tick.
            let _ = self.persist_registry(leader, registry, now);
        }
    }

    /// Persists changed members, and removes those that are permanently absent.
    pub(super) fn persist_members(&self, leader: &LeaderContext, now: Nanos) {
        let write = lock(&self.state).member_write(now);
        let records = write.to_records();
        if records == RecordWrite::default() {
            return;
        }
        // A failure is retried at the next tick.
        if leader.persist_records(&records).is_err() {
            return;
        }
        let mut state = lock(&self.state);
        state.persisted_members.extend(write.set.into_iter().map(|member| (member.name.clone(), member)));
        for proxy in &write.removed {
            state.persisted_members.remove(proxy);
        }
        if !write.removed.is_empty() {
            leader.hub.change(|store, at| {
                for proxy in &write.removed {
                    remove_settings(store, proxy, at);
                }
            });
        }
    }
}

impl RolloutState {
    /// Retires members that are permanently absent; returns the differences from the persisted members.
    fn member_write(&mut self, now: Nanos) -> MemberWrite {
        for proxy in self.membership.remove_retired(now) {
            self.declared.remove(&proxy);
            self.supervisors.remove(&proxy);
        }
        let has_changed =
            |member: &&Member| self.persisted_members.get(&member.record.name) != Some(&member.record);
        let changed = self.membership.members().filter(has_changed);
        let set = changed.take(MAX_MEMBERS_PER_WRITE).map(|member| member.record.clone()).collect();
        let is_removed = |name: &&String| self.membership.get(name).is_none();
        let removed = self.persisted_members.keys().filter(is_removed).cloned().collect();
        MemberWrite { set, removed }
    }
}
