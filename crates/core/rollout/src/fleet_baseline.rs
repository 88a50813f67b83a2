//! Detection of fleet-wide problems: the present state of the fleet is compared with its baseline before the rollout. A fleet-wide problem
//! holds a rollout instead of rolling it back.

use crate::sequential_test::permitted_rate;
use rushquay_membership::ProxyStats;
use std::collections::VecDeque;

/// Number of intervals that make up the baseline before a rollout.
const BASELINE_INTERVALS: usize = 60;
/// Number of intervals that make up the present state.
const CURRENT_INTERVALS: usize = 8;
/// Minimum number of requests from which rates are computed.
const MIN_REQUESTS: f64 = 40.0;
/// Bounds on the rate of bad outcomes, as a factor on the baseline rate and a margin added to it. A problem begins above the first bound and
/// ends below the second.
const BAD_BOUNDS: [(f64, f64); 2] = [(3.0, 0.05), (1.5, 0.02)];
/// The same for attempts per request, as factors on the baseline; 0.1 is added to the product.
const ATTEMPT_FACTORS: [f64; 2] = [1.6, 1.3];

/// Counts of requests and attempts in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestCount {
    bad: f64,
    all: f64,
    attempts: f64,
}

impl RequestCount {
    /// Adds a member's statistics of the interval.
    pub fn add_member(&mut self, stats: &ProxyStats) {
        for class in stats.classes.values() {
            self.bad += (class.refused + class.failed + class.late) as f64;
            self.all += class.total() as f64;
        }
        self.attempts += stats.attempts as f64;
    }

    fn add(&mut self, other: &RequestCount) {
        self.bad += other.bad;
        self.all += other.all;
        self.attempts += other.attempts;
    }

    /// Bad outcomes and attempts, each per request; `None`: too few requests.
    fn rates(&self) -> Option<[f64; 2]> {
        (self.all >= MIN_REQUESTS).then(|| [self.bad / self.all, self.attempts / self.all])
    }
}

/// The baseline of the fleet before a rollout, and its present state.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetBaseline {
    baseline: VecDeque<RequestCount>,
    /// Counts of the members by which fleet-wide problems are detected, and of all members.
    current: VecDeque<[RequestCount; 2]>,
    /// The baseline of a previous leader.
    inherited: Option<[f64; 2]>,
    /// Description of the present fleet-wide problem; `None`: there is none.
    pub problem: Option<String>,
}

impl FleetBaseline {
    /// The baseline before the rollout: bad outcomes and attempts, each per request; `None`: too few requests were observed.
    pub fn rates_before(&self) -> Option<[f64; 2]> {
        let mut sum = RequestCount::default();
        self.baseline.iter().for_each(|c| sum.add(c));
        sum.rates()
    }

    /// Sets the baseline of a previous leader, which is used while this one has none.
    pub fn set_inherited(&mut self, rates: Option<[f64; 2]>) {
        self.inherited = rates;
    }

    /// Adds an interval. `judged`: counts of the members by which fleet-wide problems are detected; `whole_fleet`: counts of all members.
    /// `is_frozen`: the baseline is not updated, because a rollout is running.
    pub fn observe(&mut self, judged: RequestCount, whole_fleet: RequestCount, is_frozen: bool) {
        self.current.push_back([judged, whole_fleet]);
        if self.current.len() > CURRENT_INTERVALS {
            let expired = self.current.pop_front();
            if !is_frozen {
                self.baseline.extend(expired.map(|[_, whole_fleet]| whole_fleet));
                if self.baseline.len() > BASELINE_INTERVALS {
                    self.baseline.pop_front();
                }
            }
        }
        let Some([baseline_bad, baseline_attempts]) = self.rates_before().or(self.inherited) else { return };
        let sums = [0, 1].map(|i| {
            let mut sum = RequestCount::default();
            self.current.iter().for_each(|counts| sum.add(&counts[i]));
            sum
        });
        // If the judged members had too few requests, all members are judged. Danger: a fleet that gets no more requests must not count as
        // recovered, so the problem stays as it was.
        let Some([bad, attempts]) = sums[0].rates().or(sums[1].rates()) else { return };
        let bound = usize::from(self.problem.is_some());
        let (factor, margin) = BAD_BOUNDS[bound];
        self.problem = if bad > permitted_rate(baseline_bad, factor, margin) {
            Some(format!(
                "the whole fleet does worse: {bad:.3} of all requests have bad outcomes, {baseline_bad:.3} before the rollout"
            ))
        } else if attempts > baseline_attempts * ATTEMPT_FACTORS[bound] + 0.1 {
            Some(format!(
                "the fleet sends {attempts:.2} attempts per request, {baseline_attempts:.2} before the rollout"
            ))
        } else {
            None
        };
    }
}
