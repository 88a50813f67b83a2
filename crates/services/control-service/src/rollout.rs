//! Changes in stages, driven: reports come in, the board decides, each step is kept, and then handed out.

use crate::persistence::{PersistError, PersistFailure, Records};
use crate::shared::{CommandError, Shared};
use rushquay_config_version::{ConfigAssignment, Digest};
use rushquay_membership::{
    Member, MemberRecord, MemberStatus, Membership, MembershipTimeouts, Report, ReportOutcome, SECOND,
};
use rushquay_rollout::{
    preview, Analysis, Bounds, FleetView, HoldReason, Phase, RegistryError, RegistryRecord, RolloutRegistry,
    RolloutRequest, Timeline, Verdict,
};
use rushquay_state::RecordWrite;
use rushquay_supervisor::SupervisorReport;
use rushquay_xds::client::{Outage, Topic};
use rushquay_xds_grpc::StreamEvent;
use rushquay_xds_resources::{declare_settings, remove_settings};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

mod view;

/// The record of the board.
const BOARD: &str = "rollout/board";
/// Hosts name themselves so, before the name of their proxy.
pub(crate) const HOST: &str = "host/";
/// Records of instances are named so.
const ROSTER: &str = "roster/";
/// Instances kept in one write. Danger: a fleet that comes back at once would hold the store, and the lease with it.
const KEPT_MOST: usize = 500;

type Nanos = u64;

/// `[rollout]` of the settings file: its presence has the service follow proxies and take changes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// A proxy heard within so many seconds serves.
    pub late_s: f64,
    /// Its next process comes within so many.
    pub restart_s: f64,
    /// Gone for so many it is forgotten.
    pub retire_s: f64,
    /// Proxies known at once.
    pub most: usize,
    /// The fleet is looked at so often, in milliseconds, 100 to 60000.
    pub look_ms: u64,
    /// The chance that a change that is no worse is stopped.
    pub alpha: f64,
    /// The chance that a stage passes whose new are worse than allowed.
    pub beta: f64,
    /// Bad ends may be so many times those of the old...
    pub times: f64,
    /// ...and such a part of all beyond that.
    pub beyond: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        let (terms, bounds) = (MembershipTimeouts::default(), Bounds::default());
        let seconds = |span: Nanos| span as f64 / SECOND as f64;
        RolloutSettings {
            late_s: seconds(terms.late),
            restart_s: seconds(terms.restart),
            retire_s: seconds(terms.retire),
            most: terms.most,
            look_ms: 1000,
            alpha: bounds.alpha,
            beta: bounds.beta,
            times: bounds.times,
            beyond: bounds.beyond,
        }
    }
}

impl RolloutSettings {
    /// What a field is expected to hold, where one holds something else.
    pub(crate) fn fault(&self) -> Option<(&'static str, String)> {
        let spans = [("late_s", self.late_s), ("restart_s", self.restart_s), ("retire_s", self.retire_s)];
        let span = spans.into_iter().find(|(_, s)| !(0.1..=2_592_000.0).contains(s));
        let span = span.map(|(name, s)| (name, format!("seconds from 0.1 to 2592000, found {s}")));
        let chances = [("alpha", self.alpha), ("beta", self.beta)];
        let chance = chances.into_iter().find(|(_, c)| !(1e-9..=0.5).contains(c));
        let chance = chance.map(|(name, c)| (name, format!("a chance from 1e-9 to 0.5, found {c}")));
        let times =
            (!(1.0..=100.0).contains(&self.times)).then(|| ("times", "a number from 1 to 100".into()));
        let beyond = (!(0.0..=1.0).contains(&self.beyond)).then(|| ("beyond", "a part from 0 to 1".into()));
        let most = (!(1..=1_000_000).contains(&self.most)).then(|| ("most", "1 to 1000000".into()));
        let look = (!(100..=60_000).contains(&self.look_ms)).then(|| ("look_ms", "100 to 60000".into()));
        span.or(chance).or(times).or(beyond).or(most).or(look)
    }

    /// The fleet is looked at so often.
    pub(crate) fn every(&self) -> Duration {
        Duration::from_millis(self.look_ms)
    }

    fn terms(&self) -> MembershipTimeouts {
        let nanos = |seconds: f64| (seconds * SECOND as f64) as Nanos;
        let (late, restart, retire) = (nanos(self.late_s), nanos(self.restart_s), nanos(self.retire_s));
        MembershipTimeouts { late, restart, retire, most: self.most }
    }

