//! The registry of rollouts: the version in force, the rollout that runs, and the event log.

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

/// Events that a record retains; the oldest are dropped first.
const MAX_EVENTS: usize = 500;

/// An operator's request to start a rollout.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// The complete settings to put into force; what they leave out is as in each proxy's own file.
    pub settings: Value,
    /// The plan.
    #[serde(default)]
    pub plan: PlanText,
    /// Who requests it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Displace a rollout that runs.
    #[serde(default)]
    pub displace: bool,
}

/// Why a request was rejected; nothing was changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RegistryError {
    /// The record has changed since the caller read it.
    #[error("the board is at revision {now}, not {expected}: look again, and ask again if it still is what you want")]
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
    /// Another rollout runs; there is at most one at a time.
    #[error("change {0} runs ({1}); wait for its end, take it back, or displace it")]
    Runs(u64, String),
    /// There is no baseline by which a fleet-wide problem could be recognised.
    #[error("how the fleet does is not known yet: ask again after some seconds of traffic, or displace to go on without")]
    Unwatched,
    /// The settings are in force already.
    #[error("generation {0:?} holds already")]
    Holds(Digest),
    /// The command is not possible in the present phase.
    #[error("no change can be {0} now: {1}")]
    Phase(&'static str, String),
}

/// An entry of the event log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvent {
    /// When, Unix time in nanoseconds.
    pub at: Nanos,
    /// Number of the rollout.
    pub change: u64,
    /// Description, for operators.
    pub what: String,
}

/// The stored record of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryRecord {
    /// Incremented by each change of the record.
    pub revision: u64,
    /// The number that the next rollout will get.
    pub next: u64,
    /// The version in force where no rollout says otherwise.
    pub holds: Digest,
    /// The number of the rollout that put it into force; 0: none did.
    pub by: u64,
    /// The last rollout, whether it runs or has ended.
    pub change: Option<Rollout>,
    /// The baseline before it.
    #[serde(default)]
    pub usual: Option<[f64; 2]>,
    /// Event log, the oldest entry first.
    pub events: VecDeque<RolloutEvent>,
    /// The documents of the config versions named in the record.
    pub generations: BTreeMap<Digest, Value>,
}

/// The registry of rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRegistry {
    record: RegistryRecord,
    generations: BTreeMap<Digest, ConfigVersion>,
}

impl Default for RolloutRegistry {
    fn default() -> Self {
        let base = ConfigVersion::base();
        let generations = BTreeMap::from([(base.digest(), base.clone())]);
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
        RolloutRegistry { record, generations }
    }
}

impl RolloutRegistry {
    /// Restores a registry from its stored record, under a new leader.
    ///
    /// # Errors
    /// The record contains a config version that this program cannot read.
    pub fn restore(mut record: RegistryRecord, now: Nanos) -> Result<Self, FieldError> {
        let mut generations = BTreeMap::new();
        for document in record.generations.values() {
            let generation = ConfigVersion::read(document)?;
            generations.insert(generation.digest(), generation);
        }
        if let Some(change) = &mut record.change {
            change.taken_over(now);
        }
        Ok(RolloutRegistry { record, generations })
    }

    /// The record to persist.
    pub fn record(&self) -> &RegistryRecord {
        &self.record
    }

    /// Whether any rollout was ever started; before that no member gets an assignment.
    pub fn begun(&self) -> bool {
        self.record.next > 1
    }

    /// The rollout that runs.
    pub fn running(&self) -> Option<&Rollout> {
        self.record.change.as_ref().filter(|c| !c.phase.over())
    }

    /// The version that a member is to apply, and the number of the rollout that assigned it.
    pub fn given(&self, name: &str) -> (u64, &ConfigVersion) {
        let running = self.running();
        let digest = running.map_or(self.record.holds, |c| c.given(name));
        let by = running.map_or(self.record.by, |c| c.id);
        // The versions named in the record are retained.
        let generation = self.generations.get(&digest).or(self.generations.values().next());
        (by, generation.unwrap_or_else(|| unreachable!("the base is always kept")))
    }

