//! The registry of rollouts: the config version in force, the last rollout, and the event log.

use crate::finding::Verdict;
use crate::fleet_view::FleetView;
use crate::phase::{Phase, RollbackReason};
use crate::plan::{Plan, PlanError, PlanText};
use crate::state_machine::Rollout;
use crate::Nanos;
use rushquay_config_version::{ConfigVersion, Digest, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of events in the record; the oldest are dropped first.
const MAX_EVENTS: usize = 500;

/// An operator's request to start a rollout.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// The complete settings to put into force; each proxy takes omitted settings from its own file.
    pub settings: Value,
    /// The plan.
    #[serde(default)]
    pub plan: PlanText,
    /// The operator who requests it.
    pub author: String,
    /// The reason for the rollout.
    pub reason: String,
    /// Displaces a running rollout, and starts without a baseline if there is none.
    #[serde(default)]
    pub displace: bool,
}

/// Why a request was rejected. A rejected request changes nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RegistryError {
    /// The record has changed since the caller read it.
    #[error("the record is at revision {now}, not {expected}: read it again, and repeat the request if it still applies")]
    Changed {
        /// The revision that the caller expected.
        expected: u64,
        /// The current revision.
        now: u64,
    },
    /// A field of the settings is invalid.
    #[error("{0}")]
    Settings(#[from] FieldError),
    /// A field of the plan is invalid.
    #[error("plan.{0}")]
    Plan(#[from] PlanError),
    /// A field is missing or too long.
    #[error("{0}: expected {1}")]
    Field(&'static str, &'static str),
    /// Another rollout is running; there is at most one at a time.
    #[error("change {0} runs ({1}); wait for its end, roll it back, or displace it")]
    AlreadyRunning(u64, String),
    /// There is no baseline against which a fleet-wide problem could be recognised.
    #[error("there is no baseline of the fleet yet: try again after some seconds of traffic, or set displace to start without one")]
    NoBaseline,
    /// The settings are already in force.
    #[error("config version {0:?} is already in force")]
    AlreadyInForce(Digest),
    /// The command is not possible in the present phase.
    #[error("no change can be {0} now: {1}")]
    WrongPhase(&'static str, String),
}

/// An entry of the event log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvent {
    /// Time of the event, in Unix time.
    pub at: Nanos,
    /// Number of the rollout.
    pub change: u64,
    /// Description, for operators.
    pub what: String,
}

/// The stored record of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryRecord {
    /// Incremented by each change to the record.
    pub revision: u64,
    /// The number that the next rollout will get.
    pub next: u64,
    /// The config version in force: the one that members apply unless a running rollout assigns them another.
    pub holds: Digest,
    /// The number of the rollout that put it into force; 0 for the base version.
    pub by: u64,
    /// The last rollout, running or ended.
    pub change: Option<Rollout>,
    /// The baseline before that rollout: bad outcomes and attempts, each per request.
    #[serde(default)]
    pub usual: Option<[f64; 2]>,
    /// The event log, the oldest entry first.
    pub events: VecDeque<RolloutEvent>,
    /// The documents of the config versions named in the record.
    pub generations: BTreeMap<Digest, Value>,
}

/// The registry of rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRegistry {
    record: RegistryRecord,
    config_versions: BTreeMap<Digest, ConfigVersion>,
}

impl Default for RolloutRegistry {
    fn default() -> Self {
        let base = ConfigVersion::base();
        let config_versions = BTreeMap::from([(base.digest(), base.clone())]);
        let record = RegistryRecord {
            revision: 0,
            next: 1,
            holds: base.digest(),
            by: 0,
            change: None,
            usual: None,
            events: VecDeque::new(),
            generations: BTreeMap::from([(base.digest(), base.document())]),
        };
        RolloutRegistry { record, config_versions }
    }
}

