//! Computes the declared state, clusters of endpoints, from the endpoint list and the overrides.

use crate::ControlConfig;
use rushquay_endpoints::{
    Changes, Endpoint, EndpointList, EndpointMerger, EndpointState, MergeLimits, MergeTime, Nanos,
    OverrideTime, Source, SourcedEndpoint,
};
use rushquay_overrides::{effective_overrides, FleetCapacity, Imposed, Node, Override, SECOND};
use std::collections::BTreeMap;

/// The source of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Discovery, whose versions mean the same to all instances that follow it.
    Discovery,
    /// A file, whose versions are meaningful only to this instance.
    File,
}

/// The changes of the declared state that have to be published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointChange {
    /// New or changed endpoints, by cluster: cache nodes, origin.
    pub changed: [Vec<SourcedEndpoint>; 2],
    /// Removed endpoints in their last state, by cluster as in `changed`.
    pub removed: [Vec<SourcedEndpoint>; 2],
}

impl EndpointChange {
    /// Whether there is no change.
    pub fn is_empty(&self) -> bool {
        self.changed.iter().chain(&self.removed).all(Vec::is_empty)
    }
}

/// The outcome of processing an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListOutcome {
    /// The first list: all endpoints have to be published, and can be served from now on.
    First,
    /// The changes, if any.
    Changed(EndpointChange),
    /// A full list without live endpoints, although endpoints were declared. It is ignored.
    EmptyListIgnored,
}

/// An endpoint for the admin page.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Name of its cluster.
    pub cluster: String,
    /// The endpoint, with the declared weight.
    pub endpoint: SourcedEndpoint,
    /// When its state or process start time last changed, by the caller's clock.
    pub changed_at: Nanos,
}

/// The endpoints that the control service declares, and what they are derived from.
pub struct ControlState {
    config: ControlConfig,
    origin: ListSource,
    merger: EndpointMerger,
    /// The declared endpoints by cluster (cache nodes, origin) and endpoint ID.
    clusters: [BTreeMap<String, SourcedEndpoint>; 2],
    /// When the state or process start time of each endpoint last changed, by endpoint ID.
    changed_at: BTreeMap<String, Nanos>,
    /// Version of the last list processed.
    version: Option<u64>,
    overrides: Vec<Override>,
    /// Unix time of the last call of [`ControlState::set_overrides`].
    unix_now: Nanos,
    /// The outage after which an endpoint returns with a cold cache.
    cold_after: Nanos,
}

/// How long an endpoint is still declared with an override that has ended, so that proxies that connect later learn of its cold cache.
const ENDED_OVERRIDE_RETENTION: Nanos = 600 * SECOND;

impl ControlState {
    /// A state without an endpoint list. It declares nothing until the first list arrives.
    pub fn new(config: ControlConfig, origin: ListSource) -> Self {
        let hold = config.hold_s.saturating_mul(1_000_000_000);
        let merger = EndpointMerger::new(MergeLimits { hold, remembered: config.removals });
        ControlState {
            config,
            origin,
            merger,
            clusters: Default::default(),
            changed_at: BTreeMap::new(),
            version: None,
            overrides: Vec::new(),
            unix_now: 0,
            cold_after: 0,
        }
    }

    /// The settings.
    pub fn config(&self) -> &ControlConfig {
        &self.config
    }

    /// Version of the last list processed.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The endpoints by cluster: cache nodes, origin.
    pub fn clusters(&self) -> [&BTreeMap<String, SourcedEndpoint>; 2] {
        [&self.clusters[0], &self.clusters[1]]
    }

    /// The names of the clusters: cache nodes, origin.
    pub fn cluster_names(&self) -> [&str; 2] {
        [&self.config.cluster, &self.config.origin_cluster]
    }

    /// All endpoints for the admin page.
    pub fn nodes(&self) -> Vec<NodeView> {
        let view = |(cluster, nodes): (&str, &BTreeMap<String, SourcedEndpoint>)| {
            let since = |s: &SourcedEndpoint| self.changed_at.get(&s.member.id).copied().unwrap_or(0);
            let view = |s: &SourcedEndpoint| NodeView {
                cluster: cluster.into(),
                endpoint: s.clone(),
                changed_at: since(s),
            };
            nodes.values().map(view).collect::<Vec<_>>()
        };
        self.cluster_names().into_iter().zip(self.clusters()).flat_map(view).collect()
    }

