//! The clusters that requests are sent to, where they come in Envoy's form: each has a decision module, connections and
//! limits of its own, and shares nothing with the others but the proxy's descriptors.

use crate::api::{server_id, Entry, ListKind, Nanos, ServerId, Settings, State};
use crate::proxy::clock::Clock;
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::interner::Interner;
use crate::proxy::engine::Engine;
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::upstream::{idle_most, Bounds, Upstreams};
use rushquay_admin::RequestMetrics;
use rushquay_endpoints::{Endpoint, EndpointState};
use rushquay_envoy::catalogue::{Batch, Spec, Split};
use rushquay_load_assignment::{Breakers, Node, Overload, Standing};
use rushquay_routing::Table;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A cluster. Whoever has a request in it holds it, so that the request gets its answer also when the cluster is gone.
pub struct Cluster {
    /// Its name.
    pub name: Arc<str>,
    pub engine: Rc<Engine>,
    pub upstreams: Rc<Upstreams>,
    /// Its limits, where it names any.
    pub breakers: RefCell<Option<Breakers>>,
    /// Since when its group of nodes is what it is.
    pub group_since: Rc<Cell<Nanos>>,
    group: RefCell<Arc<str>>,
    /// All connections are made anew when a node comes or goes.
    renew: Cell<bool>,
    /// The part of its requests that is refused.
    pub refused: Cell<f64>,
    pub overloads: RefCell<Vec<Overload>>,
    nodes: RefCell<FxHashMap<ServerId, Arc<str>>>,
    pub requests: Cell<u64>,
    /// Requests that were turned away by limits or on purpose.
    pub shed: Cell<u64>,
}

/// What passed at a node, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct NodeFigures {
    pub cluster: Arc<str>,
    pub id: Arc<str>,
    pub connections: u32,
    pub out: u32,
    pub attempts: u64,
    pub failed: u64,
}

/// What passed at a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterFigures {
    pub name: Arc<str>,
    pub connections: u32,
    pub open: usize,
    pub requests: u64,
    pub shed: u64,
    /// How often the limits on requests, repeats and connecting attempts were reached.
    pub trips: [u64; 3],
}

/// All clusters, and the routes that lead to them.
pub struct Pools {
    acting: Rc<ActiveConfig>,
    seed: u64,
    /// The one clock of all clusters, and of who tells of their changes.
    clock: Clock,
    descriptors: Rc<Descriptors>,
    ledger: Arc<RequestMetrics>,
    clusters: RefCell<HashMap<Arc<str>, Rc<Cluster>>>,
    splits: RefCell<HashMap<Arc<str>, Split>>,
    table: RefCell<Option<Arc<Table>>>,
    /// Since when it holds.
    routes_since: Rc<Cell<Nanos>>,
}

impl Pools {
    pub fn new(
        settings: Settings,
        names: Interner,
        seed: u64,
        descriptors: Rc<Descriptors>,
        ledger: Arc<RequestMetrics>,
        clock: Clock,
    ) -> Rc<Self> {
        Rc::new(Pools {
            acting: Rc::new(ActiveConfig::new(Settings { must_ask: false, ..settings }, names)),
            seed,
            clock,
            descriptors,
            ledger,
            clusters: RefCell::default(),
            splits: RefCell::default(),
            table: RefCell::default(),
            routes_since: Rc::default(),
        })
    }

    pub fn names(&self) -> &Interner {
        &self.acting.names
    }

    pub fn settings(&self) -> &Settings {
        &self.acting.settings
    }

    /// What all clusters go by.
    pub fn acting(&self) -> &ActiveConfig {
        &self.acting
    }

    /// The routes that hold.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Since when they hold.
    pub fn routes_since(&self) -> Rc<Cell<Nanos>> {
        self.routes_since.clone()
    }

