//! Policies as people and scrapers see them.

use super::{lock, PolicyCommandError, PolicyController, State};
use crate::shared::{CommandError, Shared};
use rushquay_policy::{intersect, Phase, Policy, PolicyNumber, PolicySet};
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;

type Nanos = u64;

const SECOND: f64 = 1e9;

/// Members that are named in a status.
const MEMBERS_MOST: usize = 1000;

/// Whom a change waits for, in words.
pub(super) fn holdup_name(name: &str) -> String {
    match name {
        "" => "a leader that has only just begun".into(),
        name => name.into(),
    }
}

/// A record's word in words.
fn in_words(told: PolicySet) -> String {
    match told {
        PolicySet::Pure(one) => format!("policy {} alone", one.0),
        PolicySet::Joint(old, new) => format!("policies {} and {} at once", old.0, new.0),
    }
}

/// Fields that hold no objects, by their paths; classes and tenants by name.
fn leaves(path: &str, value: &Value, into: &mut Map<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                leaves(&path, value, into);
            }
        }
        Value::Array(list) if list.iter().any(|one| one["name"].is_string()) => {
            for one in list {
                leaves(&format!("{path}[{}]", one["name"].as_str().unwrap_or("")), one, into);
            }
        }
        value => drop(into.insert(path.to_owned(), value.clone())),
    }
}

/// What there is to count.
pub(crate) struct PolicyFigures {
    /// The record's revision.
    pub revision: u64,
    /// The policy that holds.
    pub holds: u64,
    /// Whether a change is under way.
    pub joint: bool,
    /// Processes that have leave.
    pub members: i64,
    /// Whom the change waits for.
    pub holdups: i64,
    /// Whether leaves are given.
    pub up: bool,
}

impl State {
    /// What changes from a policy to another, field by field, and what holds in between.
    pub(super) fn compared(&self, holds: PolicyNumber, new: &Policy) -> Value {
        let old = self.shelf.get(holds).map_or(json!({}), |p| p.settings.document());
        let new_settings = new.settings.document();
        let (mut before, mut after, mut joint) = (Map::new(), Map::new(), Map::new());
        leaves("", &old, &mut before);
        leaves("", &new_settings, &mut after);
        let met = meet_by_name(&old, &new_settings);
        leaves("", &met.0, &mut joint);
        let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        let differs = |path: &&&String| before.get(**path) != after.get(**path) && !path.ends_with("].name");
        let fields: Vec<Value> = paths
            .iter()
            .filter(differs)
            .map(|path| {
                let of = |fields: &Map<String, Value>| fields.get(*path).cloned();
                json!({"field": path, "old": of(&before), "new": of(&after), "joint": of(&joint)})
            })
            .collect();
        json!({"from": holds, "fields": fields, "stops": met.1, "floor": new.floor.document(),
               "note": "what is null is as each proxy's file says"})
    }
}

/// The meet of two documents that name only some classes each. A proxy meets whole settings; here a class that one of them does not name
/// is as each proxy's file says, and the other's word for it stands.
fn meet_by_name(old: &Value, new: &Value) -> (Value, Vec<String>) {
    let classes = |of: &Value| of["categories"].as_array().cloned().unwrap_or_default();
    let (one, two) = (classes(old), classes(new));
    let both: Vec<&Value> =
        one.iter().filter(|a| two.iter().any(|b| b["name"] == a["name"])).map(|a| &a["name"]).collect();
    let pick = |of: &[Value]| -> Vec<Value> {
        both.iter().filter_map(|name| of.iter().find(|c| c["name"] == **name).cloned()).collect()
    };
    let with = |of: &Value, classes: Vec<Value>| {
        let mut of = of.clone();
        if let Some(fields) = of.as_object_mut() {
            fields.insert("categories".into(), Value::Array(classes));
        }
        of
    };
    let met = intersect(&with(old, pick(&one)), &with(new, pick(&two)));
    let mut settings = met.settings;
    let alone = one.iter().chain(&two).filter(|c| !both.contains(&&c["name"]));
    if let Some(list) = settings["categories"].as_array_mut() {
        list.extend(alone.cloned());
    }
    (settings, met.stops.iter().map(ToString::to_string).collect())
}

