//! What follows from what is declared: the changes since the last time, in an order in which nothing is referred to before
//! it is there.

use super::{Catalogue, Change, Held, Spec, Warmth, ROUTES_WAIT};
use crate::cluster::Members;
use crate::listener::Routes;
use rushquay_load_assignment::{aggregate, Nanos, Node, NodeChange};
use rushquay_routing::Table;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Aggregates stand in one another at most so deep.
const DEPTH: usize = 8;

impl Catalogue {
    /// All that has changed since this was last asked.
    pub fn settle(&mut self, now: Nanos) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, held) in &mut self.clusters {
            let over = matches!(held.warmth, Warmth::Warming(until) if until > 0 && until <= now);
            if over {
                // "initial_fetch_timeout": it goes on without endpoints.
                held.warmth = Warmth::Active;
            }
            let stale = held.pool.tick(now);
            if over || stale || held.pool.wake(now).is_some_and(|at| at <= now) || held.is_told_otherwise() {
                self.dirty.insert(name.clone());
            }
        }
        let dirty = std::mem::take(&mut self.dirty);
        for name in &dirty {
            if let Some(held) = self.clusters.get_mut(name) {
                held.settle(name, now, &mut changes);
            }
        }
        self.origins(&mut changes);
        self.splits(now, &mut changes);
        self.route(now, &mut changes);
        changes.extend(self.gone.drain(..).map(Change::Gone));
        changes
    }

    /// When something is due that nobody will tell.
    pub fn wake(&self, now: Nanos) -> Option<Nanos> {
        let clusters = self.clusters.values().flat_map(|h| {
            let warm = match h.warmth {
                Warmth::Warming(until) if until > 0 => Some(until),
                _ => None,
            };
            let looked = match &h.spec.members {
                Members::Dns { lookups, .. } => lookups.wake(),
                _ => None,
            };
            [warm, looked, h.pool.wake(now)]
        });
        clusters.flatten().chain(self.next.as_ref().map(|(_, until)| *until)).min()
    }

    /// The origin's endpoints stand among those of each cluster that it is behind.
    fn origins(&mut self, changes: &mut Vec<Change>) {
        let behind: Vec<(Arc<str>, Option<Arc<str>>)> = self
            .clusters
            .iter()
            .filter(|(_, h)| h.told.is_some() && (h.spec.origin.is_some() || !h.origin.is_empty()))
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
            let Some(held) = self.clusters.get_mut(&name) else { continue };
            if held.origin == now {
                continue;
            }
            let gone = held.origin.keys().filter(|id| !now.contains_key(*id)).cloned().map(NodeChange::Gone);
            let put = now
                .iter()
                .filter(|(id, n)| held.origin.get(*id) != Some(n))
                .map(|(_, n)| NodeChange::Put(n.clone()));
            changes.push(Change::Nodes(name, gone.chain(put).collect()));
            held.origin = now;
        }
    }

    /// The clusters that a name stands for: itself, or those of an aggregate, each once.
    fn leaves(&self, name: &Arc<str>, depth: usize, found: &mut Vec<Arc<str>>) {
        match self.clusters.get(name).map(|h| &h.spec.members) {
            Some(Members::Aggregate(members)) if depth < DEPTH => {
                members.iter().for_each(|m| self.leaves(m, depth + 1, found));
            }
            Some(Members::Aggregate(_)) => {}
            _ if found.contains(name) => {}
            _ => found.push(name.clone()),
        }
    }

    fn splits(&mut self, now: Nanos, changes: &mut Vec<Change>) {
        let aggregates: Vec<Arc<str>> = self
            .clusters
            .iter()
            .filter(|(_, h)| matches!(h.spec.members, Members::Aggregate(_)))
            .map(|(n, _)| n.clone())
            .collect();
        for name in aggregates {
            let mut leaves = Vec::new();
            self.leaves(&name, 0, &mut leaves);
            let levels = |leaf: &Arc<str>| match self.clusters.get(leaf) {
                Some(held) if held.warmth == Warmth::Active => held.pool.levels(now),
                _ => Vec::new(),
            };
            let levels: Vec<_> = leaves.iter().map(levels).collect();
            let Some(held) = self.clusters.get_mut(&name) else { continue };
            let parts = aggregate::split(&levels, held.spec.rules.sharing.panic);
            let split: Vec<_> = leaves.into_iter().zip(parts).collect();
            if held.split != split {
                held.split = split;
                changes.push(Change::Split(name, held.split.clone()));
            }
        }
    }

    /// The table that the chosen listener wants.
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

    /// Danger: a route that is switched to a cluster which nobody knows yet would refuse all its requests until it comes.
    fn route(&mut self, now: Nanos, changes: &mut Vec<Change>) {
        let wanted = self.wanted_table();
        if self.listener().is_none() {
            // The listener is gone, and all its routes with it.
            self.next = None;
            if self.table.take().is_some() {
                changes.push(Change::Routes(None));
            }
            return;
        }
        // Routes that have not come leave those that hold.
        let Some(wanted) = wanted else { return };
        let same = |a: &Arc<Table>, b: &Arc<Table>| Arc::ptr_eq(a, b);
        if self.table.as_ref().is_some_and(|t| same(t, &wanted)) {
            self.next = None;
            return;
        }
        let until = match &self.next {
            Some((next, until)) if same(next, &wanted) => *until,
            _ => now.saturating_add(ROUTES_WAIT),
        };
        let there = |name: &&Arc<str>| self.clusters.get(*name).is_some_and(|h| h.warmth == Warmth::Active);
        if wanted.clusters().iter().all(there) || now >= until {
            self.next = None;
            self.routed = true;
            self.table = Some(wanted.clone());
            changes.push(Change::Routes(Some(wanted)));
        } else {
            self.next = Some((wanted, until));
        }
    }

    /// Whether routes have held once.
    pub fn is_ready(&self) -> bool {
        self.routed
    }

    /// Names of clusters that routes refer to and that aren't there.
    pub fn missing(&self) -> BTreeSet<Arc<str>> {
        let tables = self.table.iter().chain(self.next.iter().map(|(t, _)| t));
        let names = tables.flat_map(|t| t.clusters().into_iter().cloned().collect::<Vec<_>>());
        names.filter(|n| !self.clusters.contains_key(n)).collect()
    }
}

impl Held {
    fn is_told_otherwise(&self) -> bool {
        self.warmth == Warmth::Active && self.told.is_none()
    }

    fn settle(&mut self, name: &Arc<str>, now: Nanos, changes: &mut Vec<Change>) {
        if self.warmth != Warmth::Active {
            return;
        }
        let c = &self.spec;
        let spec = Spec {
            name: name.clone(),
            connect_timeout: c.connect_timeout,
            limits: c.limits,
            node_connections: c.node_connections,
            idle: c.idle,
            renew: c.renew,
            group: c.group.clone(),
        };
        if self.told.as_deref() != Some(&spec) {
            let spec = Arc::new(spec);
            self.told = Some(spec.clone());
            changes.push(Change::Cluster(spec));
        }
        let nodes = self.pool.changes(now);
        if !nodes.is_empty() {
            changes.push(Change::Nodes(name.clone(), nodes));
        }
        let shed = (self.pool.effective().rejected, self.pool.assignment().rules().overloads.clone());
        if self.shed != shed {
            self.shed = shed.clone();
            changes.push(Change::Shed(name.clone(), shed.0, shed.1));
        }
    }
}
