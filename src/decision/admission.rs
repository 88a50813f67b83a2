//! Admission control: the fraction of requests that is admitted, by the outcomes of the requests of an
//! earlier time window.

use super::api::Nanos;
use super::request::{FailureCause, OpenRequest};
use super::{Balancer, MS, SECOND};
use std::ops::Range;

/// Fraction of late requests in a window above which fewer requests are admitted. It is well above the
/// fraction that the failure of a fifth of the endpoints makes late, which rejecting requests would not
/// improve.
const LATE_LIMIT: f64 = 0.35;
/// Fraction of late or endpoint-rejected requests above which fewer requests of low value are admitted; below
/// half of it more of them are.
const OVERLOAD_LIMIT: f64 = 0.1;
/// A request is of low value if its value for its work is below this fraction of the usual one.
const LOW_VALUE_RATIO: f64 = 0.5;
/// Minimum number of requests that is evidence against the endpoints; a window with fewer stays open longer.
pub(super) const MIN_SAMPLE_SIZE: f64 = 8.0;
/// Bounds of the time after the close of a window at which its outcomes count as known.
const MIN_SETTLING_TIME: Nanos = 100 * MS;
const MAX_SETTLING_TIME: Nanos = 4 * SECOND;
/// Minimum admitted fractions: some requests are always admitted, so that a recovery is noticed.
const MIN_ADMITTED: f64 = 0.05;
const MIN_LOW_VALUE_ADMITTED: f64 = 0.02;
/// Growth factor of the admitted fractions per step of recovery.
const RECOVERY_FACTOR: f64 = 1.1;
/// Maximum number of recovery steps per window.
const MAX_RECOVERY_STEPS: f64 = 8.0;

/// Outcomes of the requests that arrived in a time window.
#[derive(Clone, Default)]
struct Window {
    opened_at: Nanos,
    /// When the window was closed to new arrivals.
    closed_at: Option<Nanos>,
    sent: f64,
    ended: f64,
    late: f64,
    overloaded: f64,
    /// Total value of the requests that arrived, whether admitted or not.
    value: f64,
    /// Total work of these requests, in nanoseconds: the mean latency of the class of each.
    work: f64,
}

impl Window {
    /// The arrival times that belong to the window; `open_end` is the end of one that is still open.
    fn span(&self, open_end: Nanos) -> Range<Nanos> {
        self.opened_at..self.closed_at.unwrap_or(open_end)
    }
}

/// The admitted fractions of the requests, and the window from which they are computed.
pub(super) struct Admission {
    window: Window,
    /// Usual value of a nanosecond of work.
    usual_value_per_ns: f64,
    /// Admitted fraction of all requests.
    admitted: f64,
    /// Additional factor for requests of low value.
    low_value_admitted: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            window: Window::default(),
            usual_value_per_ns: 0.0,
            admitted: 1.0,
            low_value_admitted: 1.0,
        }
    }
}

impl Admission {
    /// Whether some requests are currently rejected.
    pub(super) fn is_shedding(&self) -> bool {
        self.admitted < 1.0 || self.low_value_admitted < 1.0
    }

    /// Counts a request that is sent.
    pub(super) fn record_sent(&mut self) {
        if self.window.closed_at.is_none() {
            self.window.sent += 1.0;
        }
    }

