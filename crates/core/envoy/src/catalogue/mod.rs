//! All declared resources and the state derived from them: the clusters, their endpoints and the active routes. Time is
//! passed in; the results are returned as [`Change`]s.
//!
//! A resource remains valid until a newer one of the same name replaces it or the server removes it; a broken stream
//! changes nothing. Source: the xDS protocol, "Eventual consistency considerations" and "Resource warming".

mod batch;
mod settle;

pub use batch::Batch;

use crate::cluster::{Cluster, Members};
use crate::common::{ResourceSource, Source};
use crate::listener::{Listener, Routes};
use crate::resource::{Item, Resource};
use rushquay_load_assignment::{Assignment, Nanos, Node, NodeChange, Overload, Pool, Thresholds};
use rushquay_routing::Table;
use rushquay_xds::Kind;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// How long a new route table waits for clusters that are not active yet; until then the previous table stays in use.
pub const ROUTES_WAIT: Nanos = 5_000_000_000;

/// The clusters of an aggregate, with the percentage of requests for each.
pub type Split = Vec<(Arc<str>, u32)>;

/// The settings of a cluster that are needed to send requests to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: Arc<str>,
    /// The connect timeout, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Circuit breaker thresholds of default and high priority.
    pub limits: Option<[Thresholds; 2]>,
    /// Maximum number of connections to one endpoint.
    pub node_connections: u32,
    /// Idle timeout of connections, in nanoseconds.
    pub idle: Option<Nanos>,
    /// Whether all connections are re-established when an endpoint is added or removed.
    pub reconnect_on_endpoint_change: bool,
    /// The deduplication group for keyed requests.
    pub group: Arc<str>,
}

/// A change to apply; changes are in order.
#[derive(Clone, Debug)]
pub enum Change {
    /// A cluster was added or its settings changed.
    Cluster(Arc<Spec>),
    /// Changes of a cluster's endpoints.
    Nodes(Arc<str>, Vec<NodeChange>),
    /// The fraction of a cluster's requests to reject, and its drop overloads.
    DropOverloads(Arc<str>, f64, Vec<Overload>),
    /// An aggregate cluster's percentage for each of its clusters.
    Split(Arc<str>, Split),
    /// New active routes; `None` if there are none.
    Routes(Option<Arc<Table>>),
    /// A cluster was removed.
    Gone(Arc<str>),
}

/// Selects the listener to serve.
#[derive(Clone, Debug, Default)]
pub struct ListenerSelector {
    /// The listener with this name.
    pub name: Option<String>,
    /// If there are several, the listener with this address.
    pub address: Option<SocketAddr>,
}

/// Whether a cluster is ready for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmingState {
    /// Waiting for its endpoints until this time (0: no time limit).
    Warming(Nanos),
    /// Ready for requests.
    Active,
}

pub(crate) struct ClusterState {
    pub spec: Cluster,
    pub pool: Pool,
    pub warmth: WarmingState,
    /// The settings last reported in a change.
    reported_spec: Option<Arc<Spec>>,
    shed: (f64, Vec<Overload>),
    split: Split,
    /// The origin's nodes as last reported in a change, by id.
    origin: BTreeMap<Arc<str>, Node>,
}

/// A resource as received, for the admin page.
#[derive(Clone, Debug)]
pub struct StoredResource {
    /// The version given by the server; empty for static resources.
    pub version: String,
    /// The encoded message.
    pub encoded: Vec<u8>,
    /// Whether it is static, i.e. from the bootstrap file.
    pub is_static: bool,
    /// When it was received.
    pub received_at: Nanos,
}

/// All declared resources and the state derived from them.
pub struct Catalogue {
    choice: ListenerSelector,
    cds: Option<Source>,
    lds: Option<Source>,
    pub(crate) clusters: BTreeMap<Arc<str>, ClusterState>,
    /// By source and service name.
    assignments: HashMap<(Source, Arc<str>), Arc<Assignment>>,
    listeners: BTreeMap<String, Listener>,
    fixed_listener: Option<String>,
    tables: HashMap<(Source, Arc<str>), Arc<Table>>,
    /// The active route table.
    table: Option<Arc<Table>>,
    /// The route table that waits for its clusters, and until when.
    pending: Option<(Arc<Table>, Nanos)>,
    /// Whether a route table has been active at any time.
    was_routed: bool,
    dirty: BTreeSet<Arc<str>>,
    removed_clusters: Vec<Arc<str>>,
    stored_resources: BTreeMap<(Kind, String), StoredResource>,
    refused: BTreeMap<Kind, (u64, String)>,
}

