//! Admission: the part of the requests that is taken, by what became of those sent in an earlier time window.

use super::api::Nanos;
use super::request::{FailureCause, OpenRequest};
use super::{Balancer, MS, SECOND};
use std::ops::Range;

/// Of the requests sent in a window, the part late beyond which less is taken: well over what a failed fifth
/// of the endpoints makes late by itself, which rejecting would not mend.
const LATE_LIMIT: f64 = 0.35;
/// The part late or rejected by endpoints beyond which requests of low value are rejected; below half of it
/// more of them are taken.
const OVERLOAD_LIMIT: f64 = 0.1;
/// Requests worth less than this part of the usual value for their work are of low value.
const LOW_VALUE_RATIO: f64 = 0.5;
/// Fewer requests than this say nothing against the endpoints; the window stays open for more, for a while.
pub(super) const MIN_SAMPLE: f64 = 8.0;
/// Bounds of the time after which the outcomes of a window are known.
const MIN_SETTLING_TIME: Nanos = 100 * MS;
const MAX_SETTLING_TIME: Nanos = 4 * SECOND;
/// The least parts that stay admitted, so that recovery is noticed.
const MIN_ADMITTED: f64 = 0.05;
const MIN_LOW_VALUE_ADMITTED: f64 = 0.02;
/// Growth of the admitted parts for each step of recovery.
const RECOVERY_FACTOR: f64 = 1.1;
/// The most steps of recovery for one window.
const MAX_RECOVERY_STEPS: f64 = 8.0;

/// What became of the requests that arrived in a window of time.
#[derive(Clone, Default)]
struct Window {
    opened_at: Nanos,
    /// When it closed to new arrivals.
    closed_at: Option<Nanos>,
    sent: f64,
    ended: f64,
    late: f64,
    overloaded: f64,
    /// Value of all requests that arrived, taken or not.
    value: f64,
    /// Usual time of these requests' work, in nanoseconds.
    work: f64,
}

impl Window {
    /// Whether requests that arrived then belong to the window.
    fn span(&self, open_end: Nanos) -> Range<Nanos> {
        self.opened_at..self.closed_at.unwrap_or(open_end)
    }
}

/// The parts of the requests that are taken.
pub(super) struct Admission {
    window: Window,
    /// Usual value of a nanosecond's work.
    usual_value: f64,
    /// The part of all requests that is taken.
    admitted: f64,
    /// The part that is taken of the requests of low value, on top of that.
    low_value_admitted: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission { window: Window::default(), usual_value: 0.0, admitted: 1.0, low_value_admitted: 1.0 }
    }
}

impl Admission {
    /// Whether some requests are rejected at present.
    pub(super) fn is_shedding(&self) -> bool {
        self.admitted < 1.0 || self.low_value_admitted < 1.0
    }

    /// Counts a request that is sent.
    pub(super) fn record_sent(&mut self) {
        if self.window.closed_at.is_none() {
            self.window.sent += 1.0;
        }
    }

    /// Counts the end of a request that was sent; `value` is the part of its value that the answer earned.
    pub(super) fn record_end(&mut self, request: &OpenRequest, value: f64) {
        // One that came too late to meet its objective says nothing of the endpoints.
        let counts = request.is_feasible && !request.attempts.is_empty();
        if !counts || !self.window.span(Nanos::MAX).contains(&request.arrived_at) {
            return;
        }
        self.window.ended += 1.0;
        match request.last_failure {
            _ if value > 0.0 => {}
            FailureCause::Slow => self.window.late += 1.0,
            FailureCause::Overloaded => self.window.overloaded += 1.0,
            FailureCause::Other => {}
        }
    }

    /// Closes the window once it holds enough; true once the outcomes of a closed one are known.
    fn is_window_settled(&mut self, now: Nanos, settling_time: Nanos) -> bool {
        if let Some(closed_at) = self.window.closed_at {
            return now >= closed_at.saturating_add(settling_time);
        }
        let age = now.saturating_sub(self.window.opened_at);
        let is_large = self.window.sent >= MIN_SAMPLE && age >= settling_time / 2;
        if is_large || age >= 4 * settling_time {
            self.window.closed_at = Some(now);
        }
        false
    }

