//! The upstream clusters of an Envoy configuration. Each has a decision module, connections and limits of its own, and shares only the
//! proxy's descriptors with the others.

use crate::api::{server_id, Entry, ListKind, Nanos, ServerId, Settings, State};
use crate::proxy::clock::Clock;
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::interner::Interner;
use crate::proxy::engine::Engine;
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::upstream::{idle_timeout_for, ConnectionLimits, Upstreams};
use rushquay_admin::RequestMetrics;
use rushquay_endpoints::{Endpoint, EndpointState, StatedStart};
use rushquay_envoy::catalogue::{Batch, Spec, Split};
use rushquay_load_assignment::{Breakers, EndpointUse, Node, Overload};
use rushquay_routing::Table;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// An upstream cluster. Each of its requests holds a reference, so that requests in flight are still answered after the cluster is
/// removed.
pub struct Cluster {
    pub name: Arc<str>,
    pub engine: Rc<Engine>,
    pub upstreams: Rc<Upstreams>,
    /// Its circuit breakers, if it configures any.
    pub breakers: RefCell<Option<Breakers>>,
    /// When its deduplication group last changed.
    pub group_since: Rc<Cell<Nanos>>,
    /// The name of the group of nodes that deduplicates its retries.
    group: RefCell<Arc<str>>,
    /// Whether all connections are replaced when a node is added or removed.
    retire_on_change: Cell<bool>,
    /// The fraction of its requests that is rejected by configuration, from 0 to 1.
    pub rejected_fraction: Cell<f64>,
    pub overloads: RefCell<Vec<Overload>>,
    nodes: RefCell<FxHashMap<ServerId, Arc<str>>>,
    pub requests: Cell<u64>,
    /// Requests that were rejected by limits or by configuration.
    pub rejected_requests: Cell<u64>,
}

/// Counters of a node for the admin page.
#[derive(Clone, Debug, Default)]
pub struct NodeStats {
    pub cluster: Arc<str>,
    pub id: Arc<str>,
    pub connections: u32,
    pub in_flight: u32,
    pub attempts: u64,
    pub failed: u64,
}

/// Counters of a cluster for the admin page.
#[derive(Clone, Debug, Default)]
pub struct ClusterStats {
    pub name: Arc<str>,
    pub connections: u32,
    pub open_requests: usize,
    pub requests: u64,
    pub rejected_requests: u64,
    /// How often the limits on requests, retries and pending connections were reached.
    pub trips: [u64; 3],
}

/// All clusters, and the route table that selects among them.
pub struct ClusterSet {
    active_config: Rc<ActiveConfig>,
    seed: u64,
    /// The clock that all clusters, and the source of their changes, share.
    clock: Clock,
    descriptors: Rc<Descriptors>,
    metrics: Arc<RequestMetrics>,
    clusters: RefCell<HashMap<Arc<str>, Rc<Cluster>>>,
    splits: RefCell<HashMap<Arc<str>, Split>>,
    table: RefCell<Option<Arc<Table>>>,
    /// When the route table was last replaced.
    routes_since: Rc<Cell<Nanos>>,
}

impl ClusterSet {
    pub fn new(
        settings: Settings,
        names: Interner,
        seed: u64,
        descriptors: Rc<Descriptors>,
        metrics: Arc<RequestMetrics>,
        clock: Clock,
    ) -> Rc<Self> {
        Rc::new(ClusterSet {
            active_config: Rc::new(ActiveConfig::new(Settings { must_subscribe: false, ..settings }, names)),
            seed,
            clock,
            descriptors,
            metrics,
            clusters: RefCell::default(),
            splits: RefCell::default(),
            table: RefCell::default(),
            routes_since: Rc::default(),
        })
    }

    pub fn names(&self) -> &Interner {
        &self.active_config.names
    }

    pub fn settings(&self) -> &Settings {
        &self.active_config.settings
    }

    /// Returns the configuration that all clusters share.
    pub fn acting(&self) -> &ActiveConfig {
        &self.active_config
    }

    /// Returns the current route table.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns when the route table was last replaced.
    pub fn routes_since(&self) -> Rc<Cell<Nanos>> {
        self.routes_since.clone()
    }

