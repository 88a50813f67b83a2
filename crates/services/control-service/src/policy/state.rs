//! The in-memory state of the policy controller while this instance leads.

use super::history::PolicyHistory;
use super::record::{RevisionStart, StoredPolicies, StoredRecord};
use super::settings::PolicySettings;
use crate::error::PolicyCommandError;
use crate::record_status::RecordStatus;
use crate::state::LeaderContext;
use rushquay_endpoints::Nanos;
use rushquay_policy::{
    Coordinator, FallbackPolicy, Incarnation, LeaseRequest, Policy, PolicyArchive, PolicyBroadcast,
    PolicyNumber, PolicyRecord, Revision,
};
use rushquay_xds_resources::{declare_text, POLICY_RESOURCE};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// The most names in one log line.
const MAX_LOGGED_NAMES: usize = 20;

pub struct PolicyState {
    pub coordinator: Coordinator,
    pub archive: PolicyArchive,
    /// When each of the record's recent revisions started.
    pub revision_starts: BTreeMap<u64, RevisionStart>,
    /// Lease requests of proxies since the last tick.
    pub requests: Vec<(String, LeaseRequest)>,
    /// The revision that was last broadcast.
    pub broadcast_revision: Option<Revision>,
    /// Leases that are published in the hub.
    pub declared_leases: BTreeSet<(String, Incarnation)>,
    pub history: PolicyHistory,
    /// Why no decisions are made and no leases granted; `None` in normal operation.
    pub error: Option<String>,
    /// The processes that the pending change waited for at the last tick.
    pub blocked_by: BTreeSet<String>,
    pub record_status: RecordStatus,
}

impl PolicyState {
    /// The state of an instance that has not led yet.
    pub fn new(settings: &PolicySettings) -> Self {
        let record = PolicyRecord::default();
        PolicyState {
            archive: PolicyArchive::lead(BTreeMap::new(), FallbackPolicy::Nobody, &record, 0),
            coordinator: Coordinator::lead(settings.terms(), record, 0),
            revision_starts: BTreeMap::new(),
            requests: Vec::new(),
            broadcast_revision: None,
            declared_leases: BTreeSet::new(),
            history: PolicyHistory::default(),
            error: Some("this instance has not led yet".into()),
            blocked_by: BTreeSet::new(),
            record_status: RecordStatus::default(),
        }
    }

    /// Restores the state that an earlier leader stored.
    pub fn restore(&mut self, stored: StoredPolicies, settings: &PolicySettings, now: Nanos) {
        let StoredRecord { record, revision_starts } = stored.record;
        // The settings were validated when they were read.
        let fallback = FallbackPolicy::read(&settings.floor).unwrap_or(FallbackPolicy::Nobody);
        self.archive = PolicyArchive::lead(stored.policies, fallback, &record, now);
        self.coordinator = Coordinator::lead(settings.terms(), record, now);
        (self.revision_starts, self.history, self.error) = (revision_starts, stored.history, None);
        self.record_status.on_read();
        let record = self.coordinator.record();
        info!(revision = record.revision.0, policies = ?record.policy_set(), "policy record restored");
    }

    /// The record with the starts of its revisions, as it is stored.
    pub fn stored_record(&self) -> StoredRecord {
        let record = self.coordinator.record().clone();
        StoredRecord { record, revision_starts: self.revision_starts.clone() }
    }

    /// Applies a record that was persisted, with its new policy, if any.
    pub fn apply(&mut self, stored: StoredRecord, new: Option<(PolicyNumber, Policy)>, now: Nanos) {
        if let Some((number, policy)) = new {
            self.archive.put(number, policy);
        }
        let StoredRecord { record, revision_starts } = stored;
        let event = record.events.back().map_or("", |e| e.what.as_str());
        info!(revision = record.revision.0, policies = ?record.policy_set(), event, "policy record advanced");
        self.archive.record_changed(&record);
        self.coordinator.adopt_record(record, now);
        self.revision_starts = revision_starts;
    }

    /// Fails if the store lacks a revision that was already broadcast.
    pub fn require_complete_store(&self) -> Result<(), PolicyCommandError> {
        match self.coordinator.member_ahead_of_store() {
            Some((proxy, known)) => Err(PolicyCommandError::StoreBehind {
                store_revision: self.coordinator.record().revision.0,
                proxy: proxy.into(),
                known_revision: known.0,
            }),
            None => Ok(()),
        }
    }

    /// The record that a proposal is based on; with `anew`, one with a higher revision than any that was broadcast before the store was lost.
    pub fn proposal_base(&self, anew: bool, now: Nanos) -> Result<PolicyRecord, PolicyCommandError> {
        let record = self.coordinator.record();
        let Some((_, known_revision)) = self.coordinator.member_ahead_of_store() else {
            return if anew { Err(PolicyCommandError::StoreComplete) } else { Ok(record.clone()) };
        };
        if !anew {
            self.require_complete_store()?;
        }
        // Danger: if another policy were broadcast while a lease for the lost one is valid, two policies would be in force at once.
        match self.coordinator.previous_leases_expire_at() {
            at if now <= at => {
                Err(PolicyCommandError::LeasesOutstanding((at - now).div_ceil(1_000_000_000).max(1)))
            }
            _ => Ok(record.resumed_after(known_revision)),
        }
    }

    /// Broadcasts the current revision, unless it has been broadcast already.
    pub fn broadcast(&mut self, leader: &LeaderContext) {
        let record = self.coordinator.record();
        if self.broadcast_revision == Some(record.revision)
            || !leader.hub.store().is_open()
            || !leader.holds_valid_lease()
        {
            return;
        }
        let numbers = record.policy_set().numbers();
        let policies = numbers.filter_map(|n| Some((n, self.archive.get(n)?.clone()))).collect();
        let broadcast =
            PolicyBroadcast { revision: record.revision, policy_set: record.policy_set(), policies };
        leader.hub.change(|store, at| declare_text(store, POLICY_RESOURCE, &broadcast.text(), at));
        self.broadcast_revision = Some(record.revision);
    }

    /// Logs the processes that the pending change waits for, whenever they change.
    pub fn log_blocked_by(&mut self, now: Nanos) {
        if self.coordinator.record().policy_set().numbers().nth(1).is_none() {
            self.blocked_by.clear();
            return;
        }
        let names: BTreeSet<String> =
            self.coordinator.blocking_members(now).into_iter().map(|h| blocker_name(&h.name)).collect();
        if names != self.blocked_by {
            let list: Vec<&str> = names.iter().map(String::as_str).take(MAX_LOGGED_NAMES).collect();
            info!(waits_for = names.len(), names = list.join(", "), "policy change waits");
            self.blocked_by = names;
        }
    }
}

/// The name of a process that a change waits for. An empty name stands for a leader that started too recently to know all processes.
pub fn blocker_name(name: &str) -> String {
    match name {
        "" => "a leader that has only just begun".into(),
        name => name.into(),
    }
}
