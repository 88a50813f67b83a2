//! The verdict of the analysis on a stage: rolled back, held, passed, or waiting for evidence.

use super::comparison::{CLASS_MEASURES, MAX_EXCESS_INTERVALS, OVERALL_TESTS};
use super::{Analysis, TestKey};
use crate::cohorts::INITIAL_BURST;
use crate::finding::{Finding, Measure, Verdict};
use crate::sequential_test::{is_rate_at_most, permitted_rate, SequentialTest};
use crate::{Nanos, SECOND};
use serde::Serialize;
use std::collections::BTreeSet;

/// The state of one key, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Score {
    /// The measure that is compared.
    pub measure: Measure,
    /// The request class; empty: all classes.
    pub class: String,
    /// The data centre; empty: all that the rollout has reached.
    pub zone: String,
    /// Bad outcomes of the new and the old cohort.
    pub bad: [u64; 2],
    /// All outcomes of the new and the old cohort.
    pub all: [u64; 2],
    /// Natural logarithm of the evidence that the new cohort is worse.
    pub evidence: f64,
    /// The evidence at which the rollout is rolled back.
    pub stops_at: f64,
}

impl Analysis {
    /// The evidence at which a test rolls the rollout back. The error rate `alpha` is divided among all tests of all stages.
    fn stops_at(&self) -> f64 {
        let classes = self.classes().len() as f64;
        let zones = 1.0 + self.reached_zones.len() as f64;
        let tests = classes * CLASS_MEASURES.len() as f64 * zones + OVERALL_TESTS;
        (tests * self.stages as f64 / self.bounds.alpha).ln()
    }

    /// Classes with requests of either cohort.
    fn classes(&self) -> BTreeSet<&str> {
        self.tests.keys().map(|key| key.class.as_str()).filter(|class| !class.is_empty()).collect()
    }

    /// The state of each test.
    pub fn scores(&self) -> Vec<Score> {
        let stops_at = self.stops_at();
        let score = |(key, test): (&TestKey, &SequentialTest)| Score {
            measure: key.measure,
            class: key.class.clone(),
            zone: key.zone.clone(),
            bad: test.bad,
            all: test.all,
            evidence: test.evidence(),
            stops_at,
        };
        self.tests.iter().map(score).collect()
    }

    /// The verdict on the stage. `has_no_old_cohort`: no members of the old cohort are left to compare with, so the stage passes after its
    /// soak time unless there is a fleet-wide problem.
    pub fn verdict(&mut self, soak: Nanos, has_no_old_cohort: bool, now: Nanos) -> Verdict {
        if let Some(finding) = self.worst_test().or_else(|| self.excessive_resource()) {
            return Verdict::Worse(finding);
        }
        if let Some(problem) = &self.baseline.problem {
            return Verdict::FleetProblem(problem.clone());
        }
        let Some(since) = self.soaking_since else {
            return Verdict::Waiting("not all proxies of the stage apply the new version yet".into());
        };
        if let Some(name) = self.new_warming_up.first() {
            let all = self.new_warming_up.len();
            (self.checks, self.soaking_since) = (0, Some(now));
            return Verdict::Waiting(format!("{name} and {} others are still warming up", all - 1));
        }
        let soaked = now.saturating_sub(since);
        // A stage is checked after its soak time and after each doubling of that, and not in between. So the number of calls does not
        // affect the error rate, and all checks together keep within `beta`.
        let next_check = soak.saturating_mul(1u64 << self.checks.min(40));
        if soaked < next_check {
            let left = (next_check - soaked) as f64 / SECOND as f64;
            return Verdict::Waiting(format!("{left:.0} s to the next look"));
        }
        self.checks += 1;
        if has_no_old_cohort {
            return Verdict::Passed;
        }
        match self.missing_evidence() {
            None => Verdict::Passed,
            Some(missing) => Verdict::Waiting(missing),
        }
    }

