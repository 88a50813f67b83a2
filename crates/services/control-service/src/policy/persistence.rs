//! Persists the decisions of the policy controller.

use super::controller::PolicyController;
use super::record::{history_record_name, policy_record_name, StoredRecord, POLICY_RECORD};
use crate::durable_store::PersistError;
use crate::error::CommandError;
use crate::state::LeaderContext;
use crate::sync::lock;
use rushquay_policy::{Policy, PolicyNumber, PolicyRecord};
use rushquay_state::RecordWrite;
use std::collections::{BTreeMap, BTreeSet};

/// The most history records in one write. Danger: if a whole fleet changed at once, a single write of all of them would occupy the
/// store and delay the renewal of the lease.
const MAX_HISTORY_RECORDS_PER_WRITE: usize = 500;
/// The minimum time between such writes, for the same reason.
const HISTORY_WRITE_PERIOD_NANOS: u64 = 1_000_000_000;

impl PolicyController {
    /// Persists a record with its new policy, if any, and applies it only then. Danger: a decision that was broadcast first would be known
    /// to proxies but not to the next leader.
    pub(super) fn persist_record(
        &self,
        leader: &LeaderContext,
        record: PolicyRecord,
        policy: Option<Policy>,
    ) -> Result<(), CommandError> {
        let new = policy.and_then(|policy| Some((record.policy_set().numbers().nth(1)?, policy)));
        let revision_starts = lock(&self.state).revision_starts.clone();
        let stored = StoredRecord::starting_at(record, revision_starts, leader.unix_now());
        let mut set = BTreeMap::from([(POLICY_RECORD.to_owned(), stored.to_json())]);
        if let Some((number, policy)) = &new {
            set.insert(policy_record_name(*number), policy.document());
        }
        if let Err(error) = leader.persist_records(&RecordWrite { set, gone: Vec::new() }) {
            return Err(self.on_write_failed(leader, &error));
        }
        // Danger: the lease may have ended meanwhile, and the next leader may have decided from what it read. Only that leader may
        // broadcast the persisted record.
        if !leader.holds_valid_lease() {
            return Err(CommandError::NotPersisted(
                "this instance no longer leads; ask the current leader for the status".into(),
            ));
        }
        let now = leader.monotonic_now();
        let mut state = lock(&self.state);
        state.record_status.on_written();
        state.apply(stored, new, now);
        state.broadcast(leader);
        Ok(())
    }

    fn on_write_failed(&self, leader: &LeaderContext, error: &PersistError) -> CommandError {
        lock(&self.state).record_status.on_write_failed("policy", error);
        leader.reject_unpersisted(error)
    }

    /// Writes the record in force again if a write of another record failed, which may have taken effect but was not broadcast.
    pub(super) fn resolve_doubt(&self, leader: &LeaderContext) {
        let stored = {
            let state = lock(&self.state);
            state.record_status.is_in_doubt().then(|| state.stored_record())
        };
        let Some(stored) = stored else { return };
        let set = BTreeMap::from([(POLICY_RECORD.to_owned(), stored.to_json())]);
        // A failure is retried at the next tick.
        if leader.persist_records(&RecordWrite { set, gone: Vec::new() }).is_ok() {
            lock(&self.state).record_status.on_written();
        }
    }

    /// Removes stored policies that no proxy can refer to any longer.
    pub(super) fn remove_unused_policies(&self, leader: &LeaderContext, unused: &[PolicyNumber]) {
        if unused.is_empty() {
            return;
        }
        let gone = unused.iter().map(|number| policy_record_name(*number)).collect();
        if leader.persist_records(&RecordWrite { set: BTreeMap::new(), gone }).is_ok() {
            lock(&self.state).archive.forget(unused);
        }
    }

    /// Persists the history of proxies. Nothing depends on it, so a failure is only retried.
    pub(super) fn persist_history(&self, leader: &LeaderContext) {
        let unpersisted = lock(&self.state).history.take_unpersisted(
            leader.monotonic_now(),
            HISTORY_WRITE_PERIOD_NANOS,
            MAX_HISTORY_RECORDS_PER_WRITE,
        );
        if unpersisted.is_empty() {
            return;
        }
        let set =
            unpersisted.iter().map(|(proxy, json)| (history_record_name(proxy), json.clone())).collect();
        if leader.persist_records(&RecordWrite { set, gone: Vec::new() }).is_err() {
            let proxies = unpersisted.into_iter().map(|(proxy, _)| proxy).collect::<BTreeSet<_>>();
            lock(&self.state).history.retry(proxies);
        }
    }
}
