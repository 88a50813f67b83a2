//! The fleet and its changes as people and scrapers see them.

use super::{lock, RolloutController};
use rushquay_membership::{Member, MemberStatus};
use rushquay_rollout::{Rollout, Timeline};
use serde_json::{json, Value};
use std::collections::BTreeMap;

type Nanos = u64;

/// What there is to count.
pub(crate) struct RolloutFigures {
    /// Proxies, by how they stand.
    pub standings: BTreeMap<&'static str, i64>,
    /// Proxies that serve and don't act by what they were given.
    pub not_as_given: i64,
    /// The number of the change that runs; 0: none.
    pub change: u64,
    /// Where the last change stands.
    pub phase: &'static str,
    /// Its stage, from 1; 0: in none.
    pub stage: i64,
    /// Proxies that were told the new.
    pub told: i64,
    /// For how long the change has run.
    pub ran: Nanos,
    /// The most evidence that the new do worse, as a part of what stops the change.
    pub evidence: f64,
    /// Whether anything is decided or handed out.
    pub up: bool,
}

impl RolloutController {
    /// How all stands, for people.
    pub(crate) fn shown(&self, now: Nanos) -> (Value, u64) {
        let state = lock(&self.state);
        let record = state.board.record();
        let mut runs: BTreeMap<(String, String), BTreeMap<MemberStatus, usize>> = BTreeMap::new();
        let mut waits = Vec::new();
        for one in state.roster.instances() {
            let standing = state.roster.standing(one, now);
            let at = (one.told.zone.clone(), one.told.acting.to_string());
            *runs.entry(at).or_default().entry(standing).or_default() += 1;
            let given = state.board.given(&one.told.name).1.digest();
            if given != one.told.acting {
                waits.push(json!({"name": one.told.name, "zone": one.told.zone, "standing": standing,
                                  "acting": one.told.acting, "given": given, "refused": one.told.refused}));
            }
        }
        let runs = runs
            .into_iter()
            .map(|((zone, acting), count)| json!({"zone": zone, "acting": acting, "proxies": count}));
        let runs: Vec<Value> = runs.collect();
        waits.truncate(50);
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
            "holding": record.generations.get(&record.holds), "change": change, "fault": state.fault,
            "waits_for": state.verdict, "evidence": state.evidence.scores(), "usual": record.usual,
            "fleet": runs, "not_as_given": waits, "proxies": state.roster.len(), "now_ns": now,
        });
        (shown, record.revision)
    }

    /// All that is known of each proxy, for people.
    pub(crate) fn roster(&self, now: Nanos) -> Value {
        let state = lock(&self.state);
        let one = |i: &Member| {
            let mut shown = json!(i.told);
            shown["standing"] = json!(state.roster.standing(i, now));
            shown["given"] = json!(state.board.given(&i.told.name).1.digest());
            shown["heard_s_ago"] = json!(i.heard.map(|at| now.saturating_sub(at) as f64 / 1e9));
            shown["requests"] = json!(i.figures.all());
            shown["memory"] = json!(i.figures.memory);
            shown["descriptors"] = json!(i.figures.descriptors);
            if let Some(host) = state.hosts.get(&i.told.name) {
                shown["host"] = json!(host.report);
                shown["host"]["heard_s_ago"] = json!(now.saturating_sub(host.at) as f64 / 1e9);
            }
            shown
        };
        let all: Vec<Value> = state.roster.instances().map(one).collect();
        json!({"now_ns": now, "proxies": all})
    }

    /// The last change and what was seen of it.
    pub(crate) fn course(&self) -> (Option<Rollout>, Timeline) {
        let state = lock(&self.state);
        (state.board.record().change.clone(), state.course.clone())
    }

    /// What there is to count, for `/metrics`.
    pub(crate) fn figures(&self, now: Nanos) -> RolloutFigures {
        let state = lock(&self.state);
        let mut standings: BTreeMap<&'static str, i64> = BTreeMap::new();
        for one in state.roster.instances() {
            *standings.entry(state.roster.standing(one, now).as_str()).or_default() += 1;
        }
        let running = state.board.running();
        let not_as_given = state.roster.instances().filter(|i| {
            state.roster.standing(i, now) == MemberStatus::Serving
                && state.board.given(&i.told.name).1.digest() != i.told.acting
        });
        let scores = state.evidence.scores();
        RolloutFigures {
            standings,
            not_as_given: not_as_given.count() as i64,
            change: running.map_or(0, |c| c.id),
            phase: state.board.record().change.as_ref().map_or("none", |c| c.phase.as_str()),
            stage: running.and_then(|c| c.stage()).map_or(0, |s| s as i64 + 1),
            told: running.map_or(0, |c| c.moved.len() as i64),
            ran: running.map_or(0, |c| c.ran),
            evidence: scores.iter().map(|s| s.evidence / s.stops_at).fold(0.0, f64::max),
            up: state.fault.is_none(),
        }
    }

    /// What happened, the newest first.
    pub(crate) fn history(&self, most: usize) -> Value {
        let state = lock(&self.state);
        let events: Vec<_> = state.board.record().events.iter().rev().take(most).collect();
        json!({"events": events})
    }
}
