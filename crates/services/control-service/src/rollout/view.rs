//! The fleet and its rollouts as JSON for the admin API and as values for `/metrics`.

use super::controller::RolloutController;
use super::state::RolloutState;
use crate::sync::lock;
use crate::versioned::Versioned;
use rushquay_config_version::Digest;
use rushquay_endpoints::Nanos;
use rushquay_membership::{Member, MemberStatus};
use rushquay_rollout::{Rollout, Timeline};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The most proxies listed in a status.
const MAX_LISTED_PROXIES: usize = 50;

/// Values for `/metrics`.
pub(crate) struct RolloutStats {
    /// Proxies by status.
    pub by_status: BTreeMap<&'static str, i64>,
    /// Serving proxies that don't apply their assigned config version.
    pub not_as_assigned: i64,
    /// The id of the running rollout; 0 if there is none.
    pub rollout_id: u64,
    /// The phase of the last rollout.
    pub phase: &'static str,
    /// The current stage, from 1; 0 if there is none.
    pub stage: i64,
    /// Proxies that were assigned the new config version.
    pub moved: i64,
    /// How long the rollout has run.
    pub run_time: Nanos,
    /// The strongest evidence that the new config version is worse, as a fraction of the threshold that stops the rollout.
    pub evidence: f64,
    /// Whether rollouts are decided and published.
    pub is_up: bool,
}

/// A rollout, with the number of moved proxies instead of their list.
fn rollout_json(rollout: &Rollout) -> Value {
    let mut json = json!(rollout);
    json["told"] = json!(rollout.moved.len());
    json["in_words"] = json!(rollout.phase.to_string());
    json["ran_s"] = json!(rollout.ran as f64 / 1e9);
    if let Some(fields) = json.as_object_mut() {
        fields.remove("moved");
        fields.remove("returned");
    }
    json
}

impl RolloutState {
    /// The config version that a member is assigned.
    fn assigned(&self, member: &Member) -> Digest {
        self.registry.assigned_version(&member.record.name).1.digest()
    }

    /// The number of proxies by zone, applied config version and status.
    fn fleet_json(&self, now: Nanos) -> Vec<Value> {
        let mut fleet: BTreeMap<(String, String), BTreeMap<MemberStatus, usize>> = BTreeMap::new();
        for member in self.membership.members() {
            let group = (member.record.zone.clone(), member.record.acting.to_string());
            let status = self.membership.status(member, now);
            *fleet.entry(group).or_default().entry(status).or_default() += 1;
        }
        let group_json = |((zone, acting), count)| json!({"zone": zone, "acting": acting, "proxies": count});
        fleet.into_iter().map(group_json).collect()
    }

    /// The first [`MAX_LISTED_PROXIES`] proxies that don't apply their assigned config version.
    fn not_as_assigned_json(&self, now: Nanos) -> Vec<Value> {
        let members =
            self.membership.members().filter(|member| self.assigned(member) != member.record.acting);
        let member_json = |member: &Member| {
            let status = self.membership.status(member, now);
            json!({"name": member.record.name, "zone": member.record.zone, "standing": status,
                   "acting": member.record.acting, "given": self.assigned(member),
                   "refused": member.record.refused})
        };
        members.take(MAX_LISTED_PROXIES).map(member_json).collect()
    }

    /// All that is known of a proxy.
    fn member_json(&self, member: &Member, now: Nanos) -> Value {
        let seconds_since = |at: Nanos| now.saturating_sub(at) as f64 / 1e9;
        let mut json = json!(member.record);
        json["standing"] = json!(self.membership.status(member, now));
        json["given"] = json!(self.assigned(member));
        json["heard_s_ago"] = json!(member.last_report_at.map(seconds_since));
        json["requests"] = json!(member.figures.total());
        json["memory"] = json!(member.figures.memory);
        json["descriptors"] = json!(member.figures.descriptors);
        if let Some(supervisor) = self.supervisors.get(&member.record.name) {
            json["host"] = json!(supervisor.report);
            json["host"]["heard_s_ago"] = json!(seconds_since(supervisor.received_at));
        }
        json
    }
}

impl RolloutController {
    /// The status of rollouts and the registry's revision.
    pub(crate) fn status(&self, now: Nanos) -> Versioned {
        let state = lock(&self.state);
        let record = state.registry.record();
        let body = json!({
            "revision": record.revision, "holds": record.holds,
            "holding": record.generations.get(&record.holds),
            "change": record.change.as_ref().map(rollout_json), "fault": state.error,
            "waits_for": state.verdict, "evidence": state.analysis.scores(), "usual": record.usual,
            "fleet": state.fleet_json(now), "not_as_given": state.not_as_assigned_json(now),
            "proxies": state.membership.len(), "now_ns": now,
        });
        Versioned { body, revision: record.revision }
    }

    /// All that is known of each proxy.
    pub(crate) fn members(&self, now: Nanos) -> Value {
        let state = lock(&self.state);
        let members: Vec<Value> =
            state.membership.members().map(|member| state.member_json(member, now)).collect();
        json!({"now_ns": now, "proxies": members})
    }

    /// The last rollout and its measurements.
    pub(crate) fn last_rollout(&self) -> (Option<Rollout>, Timeline) {
        let state = lock(&self.state);
        (state.registry.record().change.clone(), state.timeline.clone())
    }

    /// Values for `/metrics`.
    pub(crate) fn stats(&self, now: Nanos) -> RolloutStats {
        let state = lock(&self.state);
        let mut by_status: BTreeMap<&'static str, i64> = BTreeMap::new();
        for member in state.membership.members() {
            *by_status.entry(state.membership.status(member, now).as_str()).or_default() += 1;
        }
        let running = state.registry.running();
        let not_as_assigned = state.membership.members().filter(|member| {
            state.membership.status(member, now) == MemberStatus::Serving
                && state.assigned(member) != member.record.acting
        });
        let scores = state.analysis.scores();
        RolloutStats {
            by_status,
            not_as_assigned: not_as_assigned.count() as i64,
            rollout_id: running.map_or(0, |c| c.id),
            phase: state.registry.record().change.as_ref().map_or("none", |c| c.phase.as_str()),
            stage: running.and_then(|c| c.stage()).map_or(0, |s| s as i64 + 1),
            moved: running.map_or(0, |c| c.moved.len() as i64),
            run_time: running.map_or(0, |c| c.ran),
            evidence: scores.iter().map(|s| s.evidence / s.stops_at).fold(0.0, f64::max),
            is_up: state.error.is_none(),
        }
    }

    /// The most recent events, newest first.
    pub(crate) fn history(&self, limit: usize) -> Value {
        let state = lock(&self.state);
        let events: Vec<_> = state.registry.record().events.iter().rev().take(limit).collect();
        json!({"events": events})
    }
}