impl Catalogue {
    /// Creates a catalogue of the static resources of a bootstrap file.
    pub fn new(bootstrap: &crate::Bootstrap, choice: ListenerSelector, now: Nanos) -> Self {
        let source = |f: &Option<ResourceSource>| f.as_ref().map(|f| f.source.clone());
        let mut catalogue = Catalogue {
            choice,
            cds: source(&bootstrap.cds),
            lds: source(&bootstrap.lds),
            clusters: BTreeMap::new(),
            assignments: HashMap::new(),
            listeners: BTreeMap::new(),
            fixed_listener: None,
            tables: HashMap::new(),
            table: None,
            pending: None,
            was_routed: false,
            dirty: BTreeSet::new(),
            removed_clusters: Vec::new(),
            stored_resources: BTreeMap::new(),
            refused: BTreeMap::new(),
        };
        let kept = |encoded: &Vec<u8>| StoredResource {
            version: String::new(),
            encoded: encoded.clone(),
            is_static: true,
            received_at: now,
        };
        for (cluster, encoded) in &bootstrap.clusters {
            catalogue.stored_resources.insert((Kind::Cluster, cluster.name.to_string()), kept(encoded));
            catalogue.put_cluster(cluster.clone(), now);
        }
        for (listener, encoded) in &bootstrap.listeners {
            catalogue.stored_resources.insert((Kind::Listener, listener.name.clone()), kept(encoded));
            catalogue.fixed_listener = Some(listener.name.clone());
            catalogue.listeners.insert(listener.name.clone(), listener.clone());
        }
        catalogue
    }

    /// Names of a kind to subscribe to on the ADS stream; `*` alone means all.
    pub fn wanted(&self, kind: Kind) -> BTreeSet<String> {
        let all = |wanted: bool| if wanted { BTreeSet::from(["*".to_owned()]) } else { BTreeSet::new() };
        match kind {
            Kind::Cluster => all(self.cds == Some(Source::Ads)),
            Kind::Listener => all(self.lds == Some(Source::Ads)),
            Kind::Endpoints => {
                self.eds_services().filter(|(s, _)| **s == Source::Ads).map(|(_, n)| n.to_string()).collect()
            }
            Kind::Route => match self.rds() {
                Some((Source::Ads, name, _)) => BTreeSet::from([name.to_string()]),
                _ => BTreeSet::new(),
            },
            Kind::Endpoint | Kind::Extension => BTreeSet::new(),
        }
    }

    /// Files to watch, with the kind of resource in each.
    pub fn files(&self) -> BTreeSet<(PathBuf, Kind)> {
        let file = |source: &Source, kind| match source {
            Source::File(path) => Some((path.clone(), kind)),
            Source::Ads => None,
        };
        let whole = [(&self.cds, Kind::Cluster), (&self.lds, Kind::Listener)];
        let whole = whole.into_iter().filter_map(|(s, kind)| file(s.as_ref()?, kind));
        let eds = self.eds_services().filter_map(|(s, _)| file(s, Kind::Endpoints));
        let rds = self.rds().and_then(|(s, ..)| file(s, Kind::Route));
        whole.chain(eds).chain(rds).collect()
    }

    fn eds_services(&self) -> impl Iterator<Item = (&Source, &Arc<str>)> {
        self.clusters.values().filter_map(|h| match &h.spec.members {
            Members::Eds { service, from } => Some((&from.source, service)),
            _ => None,
        })
    }

    /// Returns the listener to serve.
    pub fn listener(&self) -> Option<&Listener> {
        let selected_name = self.choice.name.as_ref().or(self.fixed_listener.as_ref());
        if let Some(name) = selected_name {
            return self.listeners.get(name);
        }
        let mut all = self.listeners.values();
        match (all.next(), all.next()) {
            (one, None) => one,
            _ => {
                let has_address =
                    |l: &&Listener| self.choice.address.is_some() && l.address == self.choice.address;
                self.listeners.values().find(has_address)
            }
        }
    }

    fn rds(&self) -> Option<(&Source, &Arc<str>, bool)> {
        match &self.listener()?.routes {
            Routes::Rds { name, from, without_ports } => Some((&from.source, name, *without_ports)),
            Routes::Inline(_) => None,
        }
    }