    /// Counts the end of a request that was sent; `value` is the fraction of its value that the answer
    /// earned.
    pub(super) fn record_end(&mut self, request: &OpenRequest, value: f64) {
        // A request that arrived too late to meet its objective is no evidence against the endpoints.
        let is_evidence = request.is_feasible && !request.attempts.is_empty();
        if !is_evidence || !self.window.span(Nanos::MAX).contains(&request.arrived_at) {
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

    /// Closes the window once it is large or old enough; returns true once the outcomes of a closed one are
    /// known.
    fn is_window_settled(&mut self, now: Nanos, settling_time: Nanos) -> bool {
        if let Some(closed_at) = self.window.closed_at {
            return now >= closed_at.saturating_add(settling_time);
        }
        let age = now.saturating_sub(self.window.opened_at);
        let is_large = self.window.sent >= MIN_SAMPLE_SIZE && age >= settling_time / 2;
        if is_large || age >= 4 * settling_time {
            self.window.closed_at = Some(now);
        }
        false
    }

    /// Adjusts the admitted fractions by a window whose outcomes are known. `rejection_cost` is the weight of
    /// an endpoint's rejection, relative to a late answer.
    fn adjust(&mut self, now: Nanos, settling_time: Nanos, window: &Window, rejection_cost: f64) {
        let sample = window.ended.max(MIN_SAMPLE_SIZE);
        let (late, overload) = (window.late / sample, (window.late + window.overloaded) / sample);
        if window.work > 0.0 {
            self.usual_value_per_ns = window.value / window.work;
        }
        // With sparse traffic a window lasts long, so recovery is proportional to its age; one step per
        // window would take minutes.
        let age = now.saturating_sub(window.opened_at) as f64;
        let steps = (age / (1.5 * settling_time as f64)).clamp(1.0, MAX_RECOVERY_STEPS);
        let growth = RECOVERY_FACTOR.powf(steps);
        // In a small window a few requests fail by chance.
        let chance_margin = 1.5 * (OVERLOAD_LIMIT / window.ended.max(1.0)).sqrt();
        if overload > OVERLOAD_LIMIT + chance_margin {
            self.low_value_admitted = (self.low_value_admitted * 0.5).max(MIN_LOW_VALUE_ADMITTED);
        } else if overload < OVERLOAD_LIMIT / 2.0 + chance_margin {
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
    /// The longest latency objective: the time after which the outcomes of a window's requests are known.
    fn settling_time(&self) -> Nanos {
        let longest = self.settings.classes.iter().map(|c| c.latency_objective).max();
        longest.unwrap_or(SECOND).clamp(MIN_SETTLING_TIME, MAX_SETTLING_TIME)
    }

    /// Adjusts the admitted fractions by the outcomes of the requests of one window that were sent. Danger:
    /// adjusting by the requests that are just ending would react to an earlier load, and oscillate between
    /// admitting all and none. Rejected requests are not counted, or rejections would cause further ones.
    fn update_admission(&mut self, now: Nanos) {
        let settling_time = self.settling_time();
        if !self.admission.is_window_settled(now, settling_time) {
            return;
        }
        let next = Window { opened_at: now, ..Window::default() };
        let mut window = std::mem::replace(&mut self.admission.window, next);
        let overdue = self.overdue_requests(window.span(now)) as f64;
        (window.late, window.ended) = (window.late + overdue, window.ended + overdue);
        // A rejection by an endpoint costs a handshake; if handshakes have a price, requests to overloaded
        // endpoints are a waste.
        let rejection_cost = if self.settings.handshake_price > 0.0 { 0.5 } else { 0.0 };
        self.admission.adjust(now, settling_time, &window, rejection_cost);
    }

    /// Number of the requests that arrived in this span and are still open, although their objective has
    /// passed. Danger: if clients wait longer than the objective, endpoints that never answer would not be
    /// noticed until the clients give up. Requests that wait for an overloaded origin are left out: they are
    /// no evidence against the endpoints.
    fn overdue_requests(&self, arrived: Range<Nanos>) -> usize {
        let is_overdue = |request: &&OpenRequest| {
            let last = request.attempts.last().and_then(|a| self.endpoints.get(a.server));
            (!request.is_fetch || self.origin.is_healthy())
                && arrived.contains(&request.arrived_at)
                && last.is_some_and(|endpoint| self.takes_keys(endpoint))
        };
        self.requests.values().filter(is_overdue).count()
    }

    /// The probability with which to reject a request before it is sent; it is highest for those of low value
    /// for their work.
    pub(super) fn rejection_probability(&mut self, now: Nanos, request: &mut OpenRequest) -> f64 {
        self.update_admission(now);
        let work = self.latency_of(request.class).mean.max(1.0);
        let mut value = self.settings.classes.get(request.class).map_or(1.0, |c| c.worth.max(1e-9));
        if self.settings.value_is_per_work_unit {
            value *= work;
        }
        if !self.tenants.is_within(&self.settings, now, request.tenant) {
            value *= self.settings.over_share_worth.clamp(0.0, 1.0);
        }
        let admission = &mut self.admission;
        admission.window.value += value;
        admission.window.work += work;
        let ratio = value / work / admission.usual_value_per_ns.max(1e-30);
        let mut admitted = 1.0 - (1.0 - admission.admitted).powf(ratio.clamp(0.25, 4.0));
        request.is_low_value = ratio < LOW_VALUE_RATIO && admission.usual_value_per_ns > 0.0;
        if request.is_low_value {
            admitted *= admission.low_value_admitted;
        }
        1.0 - admitted
    }
}
