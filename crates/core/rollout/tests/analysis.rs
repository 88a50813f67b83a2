//! What passes a stage, what stops it and what holds it, where data centres differ: three of them with three proxies each.

use rushquay_config_version::{ConfigVersion, Digest, FORM};
use rushquay_membership::{MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report};
use rushquay_rollout::{Analysis, Bounds, Finding, Measure, Verdict, SECOND};
use serde_json::json;
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["gandhinagar", "rajkot", "vadodara"];

struct Fleet {
    roster: Membership,
    evidence: Analysis,
    figures: Vec<ProxyStats>,
    /// Proxies that act by the new.
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
    /// A minute in which all went well.
    fn new() -> Self {
        let (roster, evidence) =
            (Membership::new(MembershipTimeouts::default()), Analysis::new(Bounds::default()));
        let figures = vec![ProxyStats::default(); 9];
        let mut fleet = Fleet { roster, evidence, figures, new: BTreeSet::new(), at: 0 };
        (0..60).for_each(|_| fleet.second(|_, _| (40, 0)));
        assert!(fleet.evidence.usual().is_some());
        fleet
    }

    /// A second, in which each proxy (by number, and whether it is new) was asked so much, and so much of it ended badly.
    fn second(&mut self, asked: impl Fn(usize, bool) -> (u64, u64)) {
        self.at += 1;
        let (now, (from, to)) = (self.at * SECOND, digests());
        for n in 0..self.figures.len() {
            let (all, bad) = asked(n, self.new.contains(&n));
            let figures = &mut self.figures[n];
            figures.attempts += all;
            let class = figures.classes.entry("plan".to_owned()).or_default();
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
                figures: self.figures[n].clone(),
            };
            self.roster.hear(&format!("p{n}"), report, 1, now);
        }
        let new: BTreeSet<String> = self.new.iter().map(|n| format!("p{n}")).collect();
        let serving =
            self.roster.instances().filter(|i| self.roster.standing(i, now) == MemberStatus::Serving);
        self.evidence.look(serving, |name| new.contains(name), (from, to), SECOND);
    }

    fn verdict(&mut self) -> Verdict {
        self.evidence.verdict(2 * SECOND, false, self.at * SECOND)
    }

    /// These act by the new, and all of the stage have changed.
    fn stage(&mut self, new: &[usize]) {
        self.evidence.begin(4);
        self.new.extend(new);
        self.evidence.soak(self.at * SECOND);
    }

    /// The verdict once it is no longer waited for, within so many seconds.
    fn ends(&mut self, seconds: u64, asked: impl Fn(usize, bool) -> (u64, u64) + Copy) -> Verdict {
        for _ in 0..seconds {
            self.second(asked);
            match self.verdict() {
                Verdict::Waiting(_) => {}
                verdict => return verdict,
            }
        }
        self.verdict()
    }
}

#[test]
fn a_stage_waits_for_the_figures_of_each_data_centre_that_it_reached() {
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 3, 6]);
    // The new one of vadodara is asked nothing yet; those of the others do well.
    let mut waits = Vec::new();
    for _ in 0..60 {
        fleet.second(|n, new| if new && n == 6 { (0, 0) } else { (40, 0) });
        let verdict = fleet.verdict();
        let Verdict::Waiting(what) = verdict else { panic!("{verdict:?}") };
        waits.push(what);
    }
    let last = waits.iter().rfind(|what| !what.contains("to the next look")).expect("looks were taken");
    assert!(last.contains("plan: 0 of 0 of the new in vadodara"), "{last}");
    // Now it is.
    assert_eq!(fleet.ends(400, |_, _| (40, 0)), Verdict::Passed);
}

#[test]
fn one_data_centre_that_does_a_little_worse_than_the_whole_may_does_not_pass() {
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 1, 3, 4, 6]);
    // One in six at vadodara alone: one in thirty of all the new, but no more than a few of its own are asked at all.
    let asked = |n: usize, new: bool| if new && n == 6 { (6, 1) } else { (100, 0) };
    let verdict = fleet.ends(600, asked);
    let Verdict::Worse(Finding { zone, class, measure, .. }) = &verdict else { panic!("{verdict:?}") };
    assert_eq!((zone.as_str(), class.as_str(), *measure), ("vadodara", "plan", Measure::Bad), "{verdict:?}");
}

#[test]
fn where_no_old_are_left_in_a_data_centre_the_others_say_what_is_usual() {
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 6, 7, 8]);
    assert_eq!(fleet.ends(200, |_, _| (40, 0)), Verdict::Passed);
    let mut fleet = Fleet::new();
    fleet.stage(&[0, 6, 7, 8]);
    let verdict = fleet.ends(200, |n, new| (40, if new && n >= 6 { 1 } else { 0 }));
    assert!(!matches!(verdict, Verdict::Passed), "{verdict:?}");
}

#[test]
fn what_the_new_alone_do_badly_is_no_trouble_of_all() {
    let mut fleet = Fleet::new();
    fleet.stage(&[6, 7]);
    // Two proxies of nine fail three in ten of what they are asked, which is a fifteenth of all, where a twentieth is a trouble.
    let mut verdicts = Vec::new();
    for _ in 0..60 {
        fleet.second(|n, new| (5, if new && n >= 6 { 1 + (n as u64 - 6) } else { 0 }));
        verdicts.push(fleet.verdict());
    }
    assert!(!verdicts.iter().any(|v| matches!(v, Verdict::Trouble(_))), "{verdicts:?}");
    assert!(matches!(verdicts.last(), Some(Verdict::Worse(_))), "{verdicts:?}");
}

#[test]
fn what_the_old_show_too_is_a_trouble_and_so_is_what_none_are_left_to_show() {
    let mut fleet = Fleet::new();
    fleet.stage(&[6]);
    let verdict = fleet.ends(20, |_, _| (40, 13));
    assert!(matches!(verdict, Verdict::Trouble(_)), "{verdict:?}");
    // All of one data centre are new: nobody there is left to compare with, and a third of all fails.
    let mut fleet = Fleet::new();
    fleet.stage(&[6, 7, 8]);
    let verdict = fleet.ends(20, |_, new| (40, if new { 40 } else { 0 }));
    assert!(matches!(verdict, Verdict::Trouble(_)), "{verdict:?}");
}
