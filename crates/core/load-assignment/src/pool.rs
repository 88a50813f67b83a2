//! Tracks the endpoints of a cluster over time: the last assignment, the state of each endpoint, and the changes not yet
//! reported.

use crate::assignment::{Assignment, Endpoint, Health};
use crate::effective::{effective, levels, Effective, Sharing};
use crate::levels::{Level, Load};
use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How an endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUse {
    /// It receives its share of the load.
    Serves,
    /// It is eligible, but its priority or locality currently receives no load. Connections to it may stay open.
    StandsBy,
    /// It receives no new requests: it is draining or unhealthy.
    Drains,
}

/// An endpoint as the pool reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Identity.
    pub id: Arc<str>,
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Zone.
    pub zone: Arc<str>,
    /// Machine kind.
    pub kind: Arc<str>,
    /// Cell: a group of endpoints that may deduplicate keyed requests together.
    pub cell: u32,
    /// Share of the load as a multiple of an equal share; greater than 0.
    pub weight: f64,
    /// How it is used.
    pub standing: EndpointUse,
    /// When it started. If that is unknown, when it was first listed, or 0 if the first assignment already listed it.
    pub started: Nanos,
    /// When its zone or cell last changed; 0: never. See [`crate::retry_safety`].
    pub group_changed_at: Nanos,
    /// Whether it is the origin behind the cluster.
    pub origin: bool,
}

/// A change of the endpoints of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeChange {
    /// An endpoint was added or changed.
    Put(Node),
    /// The endpoint with this identity was removed.
    Gone(Arc<str>),
}

/// Settings of a cluster apart from its endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterRules {
    /// How the endpoints share the load.
    pub sharing: Sharing,
    /// Minimum interval between reports of changes that affect only weights (`update_merge_window`).
    pub merge_window: Nanos,
}

/// Envoy's default `update_merge_window`, in nanoseconds.
pub const DEFAULT_MERGE_WINDOW: Nanos = 1_000_000_000;

impl Default for ClusterRules {
    fn default() -> Self {
        ClusterRules { sharing: Sharing::default(), merge_window: DEFAULT_MERGE_WINDOW }
    }
}

/// An endpoint as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Current state.
    pub node: Node,
    /// Share of the load, from 0 to 1.
    pub part: f64,
    /// Declared health.
    pub health: Health,
    /// Declared weight.
    pub weight: u32,
    /// Priority.
    pub priority: u8,
    /// Region and sub-zone of its locality.
    pub locality: (Arc<str>, Arc<str>),
}

/// What the pool tracks of an endpoint beyond its declaration.
struct TrackedNode {
    node: Node,
    /// The node as last reported; `None` if it has not been reported.
    reported: Option<Node>,
    /// Number of the last assignment that listed it.
    listed_in: u64,
}

impl TrackedNode {
    fn new(endpoint: &Endpoint, started: Nanos) -> Self {
        let place = &endpoint.place;
        let node = Node {
            id: endpoint.id.clone(),
            addr: endpoint.addr,
            zone: place.zone.clone(),
            kind: place.kind.clone(),
            cell: place.cell,
            weight: 1.0,
            standing: EndpointUse::StandsBy,
            started,
            group_changed_at: 0,
            origin: false,
        };
        TrackedNode { node, reported: None, listed_in: 0 }
    }

    /// Applies the endpoint's declaration in a new assignment.
    fn update(&mut self, endpoint: &Endpoint, now: Nanos) {
        let (node, place) = (&mut self.node, &endpoint.place);
        if (&node.zone, node.cell) != (&place.zone, place.cell) {
            // Danger: the endpoint has records only of the keyed requests sent to its former group, so it cannot
            // deduplicate a retry of a request sent to the new group before it joined.
            node.group_changed_at = now;
        }
        if let Some(started) = endpoint.started {
            node.started = started;
        } else if node.addr != endpoint.addr {
            // A different process now has this identity.
            node.started = now;
        }
        node.addr = endpoint.addr;
        (node.zone, node.kind, node.cell) = (place.zone.clone(), place.kind.clone(), place.cell);
    }
}

