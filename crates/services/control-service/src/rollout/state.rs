//! The in-memory state of the rollout controller while this instance leads.

use super::settings::RolloutSettings;
use crate::record_status::RecordStatus;
use rushquay_config_version::Digest;
use rushquay_endpoints::Nanos;
use rushquay_membership::{Member, MemberRecord, MemberStatus, Membership, Report, ReportOutcome};
use rushquay_rollout::{Analysis, FleetView, HoldReason, Phase, Rollout, RolloutRegistry, Timeline, Verdict};
use rushquay_supervisor::SupervisorReport;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// The last report of a proxy's supervisor.
pub struct SupervisorEntry {
    pub report: SupervisorReport,
    pub received_at: Nanos,
    /// The stream on which it was received.
    stream: u64,
}

pub struct RolloutState {
    pub registry: RolloutRegistry,
    pub membership: Membership,
    /// The last report of each proxy's supervisor, by proxy. Reports come every second and are not persisted.
    pub supervisors: BTreeMap<String, SupervisorEntry>,
    pub analysis: Analysis,
    /// The measurements of the last rollout, for its report.
    pub timeline: Timeline,
    /// The persisted record of each member.
    pub persisted_members: BTreeMap<String, MemberRecord>,
    /// The rollout and config version last published to each member.
    pub declared: BTreeMap<String, (u64, Digest)>,
    /// The last verdict of the analysis, for operators.
    pub verdict: String,
    last_analyzed_at: Nanos,
    pub record_status: RecordStatus,
    /// Why nothing is decided or published; `None` in normal operation.
    pub error: Option<String>,
}

impl RolloutState {
    /// The state of an instance that has not led yet.
    pub fn new(settings: &RolloutSettings) -> Self {
        RolloutState {
            registry: RolloutRegistry::default(),
            membership: Membership::new(settings.timeouts()),
            supervisors: BTreeMap::new(),
            analysis: Analysis::new(settings.bounds()),
            timeline: Timeline::default(),
            persisted_members: BTreeMap::new(),
            declared: BTreeMap::new(),
            verdict: String::new(),
            last_analyzed_at: 0,
            record_status: RecordStatus::default(),
            error: Some("this instance has not led yet".into()),
        }
    }

    /// Restores the members that an earlier leader persisted, and discards all measurements.
    pub fn restore_members(
        &mut self,
        members: BTreeMap<String, MemberRecord>,
        settings: &RolloutSettings,
        now: Nanos,
    ) {
        self.membership = Membership::restore(settings.timeouts(), members.values().cloned(), now);
        self.analysis = Analysis::new(settings.bounds());
        self.timeline = Timeline::default();
        (self.persisted_members, self.declared, self.last_analyzed_at) = (members, BTreeMap::new(), now);
        self.supervisors = BTreeMap::new();
        self.record_status.on_read();
        self.verdict = "this instance has just become the leader".into();
    }

    /// Restores the registry that an earlier leader persisted.
    pub fn restore_registry(&mut self, registry: RolloutRegistry, now: Nanos) {
        if let Some(rollout) = registry.running() {
            info!(rollout_id = rollout.id, phase = %rollout.phase, "rollout restored");
            self.analysis.set_inherited_baseline(registry.record().usual);
            self.analysis.begin_stage(rollout.plan.stages().len());
            if matches!(rollout.phase, Phase::Soaking { .. }) {
                self.analysis.begin_soak(now);
            }
        }
        (self.registry, self.error) = (registry, None);
    }

