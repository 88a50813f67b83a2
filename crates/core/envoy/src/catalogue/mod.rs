//! All that is declared, and what follows from it: which clusters there are, who is in them, which routes hold. Time is
//! passed in; what is to be done comes out as [`Change`]s.
//!
//! A resource stands until a newer one of its name replaces it or its removal is told; a break of the stream changes
//! nothing. Source: the xDS protocol, "Eventual consistency considerations" and "Resource warming".

mod batch;
mod settle;

pub use batch::Batch;

use crate::cluster::{Cluster, Members};
use crate::common::{From, Source};
use crate::listener::{Listener, Routes};
use crate::resource::{Item, Resource};
use rushquay_load_assignment::{Assignment, Nanos, Node, NodeChange, Overload, Pool, Thresholds};
use rushquay_routing::Table;
use rushquay_xds::Kind;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// A table that names clusters which are not there waits for them so long, while the one before it goes on.
pub const ROUTES_WAIT: Nanos = 5_000_000_000;

/// The clusters that an aggregate stands for, with percent for each.
pub type Split = Vec<(Arc<str>, u32)>;

/// A cluster as requests are sent to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: Arc<str>,
    /// How long a connection may take to come up, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Limits of default and high importance.
    pub limits: Option<[Thresholds; 2]>,
    /// Most connections to one endpoint.
    pub node_connections: u32,
    /// Idle connections close after this time.
    pub idle: Option<Nanos>,
    /// All connections are made anew when an endpoint comes or goes.
    pub renew: bool,
    /// The group that drops repeats of keyed requests.
    pub group: Arc<str>,
}

/// What is to be done, in order.
#[derive(Clone, Debug)]
pub enum Change {
    /// A cluster is there, or is used otherwise than before.
    Cluster(Arc<Spec>),
    /// Its endpoints.
    Nodes(Arc<str>, Vec<NodeChange>),
    /// The part of its requests that is refused, and the parts of overloads.
    Shed(Arc<str>, f64, Vec<Overload>),
    /// It stands for others: percent for each.
    Split(Arc<str>, Split),
    /// Other routes hold; `None`: there are none.
    Routes(Option<Arc<Table>>),
    /// A cluster is gone.
    Gone(Arc<str>),
}

/// Which listener is served.
#[derive(Clone, Debug, Default)]
pub struct Choice {
    /// The one of this name.
    pub name: Option<String>,
    /// Of several the one with this address.
    pub address: Option<SocketAddr>,
}

/// How a cluster stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// Its endpoints have not come yet; it is waited for until then (0: for good).
    Warming(Nanos),
    /// It takes requests.
    Active,
}

pub(crate) struct Held {
    pub spec: Cluster,
    pub pool: Pool,
    pub warmth: Warmth,
    told: Option<Arc<Spec>>,
    shed: (f64, Vec<Overload>),
    split: Split,
    /// Nodes of the origin as they were last told, by id.
    origin: BTreeMap<Arc<str>, Node>,
}

/// A resource as it came, for showing.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Its version.
    pub version: String,
    /// The encoded message.
    pub encoded: Vec<u8>,
    /// It stands in the bootstrap file.
    pub fixed: bool,
    /// When it came.
    pub at: Nanos,
}

/// All that is declared.
pub struct Catalogue {
    choice: Choice,
    cds: Option<Source>,
    lds: Option<Source>,
    pub(crate) clusters: BTreeMap<Arc<str>, Held>,
    /// By source and service name.
    assignments: HashMap<(Source, Arc<str>), Arc<Assignment>>,
    listeners: BTreeMap<String, Listener>,
    fixed_listener: Option<String>,
    tables: HashMap<(Source, Arc<str>), Arc<Table>>,
    /// The table that holds, and the one that waits with the time until which it does.
    table: Option<Arc<Table>>,
    next: Option<(Arc<Table>, Nanos)>,
    /// A table held once.
    routed: bool,
    dirty: BTreeSet<Arc<str>>,
    gone: Vec<Arc<str>>,
    kept: BTreeMap<(Kind, String), Kept>,
    refused: BTreeMap<Kind, (u64, String)>,
}