    /// Whether all clusters that these names stand for have one group of nodes that drops repeats.
    pub fn one_group<'n>(&self, names: impl Iterator<Item = &'n str>) -> bool {
        let (clusters, splits) = (self.clusters.borrow(), self.splits.borrow());
        let leaves = names.flat_map(|name| match splits.get(name) {
            Some(split) => split.iter().map(|(leaf, _)| &**leaf).collect(),
            None => vec![name],
        });
        let mut groups = leaves.filter_map(|leaf| Some(clusters.get(leaf)?.group.borrow().clone()));
        let first = groups.next();
        groups.all(|g| Some(g) == first)
    }

    /// How many cache nodes all clusters list, and how many of them are avoided now.
    pub fn members(&self) -> (usize, usize) {
        let clusters = self.clusters.borrow();
        let each = clusters.values().map(|c| c.engine.endpoint_counts());
        each.fold((0, 0), |(listed, avoided), (l, a)| (listed + l, avoided + a))
    }

    /// Whether a request could be served now.
    pub fn can_serve(&self) -> bool {
        self.table.borrow().is_some() && self.clusters.borrow().values().any(|c| c.engine.can_serve())
    }

    /// The cluster of this name, or the one of an aggregate's that `at`, from 0 up to 1, falls to. The inner `None`: an
    /// aggregate of which none can take anything.
    pub fn find(&self, name: &str, at: f64) -> Option<Option<Rc<Cluster>>> {
        let clusters = self.clusters.borrow();
        let Some(split) = self.splits.borrow().get(name).cloned() else {
            return clusters.get(name).cloned().map(Some);
        };
        let parts: Vec<u32> = split.iter().map(|(_, part)| *part).collect();
        let picked = rushquay_load_assignment::aggregate::pick(&parts, at);
        Some(picked.and_then(|i| clusters.get(&split[i].0).cloned()))
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    pub fn yield_idle(&self) -> bool {
        let clusters = self.clusters.borrow();
        let idle = clusters.values().filter_map(|c| Some((c.upstreams.longest_idle()?, c)));
        idle.min_by_key(|(since, _)| *since).is_some_and(|(_, c)| c.upstreams.yield_idle())
    }

    /// Closes idle connections that were closed by their peer or idle for too long.
    pub fn sweep(&self) {
        self.clusters.borrow().values().for_each(|c| c.upstreams.sweep());
    }

    /// Does what has changed. Danger: it all counts from here on, so that no request meets half of it.
    pub fn apply(&self, batch: Batch, now: Nanos) {
        for name in batch.gone {
            self.splits.borrow_mut().remove(&name);
            if let Some(cluster) = self.clusters.borrow_mut().remove(&name) {
                // What is out there goes on, and its idle connections close; nothing more is sent. What its group
                // remembers nobody will ask it for again.
                cluster.group_since.set(now);
                cluster.upstreams.update(true, &[]);
                cluster.engine.entries(ListKind::Full, Vec::new());
            }
        }
        for (name, spec) in batch.specs {
            let found = self.clusters.borrow().get(&name).cloned();
            match found {
                Some(cluster) => cluster.change(&spec, &self.acting.settings, now),
                None => drop(self.clusters.borrow_mut().insert(name, self.start(&spec))),
            }
        }
        for (name, nodes) in batch.nodes {
            if let Some(cluster) = self.clusters.borrow().get(&name).cloned() {
                cluster.list(nodes, &self.acting.names, &self.acting.settings);
            }
        }
        for (name, (refused, overloads)) in batch.sheds {
            if let Some(cluster) = self.clusters.borrow().get(&name) {
                cluster.refused.set(refused);
                *cluster.overloads.borrow_mut() = overloads;
            }
        }
        self.splits.borrow_mut().extend(batch.splits);
        if let Some(table) = batch.routes {
            *self.table.borrow_mut() = table;
            self.routes_since.set(now);
        }
    }

    fn start(&self, spec: &Spec) -> Rc<Cluster> {
        let breakers = spec.limits.map(Breakers::new);
        let bounds = bounds(spec, &self.acting.settings, breakers.clone());
        let upstreams = Upstreams::bounded(self.descriptors.clone(), self.ledger.clone(), bounds);
        // Each cluster's chances are its own.
        let seed = self.seed ^ server_id(&spec.name);
        let engine = Engine::new(self.acting.clone(), seed, &[], upstreams.clone(), self.clock);
        Rc::new(Cluster {
            name: spec.name.clone(),
            engine,
            upstreams,
            breakers: RefCell::new(breakers),
            group_since: Rc::default(),
            group: RefCell::new(spec.group.clone()),
            renew: Cell::new(spec.renew),
            refused: Cell::default(),
            overloads: RefCell::default(),
            nodes: RefCell::default(),
            requests: Cell::default(),
            shed: Cell::default(),
        })
    }

    /// What passed at clusters and nodes.
    pub fn figures(&self) -> (Vec<ClusterFigures>, Vec<NodeFigures>) {
        let clusters = self.clusters.borrow();
        let of = |c: &Rc<Cluster>| ClusterFigures {
            name: c.name.clone(),
            connections: c.upstreams.connections(),
            open: c.engine.open(),
            requests: c.requests.get(),
            shed: c.shed.get(),
            trips: c.breakers.borrow().as_ref().map(Breakers::trips).unwrap_or_default(),
        };
        let nodes = clusters.values().flat_map(|c| {
            let nodes = c.nodes.borrow();
            let one = |(server, id): (&ServerId, &Arc<str>)| {
                let f = c.upstreams.figures(*server)?;
                Some(NodeFigures {
                    cluster: c.name.clone(),
                    id: id.clone(),
                    connections: f.connections.get(),
                    out: f.out.get(),
                    attempts: f.attempts.get(),
                    failed: f.failed.get(),
                })
            };
            nodes.iter().filter_map(one).collect::<Vec<_>>()
        });
        (clusters.values().map(of).collect(), nodes.collect())
    }
}

