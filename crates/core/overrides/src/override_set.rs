//! The overrides that there are, and what became of those that there were.

use crate::capacity_guard::{carries, Arithmetic, FleetCapacity};
use crate::{Effect, Nanos, Override, OverrideLimits, Scope, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest author and reason, in bytes.
const TEXT_MOST: usize = 500;
/// Pins at once.
const PINS_MOST: usize = 100;

/// What somebody asks for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideRequest {
    /// On which nodes.
    pub scope: Scope,
    /// What it does.
    pub effect: Effect,
    /// Until when, Unix time in nanoseconds.
    pub until: Nanos,
    /// Who asks.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Though the rest may not carry the load.
    #[serde(default)]
    pub force: bool,
}

/// Why an override is not set or lifted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OverrideError {
    /// Somebody else has changed something meanwhile.
    #[error("the overrides have changed meanwhile (now {now}, expected {expected}): look at them again")]
    Changed {
        /// The revision.
        now: u64,
        /// The one that was expected.
        expected: u64,
    },
    /// A field is out of its range.
    #[error("{0}: {1}")]
    Field(&'static str, String),
    /// The rest can't carry the load.
    #[error("{0}; say force if you mean it")]
    TooMuch(Arithmetic),
    /// There are as many as there may be.
    #[error("{0} overrides are set already: lift some first")]
    Full(usize),
    /// There is none of this number.
    #[error("no override {0} is set")]
    Unknown(u64),
}

/// What happened to an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// It was set.
    Set,
    /// It was set though too little stayed.
    Forced,
    /// Somebody lifted it.
    Lifted,
    /// Its time was over.
    Expired,
}

/// An entry of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideEvent {
    /// Its number, which grows.
    pub number: u64,
    /// When, Unix time in nanoseconds.
    pub at: Nanos,
    /// What.
    pub kind: EventKind,
    /// Who did it; the author of the override where it expired.
    pub by: String,
    /// The override.
    pub what: Override,
}

/// The book of overrides.
#[derive(Debug, Clone)]
pub struct OverrideSet {
    policy: OverrideLimits,
    live: BTreeMap<u64, Override>,
    next: u64,
    revision: u64,
    history: VecDeque<OverrideEvent>,
    events: u64,
    announced: BTreeSet<u64>,
}

impl OverrideSet {
    /// An empty book.
    pub fn new(policy: OverrideLimits) -> Self {
        OverrideSet {
            policy,
            live: BTreeMap::new(),
            next: 1,
            revision: 0,
            history: VecDeque::new(),
            events: 0,
            announced: BTreeSet::new(),
        }
    }

    /// What there is, by number.
    pub fn live(&self) -> impl Iterator<Item = &Override> + Clone {
        self.live.values()
    }

    /// Grows with each change of what is live.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What happened, the newest first.
    pub fn history(&self) -> impl Iterator<Item = &OverrideEvent> {
        self.history.iter().rev()
    }

    /// The number that the next override gets.
    pub fn next_id(&self) -> u64 {
        self.next
    }

    /// The bounds.
    pub fn policy(&self) -> &OverrideLimits {
        &self.policy
    }

    fn expect(&self, expected: Option<u64>) -> Result<(), OverrideError> {
        match expected {
            Some(expected) if expected != self.revision => {
                Err(OverrideError::Changed { now: self.revision, expected })
            }
            _ => Ok(()),
        }
    }

