//! The rules of a run, shared by its connections, and the plan that a trace makes in their place.

use crate::action::FaultAction;
use crate::script::Rule;
use crate::{Direction, Nanos, RuleRng};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// One thing that was done, as a trace holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Performed {
    /// The listener's name.
    pub listener: String,
    /// The connection's ordinal there, from 1.
    pub connection: u64,
    /// The direction.
    pub lane: Direction,
    /// So many bytes had come in before it.
    pub offset: u64,
    /// For what ends or stops both directions: how many bytes of the other one had gone out, and one more where it had
    /// ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other: Option<u64>,
    /// The rule.
    pub rule: String,
    /// What was done.
    pub deed: FaultAction,
}

/// What a connection is to do in a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Its place in the order of the trace, from 0.
    pub turn: u64,
    /// What.
    pub performed: Performed,
}

/// A trace's deeds by connection.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    by: HashMap<(String, u64), Vec<Planned>>,
}

impl Plan {
    /// Of what was performed, in this order.
    pub fn new(performed: impl IntoIterator<Item = Performed>) -> Self {
        let mut plan = Plan::default();
        for (turn, performed) in performed.into_iter().enumerate() {
            let of = (performed.listener.clone(), performed.connection);
            plan.by.entry(of).or_default().push(Planned { turn: turn as u64, performed });
        }
        plan
    }

    /// What this connection is to do.
    pub fn of(&self, listener: &str, connection: u64) -> Vec<Planned> {
        self.by.get(&(listener.to_owned(), connection)).cloned().unwrap_or_default()
    }
}

/// A rule and how often it has acted on all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    pub rule: Rule,
    acted: AtomicU64,
}

impl Shared {
    /// Takes one of the times that the rule may act.
    pub fn take(&self) -> bool {
        let Some(most) = self.rule.most else { return true };
        self.acted.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n < most).then_some(n + 1)).is_ok()
    }

    /// Whether it has acted as often as it may.
    pub fn spent(&self) -> bool {
        self.rule.most.is_some_and(|most| self.acted.load(Ordering::Relaxed) >= most)
    }
}

/// The rules of a run. Cheap to clone; connections take them when they begin.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    pub(crate) rules: Vec<Arc<Shared>>,
    seed: u64,
}

impl RuleSet {
    /// These rules, drawn from this seed.
    pub fn new(seed: u64, rules: impl IntoIterator<Item = Rule>) -> Self {
        let mut set = RuleSet { rules: Vec::new(), seed };
        set.add(rules);
        set
    }

    /// Adds rules, or puts them in place of those of the same names.
    pub fn add(&mut self, rules: impl IntoIterator<Item = Rule>) {
        for rule in rules {
            self.lift(&rule.name);
            self.rules.push(Arc::new(Shared { rule, acted: AtomicU64::new(0) }));
        }
    }

    /// Takes a rule out; false if there is none of this name.
    pub fn lift(&mut self, name: &str) -> bool {
        let before = self.rules.len();
        self.rules.retain(|r| r.rule.name != name);
        self.rules.len() < before
    }

    /// The rules, in order.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.rules.iter().map(|r| &r.rule)
    }

    /// How often the rule of this name has acted, where it is limited.
    pub fn acted(&self, name: &str) -> Option<u64> {
        let shared = self.rules.iter().find(|r| r.rule.name == name)?;
        shared.rule.most.map(|_| shared.acted.load(Ordering::Relaxed))
    }

    pub(crate) fn dice(&self, listener: &str, ordinal: u64) -> RuleRng {
        RuleRng::new(self.seed).of(listener, ordinal)
    }
}

/// A moment on the clock of a run, in nanoseconds from its start.
pub(crate) fn millis(ms: u64) -> Nanos {
    ms.saturating_mul(crate::MILLI)
}
