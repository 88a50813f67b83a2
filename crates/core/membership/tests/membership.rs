//! How instances are told apart and how each stands, by evidence and time.

use proptest::prelude::*;
use rushquay_config_version::{Digest, FORM};
use rushquay_membership::{
    bucket, upper, MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report, ReportError,
    ReportOutcome, BUCKETS, SECOND,
};

fn report(boot: u64, seq: u64) -> Report {
    Report {
        form: FORM,
        boot,
        seq,
        zone: "rajkot".into(),
        version: "1".into(),
        program: None,
        acting: Digest::of(b"a"),
        change: 0,
        refused: None,
        leaving: false,
        figures: ProxyStats { attempts: seq, ..ProxyStats::default() },
    }
}

fn standing(roster: &Membership, now: u64) -> MemberStatus {
    roster.standing(roster.get("p").expect("known"), now * SECOND)
}

#[test]
fn restart_down_cut_off_and_retired_are_told_apart() {
    let mut roster = Membership::new(MembershipTimeouts::default());
    assert_eq!(roster.hear("p", report(100, 1), 1, 0), ReportOutcome::New);
    assert_eq!(standing(&roster, 1), MemberStatus::Serving);
    // Silent, with its stream open: a link or a machine.
    assert_eq!(standing(&roster, 9), MemberStatus::CutOff);
    assert_eq!(roster.hear("p", report(100, 2), 1, 10 * SECOND), ReportOutcome::Same);
    assert_eq!(standing(&roster, 10), MemberStatus::Serving);
    // Its stream ends: the next process has some time.
    roster.ended("p", 1, 11 * SECOND);
    assert_eq!(standing(&roster, 12), MemberStatus::Restarting);
    assert_eq!(standing(&roster, 27), MemberStatus::Down);
    assert_eq!(roster.hear("p", report(200, 1), 2, 28 * SECOND), ReportOutcome::Restarted);
    let known = roster.get("p").expect("known");
    assert_eq!((known.told.restarts, known.told.before.as_ref().map(|b| b.boot)), (1, Some(100)));
    assert_eq!(standing(&roster, 28), MemberStatus::Serving);
    // The end of the stream before is told late.
    roster.ended("p", 1, 29 * SECOND);
    assert_eq!(standing(&roster, 29), MemberStatus::Serving);
    assert_eq!(standing(&roster, 28 + 24 * 3600), MemberStatus::Retired);
    assert_eq!(roster.forget((28 + 24 * 3600) * SECOND), ["p"]);
}

#[test]
fn one_that_says_it_leaves_is_not_taken_for_cut_off() {
    let mut roster = Membership::new(MembershipTimeouts::default());
    roster.hear("p", report(100, 1), 1, 0);
    roster.hear("p", Report { leaving: true, ..report(100, 2) }, 1, SECOND);
    assert_eq!(standing(&roster, 2), MemberStatus::Restarting);
    assert_eq!(standing(&roster, 17), MemberStatus::Down);
}

#[test]
fn late_and_doubled_word_changes_nothing() {
    let mut roster = Membership::new(MembershipTimeouts::default());
    roster.hear("p", report(100, 5), 1, 0);
    for (boot, seq) in [(100, 5), (100, 4), (99, 900)] {
        let old = Report { acting: Digest::of(b"old"), ..report(boot, seq) };
        assert_eq!(roster.hear("p", old, 1, SECOND), ReportOutcome::Stale);
    }
    assert_eq!(roster.get("p").expect("known").told.acting, Digest::of(b"a"));
    assert_eq!(roster.hear("p", report(100, 6), 1, SECOND), ReportOutcome::Same);
    assert_eq!(
        roster.hear("p", Report { acting: Digest::of(b"b"), ..report(100, 7) }, 1, SECOND),
        ReportOutcome::Changed
    );
}

