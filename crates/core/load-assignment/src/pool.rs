//! One cluster's endpoints over time: what was declared last, who takes part, and what has changed since it was last told.

use crate::assignment::{Assignment, Health};
use crate::effective::{effective, levels, Effective, Sharing};
use crate::levels::{Level, Load};
use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What becomes of an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes its part.
    Serves,
    /// It would do, but its priority or locality takes nothing now. Connections to it may stay.
    StandsBy,
    /// Nothing new may be sent: it drains, or is unhealthy.
    Drains,
}

/// An endpoint as it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its identity.
    pub id: Arc<str>,
    /// Where to connect.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its machine kind.
    pub kind: Arc<str>,
    /// Its cell.
    pub cell: u32,
    /// Its part, as a multiple of an even one; over 0.
    pub weight: f64,
    /// What becomes of it.
    pub standing: Standing,
    /// When it started, or came where that isn't told; 0: long ago.
    pub started: Nanos,
    /// Since when its zone and cell are what they are; 0: since it came. See [`crate::repeats`].
    pub grouped: Nanos,
    /// It is the origin behind the cluster.
    pub origin: bool,
}

/// A change of a cluster's endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeChange {
    /// New or changed.
    Put(Node),
    /// Gone.
    Gone(Arc<str>),
}

/// How a cluster is used, apart from its endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterRules {
    /// How endpoints share the load.
    pub sharing: Sharing,
    /// Changes of weights alone wait for so long after the last one (`update_merge_window`).
    pub merge: Nanos,
}

/// Envoy's `update_merge_window` where nothing is told.
pub const MERGE: Nanos = 1_000_000_000;

impl Default for ClusterRules {
    fn default() -> Self {
        ClusterRules { sharing: Sharing::default(), merge: MERGE }
    }
}

/// An endpoint as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// As it is used.
    pub node: Node,
    /// Its part of the load, from 0 to 1.
    pub part: f64,
    /// What is declared of its health.
    pub health: Health,
    /// Its own weight.
    pub weight: u32,
    /// Its priority.
    pub priority: u8,
    /// Region and sub-zone of its locality.
    pub locality: (Arc<str>, Arc<str>),
}

/// What is remembered of an endpoint beside what is declared.
struct Held {
    node: Node,
    /// The node as it was last told; `None`: never.
    told: Option<Node>,
    /// Seen in the pass that is being made.
    pass: u64,
}

/// One cluster's endpoints.
#[derive(Default)]
pub struct Pool {
    rules: ClusterRules,
    assignment: Assignment,
    assigned: bool,
    /// When the assignment stops counting.
    stale_at: Option<Nanos>,
    now: Effective,
    held: HashMap<Arc<str>, Held>,
    gone: Vec<Arc<str>>,
    pass: u64,
    /// When changes of weights were last told.
    told_at: Option<Nanos>,
    /// Weights have changed that were not told yet.
    waiting: bool,
}

impl Pool {
    /// Nothing is declared yet.
    pub fn new(rules: ClusterRules) -> Self {
        Pool { rules, ..Pool::default() }
    }

    /// Whether an assignment has come.
    pub fn is_assigned(&self) -> bool {
        self.assigned
    }

    /// What is declared.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// What each priority takes, and what is refused.
    pub fn effective(&self) -> &Effective {
        &self.now
    }

    /// Changes how the cluster is used.
    pub fn set_rules(&mut self, rules: ClusterRules, now: Nanos) {
        if self.rules != rules {
            self.rules = rules;
            self.compute(now);
        }
    }

    /// Takes an assignment. One that says the same as the last still counts as new (`endpoint_stale_after`).
    pub fn assign(&mut self, assignment: Assignment, now: Nanos) {
        self.stale_at = assignment.rules().stale_after.map(|after| now.saturating_add(after));
        // A pool that has its first list has not seen its endpoints start.
        let first = !std::mem::replace(&mut self.assigned, true);
        self.assignment = assignment;
        self.pass += 1;
        for (_, endpoint) in self.assignment.endpoints() {
            let started = endpoint.started.unwrap_or(if first { 0 } else { now });
            let place = &endpoint.place;
            let held = self.held.entry(endpoint.id.clone()).or_insert_with(|| Held {
                node: Node {
                    id: endpoint.id.clone(),
                    addr: endpoint.addr,
                    zone: place.zone.clone(),
                    kind: place.kind.clone(),
                    cell: place.cell,
                    weight: 1.0,
                    standing: Standing::StandsBy,
                    started,
                    grouped: 0,
                    origin: false,
                },
                told: None,
                pass: 0,
            });
            held.pass = self.pass;
            let node = &mut held.node;
            if (&node.zone, node.cell) != (&place.zone, place.cell) {
                // Danger: what it remembers of keyed requests is what its old group sent it.
                node.grouped = now;
            }
            if endpoint.started.is_some() {
                node.started = started;
            } else if node.addr != endpoint.addr {
                // Under this name another process answers.
                node.started = now;
            }
            node.addr = endpoint.addr;
            (node.zone, node.kind, node.cell) = (place.zone.clone(), place.kind.clone(), place.cell);
        }
        let pass = self.pass;
        let gone = self.held.iter().filter(|(_, h)| h.pass != pass).map(|(id, _)| id.clone());
        let gone: Vec<Arc<str>> = gone.collect();
        for id in gone {
            if self.held.remove(&id).is_some_and(|h| h.told.is_some()) {
                self.gone.push(id);
            }
        }
        self.compute(now);
    }