/// The endpoints of a cluster.
#[derive(Default)]
pub struct Pool {
    rules: ClusterRules,
    assignment: Assignment,
    is_assigned: bool,
    /// When the assignment becomes stale.
    stale_at: Option<Nanos>,
    effective: Effective,
    nodes: HashMap<Arc<str>, TrackedNode>,
    /// Reported nodes whose removal has not been reported yet.
    removed: Vec<Arc<str>>,
    /// Number of assignments so far.
    assignments: u64,
    /// When changes that affect only weights were last reported.
    weights_reported_at: Option<Nanos>,
    has_unreported_weights: bool,
}

impl Pool {
    /// Creates a pool without an assignment.
    pub fn new(rules: ClusterRules) -> Self {
        Pool { rules, ..Pool::default() }
    }

    /// Returns `true` once an assignment has been received.
    pub fn is_assigned(&self) -> bool {
        self.is_assigned
    }

    /// The last assignment.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// The effective distribution of the load.
    pub fn effective(&self) -> &Effective {
        &self.effective
    }

    /// Replaces the settings of the cluster.
    pub fn set_rules(&mut self, rules: ClusterRules, now: Nanos) {
        if self.rules != rules {
            self.rules = rules;
            self.recompute(now);
        }
    }

    /// Applies an assignment. Even an unchanged one restarts `endpoint_stale_after`.
    pub fn assign(&mut self, assignment: Assignment, now: Nanos) {
        self.stale_at = assignment.rules().stale_after.map(|after| now.saturating_add(after));
        // The endpoints of the first assignment may have started long before they were listed.
        let is_first = !std::mem::replace(&mut self.is_assigned, true);
        self.assignment = assignment;
        self.assignments += 1;
        for (_, endpoint) in self.assignment.endpoints() {
            let started = endpoint.started.unwrap_or(if is_first { 0 } else { now });
            let tracked = self.nodes.entry(endpoint.id.clone());
            let tracked = tracked.or_insert_with(|| TrackedNode::new(endpoint, started));
            tracked.listed_in = self.assignments;
            tracked.update(endpoint, now);
        }
        self.remove_unlisted();
        self.recompute(now);
    }

    /// Removes the endpoints that the last assignment does not list.
    fn remove_unlisted(&mut self) {
        let current = self.assignments;
        let unlisted = self.nodes.iter().filter(|(_, tracked)| tracked.listed_in != current);
        let unlisted: Vec<Arc<str>> = unlisted.map(|(id, _)| id.clone()).collect();
        for id in unlisted {
            if self.nodes.remove(&id).is_some_and(|tracked| tracked.reported.is_some()) {
                self.removed.push(id);
            }
        }
    }

    /// Recomputes the distribution if the assignment has become stale, and returns whether it has.
    pub fn tick(&mut self, now: Nanos) -> bool {
        // If no endpoint is available, the staleness has already been applied or would change nothing.
        let became_stale = self.is_stale(now) && self.has_available();
        if became_stale {
            self.recompute(now);
        }
        became_stale
    }

    fn is_stale(&self, now: Nanos) -> bool {
        self.stale_at.is_some_and(|at| at <= now)
    }

    /// Returns `true` if the last computation found a healthy or degraded endpoint.
    fn has_available(&self) -> bool {
        self.effective.levels.iter().any(|(level, _)| level.healthy + level.degraded != 0)
    }

