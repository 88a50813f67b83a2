//! The fleet and its rollouts as JSON for the admin API, and as figures for `/metrics`.

use super::controller::RolloutController;
use crate::sync::lock;
use rushquay_endpoints::Nanos;
use rushquay_membership::{Member, MemberStatus};
use rushquay_rollout::{Rollout, Timeline};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Proxies that a status lists at most.
const MAX_LISTED_PROXIES: usize = 50;

/// Figures for `/metrics`.
pub(crate) struct RolloutStats {
    /// Proxies by status.
    pub by_status: BTreeMap<&'static str, i64>,
    /// Proxies that serve and don't apply what they were assigned.
    pub not_as_assigned: i64,
    /// The id of the running rollout; 0: none.
    pub rollout_id: u64,
    /// The phase of the last rollout.
    pub phase: &'static str,
    /// Its stage, from 1; 0: in none.
    pub stage: i64,
    /// Proxies that were assigned the new config version.
    pub moved: i64,
    /// How long the rollout has run.
    pub run_time: Nanos,
    /// The strongest evidence that the new config version does worse, as a part of what stops the rollout.
    pub evidence: f64,
    /// Whether anything is decided or published.
    pub is_up: bool,
}

impl RolloutController {
    /// The status of rollouts and the registry's revision.
    pub(crate) fn status(&self, now: Nanos) -> (Value, u64) {
        let state = lock(&self.state);
        let record = state.registry.record();
        let mut fleet: BTreeMap<(String, String), BTreeMap<MemberStatus, usize>> = BTreeMap::new();
        let mut not_as_assigned = Vec::new();
        for one in state.membership.instances() {
            let standing = state.membership.standing(one, now);
            let at = (one.told.zone.clone(), one.told.acting.to_string());
            *fleet.entry(at).or_default().entry(standing).or_default() += 1;
            let given = state.registry.given(&one.told.name).1.digest();
            if given != one.told.acting {
                not_as_assigned
                    .push(json!({"name": one.told.name, "zone": one.told.zone, "standing": standing,
                                  "acting": one.told.acting, "given": given, "refused": one.told.refused}));
            }
        }
        let fleet = fleet
            .into_iter()
            .map(|((zone, acting), count)| json!({"zone": zone, "acting": acting, "proxies": count}));
        let fleet: Vec<Value> = fleet.collect();
        not_as_assigned.truncate(MAX_LISTED_PROXIES);
        let change = record.change.as_ref().map(|c| {
            let mut shown = json!(c);
            shown["told"] = json!(c.moved.len());
            shown["in_words"] = json!(c.phase.to_string());
            shown["ran_s"] = json!(c.ran as f64 / 1e9);
            if let Some(fields) = shown.as_object_mut() {
                fields.remove("moved");
                fields.remove("returned");
            }
            shown
        });
        let shown = json!({
            "revision": record.revision, "holds": record.holds,
            "holding": record.generations.get(&record.holds), "change": change, "fault": state.error,
            "waits_for": state.verdict, "evidence": state.analysis.scores(), "usual": record.usual,
            "fleet": fleet, "not_as_given": not_as_assigned, "proxies": state.membership.len(), "now_ns": now,
        });
        (shown, record.revision)
    }

    /// All that is known of each proxy.
    pub(crate) fn members(&self, now: Nanos) -> Value {
        let state = lock(&self.state);
        let member_json = |i: &Member| {
            let mut shown = json!(i.told);
            shown["standing"] = json!(state.membership.standing(i, now));
            shown["given"] = json!(state.registry.given(&i.told.name).1.digest());
            shown["heard_s_ago"] = json!(i.heard.map(|at| now.saturating_sub(at) as f64 / 1e9));
            shown["requests"] = json!(i.figures.all());
            shown["memory"] = json!(i.figures.memory);
            shown["descriptors"] = json!(i.figures.descriptors);
            if let Some(supervisor) = state.supervisors.get(&i.told.name) {
                shown["host"] = json!(supervisor.report);
                shown["host"]["heard_s_ago"] = json!(now.saturating_sub(supervisor.received_at) as f64 / 1e9);
            }
            shown
        };
        let all: Vec<Value> = state.membership.instances().map(member_json).collect();
        json!({"now_ns": now, "proxies": all})
    }

    /// The last rollout and what was measured of it.
    pub(crate) fn last_rollout(&self) -> (Option<Rollout>, Timeline) {
        let state = lock(&self.state);
        (state.registry.record().change.clone(), state.timeline.clone())
    }

    /// Figures for `/metrics`.
    pub(crate) fn stats(&self, now: Nanos) -> RolloutStats {
        let state = lock(&self.state);
        let mut by_status: BTreeMap<&'static str, i64> = BTreeMap::new();
        for one in state.membership.instances() {
            *by_status.entry(state.membership.standing(one, now).as_str()).or_default() += 1;
        }
        let running = state.registry.running();
        let not_as_assigned = state.membership.instances().filter(|i| {
            state.membership.standing(i, now) == MemberStatus::Serving
                && state.registry.given(&i.told.name).1.digest() != i.told.acting
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

    /// The last events, the newest first.
    pub(crate) fn history(&self, limit: usize) -> Value {
        let state = lock(&self.state);
        let events: Vec<_> = state.registry.record().events.iter().rev().take(limit).collect();
        json!({"events": events})
    }
}
