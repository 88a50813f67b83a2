//! Coalesces pending changes until a consumer applies them; keeps at most one entry per cluster and endpoint.

use super::{Change, Spec, Split};
use rushquay_load_assignment::{Node, NodeChange, Overload};
use rushquay_routing::Table;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Coalesced changes, to be applied in the order of these fields.
#[derive(Debug, Default)]
pub struct Batch {
    /// Removed clusters, including those that were added again afterwards.
    pub gone: BTreeSet<Arc<str>>,
    /// Added or changed clusters.
    pub specs: BTreeMap<Arc<str>, Arc<Spec>>,
    /// By cluster and id: the endpoint, or `None` if it was removed.
    pub nodes: BTreeMap<Arc<str>, HashMap<Arc<str>, Option<Node>>>,
    /// By cluster: the rejected fraction of requests, and the drop overloads.
    pub drop_overloads: BTreeMap<Arc<str>, (f64, Vec<Overload>)>,
    /// By aggregate cluster: the percentage for each of its clusters.
    pub splits: BTreeMap<Arc<str>, Split>,
    /// New routes; `Some(None)` if there are none any more.
    pub routes: Option<Option<Arc<Table>>>,
}

impl Batch {
    /// Merges a change into the pending ones.
    pub fn add(&mut self, change: Change) {
        match change {
            Change::Cluster(spec) => drop(self.specs.insert(spec.name.clone(), spec)),
            Change::Nodes(cluster, changes) => {
                let nodes = self.nodes.entry(cluster).or_default();
                for change in changes {
                    match change {
                        NodeChange::Put(node) => drop(nodes.insert(node.id.clone(), Some(node))),
                        NodeChange::Gone(id) => drop(nodes.insert(id, None)),
                    }
                }
            }
            Change::DropOverloads(cluster, refused, overloads) => {
                drop(self.drop_overloads.insert(cluster, (refused, overloads)));
            }
            Change::Split(cluster, parts) => drop(self.splits.insert(cluster, parts)),
            Change::Routes(table) => self.routes = Some(table),
            Change::Gone(cluster) => {
                self.specs.remove(&cluster);
                self.nodes.remove(&cluster);
                self.drop_overloads.remove(&cluster);
                self.splits.remove(&cluster);
                self.gone.insert(cluster);
            }
        }
    }

    /// Returns whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.gone.is_empty()
            && self.specs.is_empty()
            && self.nodes.is_empty()
            && self.drop_overloads.is_empty()
            && self.splits.is_empty()
            && self.routes.is_none()
    }
}