    fn bounds(&self) -> Bounds {
        let RolloutSettings { alpha, beta, times, beyond, .. } = *self;
        Bounds { alpha, beta, times, beyond, ..Bounds::default() }
    }
}

/// What a host said last.
struct HostTold {
    report: SupervisorReport,
    at: Nanos,
    /// The stream that it came on.
    stream: u64,
}

struct State {
    board: RolloutRegistry,
    roster: Membership,
    /// What the hosts of proxies said last, by proxy, and when. It is told again every second, and not kept.
    hosts: BTreeMap<String, HostTold>,
    evidence: Analysis,
    /// What was seen of the last change, for people.
    course: Timeline,
    /// What is kept of each instance.
    kept: BTreeMap<String, MemberRecord>,
    /// What each was given last: the change and the generation.
    declared: BTreeMap<String, (u64, Digest)>,
    /// What the evidence said last, for people.
    verdict: String,
    looked: Nanos,
    /// A write of the board failed: what stands in the store is not known until it is written again.
    doubtful: bool,
    /// Why nothing is decided or handed out; `None`: it is.
    fault: Option<String>,
    outage: Outage,
}

/// The fleet and its changes.
pub struct RolloutController {
    settings: RolloutSettings,
    state: Mutex<State>,
    /// One decision at a time: it is made, kept, and only then known. Locked before `state`.
    turn: Mutex<()>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// The fleet as a change sees it.
    fn seen(&self, now: Nanos) -> Vec<FleetView<'_>> {
        let roster = &self.roster;
        // A proxy can't obey what its own process refuses, or what its host could not bring to run.
        let by_host = |i: &Member| {
            let report = &self.hosts.get(&i.told.name)?.report;
            report.refused.as_ref().map(|(generation, why)| (*generation, why.as_str()))
        };
        let one = |i| seen(roster, i, now);
        let with_host = |i| {
            let seen: FleetView<'_> = one(i);
            FleetView { refused: seen.refused.or(by_host(i)), ..seen }
        };
        roster.instances().map(with_host).collect()
    }
}

fn seen<'r>(roster: &'r Membership, i: &'r Member, now: Nanos) -> FleetView<'r> {
    FleetView {
        name: &i.told.name,
        zone: &i.told.zone,
        standing: roster.standing(i, now),
        acting: i.told.acting,
        since: i.since(),
        quiet: now.saturating_sub(i.heard.unwrap_or(i.since())),
        refused: i.told.refused.as_ref().map(|r| (r.generation, r.why.as_str())),
    }
}

