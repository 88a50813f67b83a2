//! Changes of policy, driven: proxies ask for leave, the coordinator decides, each step is kept, and only then told
//! (`docs/design-policy.md`).

use crate::persistence::{PersistError, PersistFailure, Records};
use crate::shared::{CommandError, Shared};
use rushquay_policy::{
    Coordinator, FallbackPolicy, Incarnation, LeaseRequest, Policy, PolicyArchive, PolicyBroadcast,
    PolicyNumber, PolicyRecord, PolicySet, RecordError, Revision,
};
use rushquay_state::RecordWrite;
use rushquay_xds::client::{Outage, Topic};
use rushquay_xds_grpc::StreamEvent;
use rushquay_xds_resources::{declare_text, policy_lease_name, remove_text, POLICY_RESOURCE};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

mod error;
mod history;
mod settings;
mod view;

pub use error::PolicyCommandError;
use history::PolicyHistory;
pub use settings::PolicySettings;

/// The record of what holds.
const HOLDS: &str = "policy/holds";
/// Records of policies are named so, by number.
const POLICIES: &str = "policy/number/";
/// Records of how proxies acted are named so.
const ACTED: &str = "policy/acted/";
/// Revisions whose times are kept.
const STOOD: usize = 500;
/// Records of proxies that are kept in one write, and so often at the most. Danger: a fleet that moves at once would hold the store, and
/// the lease with it.
const KEPT_MOST: usize = 500;
const KEPT_EVERY: u64 = 1_000_000_000;
/// Asks that wait for the next look. Danger: a peer that asks without end would fill the memory.
const ASKS_MOST: usize = 100_000;

type Nanos = u64;

/// What an operator proposes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Settings that are laid over each proxy's own.
    pub settings: Value,
    /// What holds for who has no leave; left out: that of the policy that holds.
    #[serde(default)]
    pub floor: Option<Value>,
    /// Who proposes it.
    #[serde(default)]
    pub author: String,
    /// Why.
    #[serde(default)]
    pub reason: String,
    /// Go on from a store that was lost or set back: behind all that was ever told.
    #[serde(default)]
    pub anew: bool,
}

/// Since when the record has stood at a revision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Stood {
    /// Unix time in nanoseconds.
    at: Nanos,
    told: PolicySet,
}

/// What is kept of the record.
#[derive(Clone, Serialize, Deserialize)]
struct Kept {
    record: PolicyRecord,
    /// By revision, those of the last while.
    stood: BTreeMap<u64, Stood>,
}

struct State {
    coordinator: Coordinator,
    shelf: PolicyArchive,
    stood: BTreeMap<u64, Stood>,
    /// What proxies have asked since the last look.
    asks: Vec<(String, LeaseRequest)>,
    /// The revision that was told to all.
    told: Option<Revision>,
    /// Leaves that are declared.
    leaves: BTreeSet<(String, Incarnation)>,
    acted: PolicyHistory,
    /// Why nothing is decided and nobody has leave; `None`: it is and they have.
    fault: Option<String>,
    /// Who was waited for when it was last looked.
    held_up: BTreeSet<String>,
    outage: Outage,
    /// A write of the record failed: what stands in the store is not known until it is written again.
    doubtful: bool,
}

