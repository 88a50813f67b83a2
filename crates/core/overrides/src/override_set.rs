//! The set of live overrides, and the history of its changes.

use crate::capacity_guard::{check_capacity, CapacityCalculation, FleetCapacity};
use crate::{Effect, Nanos, Override, OverrideLimits, Scope, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum length of an author, reason or pin, in bytes.
const MAX_TEXT_BYTES: usize = 500;
/// Maximum number of pins.
const MAX_PINS: usize = 100;

/// An operator's request to set an override.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideRequest {
    /// The endpoints it applies to.
    pub scope: Scope,
    /// Its effect.
    pub effect: Effect,
    /// Expiry, in Unix time in nanoseconds.
    pub until: Nanos,
    /// Who sets it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Sets it even if the remaining endpoints may not be able to carry the load, or if the fleet has no endpoint of the
    /// given name.
    #[serde(default)]
    pub force: bool,
}

/// Why an override was not set or lifted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OverrideError {
    /// The set has changed since the caller read it.
    #[error("the overrides have changed meanwhile (now {now}, expected {expected}): read them again")]
    Changed {
        /// The current revision.
        now: u64,
        /// The revision that the caller expected.
        expected: u64,
    },
    /// A field is invalid.
    #[error("{0}: {1}")]
    Field(&'static str, String),
    /// The remaining endpoints cannot carry the load.
    #[error("{0}; say force to set it anyway")]
    InsufficientCapacity(CapacityCalculation),
    /// The maximum number of overrides or pins is reached.
    #[error("{0} overrides are already set; lift some first")]
    Full(usize),
    /// There is no live override of this number.
    #[error("no override {0} is set")]
    Unknown(u64),
}

/// The kind of a change of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// It was set.
    Set,
    /// It was set although too little capacity remained.
    Forced,
    /// An operator lifted it.
    Lifted,
    /// It expired.
    Expired,
}

/// An entry of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideEvent {
    /// Its number, increasing.
    pub number: u64,
    /// Unix time of the change, in nanoseconds.
    pub at: Nanos,
    /// The kind of change.
    pub kind: EventKind,
    /// Who made the change; the author of the override if it expired.
    pub by: String,
    /// The override.
    pub what: Override,
}

/// The set of overrides.
#[derive(Debug, Clone)]
pub struct OverrideSet {
    limits: OverrideLimits,
    live: BTreeMap<u64, Override>,
    next: u64,
    revision: u64,
    history: VecDeque<OverrideEvent>,
    /// Number of events so far, which is also the number of the last one.
    events: u64,
    /// Live overrides whose expiry has been announced.
    announced: BTreeSet<u64>,
}

/// Returns the error for an invalid field.
fn invalid_field(name: &'static str, problem: &str) -> Result<(), OverrideError> {
    Err(OverrideError::Field(name, problem.to_owned()))
}

impl OverrideSet {
    /// Creates an empty set.
    pub fn new(limits: OverrideLimits) -> Self {
        OverrideSet {
            limits,
            live: BTreeMap::new(),
            next: 1,
            revision: 0,
            history: VecDeque::new(),
            events: 0,
            announced: BTreeSet::new(),
        }
    }

    /// Returns the live overrides in the order of their numbers.
    pub fn live(&self) -> impl Iterator<Item = &Override> + Clone {
        self.live.values()
    }

    /// Returns the revision, which each change of the live overrides increments.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the history, the newest event first.
    pub fn history(&self) -> impl Iterator<Item = &OverrideEvent> {
        self.history.iter().rev()
    }

    /// Returns the number that the next override will get.
    pub fn next_id(&self) -> u64 {
        self.next
    }

    /// Returns the limits.
    pub fn limits(&self) -> &OverrideLimits {
        &self.limits
    }

    fn check_revision(&self, expected: Option<u64>) -> Result<(), OverrideError> {
        match expected {
            Some(expected) if expected != self.revision => {
                Err(OverrideError::Changed { now: self.revision, expected })
            }
            _ => Ok(()),
        }
    }

    /// Validates a request, apart from the capacity that it leaves.
    fn validate(
        &self,
        request: &OverrideRequest,
        fleet: &[FleetCapacity],
        now: Nanos,
    ) -> Result<(), OverrideError> {
        for (name, text) in [("author", &request.author), ("reason", &request.reason)] {
            if text.trim().is_empty() || text.len() > MAX_TEXT_BYTES {
                return invalid_field(name, &format!("expected 1 to {MAX_TEXT_BYTES} bytes"));
            }
        }
        if request.until <= now {
            return invalid_field("until", "is in the past");
        }
        if request.until - now > self.limits.max_duration {
            let hours = self.limits.max_duration as f64 / (3600.0 * SECOND as f64);
            return invalid_field("until", &format!("expected at most {hours:.1} hours from now"));
        }
        self.validate_effect(request)?;
        let is_empty = |text: &String| text.is_empty();
        if matches!(&request.scope, Scope::Zone(t) | Scope::Kind(t) | Scope::Node(t) if is_empty(t)) {
            return invalid_field("scope", "expected a name");
        }
        if let Scope::Node(id) = &request.scope {
            // An unlisted endpoint may return to the list, but an unknown id is probably a typing error.
            if !fleet.iter().any(|n| n.id == *id) && !request.force {
                return invalid_field(
                    "scope.node",
                    &format!("no node is named {id:?}; say force to set it anyway"),
                );
            }
        }
        if self.live.len() >= self.limits.max_overrides {
            return Err(OverrideError::Full(self.live.len()));
        }
        Ok(())
    }