impl RolloutController {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        let state = State {
            board: RolloutRegistry::default(),
            roster: Membership::new(settings.terms()),
            hosts: BTreeMap::new(),
            evidence: Analysis::new(settings.bounds()),
            course: Timeline::default(),
            kept: BTreeMap::new(),
            declared: BTreeMap::new(),
            verdict: String::new(),
            looked: 0,
            doubtful: false,
            fault: Some("this instance has not led yet".into()),
            outage: Outage::default(),
        };
        RolloutController { settings, state: Mutex::new(state), turn: Mutex::new(()) }
    }

    /// The number of the change that runs.
    pub(crate) fn running(&self) -> Option<u64> {
        lock(&self.state).board.running().map(|c| c.id)
    }

    /// The classes that any proxy has told of; none where nothing was heard yet.
    pub(crate) fn classes(&self) -> BTreeSet<String> {
        lock(&self.state).roster.instances().flat_map(|i| i.figures.classes.keys().cloned()).collect()
    }

    /// Goes on from what was kept, under this leader.
    pub(crate) fn lead(&self, records: &Records, now: Nanos) {
        let _turn = lock(&self.turn);
        let board = match records.get(BOARD) {
            None => Ok(RolloutRegistry::default()),
            Some(record) => serde_json::from_value::<RegistryRecord>(record.clone())
                .map_err(|e| e.to_string())
                .and_then(|record| RolloutRegistry::restore(record, now).map_err(|e| e.to_string())),
        };
        let kept = records.iter().filter(|(name, _)| name.starts_with(ROSTER));
        let kept = kept.filter_map(|(_, told)| serde_json::from_value::<MemberRecord>(told.clone()).ok());
        let kept: BTreeMap<String, MemberRecord> = kept.map(|told| (told.name.clone(), told)).collect();
        let mut state = lock(&self.state);
        state.roster = Membership::restore(self.settings.terms(), kept.values().cloned(), now);
        state.evidence = Analysis::new(self.settings.bounds());
        state.course = Timeline::default();
        (state.kept, state.declared, state.looked) = (kept, BTreeMap::new(), now);
        state.hosts = BTreeMap::new();
        state.doubtful = false;
        state.verdict = "this instance leads since a moment".into();
        match board {
            Ok(board) => {
                if let Some(change) = board.running() {
                    info!(change = change.id, phase = %change.phase, "going on with a change");
                    state.evidence.told_usual(board.record().usual);
                    state.evidence.begin(change.plan.stages().len());
                    if matches!(change.phase, Phase::Soaking { .. }) {
                        state.evidence.soak(now);
                    }
                }
                (state.board, state.fault) = (board, None);
            }
            // Danger: begun anew it would hand the base to a fleet that acts by something else.
            Err(why) => {
                warn!(fault = %why, "the record of changes can't be read: proxies stay as they are");
                state.fault = Some(format!(
                    "the record of changes can't be read: {why}; use the version that wrote it"
                ));
            }
        }
    }

    pub(crate) fn step_down(&self) {
        lock(&self.state).fault = Some("another instance leads".into());
    }

    /// A subscriber says something of itself, or its stream has ended.
    pub(crate) fn hear(&self, node: &str, word: StreamEvent, now: Nanos) {
        let state = &mut *lock(&self.state);
        if let Some(proxy) = node.strip_prefix(HOST) {
            if let StreamEvent::Metadata(stream, Topic::Report, text) = word {
                state.hear_host(proxy, &text, stream, now);
            }
            return;
        }
        match word {
            StreamEvent::Ended(stream) => state.roster.ended(node, stream, now),
            StreamEvent::Metadata(_, Topic::PolicyLease, _) => {}
            StreamEvent::Metadata(stream, Topic::Report, text) => match Report::read(&text) {
                Err(e) => warn!(proxy = node, fault = %e, "a report is not taken"),
                Ok(report) => match state.roster.hear(node, report, stream, now) {
                    ReportOutcome::Full => {
                        warn!(proxy = node, "no more proxies are known; raise rollout.most")
                    }
                    ReportOutcome::New => info!(proxy = node, "a proxy is known from now on"),
                    ReportOutcome::Restarted => info!(proxy = node, "another process under a known name"),
                    _ => {}
                },
            },
        }
    }

    /// Looks at the fleet, moves the change on, keeps what has changed and hands out what was kept. It waits for the disk.
    pub(crate) fn tick(&self, shared: &Shared) {
        let _turn = lock(&self.turn);
        let now = shared.unix_now();
        if !shared.leads() || lock(&self.state).fault.is_some() {
            return;
        }
        let stepped = {
            let state = &mut *lock(&self.state);
            let verdict = state.look(now);
            state.verdict = match &verdict {
                Verdict::Waiting(what) | Verdict::Trouble(what) => what.clone(),
                Verdict::Passed => "the stage has passed".into(),
                Verdict::Worse(finding) => finding.to_string(),
            };
            let running = state.board.running().is_some();
            running.then(|| {
                let mut board = state.board.clone();
                (board.step(&state.seen(now), &verdict, now), board)
            })
        };
        if let Some((moved, board)) = stepped {
            if !moved {
                // Nothing but its time has moved on. Danger: dropped, a soak of minutes would count as a time without a leader, and
                // a change would never run out of its own.
                lock(&self.state).board = board;
            } else if self.keep_board(shared, board, now).is_err() {
                return;
            }
        }
        self.keep_in_doubt(shared, now);
        self.keep_roster(shared, now);
        self.declare(shared);
    }

    /// Keeps a board; only then it counts. Danger: told first, a step would be known to proxies and to no successor.
    fn keep_board(&self, shared: &Shared, board: RolloutRegistry, now: Nanos) -> Result<(), CommandError> {
        let record = serde_json::to_value(board.record()).unwrap_or_default();
        let change = RecordWrite { set: BTreeMap::from([(BOARD.to_owned(), record)]), gone: Vec::new() };
        let kept = shared.persist_records(&change);
        if let Err(e) = kept {
            return Err(self.not_kept(shared, &e));
        }
        let state = &mut *lock(&self.state);
        state.outage.over();
        state.doubtful = false;
        // Its lease may have ended meanwhile: whoever leads next finds the step and makes it.
        shared.require_leadership()?;
        state.moved_on(board, now);
        Ok(())
    }

    /// A step is not kept, or may be. Danger: taken for not kept, what stands in the store would be begun by the next process.
    fn not_kept(&self, shared: &Shared, e: &PersistError) -> CommandError {
        {
            let state = &mut *lock(&self.state);
            if let Some(n) = state.outage.failed(&e.why) {
                warn!(fault = %e.why, failure = n, "a step of a change is not kept: it is not made");
            }
            state.doubtful = matches!(e.failure, PersistFailure::Unsure | PersistFailure::Failed);
        }
        if e.failure == PersistFailure::Unsure {
            shared.relinquish_leadership();
        }
        CommandError::not_persisted(e)
    }

    /// Writes the board that holds once more where a write of another failed.
    fn keep_in_doubt(&self, shared: &Shared, now: Nanos) {
        let board = {
            let state = lock(&self.state);
            state.doubtful.then(|| state.board.clone())
        };
        if let Some(board) = board {
            // What is not kept is tried again at the next look.
            let _ = self.keep_board(shared, board, now);
        }
    }

    /// Keeps what has changed of the instances, and forgets those that are gone for good.
    fn keep_roster(&self, shared: &Shared, now: Nanos) {
        let (change, told) = {
            let state = &mut *lock(&self.state);
            let gone = state.roster.forget(now);
            for name in &gone {
                state.declared.remove(name);
                state.hosts.remove(name);
            }
            let differs = |i: &&Member| state.kept.get(&i.told.name) != Some(&i.told);
            let told: Vec<MemberRecord> =
                state.roster.instances().filter(differs).take(KEPT_MOST).map(|i| i.told.clone()).collect();
            let gone: Vec<String> =
                state.kept.keys().filter(|name| state.roster.get(name).is_none()).cloned().collect();
            let name = |name: &str| format!("{ROSTER}{name}");
            let set =
                told.iter().map(|t| (name(&t.name), serde_json::to_value(t).unwrap_or_default())).collect();
            (RecordWrite { set, gone: gone.iter().map(|n| name(n)).collect() }, (told, gone))
        };
        if change == RecordWrite::default() {
            return;
        }
        // What is not kept is tried again at the next look.
        if shared.persist_records(&change).is_ok() {
            let state = &mut *lock(&self.state);
            let (told, gone) = told;
            state.kept.extend(told.into_iter().map(|t| (t.name.clone(), t)));
            for name in &gone {
                state.kept.remove(name);
            }
            if !gone.is_empty() {
                shared.hub.change(|store, at| {
                    for name in &gone {
                        remove_settings(store, name, at);
                    }
                });
            }
        }
    }

    /// Hands out what each is to act by.
    fn declare(&self, shared: &Shared) {
        let mut new = Vec::new();
        {
            let state = &mut *lock(&self.state);
            // Danger: a store that was lost or begun anew knows of no change. Handed out, what the files say would take all
            // proxies back at once, in no stages.
            if !state.board.begun() {
                return;
            }
            for one in state.roster.instances() {
                let (change, generation) = state.board.given(&one.told.name);
                let given = (change, generation.digest());
                if state.declared.get(&one.told.name) != Some(&given) {
                    new.push((
                        one.told.name.clone(),
                        given,
                        ConfigAssignment { change, generation: generation.clone() },
                    ));
                }
            }
            state.declared.extend(new.iter().map(|(name, given, _)| (name.clone(), *given)));
        }
        // Nothing is handed out before the first list; the board is looked at again by then.
        if !new.is_empty() && shared.hub.store().is_open() {
            shared.hub.change(|store, now| {
                for (name, _, given) in &new {
                    declare_settings(store, name, given, now);
                }
            });
        } else if !new.is_empty() {
            let state = &mut *lock(&self.state);
            for (name, ..) in &new {
                state.declared.remove(name);
            }
        }
    }

    /// Does what an operator asks of the board. It waits for the disk.
    pub(crate) fn command<T>(
        &self,
        shared: &Shared,
        does: impl FnOnce(&mut RolloutRegistry, Option<[f64; 2]>, Nanos) -> Result<T, RegistryError>,
    ) -> Result<(T, u64), CommandError> {
        let _turn = lock(&self.turn);
        shared.require_leadership()?;
        let now = shared.unix_now();
        let (mut board, usual) = {
            let state = lock(&self.state);
            if let Some(fault) = &state.fault {
                return Err(CommandError::NotPersisted(fault.clone()));
            }
            (state.board.clone(), state.evidence.usual())
        };
        let done = does(&mut board, usual, now)?;
        let revision = board.record().revision;
        self.keep_board(shared, board, now)?;
        self.declare(shared);
        Ok((done, revision))
    }

    /// What a plan would come to now.
    pub(crate) fn plan(
        &self,
        ask: &RolloutRequest,
        expected: Option<u64>,
        now: Nanos,
    ) -> Result<(Value, u64), CommandError> {
        let state = lock(&self.state);
        let (generation, plan) = state.board.check(ask, expected)?;
        let record = state.board.record();
        let steps = preview(&plan, &state.seen(now), record.next);
        let least: f64 = steps.iter().map(|s| s.soak_s).sum();
        let left =
            record.change.as_ref().filter(|c| !c.phase.over()).map(|c| c.moved.keys().collect::<Vec<_>>());
        let shown = json!({"from": record.holds, "to": generation.digest(), "stages": steps, "least_s": least,
                           "displaced_leaves": left});
        Ok((shown, record.revision))
    }
}

