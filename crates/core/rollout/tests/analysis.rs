//! Verdicts of the analysis on a fleet of three data centres with three proxies each, which differ in their outcomes.

use rushquay_config_version::{ConfigVersion, Digest, FORMAT_VERSION};
use rushquay_membership::{MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report};
use rushquay_rollout::{Analysis, Bounds, Finding, Measure, Verdict, SECOND};
use serde_json::json;
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["gandhinagar", "rajkot", "vadodara"];

struct Fleet {
    membership: Membership,
    analysis: Analysis,
    stats: Vec<ProxyStats>,
    /// Indices of the proxies that apply the new version.
    new: BTreeSet<usize>,
    elapsed_seconds: u64,
}

fn digests() -> (Digest, Digest) {
    let to = ConfigVersion::read(&json!({"over_share_worth": 0.5})).expect("settings");
    (ConfigVersion::base().digest(), to.digest())
}

fn zone(n: usize) -> &'static str {
    ZONES[n / 3]
}

impl Fleet {
    /// A fleet that has had a minute without bad outcomes as its baseline.
    fn new() -> Self {
        let (membership, analysis) =
            (Membership::new(MembershipTimeouts::default()), Analysis::new(Bounds::default()));
        let stats = vec![ProxyStats::default(); 9];
        let mut fleet = Fleet { membership, analysis, stats, new: BTreeSet::new(), elapsed_seconds: 0 };
        (0..60).for_each(|_| fleet.simulate_second(|_, _| (40, 0)));
        assert!(fleet.analysis.baseline_rates().is_some());
        fleet
    }

    /// Simulates a second. `requests` returns the number of requests and of bad outcomes of a proxy, given its index and whether it is new.
    fn simulate_second(&mut self, requests: impl Fn(usize, bool) -> (u64, u64)) {
        self.elapsed_seconds += 1;
        let (now, (from, to)) = (self.elapsed_seconds * SECOND, digests());
        for n in 0..self.stats.len() {
            let (all, bad) = requests(n, self.new.contains(&n));
            let stats = &mut self.stats[n];
            stats.attempts += all;
            let class = stats.classes.entry("plan".to_owned()).or_default();
            class.refused += bad;
            class.served += all - bad;
            (bad..all).for_each(|_| class.record_response_time(30_000_000));
            let report = Report {
                form: FORMAT_VERSION,
                boot: 1,
                seq: self.elapsed_seconds,
                zone: zone(n).into(),
                version: "1".into(),
                program: None,
                acting: if self.new.contains(&n) { to } else { from },
                change: 0,
                refused: None,
                leaving: false,
                figures: self.stats[n].clone(),
            };
            self.membership.process_report(&format!("p{n}"), report, 1, now);
        }
        let new: BTreeSet<String> = self.new.iter().map(|n| format!("p{n}")).collect();
        let serving =
            self.membership.members().filter(|i| self.membership.status(i, now) == MemberStatus::Serving);
        self.analysis.observe_interval(serving, |name| new.contains(name), (from, to), SECOND);
    }

    fn verdict(&mut self) -> Verdict {
        self.analysis.verdict(2 * SECOND, false, self.elapsed_seconds * SECOND)
    }

    /// Begins a stage and its soak time; these proxies apply the new version.
    fn begin_stage(&mut self, new: &[usize]) {
        self.analysis.begin_stage(4);
        self.new.extend(new);
        self.analysis.begin_soak(self.elapsed_seconds * SECOND);
    }

    /// The first verdict other than `Waiting`, or the last one if none is given within `seconds`.
    fn first_decision(
        &mut self,
        seconds: u64,
        requests: impl Fn(usize, bool) -> (u64, u64) + Copy,
    ) -> Verdict {
        for _ in 0..seconds {
            self.simulate_second(requests);
            match self.verdict() {
                Verdict::Waiting(_) => {}
                verdict => return verdict,
            }
        }
        self.verdict()
    }
}

#[test]
fn a_stage_waits_for_evidence_from_each_data_centre_reached() {
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[0, 3, 6]);
    // The new proxy in vadodara gets no requests; those of the other data centres have no bad outcomes.
    let mut texts = Vec::new();
    for _ in 0..60 {
        fleet.simulate_second(|n, new| if new && n == 6 { (0, 0) } else { (40, 0) });
        let verdict = fleet.verdict();
        let Verdict::Waiting(what) = verdict else { panic!("{verdict:?}") };
        texts.push(what);
    }
    let last = texts.iter().rfind(|what| !what.contains("to the next look")).expect("the stage was checked");
    assert!(last.contains("plan: 0 of 0 of the new cohort in vadodara"), "{last}");
    // Now it gets requests too.
    assert_eq!(fleet.first_decision(400, |_, _| (40, 0)), Verdict::Passed);
}

#[test]
fn a_single_worse_data_centre_does_not_pass() {
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[0, 1, 3, 4, 6]);
    // One in six requests of the new proxy in vadodara is bad, but it gets only a few of all requests.
    let requests = |n: usize, new: bool| if new && n == 6 { (6, 1) } else { (100, 0) };
    let verdict = fleet.first_decision(600, requests);
    let Verdict::Worse(Finding { zone, class, measure, .. }) = &verdict else { panic!("{verdict:?}") };
    assert_eq!((zone.as_str(), class.as_str(), *measure), ("vadodara", "plan", Measure::Bad), "{verdict:?}");
}

#[test]
fn a_data_centre_without_old_proxies_is_compared_with_the_others() {
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[0, 6, 7, 8]);
    assert_eq!(fleet.first_decision(200, |_, _| (40, 0)), Verdict::Passed);
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[0, 6, 7, 8]);
    let verdict = fleet.first_decision(200, |n, new| (40, if new && n >= 6 { 1 } else { 0 }));
    assert!(!matches!(verdict, Verdict::Passed), "{verdict:?}");
}

#[test]
fn failures_of_the_new_cohort_alone_are_not_a_fleet_wide_problem() {
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[6, 7]);
    // Two proxies of nine fail three in ten of their requests. That is a fifteenth of all requests, and a twentieth would be a fleet-wide
    // problem if the new cohort counted.
    let mut verdicts = Vec::new();
    for _ in 0..60 {
        fleet.simulate_second(|n, new| (5, if new && n >= 6 { 1 + (n as u64 - 6) } else { 0 }));
        verdicts.push(fleet.verdict());
    }
    assert!(!verdicts.iter().any(|v| matches!(v, Verdict::FleetProblem(_))), "{verdicts:?}");
    assert!(matches!(verdicts.last(), Some(Verdict::Worse(_))), "{verdicts:?}");
}

#[test]
fn failures_of_old_proxies_or_without_any_left_are_a_fleet_wide_problem() {
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[6]);
    let verdict = fleet.first_decision(20, |_, _| (40, 13));
    assert!(matches!(verdict, Verdict::FleetProblem(_)), "{verdict:?}");
    // All proxies of one data centre are new, so no old one is left there to compare with. A third of all requests fail.
    let mut fleet = Fleet::new();
    fleet.begin_stage(&[6, 7, 8]);
    let verdict = fleet.first_decision(20, |_, new| (40, if new { 40 } else { 0 }));
    assert!(matches!(verdict, Verdict::FleetProblem(_)), "{verdict:?}");
}