    /// Adjusts the admitted parts by a window whose outcomes are known.
    fn adjust(&mut self, now: Nanos, settling_time: Nanos, window: &Window, rejection_cost: f64) {
        let sample = window.ended.max(MIN_SAMPLE);
        let (late, overload) = (window.late / sample, (window.late + window.overloaded) / sample);
        if window.work > 0.0 {
            self.usual_value = window.value / window.work;
        }
        // Windows last long where traffic is sparse: recovery goes by time, or it would take minutes.
        let age = now.saturating_sub(window.opened_at) as f64;
        let steps = (age / (1.5 * settling_time as f64)).clamp(1.0, MAX_RECOVERY_STEPS);
        let growth = RECOVERY_FACTOR.powf(steps);
        // By chance a few requests of a small window fail.
        let by_chance = 1.5 * (OVERLOAD_LIMIT / window.ended.max(1.0)).sqrt();
        if overload > OVERLOAD_LIMIT + by_chance {
            self.low_value_admitted = (self.low_value_admitted * 0.5).max(MIN_LOW_VALUE_ADMITTED);
        } else if overload < OVERLOAD_LIMIT / 2.0 + by_chance {
            self.low_value_admitted = (self.low_value_admitted * growth + 0.01 * steps).min(1.0);
        }
        let late = late + rejection_cost * window.overloaded / sample;
        if late > LATE_LIMIT {
            self.admitted = (self.admitted * (1.0 - late).max(0.1)).max(MIN_ADMITTED);
        } else if late < LATE_LIMIT / 2.0 {
            self.admitted = (self.admitted * growth + 0.02 * steps).min(1.0);
        }
    }
}

impl Balancer {
    /// The longest latency objective: what became of a window's requests is known by then.
    fn settling_time(&self) -> Nanos {
        let longest = self.settings.classes.iter().map(|c| c.aim).max();
        longest.unwrap_or(SECOND).clamp(MIN_SETTLING_TIME, MAX_SETTLING_TIME)
    }

    /// Adjusts the admitted parts by what became of the requests of one window that were sent. Danger:
    /// judging by the requests that end just now reacts to the load of before, and swings between all and
    /// none. What was rejected says nothing, or rejecting would feed itself.
    fn update_admission(&mut self, now: Nanos) {
        let settling_time = self.settling_time();
        if !self.admission.is_window_settled(now, settling_time) {
            return;
        }
        let next = Window { opened_at: now, ..Window::default() };
        let mut window = std::mem::replace(&mut self.admission.window, next);
        let overdue = self.overdue_requests(window.span(now)) as f64;
        (window.late, window.ended) = (window.late + overdue, window.ended + overdue);
        // A rejection by an endpoint costs a handshake; where those have a price, hammering full endpoints is
        // waste.
        let rejection_cost = if self.settings.handshake_price > 0.0 { 0.5 } else { 0.0 };
        self.admission.adjust(now, settling_time, &window, rejection_cost);
    }

    /// The requests that arrived in this span and are still open, which is past their objective. Danger:
    /// where clients wait for longer than that, endpoints that answer nothing would not be noticed until the
    /// clients give up. What waits for the origin is not the endpoints' fault.
    fn overdue_requests(&self, arrived: Range<Nanos>) -> usize {
        let is_overdue = |request: &&OpenRequest| {
            let last = request.attempts.last().and_then(|a| self.endpoints.get(a.server));
            (!request.is_fetch || self.origin.is_healthy())
                && arrived.contains(&request.arrived_at)
                && last.is_some_and(|endpoint| self.takes_keys(endpoint))
        };
        self.requests.values().filter(is_overdue).count()
    }

    /// The probability with which to reject a request unsent: what is worth little for its work goes first.
    pub(super) fn rejection_probability(&mut self, now: Nanos, request: &mut OpenRequest) -> f64 {
        self.update_admission(now);
        let work = self.latency_of(request.class).mean.max(1.0);
        let mut value = self.settings.classes.get(request.class).map_or(1.0, |c| c.worth.max(1e-9));
        if self.settings.worth_by_work {
            value *= work;
        }
        if !self.tenants.is_within(&self.settings, now, request.tenant) {
            value *= self.settings.over_share_worth.clamp(0.0, 1.0);
        }
        let admission = &mut self.admission;
        admission.window.value += value;
        admission.window.work += work;
        let ratio = value / work / admission.usual_value.max(1e-30);
        let mut admitted = 1.0 - (1.0 - admission.admitted).powf(ratio.clamp(0.25, 4.0));
        request.is_low_value = ratio < LOW_VALUE_RATIO && admission.usual_value > 0.0;
        if request.is_low_value {
            admitted *= admission.low_value_admitted;
        }
        1.0 - admitted
    }
}