impl State {
    /// A host says something of itself. Danger: word that is late or of an earlier host would refuse what is obeyed by now.
    fn hear_host(&mut self, proxy: &str, text: &str, stream: u64, now: Nanos) {
        let report = match SupervisorReport::read(text) {
            Ok(report) => report,
            Err(e) => return warn!(proxy, fault = %e, "a host's report is not taken"),
        };
        // No more hosts are known than proxies: who has none is of no use to any change.
        if self.roster.get(proxy).is_none() {
            return;
        }
        let known = self.hosts.get(proxy);
        if known.is_some_and(|k| (stream, report.seq) <= (k.stream, k.report.seq)) {
            return;
        }
        if let Some((generation, why)) = &report.refused {
            if known.and_then(|k| k.report.refused.as_ref()) != report.refused.as_ref() {
                warn!(proxy, generation = %generation, why, "a host can't obey");
            }
        }
        self.hosts.insert(proxy.to_owned(), HostTold { report, at: now, stream });
    }

    fn look(&mut self, now: Nanos) -> Verdict {
        let span = now.saturating_sub(std::mem::replace(&mut self.looked, now));
        let Some(change) = self.board.running() else {
            self.evidence.rest();
            let holds = self.board.record().holds;
            let serving =
                self.roster.instances().filter(|i| self.roster.standing(i, now) == MemberStatus::Serving);
            self.evidence.look(serving, |_| false, (holds, holds), span);
            return Verdict::Waiting("no change runs".into());
        };
        let serving =
            self.roster.instances().filter(|i| self.roster.standing(i, now) == MemberStatus::Serving);
        let moved = |name: &str| change.moved.contains_key(name);
        let program = |of: &Digest| self.board.generation(of).and_then(|g| g.program());
        self.evidence.replaces(program(&change.from) != program(&change.to));
        self.evidence.look(serving, moved, (change.from, change.to), span);
        if self.course.change != change.id {
            self.course = Timeline::new(change.id);
            self.course.mark(now, change.phase.to_string());
        }
        self.course.add(now, self.evidence.last());
        let (stage, alone) = match change.stage() {
            Some(stage) => (stage, change.plan.last(stage)),
            None => return Verdict::Waiting("going back".into()),
        };
        self.evidence.verdict(change.plan.stage(stage).soak, alone, now)
    }

    /// Takes a board that was kept.
    fn moved_on(&mut self, board: RolloutRegistry, now: Nanos) {
        let phase = |board: &RolloutRegistry| board.record().change.as_ref().map(|c| (c.id, c.phase.clone()));
        let (before, after) = (phase(&self.board), phase(&board));
        if before != after {
            if let Some(change) = &board.record().change {
                info!(change = change.id, phase = %change.phase, "a change moves on");
                if self.course.change == change.id {
                    self.course.mark(now, change.phase.to_string());
                }
                // Who was silent has counted meanwhile; what a trouble did is no evidence of anything.
                let silent =
                    |phase: &Phase| matches!(phase, Phase::Held { why: HoldReason::Silent { .. }, .. });
                match change.phase {
                    Phase::Moving { .. } if before.as_ref().is_some_and(|b| silent(&b.1)) => {}
                    Phase::Moving { .. } => self.evidence.begin(change.plan.stages().len()),
                    Phase::Soaking { .. } => self.evidence.soak(now),
                    _ => {}
                }
            }
        }
        self.board = board;
    }
}