    /// Processes an endpoint list, full or incremental.
    pub fn process_list(&mut self, list: &EndpointList, now: Nanos) -> ListOutcome {
        let is_live = |m: &&Endpoint| m.state != EndpointState::Gone;
        let endpoints_before = self.clusters.iter().map(BTreeMap::len).sum::<usize>();
        // Danger: a discovery process that has just started may respond before it knows any endpoints. Its list would remove every
        // endpoint from every proxy at once.
        if list.full && endpoints_before > 0 && list.servers.iter().filter(is_live).count() == 0 {
            return ListOutcome::EmptyListIgnored;
        }
        let is_first = self.version.is_none();
        if is_first && !list.full {
            // An incremental list cannot be interpreted without an earlier full one.
            return ListOutcome::Changed(EndpointChange::default());
        }
        let changes = self.merger.apply_list(Source::Discovery, list, MergeTime::without_overrides(now));
        self.version = Some(list.version);
        let change = self.apply(changes, list.version, now);
        match is_first {
            true => ListOutcome::First,
            false => ListOutcome::Changed(change),
        }
    }

    /// Replaces the overrides by those that are live at this Unix time. `cold_after` is the outage after which an endpoint returns with a
    /// cold cache.
    pub fn set_overrides(
        &mut self,
        overrides: Vec<Override>,
        unix_now: Nanos,
        cold_after: Nanos,
    ) -> EndpointChange {
        (self.overrides, self.unix_now, self.cold_after) = (overrides, unix_now, cold_after);
        let mut change = EndpointChange::default();
        for cluster in 0..self.clusters.len() {
            let updated: Vec<SourcedEndpoint> = self.clusters[cluster]
                .values()
                .map(|s| SourcedEndpoint {
                    imposed: self.effect_on(&s.member, Some(&s.imposed)),
                    ..s.clone()
                })
                .collect();
            for endpoint in updated {
                let id = endpoint.member.id.clone();
                if self.clusters[cluster].get(&id) != Some(&endpoint) {
                    self.clusters[cluster].insert(id, endpoint.clone());
                    change.changed[cluster].push(endpoint);
                }
            }
        }
        change
    }

    /// The combined effect of the overrides on an endpoint; `before` is the effect declared so far.
    fn effect_on(&self, member: &Endpoint, before: Option<&Imposed>) -> Imposed {
        let node = Node { id: &member.id, kind: &member.kind, zone: &member.zone };
        let (mut imposed, _) = effective_overrides(self.overrides.iter(), &node, self.unix_now);
        if imposed.out == (0, 0) {
            if let Some((since, until)) = before.map(|b| b.out).filter(|out| *out != (0, 0)) {
                // The override has expired or was lifted.
                let until = until.min(self.unix_now);
                if self.unix_now.saturating_sub(until) < ENDED_OVERRIDE_RETENTION {
                    imposed.out = (since, until);
                }
            }
        }
        if !imposed.is_empty() {
            imposed.cold_after = self.cold_after;
            let now = OverrideTime::from_unix_nanos(self.unix_now);
            imposed.present = Some((imposed.is_out(now), imposed.factor(now)));
        }
        imposed
    }

    /// The cache nodes with their capacities, for the check that overrides leave enough capacity.
    pub fn cache_capacities(&self) -> Vec<FleetCapacity> {
        let capacity = |s: &SourcedEndpoint| FleetCapacity {
            id: s.member.id.clone(),
            kind: s.member.kind.clone(),
            zone: s.member.zone.clone(),
            weight: s.member.weight,
            ready: s.member.state == EndpointState::Ready,
        };
        self.clusters[0].values().map(capacity).collect()
    }