    fn validate_effect(&self, request: &OverrideRequest) -> Result<(), OverrideError> {
        match &request.effect {
            Effect::Out => {}
            Effect::Weight(factor) => {
                if !(*factor > 0.0 && *factor <= 10.0) {
                    return invalid_field(
                        "effect.weight",
                        "expected a factor above 0 and at most 10; to send no requests, take the node out of service",
                    );
                }
            }
            Effect::Pinned { class, keys } => {
                if !matches!(request.scope, Scope::Node(_)) {
                    return invalid_field("scope", "a pin applies to a single node: expected a node");
                }
                let has_valid_length = |text: &Option<String>| {
                    text.as_ref().is_none_or(|t| (1..=MAX_TEXT_BYTES).contains(&t.len()))
                };
                if class.is_none() && keys.is_none() || !has_valid_length(class) || !has_valid_length(keys) {
                    return invalid_field(
                        "effect.pinned",
                        "expected a class, keys (such as boiler-*) or both",
                    );
                }
                if keys.as_ref().is_some_and(|k| k.trim_end_matches('*').contains('*') || k.ends_with("**")) {
                    return invalid_field("effect.pinned.keys", "expected a single * at the end");
                }
                let pins = self.live.values().filter(|o| matches!(o.effect, Effect::Pinned { .. })).count();
                // Danger: each request is matched against all pins.
                if pins >= MAX_PINS {
                    return Err(OverrideError::Full(pins));
                }
            }
        }
        Ok(())
    }

    /// Sets an override, if the set is still at the expected revision.
    ///
    /// # Errors
    /// See [`OverrideError`]; the set is then unchanged.
    pub fn set(
        &mut self,
        request: OverrideRequest,
        fleet: &[FleetCapacity],
        now: Nanos,
        expected: Option<u64>,
    ) -> Result<Override, OverrideError> {
        self.check_revision(expected)?;
        self.validate(&request, fleet, now)?;
        let OverrideRequest { scope, effect, until, author, reason, force } = request;
        let new = Override { id: self.next, scope, effect, since: now, until, author, reason };
        let capacity = check_capacity(self.live.values(), &new, fleet, &self.limits, now);
        let kind = match capacity {
            Err(calculation) if !force => return Err(OverrideError::InsufficientCapacity(calculation)),
            Err(_) => EventKind::Forced,
            Ok(_) => EventKind::Set,
        };
        self.next += 1;
        self.revision += 1;
        self.live.insert(new.id, new.clone());
        let by = new.author.clone();
        self.record_event(now, kind, by, new.clone());
        Ok(new)
    }

    /// Lifts an override.
    ///
    /// # Errors
    /// As for [`OverrideSet::set`].
    pub fn lift(
        &mut self,
        id: u64,
        by: &str,
        now: Nanos,
        expected: Option<u64>,
    ) -> Result<Override, OverrideError> {
        self.check_revision(expected)?;
        let lifted = self.live.remove(&id).ok_or(OverrideError::Unknown(id))?;
        self.announced.remove(&id);
        self.revision += 1;
        self.record_event(now, EventKind::Lifted, by.to_owned(), lifted.clone());
        Ok(lifted)
    }

    /// Removes and returns the expired overrides.
    pub fn expire(&mut self, now: Nanos) -> Vec<Override> {
        let expired_ids: Vec<u64> = self.live.values().filter(|o| o.until <= now).map(|o| o.id).collect();
        let expired: Vec<Override> = expired_ids.iter().filter_map(|id| self.live.remove(id)).collect();
        for o in &expired {
            self.announced.remove(&o.id);
            self.revision += 1;
            self.record_event(o.until, EventKind::Expired, o.author.clone(), o.clone());
        }
        expired
    }

    /// Returns the overrides that expire soon and have not been announced yet, and marks them as announced.
    pub fn expiring(&mut self, now: Nanos) -> Vec<Override> {
        let expires_soon =
            |o: &&Override| o.until.saturating_sub(now) <= self.limits.announce && o.until > now;
        let soon: Vec<Override> = self.live.values().filter(expires_soon).cloned().collect();
        soon.into_iter().filter(|o| self.announced.insert(o.id)).collect()
    }

    /// Returns the time of the next expiry.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.live.values().map(|o| o.until).min()
    }

    fn record_event(&mut self, at: Nanos, kind: EventKind, by: String, what: Override) {
        self.events += 1;
        self.history.push_back(OverrideEvent { number: self.events, at, kind, by, what });
        while self.history.len() > self.limits.history {
            self.history.pop_front();
        }
    }

    /// Restores a set from its stored overrides, its history (oldest event first) and its counters.
    pub fn restore(
        limits: OverrideLimits,
        live: Vec<Override>,
        history: Vec<OverrideEvent>,
        next: u64,
        revision: u64,
    ) -> Self {
        let events = history.last().map_or(0, |e| e.number);
        let highest_id = live.iter().map(|o| o.id).max().unwrap_or(0);
        OverrideSet {
            limits,
            live: live.into_iter().map(|o| (o.id, o)).collect(),
            next: next.max(highest_id + 1),
            revision,
            history: history.into(),
            events,
            announced: BTreeSet::new(),
        }
    }
}