    /// Time has passed; returns whether the assignment has grown too old by it.
    pub fn tick(&mut self, now: Nanos) -> bool {
        let over = self.stale_at.is_some_and(|at| at <= now) && !self.is_stale(now, true);
        if over {
            self.compute(now);
        }
        over
    }

    /// Whether the assignment is older than it may be; `told`: whether that has been reckoned with.
    fn is_stale(&self, now: Nanos, told: bool) -> bool {
        let over = self.stale_at.is_some_and(|at| at <= now);
        match told {
            true => over && self.now.levels.iter().all(|(l, _)| l.healthy + l.degraded == 0),
            false => over,
        }
    }

    fn compute(&mut self, now: Nanos) {
        let stale = self.is_stale(now, false);
        self.now = effective(&self.assignment, &self.rules.sharing, stale);
        let serving = self.now.parts.iter().filter(|p| **p > 0.0).count() as f64;
        for ((_, endpoint), part) in self.assignment.endpoints().zip(&self.now.parts) {
            let Some(held) = self.held.get_mut(&endpoint.id) else { continue };
            held.node.standing = match endpoint.health {
                Health::Draining => Standing::Drains,
                _ if *part > 0.0 => Standing::Serves,
                Health::Unhealthy => Standing::Drains,
                Health::Healthy | Health::Degraded if stale => Standing::Drains,
                Health::Healthy | Health::Degraded => Standing::StandsBy,
            };
            if *part > 0.0 {
                held.node.weight = part * serving;
            }
        }
    }

    /// What has changed since it was last asked. Changes of weights alone wait out the merge window; who may be sent to, and
    /// where, never does.
    pub fn changes(&mut self, now: Nanos) -> Vec<NodeChange> {
        let due = self.told_at.is_none_or(|at| now >= at.saturating_add(self.rules.merge));
        let mut changes: Vec<NodeChange> = self.gone.drain(..).map(NodeChange::Gone).collect();
        let (mut weights, mut waiting) = (false, false);
        for held in self.held.values_mut() {
            let news = match &held.told {
                None => News::Urgent,
                Some(told) => News::between(told, &held.node),
            };
            match news {
                News::None => {}
                News::Weight if !due => waiting = true,
                News::Weight | News::Urgent => {
                    weights |= news == News::Weight;
                    changes.push(NodeChange::Put(held.node.clone()));
                    held.told = Some(held.node.clone());
                }
            }
        }
        self.waiting = waiting;
        if weights {
            self.told_at = Some(now);
        }
        changes
    }

    /// All endpoints as they were last told.
    pub fn told(&self) -> impl Iterator<Item = &Node> {
        self.held.values().filter_map(|h| h.told.as_ref())
    }

    /// When something is due that nobody will tell.
    pub fn wake(&self, now: Nanos) -> Option<Nanos> {
        let merged =
            self.told_at.filter(|_| self.waiting).map(|at| at.saturating_add(self.rules.merge).max(now));
        let stale = self.stale_at.filter(|at| *at > now);
        merged.into_iter().chain(stale).min()
    }

    /// What is known of each priority, also for an aggregate that this cluster is part of.
    pub fn levels(&self, now: Nanos) -> Vec<Level> {
        levels(&self.assignment, self.is_stale(now, false))
    }

    /// What each priority takes.
    pub fn loads(&self) -> impl Iterator<Item = &(Level, Load)> {
        self.now.levels.iter()
    }

    /// All endpoints as an operator sees them.
    pub fn shown(&self) -> Vec<Shown> {
        let shown = self.assignment.endpoints().zip(&self.now.parts).filter_map(|((locality, e), part)| {
            Some(Shown {
                node: self.held.get(&e.id)?.node.clone(),
                part: *part,
                health: e.health,
                weight: e.weight.get(),
                priority: locality.priority,
                locality: (locality.name.region.clone(), locality.name.sub_zone.clone()),
            })
        });
        shown.collect()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum News {
    None,
    Weight,
    Urgent,
}

impl News {
    fn between(old: &Node, new: &Node) -> News {
        // Rounding is no change.
        let same = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(b.abs());
        let Node { weight, .. } = *new;
        match (Node { weight, ..old.clone() } == *new, same(old.weight, weight)) {
            (false, _) => News::Urgent,
            (true, false) => News::Weight,
            (true, true) => News::None,
        }
    }
}
