//! The record of all changes: what holds, the change that runs, and what happened.

use crate::plan::{Plan, PlanError, PlanText};
use crate::state_machine::{FleetView, Phase, RollbackReason, Rollout, Verdict};
use crate::Nanos;
use rushquay_config_version::{ConfigVersion, Digest, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Events that are remembered.
const EVENTS: usize = 500;

/// What an operator asks for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// The settings that are to hold, whole: what stands in none of them is as each proxy's file says.
    pub settings: Value,
    /// In which stages.
    #[serde(default)]
    pub plan: PlanText,
    /// Who asks.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Take the place of a change that runs.
    #[serde(default)]
    pub displace: bool,
}

/// Why nothing was changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RegistryError {
    /// Somebody else changed something since.
    #[error("the board is at revision {now}, not {expected}: look again, and ask again if it still is what you want")]
    Changed {
        /// What was expected.
        expected: u64,
        /// What it is.
        now: u64,
    },
    /// A field of the settings.
    #[error("{0}")]
    Settings(#[from] FieldError),
    /// A field of the plan.
    #[error("plan.{0}")]
    Plan(#[from] PlanError),
    /// A field that is missing.
    #[error("{0}: expected {1}")]
    Field(&'static str, &'static str),
    /// One change at a time.
    #[error("change {0} runs ({1}); wait for its end, take it back, or displace it")]
    Runs(u64, String),
    /// A trouble could not be told from the usual.
    #[error("how the fleet does is not known yet: ask again after some seconds of traffic, or displace to go on without")]
    Unwatched,
    /// Nothing to change.
    #[error("generation {0:?} holds already")]
    Holds(Digest),
    /// It can't be done in this phase.
    #[error("no change can be {0} now: {1}")]
    Phase(&'static str, String),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvent {
    /// When, Unix time in nanoseconds.
    pub at: Nanos,
    /// The change.
    pub change: u64,
    /// What.
    pub what: String,
}

/// What is kept of the board, in one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryRecord {
    /// Counts up with each change of the record.
    pub revision: u64,
    /// The number of the next change.
    pub next: u64,
    /// What holds where no change says otherwise.
    pub holds: Digest,
    /// The number of the change that made it hold; 0: none did.
    pub by: u64,
    /// The last change, whether it runs or is over.
    pub change: Option<Rollout>,
    /// How the fleet did before it.
    #[serde(default)]
    pub usual: Option<[f64; 2]>,
    /// What happened, the oldest first.
    pub events: VecDeque<RolloutEvent>,
    /// The documents of the generations that are named here.
    pub generations: BTreeMap<Digest, Value>,
}

/// The board.
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
    /// Goes on from what was kept, under another leader.
    ///
    /// # Errors
    /// A generation in it that this program does not read.
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

    /// What is to be kept.
    pub fn record(&self) -> &RegistryRecord {
        &self.record
    }

    /// Whether a change was ever begun; before that nobody is told what holds.
    pub fn begun(&self) -> bool {
        self.record.next > 1
    }

    /// The change that runs.
    pub fn running(&self) -> Option<&Rollout> {
        self.record.change.as_ref().filter(|c| !c.phase.over())
    }

    /// What an instance is to act by, and the change that says so.
    pub fn given(&self, name: &str) -> (u64, &ConfigVersion) {
        let running = self.running();
        let digest = running.map_or(self.record.holds, |c| c.given(name));
        let by = running.map_or(self.record.by, |c| c.id);
        // What is named here is kept here.
        let generation = self.generations.get(&digest).or(self.generations.values().next());
        (by, generation.unwrap_or_else(|| unreachable!("the base is always kept")))
    }

    /// A generation that something here names.
    pub fn generation(&self, digest: &Digest) -> Option<&ConfigVersion> {
        self.generations.get(digest)
    }

    /// What an operator asks for, checked: nothing is changed by it.
    ///
    /// # Errors
    /// See [`BoardRefusal`].
    pub fn check(
        &self,
        ask: &RolloutRequest,
        expected: Option<u64>,
    ) -> Result<(ConfigVersion, Plan), RegistryError> {
        self.expect(expected)?;
        let generation = ConfigVersion::read(&ask.settings)?;
        let plan = Plan::try_from(ask.plan.clone())?;
        if ask.author.trim().is_empty() || ask.author.len() > 200 {
            return Err(RegistryError::Field("author", "who asks, in 200 characters at most"));
        }
        if ask.reason.trim().is_empty() || ask.reason.len() > 1000 {
            return Err(RegistryError::Field("reason", "why, in 1000 characters at most"));
        }
        match self.running() {
            Some(change) if !ask.displace => Err(RegistryError::Runs(change.id, change.phase.to_string())),
            None if generation.digest() == self.record.holds => {
                Err(RegistryError::Holds(generation.digest()))
            }
            _ => Ok((generation, plan)),
        }
    }

    fn expect(&self, expected: Option<u64>) -> Result<(), RegistryError> {
        let now = self.record.revision;
        match expected {
            Some(expected) if expected != now => Err(RegistryError::Changed { expected, now }),
            _ => Ok(()),
        }
    }

    /// Begins a change. Returns the names of those that a change that it displaces leaves behind: they go back at once, in no
    /// stages.
    ///
    /// # Errors
    /// See [`BoardRefusal`]; nothing is changed.
    pub fn start(
        &mut self,
        ask: RolloutRequest,
        expected: Option<u64>,
        usual: Option<[f64; 2]>,
        now: Nanos,
    ) -> Result<Vec<String>, RegistryError> {
        let (generation, plan) = self.check(&ask, expected)?;
        // Danger: begun in the midst of a trouble, or before anything was seen, a change has no guard against one.
        if usual.is_none() && !ask.displace {
            return Err(RegistryError::Unwatched);
        }
        let (id, from, to) = (self.record.next, self.record.holds, generation.digest());
        let mut left = Vec::new();
        if let Some(running) = self.record.change.as_mut().filter(|c| !c.phase.over()) {
            left = running.moved.keys().chain(running.returned.keys()).cloned().collect();
            let (number, why) = (running.id, RollbackReason::Displaced { by: id });
            running.phase = Phase::GoneBack { why };
            self.tell(
                number,
                format!("displaced by change {id}; {} proxies are left to go back at once", left.len()),
                now,
            );
        }
        self.record.next += 1;
        self.record.generations.insert(to, generation.document());
        self.generations.insert(to, generation);
        let RolloutRequest { author, reason, .. } = ask;
        self.tell(id, format!("{author} begins: {reason}"), now);
        self.record.change = Some(Rollout::new(id, (from, to), plan, (author, reason), now));
        self.record.usual = usual;
        self.prune();
        Ok(left)
    }

    /// Does something with the change that runs.
    fn with(
        &mut self,
        what: &'static str,
        by: &str,
        expected: Option<u64>,
        now: Nanos,
        does: impl FnOnce(&mut Rollout) -> bool,
    ) -> Result<(), RegistryError> {
        self.expect(expected)?;
        if by.trim().is_empty() || by.len() > 200 {
            return Err(RegistryError::Field("by", "who asks, in 200 characters at most"));
        }
        let stands = self.record.change.as_ref().map_or("there is none".into(), |c| c.phase.to_string());
        let Some(change) = self.record.change.as_mut().filter(|c| !c.phase.over()) else {
            return Err(RegistryError::Phase(what, stands));
        };
        let id = change.id;
        match does(change) {
            true => self.tell(id, format!("{what} by {by}"), now),
            false => return Err(RegistryError::Phase(what, stands)),
        }
        Ok(())
    }

    /// An operator holds the change.
    ///
    /// # Errors
    /// See [`BoardRefusal`].
    pub fn hold(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        self.with("held", by, expected, now, |c| c.hold(by, now))
    }

    /// An operator lets it go on.
    ///
    /// # Errors
    /// See [`BoardRefusal`].
    pub fn resume(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        self.with("resumed", by, expected, now, Rollout::resume)
    }

    /// An operator takes it back.
    ///
    /// # Errors
    /// See [`BoardRefusal`].
    pub fn back(&mut self, by: &str, expected: Option<u64>, now: Nanos) -> Result<(), RegistryError> {
        let forward = |c: &mut Rollout| {
            let forward = c.phase.back().is_none();
            c.go_back(RollbackReason::Operator { by: by.to_owned() });
            forward
        };
        self.with("taken back", by, expected, now, forward)
    }

    /// Moves the change on by one step at the most; true if something is to be kept before anybody is told.
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
            false => self.tell(id, phase.to_string(), now),
        }
        if phase.over() {
            self.prune();
        }
        true
    }

    fn tell(&mut self, change: u64, what: String, now: Nanos) {
        self.record.revision += 1;
        self.record.events.push_back(RolloutEvent { at: now, change, what });
        while self.record.events.len() > EVENTS {
            self.record.events.pop_front();
        }
    }

    /// Keeps the generations that something names, and the base.
    fn prune(&mut self) {
        let change = self.record.change.as_ref();
        let named = [Some(self.record.holds), change.map(|c| c.from), change.map(|c| c.to)];
        let base = ConfigVersion::base().digest();
        let keeps = |digest: &Digest| *digest == base || named.contains(&Some(*digest));
        self.generations.retain(|digest, _| keeps(digest));
        self.record.generations.retain(|digest, _| keeps(digest));
    }
}
