//! Slow start: an endpoint with a cold cache receives a growing fraction of its keys, and its traffic is
//! limited by an allowance that grows as well.

use super::api::{ColdEndpointAllowance, Nanos};
use super::candidates::{slot, BucketId};
use super::endpoint_set::{Endpoint, EndpointIndex};
use super::hash::{mix64, unit_interval};
use super::token_bucket::TokenBucket;
use super::{Balancer, SECOND};

/// Fraction of its keys that a cold endpoint receives, as a multiple of its minimum warmth. Danger: with a
/// multiple of 1 new endpoints would be underused (they warm up sooner than the minimum, and misses cost them
/// little) while the warm endpoints are overloaded during a rolling restart.
const COLD_KEYS_FACTOR: f64 = 2.5;
/// Fraction of the overload threshold of a cold endpoint that all proxies together may send; the rest is
/// reserved for bursts and for uneven traffic among the proxies.
const COLD_LOAD_SHARE: f64 = 0.7;
/// Salt that keeps the admission of an endpoint to a bucket independent of the bucket's ranking.
const ADMISSION_SALT: u64 = 0xc01d;

impl Balancer {
    /// Minimum fraction of its full capacity that an endpoint has reached by now; 1 for a warm one.
    fn warmth(&self, now: Nanos, endpoint: &Endpoint) -> f64 {
        if endpoint.entry.started_at == 0 || self.settings.warm_up_time == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(endpoint.entry.started_at) as f64 / self.settings.warm_up_time as f64;
        let initial = self.settings.initial_capacity_fraction.clamp(0.0, 1.0);
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Whether an endpoint is admitted to a bucket. A cold one is admitted once its warmth exceeds a
    /// threshold that is a hash of both, so that all proxies admit it to the same growing fraction of its
    /// buckets.
    pub(super) fn is_admitted(&self, now: Nanos, bucket: BucketId, endpoint: &Endpoint) -> bool {
        let warmth = self.warmth(now, endpoint);
        let hash = mix64(endpoint.entry.server ^ mix64(slot(bucket) ^ ADMISSION_SALT));
        warmth >= 1.0 || unit_interval(hash) < COLD_KEYS_FACTOR * warmth
    }

    /// Whether the slow-start allowance of an endpoint permits one more request.
    pub(super) fn has_slow_start_allowance(&mut self, now: Nanos, index: EndpointIndex) -> bool {
        self.refill_slow_start(now, index).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Spends one request of an endpoint's slow-start allowance; returns false if none is left. Danger: a
    /// burst of hot keys soon after its start overloads an endpoint permanently.
    pub(super) fn spend_slow_start_allowance(&mut self, now: Nanos, index: EndpointIndex) -> bool {
        let Some(tokens) = self.refill_slow_start(now, index) else { return true };
        let is_allowed = tokens >= 1.0;
        if is_allowed {
            self.endpoints[index].slow_start_tokens.tokens -= 1.0;
        }
        is_allowed
    }

    /// Refills this proxy's allowance for a cold endpoint and returns the requests left; `None` if the
    /// endpoint is not limited.
    fn refill_slow_start(&mut self, now: Nanos, index: EndpointIndex) -> Option<f64> {
        let endpoint = &self.endpoints[index];
        let warmth = self.warmth(now, endpoint);
        if warmth >= 1.0 || !self.takes_keys(endpoint) {
            return None;
        }
        let share = 1.0 / endpoint.inverse_weight / self.endpoints.total_weight.max(1e-9);
        let traffic = self.traffic.request_rate(now).min(self.traffic.served_rate());
        let rate = COLD_LOAD_SHARE * self.settings.overload_multiple * warmth * share * traffic;
        let window_s = self.settings.overload_window as f64 / SECOND as f64;
        let tokens = &mut self.endpoints[index].slow_start_tokens;
        Some(tokens.refill(now, rate, (rate * window_s).max(1.0)))
    }

    /// Hands over the slow-start allowance of each cold endpoint to the successor process, and keeps none:
    /// during an upgrade both processes share the allowance of one proxy.
    pub fn release_slow_start_allowances(&mut self, now: Nanos) -> Vec<ColdEndpointAllowance> {
        let cold = self.settings.warm_up_time;
        let is_cold =
            |e: &&mut Endpoint| e.entry.started_at > 0 && now < e.entry.started_at.saturating_add(cold);
        let release = |e: &mut Endpoint| {
            ColdEndpointAllowance::of(&e.entry, std::mem::take(&mut e.slow_start_tokens.tokens))
        };
        self.endpoints.slots_mut().filter(is_cold).map(release).collect()
    }

    /// Adopts the allowances that the incumbent process handed over, in place of the random initial ones. An
    /// allowance for another start of its endpoint is ignored.
    pub fn inherit_slow_start_allowances(&mut self, now: Nanos, given: &[ColdEndpointAllowance]) {
        for allowance in given {
            let Some(endpoint) = self.endpoints.get_mut(allowance.server) else { continue };
            if allowance.is_for(&endpoint.entry) {
                let tokens = allowance.remaining_requests;
                endpoint.slow_start_tokens = TokenBucket { tokens, refilled_at: now };
            }
        }
    }
}
