//! The verdict of the analysis on a stage.

use super::comparison::{CLASS_MEASURES, MAX_EXCESS_INTERVALS, OVERALL_TESTS};
use super::{Analysis, Test};
use crate::cohorts::INITIAL_BURST;
use crate::finding::{Finding, Measure, Verdict};
use crate::sequential_test::{allowed, passes, Odds};
use crate::{Nanos, SECOND};
use serde::Serialize;
use std::collections::BTreeSet;

/// The state of one test, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Score {
    /// What is measured.
    pub measure: Measure,
    /// The class; empty: all.
    pub class: String,
    /// The data centre; empty: all.
    pub zone: String,
    /// Bad outcomes of the new and the old cohort.
    pub bad: [u64; 2],
    /// All outcomes of each.
    pub all: [u64; 2],
    /// Natural logarithm of the evidence that the new cohort is worse.
    pub evidence: f64,
    /// The evidence at which the rollout is stopped.
    pub stops_at: f64,
}

impl Analysis {
    /// The evidence at which a test stops the rollout.
    fn stops_at(&self) -> f64 {
        let classes = self.classes().len() as f64;
        let places = 1.0 + self.reached_zones.len() as f64;
        let tests = classes * CLASS_MEASURES.len() as f64 * places + OVERALL_TESTS;
        (tests * self.stages as f64 / self.bounds.alpha).ln()
    }

    /// Classes with requests of either cohort.
    fn classes(&self) -> BTreeSet<&str> {
        self.tests.keys().map(|test| test.class.as_str()).filter(|class| !class.is_empty()).collect()
    }

    /// The state of each test.
    pub fn scores(&self) -> Vec<Score> {
        let stops_at = self.stops_at();
        let score = |(test, odds): (&Test, &Odds)| Score {
            measure: test.measure,
            class: test.class.clone(),
            zone: test.zone.clone(),
            bad: odds.bad,
            all: odds.all,
            evidence: odds.evidence(),
            stops_at,
        };
        self.tests.iter().map(score).collect()
    }

    /// The verdict on the stage. `is_alone`: no old member is left to compare with, so that the fleet baseline is all there is.
    pub fn verdict(&mut self, soak: Nanos, is_alone: bool, now: Nanos) -> Verdict {
        if let Some(finding) = self.worst_test().or_else(|| self.excessive_resource()) {
            return Verdict::Worse(finding);
        }
        if let Some(trouble) = &self.baseline.trouble {
            return Verdict::Trouble(trouble.clone());
        }
        let Some(since) = self.soaking_since else {
            return Verdict::Waiting("not all of the stage act by it yet".into());
        };
        if let Some(name) = self.new_warming_up.first() {
            let all = self.new_warming_up.len();
            (self.checks, self.soaking_since) = (0, Some(now));
            return Verdict::Waiting(format!("{name} and {} others have only just started", all - 1));
        }
        let passed = now.saturating_sub(since);
        // A stage may pass at its soak time and at each doubling of that, so that all checks together have the error rate of the
        // bound. In between nothing is checked, so that frequent calls gain nothing.
        let due = soak.saturating_mul(1u64 << self.checks.min(40));
        if passed < due {
            let left = (due - passed) as f64 / SECOND as f64;
            return Verdict::Waiting(format!("{left:.0} s to the next look"));
        }
        self.checks += 1;
        if is_alone {
            return Verdict::Passed;
        }
        match self.missing_evidence() {
            None => Verdict::Passed,
            Some(missing) => Verdict::Waiting(missing),
        }
    }

    /// The test with the most evidence against the new cohort, if that is enough to stop the rollout.
    fn worst_test(&self) -> Option<Finding> {
        let stops_at = self.stops_at();
        let worst = self.tests.iter().max_by(|a, b| a.1.evidence().total_cmp(&b.1.evidence()));
        let (Test { zone, class, measure }, odds) = worst.filter(|(_, odds)| odds.evidence() >= stops_at)?;
        let (rates, of, evidence) = (odds.rates(), odds.all, odds.evidence());
        let (zone, class, measure) = (zone.clone(), class.clone(), *measure);
        Some(Finding { measure, class, zone, rates, of, evidence })
    }

    /// Memory or descriptors, if the new cohort has held too much for too long.
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

    /// What evidence is missing for the stage to pass.
    fn missing_evidence(&self) -> Option<String> {
        let looks = f64::from(1u32 << self.checks.min(30));
        let classes = self.classes();
        if classes.is_empty() {
            return Some("no requests were seen of the old and the new over the same time".into());
        }
        let beta = self.bounds.beta / looks / (2 * classes.len()) as f64;
        let places = std::iter::once("").chain(self.reached_zones.iter().map(String::as_str));
        places.flat_map(|zone| classes.iter().map(move |class| (zone, *class))).find_map(|(zone, class)| {
            [Measure::Bad, Measure::SlowTenth]
                .into_iter()
                .find_map(|measure| self.missing_evidence_of(Test::new(zone, class, measure), beta))
        })
    }

    /// The same for one test. Danger: where the statistics of all data centres together pass a stage, the new members of one of them may
    /// have received no requests yet, or fail all of them.
    fn missing_evidence_of(&self, test: Test, beta: f64) -> Option<String> {
        let Test { zone, class, measure } = &test;
        let odds = self.tests.get(&test).cloned().unwrap_or_default();
        let is_one_zone = !zone.is_empty();
        // A class without any requests in this data centre has nothing to show there.
        if is_one_zone && odds.all == [0, 0] {
            return None;
        }
        let (times, beyond) =
            if *measure == Measure::Bad { (self.bounds.times, self.bounds.beyond) } else { self.bounds.slow };
        let beyond = if is_one_zone { beyond * self.bounds.apart } else { beyond };
        // Where no old members are left, or they receive no requests, the old members of the other data centres show what is usual.
        let overall = self.tests.get(&Test::new("", class, *measure));
        let usual =
            if odds.all[1] > 0 { Some(&odds) } else { overall.filter(|o| is_one_zone && o.all[1] > 0) };
        let Some(usual) = usual else {
            return Some(format!("{class}: no old ones were asked over the same time"));
        };
        let burst = self.bursts.get(&(class.clone(), *measure)).map_or(INITIAL_BURST, |b| b.mean.max(1.0));
        let most = allowed(usual.rates()[1], times, beyond);
        let passed = passes(odds.bad[0], odds.all[0], burst, most, beta);
        let place = if is_one_zone { format!(" in {zone}") } else { String::new() };
        let [new, old] = [odds.rates()[0], usual.rates()[1]];
        (!passed).then(|| {
            format!(
                "{class}: {} of {} of the new{place} end badly by {measure:?} ({new:.3}), {old:.3} of {} of the old: not enough to \
                 exclude more than {most:.3}",
                odds.bad[0], odds.all[0], usual.all[1]
            )
        })
    }
}