    /// The members of the fleet, as input to a rollout's steps.
    pub fn fleet_view(&self, now: Nanos) -> Vec<FleetView<'_>> {
        // A proxy can't apply a config version that its process rejects or that its supervisor could not start.
        let rejected_by_supervisor = |member: &Member| {
            let report = &self.supervisors.get(&member.record.name)?.report;
            report.refused.as_ref().map(|(version, reason)| (*version, reason.as_str()))
        };
        let with_supervisor = |member| {
            let view = member_view(&self.membership, member, now);
            FleetView { refused: view.refused.or(rejected_by_supervisor(member)), ..view }
        };
        self.membership.members().map(with_supervisor).collect()
    }

    /// Processes a proxy's report; a malformed one is logged and dropped.
    pub fn on_report(&mut self, proxy: &str, text: &str, stream: u64, now: Nanos) {
        let report = match Report::read(text) {
            Ok(report) => report,
            Err(error) => return warn!(proxy, %error, "proxy report rejected"),
        };
        match self.membership.process_report(proxy, report, stream, now) {
            ReportOutcome::Full => warn!(proxy, "membership is full; raise rollout.most"),
            ReportOutcome::New => info!(proxy, "proxy joined"),
            ReportOutcome::Restarted => info!(proxy, "proxy restarted"),
            _ => {}
        }
    }

    /// Processes a supervisor's report. Danger: a report that is out of order or from an earlier supervisor would mark a config version as
    /// rejected that is applied by now.
    pub fn on_supervisor_report(&mut self, proxy: &str, text: &str, stream: u64, now: Nanos) {
        let report = match SupervisorReport::read(text) {
            Ok(report) => report,
            Err(error) => return warn!(proxy, %error, "supervisor report rejected"),
        };
        // A supervisor without a known proxy is of no use to a rollout; ignoring it bounds the number of entries.
        if self.membership.get(proxy).is_none() {
            return;
        }
        let known = self.supervisors.get(proxy);
        if known.is_some_and(|k| (stream, report.seq) <= (k.stream, k.report.seq)) {
            return;
        }
        if let Some((config_version, reason)) = &report.refused {
            if known.and_then(|k| k.report.refused.as_ref()) != report.refused.as_ref() {
                warn!(proxy, %config_version, reason, "supervisor cannot apply a config version");
            }
        }
        self.supervisors.insert(proxy.to_owned(), SupervisorEntry { report, received_at: now, stream });
    }

    /// Analyzes the fleet's reports since the last tick.
    pub fn analyze(&mut self, now: Nanos) -> Verdict {
        let span = now.saturating_sub(std::mem::replace(&mut self.last_analyzed_at, now));
        let membership = &self.membership;
        let serving =
            membership.members().filter(|member| membership.status(member, now) == MemberStatus::Serving);
        let Some(rollout) = self.registry.running() else {
            self.analysis.end_rollout();
            let holds = self.registry.record().holds;
            self.analysis.observe_interval(serving, |_| false, (holds, holds), span);
            return Verdict::Waiting("no change runs".into());
        };
        let is_moved = |name: &str| rollout.moved.contains_key(name);
        let program = |version: &Digest| self.registry.config_version(version).and_then(|v| v.program());
        self.analysis.set_replaces_program(program(&rollout.from) != program(&rollout.to));
        self.analysis.observe_interval(serving, is_moved, (rollout.from, rollout.to), span);
        if self.timeline.change != rollout.id {
            self.timeline = Timeline::new(rollout.id);
            self.timeline.mark(now, rollout.phase.to_string());
        }
        self.timeline.add(now, self.analysis.last_interval());
        let Some(stage) = rollout.stage() else { return Verdict::Waiting("going back".into()) };
        let is_last = rollout.plan.is_last_stage(stage);
        self.analysis.verdict(rollout.plan.stage(stage).soak, is_last, now)
    }

    /// Applies a registry that was persisted.
    pub fn apply(&mut self, registry: RolloutRegistry, now: Nanos) {
        let before = rollout_phase(self.registry.record().change.as_ref());
        let after = rollout_phase(registry.record().change.as_ref());
        if before != after {
            if let Some(rollout) = &registry.record().change {
                let was_silent = before.is_some_and(|(_, phase)| is_held_for_silence(&phase));
                self.on_phase(rollout, was_silent, now);
            }
        }
        self.registry = registry;
    }

    /// Handles a change of the rollout's phase.
    fn on_phase(&mut self, rollout: &Rollout, was_silent: bool, now: Nanos) {
        info!(rollout_id = rollout.id, phase = %rollout.phase, "rollout phase changed");
        if self.timeline.change == rollout.id {
            self.timeline.mark(now, rollout.phase.to_string());
        }
        match rollout.phase {
            // Silent proxies kept counting, so their counts stay valid; after any other hold the counts are no longer evidence.
            Phase::Moving { .. } if was_silent => {}
            Phase::Moving { .. } => self.analysis.begin_stage(rollout.plan.stages().len()),
            Phase::Soaking { .. } => self.analysis.begin_soak(now),
            _ => {}
        }
    }
}

fn rollout_phase(rollout: Option<&Rollout>) -> Option<(u64, Phase)> {
    rollout.map(|r| (r.id, r.phase.clone()))
}

fn is_held_for_silence(phase: &Phase) -> bool {
    matches!(phase, Phase::Held { why: HoldReason::Silent { .. }, .. })
}

fn member_view<'m>(membership: &'m Membership, member: &'m Member, now: Nanos) -> FleetView<'m> {
    FleetView {
        name: &member.record.name,
        zone: &member.record.zone,
        status: membership.status(member, now),
        applied_version: member.record.acting,
        since: member.since(),
        since_last_report: now.saturating_sub(member.last_report_at.unwrap_or(member.since())),
        refused: member.record.refused.as_ref().map(|r| (r.generation, r.why.as_str())),
    }
}
