//! Verdicts of the analysis where data centres differ: three of them with three proxies each.

use rushquay_config_version::{ConfigVersion, Digest, FORM};
use rushquay_membership::{MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report};
use rushquay_rollout::{Analysis, Bounds, Finding, Measure, Verdict, SECOND};
use serde_json::json;
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["gandhinagar", "rajkot", "vadodara"];

struct Fleet {
    membership: Membership,
    analysis: Analysis,
    stats: Vec<ProxyStats>,
    /// Proxies that apply the new version.
    new: BTreeSet<usize>,
    at: u64,
}

fn digests() -> (Digest, Digest) {
    let to = ConfigVersion::read(&json!({"over_share_worth": 0.5})).expect("settings");
    (ConfigVersion::base().digest(), to.digest())
}

fn zone(n: usize) -> &'static str {
    ZONES[n / 3]
}

impl Fleet {
    /// A fleet after a minute without bad outcomes.
    fn new() -> Self {
        let (membership, analysis) =
            (Membership::new(MembershipTimeouts::default()), Analysis::new(Bounds::default()));
        let stats = vec![ProxyStats::default(); 9];
        let mut fleet = Fleet { membership, analysis, stats, new: BTreeSet::new(), at: 0 };
        (0..60).for_each(|_| fleet.second(|_, _| (40, 0)));
        assert!(fleet.analysis.usual().is_some());
        fleet
    }

    /// Plays a second, in which each proxy (by number, and whether it is new) had so many requests, and so many bad outcomes.
    fn second(&mut self, requests: impl Fn(usize, bool) -> (u64, u64)) {
        self.at += 1;
        let (now, (from, to)) = (self.at * SECOND, digests());
        for n in 0..self.stats.len() {
            let (all, bad) = requests(n, self.new.contains(&n));
            let stats = &mut self.stats[n];
            stats.attempts += all;
            let class = stats.classes.entry("plan".to_owned()).or_default();
            class.refused += bad;
            class.served += all - bad;
            (bad..all).for_each(|_| class.took(30_000_000));
            let report = Report {
                form: FORM,
                boot: 1,
                seq: self.at,
                zone: zone(n).into(),
                version: "1".into(),
                program: None,
                acting: if self.new.contains(&n) { to } else { from },
                change: 0,
                refused: None,
                leaving: false,
                figures: self.stats[n].clone(),
            };
            self.membership.hear(&format!("p{n}"), report, 1, now);
        }
        let new: BTreeSet<String> = self.new.iter().map(|n| format!("p{n}")).collect();
        let serving =
            self.membership.instances().filter(|i| self.membership.standing(i, now) == MemberStatus::Serving);
        self.analysis.look(serving, |name| new.contains(name), (from, to), SECOND);
    }

    fn verdict(&mut self) -> Verdict {
        self.analysis.verdict(2 * SECOND, false, self.at * SECOND)
    }

    /// Begins a stage in which these proxies apply the new version, and all have changed.
    fn stage(&mut self, new: &[usize]) {
        self.analysis.begin(4);
        self.new.extend(new);
        self.analysis.soak(self.at * SECOND);
    }

    /// The first verdict other than waiting, within so many seconds.
    fn first_decision(
        &mut self,
        seconds: u64,
        requests: impl Fn(usize, bool) -> (u64, u64) + Copy,
    ) -> Verdict {
        for _ in 0..seconds {
            self.second(requests);
            match self.verdict() {
                Verdict::Waiting(_) => {}
                verdict => return verdict,
            }
        }
        self.verdict()
    }
}

#[test]
fn a_stage_waits_for_evidence_from_each_data_centre_it_reached() {
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 3, 6]);
    // The new proxy of vadodara gets no requests yet; those of the others do well.
    let mut waits = Vec::new();
    for _ in 0..60 {
        fleet.second(|n, new| if new && n == 6 { (0, 0) } else { (40, 0) });
        let verdict = fleet.verdict();
        let Verdict::Waiting(what) = verdict else { panic!("{verdict:?}") };
        waits.push(what);
    }
    let last = waits.iter().rfind(|what| !what.contains("to the next look")).expect("looks were taken");
    assert!(last.contains("plan: 0 of 0 of the new in vadodara"), "{last}");
    // Now it gets some.
    assert_eq!(fleet.first_decision(400, |_, _| (40, 0)), Verdict::Passed);
}

#[test]
fn a_single_worse_data_centre_does_not_pass() {
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 1, 3, 4, 6]);
    // One in six at vadodara alone: one in thirty of all new proxies, but its own requests are only a few.
    let requests = |n: usize, new: bool| if new && n == 6 { (6, 1) } else { (100, 0) };
    let verdict = fleet.first_decision(600, requests);
    let Verdict::Worse(Finding { zone, class, measure, .. }) = &verdict else { panic!("{verdict:?}") };
    assert_eq!((zone.as_str(), class.as_str(), *measure), ("vadodara", "plan", Measure::Bad), "{verdict:?}");
}

#[test]
fn a_data_centre_without_old_proxies_is_compared_with_the_others() {
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 6, 7, 8]);
    assert_eq!(fleet.first_decision(200, |_, _| (40, 0)), Verdict::Passed);
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 6, 7, 8]);
    let verdict = fleet.first_decision(200, |n, new| (40, if new && n >= 6 { 1 } else { 0 }));
    assert!(!matches!(verdict, Verdict::Passed), "{verdict:?}");
}

#[test]
fn failures_of_the_new_cohort_alone_are_no_fleet_wide_problem() {
    let mut fleet = Fleet::new();
    fleet.stage(&[6, 7]);
    // Two proxies of nine fail three in ten of their requests, a fifteenth of all, where a twentieth is a fleet-wide problem.
    let mut verdicts = Vec::new();
    for _ in 0..60 {
        fleet.second(|n, new| (5, if new && n >= 6 { 1 + (n as u64 - 6) } else { 0 }));
        verdicts.push(fleet.verdict());
    }
    assert!(!verdicts.iter().any(|v| matches!(v, Verdict::Trouble(_))), "{verdicts:?}");
    assert!(matches!(verdicts.last(), Some(Verdict::Worse(_))), "{verdicts:?}");
}

#[test]
fn failures_of_old_proxies_or_without_any_left_are_a_fleet_wide_problem() {
    let mut fleet = Fleet::new();
    fleet.stage(&[6]);
    let verdict = fleet.first_decision(20, |_, _| (40, 13));
    assert!(matches!(verdict, Verdict::Trouble(_)), "{verdict:?}");
    // All proxies of one data centre are new: no old one is left there to compare with, and a third of all requests fail.
    let mut fleet = Fleet::new();
    fleet.stage(&[6, 7, 8]);
    let verdict = fleet.first_decision(20, |_, new| (40, if new { 40 } else { 0 }));
    assert!(matches!(verdict, Verdict::Trouble(_)), "{verdict:?}");
}