fn bounds(spec: &Spec, settings: &Settings, breakers: Option<Breakers>) -> Bounds {
    let idle = spec.idle.map_or_else(|| idle_most(settings.conn_idle), Duration::from_nanos);
    Bounds {
        connect_timeout: Duration::from_nanos(spec.connect_timeout),
        proxies: settings.proxies,
        idle_most: idle.min(idle_most(settings.conn_idle).max(Duration::from_secs(1))),
        node_most: spec.node_connections,
        breakers,
    }
}

impl Cluster {
    fn change(&self, spec: &Spec, settings: &Settings, now: Nanos) {
        let breakers = &mut *self.breakers.borrow_mut();
        match (&breakers, spec.limits) {
            // What is out keeps its places.
            (Some(breakers), Some(limits)) => breakers.set(limits),
            (_, limits) => *breakers = limits.map(Breakers::new),
        }
        self.upstreams.bound(bounds(spec, settings, breakers.clone()));
        self.renew.set(spec.renew);
        if *self.group.borrow() != spec.group {
            *self.group.borrow_mut() = spec.group.clone();
            self.group_since.set(now);
        }
    }

    fn list(&self, changes: HashMap<Arc<str>, Option<Node>>, names: &Interner, settings: &Settings) {
        // Danger: an address that goes over from one node to another must not belong to both for a moment, so those that
        // go are told first.
        let mut upstream: Vec<(Entry, Option<SocketAddr>)> = Vec::with_capacity(changes.len());
        let mut grouped = Vec::new();
        let mut nodes = self.nodes.borrow_mut();
        let mut others = false;
        let mut put = Vec::new();
        for (id, node) in &changes {
            let server = server_id(id);
            match node {
                None => {
                    others |= nodes.remove(&server).is_some();
                    upstream.push((Entry { server, state: State::Gone, ..Entry::default() }, None));
                }
                Some(node) => {
                    others |= nodes.insert(server, node.id.clone()).is_none();
                    put.push(entry(node, names, settings));
                    if node.grouped > 0 {
                        grouped.push((server, node.grouped));
                    }
                }
            }
        }
        drop(nodes);
        upstream.extend(put.iter().map(|(e, addr, _)| (e.clone(), *addr)));
        self.upstreams.update(false, &upstream);
        grouped.into_iter().for_each(|(server, since)| self.upstreams.regroup(server, since));
        if others && self.renew.get() {
            self.upstreams.renew();
        }
        let gone = upstream.into_iter().map(|(e, _)| e).filter(|e| e.state == State::Gone);
        let entries = gone.chain(put.into_iter().map(|(e, _, state)| Entry { state, ..e })).collect();
        self.engine.entries(ListKind::Delta, entries);
    }
}

/// A node for the connections' side, where it is, and its state for the module: one that stands by gets nothing new, but its
/// connections may stay.
fn entry(node: &Node, names: &Interner, settings: &Settings) -> (Entry, Option<SocketAddr>, State) {
    let (kept, state) = match node.standing {
        Standing::Serves => (EndpointState::Ready, State::Ready),
        Standing::StandsBy => (EndpointState::Ready, State::Draining),
        Standing::Drains => (EndpointState::Draining, State::Draining),
    };
    let (mut entry, addr) = names.entry(&Endpoint {
        id: node.id.to_string(),
        addr: Some(node.addr),
        zone: node.zone.to_string(),
        kind: node.kind.to_string(),
        cell: node.cell,
        state: kept,
        weight: node.weight,
        started: node.started,
    });
    if let Some(kind) = settings.origin_kind {
        match node.origin {
            true => entry.kind = kind,
            // Danger: a node that calls itself the origin would be asked for what it lacks.
            false if entry.kind == kind => entry.kind = u32::MAX,
            false => {}
        }
    }
    (entry, addr, state)
}