    /// Applies resources of a kind from a source. With `whole`, resources that are not listed are removed.
    pub fn apply(
        &mut self,
        source: &Source,
        kind: Kind,
        resources: Vec<Resource>,
        removed: &[String],
        whole: bool,
        now: Nanos,
    ) {
        let mut gone: Vec<String> = removed.to_vec();
        if whole && kind.whole() {
            let named: BTreeSet<&str> = resources.iter().map(|r| r.name.as_str()).collect();
            let left_out = |(k, name): &(Kind, String)| *k == kind && !named.contains(name.as_str());
            gone.extend(
                self.stored_resources
                    .iter()
                    .filter(|(k, v)| left_out(k) && !v.is_static)
                    .map(|(k, _)| k.1.clone()),
            );
        }
        for Resource { name, version, item, encoded } in resources {
            // Static resources can't be replaced.
            if self.stored_resources.get(&(kind, name.clone())).is_some_and(|k| k.is_static) {
                continue;
            }
            self.stored_resources.insert(
                (kind, name.clone()),
                StoredResource { version, encoded, is_static: false, received_at: now },
            );
            match item {
                Item::Cluster(cluster) => self.put_cluster(*cluster, now),
                Item::Endpoints(assignment) => {
                    let service: Arc<str> = name.into();
                    self.assignments.insert((source.clone(), service.clone()), assignment.clone());
                    self.assign_endpoints(source, &service, &assignment, now);
                }
                Item::Listener(listener) => drop(self.listeners.insert(name, *listener)),
                Item::Table(table) => drop(self.tables.insert((source.clone(), name.into()), table)),
            }
        }
        for name in gone {
            if self.stored_resources.get(&(kind, name.clone())).is_some_and(|k| k.is_static) {
                continue;
            }
            match kind {
                Kind::Cluster => {
                    self.stored_resources.remove(&(kind, name.clone()));
                    self.remove_cluster(&name);
                }
                Kind::Listener => {
                    self.stored_resources.remove(&(kind, name.clone()));
                    self.listeners.remove(&name);
                }
                // The assignment does not exist, so stop waiting for it. A known one is kept: the removal of its name does not
                // mean that its endpoints are gone.
                Kind::Endpoints => self.stop_waiting(source, &name),
                Kind::Route | Kind::Endpoint | Kind::Extension => {}
            }
        }
        self.drop_unreferenced();
    }

    /// Records that a resource of a kind was rejected.
    pub fn record_rejection(&mut self, kind: Kind, why: String) {
        let entry = self.refused.entry(kind).or_default();
        *entry = (entry.0 + 1, why);
    }

    /// Rejections by kind: the count and the last reason.
    pub fn refusals(&self) -> &BTreeMap<Kind, (u64, String)> {
        &self.refused
    }

    /// All resources as received.
    pub fn kept(&self) -> &BTreeMap<(Kind, String), StoredResource> {
        &self.stored_resources
    }

    /// All clusters with their warming state and endpoints.
    pub fn cluster_states(&self) -> impl Iterator<Item = (&Cluster, &WarmingState, &Pool)> {
        self.clusters.values().map(|h| (&h.spec, &h.warmth, &h.pool))
    }

    /// How an aggregate cluster splits its requests; empty for other clusters.
    pub fn split(&self, name: &str) -> &[(Arc<str>, u32)] {
        self.clusters.get(name).map_or(&[], |h| &h.split)
    }

    /// The active routes, and those that wait for their clusters.
    pub fn tables(&self) -> (Option<&Arc<Table>>, Option<&Arc<Table>>) {
        (self.table.as_ref(), self.pending.as_ref().map(|(t, _)| t))
    }

