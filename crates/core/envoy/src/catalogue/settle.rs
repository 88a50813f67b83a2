//! Derives the changes since the last call from the declared resources. They are ordered so that everything exists before
//! something refers to it.

use super::{Catalogue, Change, ClusterState, Spec, WarmingState, ROUTES_WAIT};
use crate::cluster::Members;
use crate::listener::Routes;
use rushquay_load_assignment::{aggregate, Nanos, Node, NodeChange};
use rushquay_routing::Table;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum nesting of aggregate clusters.
const MAX_AGGREGATE_DEPTH: usize = 8;

impl Catalogue {
    /// Returns all changes since the last call.
    pub fn settle(&mut self, now: Nanos) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, state) in &mut self.clusters {
            let timed_out = matches!(state.warmth, WarmingState::Warming(until) if until > 0 && until <= now);
            if timed_out {
                // `initial_fetch_timeout` has expired: continue without endpoints.
                state.warmth = WarmingState::Active;
            }
            let stale = state.pool.tick(now);
            if timed_out
                || stale
                || state.pool.wake(now).is_some_and(|at| at <= now)
                || state.needs_first_report()
            {
                self.dirty.insert(name.clone());
            }
        }
        let dirty = std::mem::take(&mut self.dirty);
        for name in &dirty {
            if let Some(state) = self.clusters.get_mut(name) {
                state.settle(name, now, &mut changes);
            }
        }
        self.update_origins(&mut changes);
        self.update_splits(now, &mut changes);
        self.update_routes(now, &mut changes);
        changes.extend(self.removed_clusters.drain(..).map(Change::Gone));
        changes
    }

    /// The next time at which a timer expires.
    pub fn wake(&self, now: Nanos) -> Option<Nanos> {
        let clusters = self.clusters.values().flat_map(|h| {
            let warming_until = match h.warmth {
                WarmingState::Warming(until) if until > 0 => Some(until),
                _ => None,
            };
            let next_lookup = match &h.spec.members {
                Members::Dns { lookups, .. } => lookups.wake(),
                _ => None,
            };
            [warming_until, next_lookup, h.pool.wake(now)]
        });
        clusters.flatten().chain(self.pending.as_ref().map(|(_, until)| *until)).min()
    }

    /// Adds the origin's endpoints to each cluster that has this origin.
    fn update_origins(&mut self, changes: &mut Vec<Change>) {
        let behind: Vec<(Arc<str>, Option<Arc<str>>)> = self
            .clusters
            .iter()
            .filter(|(_, h)| h.reported_spec.is_some() && (h.spec.origin.is_some() || !h.origin.is_empty()))
            .map(|(name, h)| (name.clone(), h.spec.origin.clone()))
            .collect();
        for (name, origin) in behind {
            let of = origin.as_ref().and_then(|o| self.clusters.get(o));
            let now: BTreeMap<Arc<str>, Node> = of
                .into_iter()
                .flat_map(|h| h.pool.reported_nodes())
                .map(|node| {
                    let id: Arc<str> =
                        format!("{}/{}", origin.as_deref().unwrap_or_default(), node.id).into();
                    (id.clone(), Node { id, origin: true, ..node.clone() })
                })
                .collect();
            let Some(state) = self.clusters.get_mut(&name) else { continue };
            if state.origin == now {
                continue;
            }
            let gone = state.origin.keys().filter(|id| !now.contains_key(*id)).cloned().map(NodeChange::Gone);
            let put = now
                .iter()
                .filter(|(id, n)| state.origin.get(*id) != Some(n))
                .map(|(_, n)| NodeChange::Put(n.clone()));
            changes.push(Change::Nodes(name, gone.chain(put).collect()));
            state.origin = now;
        }
    }

    /// Collects the clusters that a name resolves to: itself, or those of an aggregate, each once.
    fn collect_leaves(&self, name: &Arc<str>, depth: usize, found: &mut Vec<Arc<str>>) {
        match self.clusters.get(name).map(|h| &h.spec.members) {
            Some(Members::Aggregate(members)) if depth < MAX_AGGREGATE_DEPTH => {
                members.iter().for_each(|m| self.collect_leaves(m, depth + 1, found));
            }
            Some(Members::Aggregate(_)) => {}
            _ if found.contains(name) => {}
            _ => found.push(name.clone()),
        }
    }

    fn update_splits(&mut self, now: Nanos, changes: &mut Vec<Change>) {
        let aggregates: Vec<Arc<str>> = self
            .clusters
            .iter()
            .filter(|(_, h)| matches!(h.spec.members, Members::Aggregate(_)))
            .map(|(n, _)| n.clone())
            .collect();
        for name in aggregates {
            let mut leaves = Vec::new();
            self.collect_leaves(&name, 0, &mut leaves);
            let levels = |leaf: &Arc<str>| match self.clusters.get(leaf) {
                Some(state) if state.warmth == WarmingState::Active => state.pool.levels(now),
                _ => Vec::new(),
            };
            let levels: Vec<_> = leaves.iter().map(levels).collect();
            let Some(state) = self.clusters.get_mut(&name) else { continue };
            let parts = aggregate::split(&levels, state.spec.rules.sharing.panic);
            let split: Vec<_> = leaves.into_iter().zip(parts).collect();
            if state.split != split {
                state.split = split;
                changes.push(Change::Split(name, state.split.clone()));
            }
        }
    }

    /// The route table of the selected listener.
    fn wanted_table(&self) -> Option<Arc<Table>> {
        match &self.listener()?.routes {
            Routes::Inline(table) => Some(table.clone()),
            Routes::Rds { name, from, without_ports } => {
                let table = self.tables.get(&(from.source.clone(), name.clone()))?;
                Some(match without_ports {
                    true => Arc::new((**table).clone().without_ports(true)),
                    false => table.clone(),
                })
            }
        }
    }

    /// Activates the wanted route table once its clusters are active or the wait is over. Danger: a route that is switched to
    /// an unknown cluster rejects all its requests until the cluster arrives.
    fn update_routes(&mut self, now: Nanos, changes: &mut Vec<Change>) {
        let wanted = self.wanted_table();
        if self.listener().is_none() {
            // Without a listener there are no routes.
            self.pending = None;
            if self.table.take().is_some() {
                changes.push(Change::Routes(None));
            }
            return;
        }
        // The active routes stay until the new ones arrive.
        let Some(wanted) = wanted else { return };
        let same = |a: &Arc<Table>, b: &Arc<Table>| Arc::ptr_eq(a, b);
        if self.table.as_ref().is_some_and(|t| same(t, &wanted)) {
            self.pending = None;
            return;
        }
        let until = match &self.pending {
            Some((next, until)) if same(next, &wanted) => *until,
            _ => now.saturating_add(ROUTES_WAIT),
        };
        let is_active =
            |name: &&Arc<str>| self.clusters.get(*name).is_some_and(|h| h.warmth == WarmingState::Active);
        if wanted.clusters().iter().all(is_active) || now >= until {
            self.pending = None;
            self.was_routed = true;
            self.table = Some(wanted.clone());
            changes.push(Change::Routes(Some(wanted)));
        } else {
            self.pending = Some((wanted, until));
        }
    }

    /// Returns whether routes have been active at any time.
    pub fn is_ready(&self) -> bool {
        self.was_routed
    }

    /// Names of unknown clusters that routes refer to.
    pub fn missing(&self) -> BTreeSet<Arc<str>> {
        let tables = self.table.iter().chain(self.pending.iter().map(|(t, _)| t));
        let names = tables.flat_map(|t| t.clusters().into_iter().cloned().collect::<Vec<_>>());
        names.filter(|n| !self.clusters.contains_key(n)).collect()
    }
}

impl ClusterState {
    fn needs_first_report(&self) -> bool {
        self.warmth == WarmingState::Active && self.reported_spec.is_none()
    }

    fn settle(&mut self, name: &Arc<str>, now: Nanos, changes: &mut Vec<Change>) {
        if self.warmth != WarmingState::Active {
            return;
        }
        let c = &self.spec;
        let spec = Spec {
            name: name.clone(),
            connect_timeout: c.connect_timeout,
            limits: c.limits,
            node_connections: c.node_connections,
            idle: c.idle,
            reconnect_on_endpoint_change: c.renew,
            group: c.group.clone(),
        };
        if self.reported_spec.as_deref() != Some(&spec) {
            let spec = Arc::new(spec);
            self.reported_spec = Some(spec.clone());
            changes.push(Change::Cluster(spec));
        }
        let nodes = self.pool.changes(now);
        if !nodes.is_empty() {
            changes.push(Change::Nodes(name.clone(), nodes));
        }
        let shed = (self.pool.effective().rejected, self.pool.assignment().rules().overloads.clone());
        if self.shed != shed {
            self.shed = shed.clone();
            changes.push(Change::DropOverloads(name.clone(), shed.0, shed.1));
        }
    }
}