impl PolicyController {
    /// How all stands, for people.
    pub(crate) fn shown(&self, shared: &Shared) -> (Value, u64) {
        let now = shared.clock.steady();
        let state = lock(&self.state);
        let record = state.coordinator.record();
        let left = |at: Nanos| at.saturating_sub(now) as f64 / SECOND;
        let holdups: Vec<Value> = match record.phase {
            Phase::Settled => Vec::new(),
            Phase::Joint(_) => {
                let all = state.coordinator.holdups(now).into_iter();
                all.map(|h| {
                    json!({"name": holdup_name(&h.name), "boot": h.boot, "fenced_in_s": left(h.fenced_at)})
                })
                .collect()
            }
        };
        let change = match &record.phase {
            Phase::Settled => None,
            Phase::Joint(change) => {
                let since = state.stood.get(&record.revision.0).map_or(shared.unix_now(), |s| s.at);
                let policy = state.shelf.get(change.to);
                Some(json!({
                    "to": change.to, "author": change.author, "reason": change.reason,
                    "policy": policy.map(Policy::document),
                    "compared": policy.map(|p| state.compared(record.holds, p)),
                    "since_s": shared.unix_now().saturating_sub(since) as f64 / SECOND,
                    "gives_up_in_s": left(state.coordinator.gives_up()),
                }))
            }
        };
        let mut members: Vec<Value> = state
            .coordinator
            .members()
            .map(|(name, boot, acting)| json!({"name": name, "boot": boot, "acting": acting}))
            .collect();
        let count = members.len();
        let joined = state.coordinator.members().filter(|m| m.2 >= record.revision).count();
        members.truncate(MEMBERS_MOST);
        let last = record
            .last
            .as_ref()
            .map(|(n, ended)| json!({"policy": n, "ended": ended, "in_words": ended.to_string()}));
        let shown = json!({
            "revision": record.revision, "holds": record.holds, "in_words": in_words(record.policy_set()),
            "holding": state.shelf.get(record.holds).map(Policy::document), "change": change,
            "waits_for": holdups, "last": last, "members": members, "processes": count, "joined": joined,
            "fault": state.fault.clone().or(state.whole().err().map(|e| e.to_string())), "now_ns": shared.unix_now(),
        });
        (shown, record.revision.0)
    }

    /// What happened, the newest first.
    pub(crate) fn history(&self, most: usize) -> Value {
        let state = lock(&self.state);
        let events = state.coordinator.record().events.iter().rev().take(most).map(|e| {
            let stood = state.stood.get(&e.revision.0);
            json!({"revision": e.revision, "policy": e.policy, "what": e.what, "at": stood.map(|s| s.at),
                   "told": stood.map(|s| in_words(s.told))})
        });
        json!({"events": events.collect::<Vec<_>>()})
    }

    /// By what a proxy acted, the newest last; at a moment (Unix time in nanoseconds), where one is named.
    pub(crate) fn explain(&self, name: &str, at: Option<Nanos>) -> Result<Value, CommandError> {
        let state = lock(&self.state);
        let changes = state.acted.of(name).ok_or_else(|| PolicyCommandError::Unknown(name.into()))?;
        let told = |revision: u64| match (revision, state.stood.get(&revision)) {
            (0, _) => "no leave: by the floor, or not there".to_owned(),
            (1, None) => in_words(PolicySet::Pure(PolicyNumber(0))),
            (_, Some(stood)) => in_words(stood.told),
            (_, None) => "a revision from too long ago".into(),
        };
        let shown: Vec<Value> = changes
            .iter()
            .enumerate()
            .map(|(i, c)| {
                let until = changes.iter().skip(i + 1).find(|n| n.boot == c.boot).map(|n| n.at);
                json!({"from": c.at, "until": until, "boot": c.boot, "revision": c.revision,
                       "acted_by": told(c.revision.0)})
            })
            .filter(|c| {
                let within = |at: Nanos| {
                    c["from"].as_u64() <= Some(at) && c["until"].as_u64().is_none_or(|until| at < until)
                };
                at.is_none_or(within)
            })
            .collect();
        Ok(json!({"proxy": name, "at": at, "acted": shown,
                  "note": "times are those at which the leader was told; a change of policy is never told late in a way that matters"}))
    }

    /// What there is to count, for `/metrics`.
    pub(crate) fn figures(&self, shared: &Shared) -> PolicyFigures {
        let now = shared.clock.steady();
        let state = lock(&self.state);
        let record = state.coordinator.record();
        let joint = matches!(record.phase, Phase::Joint(_));
        PolicyFigures {
            revision: record.revision.0,
            holds: record.holds.0,
            joint,
            members: state.coordinator.members().count() as i64,
            holdups: if joint { state.coordinator.holdups(now).len() as i64 } else { 0 },
            up: state.fault.is_none() && state.whole().is_ok(),
        }
    }
}