/// Policies and who may act by them.
pub struct PolicyController {
    settings: PolicySettings,
    state: Mutex<State>,
    /// One decision at a time: it is made, kept, and only then known. Locked before `state`.
    turn: Mutex<()>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What was kept; why it can't be read.
fn read(records: &Records) -> Result<(Kept, BTreeMap<PolicyNumber, Policy>, PolicyHistory), String> {
    let kept = match records.get(HOLDS) {
        None => Kept { record: PolicyRecord::default(), stood: BTreeMap::new() },
        Some(told) => Kept::deserialize(told).map_err(|e| format!("{HOLDS}: {e}"))?,
    };
    let mut policies = BTreeMap::new();
    for (name, told) in records.iter() {
        let Some(number) = name.strip_prefix(POLICIES) else { continue };
        let number = number.parse().map_err(|_| format!("{name}: expected a number"))?;
        policies.insert(PolicyNumber(number), Policy::read(told).map_err(|e| format!("{name}: {e}"))?);
    }
    if let Some(missing) =
        kept.record.policy_set().numbers().find(|n| *n != PolicyNumber(0) && !policies.contains_key(n))
    {
        return Err(format!("policy {} holds and is not there", missing.0));
    }
    let acted = records.iter().filter_map(|(name, told)| Some((name.strip_prefix(ACTED)?, told)));
    Ok((kept, policies, PolicyHistory::restore(acted)))
}

impl PolicyController {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        let terms = settings.terms();
        let state = State {
            coordinator: Coordinator::lead(terms, PolicyRecord::default(), 0),
            shelf: PolicyArchive::lead(BTreeMap::new(), FallbackPolicy::Nobody, &PolicyRecord::default(), 0),
            stood: BTreeMap::new(),
            asks: Vec::new(),
            told: None,
            leaves: BTreeSet::new(),
            acted: PolicyHistory::default(),
            fault: Some("this instance has not led yet".into()),
            held_up: BTreeSet::new(),
            outage: Outage::default(),
            doubtful: false,
        };
        PolicyController { settings, state: Mutex::new(state), turn: Mutex::new(()) }
    }

    pub(crate) fn every(&self) -> Duration {
        Duration::from_millis(self.settings.look_ms)
    }

    /// Goes on from what was kept, under this leader.
    pub(crate) fn lead(&self, records: &Records, shared: &Shared) {
        let _turn = lock(&self.turn);
        let now = shared.clock.steady();
        let state = &mut *lock(&self.state);
        (state.told, state.leaves, state.asks) = (None, BTreeSet::new(), Vec::new());
        match read(records) {
            Ok((kept, policies, acted)) => {
                // It was checked with the settings.
                let floor = FallbackPolicy::read(&self.settings.floor).unwrap_or(FallbackPolicy::Nobody);
                state.shelf = PolicyArchive::lead(policies, floor, &kept.record, now);
                state.coordinator = Coordinator::lead(self.settings.terms(), kept.record, now);
                (state.stood, state.acted, state.fault) = (kept.stood, acted, None);
                state.doubtful = false;
                let record = state.coordinator.record();
                info!(revision = record.revision.0, told = ?record.policy_set(), "leading policies on");
            }
            // Danger: begun anew, nobody would know what was decided.
            Err(why) => {
                warn!(fault = %why, "the record of policies can't be read: nobody has leave");
                state.fault = Some(format!(
                    "the record of policies can't be read: {why}; use the version that wrote it"
                ));
            }
        }
    }

    pub(crate) fn step_down(&self) {
        let state = &mut *lock(&self.state);
        state.fault = Some("another instance leads".into());
        state.asks.clear();
    }

    /// The policy that is proposed and not decided.
    pub(crate) fn undecided(&self) -> Option<PolicyNumber> {
        lock(&self.state).coordinator.record().policy_set().numbers().nth(1)
    }

    /// A proxy says something; it is answered at the next look.
    pub(crate) fn hear(&self, node: &str, word: &StreamEvent) {
        let StreamEvent::Metadata(_, Topic::PolicyLease, text) = word else { return };
        match LeaseRequest::read(text) {
            Ok(ask) => {
                let state = &mut *lock(&self.state);
                if state.fault.is_none() && state.asks.len() < ASKS_MOST {
                    state.asks.push((node.to_owned(), ask));
                }
            }
            Err(e) => warn!(proxy = node, fault = %e, "an ask for leave is not taken"),
        }
    }

    /// Decides what can be decided, keeps it, and answers who has asked. It waits for the disk.
    pub(crate) fn tick(&self, shared: &Shared) {
        let _turn = lock(&self.turn);
        if !shared.holds_valid_lease() || lock(&self.state).fault.is_some() {
            return;
        }
        let now = shared.clock.steady();
        let (decided, useless) = {
            let state = &mut *lock(&self.state);
            state.told_of_holdups(now);
            let useless = state.shelf.useless(state.coordinator.record(), &self.settings.terms(), now);
            (state.coordinator.step(now), useless)
        };
        if let Some(record) = decided {
            // Danger: where the store takes nothing, a decision waits; leaves for what holds go on all the same.
            let _ = self.keep(shared, record, None);
        }
        self.keep_in_doubt(shared);
        if !useless.is_empty() {
            let gone = useless.iter().map(|n| format!("{POLICIES}{}", n.0)).collect();
            if shared.persist_records(&RecordWrite { set: BTreeMap::new(), gone }).is_ok() {
                lock(&self.state).shelf.forget(&useless);
            }
        }
        self.answer(shared);
        self.keep_acted(shared);
    }

