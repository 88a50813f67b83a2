//! Policies as JSON for the admin API and as values for `/metrics`.

use super::controller::PolicyController;
use super::record::RevisionStart;
use super::state::{blocker_name, PolicyState};
use crate::error::{CommandError, PolicyCommandError};
use crate::state::LeaderContext;
use crate::sync::lock;
use crate::versioned::Versioned;
use rushquay_endpoints::Nanos;
use rushquay_policy::{intersect, Phase, Policy, PolicyNumber, PolicySet};
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;

const NANOS_PER_SECOND: f64 = 1e9;

/// The most members listed in a status.
const MAX_LISTED_MEMBERS: usize = 1000;

/// A textual description of a policy set.
fn describe_policy_set(policy_set: PolicySet) -> String {
    match policy_set {
        PolicySet::Pure(one) => format!("policy {} alone", one.0),
        PolicySet::Joint(old, new) => format!("policies {} and {} at once", old.0, new.0),
    }
}

/// Collects the leaf fields of a document by path. Items of a list with names, such as classes and tenants, are keyed by name.
fn flatten(path: &str, value: &Value, into: &mut Map<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, value, into);
            }
        }
        Value::Array(list) if list.iter().any(|item| item["name"].is_string()) => {
            for item in list {
                flatten(&format!("{path}[{}]", item["name"].as_str().unwrap_or("")), item, into);
            }
        }
        value => drop(into.insert(path.to_owned(), value.clone())),
    }
}

/// Values for `/metrics`.
pub(crate) struct PolicyStats {
    /// The record's revision.
    pub revision: u64,
    /// The policy in force.
    pub in_force: u64,
    /// Whether a change is pending.
    pub is_joint: bool,
    /// Processes with a lease.
    pub members: i64,
    /// Processes that the change waits for.
    pub blockers: i64,
    /// Whether leases are granted.
    pub is_up: bool,
}

impl PolicyState {
    /// The differences between the policy in force and a new one, field by field, with the values that apply during the joint phase.
    pub(super) fn compare(&self, in_force: PolicyNumber, new: &Policy) -> Value {
        let old = self.archive.get(in_force).map_or(json!({}), |p| p.settings.document());
        let new_settings = new.settings.document();
        let (mut before, mut after, mut joint) = (Map::new(), Map::new(), Map::new());
        flatten("", &old, &mut before);
        flatten("", &new_settings, &mut after);
        let (intersection, rejected_classes) = intersect_by_name(&old, &new_settings);
        flatten("", &intersection, &mut joint);
        let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        let differs = |path: &&&String| before.get(**path) != after.get(**path) && !path.ends_with("].name");
        let fields: Vec<Value> = paths
            .iter()
            .filter(differs)
            .map(|path| {
                let value = |fields: &Map<String, Value>| fields.get(*path).cloned();
                json!({"field": path, "old": value(&before), "new": value(&after), "joint": value(&joint)})
            })
            .collect();
        json!({"from": in_force, "fields": fields, "stops": rejected_classes, "floor": new.fallback.document(),
               "note": "null: as in each proxy's settings file"})
    }
}

/// The intersection of two documents, each of which may name only some classes. A proxy intersects complete settings. Here a class that
/// only one document names is taken from that document, because the other leaves it to each proxy's settings file.
fn intersect_by_name(old: &Value, new: &Value) -> (Value, Vec<String>) {
    let classes = |document: &Value| document["categories"].as_array().cloned().unwrap_or_default();
    let (old_classes, new_classes) = (classes(old), classes(new));
    let is_in_new = |class: &&Value| new_classes.iter().any(|new| new["name"] == class["name"]);
    let common: Vec<&Value> = old_classes.iter().filter(is_in_new).map(|class| &class["name"]).collect();
    let pick = |classes: &[Value]| -> Vec<Value> {
        common.iter().filter_map(|name| classes.iter().find(|c| c["name"] == **name).cloned()).collect()
    };
    let with_classes = |document: &Value, classes: Vec<Value>| {
        let mut document = document.clone();
        if let Some(fields) = document.as_object_mut() {
            fields.insert("categories".into(), Value::Array(classes));
        }
        document
    };
    let intersection =
        intersect(&with_classes(old, pick(&old_classes)), &with_classes(new, pick(&new_classes)));
    let mut settings = intersection.settings;
    let in_one_only = old_classes.iter().chain(&new_classes).filter(|c| !common.contains(&&c["name"]));
    if let Some(list) = settings["categories"].as_array_mut() {
        list.extend(in_one_only.cloned());
    }
    (settings, intersection.rejected_classes.iter().map(ToString::to_string).collect())
}

/// The seconds from one time to a later one; 0 if it is not later.
fn seconds_between(from: Nanos, to: Nanos) -> f64 {
    to.saturating_sub(from) as f64 / NANOS_PER_SECOND
}

impl PolicyState {
    /// The processes that the pending change waits for.
    fn blockers_json(&self, now: Nanos) -> Vec<Value> {
        if matches!(self.coordinator.record().phase, Phase::Settled) {
            return Vec::new();
        }
        let blockers = self.coordinator.blocking_members(now).into_iter().map(|blocker| {
            json!({"name": blocker_name(&blocker.name), "boot": blocker.boot,
                   "fenced_in_s": seconds_between(now, blocker.fenced_at)})
        });
        blockers.collect()
    }

