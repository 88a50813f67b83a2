//! The policy controller: leadership changes, its periodic tick, and the commands of operators.

use super::record::read_records;
use super::settings::PolicySettings;
use super::state::PolicyState;
use crate::error::{CommandError, PolicyCommandError};
use crate::persistence::Records;
use crate::rollout::RolloutController;
use crate::state::{ChangeGuard, LeaderContext};
use crate::sync::lock;
use crate::versioned::Versioned;
use rushquay_policy::{LeaseRequest, Policy, PolicyNumber, PolicyRecord, RecordError, Revision};
use rushquay_xds::client::Topic;
use rushquay_xds_grpc::StreamEvent;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;
use tracing::warn;

/// The most lease requests queued for the next tick. Danger: without a limit, a peer that keeps requesting would exhaust the memory.
const MAX_PENDING_REQUESTS: usize = 100_000;

/// What an operator proposes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Settings that override those in each proxy's settings file.
    pub settings: Value,
    /// The fallback policy; if left out, the one of the policy in force.
    #[serde(default, rename = "floor")]
    pub fallback: Option<Value>,
    /// Who proposes it.
    #[serde(default)]
    pub author: String,
    /// The reason for the change.
    #[serde(default)]
    pub reason: String,
    /// Continue after the store was lost or restored from an older copy, with a revision higher than any that was broadcast.
    #[serde(default)]
    pub anew: bool,
}

/// A proposal that was validated and is not persisted yet.
struct ValidatedProposal {
    record: PolicyRecord,
    policy: Policy,
    /// Its differences from the policy in force, for operators.
    comparison: Value,
}

/// Policies, and the leases under which proxies apply them.
///
/// Lock order: decision, state.
pub struct PolicyController {
    pub(super) settings: PolicySettings,
    pub(super) state: Mutex<PolicyState>,
    /// Held from a decision until it is persisted and applied, so that decisions are made one at a time.
    decision: Mutex<()>,
}

