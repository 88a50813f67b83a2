//! How members are identified, and how their status follows from reports, streams and time.

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

fn standing(membership: &Membership, now: u64) -> MemberStatus {
    membership.standing(membership.get("p").expect("known"), now * SECOND)
}

#[test]
fn restarting_down_cut_off_and_retired_are_distinguished() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    assert_eq!(membership.hear("p", report(100, 1), 1, 0), ReportOutcome::New);
    assert_eq!(standing(&membership, 1), MemberStatus::Serving);
    // Silent, with its stream open: a failed link or machine.
    assert_eq!(standing(&membership, 9), MemberStatus::CutOff);
    assert_eq!(membership.hear("p", report(100, 2), 1, 10 * SECOND), ReportOutcome::Same);
    assert_eq!(standing(&membership, 10), MemberStatus::Serving);
    // Its stream ends: the next process has some time to start.
    membership.ended("p", 1, 11 * SECOND);
    assert_eq!(standing(&membership, 12), MemberStatus::Restarting);
    assert_eq!(standing(&membership, 27), MemberStatus::Down);
    assert_eq!(membership.hear("p", report(200, 1), 2, 28 * SECOND), ReportOutcome::Restarted);
    let known = membership.get("p").expect("known");
    assert_eq!((known.told.restarts, known.told.before.as_ref().map(|b| b.boot)), (1, Some(100)));
    assert_eq!(standing(&membership, 28), MemberStatus::Serving);
    // The end of the previous stream arrives late.
    membership.ended("p", 1, 29 * SECOND);
    assert_eq!(standing(&membership, 29), MemberStatus::Serving);
    assert_eq!(standing(&membership, 28 + 24 * 3600), MemberStatus::Retired);
    assert_eq!(membership.forget((28 + 24 * 3600) * SECOND), ["p"]);
}

#[test]
fn a_member_that_shuts_down_is_not_cut_off() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.hear("p", report(100, 1), 1, 0);
    membership.hear("p", Report { leaving: true, ..report(100, 2) }, 1, SECOND);
    assert_eq!(standing(&membership, 2), MemberStatus::Restarting);
    assert_eq!(standing(&membership, 17), MemberStatus::Down);
}

#[test]
fn late_and_duplicate_reports_are_ignored() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.hear("p", report(100, 5), 1, 0);
    for (boot, seq) in [(100, 5), (100, 4), (99, 900)] {
        let old = Report { acting: Digest::of(b"old"), ..report(boot, seq) };
        assert_eq!(membership.hear("p", old, 1, SECOND), ReportOutcome::Stale);
    }
    assert_eq!(membership.get("p").expect("known").told.acting, Digest::of(b"a"));
    assert_eq!(membership.hear("p", report(100, 6), 1, SECOND), ReportOutcome::Same);
    assert_eq!(
        membership.hear("p", Report { acting: Digest::of(b"b"), ..report(100, 7) }, 1, SECOND),
        ReportOutcome::Changed
    );
}

/// A machine whose clock was set back starts a process with a lower incarnation. It is accepted once the other is silent and its own
/// reports continue; a replay of one old report never is.
#[test]
fn a_process_after_a_clock_set_back_is_accepted_in_the_end() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.hear("p", report(1000, 1), 1, 0);
    for seq in 1..4 {
        assert_eq!(
            membership.hear("p", report(500, seq), 2, seq * SECOND),
            ReportOutcome::Stale,
            "the other has reported recently"
        );
    }
    for _ in 0..9 {
        assert_eq!(
            membership.hear("p", report(400, 7), 2, 6 * SECOND),
            ReportOutcome::Stale,
            "a replay of one report"
        );
    }
    assert_eq!(membership.hear("p", report(500, 5), 2, 7 * SECOND), ReportOutcome::Stale);
    assert_eq!(membership.hear("p", report(500, 6), 2, 8 * SECOND), ReportOutcome::Stale);
    assert_eq!(membership.hear("p", report(500, 7), 2, 9 * SECOND), ReportOutcome::Restarted);
}

#[test]
fn a_restored_member_is_unheard_until_it_reports() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.hear("p", report(100, 5), 1, 0);
    let records: Vec<_> = membership.instances().map(|i| i.told.clone()).collect();
    let text = serde_json::to_string(&records).expect("JSON");
    let mut membership = Membership::restore(
        MembershipTimeouts::default(),
        serde_json::from_str::<Vec<_>>(&text).expect("read"),
        0,
    );
    assert_eq!(standing(&membership, 100), MemberStatus::Unheard);
    // Its sequence continues from wherever it is.
    assert_eq!(membership.hear("p", report(100, 3), 1, 100 * SECOND), ReportOutcome::Same);
    assert_eq!(standing(&membership, 100), MemberStatus::Serving);
}

#[test]
fn the_number_of_members_is_bounded() {
    let mut membership = Membership::new(MembershipTimeouts { most: 3, ..MembershipTimeouts::default() });
    for n in 0..3 {
        assert_eq!(membership.hear(&format!("p{n}"), report(1, 1), 1, 0), ReportOutcome::New);
    }
    assert_eq!(membership.hear("p9", report(1, 1), 1, SECOND), ReportOutcome::Full);
    // Retired members make room.
    let later = 25 * 3600 * SECOND;
    assert_eq!(membership.hear("p9", report(1, 1), 1, later), ReportOutcome::New);
    assert_eq!(membership.len(), 1);
}

#[test]
fn another_format_or_excessive_size_is_rejected_and_unknown_fields_are_ignored() {
    let text = report(1, 1).text();
    assert_eq!(Report::read(&text), Ok(report(1, 1)));
    assert_eq!(Report::read(&text.replacen('{', "{\"mood\":\"fine\",", 1)), Ok(report(1, 1)));
    assert_eq!(Report::read(&text.replace("\"form\":1", "\"form\":9")), Err(ReportError::Form(9)));
    assert!(matches!(Report::read(&text.replace("rajkot", &"x".repeat(300))), Err(ReportError::Large(_))));
    assert!(matches!(Report::read(&"x".repeat(1 << 20)), Err(ReportError::Large(_))));
}

#[test]
fn times_fall_into_the_bucket_whose_edge_they_do_not_exceed() {
    for n in 0..BUCKETS - 1 {
        assert_eq!(bucket(upper(n)), n, "{n}");
        assert_eq!(bucket(upper(n) + upper(n) / 100 + 1), n + 1, "{n}");
    }
    assert_eq!((bucket(0), bucket(u64::MAX)), (0, BUCKETS - 1));
}

proptest! {
    /// Whatever the order, duplication and delay of the reports of three incarnations: what counts is a report that was sent, the counters
    /// of an incarnation never go back, and with a monotonic clock neither does the incarnation.
    #[test]
    fn no_order_of_reports_moves_a_member_back(sent in proptest::collection::vec((1u64..4, 1u64..20, 0u64..3), 1..80)) {
        let mut membership = Membership::new(MembershipTimeouts::default());
        let (mut now, mut last) = (0, (0, 0));
        for (boot, seq, wait) in sent {
            now += wait * SECOND;
            let before = last;
            let outcome = membership.hear("p", report(boot, seq), 1, now);
            let known = membership.get("p").expect("known");
            last = (known.told.boot, known.figures.attempts);
            match outcome {
                ReportOutcome::Stale => prop_assert_eq!(last, before),
                _ => prop_assert_eq!(last, (boot, seq)),
            }
            prop_assert!(last.0 > before.0 || last.0 == before.0 && last.1 >= before.1 || outcome == ReportOutcome::Restarted);
        }
    }
}