    /// The pending change, if there is one.
    fn change_json(&self, now: Nanos, leader: &LeaderContext) -> Option<Value> {
        let record = self.coordinator.record();
        let Phase::Joint(change) = &record.phase else { return None };
        let start = self.revision_starts.get(&record.revision.0);
        let since = start.map_or(leader.unix_now(), |start| start.at);
        let policy = self.archive.get(change.to);
        Some(json!({
            "to": change.to, "author": change.author, "reason": change.reason,
            "policy": policy.map(Policy::document),
            "compared": policy.map(|p| self.compare(record.in_force, p)),
            "since_s": seconds_between(since, leader.unix_now()),
            "gives_up_in_s": seconds_between(now, self.coordinator.change_deadline()),
        }))
    }

    /// The first [`MAX_LISTED_MEMBERS`] members.
    fn members_json(&self) -> Vec<Value> {
        let members = self.coordinator.members().take(MAX_LISTED_MEMBERS);
        members
            .map(|(name, incarnation, acting)| json!({"name": name, "boot": incarnation, "acting": acting}))
            .collect()
    }
}

impl PolicyController {
    /// The status of policies and the record's revision.
    pub(crate) fn status(&self, leader: &LeaderContext) -> Versioned {
        let now = leader.monotonic_now();
        let state = lock(&self.state);
        let record = state.coordinator.record();
        let joined = state.coordinator.members().filter(|m| m.2 >= record.revision).count();
        let last = record.last.as_ref().map(
            |(number, outcome)| json!({"policy": number, "ended": outcome, "in_words": outcome.to_string()}),
        );
        let store_error = state.require_complete_store().err().map(|e| e.to_string());
        let body = json!({
            "revision": record.revision, "holds": record.in_force, "in_words": describe_policy_set(record.policy_set()),
            "holding": state.archive.get(record.in_force).map(Policy::document),
            "change": state.change_json(now, leader), "waits_for": state.blockers_json(now), "last": last,
            "members": state.members_json(), "processes": state.coordinator.members().count(),
            "joined": joined, "fault": state.error.clone().or(store_error), "now_ns": leader.unix_now(),
        });
        Versioned { body, revision: record.revision.0 }
    }

    /// The most recent events, newest first.
    pub(crate) fn history(&self, limit: usize) -> Value {
        let state = lock(&self.state);
        let events = state.coordinator.record().events.iter().rev().take(limit).map(|e| {
            let start = state.revision_starts.get(&e.revision.0);
            json!({"revision": e.revision, "policy": e.policy, "what": e.what, "at": start.map(|s| s.at),
                   "told": start.map(|s| describe_policy_set(s.policy_set))})
        });
        json!({"events": events.collect::<Vec<_>>()})
    }

    /// The revisions that a proxy applied, oldest first; with `at` (Unix nanoseconds) only those that it applied at that time.
    pub(crate) fn explain(&self, name: &str, at: Option<Nanos>) -> Result<Value, CommandError> {
        let state = lock(&self.state);
        let changes =
            state.history.changes(name).ok_or_else(|| PolicyCommandError::UnknownProxy(name.into()))?;
        let describe = |revision: u64| match (revision, state.revision_starts.get(&revision)) {
            (0, _) => "no policy lease: fallback policy, or not running".to_owned(),
            (1, None) => describe_policy_set(PolicySet::Pure(PolicyNumber(0))),
            (_, Some(RevisionStart { policy_set, .. })) => describe_policy_set(*policy_set),
            (_, None) => "a revision that is no longer recorded".into(),
        };
        let spans = changes.iter().enumerate().map(|(i, change)| {
            let same_process = changes.iter().skip(i + 1).find(|next| next.incarnation == change.incarnation);
            (change, same_process.map(|next| next.at))
        });
        let is_wanted = |from: Nanos, until: Option<Nanos>| {
            at.is_none_or(|at| from <= at && until.is_none_or(|until| at < until))
        };
        let acted: Vec<Value> = spans
            .filter(|(change, until)| is_wanted(change.at, *until))
            .map(|(change, until)| {
                json!({"from": change.at, "until": until, "boot": change.incarnation,
                       "revision": change.revision, "acted_by": describe(change.revision.0)})
            })
            .collect();
        let note =
            "times are those at which the leader received a report; a policy change is never reported late in a \
                    way that matters";
        Ok(json!({"proxy": name, "at": at, "acted": acted, "note": note}))
    }

    /// Values for `/metrics`.
    pub(crate) fn stats(&self, leader: &LeaderContext) -> PolicyStats {
        let now = leader.monotonic_now();
        let state = lock(&self.state);
        let record = state.coordinator.record();
        let is_joint = matches!(record.phase, Phase::Joint(_));
        PolicyStats {
            revision: record.revision.0,
            in_force: record.in_force.0,
            is_joint,
            members: state.coordinator.members().count() as i64,
            blockers: if is_joint { state.coordinator.blocking_members(now).len() as i64 } else { 0 },
            is_up: state.error.is_none() && state.require_complete_store().is_ok(),
        }
    }
}
