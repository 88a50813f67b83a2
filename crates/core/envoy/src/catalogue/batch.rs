//! Changes that wait for whoever takes them, joined: however many come, it holds each cluster and endpoint once.

use super::{Change, Spec, Split};
use rushquay_load_assignment::{Node, NodeChange, Overload};
use rushquay_routing::Table;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Joined changes, to be applied in the order of these fields.
#[derive(Debug, Default)]
pub struct Batch {
    /// Clusters that went, also where one of the same name came afterwards.
    pub gone: BTreeSet<Arc<str>>,
    /// Clusters that are there or are used otherwise.
    pub specs: BTreeMap<Arc<str>, Arc<Spec>>,
    /// By cluster and identity: an endpoint, or `None` for one that is gone.
    pub nodes: BTreeMap<Arc<str>, HashMap<Arc<str>, Option<Node>>>,
    /// By cluster: the part refused, and the overloads.
    pub sheds: BTreeMap<Arc<str>, (f64, Vec<Overload>)>,
    /// By aggregate: percent for each of its clusters.
    pub splits: BTreeMap<Arc<str>, Split>,
    /// Other routes hold.
    pub routes: Option<Option<Arc<Table>>>,
}

impl Batch {
    /// Joins a change to what waits.
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
            Change::Shed(cluster, refused, overloads) => {
                drop(self.sheds.insert(cluster, (refused, overloads)));
            }
            Change::Split(cluster, parts) => drop(self.splits.insert(cluster, parts)),
            Change::Routes(table) => self.routes = Some(table),
            Change::Gone(cluster) => {
                self.specs.remove(&cluster);
                self.nodes.remove(&cluster);
                self.sheds.remove(&cluster);
                self.splits.remove(&cluster);
                self.gone.insert(cluster);
            }
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.gone.is_empty()
            && self.specs.is_empty()
            && self.nodes.is_empty()
            && self.sheds.is_empty()
            && self.splits.is_empty()
            && self.routes.is_none()
    }
}