    fn put_cluster(&mut self, spec: Cluster, now: Nanos) {
        let name = spec.name.clone();
        let state = self.clusters.entry(name.clone()).or_insert_with(|| ClusterState {
            pool: Pool::new(spec.rules),
            spec: spec.clone(),
            warmth: WarmingState::Warming(0),
            reported_spec: None,
            shed: (0.0, Vec::new()),
            split: Vec::new(),
            origin: BTreeMap::new(),
        });
        state.pool.set_rules(spec.rules, now);
        let same_service = match (&state.spec.members, &spec.members) {
            (Members::Eds { service: a, from: f }, Members::Eds { service: b, from: g }) => {
                a == b && f.source == g.source
            }
            _ => false,
        };
        // Danger: the server may update a cluster without sending its endpoints again. The known endpoints stay valid.
        state.spec = spec;
        match state.spec.members.clone() {
            Members::Static(assignment) => {
                state.pool.assign(assignment, now);
                state.warmth = WarmingState::Active;
            }
            Members::Aggregate(_) => state.warmth = WarmingState::Active,
            Members::Dns { lookups, .. } => {
                if state.warmth != WarmingState::Active {
                    state.warmth =
                        WarmingState::Warming(now.saturating_add(crate::common::DEFAULT_FETCH_TIMEOUT));
                }
                if lookups.complete() {
                    if let Ok(assignment) = lookups.assignment() {
                        state.pool.assign(assignment, now);
                        state.warmth = WarmingState::Active;
                    }
                }
            }
            Members::Eds { service, from } => {
                let known = self.assignments.get(&(from.source.clone(), service)).cloned();
                match known {
                    Some(assignment) if !same_service || !state.pool.is_assigned() => {
                        state.pool.assign((*assignment).clone(), now);
                        state.warmth = WarmingState::Active;
                    }
                    Some(_) => {}
                    // Keep the previous endpoints until the new assignment arrives.
                    None if state.pool.is_assigned() => {}
                    None if matches!(state.warmth, WarmingState::Warming(0)) && from.wait > 0 => {
                        state.warmth = WarmingState::Warming(now.saturating_add(from.wait));
                    }
                    None => {}
                }
            }
        }
        self.dirty.insert(name);
    }

    fn remove_cluster(&mut self, name: &str) {
        if let Some((name, state)) = self.clusters.remove_entry(name) {
            self.dirty.remove(&name);
            if state.reported_spec.is_some() {
                self.removed_clusters.push(name);
            }
        }
    }

    fn assign_endpoints(
        &mut self,
        source: &Source,
        service: &Arc<str>,
        assignment: &Arc<Assignment>,
        now: Nanos,
    ) {
        for (name, state) in &mut self.clusters {
            let uses_service = matches!(&state.spec.members, Members::Eds { service: s, from } if s == service && from.source == *source);
            if uses_service {
                state.pool.assign((**assignment).clone(), now);
                state.warmth = WarmingState::Active;
                self.dirty.insert(name.clone());
            }
        }
    }

    fn stop_waiting(&mut self, source: &Source, service: &str) {
        for (name, state) in &mut self.clusters {
            let uses_service = matches!(&state.spec.members, Members::Eds { service: s, from } if **s == *service && from.source == *source);
            if uses_service && !state.pool.is_assigned() {
                state.warmth = WarmingState::Active;
                self.dirty.insert(name.clone());
            }
        }
    }

    /// Drops resources that nothing refers to. Danger: otherwise a server that keeps renaming resources fills the memory.
    fn drop_unreferenced(&mut self) {
        let wanted: BTreeSet<(Source, Arc<str>)> =
            self.eds_services().map(|(s, n)| (s.clone(), n.clone())).collect();
        self.assignments.retain(|key, _| wanted.contains(key));
        let rds = self.rds().map(|(s, n, _)| (s.clone(), n.clone()));
        self.tables.retain(|key, _| Some(key) == rds.as_ref());
        let names: BTreeSet<&str> = wanted.iter().map(|(_, n)| &**n).collect();
        let rds = rds.as_ref().map(|(_, n)| &**n);
        self.stored_resources.retain(|(kind, name), _| match kind {
            Kind::Endpoints => names.contains(name.as_str()),
            Kind::Route => rds == Some(name.as_str()),
            _ => true,
        });
    }

    /// Names to resolve now, with their clusters and address families.
    pub fn lookups(&mut self, now: Nanos) -> Vec<(Arc<str>, Arc<str>, crate::Family)> {
        let mut due = Vec::new();
        for (cluster, state) in &mut self.clusters {
            if let Members::Dns { lookups, family } = &mut state.spec.members {
                due.extend(lookups.due(now).into_iter().map(|name| (cluster.clone(), name, *family)));
            }
        }
        due
    }

    /// Handles the result of a DNS lookup.
    pub fn handle_lookup_result(
        &mut self,
        cluster: &str,
        name: &str,
        found: Result<Vec<std::net::IpAddr>, String>,
        now: Nanos,
    ) {
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let Members::Dns { lookups, .. } = &mut state.spec.members else { return };
        match found {
            Ok(addresses) => lookups.found(name, addresses, now),
            Err(_) => return lookups.failed(name, now),
        }
        if lookups.complete() || state.pool.is_assigned() {
            match lookups.assignment() {
                Ok(assignment) if *state.pool.assignment() != assignment || !state.pool.is_assigned() => {
                    state.pool.assign(assignment, now);
                }
                _ => {}
            }
            state.warmth = WarmingState::Active;
        }
        self.dirty.insert(cluster.into());
    }
}