    /// Keeps a record, and the policy that is new in it. Only then it counts. Danger: told first, a decision would be known to proxies and
    /// to no successor.
    fn keep(&self, shared: &Shared, record: PolicyRecord, new: Option<Policy>) -> Result<(), CommandError> {
        let number = record.policy_set().numbers().nth(1);
        let mut stood = lock(&self.state).stood.clone();
        stood.insert(record.revision.0, Stood { at: shared.unix_now(), told: record.policy_set() });
        while stood.len() > STOOD {
            stood.pop_first();
        }
        let kept = Kept { record, stood };
        let written = serde_json::to_value(&kept).unwrap_or_default();
        let mut set = BTreeMap::from([(HOLDS.to_owned(), written)]);
        if let (Some(policy), Some(number)) = (&new, number) {
            set.insert(format!("{POLICIES}{}", number.0), policy.document());
        }
        if let Err(e) = shared.persist_records(&RecordWrite { set, gone: Vec::new() }) {
            return Err(self.not_kept(shared, &e));
        }
        // Danger: its lease may have ended meanwhile, and another have decided already on what it found. What was kept is its to tell.
        if !shared.holds_valid_lease() {
            return Err(CommandError::NotPersisted(
                "this instance leads no longer; ask the one that does how it stands".into(),
            ));
        }
        let now = shared.clock.steady();
        let state = &mut *lock(&self.state);
        state.outage.over();
        state.doubtful = false;
        if let (Some(policy), Some(number)) = (new, number) {
            state.shelf.put(number, policy);
        }
        let event = kept.record.events.back().map_or("", |e| e.what.as_str()).to_owned();
        info!(revision = kept.record.revision.0, told = ?kept.record.policy_set(), event, "the record of policies moves on");
        state.shelf.moved(&kept.record);
        state.coordinator.kept(kept.record, now);
        state.stood = kept.stood;
        state.tell(shared);
        Ok(())
    }

    /// Something is not kept, or may be. Danger: taken for not kept, a decision that stands in the store could be decided once more, the
    /// other way.
    fn not_kept(&self, shared: &Shared, e: &PersistError) -> CommandError {
        {
            let state = &mut *lock(&self.state);
            if let Some(n) = state.outage.failed(&e.why) {
                warn!(fault = %e.why, failure = n, "a step of a change of policy is not kept");
            }
            state.doubtful = matches!(e.failure, PersistFailure::Unsure | PersistFailure::Failed);
        }
        if e.failure == PersistFailure::Unsure {
            shared.relinquish_leadership();
        }
        CommandError::not_persisted(e)
    }

    /// Writes the record that holds once more where a write of another failed: nobody was told of that one.
    fn keep_in_doubt(&self, shared: &Shared) {
        let kept = {
            let state = lock(&self.state);
            let record = || Kept { record: state.coordinator.record().clone(), stood: state.stood.clone() };
            state.doubtful.then(record)
        };
        let Some(kept) = kept else { return };
        let written = serde_json::to_value(&kept).unwrap_or_default();
        let set = BTreeMap::from([(HOLDS.to_owned(), written)]);
        // What is not kept is tried again at the next look.
        if shared.persist_records(&RecordWrite { set, gone: Vec::new() }).is_ok() {
            let state = &mut *lock(&self.state);
            state.outage.over();
            state.doubtful = false;
        }
    }

