//! The latency objective of a request, and the usual latency of each class.

use super::api::{Class, Nanos, Request};
use super::{Balancer, MS};

/// Served answers of a class before its usual latency is trusted.
const MIN_SAMPLES: f64 = 5.0;
/// Least gain of the moving averages.
const MIN_GAIN: f64 = 0.03;
/// Deviations above the mean up to which a latency counts as usual.
const USUAL_DEVIATIONS: f64 = 2.0;
/// Deviations above the mean after which an answer counts as overdue.
const OVERDUE_DEVIATIONS: f64 = 3.5;
/// Votes for the common time budget count up to this.
const MAX_VOTES: u32 = 50;
/// Time budgets that differ by less than this part of the deadline count as equal.
const BUDGET_TOLERANCE: Nanos = 40;

/// What is known of the answers of a class.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassLatency {
    /// Mean latency of served answers, in nanoseconds.
    pub(super) mean: f64,
    /// Mean deviation from the mean, in nanoseconds.
    deviation: f64,
    samples: f64,
    /// The time budget that most tries arrive with, and how surely.
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

    /// Whether a latency is surely usual for the class.
    pub(super) fn is_surely_usual(&self, elapsed: Nanos) -> bool {
        self.samples > MIN_SAMPLES && (elapsed as f64) < self.mean + USUAL_DEVIATIONS * self.deviation
    }

    /// Whether an answer came no later than is usual, so that it passes for a cache hit.
    pub(super) fn passes_for_hit(&self, elapsed: Nanos) -> bool {
        (elapsed as f64) < self.mean + USUAL_DEVIATIONS * self.deviation.max(1.0)
    }

    /// How long to wait for an answer, in nanoseconds, when `budget` of them are left to the objective.
    pub(super) fn patience(&self, budget: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            budget * 0.5
        } else {
            (self.mean + OVERDUE_DEVIATIONS * self.deviation).max(0.2 * budget)
        }
    }

    /// Whether a time budget is the common one.
    fn is_common(&self, budget: Nanos, class: &Class) -> bool {
        self.common_budget.abs_diff(budget) < class.deadline / BUDGET_TOLERANCE
    }

    /// Finds the common time budget by majority vote.
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
    /// What is known of a class; nothing for one that the settings do not name.
    pub(super) fn latency_of(&self, class: usize) -> ClassLatency {
        self.latency.get(class).copied().unwrap_or_default()
    }

    /// The time until a request's latency objective. Most tries are first ones and arrive with the same time
    /// budget; any other budget dates the beginning of the request.
    pub(super) fn time_to_objective(&mut self, request: &Request, class: &Class) -> Nanos {
        let budget = request.remaining;
        let objective = class.aim.min(budget);
        // Danger: clients that arrive with little time left are no late repeats; where clients mark repeats,
        // the marks count.
        let is_marked_first = self.settings.marks_retry && !request.retry;
        let Some(latency) = self.latency.get_mut(request.class as usize) else { return objective };
        latency.vote(budget, class);
        if !is_marked_first && !latency.is_common(budget, class) {
            let spent = class.deadline.saturating_sub(budget);
            return objective.min(class.aim.saturating_sub(spent));
        }
        objective
    }

    /// Whether a further attempt can still bring an answer that is worth something.
    pub(super) fn is_retry_worthwhile(&self, now: Nanos, request: &super::request::OpenRequest) -> bool {
        let end = if request.is_worthless_when_late() {
            request.objective_at.min(request.deadline)
        } else {
            request.deadline
        };
        let mean = self.latency.get(request.class).map_or(0.0, |l| l.mean);
        end.saturating_sub(now) as f64 > (0.5 * mean).max(MS as f64)
    }
}