impl PolicyController {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        let state = Mutex::new(PolicyState::new(&settings));
        PolicyController { settings, state, decision: Mutex::new(()) }
    }

    pub(crate) fn period(&self) -> Duration {
        Duration::from_millis(self.settings.look_ms)
    }

    /// Restores the persisted state when this instance becomes the leader.
    pub(crate) fn lead(&self, records: &Records, leader: &LeaderContext) {
        let _decision = lock(&self.decision);
        let now = leader.monotonic_now();
        let mut state = lock(&self.state);
        (state.broadcast_revision, state.declared_leases, state.requests) =
            (None, BTreeSet::new(), Vec::new());
        match read_records(records) {
            Ok(stored) => state.restore(stored, &self.settings, now),
            // Danger: an empty record in its place would lose the decisions made so far.
            Err(error) => {
                warn!(%error, "policy record unreadable; no leases are granted");
                state.error =
                    Some(format!("the policy record can't be read: {error}; use the version that wrote it"));
            }
        }
    }

    pub(crate) fn step_down(&self) {
        let mut state = lock(&self.state);
        state.error = Some("another instance leads".into());
        state.requests.clear();
    }

    /// The policy that is proposed and not decided yet.
    pub(crate) fn undecided(&self) -> Option<PolicyNumber> {
        lock(&self.state).coordinator.record().policy_set().numbers().nth(1)
    }

    /// Queues a proxy's lease request; it is answered at the next tick.
    pub(crate) fn on_stream_event(&self, node: &str, event: &StreamEvent) {
        let StreamEvent::Metadata(_, Topic::PolicyLease, text) = event else { return };
        match LeaseRequest::read(text) {
            Ok(request) => {
                let mut state = lock(&self.state);
                if state.error.is_none() && state.requests.len() < MAX_PENDING_REQUESTS {
                    state.requests.push((node.to_owned(), request));
                }
            }
            Err(error) => warn!(proxy = node, %error, "policy lease request rejected"),
        }
    }

    /// Advances the pending change if that is possible, persists the decision, and answers lease requests. Blocks on the store.
    pub(crate) fn tick(&self, leader: &LeaderContext) {
        let _decision = lock(&self.decision);
        if !leader.holds_valid_lease() || lock(&self.state).error.is_some() {
            return;
        }
        let now = leader.monotonic_now();
        let (decided, unused) = {
            let mut guard = lock(&self.state);
            let state = &mut *guard;
            state.log_blocked_by(now);
            let unused =
                state.archive.unused_policies(state.coordinator.record(), &self.settings.terms(), now);
            (state.coordinator.step(now), unused)
        };
        if let Some(record) = decided {
            // Danger: while the store rejects writes the decision is delayed, but leases for the policy in force must still be renewed.
            let _ = self.persist_record(leader, record, None);
        }
        self.resolve_doubt(leader);
        self.remove_unused_policies(leader, &unused);
        self.grant_leases(leader);
        self.persist_history(leader);
    }

    /// Proposes a policy; returns its number and the record's revision.
    pub(crate) fn propose(
        &self,
        leader: &LeaderContext,
        rollout: Option<&RolloutController>,
        _change: &ChangeGuard<'_>,
        proposal: &Proposal,
        expected_revision: Option<u64>,
    ) -> Result<Versioned, CommandError> {
        let _decision = lock(&self.decision);
        self.require_ready(leader)?;
        if let Some(id) = rollout.and_then(|r| r.running()) {
            return Err(PolicyCommandError::RolloutRuns(id).into());
        }
        let validated = self.validate(leader, rollout, proposal, expected_revision)?;
        let number = validated.record.policy_set().numbers().nth(1);
        let revision = validated.record.revision.0;
        self.persist_record(leader, validated.record, Some(validated.policy))?;
        let mut body = validated.comparison;
        body["policy"] = json!(number);
        body["revision"] = json!(revision);
        Ok(Versioned { body, revision })
    }

    /// Ends the pending change without its policy.
    pub(crate) fn withdraw(
        &self,
        leader: &LeaderContext,
        by: &str,
        expected_revision: Option<u64>,
    ) -> Result<Versioned, CommandError> {
        let _decision = lock(&self.decision);
        self.require_ready(leader)?;
        let record = {
            let state = lock(&self.state);
            state.require_complete_store()?;
            state.coordinator.record().withdraw(by, expected_revision.map(Revision))
        };
        let record = record.map_err(PolicyCommandError::from)?;
        let revision = record.revision.0;
        self.persist_record(leader, record, None)?;
        Ok(Versioned { body: json!({"revision": revision}), revision })
    }

    /// The differences that a proposal would make now, with the record's revision.
    pub(crate) fn diff(
        &self,
        leader: &LeaderContext,
        rollout: Option<&RolloutController>,
        proposal: &Proposal,
    ) -> Result<Versioned, CommandError> {
        self.require_ready(leader)?;
        // A record requires an author and a reason, which a comparison doesn't have.
        let nobody = || "nobody".to_owned();
        let proposal = Proposal { author: nobody(), reason: nobody(), ..proposal.clone() };
        let validated = self.validate(leader, rollout, &proposal, None)?;
        Ok(Versioned { body: validated.comparison, revision: validated.record.revision.0 - 1 })
    }

    /// Rejects a command if this instance does not lead or the stored record is unusable.
    fn require_ready(&self, leader: &LeaderContext) -> Result<(), CommandError> {
        leader.require_leadership()?;
        match &lock(&self.state).error {
            Some(error) => Err(CommandError::NotPersisted(error.clone())),
            None => Ok(()),
        }
    }

    /// Validates a proposal against the policy in force.
    fn validate(
        &self,
        leader: &LeaderContext,
        rollout: Option<&RolloutController>,
        proposal: &Proposal,
        expected_revision: Option<u64>,
    ) -> Result<ValidatedProposal, CommandError> {
        let now = leader.monotonic_now();
        let state = lock(&self.state);
        let record = state.coordinator.record();
        let terms = self.settings.terms();
        let policy = state
            .archive
            .validate_proposal(&proposal.settings, proposal.fallback.as_ref(), (record, &terms), now)
            .map_err(PolicyCommandError::from)?;
        // If proxies report their classes, a class that none of them has is rejected here and not by each proxy.
        require_known_classes(&policy, &rollout.map(|r| r.classes()).unwrap_or_default())?;
        let comparison = state.compare(record.in_force, &policy);
        let base = state.proposal_base(proposal.anew, now)?;
        // The expected revision is compared with the store's, not with that of the base.
        if let Some(expected) = expected_revision.filter(|e| *e != record.revision.0) {
            let changed = RecordError::Changed { expected, now: record.revision.0 };
            return Err(PolicyCommandError::from(changed).into());
        }
        let proposed = base.propose((&proposal.author, &proposal.reason), None);
        let record = proposed.map_err(PolicyCommandError::from)?;
        Ok(ValidatedProposal { record, policy, comparison })
    }
}

/// Rejects a policy for a class that no proxy has. If no classes are known, any class is accepted.
fn require_known_classes(policy: &Policy, known: &BTreeSet<String>) -> Result<(), PolicyCommandError> {
    let settings = policy.settings.document();
    let mut names =
        settings["categories"].as_array().into_iter().flatten().filter_map(|class| class["name"].as_str());
    match names.find(|name| !known.is_empty() && !known.contains(*name)) {
        Some(unknown) => {
            let known: Vec<String> = known.iter().cloned().collect();
            Err(PolicyCommandError::UnknownClass(unknown.into(), known.join(", ")))
        }
        None => Ok(()),
    }
}
