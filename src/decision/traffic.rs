//! Traffic counters of this proxy: requests received and answers served, with exponential decay.

use super::api::Nanos;
use super::SECOND;

/// Time constant of the request counters, in seconds.
pub(super) const REQUEST_TIME_CONSTANT_S: f64 = 16.0;
/// Time constant of the counter of served answers, in seconds.
pub(super) const SERVED_TIME_CONSTANT_S: f64 = 2.0;
/// Minimum uptime from which a rate is computed, in seconds.
const MIN_UPTIME_S: f64 = 0.5;

/// A count that decays exponentially with time.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingCounter {
    pub(super) sum: f64,
    updated_at: Nanos,
}

impl DecayingCounter {
    /// Decays the count by `time_constant_s` and adds one.
    pub(super) fn increment(&mut self, now: Nanos, time_constant_s: f64) {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        let sum = self.sum * (-elapsed_s / time_constant_s).exp() + 1.0;
        *self = DecayingCounter { sum, updated_at: now };
    }
}

/// The recent traffic of this proxy.
#[derive(Default)]
pub(super) struct Traffic {
    /// Time of the first event.
    pub(super) started_at: Option<Nanos>,
    pub(super) requests: DecayingCounter,
    pub(super) served: DecayingCounter,
}

impl Traffic {
    /// Requests per second that this proxy received recently.
    pub(super) fn request_rate(&self, now: Nanos) -> f64 {
        let uptime_s = now.saturating_sub(self.started_at.unwrap_or(now)) as f64 / SECOND as f64;
        // A counter needs time to reach its steady state; this is the fraction reached so far.
        let warm_up = 1.0 - (-uptime_s.max(MIN_UPTIME_S) / REQUEST_TIME_CONSTANT_S).exp();
        self.requests.sum / (REQUEST_TIME_CONSTANT_S * warm_up)
    }

    /// Answers per second that this proxy served recently, plus one, so that the rate is never 0.
    pub(super) fn served_rate(&self) -> f64 {
        self.served.sum / SERVED_TIME_CONSTANT_S + 1.0
    }
}