/// A machine whose clock was set back starts a process with an earlier number. It is believed once the other is silent and it
/// goes on; a replay of one old report never is.
#[test]
fn a_clock_that_was_set_back_does_not_shut_its_proxy_out() {
    let mut roster = Membership::new(MembershipTimeouts::default());
    roster.hear("p", report(1000, 1), 1, 0);
    for seq in 1..4 {
        assert_eq!(
            roster.hear("p", report(500, seq), 2, seq * SECOND),
            ReportOutcome::Stale,
            "the other was heard lately"
        );
    }
    for _ in 0..9 {
        assert_eq!(
            roster.hear("p", report(400, 7), 2, 6 * SECOND),
            ReportOutcome::Stale,
            "the same again and again"
        );
    }
    assert_eq!(roster.hear("p", report(500, 5), 2, 7 * SECOND), ReportOutcome::Stale);
    assert_eq!(roster.hear("p", report(500, 6), 2, 8 * SECOND), ReportOutcome::Stale);
    assert_eq!(roster.hear("p", report(500, 7), 2, 9 * SECOND), ReportOutcome::Restarted);
}

#[test]
fn a_standby_knows_all_and_has_heard_nobody() {
    let mut roster = Membership::new(MembershipTimeouts::default());
    roster.hear("p", report(100, 5), 1, 0);
    let kept: Vec<_> = roster.instances().map(|i| i.told.clone()).collect();
    let text = serde_json::to_string(&kept).expect("JSON");
    let mut roster = Membership::restore(
        MembershipTimeouts::default(),
        serde_json::from_str::<Vec<_>>(&text).expect("read"),
        0,
    );
    assert_eq!(standing(&roster, 100), MemberStatus::Unheard);
    // Its count goes on from wherever it is.
    assert_eq!(roster.hear("p", report(100, 3), 1, 100 * SECOND), ReportOutcome::Same);
    assert_eq!(standing(&roster, 100), MemberStatus::Serving);
}

#[test]
fn what_is_kept_is_bounded() {
    let mut roster = Membership::new(MembershipTimeouts { most: 3, ..MembershipTimeouts::default() });
    for n in 0..3 {
        assert_eq!(roster.hear(&format!("p{n}"), report(1, 1), 1, 0), ReportOutcome::New);
    }
    assert_eq!(roster.hear("p9", report(1, 1), 1, SECOND), ReportOutcome::Full);
    // Those that are long gone make room.
    let later = 25 * 3600 * SECOND;
    assert_eq!(roster.hear("p9", report(1, 1), 1, later), ReportOutcome::New);
    assert_eq!(roster.len(), 1);
}

#[test]
fn a_report_of_a_later_form_or_size_is_refused_and_more_fields_are_not() {
    let text = report(1, 1).text();
    assert_eq!(Report::read(&text), Ok(report(1, 1)));
    assert_eq!(Report::read(&text.replacen('{', "{\"mood\":\"fine\",", 1)), Ok(report(1, 1)));
    assert_eq!(Report::read(&text.replace("\"form\":1", "\"form\":9")), Err(ReportError::Form(9)));
    assert!(matches!(Report::read(&text.replace("rajkot", &"x".repeat(300))), Err(ReportError::Large(_))));
    assert!(matches!(Report::read(&"x".repeat(1 << 20)), Err(ReportError::Large(_))));
}

#[test]
fn times_fall_into_the_bucket_whose_edge_they_do_not_pass() {
    for n in 0..BUCKETS - 1 {
        assert_eq!(bucket(upper(n)), n, "{n}");
        assert_eq!(bucket(upper(n) + upper(n) / 100 + 1), n + 1, "{n}");
    }
    assert_eq!((bucket(0), bucket(u64::MAX)), (0, BUCKETS - 1));
}

proptest! {
    /// Whatever the order in which reports of three boots come, doubled and late: what counts is a report that was sent, the
    /// count of a boot never goes back, and with a clock that only counts the boot doesn't either.
    #[test]
    fn no_order_of_reports_moves_an_instance_back(sent in proptest::collection::vec((1u64..4, 1u64..20, 0u64..3), 1..80)) {
        let mut roster = Membership::new(MembershipTimeouts::default());
        let (mut now, mut last) = (0, (0, 0));
        for (boot, seq, wait) in sent {
            now += wait * SECOND;
            let before = last;
            let heard = roster.hear("p", report(boot, seq), 1, now);
            let known = roster.get("p").expect("known");
            last = (known.told.boot, known.figures.attempts);
            match heard {
                ReportOutcome::Stale => prop_assert_eq!(last, before),
                _ => prop_assert_eq!(last, (boot, seq)),
            }
            prop_assert!(last.0 > before.0 || last.0 == before.0 && last.1 >= before.1 || heard == ReportOutcome::Restarted);
        }
    }
}