    /// Sets one, if the book is still at the revision that is expected.
    ///
    /// # Errors
    /// See [`Refusal`]; nothing is changed then.
    pub fn set(
        &mut self,
        ask: OverrideRequest,
        fleet: &[FleetCapacity],
        now: Nanos,
        expected: Option<u64>,
    ) -> Result<Override, OverrideError> {
        self.expect(expected)?;
        let field = |name, why: &str| Err(OverrideError::Field(name, why.to_owned()));
        for (name, text) in [("author", &ask.author), ("reason", &ask.reason)] {
            if text.trim().is_empty() || text.len() > TEXT_MOST {
                return field(name, &format!("expected 1 to {TEXT_MOST} bytes"));
            }
        }
        if ask.until <= now {
            return field("until", "lies in the past");
        }
        if ask.until - now > self.policy.longest {
            let hours = self.policy.longest as f64 / (3600.0 * SECOND as f64);
            return field("until", &format!("expected {hours:.1} hours from now at most"));
        }
        match &ask.effect {
            Effect::Out => {}
            Effect::Weight(factor) => {
                if !(*factor > 0.0 && *factor <= 10.0) {
                    return field(
                        "effect.weight",
                        "expected a factor over 0, at most 10; to send nothing take it out",
                    );
                }
            }
            Effect::Pinned { class, keys } => {
                if !matches!(ask.scope, Scope::Node(_)) {
                    return field("scope", "a pin is to one node: expected a node");
                }
                let named =
                    |text: &Option<String>| text.as_ref().is_none_or(|t| (1..=TEXT_MOST).contains(&t.len()));
                if class.is_none() && keys.is_none() || !named(class) || !named(keys) {
                    return field("effect.pinned", "expected a class, keys (such as boiler-*) or both");
                }
                if keys.as_ref().is_some_and(|k| k.trim_end_matches('*').contains('*') || k.ends_with("**")) {
                    return field("effect.pinned.keys", "expected one *, at the end");
                }
                let pins = self.live.values().filter(|o| matches!(o.effect, Effect::Pinned { .. })).count();
                // Danger: each request is held against all of them.
                if pins >= PINS_MOST {
                    return Err(OverrideError::Full(pins));
                }
            }
        }
        let empty = |text: &String| text.is_empty();
        if matches!(&ask.scope, Scope::Zone(t) | Scope::Kind(t) | Scope::Node(t) if empty(t)) {
            return field("scope", "expected a name");
        }
        if let Scope::Node(id) = &ask.scope {
            // One that left may come back; one that was never there is a slip of the pen.
            if !fleet.iter().any(|n| n.id == *id) && !ask.force {
                return field(
                    "scope.node",
                    &format!("no node is named {id:?}; say force to set it all the same"),
                );
            }
        }
        if self.live.len() >= self.policy.most {
            return Err(OverrideError::Full(self.live.len()));
        }
        let OverrideRequest { scope, effect, until, author, reason, force } = ask;
        let new = Override { id: self.next, scope, effect, since: now, until, author, reason };
        let sum = carries(self.live.values(), &new, fleet, &self.policy, now);
        let kind = match sum {
            Err(arithmetic) if !force => return Err(OverrideError::TooMuch(arithmetic)),
            Err(_) => EventKind::Forced,
            Ok(_) => EventKind::Set,
        };
        self.next += 1;
        self.revision += 1;
        self.live.insert(new.id, new.clone());
        let by = new.author.clone();
        self.note(now, kind, by, new.clone());
        Ok(new)
    }

    /// Lifts one.
    ///
    /// # Errors
    /// As [`Book::set`].
    pub fn lift(
        &mut self,
        id: u64,
        by: &str,
        now: Nanos,
        expected: Option<u64>,
    ) -> Result<Override, OverrideError> {
        self.expect(expected)?;
        let lifted = self.live.remove(&id).ok_or(OverrideError::Unknown(id))?;
        self.announced.remove(&id);
        self.revision += 1;
        self.note(now, EventKind::Lifted, by.to_owned(), lifted.clone());
        Ok(lifted)
    }

    /// Takes out what has expired.
    pub fn expire(&mut self, now: Nanos) -> Vec<Override> {
        let over: Vec<u64> = self.live.values().filter(|o| o.until <= now).map(|o| o.id).collect();
        let expired: Vec<Override> = over.iter().filter_map(|id| self.live.remove(id)).collect();
        for o in &expired {
            self.announced.remove(&o.id);
            self.revision += 1;
            self.note(o.until, EventKind::Expired, o.author.clone(), o.clone());
        }
        expired
    }

    /// What will expire soon and was not announced yet.
    pub fn expiring(&mut self, now: Nanos) -> Vec<Override> {
        let soon = |o: &&Override| o.until.saturating_sub(now) <= self.policy.announce && o.until > now;
        let soon: Vec<Override> = self.live.values().filter(soon).cloned().collect();
        soon.into_iter().filter(|o| self.announced.insert(o.id)).collect()
    }

    /// When one expires next.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.live.values().map(|o| o.until).min()
    }

    fn note(&mut self, at: Nanos, kind: EventKind, by: String, what: Override) {
        self.events += 1;
        self.history.push_back(OverrideEvent { number: self.events, at, kind, by, what });
        while self.history.len() > self.policy.history {
            self.history.pop_front();
        }
    }

    /// Goes on from what was kept: overrides, history in its order, and the numbers that were given.
    pub fn restore(
        policy: OverrideLimits,
        live: Vec<Override>,
        history: Vec<OverrideEvent>,
        next: u64,
        revision: u64,
    ) -> Self {
        let events = history.last().map_or(0, |e| e.number);
        let most = live.iter().map(|o| o.id).max().unwrap_or(0);
        OverrideSet {
            policy,
            live: live.into_iter().map(|o| (o.id, o)).collect(),
            next: next.max(most + 1),
            revision,
            history: history.into(),
            events,
            announced: BTreeSet::new(),
        }
    }
}
