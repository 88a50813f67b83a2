//! The latency objective of a request, and the latency statistics of each class.

use super::api::{Class, Nanos, Request};
use super::{Balancer, MS};

/// Minimum number of served answers of a class for its statistics to be trusted.
const MIN_SAMPLES: f64 = 5.0;
/// Minimum gain of the moving averages.
const MIN_GAIN: f64 = 0.03;
/// Number of deviations above the mean up to which a latency counts as usual.
const USUAL_DEVIATIONS: f64 = 2.0;
/// Number of deviations above the mean after which an answer counts as overdue.
const OVERDUE_DEVIATIONS: f64 = 3.5;
/// Maximum number of votes that the common time budget accumulates.
const MAX_VOTES: u32 = 50;
/// Time budgets that differ by less than the deadline divided by this count as equal.
const BUDGET_TOLERANCE_DIVISOR: Nanos = 40;

/// Latency statistics of a class.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassLatency {
    /// Mean latency of served answers, in nanoseconds.
    pub(super) mean: f64,
    /// Mean absolute deviation from the mean, in nanoseconds.
    deviation: f64,
    samples: f64,
    /// The time budget with which most tries arrive, and the votes for it.
    common_budget: Nanos,
    votes: u32,
}

impl ClassLatency {
    pub(super) fn record(&mut self, elapsed: Nanos) {
        self.samples += 1.0;
        let gain = (1.0 / self.samples).max(MIN_GAIN);
        let error = elapsed as f64 - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }

    /// Whether a latency is within the usual range of the class; false while there are too few samples.
    pub(super) fn is_within_usual_range(&self, elapsed: Nanos) -> bool {
        self.samples > MIN_SAMPLES && (elapsed as f64) < self.mean + USUAL_DEVIATIONS * self.deviation
    }

    /// Whether an answer came within the usual latency, so that it probably was a cache hit.
    pub(super) fn is_probable_hit(&self, elapsed: Nanos) -> bool {
        (elapsed as f64) < self.mean + USUAL_DEVIATIONS * self.deviation.max(1.0)
    }

    /// The time after which an answer counts as overdue, in nanoseconds; `budget` is the time left to the
    /// objective.
    pub(super) fn overdue_after(&self, budget: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            budget * 0.5
        } else {
            (self.mean + OVERDUE_DEVIATIONS * self.deviation).max(0.2 * budget)
        }
    }

    /// Whether a time budget equals the common one.
    fn is_common(&self, budget: Nanos, class: &Class) -> bool {
        self.common_budget.abs_diff(budget) < class.deadline / BUDGET_TOLERANCE_DIVISOR
    }

    /// Counts a time budget in the majority vote (Boyer-Moore) for the common one.
    fn vote(&mut self, budget: Nanos, class: &Class) {
        if self.is_common(budget, class) {
            self.votes = (self.votes + 1).min(MAX_VOTES);
        } else if self.votes == 0 {
            self.common_budget = budget;
        } else {
            self.votes -= 1;
        }
    }
}

impl Balancer {
    /// The latency statistics of a class; empty for an unknown one.
    pub(super) fn latency_of(&self, class: usize) -> ClassLatency {
        self.latency.get(class).copied().unwrap_or_default()
    }

    /// The time left until a request's latency objective. Most tries are first tries and arrive with the same
    /// time budget; a different budget is taken as the rest of the deadline and shows when the request began.
    pub(super) fn time_to_objective(&mut self, request: &Request, class: &Class) -> Nanos {
        let budget = request.remaining;
        let objective = class.latency_objective.min(budget);
        // Danger: requests of impatient clients arrive with little time left and are not late repeats. If
        // clients mark repeats, an unmarked request is a first try.
        let is_marked_first = self.settings.marks_retry && !request.is_marked_retry;
        let Some(latency) = self.latency.get_mut(request.class as usize) else { return objective };
        latency.vote(budget, class);
        if !is_marked_first && !latency.is_common(budget, class) {
            let spent = class.deadline.saturating_sub(budget);
            return objective.min(class.latency_objective.saturating_sub(spent));
        }
        objective
    }

    /// Whether enough time is left for a further attempt to earn any value.
    pub(super) fn is_retry_worthwhile(&self, now: Nanos, request: &super::request::OpenRequest) -> bool {
        let useful_until = if request.is_worthless_when_late() {
            request.objective_at.min(request.deadline)
        } else {
            request.deadline
        };
        let mean = self.latency.get(request.class).map_or(0.0, |l| l.mean);
        useful_until.saturating_sub(now) as f64 > (0.5 * mean).max(MS as f64)
    }
}