impl RolloutRegistry {
    /// Restores a registry from its stored record when a new leader takes over.
    ///
    /// # Errors
    /// The record contains a config version that this program cannot read.
    pub fn restore(mut record: RegistryRecord, now: Nanos) -> Result<Self, FieldError> {
        let mut config_versions = BTreeMap::new();
        for document in record.generations.values() {
            let config_version = ConfigVersion::read(document)?;
            config_versions.insert(config_version.digest(), config_version);
        }
        if let Some(change) = &mut record.change {
            change.on_takeover(now);
        }
        Ok(RolloutRegistry { record, config_versions })
    }

    /// The record to persist.
    pub fn record(&self) -> &RegistryRecord {
        &self.record
    }

    /// Whether a rollout was ever started. Before the first one no member gets an assignment.
    pub fn has_started_any(&self) -> bool {
        self.record.next > 1
    }

    /// The running rollout.
    pub fn running(&self) -> Option<&Rollout> {
        self.record.change.as_ref().filter(|c| !c.phase.has_ended())
    }

    /// The number of the rollout that assigned a member its config version, and that version.
    pub fn assigned_version(&self, name: &str) -> (u64, &ConfigVersion) {
        let running = self.running();
        let digest = running.map_or(self.record.holds, |c| c.assigned_version(name));
        let by = running.map_or(self.record.by, |c| c.id);
        // `prune` retains all versions that the record names, and the base version.
        let config_version = self.config_versions.get(&digest).or(self.config_versions.values().next());
        (by, config_version.unwrap_or_else(|| unreachable!("the base version is always retained")))
    }

    /// A config version that the record names.
    pub fn config_version(&self, digest: &Digest) -> Option<&ConfigVersion> {
        self.config_versions.get(digest)
    }

