//! Choice of the endpoint for an attempt: the bucket's order, filtered by what each endpoint may take now.

use super::api::{Action, Nanos, State, Status};
use super::candidates::{slot, CANDIDATES};
use super::endpoint_set::{Endpoint, EndpointIndex};
use super::hash::mix64;
use super::request::{Completion, OpenRequest};
use super::Balancer;

/// The most attempts in flight that a candidate may hold, in means, before it passes a request on; drawn for
/// each request between one mean and this. Danger: with one fixed bound all buckets of an endpoint leave it,
/// and return to it, at once.
const MAX_LOAD_FACTOR: f64 = 3.0;
/// The part of attempts that find no connection beyond which open connections are preferred.
const CONNECT_FAILURE_LIMIT: f64 = 0.1;
/// Gain of the moving average of that part.
const CONNECT_FAILURE_GAIN: f64 = 0.05;

/// The attempts and connections of this proxy to all endpoints.
#[derive(Default)]
pub(super) struct Connections {
    /// Attempts that are not answered yet.
    pub(super) in_flight: f64,
    /// The part of attempts that find no connection: a moving average.
    failure_rate: f64,
}

impl Connections {
    /// Whether connections are hard to get.
    fn are_scarce(&self) -> bool {
        self.failure_rate > CONNECT_FAILURE_LIMIT
    }

    fn record(&mut self, failed: bool) {
        self.failure_rate += CONNECT_FAILURE_GAIN * (f64::from(u8::from(failed)) - self.failure_rate);
    }
}

impl Balancer {
    /// The endpoint for the next attempt of a request; `spread` is the number of endpoints that its bucket's
    /// traffic is worth.
    pub(super) fn choose_endpoint(
        &mut self,
        now: Nanos,
        request: &OpenRequest,
        spread: usize,
    ) -> Option<EndpointIndex> {
        // A proxy knows its own part of the load alone, and one request of its own in flight may be a heavy
        // one that the next would wait for.
        let mean_load = self.connections.in_flight / self.endpoints.total_weight.max(1e-9);
        let max_load = mean_load * (1.0 + (MAX_LOAD_FACTOR - 1.0) * self.rng.next_unit());
        let bucket =
            request.bucket.unwrap_or_else(|| self.buckets.id_for(request.class, now ^ self.rng.state));
        self.rank_endpoints(bucket);
        let preferred = self.by_preference(now, bucket, spread);
        let pinned = request.pinned.and_then(|server| self.endpoints.index_of(server));
        let pinned = pinned.filter(|&i| self.is_eligible(now, request, i));
        let mut order: Vec<EndpointIndex> =
            preferred.into_iter().filter(|&i| self.is_eligible(now, request, i)).collect();
        if order.is_empty() {
            // No ranked endpoint is eligible: take any that is, nearest first, in the bucket's own order.
            order = self.endpoints.indices().filter(|&i| self.is_eligible(now, request, i)).collect();
            order.sort_by_key(|&i| {
                let entry = &self.endpoints[i].entry;
                (entry.zone != self.settings.zone, mix64(entry.server ^ mix64(slot(bucket))))
            });
        }
        if self.connections.are_scarce() {
            self.prefer_connected(now, request, &mut order);
        }
        if let Some(index) = pinned.filter(|&i| self.has_slow_start_allowance(now, i)) {
            return Some(index);
        }
        order.retain(|&i| self.has_slow_start_allowance(now, i));
        let has_capacity = |i: &&EndpointIndex| {
            let endpoint = &self.endpoints[**i];
            endpoint.in_flight < 0.5 + max_load / endpoint.inverse_weight
        };
        order.iter().take(CANDIDATES.max(spread)).find(has_capacity).or(order.first()).copied()
    }

    /// Whether the next attempt of a request may go to this endpoint, its slow-start allowance aside.
    fn is_eligible(&self, now: Nanos, request: &OpenRequest, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let was_tried = request.attempts.iter().any(|a| a.server == endpoint.entry.server);
        self.takes_keys(endpoint)
            && !endpoint.ejection.is_ejected(now)
            && self.is_open_to(request.class(), endpoint)
            && request.allows_repeat_at(now, &endpoint.entry)
            && !was_tried
    }

    /// Puts endpoints with an open connection first. Danger: where new connections are hard to get (full
    /// tables, slow handshakes), each attempt elsewhere fails too; so any endpoint with one will do.
    fn prefer_connected(&self, now: Nanos, request: &OpenRequest, order: &mut Vec<EndpointIndex>) {
        let is_connected = |i: &EndpointIndex| {
            let connected_at = self.endpoints[*i].connected_at;
            connected_at > 0 && connected_at.saturating_add(self.settings.conn_idle) > now
        };
        if !order.iter().any(is_connected) {
            let eligible = self.endpoints.indices().filter(|&i| self.is_eligible(now, request, i));
            order.extend(eligible.filter(is_connected));
        }
        order.sort_by_key(|i| !is_connected(i));
    }

    /// The origin with the fewest attempts in flight, where the proxy may send to it and it has capacity.
    pub(super) fn choose_origin(&self, now: Nanos, request: &OpenRequest) -> Option<EndpointIndex> {
        if !self.origin.has_capacity_for(request) {
            return None;
        }
        let is_eligible = |i: &EndpointIndex| {
            let endpoint: &Endpoint = &self.endpoints[*i];
            endpoint.entry.state == State::Ready
                && self.is_origin(endpoint)
                && request.allows_repeat_at(now, &endpoint.entry)
        };
        let eligible = self.endpoints.indices().filter(is_eligible);
        eligible.min_by(|a, b| self.endpoints[*a].in_flight.total_cmp(&self.endpoints[*b].in_flight))
    }

    /// Releases the slot of an attempt that has ended, and notes whether it had a connection.
    pub(super) fn release_attempt(&mut self, now: Nanos, ended: &Completion, actions: &mut Vec<Action>) {
        self.close_idle_if_draining(ended.server, actions);
        let Some(endpoint) = self.endpoints.get_mut(ended.server) else { return };
        let released = endpoint.in_flight.min(1.0);
        endpoint.in_flight -= released;
        self.connections.in_flight -= released;
        let connect_failed = ended.status == Status::ConnectFailed;
        if !matches!(ended.status, Status::Cancelled | Status::Moot) {
            endpoint.connected_at = if connect_failed { 0 } else { now };
            self.connections.record(connect_failed);
        }
    }
}
