//! The endpoints known to this proxy, as given by the endpoint list.

use super::api::{Action, Class, Entry, ListKind, Nanos, ServerId, State};
use super::hash::{mix64, unit_interval};
use super::outlier_detection::Ejection;
use super::token_bucket::TokenBucket;
use super::Balancer;
use rustc_hash::{FxHashMap, FxHashSet};
use std::ops::{Index, IndexMut};

/// Bounds of the weights in the list.
const MIN_WEIGHT: f64 = 1e-6;
const MAX_WEIGHT: f64 = 1e9;

/// Position of an endpoint in the set; stable while the endpoint is listed.
pub(super) type EndpointIndex = u32;

/// An endpoint and its state at this proxy.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) entry: Entry,
    pub(super) inverse_weight: f64,
    /// Attempts of this proxy that have not ended yet.
    pub(super) in_flight: f64,
    pub(super) ejection: Ejection,
    /// Slow-start allowance: the requests that this proxy may still send to it while its cache is cold.
    pub(super) slow_start_tokens: TokenBucket,
    /// When an attempt last ended on an open connection; 0 if a connection has failed since.
    pub(super) connected_at: Nanos,
}

/// All endpoints, in slots that are reused after an endpoint is removed.
#[derive(Default)]
pub(super) struct EndpointSet {
    index_by_id: FxHashMap<ServerId, EndpointIndex>,
    slots: Vec<Endpoint>,
    free_slots: Vec<EndpointIndex>,
    /// Incremented with each change of the list; rankings of an earlier version are stale.
    pub(super) version: u64,
    /// Sum of the weights of the endpoints that keys are placed on.
    pub(super) total_weight: f64,
    /// Number of the endpoints that keys are placed on.
    pub(super) ready_count: f64,
}

impl Index<EndpointIndex> for EndpointSet {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.slots[index as usize]
    }
}

impl IndexMut<EndpointIndex> for EndpointSet {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.slots[index as usize]
    }
}

impl EndpointSet {
    pub(super) fn index_of(&self, server: ServerId) -> Option<EndpointIndex> {
        self.index_by_id.get(&server).copied()
    }

    pub(super) fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.index_of(server).map(|index| &self[index])
    }

    pub(super) fn get_mut(&mut self, server: ServerId) -> Option<&mut Endpoint> {
        self.index_of(server).map(|index| &mut self[index])
    }

    /// The indices of all slots, including those of removed endpoints.
    pub(super) fn indices(&self) -> std::ops::Range<EndpointIndex> {
        0..self.slots.len() as EndpointIndex
    }

    /// All slots in index order, including those of removed endpoints.
    pub(super) fn slots(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.iter()
    }

    pub(super) fn slots_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.slots.iter_mut()
    }

    /// The listed endpoints, in no particular order.
    pub(super) fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.index_by_id.values().map(|&index| &self[index])
    }

    /// The ids of the known endpoints that a full list does not contain, sorted.
    fn missing_from(&self, entries: &[Entry]) -> Vec<ServerId> {
        let listed_ids: FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
        let unlisted = self.index_by_id.keys().filter(|server| !listed_ids.contains(server));
        let mut missing: Vec<ServerId> = unlisted.copied().collect();
        missing.sort_unstable();
        missing
    }

    fn insert(&mut self, endpoint: Endpoint) {
        let server = endpoint.entry.server;
        let index = self.free_slots.pop().unwrap_or(self.slots.len() as EndpointIndex);
        self.slots.resize_with(self.slots.len().max(index as usize + 1), Endpoint::default);
        self[index] = endpoint;
        self.index_by_id.insert(server, index);
    }
}

