//! Outlier detection: ejects an endpoint for a limited time once there is enough evidence that it fails more
//! often than endpoints do on average.

use super::admission::MIN_SAMPLE_SIZE;
use super::api::{Nanos, ServerId, State};
use super::{Balancer, SECOND};

/// Bounds of the estimated failure rate of all endpoints. The lower one allows for attempts that fail by
/// chance.
const MIN_FAILURE_RATE: f64 = 0.02;
const MAX_FAILURE_RATE: f64 = 0.9;
/// Gain of the moving average of the failure rate. It is small enough that the attempts still pending at a
/// few endpoints that stopped answering do not raise the average.
const FAILURE_RATE_GAIN: f64 = 0.005;
/// Log-odds above which an endpoint is ejected (400:1): two failures in a row while hardly any attempt fails.
const EJECTION_LOG_ODDS: f64 = 6.0;
/// Maximum nominal duration of an ejection.
const MAX_EJECTION: Nanos = 16 * SECOND;
/// Minimum nominal duration of an ejection, with ordinary and with sparse traffic.
const MIN_EJECTION: Nanos = 2 * SECOND;
const MIN_EJECTION_SPARSE: Nanos = 8 * SECOND;
/// Width of the jitter: ejections last between 75 and 125 % of their nominal duration.
const EJECTION_JITTER: f64 = 0.5;

/// Evidence against an endpoint, and its ejection.
#[derive(Clone, Copy, Default)]
pub(super) struct Ejection {
    /// Evidence that the endpoint fails more often than endpoints do on average: a sum of log-odds.
    pub(super) log_odds: f64,
    pub(super) ejected_until: Nanos,
    /// Nominal duration of the last ejection; 0 if the next one is a first.
    pub(super) backoff: Nanos,
}

impl Ejection {
    pub(super) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }
}

/// The failure statistics of all endpoints together.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// Fraction of attempts that fail: a moving average.
    pub(super) failure_rate: f64,
}

/// The evidence that an outcome adds against one endpoint, given the failure rate of all endpoints. Danger:
/// with a slow origin or under overload all endpoints fail at times. Ejecting each after a few failures in a
/// row would move all keys to the few endpoints left, which are then overloaded, and each move is a cache
/// miss.
impl OutlierDetection {
    /// The average failure rate of endpoints.
    fn usual_failure_rate(&self) -> f64 {
        self.failure_rate.clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE)
    }

    /// The failure rate that a broken endpoint is assumed to have.
    fn broken_failure_rate(&self) -> f64 {
        0.5 + 0.5 * self.usual_failure_rate()
    }

    /// The log-odds that a failure adds.
    fn failure_log_odds(&self) -> f64 {
        (self.broken_failure_rate() / self.usual_failure_rate()).ln()
    }

    /// The log-odds that a success adds; negative.
    fn success_log_odds(&self) -> f64 {
        ((1.0 - self.broken_failure_rate()) / (1.0 - self.usual_failure_rate())).ln()
    }
}

impl Balancer {
    /// The log-odds above which an endpoint is ejected. It is lower for a proxy with sparse traffic, which
    /// cannot wait for a second unanswered attempt.
    pub(super) fn ejection_threshold(&self, now: Nanos) -> f64 {
        EJECTION_LOG_ODDS * if self.has_sparse_traffic(now) { 0.5 } else { 1.0 }
    }

    /// Whether this proxy receives at most one request per second per endpoint, so that its own requests do
    /// not show how loaded an endpoint is. False until enough requests were counted to be certain.
    pub(super) fn has_sparse_traffic(&self, now: Nanos) -> bool {
        self.traffic.requests.sum > 3.0 * MIN_SAMPLE_SIZE
            && self.traffic.request_rate(now) <= self.endpoints.ready_count
    }

    /// Counts a failure of an endpoint, and ejects the endpoint if the evidence suffices. `weight` is 1 for
    /// an ordinary failure.
    pub(super) fn record_failure(&mut self, now: Nanos, server: ServerId, weight: f64) {
        let jitter = 1.0 - EJECTION_JITTER / 2.0 + EJECTION_JITTER * self.rng.next_unit();
        let failure_log_odds = self.outliers.failure_log_odds();
        let threshold = self.ejection_threshold(now);
        // With sparse traffic the endpoint may receive no request for seconds anyway, so a short ejection
        // would have no effect.
        let min_backoff = if self.has_sparse_traffic(now) { MIN_EJECTION_SPARSE } else { MIN_EJECTION };
        let Some(index) = self.endpoints.index_of(server) else { return };
        let ejection = &mut self.endpoints[index].ejection;
        ejection.log_odds = (ejection.log_odds + weight * failure_log_odds).min(2.0 * EJECTION_LOG_ODDS);
        if ejection.log_odds > threshold && !ejection.is_ejected(now) {
            // An ejected endpoint receives one trial request whenever its ejection ends; a failed trial
            // doubles the duration.
            ejection.backoff = (ejection.backoff * 2).clamp(min_backoff, MAX_EJECTION);
            ejection.ejected_until = now.saturating_add((ejection.backoff as f64 * jitter) as Nanos);
        }
        if self.takes_keys(&self.endpoints[index]) {
            self.outliers.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.outliers.failure_rate);
        }
    }

    /// Counts a success of an endpoint and ends its ejection.
    pub(super) fn record_success(&mut self, now: Nanos, server: ServerId) {
        let success_log_odds = self.outliers.success_log_odds();
        let threshold = self.ejection_threshold(now);
        let Some(index) = self.endpoints.index_of(server) else { return };
        let ejection = &mut self.endpoints[index].ejection;
        ejection.log_odds = (0.5 * ejection.log_odds + success_log_odds).clamp(0.0, 0.5 * threshold);
        ejection.ejected_until = 0;
        ejection.backoff = if ejection.backoff > 2 * SECOND { ejection.backoff / 2 } else { 0 };
        if self.takes_keys(&self.endpoints[index]) {
            self.outliers.failure_rate -= FAILURE_RATE_GAIN * self.outliers.failure_rate;
        }
    }

    /// Whether an endpoint is ejected; an unlisted one counts as ejected.
    pub(super) fn is_ejected(&self, now: Nanos, server: ServerId) -> bool {
        self.endpoints.get(server).is_none_or(|e| e.ejection.is_ejected(now))
    }

    /// The number of listed cache nodes, and how many of them are not ready or are ejected, and so receive no
    /// requests other than trials.
    pub fn count_avoided_nodes(&self, now: Nanos) -> (usize, usize) {
        let nodes = self.endpoints.listed().filter(|e| !self.is_origin(e));
        nodes.fold((0, 0), |(listed, avoided), endpoint| {
            let is_avoided = endpoint.entry.state != State::Ready || endpoint.ejection.is_ejected(now);
            (listed + 1, avoided + usize::from(is_avoided))
        })
    }
}