    /// Answers who has asked.
    fn answer(&self, shared: &Shared) {
        let state = &mut *lock(&self.state);
        if !shared.hub.store().is_open() {
            return;
        }
        state.tell(shared);
        let (wall, asks) = (shared.unix_now(), std::mem::take(&mut state.asks));
        let mut texts = Vec::new();
        // Danger: a process that was stopped since the look began would give leave that no successor knows of.
        let now = shared.clock.steady();
        if !shared.holds_valid_lease() {
            return;
        }
        for (name, ask) in asks {
            state.acted.heard(&name, ask.boot, ask.acting, wall);
            let Some(grant) = state.coordinator.hear(&name, &ask, now) else { continue };
            state.shelf.granted(&name, &ask, state.coordinator.record(), now);
            texts.push((policy_lease_name(&name, ask.boot.0), grant.text()));
            state.leaves.insert((name, ask.boot));
        }
        let there: BTreeSet<(String, Incarnation)> =
            state.coordinator.members().map(|(name, boot, _)| (name.to_owned(), boot)).collect();
        let gone: Vec<(String, Incarnation)> = state.leaves.difference(&there).cloned().collect();
        for one in &gone {
            state.leaves.remove(one);
            state.acted.gone(&one.0, one.1, wall);
        }
        if texts.is_empty() && gone.is_empty() {
            return;
        }
        shared.hub.change(|store, at| {
            for (name, text) in &texts {
                declare_text(store, name, text, at);
            }
            for (name, boot) in &gone {
                remove_text(store, &policy_lease_name(name, boot.0), at);
            }
        });
    }

    /// Keeps how proxies acted. It is for people alone: what is not kept is tried again.
    fn keep_acted(&self, shared: &Shared) {
        let (set, names) = {
            let state = &mut *lock(&self.state);
            let due = state.acted.due(shared.clock.steady(), KEPT_EVERY, KEPT_MOST);
            let set = due.iter().map(|(name, told)| (format!("{ACTED}{name}"), told.clone())).collect();
            (set, due.into_iter().map(|(name, _)| name).collect::<Vec<_>>())
        };
        if !names.is_empty() && shared.persist_records(&RecordWrite { set, gone: Vec::new() }).is_err() {
            lock(&self.state).acted.again(names);
        }
    }

    /// Proposes a policy; gives its number and the record's revision.
    pub(crate) fn propose(
        &self,
        shared: &Shared,
        ask: &Proposal,
        expected: Option<u64>,
    ) -> Result<(Value, u64), CommandError> {
        let _begins = lock(&shared.change_lock);
        let _turn = lock(&self.turn);
        self.must(shared)?;
        if let Some(change) = shared.rollout.as_ref().and_then(|r| r.running()) {
            return Err(PolicyCommandError::RolloutRuns(change).into());
        }
        let (record, policy, body) = self.fit(shared, ask, expected)?;
        let (number, revision) = (record.policy_set().numbers().nth(1), record.revision.0);
        self.keep(shared, record, Some(policy))?;
        let mut body = body;
        body["policy"] = json!(number);
        body["revision"] = json!(revision);
        Ok((body, revision))
    }

    /// Ends the change under way without it.
    pub(crate) fn withdraw(
        &self,
        shared: &Shared,
        by: &str,
        expected: Option<u64>,
    ) -> Result<(Value, u64), CommandError> {
        let _turn = lock(&self.turn);
        self.must(shared)?;
        let record = {
            let state = lock(&self.state);
            state.whole()?;
            state.coordinator.record().withdraw(by, expected.map(Revision))
        };
        let record = record.map_err(PolicyCommandError::from)?;
        let revision = record.revision.0;
        self.keep(shared, record, None)?;
        Ok((json!({"revision": revision}), revision))
    }

    /// What would become of a proposal, now.
    pub(crate) fn diff(
        &self,
        shared: &Shared,
        ask: &Proposal,
        expected: Option<u64>,
    ) -> Result<(Value, u64), CommandError> {
        self.must(shared)?;
        // Nobody proposes it yet.
        let nobody = || "nobody".to_owned();
        let ask = &Proposal { author: nobody(), reason: nobody(), ..ask.clone() };
        let (record, _, body) = self.fit(shared, ask, expected)?;
        Ok((body, record.revision.0 - 1))
    }