    fn recompute(&mut self, now: Nanos) {
        let stale = self.is_stale(now);
        self.effective = effective(&self.assignment, &self.rules.sharing, stale);
        let serving = self.effective.shares.iter().filter(|part| **part > 0.0).count() as f64;
        for ((_, endpoint), part) in self.assignment.endpoints().zip(&self.effective.shares) {
            let Some(tracked) = self.nodes.get_mut(&endpoint.id) else { continue };
            tracked.node.standing = match endpoint.health {
                Health::Draining => EndpointUse::Drains,
                _ if *part > 0.0 => EndpointUse::Serves,
                Health::Unhealthy => EndpointUse::Drains,
                Health::Healthy | Health::Degraded if stale => EndpointUse::Drains,
                Health::Healthy | Health::Degraded => EndpointUse::StandsBy,
            };
            if *part > 0.0 {
                tracked.node.weight = part * serving;
            }
        }
    }

    /// Returns the changes since the last call. Changes that affect only weights wait for the merge window; all others are
    /// reported immediately.
    pub fn changes(&mut self, now: Nanos) -> Vec<NodeChange> {
        let is_window_over =
            self.weights_reported_at.is_none_or(|at| now >= at.saturating_add(self.rules.merge_window));
        let mut changes: Vec<NodeChange> = self.removed.drain(..).map(NodeChange::Gone).collect();
        let mut reports_weights = false;
        self.has_unreported_weights = false;
        for tracked in self.nodes.values_mut() {
            let kind = match &tracked.reported {
                None => ChangeKind::Urgent,
                Some(reported) => ChangeKind::between(reported, &tracked.node),
            };
            match kind {
                ChangeKind::Unchanged => {}
                ChangeKind::Weight if !is_window_over => self.has_unreported_weights = true,
                ChangeKind::Weight | ChangeKind::Urgent => {
                    reports_weights |= kind == ChangeKind::Weight;
                    changes.push(NodeChange::Put(tracked.node.clone()));
                    tracked.reported = Some(tracked.node.clone());
                }
            }
        }
        if reports_weights {
            self.weights_reported_at = Some(now);
        }
        changes
    }

    /// Returns all endpoints as last reported.
    pub fn reported_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter_map(|tracked| tracked.reported.as_ref())
    }

    /// Returns when the pool next needs a call: at the end of the merge window or when the assignment becomes stale.
    pub fn wake(&self, now: Nanos) -> Option<Nanos> {
        let reported_at = self.weights_reported_at.filter(|_| self.has_unreported_weights);
        let merged = reported_at.map(|at| at.saturating_add(self.rules.merge_window).max(now));
        let stale = self.stale_at.filter(|at| *at > now);
        merged.into_iter().chain(stale).min()
    }

    /// Returns the state of each priority; an aggregate cluster that contains this one uses it as well.
    pub fn levels(&self, now: Nanos) -> Vec<Level> {
        levels(&self.assignment, self.is_stale(now))
    }

    /// Returns the state and load of each priority.
    pub fn loads(&self) -> impl Iterator<Item = &(Level, Load)> {
        self.effective.levels.iter()
    }

    /// Returns all endpoints as shown to operators.
    pub fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let endpoints = self.assignment.endpoints().zip(&self.effective.shares);
        let shown = endpoints.filter_map(|((locality, endpoint), part)| {
            Some(EndpointStatus {
                node: self.nodes.get(&endpoint.id)?.node.clone(),
                part: *part,
                health: endpoint.health,
                weight: endpoint.weight.get(),
                priority: locality.priority,
                locality: (locality.name.region.clone(), locality.name.sub_zone.clone()),
            })
        });
        shown.collect()
    }
}

/// The kind of difference between two states of a node.
#[derive(Clone, Copy, PartialEq)]
enum ChangeKind {
    Unchanged,
    Weight,
    Urgent,
}

impl ChangeKind {
    fn between(old: &Node, new: &Node) -> ChangeKind {
        // Differences within rounding error are not reported.
        let is_same = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(b.abs());
        let Node { weight, .. } = *new;
        match (Node { weight, ..old.clone() } == *new, is_same(old.weight, weight)) {
            (false, _) => ChangeKind::Urgent,
            (true, false) => ChangeKind::Weight,
            (true, true) => ChangeKind::Unchanged,
        }
    }
}
