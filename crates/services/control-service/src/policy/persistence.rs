//! Writing what the policy controller decides.

use super::controller::PolicyController;
use super::record::{history_record_name, policy_record_name, StoredRecord, HOLDS_RECORD};
use crate::durable_store::PersistError;
use crate::error::CommandError;
use crate::state::LeaderContext;
use crate::sync::lock;
use rushquay_policy::{Policy, PolicyNumber, PolicyRecord};
use rushquay_state::RecordWrite;
use std::collections::{BTreeMap, BTreeSet};

/// Records of how proxies acted that go into one write. Danger: a fleet that moves at once would hold the store, and the lease with it.
const MAX_HISTORY_RECORDS_PER_WRITE: usize = 500;
/// The least time between such writes, for the same reason.
const HISTORY_WRITE_PERIOD_NANOS: u64 = 1_000_000_000;

impl PolicyController {
    /// Persists a record and the policy that is new in it, and applies it only then. Danger: broadcast first, a decision would be known to
    /// proxies and to no successor.
    pub(super) fn persist_record(
        &self,
        leader: &LeaderContext,
        record: PolicyRecord,
        policy: Option<Policy>,
    ) -> Result<(), CommandError> {
        let new = policy.and_then(|policy| Some((record.policy_set().numbers().nth(1)?, policy)));
        let revision_starts = lock(&self.state).revision_starts.clone();
        let stored = StoredRecord::starting_at(record, revision_starts, leader.unix_now());
        let mut set = BTreeMap::from([(HOLDS_RECORD.to_owned(), stored.to_json())]);
        if let Some((number, policy)) = &new {
            set.insert(policy_record_name(*number), policy.document());
        }
        if let Err(error) = leader.persist_records(&RecordWrite { set, gone: Vec::new() }) {
            return Err(self.on_write_failed(leader, &error));
        }
        // Danger: the lease may have ended meanwhile, and the next leader have decided on what it found. Only that one may broadcast what
        // was persisted.
        if !leader.holds_valid_lease() {
            return Err(CommandError::NotPersisted(
                "this instance leads no longer; ask the one that does how it stands".into(),
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

    /// Writes the record that holds once more where a write of another failed: nobody was told of that one.
    pub(super) fn resolve_doubt(&self, leader: &LeaderContext) {
        let stored = {
            let state = lock(&self.state);
            state.record_status.is_in_doubt().then(|| state.stored_record())
        };
        let Some(stored) = stored else { return };
        let set = BTreeMap::from([(HOLDS_RECORD.to_owned(), stored.to_json())]);
        // A failure is retried at the next tick.
        if leader.persist_records(&RecordWrite { set, gone: Vec::new() }).is_ok() {
            lock(&self.state).record_status.on_written();
        }
    }

    /// Removes policies that nobody can refer to any more.
    pub(super) fn remove_unused_policies(&self, leader: &LeaderContext, unused: &[PolicyNumber]) {
        if unused.is_empty() {
            return;
        }
        let gone = unused.iter().map(|number| policy_record_name(*number)).collect();
        if leader.persist_records(&RecordWrite { set: BTreeMap::new(), gone }).is_ok() {
            lock(&self.state).archive.forget(unused);
        }
    }

    /// Persists how proxies acted. It is for people alone: a failure is retried.
    pub(super) fn persist_history(&self, leader: &LeaderContext) {
        let due = lock(&self.state).history.take_due(
            leader.monotonic_now(),
            HISTORY_WRITE_PERIOD_NANOS,
            MAX_HISTORY_RECORDS_PER_WRITE,
        );
        if due.is_empty() {
            return;
        }
        let set = due.iter().map(|(proxy, json)| (history_record_name(proxy), json.clone())).collect();
        if leader.persist_records(&RecordWrite { set, gone: Vec::new() }).is_err() {
            let proxies = due.into_iter().map(|(proxy, _)| proxy).collect::<BTreeSet<_>>();
            lock(&self.state).history.retry(proxies);
        }
    }
}
