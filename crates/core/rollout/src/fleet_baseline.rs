//! The state of the whole fleet against that before the rollout: a fleet-wide problem holds a rollout and is not blamed on it.

use crate::sequential_test::allowed;
use rushquay_membership::ProxyStats;
use std::collections::VecDeque;

/// Intervals that make up the baseline before a rollout.
const BASELINE_INTERVALS: usize = 60;
/// Intervals that make up the present state.
const CURRENT_INTERVALS: usize = 8;
/// Fewer requests than this show nothing.
const MIN_REQUESTS: f64 = 40.0;
/// Factor and part of all requests by which bad outcomes exceed the baseline: a problem begins above the first pair, and ends below
/// the second.
const BAD_BOUNDS: [(f64, f64); 2] = [(3.0, 0.05), (1.5, 0.02)];
/// Factors by which attempts per request exceed the baseline, likewise.
const ATTEMPT_FACTORS: [f64; 2] = [1.6, 1.3];

/// Requests in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestCount {
    bad: f64,
    all: f64,
    attempts: f64,
}

impl RequestCount {
    /// Adds what a member did in the interval.
    pub fn add_member(&mut self, fresh: &ProxyStats) {
        for class in fresh.classes.values() {
            self.bad += (class.refused + class.failed + class.late) as f64;
            self.all += class.all() as f64;
        }
        self.attempts += fresh.attempts as f64;
    }

    fn add(&mut self, other: &RequestCount) {
        self.bad += other.bad;
        self.all += other.all;
        self.attempts += other.attempts;
    }

    /// Bad outcomes and attempts, as parts of all requests.
    fn parts(&self) -> Option<[f64; 2]> {
        (self.all >= MIN_REQUESTS).then(|| [self.bad / self.all, self.attempts / self.all])
    }
}

/// The baseline before a rollout and the present state of the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetBaseline {
    baseline: VecDeque<RequestCount>,
    /// Counts of the members by which a fleet-wide problem is judged, and of all members.
    current: VecDeque<[RequestCount; 2]>,
    /// The baseline of a previous leader.
    inherited: Option<[f64; 2]>,
    /// The fleet-wide problem, if there is one.
    pub trouble: Option<String>,
}

impl FleetBaseline {
    /// The baseline before the rollout: bad outcomes and attempts, as parts of all requests; `None`: not known.
    pub fn usual(&self) -> Option<[f64; 2]> {
        let mut sum = RequestCount::default();
        self.baseline.iter().for_each(|c| sum.add(c));
        sum.parts()
    }

    /// Adopts the baseline of a previous leader, where this one has none.
    pub fn set_inherited(&mut self, usual: Option<[f64; 2]>) {
        self.inherited = usual;
    }

    /// Takes in an interval. `shown`: members by which a fleet-wide problem is judged; `whole`: all members. `is_frozen`: a rollout runs,
    /// and the baseline before it stays.
    pub fn observe(&mut self, shown: RequestCount, whole: RequestCount, is_frozen: bool) {
        self.current.push_back([shown, whole]);
        if self.current.len() > CURRENT_INTERVALS {
            let older = self.current.pop_front();
            if !is_frozen {
                self.baseline.extend(older.map(|[_, whole]| whole));
                if self.baseline.len() > BASELINE_INTERVALS {
                    self.baseline.pop_front();
                }
            }
        }
        let Some([usual, usual_attempts]) = self.usual().or(self.inherited) else { return };
        let sums = [0, 1].map(|i| {
            let mut sum = RequestCount::default();
            self.current.iter().for_each(|counts| sum.add(&counts[i]));
            sum
        });
        // Where the former receive too few requests, all members are judged. Danger: a fleet that receives no requests any more would pass
        // for one that has recovered.
        let Some([bad, attempts]) = sums[0].parts().or(sums[1].parts()) else { return };
        let bound = usize::from(self.trouble.is_some());
        let (times, excess) = BAD_BOUNDS[bound];
        self.trouble = if bad > allowed(usual, times, excess) {
            Some(format!(
                "the whole fleet does worse: {bad:.3} of all end badly, {usual:.3} before the stage"
            ))
        } else if attempts > usual_attempts * ATTEMPT_FACTORS[bound] + 0.1 {
            Some(format!(
                "the fleet sends {attempts:.2} attempts a request, {usual_attempts:.2} before the stage"
            ))
        } else {
            None
        };
    }
}