    /// Returns whether all clusters that these names resolve to have the same deduplication group.
    pub fn have_same_group<'n>(&self, names: impl Iterator<Item = &'n str>) -> bool {
        let (clusters, splits) = (self.clusters.borrow(), self.splits.borrow());
        let cluster_names = names.flat_map(|name| match splits.get(name) {
            Some(split) => split.iter().map(|(cluster_name, _)| &**cluster_name).collect(),
            None => vec![name],
        });
        let mut groups =
            cluster_names.filter_map(|cluster_name| Some(clusters.get(cluster_name)?.group.borrow().clone()));
        let first = groups.next();
        groups.all(|g| Some(g) == first)
    }

    /// Returns how many cache nodes all clusters list, and how many of them are avoided at present.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let clusters = self.clusters.borrow();
        let each = clusters.values().map(|c| c.engine.endpoint_counts());
        each.fold((0, 0), |(listed, avoided), (l, a)| (listed + l, avoided + a))
    }

    /// Returns whether a request could be served now.
    pub fn can_serve(&self) -> bool {
        self.table.borrow().is_some() && self.clusters.borrow().values().any(|c| c.engine.can_serve())
    }

    /// Returns the cluster of this name. For an aggregate, `at` in [0, 1) selects one of its clusters by weight. The outer `None`: no such
    /// cluster; the inner `None`: an aggregate in which no cluster can accept requests.
    pub fn find(&self, name: &str, at: f64) -> Option<Option<Rc<Cluster>>> {
        let clusters = self.clusters.borrow();
        let Some(split) = self.splits.borrow().get(name).cloned() else {
            return clusters.get(name).cloned().map(Some);
        };
        let weights: Vec<u32> = split.iter().map(|(_, weight)| *weight).collect();
        let picked = rushquay_load_assignment::aggregate::pick(&weights, at);
        Some(picked.and_then(|i| clusters.get(&split[i].0).cloned()))
    }

    /// Closes the connection that has been idle the longest. Returns false if no connection is idle.
    pub fn close_oldest_idle(&self) -> bool {
        let clusters = self.clusters.borrow();
        let idle = clusters.values().filter_map(|c| Some((c.upstreams.oldest_idle_since()?, c)));
        idle.min_by_key(|(since, _)| *since).is_some_and(|(_, c)| c.upstreams.close_oldest_idle())
    }

    /// Closes idle connections that their peer has closed or that exceeded the idle timeout.
    pub fn sweep(&self) {
        self.clusters.borrow().values().for_each(|c| c.upstreams.sweep());
    }

    /// Applies a batch of changes. Danger: no request may see half of a batch, so it is applied without yielding.
    pub fn apply(&self, batch: Batch, now: Nanos) {
        for name in batch.gone {
            self.splits.borrow_mut().remove(&name);
            if let Some(cluster) = self.clusters.borrow_mut().remove(&name) {
                // Attempts in flight go on, idle connections are closed, and nothing more is sent. Retries never reach its
                // deduplication group again, so the group counts as changed.
                cluster.group_since.set(now);
                cluster.upstreams.update(true, &[]);
                cluster.engine.entries(ListKind::Full, Vec::new());
            }
        }
        for (name, spec) in batch.specs {
            let found = self.clusters.borrow().get(&name).cloned();
            match found {
                Some(cluster) => cluster.apply_spec(&spec, &self.active_config.settings, now),
                None => drop(self.clusters.borrow_mut().insert(name, self.create_cluster(&spec))),
            }
        }
        for (name, nodes) in batch.nodes {
            if let Some(cluster) = self.clusters.borrow().get(&name).cloned() {
                cluster.apply_nodes(nodes, &self.active_config.names, &self.active_config.settings);
            }
        }
        for (name, (refused, overloads)) in batch.drop_overloads {
            if let Some(cluster) = self.clusters.borrow().get(&name) {
                cluster.rejected_fraction.set(refused);
                *cluster.overloads.borrow_mut() = overloads;
            }
        }
        self.splits.borrow_mut().extend(batch.splits);
        if let Some(table) = batch.routes {
            *self.table.borrow_mut() = table;
            self.routes_since.set(now);
        }
    }

    /// Creates a cluster with its own engine and connection pools.
    fn create_cluster(&self, spec: &Spec) -> Rc<Cluster> {
        let breakers = spec.limits.map(Breakers::new);
        let limits = connection_limits(spec, &self.active_config.settings, breakers.clone());
        let upstreams = Upstreams::with_limits(self.descriptors.clone(), self.metrics.clone(), limits);
        // Each cluster draws its own random numbers.
        let seed = self.seed ^ server_id(&spec.name);
        let engine = Engine::new(self.active_config.clone(), seed, &[], upstreams.clone(), self.clock);
        Rc::new(Cluster {
            name: spec.name.clone(),
            engine,
            upstreams,
            breakers: RefCell::new(breakers),
            group_since: Rc::default(),
            group: RefCell::new(spec.group.clone()),
            retire_on_change: Cell::new(spec.reconnect_on_endpoint_change),
            rejected_fraction: Cell::default(),
            overloads: RefCell::default(),
            nodes: RefCell::default(),
            requests: Cell::default(),
            rejected_requests: Cell::default(),
        })
    }

    /// Returns the counters of all clusters and nodes.
    pub fn stats(&self) -> (Vec<ClusterStats>, Vec<NodeStats>) {
        let clusters = self.clusters.borrow();
        let cluster_stats = |c: &Rc<Cluster>| ClusterStats {
            name: c.name.clone(),
            connections: c.upstreams.connections(),
            open_requests: c.engine.open(),
            requests: c.requests.get(),
            rejected_requests: c.rejected_requests.get(),
            trips: c.breakers.borrow().as_ref().map(Breakers::trips).unwrap_or_default(),
        };
        let nodes = clusters.values().flat_map(|c| {
            let nodes = c.nodes.borrow();
            let node_stats = |(server, id): (&ServerId, &Arc<str>)| {
                let stats = c.upstreams.stats(*server)?;
                Some(NodeStats {
                    cluster: c.name.clone(),
                    id: id.clone(),
                    connections: stats.connections.get(),
                    in_flight: stats.in_flight.get(),
                    attempts: stats.attempts.get(),
                    failed: stats.failed.get(),
                })
            };
            nodes.iter().filter_map(node_stats).collect::<Vec<_>>()
        });
        (clusters.values().map(cluster_stats).collect(), nodes.collect())
    }
}

