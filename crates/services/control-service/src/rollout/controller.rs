//! The rollout controller: leadership changes, its periodic tick, and the commands of operators.

use super::record::{read_members, read_registry};
use super::settings::RolloutSettings;
use super::state::RolloutState;
use crate::error::CommandError;
use crate::persistence::Records;
use crate::state::{ChangeGuard, LeaderContext};
use crate::sync::lock;
use crate::versioned::Versioned;
use rushquay_endpoints::Nanos;
use rushquay_rollout::{preview, RegistryError, RolloutRegistry, RolloutRequest, Verdict};
use rushquay_xds::client::Topic;
use rushquay_xds_grpc::StreamEvent;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Mutex;
use tracing::warn;

/// The node id of a supervisor is this prefix and the name of its proxy.
const SUPERVISOR_PREFIX: &str = "host/";

/// The fleet and its rollouts.
///
/// Lock order: decision, state.
pub struct RolloutController {
    pub(super) settings: RolloutSettings,
    pub(super) state: Mutex<RolloutState>,
    /// Held from a decision until it is persisted and applied, so that decisions are made one at a time.
    decision: Mutex<()>,
}

impl RolloutController {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        let state = Mutex::new(RolloutState::new(&settings));
        RolloutController { settings, state, decision: Mutex::new(()) }
    }

    /// The id of the running rollout.
    pub(crate) fn running(&self) -> Option<u64> {
        lock(&self.state).registry.running().map(|rollout| rollout.id)
    }

    /// The classes that any proxy has reported; empty before the first report.
    pub(crate) fn classes(&self) -> BTreeSet<String> {
        let state = lock(&self.state);
        state.membership.members().flat_map(|member| member.figures.classes.keys().cloned()).collect()
    }

    /// Restores the persisted state when this instance becomes the leader.
    pub(crate) fn lead(&self, records: &Records, now: Nanos) {
        let _decision = lock(&self.decision);
        let registry = read_registry(records, now);
        let members = read_members(records);
        let mut state = lock(&self.state);
        state.restore_members(members, &self.settings, now);
        match registry {
            Ok(registry) => state.restore_registry(registry, now),
            // Danger: an empty registry in its place would publish the base version to a fleet that applies another one.
            Err(error) => {
                warn!(%error, "rollout record unreadable; proxies keep their config versions");
                state.error =
                    Some(format!("the rollout record can't be read: {error}; use the version that wrote it"));
            }
        }
    }

    pub(crate) fn step_down(&self) {
        lock(&self.state).error = Some("another instance leads".into());
    }

    /// Processes a report of a subscriber or the end of its stream.
    pub(crate) fn on_stream_event(&self, node: &str, event: StreamEvent, now: Nanos) {
        let mut state = lock(&self.state);
        if let Some(proxy) = node.strip_prefix(SUPERVISOR_PREFIX) {
            if let StreamEvent::Metadata(stream, Topic::Report, text) = event {
                state.on_supervisor_report(proxy, &text, stream, now);
            }
            return;
        }
        match event {
            StreamEvent::Ended(stream) => state.membership.stream_ended(node, stream, now),
            StreamEvent::Metadata(_, Topic::PolicyLease, _) => {}
            StreamEvent::Metadata(stream, Topic::Report, text) => state.on_report(node, &text, stream, now),
        }
    }

    /// Analyzes the fleet, advances the rollout, persists the changes and then publishes them. Blocks on the store.
    pub(crate) fn tick(&self, leader: &LeaderContext) {
        let _decision = lock(&self.decision);
        let now = leader.unix_now();
        if !leader.is_leading() || lock(&self.state).error.is_some() {
            return;
        }
        if self.step(leader, now).is_err() {
            return;
        }
        self.resolve_doubt(leader, now);
        self.persist_members(leader, now);
        self.publish_assignments(leader);
    }

    /// Advances the running rollout according to the fleet's reports. Fails if the step could not be persisted.
    fn step(&self, leader: &LeaderContext, now: Nanos) -> Result<(), CommandError> {
        let stepped = {
            let mut state = lock(&self.state);
            let verdict = state.analyze(now);
            state.verdict = describe(&verdict);
            state.registry.running().is_some().then(|| {
                let mut registry = state.registry.clone();
                let has_advanced = registry.step(&state.fleet_view(now), &verdict, now);
                (has_advanced, registry)
            })
        };
        match stepped {
            None => Ok(()),
            // Only the running time has advanced. Danger: if it were dropped, a soak of minutes would count as time without a leader, and a
            // rollout would never reach its time limit.
            Some((false, registry)) => {
                lock(&self.state).registry = registry;
                Ok(())
            }
            Some((true, registry)) => self.persist_registry(leader, registry, now),
        }
    }

    /// Starts a rollout; returns it and the registry's revision.
    pub(crate) fn start(
        &self,
        leader: &LeaderContext,
        _change: &ChangeGuard<'_>,
        request: RolloutRequest,
        expected_revision: Option<u64>,
    ) -> Result<Versioned, CommandError> {
        let (mut body, revision) = self.command(leader, |registry, baseline, now| {
            let left_behind = registry.start(request, expected_revision, baseline, now)?;
            Ok(json!({"change": registry.running(), "left_behind": left_behind}))
        })?;
        body["revision"] = json!(revision);
        Ok(Versioned { body, revision })
    }

    /// Runs an operator's command on the registry; returns its result and the registry's revision. Blocks on the store.
    pub(crate) fn command<T>(
        &self,
        leader: &LeaderContext,
        command: impl FnOnce(&mut RolloutRegistry, Option<[f64; 2]>, Nanos) -> Result<T, RegistryError>,
    ) -> Result<(T, u64), CommandError> {
        let _decision = lock(&self.decision);
        leader.require_leadership()?;
        let now = leader.unix_now();
        let (mut registry, baseline) = {
            let state = lock(&self.state);
            if let Some(error) = &state.error {
                return Err(CommandError::NotPersisted(error.clone()));
            }
            (state.registry.clone(), state.analysis.baseline_rates())
        };
        let result = command(&mut registry, baseline, now)?;
        let revision = registry.record().revision;
        self.persist_registry(leader, registry, now)?;
        self.publish_assignments(leader);
        Ok((result, revision))
    }

    /// The stages that a rollout would have now, with the registry's revision.
    pub(crate) fn plan(&self, request: &RolloutRequest, now: Nanos) -> Result<Versioned, CommandError> {
        let state = lock(&self.state);
        let (config_version, plan) = state.registry.check(request, None)?;
        let record = state.registry.record();
        let stages = preview(&plan, &state.fleet_view(now), record.next);
        let min_duration_s: f64 = stages.iter().map(|s| s.soak_s).sum();
        let unfinished = record.change.as_ref().filter(|rollout| !rollout.phase.has_ended());
        let displaced = unfinished.map(|rollout| rollout.moved.keys().collect::<Vec<_>>());
        let body = json!({"from": record.holds, "to": config_version.digest(), "stages": stages,
                          "least_s": min_duration_s, "displaced_leaves": displaced});
        Ok(Versioned { body, revision: record.revision })
    }
}

/// A textual description of a verdict.
fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Waiting(what) | Verdict::FleetProblem(what) => what.clone(),
        Verdict::Passed => "the stage has passed".into(),
        Verdict::Worse(finding) => finding.to_string(),
    }
}
