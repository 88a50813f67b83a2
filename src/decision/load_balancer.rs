//! Choice of the endpoint for an attempt: the bucket's endpoints in order of preference, filtered by
//! eligibility, load and slow-start allowance.

use super::api::{Action, Nanos, State, Status};
use super::candidates::{slot, CANDIDATES};
use super::endpoint_set::{Endpoint, EndpointIndex};
use super::hash::mix64;
use super::request::{Completion, OpenRequest};
use super::Balancer;

/// Upper end of the load bound of a candidate, as a multiple of the mean load. The bound is drawn for each
/// request between the mean and this; a candidate with more attempts in flight is passed over. Danger: with
/// one fixed bound all buckets of an endpoint would leave it, and return to it, at once.
const MAX_LOAD_FACTOR: f64 = 3.0;
/// Fraction of attempts without a connection above which endpoints with an open connection are preferred.
const CONNECT_FAILURE_LIMIT: f64 = 0.1;
/// Gain of the moving average of that fraction.
const CONNECT_FAILURE_GAIN: f64 = 0.05;

/// Totals over this proxy's attempts and connections to all endpoints.
#[derive(Default)]
pub(super) struct Connections {
    /// Attempts that have not ended yet.
    pub(super) in_flight: f64,
    /// Fraction of attempts whose connection failed: a moving average.
    failure_rate: f64,
}

impl Connections {
    /// Whether new connections fail often.
    fn are_scarce(&self) -> bool {
        self.failure_rate > CONNECT_FAILURE_LIMIT
    }

    fn record(&mut self, failed: bool) {
        self.failure_rate += CONNECT_FAILURE_GAIN * (f64::from(u8::from(failed)) - self.failure_rate);
    }
}

impl Balancer {
    /// Chooses the endpoint for the next attempt of a request; `spread` is the number of endpoints that its
    /// bucket's traffic is spread over.
    pub(super) fn choose_endpoint(
        &mut self,
        now: Nanos,
        request: &OpenRequest,
        spread: usize,
    ) -> Option<EndpointIndex> {
        // A proxy sees only its own part of the load, and a single request of its own in flight may be a
        // heavy one that the next request would have to wait for.
        let mean_load = self.connections.in_flight / self.endpoints.total_weight.max(1e-9);
        let max_load = mean_load * (1.0 + (MAX_LOAD_FACTOR - 1.0) * self.rng.next_unit());
        let bucket =
            request.bucket.unwrap_or_else(|| self.buckets.id_for(request.class, now ^ self.rng.state));
        self.rank_endpoints(bucket);
        let preferred = self.endpoints_by_preference(now, bucket, spread);
        let pinned = request.pinned.and_then(|server| self.endpoints.index_of(server));
        let pinned = pinned.filter(|&i| self.is_eligible(now, request, i));
        let mut order: Vec<EndpointIndex> =
            preferred.into_iter().filter(|&i| self.is_eligible(now, request, i)).collect();
        if order.is_empty() {
            // No ranked endpoint is eligible: consider all endpoints, those of this zone first, in an order
            // that depends on the bucket.
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

    /// Whether the next attempt of a request may go to this endpoint. The slow-start allowance is checked
    /// separately.
    fn is_eligible(&self, now: Nanos, request: &OpenRequest, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let was_tried = request.attempts.iter().any(|a| a.server == endpoint.entry.server);
        self.takes_keys(endpoint)
            && !endpoint.ejection.is_ejected(now)
            && self.is_open_to(request.class(), endpoint)
            && request.allows_repeat_at(now, &endpoint.entry)
            && !was_tried
    }

    /// Puts endpoints with an open connection first, and adds any eligible ones if `order` has none. Danger:
    /// when new connections fail often (full connection tables, slow handshakes), an attempt at an endpoint
    /// without one fails too, so any endpoint with an open connection is better.
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

    /// The origin endpoint with the fewest attempts in flight; `None` if none is eligible or the origin limit
    /// is reached.
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

    /// Removes an ended attempt from the in-flight counts, and records whether its connection failed.
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