impl Balancer {
    /// Applies an event of the endpoint list.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            return self.on_subscription_lost(actions);
        }
        if kind != ListKind::Delta {
            self.endpoints.missing_from(&entries).into_iter().for_each(|server| self.remove_endpoint(server));
        }
        for entry in entries {
            let server = entry.server;
            if entry.state == State::Gone {
                self.remove_endpoint(server);
            } else {
                self.upsert_endpoint(now, entry);
                self.close_idle_if_draining(server, actions);
            }
        }
        self.update_weights();
        self.on_list_applied(kind, actions);
    }

    /// Closes the idle connections to a draining endpoint if the settings require it. Called for every list
    /// entry of the endpoint and after every attempt at it, since the connection of the attempt is idle from
    /// then on.
    pub(super) fn close_idle_if_draining(&self, server: ServerId, actions: &mut Vec<Action>) {
        let is_draining = self.endpoints.get(server).is_some_and(|e| e.entry.state == State::Draining);
        if self.settings.idle_close_limit > 0 && is_draining {
            actions.push(Action::Close(server));
        }
    }

    pub(super) fn is_origin(&self, endpoint: &Endpoint) -> bool {
        self.settings.origin_kind == Some(endpoint.entry.kind)
    }

    /// Whether keys are placed on this endpoint.
    pub(super) fn takes_keys(&self, endpoint: &Endpoint) -> bool {
        // The origin of a cache-aside deployment is a fallback (after a miss or a timeout, and for writes),
        // never a candidate.
        endpoint.entry.state == State::Ready && !(self.settings.is_cache_aside && self.is_origin(endpoint))
    }

    /// Whether requests of a class may be sent to this endpoint. All classes may use the origin of a
    /// cache-aside deployment.
    pub(super) fn is_open_to(&self, class: Option<&Class>, endpoint: &Endpoint) -> bool {
        let allows = |set: &Option<Vec<u32>>, value: u32| set.as_ref().is_none_or(|set| set.contains(&value));
        let is_allowed =
            |c: &Class| allows(&c.zones, endpoint.entry.zone) && allows(&c.kinds, endpoint.entry.kind);
        class.is_none_or(is_allowed) || self.settings.is_cache_aside && self.is_origin(endpoint)
    }

    fn remove_endpoint(&mut self, server: ServerId) {
        let Some(index) = self.endpoints.index_by_id.remove(&server) else { return };
        let is_origin = self.is_origin(&self.endpoints[index]);
        let endpoint = &mut self.endpoints[index];
        self.connections.in_flight -= endpoint.in_flight;
        if is_origin {
            self.origin.release(endpoint.in_flight);
        }
        endpoint.in_flight = 0.0;
        endpoint.entry.state = State::Gone;
        self.endpoints.free_slots.push(index);
    }

    fn upsert_endpoint(&mut self, now: Nanos, entry: Entry) {
        if let Some(endpoint) = self.endpoints.get_mut(entry.server) {
            if !endpoint.entry.is_same_incarnation(&entry) {
                // A new process has an empty cache and no history of failures.
                endpoint.ejection = Ejection::default();
                let tokens = unit_interval(mix64(self.rng.state ^ entry.started_at));
                endpoint.slow_start_tokens = TokenBucket { tokens, refilled_at: now };
            }
            endpoint.entry = entry;
            return;
        }
        let slow_start_tokens = TokenBucket { tokens: self.rng.next_unit(), refilled_at: now };
        let endpoint = Endpoint { entry, inverse_weight: 1.0, slow_start_tokens, ..Endpoint::default() };
        self.endpoints.insert(endpoint);
    }

    /// Recomputes the weights after a change of the list, and invalidates the rankings.
    fn update_weights(&mut self) {
        (self.endpoints.total_weight, self.endpoints.ready_count) = (0.0, 0.0);
        for index in self.endpoints.indices() {
            let listed = self.endpoints[index].entry.weight;
            let weight = if listed.is_finite() { listed.clamp(MIN_WEIGHT, MAX_WEIGHT) } else { 1.0 };
            self.endpoints[index].inverse_weight = 1.0 / weight;
            if self.takes_keys(&self.endpoints[index]) {
                self.endpoints.total_weight += weight;
                self.endpoints.ready_count += 1.0;
            }
        }
        self.endpoints.version += 1;
    }
}
