//! Outlier detection: ejects an endpoint for a while once it surely fails more than endpoints do on the
//! whole.

use super::admission::MIN_SAMPLE;
use super::api::{Nanos, ServerId, State};
use super::{Balancer, SECOND};

/// The part of attempts that fails by chance, which the estimate never falls below.
const MIN_FAILURE_RATE: f64 = 0.02;
const MAX_FAILURE_RATE: f64 = 0.9;
/// Gain of the moving average of the failure rate: slow enough that the attempts a few silent endpoints still
/// hold do not pass for the usual rate.
const FAILURE_RATE_GAIN: f64 = 0.005;
/// Log-odds of failure beyond which an endpoint is ejected (400:1): two failures in a row where hardly any
/// attempt fails.
const EJECTION_LOG_ODDS: f64 = 6.0;
/// The longest time of an ejection.
const MAX_EJECTION: Nanos = 16 * SECOND;
/// The shortest time of an ejection, by a proxy with much and with sparse traffic.
const MIN_EJECTION: Nanos = 2 * SECOND;
const MIN_EJECTION_SPARSE: Nanos = 8 * SECOND;
/// Ejections last between 75 and 125 % of their nominal time.
const EJECTION_JITTER: f64 = 0.5;

/// Whether and for how long an endpoint is ejected.
#[derive(Clone, Copy, Default)]
pub(super) struct Ejection {
    /// How surely the endpoint fails more than endpoints do on the whole: a sum of log-odds.
    pub(super) log_odds: f64,
    pub(super) ejected_until: Nanos,
    /// Nominal time of the last ejection.
    pub(super) backoff: Nanos,
}

impl Ejection {
    pub(super) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }
}

/// What is known of the failures of all endpoints.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// The part of attempts that fails: a moving average.
    pub(super) failure_rate: f64,
}

/// What an outcome says of one endpoint, given how many attempts fail on the whole. Danger: with a slow
/// origin or under overload all endpoints fail at times; ejecting each after a few failures in a row moves
/// all keys to the few endpoints left, which are then overloaded, and each move is a cache miss.
impl OutlierDetection {
    /// The failure rate of endpoints on the whole.
    fn usual_failure_rate(&self) -> f64 {
        self.failure_rate.clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE)
    }

    /// The failure rate that a broken endpoint is assumed to have.
    fn broken_failure_rate(&self) -> f64 {
        0.5 + 0.5 * self.usual_failure_rate()
    }

    /// The log-odds that one failure adds.
    fn failure_log_odds(&self) -> f64 {
        (self.broken_failure_rate() / self.usual_failure_rate()).ln()
    }

    /// The log-odds that one success adds; negative.
    fn success_log_odds(&self) -> f64 {
        ((1.0 - self.broken_failure_rate()) / (1.0 - self.usual_failure_rate())).ln()
    }
}

impl Balancer {
    /// The log-odds beyond which an endpoint is ejected: a proxy with sparse traffic cannot wait for a second
    /// silent attempt.
    pub(super) fn ejection_threshold(&self, now: Nanos) -> f64 {
        EJECTION_LOG_ODDS * if self.has_sparse_traffic(now) { 0.5 } else { 1.0 }
    }

    /// Whether this proxy surely sends an endpoint less than one request per second, so that it does not see
    /// what loads the endpoint.
    pub(super) fn has_sparse_traffic(&self, now: Nanos) -> bool {
        self.traffic.requests.sum > 3.0 * MIN_SAMPLE
            && self.traffic.request_rate(now) <= self.endpoints.ready_count
    }

    /// Counts a failure of an endpoint, with `weight` 1 for an ordinary one, and ejects it on enough
    /// evidence.
    pub(super) fn record_failure(&mut self, now: Nanos, server: ServerId, weight: f64) {
        let jitter = 1.0 - EJECTION_JITTER / 2.0 + EJECTION_JITTER * self.rng.next_unit();
        let of_failure = self.outliers.failure_log_odds();
        let threshold = self.ejection_threshold(now);
        // With sparse traffic nothing would be sent there for seconds anyway: a short ejection has no effect.
        let shortest = if self.has_sparse_traffic(now) { MIN_EJECTION_SPARSE } else { MIN_EJECTION };
        let Some(index) = self.endpoints.index_of(server) else { return };
        let ejection = &mut self.endpoints[index].ejection;
        ejection.log_odds = (ejection.log_odds + weight * of_failure).min(2.0 * EJECTION_LOG_ODDS);
        if ejection.log_odds > threshold && !ejection.is_ejected(now) {
            // An ejected endpoint gets one request each time its ejection ends; the next failure doubles it.
            ejection.backoff = (ejection.backoff * 2).clamp(shortest, MAX_EJECTION);
            ejection.ejected_until = now.saturating_add((ejection.backoff as f64 * jitter) as Nanos);
        }
        if self.takes_keys(&self.endpoints[index]) {
            self.outliers.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.outliers.failure_rate);
        }
    }

    /// Counts a success of an endpoint, which ends its ejection.
    pub(super) fn record_success(&mut self, now: Nanos, server: ServerId) {
        let of_success = self.outliers.success_log_odds();
        let threshold = self.ejection_threshold(now);
        let Some(index) = self.endpoints.index_of(server) else { return };
        let ejection = &mut self.endpoints[index].ejection;
        ejection.log_odds = (0.5 * ejection.log_odds + of_success).clamp(0.0, 0.5 * threshold);
        ejection.ejected_until = 0;
        ejection.backoff = if ejection.backoff > 2 * SECOND { ejection.backoff / 2 } else { 0 };
        if self.takes_keys(&self.endpoints[index]) {
            self.outliers.failure_rate -= FAILURE_RATE_GAIN * self.outliers.failure_rate;
        }
    }

    /// Whether an endpoint is ejected; one that is not listed counts as ejected.
    pub(super) fn is_ejected(&self, now: Nanos, server: ServerId) -> bool {
        self.endpoints.get(server).is_none_or(|e| e.ejection.is_ejected(now))
    }

    /// How many cache nodes the list names, and to how many of these nothing is sent now except for trials.
    pub fn avoided(&self, now: Nanos) -> (usize, usize) {
        let nodes = self.endpoints.listed().filter(|e| !self.is_origin(e));
        nodes.fold((0, 0), |(listed, avoided), endpoint| {
            let is_avoided = endpoint.entry.state != State::Ready || endpoint.ejection.is_ejected(now);
            (listed + 1, avoided + usize::from(is_avoided))
        })
    }
}