fn connection_limits(spec: &Spec, settings: &Settings, breakers: Option<Breakers>) -> ConnectionLimits {
    let idle = spec.idle.map_or_else(|| idle_timeout_for(settings.conn_idle), Duration::from_nanos);
    ConnectionLimits {
        connect_timeout: Duration::from_nanos(spec.connect_timeout),
        proxies: settings.proxies,
        idle_timeout: idle.min(idle_timeout_for(settings.conn_idle).max(Duration::from_secs(1))),
        max_node_connections: spec.node_connections,
        breakers,
    }
}

impl Cluster {
    /// Applies a changed specification.
    fn apply_spec(&self, spec: &Spec, settings: &Settings, now: Nanos) {
        let breakers = &mut *self.breakers.borrow_mut();
        match (&breakers, spec.limits) {
            // Requests in flight still count against the changed limits.
            (Some(breakers), Some(limits)) => breakers.set(limits),
            (_, limits) => *breakers = limits.map(Breakers::new),
        }
        self.upstreams.set_limits(connection_limits(spec, settings, breakers.clone()));
        self.retire_on_change.set(spec.reconnect_on_endpoint_change);
        if *self.group.borrow() != spec.group {
            *self.group.borrow_mut() = spec.group.clone();
            self.group_since.set(now);
        }
    }

    /// Applies changes to the nodes; `None`: the node is removed.
    fn apply_nodes(&self, changes: HashMap<Arc<str>, Option<Node>>, names: &Interner, settings: &Settings) {
        // Danger: an address that moves from one node to another must never belong to both, so removals come first.
        let mut upstream: Vec<(Entry, Option<SocketAddr>)> = Vec::with_capacity(changes.len());
        let mut joined_group = Vec::new();
        let mut nodes = self.nodes.borrow_mut();
        let mut membership_changed = false;
        let mut upserts = Vec::new();
        for (id, node) in &changes {
            let server = server_id(id);
            match node {
                None => {
                    membership_changed |= nodes.remove(&server).is_some();
                    upstream.push((Entry { server, state: State::Gone, ..Entry::default() }, None));
                }
                Some(node) => {
                    membership_changed |= nodes.insert(server, node.id.clone()).is_none();
                    upserts.push(upstream_entry(node, names, settings));
                    if node.group_changed_at > 0 {
                        joined_group.push((server, node.group_changed_at));
                    }
                }
            }
        }
        drop(nodes);
        upstream.extend(upserts.iter().map(|(e, addr, _)| (e.clone(), *addr)));
        self.upstreams.update(false, &upstream);
        joined_group.into_iter().for_each(|(server, since)| self.upstreams.set_group_since(server, since));
        if membership_changed && self.retire_on_change.get() {
            self.upstreams.retire_connections();
        }
        let gone = upstream.into_iter().map(|(e, _)| e).filter(|e| e.state == State::Gone);
        let entries = gone.chain(upserts.into_iter().map(|(e, _, state)| Entry { state, ..e })).collect();
        self.engine.entries(ListKind::Delta, entries);
    }
}

/// Returns a node's entry for the connection pools, its address, and its state for the decision module. A stand-by node gets no new
/// requests, but keeps its connections.
fn upstream_entry(node: &Node, names: &Interner, settings: &Settings) -> (Entry, Option<SocketAddr>, State) {
    let (pool_state, state) = match node.standing {
        EndpointUse::Serves => (EndpointState::Ready, State::Ready),
        EndpointUse::StandsBy => (EndpointState::Ready, State::Draining),
        EndpointUse::Drains => (EndpointState::Draining, State::Draining),
    };
    let endpoint = Endpoint {
        id: node.id.to_string(),
        addr: Some(node.addr),
        zone: node.zone.to_string(),
        kind: node.kind.to_string(),
        cell: node.cell,
        state: pool_state,
        weight: node.weight,
        started: StatedStart::UNKNOWN,
    };
    let (mut entry, addr) = names.entry(&endpoint, node.started);
    if let Some(kind) = settings.origin_kind {
        match node.origin {
            true => entry.kind = kind,
            // Danger: requests that need the origin would be sent to a cache node that claims the origin's machine kind.
            false if entry.kind == kind => entry.kind = u32::MAX,
            false => {}
        }
    }
    (entry, addr, state)
}