    /// A config version that the record names.
    pub fn generation(&self, digest: &Digest) -> Option<&ConfigVersion> {
        self.generations.get(digest)
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
        let generation = ConfigVersion::read(&request.settings)?;
        let plan = Plan::try_from(request.plan.clone())?;
        if request.author.trim().is_empty() || request.author.len() > 200 {
            return Err(RegistryError::Field("author", "who asks, in 200 characters at most"));
        }
        if request.reason.trim().is_empty() || request.reason.len() > 1000 {
            return Err(RegistryError::Field("reason", "why, in 1000 characters at most"));
        }
        match self.running() {
            Some(change) if !request.displace => {
                Err(RegistryError::Runs(change.id, change.phase.to_string()))
            }
            None if generation.digest() == self.record.holds => {
                Err(RegistryError::Holds(generation.digest()))
            }
            _ => Ok((generation, plan)),
        }
    }

    fn check_revision(&self, expected: Option<u64>) -> Result<(), RegistryError> {
        let now = self.record.revision;
        match expected {
            Some(expected) if expected != now => Err(RegistryError::Changed { expected, now }),
            _ => Ok(()),
        }
    }

    /// Starts a rollout. Returns the names of the members that a displaced rollout leaves behind: they go back at once, without stages.
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
        let (generation, plan) = self.check(&request, expected)?;
        // Danger: a rollout that starts during a fleet-wide problem, or before anything was observed, has no guard against one.
        if usual.is_none() && !request.displace {
            return Err(RegistryError::Unwatched);
        }
        let (id, from, to) = (self.record.next, self.record.holds, generation.digest());
        let mut left_behind = Vec::new();
        if let Some(running) = self.record.change.as_mut().filter(|c| !c.phase.over()) {
            left_behind = running.moved.keys().chain(running.returned.keys()).cloned().collect();
            let (number, why) = (running.id, RollbackReason::Displaced { by: id });
            running.phase = Phase::GoneBack { why };
            self.push_event(
                number,
                format!(
                    "displaced by change {id}; {} proxies are left to go back at once",
                    left_behind.len()
                ),
                now,
            );
        }
        self.record.next += 1;
        self.record.generations.insert(to, generation.document());
        self.generations.insert(to, generation);
        let RolloutRequest { author, reason, .. } = request;
        self.push_event(id, format!("{author} begins: {reason}"), now);
        self.record.change = Some(Rollout::new(id, (from, to), plan, (author, reason), now));
        self.record.usual = usual;
        self.prune();
        Ok(left_behind)
    }

    /// Applies an operator's command to the rollout that runs. `command` returns false if it is not possible in the present phase.
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
            return Err(RegistryError::Field("by", "who asks, in 200 characters at most"));
        }
        let phase_text = self.record.change.as_ref().map_or("there is none".into(), |c| c.phase.to_string());
        let Some(change) = self.record.change.as_mut().filter(|c| !c.phase.over()) else {
            return Err(RegistryError::Phase(what, phase_text));
        };
        let id = change.id;
        match command(change) {
            true => self.push_event(id, format!("{what} by {by}"), now),
            false => return Err(RegistryError::Phase(what, phase_text)),
        }
        Ok(())
    }

    /// Holds the rollout for an operator.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn hold(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        self.command_running("held", by, expected, now, |c| c.hold(by, now))
    }

    /// Resumes the rollout for an operator.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn resume(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        self.command_running("resumed", by, expected, now, Rollout::resume)
    }

    /// Rolls back for an operator.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub fn back(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        let roll_back = |c: &mut Rollout| {
            let is_forward = c.phase.back().is_none();
            c.go_back(RollbackReason::Operator { by: by.to_owned() });
            is_forward
        };
        self.command_running("taken back", by, expected, now, roll_back)
    }

    /// Advances the rollout by one transition at most; returns true if the record has to be persisted before members are assigned.
    pub fn step(&mut self, seen: &[FleetView<'_>], verdict: &Verdict, now: Nanos) -> bool {
        let Some(change) = self.record.change.as_mut() else { return false };
        let (id, before) = (change.id, change.phase.clone());
        if !change.step(seen, verdict, now) {
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
        if phase.over() {
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

    /// Retains the config versions that the record names, and the base.
    fn prune(&mut self) {
        let change = self.record.change.as_ref();
        let names = [Some(self.record.holds), change.map(|c| c.from), change.map(|c| c.to)];
        let base = ConfigVersion::base().digest();
        let is_named = |digest: &Digest| *digest == base || names.contains(&Some(*digest));
        self.generations.retain(|digest, _| is_named(digest));
        self.record.generations.retain(|digest, _| is_named(digest));
    }
}
