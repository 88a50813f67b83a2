//! The concurrency limit on attempts that the origin must serve: additive increase, multiplicative decrease.

use super::api::{Nanos, Settings, Status};
use super::request::OpenRequest;
use super::{Balancer, SECOND};

/// The limit of one proxy before anything is known of the origin.
const INITIAL_LIMIT: f64 = 32.0;
/// The same for all proxies together, where they are many.
const INITIAL_FLEET_LIMIT: f64 = 128.0;
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// The lowest limit; below one it is a probability. Danger: many proxies with one attempt each still send
/// more than a jammed origin serves.
const MIN_LIMIT: f64 = 0.3;
/// The part of fetches that may be late while the origin is well.
const USUAL_LATE_RATE: f64 = 0.1;
/// Gain of the moving average of that part.
const LATE_RATE_GAIN: f64 = 0.1;
/// The limit is multiplied by this on a sign of overload.
const DECREASE_FACTOR: f64 = 0.8;

/// The attempts in flight that the origin must serve, and their limit.
#[derive(Default)]
pub(super) struct OriginLimit {
    in_flight: f64,
    limit: f64,
    /// When the limit was last reduced.
    reduced_at: Nanos,
    /// The part of fetches that are late or fail: a moving average.
    late_rate: f64,
}

impl OriginLimit {
    /// The limit of a proxy that knows nothing of the origin. Danger: hundreds of proxies that each trust an
    /// unknown origin flood it together.
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

    /// The limit, where it is below one and so the probability that a fetch may go out.
    pub(super) fn probability(&self) -> Option<f64> {
        (self.limit < 1.0).then_some(self.limit)
    }

    /// Whether no more fetches are late than is usual.
    pub(super) fn is_responsive(&self) -> bool {
        self.late_rate < USUAL_LATE_RATE
    }

    /// Whether fetches come in time on the whole.
    pub(super) fn is_healthy(&self) -> bool {
        self.late_rate < 2.0 * USUAL_LATE_RATE
    }

    /// Whether the origin has capacity for one more request of this kind.
    pub(super) fn has_capacity_for(&self, request: &OpenRequest) -> bool {
        // Writes have nowhere else to go; what is worth little leaves capacity for the rest.
        let part = match (request.is_write, request.is_low_value) {
            (true, _) => 1.5,
            (_, true) => 0.5,
            _ => 1.0,
        };
        self.in_flight + 1.0 <= (self.limit * part).max(1.0)
    }

    /// Adjusts the limit by an attempt that has ended. Danger: an origin that goes on with work nobody waits
    /// for any more fills no cache, so every read stays a miss and the overload feeds itself.
    fn adjust(&mut self, now: Nanos, fetch: &Fetch, aside: bool, failure_rate: f64) {
        self.late_rate += LATE_RATE_GAIN * (f64::from(u8::from(!fetch.in_time)) - self.late_rate);
        // Danger: where endpoints fetch, answers get lost or work is uneven, some are late without any
        // overload; but an error is a fetch that failed.
        let is_by_chance = self.late_rate <= USUAL_LATE_RATE + 1.5 * failure_rate;
        let is_overload = aside || fetch.status == Status::Error || !is_by_chance;
        // A limit that is not reached proves nothing; and an overload counts once for all attempts that were
        // in flight when it was met.
        if fetch.in_time && self.in_flight + 1.0 >= 0.5 * self.limit {
            self.limit += (0.2 * self.limit).min(1.0 / self.limit);
        } else if !fetch.in_time && is_overload && now.saturating_sub(fetch.elapsed) >= self.reduced_at {
            // In through deployments it may be the endpoints that are overloaded, and a quick decrease helps.
            let highest = if aside { f64::MAX } else { 2.0 * self.in_flight + 2.0 };
            let lowest = if fetch.status == Status::Full { self.limit.min(1.0) } else { MIN_LIMIT };
            self.limit = (self.limit.min(highest) * DECREASE_FACTOR).max(lowest);
            self.reduced_at = now;
        }
    }
}

/// How an attempt that the origin had to serve has ended.
struct Fetch {
    status: Status,
    elapsed: Nanos,
    in_time: bool,
}

/// The time within which a fetch is in time: the shortest objective that applies.
fn fetch_objective(settings: &Settings, class: Option<usize>) -> Nanos {
    let classes = settings.classes.iter().enumerate();
    // An endpoint that fetches adds its own work to the time, which depends on the class.
    let applicable = classes.filter(|(index, _)| settings.aside || class == Some(*index));
    applicable.map(|(_, c)| c.aim).min().unwrap_or(SECOND)
}

impl Balancer {
    /// Learns from an attempt that the origin had to serve how many it can take.
    pub(super) fn on_fetch_ended(
        &mut self,
        now: Nanos,
        class: Option<usize>,
        status: Status,
        elapsed: Nanos,
    ) {
        self.origin.release(1.0);
        // A connection that breaks is no sign of overload.
        if matches!(status, Status::Cancelled | Status::Moot | Status::ConnectFailed | Status::Reset) {
            return;
        }
        let in_time = status == Status::Ok && elapsed <= fetch_objective(&self.settings, class);
        let fetch = Fetch { status, elapsed, in_time };
        self.origin.adjust(now, &fetch, self.settings.aside, self.outliers.failure_rate);
    }
}