impl Catalogue {
    /// What stands in the bootstrap file.
    pub fn new(bootstrap: &crate::Bootstrap, choice: Choice, now: Nanos) -> Self {
        let source = |f: &Option<From>| f.as_ref().map(|f| f.source.clone());
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
            next: None,
            routed: false,
            dirty: BTreeSet::new(),
            gone: Vec::new(),
            kept: BTreeMap::new(),
            refused: BTreeMap::new(),
        };
        let kept = |encoded: &Vec<u8>| Kept {
            version: String::new(),
            encoded: encoded.clone(),
            fixed: true,
            at: now,
        };
        for (cluster, encoded) in &bootstrap.clusters {
            catalogue.kept.insert((Kind::Cluster, cluster.name.to_string()), kept(encoded));
            catalogue.put_cluster(cluster.clone(), now);
        }
        for (listener, encoded) in &bootstrap.listeners {
            catalogue.kept.insert((Kind::Listener, listener.name.clone()), kept(encoded));
            catalogue.fixed_listener = Some(listener.name.clone());
            catalogue.listeners.insert(listener.name.clone(), listener.clone());
        }
        catalogue
    }

    /// Names of a kind that the aggregated stream is to be asked for; `*` alone: all.
    pub fn wanted(&self, kind: Kind) -> BTreeSet<String> {
        let all = |wanted: bool| if wanted { BTreeSet::from(["*".to_owned()]) } else { BTreeSet::new() };
        match kind {
            Kind::Cluster => all(self.cds == Some(Source::Ads)),
            Kind::Listener => all(self.lds == Some(Source::Ads)),
            Kind::Endpoints => {
                self.services().filter(|(s, _)| **s == Source::Ads).map(|(_, n)| n.to_string()).collect()
            }
            Kind::Route => match self.rds() {
                Some((Source::Ads, name, _)) => BTreeSet::from([name.to_string()]),
                _ => BTreeSet::new(),
            },
            Kind::Endpoint | Kind::Extension => BTreeSet::new(),
        }
    }

    /// Files to be followed, with what they hold.
    pub fn files(&self) -> BTreeSet<(PathBuf, Kind)> {
        let file = |source: &Source, kind| match source {
            Source::File(path) => Some((path.clone(), kind)),
            Source::Ads => None,
        };
        let whole = [(&self.cds, Kind::Cluster), (&self.lds, Kind::Listener)];
        let whole = whole.into_iter().filter_map(|(s, kind)| file(s.as_ref()?, kind));
        let eds = self.services().filter_map(|(s, _)| file(s, Kind::Endpoints));
        let rds = self.rds().and_then(|(s, ..)| file(s, Kind::Route));
        whole.chain(eds).chain(rds).collect()
    }

    fn services(&self) -> impl Iterator<Item = (&Source, &Arc<str>)> {
        self.clusters.values().filter_map(|h| match &h.spec.members {
            Members::Eds { service, from } => Some((&from.source, service)),
            _ => None,
        })
    }

    /// The listener that is served.
    pub fn listener(&self) -> Option<&Listener> {
        let by_name = self.choice.name.as_ref().or(self.fixed_listener.as_ref());
        if let Some(name) = by_name {
            return self.listeners.get(name);
        }
        let mut all = self.listeners.values();
        match (all.next(), all.next()) {
            (one, None) => one,
            _ => {
                let here = |l: &&Listener| self.choice.address.is_some() && l.address == self.choice.address;
                self.listeners.values().find(here)
            }
        }
    }

    fn rds(&self) -> Option<(&Source, &Arc<str>, bool)> {
        match &self.listener()?.routes {
            Routes::Rds { name, from, without_ports } => Some((&from.source, name, *without_ports)),
            Routes::Inline(_) => None,
        }
    }

    /// Takes resources of a kind from a source; with `whole` those that are left out are gone.
    pub fn take(
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
            gone.extend(self.kept.iter().filter(|(k, v)| left_out(k) && !v.fixed).map(|(k, _)| k.1.clone()));
        }
        for Resource { name, version, item, encoded } in resources {
            // What stands in the bootstrap file can't be replaced.
            if self.kept.get(&(kind, name.clone())).is_some_and(|k| k.fixed) {
                continue;
            }
            self.kept.insert((kind, name.clone()), Kept { version, encoded, fixed: false, at: now });
            match item {
                Item::Cluster(cluster) => self.put_cluster(*cluster, now),
                Item::Endpoints(assignment) => {
                    let service: Arc<str> = name.into();
                    self.assignments.insert((source.clone(), service.clone()), assignment.clone());
                    self.assign(source, &service, &assignment, now);
                }
                Item::Listener(listener) => drop(self.listeners.insert(name, *listener)),
                Item::Table(table) => drop(self.tables.insert((source.clone(), name.into()), table)),
            }
        }
        for name in gone {
            if self.kept.get(&(kind, name.clone())).is_some_and(|k| k.fixed) {
                continue;
            }
            match kind {
                Kind::Cluster => {
                    self.kept.remove(&(kind, name.clone()));
                    self.remove_cluster(&name);
                }
                Kind::Listener => {
                    self.kept.remove(&(kind, name.clone()));
                    self.listeners.remove(&name);
                }
                // It does not exist, so nothing is to be waited for. One that was there stands: that its name is told to be
                // gone says nothing of its endpoints.
                Kind::Endpoints => self.give_up(source, &name),
                Kind::Route | Kind::Endpoint | Kind::Extension => {}
            }
        }
        self.forget_unwanted();
    }

    /// Something of a kind was refused.
    pub fn refuse(&mut self, kind: Kind, why: String) {
        let entry = self.refused.entry(kind).or_default();
        *entry = (entry.0 + 1, why);
    }

    /// What was refused of each kind: how often, and why the last time.
    pub fn refusals(&self) -> &BTreeMap<Kind, (u64, String)> {
        &self.refused
    }

    /// All resources as they came.
    pub fn kept(&self) -> &BTreeMap<(Kind, String), Kept> {
        &self.kept
    }

    /// All clusters with how they stand and who is in them.
    pub fn shown(&self) -> impl Iterator<Item = (&Cluster, &Warmth, &Pool)> {
        self.clusters.values().map(|h| (&h.spec, &h.warmth, &h.pool))
    }

    /// How a stand-in for others splits its requests.
    pub fn split(&self, name: &str) -> &[(Arc<str>, u32)] {
        self.clusters.get(name).map_or(&[], |h| &h.split)
    }

    /// The routes that hold, and those that wait for clusters.
    pub fn tables(&self) -> (Option<&Arc<Table>>, Option<&Arc<Table>>) {
        (self.table.as_ref(), self.next.as_ref().map(|(t, _)| t))
    }

    fn put_cluster(&mut self, spec: Cluster, now: Nanos) {
        let name = spec.name.clone();
        let held = self.clusters.entry(name.clone()).or_insert_with(|| Held {
            pool: Pool::new(spec.rules),
            spec: spec.clone(),
            warmth: Warmth::Warming(0),
            told: None,
            shed: (0.0, Vec::new()),
            split: Vec::new(),
            origin: BTreeMap::new(),
        });
        held.pool.set_rules(spec.rules, now);
        let same_service = match (&held.spec.members, &spec.members) {
            (Members::Eds { service: a, from: f }, Members::Eds { service: b, from: g }) => {
                a == b && f.source == g.source
            }
            _ => false,
        };
        // Danger: an update of a cluster may come without its endpoints, which the server has told already. They stand.
        held.spec = spec;
        match held.spec.members.clone() {
            Members::Static(assignment) => {
                held.pool.assign(assignment, now);
                held.warmth = Warmth::Active;
            }
            Members::Aggregate(_) => held.warmth = Warmth::Active,
            Members::Dns { lookups, .. } => {
                if held.warmth != Warmth::Active {
                    held.warmth = Warmth::Warming(now.saturating_add(crate::common::FETCH));
                }
                if lookups.complete() {
                    if let Ok(assignment) = lookups.assignment() {
                        held.pool.assign(assignment, now);
                        held.warmth = Warmth::Active;
                    }
                }
            }
            Members::Eds { service, from } => {
                let known = self.assignments.get(&(from.source.clone(), service)).cloned();
                match known {
                    Some(assignment) if !same_service || !held.pool.is_assigned() => {
                        held.pool.assign((*assignment).clone(), now);
                        held.warmth = Warmth::Active;
                    }
                    Some(_) => {}
                    // Until its own come, it goes on with the endpoints that it had.
                    None if held.pool.is_assigned() => {}
                    None if matches!(held.warmth, Warmth::Warming(0)) && from.wait > 0 => {
                        held.warmth = Warmth::Warming(now.saturating_add(from.wait));
                    }
                    None => {}
                }
            }
        }
        self.dirty.insert(name);
    }

    fn remove_cluster(&mut self, name: &str) {
        if let Some((name, held)) = self.clusters.remove_entry(name) {
            self.dirty.remove(&name);
            if held.told.is_some() {
                self.gone.push(name);
            }
        }
    }

    fn assign(&mut self, source: &Source, service: &Arc<str>, assignment: &Arc<Assignment>, now: Nanos) {
        for (name, held) in &mut self.clusters {
            let mine = matches!(&held.spec.members, Members::Eds { service: s, from } if s == service && from.source == *source);
            if mine {
                held.pool.assign((**assignment).clone(), now);
                held.warmth = Warmth::Active;
                self.dirty.insert(name.clone());
            }
        }
    }

    fn give_up(&mut self, source: &Source, service: &str) {
        for (name, held) in &mut self.clusters {
            let mine = matches!(&held.spec.members, Members::Eds { service: s, from } if **s == *service && from.source == *source);
            if mine && !held.pool.is_assigned() {
                held.warmth = Warmth::Active;
                self.dirty.insert(name.clone());
            }
        }
    }

    /// Danger: a server that renames without end would fill memory with what nobody refers to.
    fn forget_unwanted(&mut self) {
        let wanted: BTreeSet<(Source, Arc<str>)> =
            self.services().map(|(s, n)| (s.clone(), n.clone())).collect();
        self.assignments.retain(|key, _| wanted.contains(key));
        let rds = self.rds().map(|(s, n, _)| (s.clone(), n.clone()));
        self.tables.retain(|key, _| Some(key) == rds.as_ref());
        let names: BTreeSet<&str> = wanted.iter().map(|(_, n)| &**n).collect();
        let rds = rds.as_ref().map(|(_, n)| &**n);
        self.kept.retain(|(kind, name), _| match kind {
            Kind::Endpoints => names.contains(name.as_str()),
            Kind::Route => rds == Some(name.as_str()),
            _ => true,
        });
    }

    /// Names that are to be looked up now, with their clusters and which addresses count.
    pub fn lookups(&mut self, now: Nanos) -> Vec<(Arc<str>, Arc<str>, crate::Family)> {
        let mut due = Vec::new();
        for (cluster, held) in &mut self.clusters {
            if let Members::Dns { lookups, family } = &mut held.spec.members {
                due.extend(lookups.due(now).into_iter().map(|name| (cluster.clone(), name, *family)));
            }
        }
        due
    }

    /// A name was looked up.
    pub fn looked_up(
        &mut self,
        cluster: &str,
        name: &str,
        found: Result<Vec<std::net::IpAddr>, String>,
        now: Nanos,
    ) {
        let Some(held) = self.clusters.get_mut(cluster) else { return };
        let Members::Dns { lookups, .. } = &mut held.spec.members else { return };
        match found {
            Ok(addresses) => lookups.found(name, addresses, now),
            Err(_) => return lookups.failed(name, now),
        }
        if lookups.complete() || held.pool.is_assigned() {
            match lookups.assignment() {
                Ok(assignment) if *held.pool.assignment() != assignment || !held.pool.is_assigned() => {
                    held.pool.assign(assignment, now);
                }
                _ => {}
            }
            held.warmth = Warmth::Active;
        }
        self.dirty.insert(cluster.into());
    }
}