    /// Restores the state stored before a restart. Danger: if the state were rebuilt from the newest list instead, every entry would count
    /// as changed and be sent to every subscriber again, and a drain that discovery has forgotten would end.
    pub fn restore(&mut self, version: u64, nodes: Vec<SourcedEndpoint>, now: Nanos) {
        let listed: BTreeMap<String, (u64, bool)> =
            nodes.iter().map(|s| (s.member.id.clone(), (s.list_version, s.is_from_discovery))).collect();
        let changes =
            self.merger.restore(Source::Discovery, version, nodes, MergeTime::without_overrides(now));
        self.version = Some(version);
        self.apply(changes, version, now);
        for endpoint in self.clusters.iter_mut().flat_map(BTreeMap::values_mut) {
            if let Some((listed, shared)) = listed.get(&endpoint.member.id) {
                (endpoint.list_version, endpoint.is_from_discovery) = (*listed, *shared);
            }
        }
    }

    /// The endpoints to store for a restart, with the weights of the endpoint list instead of the declared ones.
    pub fn stored_endpoints(&self) -> Vec<SourcedEndpoint> {
        let with_listed_weight = |member: &Endpoint| {
            let cluster = usize::from(member.kind == self.config.origin_kind);
            let declared = self.clusters[cluster].get(&member.id)?;
            Some(SourcedEndpoint { member: member.clone(), ..declared.clone() })
        };
        let mut endpoints: Vec<SourcedEndpoint> =
            self.merger.nodes().filter_map(|v| with_listed_weight(v.member)).collect();
        endpoints.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        endpoints
    }

    /// The current endpoint list, for another instance to continue from; `None` before the first list.
    pub fn current_list(&self) -> Option<EndpointList> {
        let servers = self.stored_endpoints().into_iter().map(|s| s.member).collect();
        Some(EndpointList { version: self.version?, full: true, servers })
    }

    /// Applies the changes that were held back and whose hold time (`hold_s`) has passed.
    pub fn tick(&mut self, now: Nanos) -> EndpointChange {
        let changes = self.merger.tick(MergeTime::without_overrides(now));
        let version = self.version.unwrap_or(0);
        self.apply(changes, version, now)
    }

    fn apply(&mut self, changes: Changes, version: u64, now: Nanos) -> EndpointChange {
        let mut change = EndpointChange::default();
        for gone in changes.gone {
            for (nodes, gone_here) in self.clusters.iter_mut().zip(&mut change.removed) {
                gone_here.extend(nodes.remove(&gone.id));
            }
            self.changed_at.remove(&gone.id);
        }
        for member in changes.upserts {
            self.upsert(member, version, now, &mut change);
        }
        change
    }

    fn upsert(&mut self, member: Endpoint, version: u64, now: Nanos, change: &mut EndpointChange) {
        let factor = self.config.weights.get(&member.kind).copied().unwrap_or(1.0);
        // Danger: a NaN, infinite or zero weight would corrupt every sum over the cluster.
        let weight =
            if member.weight.is_finite() { (member.weight * factor).clamp(1e-6, 1e6) } else { factor };
        let cluster = usize::from(member.kind == self.config.origin_kind);
        let before = self.clusters.iter().find_map(|nodes| nodes.get(&member.id)).map(|s| &s.imposed);
        let imposed = self.effect_on(&member, before);
        let declared = SourcedEndpoint {
            member: Endpoint { weight, ..member },
            list_version: version,
            is_from_discovery: self.origin == ListSource::Discovery,
            imposed,
        };
        let id = declared.member.id.clone();
        let moved_from = self.clusters[1 - cluster].remove(&id);
        change.removed[1 - cluster].extend(moved_from);
        let state_and_start = |s: &SourcedEndpoint| (s.member.state, s.member.started);
        let before = self.clusters[cluster].insert(id.clone(), declared.clone());
        if before.as_ref().map(state_and_start) != Some(state_and_start(&declared)) {
            self.changed_at.insert(id, now);
        }
        // An endpoint that moved to another zone is declared under another resource name, so the former one is removed.
        change.removed[cluster].extend(before.filter(|b| b.member.zone != declared.member.zone));
        change.changed[cluster].push(declared);
    }
}
