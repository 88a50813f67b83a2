//! The concurrency limit on attempts that the origin must serve: additive increase, multiplicative decrease
//! (AIMD).

use super::api::{Nanos, Settings, Status};
use super::request::OpenRequest;
use super::{Balancer, SECOND};

/// Maximum initial limit of one proxy.
const INITIAL_LIMIT: f64 = 32.0;
/// Initial limit of all proxies together.
const INITIAL_FLEET_LIMIT: f64 = 128.0;
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Minimum limit; a limit below one is the probability of sending a fetch. Danger: many proxies with one
/// attempt each can still send more than an overloaded origin serves.
const MIN_LIMIT: f64 = 0.3;
/// Fraction of fetches that may be late while the origin works normally.
const USUAL_LATE_RATE: f64 = 0.1;
/// Gain of the moving average of that fraction.
const LATE_RATE_GAIN: f64 = 0.1;
/// Factor by which the limit is reduced on a sign of overload.
const DECREASE_FACTOR: f64 = 0.8;

/// The attempts in flight that the origin must serve, and their limit.
#[derive(Default)]
pub(super) struct OriginLimit {
    in_flight: f64,
    limit: f64,
    /// When the limit was last reduced.
    reduced_at: Nanos,
    /// Fraction of fetches that are late or fail: a moving average.
    late_rate: f64,
}

impl OriginLimit {
    /// Creates the limit of a proxy that has not used the origin yet. Danger: hundreds of proxies with a high
    /// initial limit each would flood the origin together.
    pub(super) fn new(proxies: u32) -> Self {
        let share = INITIAL_FLEET_LIMIT / f64::from(proxies.max(1));
        OriginLimit { limit: share.clamp(MIN_INITIAL_LIMIT, INITIAL_LIMIT), ..OriginLimit::default() }
    }

    pub(super) fn acquire(&mut self) {
        self.in_flight += 1.0;
    }

    pub(super) fn release(&mut self, attempts: f64) {
        self.in_flight = (self.in_flight - attempts).max(0.0);
    }

    /// The probability that a fetch may be sent, if the limit is below one.
    pub(super) fn probability(&self) -> Option<f64> {
        (self.limit < 1.0).then_some(self.limit)
    }

    /// Whether the fraction of late fetches is normal.
    pub(super) fn is_responsive(&self) -> bool {
        self.late_rate < USUAL_LATE_RATE
    }

    /// Whether most fetches are in time: the late fraction is below twice the normal one.
    pub(super) fn is_healthy(&self) -> bool {
        self.late_rate < 2.0 * USUAL_LATE_RATE
    }

    /// Whether the origin has capacity for one more request of this kind.
    pub(super) fn has_capacity_for(&self, request: &OpenRequest) -> bool {
        // Writes can go nowhere else; requests of low value leave capacity for the others.
        let limit_factor = match (request.is_write, request.is_low_value) {
            (true, _) => 1.5,
            (_, true) => 0.5,
            _ => 1.0,
        };
        self.in_flight + 1.0 <= (self.limit * limit_factor).max(1.0)
    }

    /// Adjusts the limit by an attempt that has ended. Danger: an origin that works on fetches which no
    /// client waits for any longer fills no cache, so every read remains a miss and the overload sustains
    /// itself.
    fn adjust(&mut self, now: Nanos, fetch: &Fetch, aside: bool, failure_rate: f64) {
        self.late_rate += LATE_RATE_GAIN * (f64::from(u8::from(!fetch.in_time)) - self.late_rate);
        // Danger: in deployments in which the endpoints fetch, some answers are late without any overload,
        // because they get lost or because the work is uneven. An error always counts as a failed fetch.
        let is_by_chance = self.late_rate <= USUAL_LATE_RATE + 1.5 * failure_rate;
        let is_overload = aside || fetch.status == Status::Error || !is_by_chance;
        // An answer in time is evidence for a higher limit only while at least half of the limit is in use.
        // An overload reduces the limit only once for all attempts that were in flight when it was detected.
        if fetch.in_time && self.in_flight + 1.0 >= 0.5 * self.limit {
            self.limit += (0.2 * self.limit).min(1.0 / self.limit);
        } else if !fetch.in_time && is_overload && now.saturating_sub(fetch.elapsed) >= self.reduced_at {
            // If the endpoints fetch, they may be the overloaded part; a quick decrease helps then.
            let highest = if aside { f64::MAX } else { 2.0 * self.in_flight + 2.0 };
            let lowest = if fetch.status == Status::Full { self.limit.min(1.0) } else { MIN_LIMIT };
            self.limit = (self.limit.min(highest) * DECREASE_FACTOR).max(lowest);
            self.reduced_at = now;
        }
    }
}

/// The outcome of an attempt that the origin had to serve.
struct Fetch {
    status: Status,
    elapsed: Nanos,
    in_time: bool,
}

/// The time within which a fetch counts as in time: the shortest latency objective that applies.
fn fetch_objective(settings: &Settings, class: Option<usize>) -> Nanos {
    let classes = settings.classes.iter().enumerate();
    // If the endpoint fetches, the time includes the endpoint's own work, which depends on the class.
    let applicable = classes.filter(|(index, _)| settings.is_cache_aside || class == Some(*index));
    applicable.map(|(_, c)| c.latency_objective).min().unwrap_or(SECOND)
}

impl Balancer {
    /// Updates the origin limit after an attempt that the origin had to serve.
    pub(super) fn on_fetch_ended(
        &mut self,
        now: Nanos,
        class: Option<usize>,
        status: Status,
        elapsed: Nanos,
    ) {
        self.origin.release(1.0);
        // A cancelled attempt, or a connection that failed or broke, is no sign of overload.
        if matches!(status, Status::Cancelled | Status::Moot | Status::ConnectFailed | Status::Reset) {
            return;
        }
        let in_time = status == Status::Ok && elapsed <= fetch_objective(&self.settings, class);
        let fetch = Fetch { status, elapsed, in_time };
        self.origin.adjust(now, &fetch, self.settings.is_cache_aside, self.outliers.failure_rate);
    }
}