    /// Validates a request without changing anything.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn check(
        &self,
        request: &RolloutRequest,
        expected: Option<u64>,
    ) -> Result<(ConfigVersion, Plan), RegistryError> {
        self.check_revision(expected)?;
        let config_version = ConfigVersion::read(&request.settings)?;
        let plan = Plan::try_from(request.plan.clone())?;
        if request.author.trim().is_empty() || request.author.len() > 200 {
            return Err(RegistryError::Field("author", "a name of at most 200 bytes"));
        }
        if request.reason.trim().is_empty() || request.reason.len() > 1000 {
            return Err(RegistryError::Field("reason", "a reason of at most 1000 bytes"));
        }
        match self.running() {
            Some(change) if !request.displace => {
                Err(RegistryError::AlreadyRunning(change.id, change.phase.to_string()))
            }
            None if config_version.digest() == self.record.holds => {
                Err(RegistryError::AlreadyInForce(config_version.digest()))
            }
            _ => Ok((config_version, plan)),
        }
    }

    fn check_revision(&self, expected: Option<u64>) -> Result<(), RegistryError> {
        let now = self.record.revision;
        match expected {
            Some(expected) if expected != now => Err(RegistryError::Changed { expected, now }),
            _ => Ok(()),
        }
    }

    /// Starts a rollout. Returns the names of the members that a displaced rollout had moved; they are assigned the
    /// version in force at once, without stages.
    ///
    /// # Errors
    /// See [`RegistryError`]; nothing is changed.
    pub fn start(
        &mut self,
        request: RolloutRequest,
        expected: Option<u64>,
        usual: Option<[f64; 2]>,
        now: Nanos,
    ) -> Result<Vec<String>, RegistryError> {
        let (config_version, plan) = self.check(&request, expected)?;
        // Danger: without a baseline, a rollout cannot tell a fleet-wide problem from the effect of its own version.
        if usual.is_none() && !request.displace {
            return Err(RegistryError::NoBaseline);
        }
        let (id, from, to) = (self.record.next, self.record.holds, config_version.digest());
        let mut left_behind = Vec::new();
        if let Some(running) = self.record.change.as_mut().filter(|c| !c.phase.has_ended()) {
            left_behind = running.moved.keys().chain(running.returned.keys()).cloned().collect();
            let (number, why) = (running.id, RollbackReason::Displaced { by: id });
            running.phase = Phase::RolledBack { why };
            self.push_event(
                number,
                format!(
                    "displaced by change {id}; {} proxies return to the version in force at once",
                    left_behind.len()
                ),
                now,
            );
        }
        self.record.next += 1;
        self.record.generations.insert(to, config_version.document());
        self.config_versions.insert(to, config_version);
        let RolloutRequest { author, reason, .. } = request;
        self.push_event(id, format!("{author} begins: {reason}"), now);
        self.record.change = Some(Rollout::new(id, (from, to), plan, (author, reason), now));
        self.record.usual = usual;
        self.prune();
        Ok(left_behind)
    }

    /// Applies an operator's command to the running rollout. `command` returns false if it is not possible in the present phase.
    fn command_running(
        &mut self,
        what: &'static str,
        by: &str,
        expected: Option<u64>,
        now: Nanos,
        command: impl FnOnce(&mut Rollout) -> bool,
    ) -> Result<(), RegistryError> {
        self.check_revision(expected)?;
        if by.trim().is_empty() || by.len() > 200 {
            return Err(RegistryError::Field("by", "a name of at most 200 bytes"));
        }
        let phase_text = self.record.change.as_ref().map_or("there is none".into(), |c| c.phase.to_string());
        let Some(change) = self.record.change.as_mut().filter(|c| !c.phase.has_ended()) else {
            return Err(RegistryError::WrongPhase(what, phase_text));
        };
        let id = change.id;
        match command(change) {
            true => self.push_event(id, format!("{what} by {by}"), now),
            false => return Err(RegistryError::WrongPhase(what, phase_text)),
        }
        Ok(())
    }

    /// Holds the running rollout for an operator.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn hold(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        self.command_running("held", by, expected, now, |c| c.hold(by, now))
    }

    /// Resumes a held rollout for an operator.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn resume(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        self.command_running("resumed", by, expected, now, Rollout::resume)
    }

    /// Rolls the running rollout back for an operator.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn roll_back(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        let roll_back = |c: &mut Rollout| {
            let is_not_rolled_back = c.phase.rollback_reason().is_none();
            c.begin_rollback(RollbackReason::Operator { by: by.to_owned() });
            is_not_rolled_back
        };
        self.command_running("rolled back", by, expected, now, roll_back)
    }

    /// Advances the rollout by at most one transition. Returns true if the record has changed and must be persisted before any member
    /// gets an assignment by it.
    pub fn step(&mut self, fleet: &[FleetView<'_>], verdict: &Verdict, now: Nanos) -> bool {
        let Some(change) = self.record.change.as_mut() else { return false };
        let (id, before) = (change.id, change.phase.clone());
        if !change.step(fleet, verdict, now) {
            return false;
        }
        let phase = change.phase.clone();
        if phase == Phase::Done {
            (self.record.holds, self.record.by) = (change.to, id);
        }
        match phase == before {
            true => self.record.revision += 1,
            false => self.push_event(id, phase.to_string(), now),
        }
        if phase.has_ended() {
            self.prune();
        }
        true
    }

    fn push_event(&mut self, change: u64, what: String, now: Nanos) {
        self.record.revision += 1;
        self.record.events.push_back(RolloutEvent { at: now, change, what });
        while self.record.events.len() > MAX_EVENTS {
            self.record.events.pop_front();
        }
    }

    /// Drops all config versions but the base and those that the record names.
    fn prune(&mut self) {
        let change = self.record.change.as_ref();
        let retained = [Some(self.record.holds), change.map(|c| c.from), change.map(|c| c.to)];
        let base = ConfigVersion::base().digest();
        let is_retained = |digest: &Digest| *digest == base || retained.contains(&Some(*digest));
        self.config_versions.retain(|digest, _| is_retained(digest));
        self.record.generations.retain(|digest, _| is_retained(digest));
    }
}