    fn must(&self, shared: &Shared) -> Result<(), CommandError> {
        shared.require_leadership()?;
        match &lock(&self.state).fault {
            Some(fault) => Err(CommandError::NotPersisted(fault.clone())),
            None => Ok(()),
        }
    }

    /// The record with this proposed, the policy, and what it comes to.
    fn fit(
        &self,
        shared: &Shared,
        ask: &Proposal,
        expected: Option<u64>,
    ) -> Result<(PolicyRecord, Policy, Value), CommandError> {
        let now = shared.clock.steady();
        let state = lock(&self.state);
        let record = state.coordinator.record();
        let terms = self.settings.terms();
        let policy = state
            .shelf
            .fit(&ask.settings, ask.floor.as_ref(), (record, &terms), now)
            .map_err(PolicyCommandError::from)?;
        // Where proxies tell of themselves, a class that none has is a mistake that need not be tried on all of them.
        let known = shared.rollout.as_ref().map(|r| r.classes()).unwrap_or_default();
        let named = policy.settings.document();
        let named = named["categories"].as_array().into_iter().flatten().filter_map(|c| c["name"].as_str());
        if let Some(unknown) = named.into_iter().find(|n| !known.is_empty() && !known.contains(*n)) {
            let known: Vec<String> = known.iter().cloned().collect();
            return Err(PolicyCommandError::Class(unknown.into(), known.join(", ")).into());
        }
        let body = state.compared(record.holds, &policy);
        let next = state.base(ask.anew, now)?;
        // What was expected is what the store says.
        if let Some(expected) = expected.filter(|e| *e != record.revision.0) {
            return Err(
                PolicyCommandError::from(RecordError::Changed { expected, now: record.revision.0 }).into()
            );
        }
        let next = next.propose((&ask.author, &ask.reason), None).map_err(PolicyCommandError::from)?;
        Ok((next, policy, body))
    }
}

impl State {
    /// Whether the store knows all that was ever told.
    fn whole(&self) -> Result<(), PolicyCommandError> {
        let stands = self.coordinator.record().revision.0;
        match self.coordinator.behind() {
            Some((who, heard)) => Err(PolicyCommandError::Behind { stands, who: who.into(), heard: heard.0 }),
            None => Ok(()),
        }
    }

    /// The record that a proposal goes on from.
    fn base(&self, anew: bool, now: Nanos) -> Result<PolicyRecord, PolicyCommandError> {
        let record = self.coordinator.record();
        let Some((_, heard)) = self.coordinator.behind() else {
            return if anew { Err(PolicyCommandError::Whole) } else { Ok(record.clone()) };
        };
        if !anew {
            self.whole()?;
        }
        // Danger: told something else while a leave for what is lost runs, two would hold at once.
        match self.coordinator.alone_from() {
            at if now <= at => Err(PolicyCommandError::TooSoon((at - now).div_ceil(1_000_000_000).max(1))),
            _ => Ok(record.resumed_after(heard)),
        }
    }

    /// Tells all what holds, if they were not told.
    fn tell(&mut self, shared: &Shared) {
        let record = self.coordinator.record();
        if self.told == Some(record.revision) || !shared.hub.store().is_open() || !shared.holds_valid_lease()
        {
            return;
        }
        let named = record.policy_set().numbers();
        let policies = named.filter_map(|n| Some((n, self.shelf.get(n)?.clone()))).collect();
        let holding = PolicyBroadcast { revision: record.revision, told: record.policy_set(), policies };
        shared.hub.change(|store, at| declare_text(store, POLICY_RESOURCE, &holding.text(), at));
        self.told = Some(record.revision);
    }

    /// Names in the log who holds a change up, when that changes.
    fn told_of_holdups(&mut self, now: Nanos) {
        if self.coordinator.record().policy_set().numbers().nth(1).is_none() {
            self.held_up.clear();
            return;
        }
        let names: BTreeSet<String> =
            self.coordinator.holdups(now).into_iter().map(|h| view::holdup_name(&h.name)).collect();
        if names != self.held_up {
            let list: Vec<&str> = names.iter().map(String::as_str).take(20).collect();
            info!(waits_for = names.len(), names = list.join(", "), "a change of policy waits");
            self.held_up = names;
        }
    }
}