    /// The test with the most evidence against the new cohort, if that is enough to roll back.
    fn worst_test(&self) -> Option<Finding> {
        let stops_at = self.stops_at();
        let worst = self.tests.iter().max_by(|a, b| a.1.evidence().total_cmp(&b.1.evidence()));
        let (TestKey { zone, class, measure }, test) =
            worst.filter(|(_, test)| test.evidence() >= stops_at)?;
        let (rates, of, evidence) = (test.rates(), test.all, test.evidence());
        let (zone, class, measure) = (zone.clone(), class.clone(), *measure);
        Some(Finding { measure, class, zone, rates, of, evidence })
    }

    /// Memory or descriptors, if the new cohort has used too much of it for too many intervals in a row.
    fn excessive_resource(&self) -> Option<Finding> {
        let resources = [Measure::Memory, Measure::Descriptors].into_iter().enumerate();
        let (index, measure) =
            resources.into_iter().find(|(index, _)| self.excess_intervals[*index] >= MAX_EXCESS_INTERVALS)?;
        Some(Finding {
            measure,
            class: String::new(),
            zone: String::new(),
            rates: self.resource_means[index],
            of: [1, 1],
            evidence: f64::from(self.excess_intervals[index]),
        })
    }

    /// The evidence that is missing for the stage to pass; `None`: it may pass.
    fn missing_evidence(&self) -> Option<String> {
        let divisor = f64::from(1u32 << self.checks.min(30));
        let classes = self.classes();
        if classes.is_empty() {
            return Some("neither cohort has had any requests".into());
        }
        let beta = self.bounds.beta / divisor / (2 * classes.len()) as f64;
        let zones = std::iter::once("").chain(self.reached_zones.iter().map(String::as_str));
        zones.flat_map(|zone| classes.iter().map(move |class| (zone, *class))).find_map(|(zone, class)| {
            [Measure::Bad, Measure::SlowTenth]
                .into_iter()
                .find_map(|measure| self.missing_evidence_of(TestKey::new(zone, class, measure), beta))
        })
    }

    /// The same for one test. Danger: the statistics of all data centres together may be good enough although the new cohort of one data
    /// centre has had no requests yet, or fails all of them; so each data centre is also tested by itself.
    fn missing_evidence_of(&self, key: TestKey, beta: f64) -> Option<String> {
        let TestKey { zone, class, measure } = &key;
        let test = self.tests.get(&key).cloned().unwrap_or_default();
        let is_one_zone = !zone.is_empty();
        // A class without requests in this data centre needs no evidence there.
        if is_one_zone && test.all == [0, 0] {
            return None;
        }
        let (factor, margin) =
            if *measure == Measure::Bad { (self.bounds.times, self.bounds.beyond) } else { self.bounds.slow };
        let margin = if is_one_zone { margin * self.bounds.single_zone_factor } else { margin };
        // If this data centre has no old members left, or they have had no requests, the old members of all data centres are the reference.
        let overall = self.tests.get(&TestKey::new("", class, *measure));
        let reference =
            if test.all[1] > 0 { Some(&test) } else { overall.filter(|o| is_one_zone && o.all[1] > 0) };
        let Some(reference) = reference else {
            return Some(format!("{class}: the old cohort has had no requests over the same time"));
        };
        let burst = self.bursts.get(&(class.clone(), *measure)).map_or(INITIAL_BURST, |b| b.mean.max(1.0));
        let max_rate = permitted_rate(reference.rates()[1], factor, margin);
        let is_within = is_rate_at_most(test.bad[0], test.all[0], burst, max_rate, beta);
        let place = if is_one_zone { format!(" in {zone}") } else { String::new() };
        let [new, old] = [test.rates()[0], reference.rates()[1]];
        (!is_within).then(|| {
            format!(
                "{class}: {} of {} of the new cohort{place} are bad by {measure:?} ({new:.3}), {old:.3} of {} of the old cohort: not enough \
                 evidence to exclude a rate above {max_rate:.3}",
                test.bad[0], test.all[0], reference.all[1]
            )
        })
    }
}
