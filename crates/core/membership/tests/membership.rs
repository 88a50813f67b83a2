//! How members are identified, how their status follows from reports, streams and time, and the limits on reports.

use proptest::prelude::*;
use rushquay_config_version::{Digest, FORMAT_VERSION};
use rushquay_membership::{
    bucket, bucket_upper_edge, MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report, ReportError,
    ReportOutcome, BUCKETS, SECOND,
};

fn report(boot: u64, seq: u64) -> Report {
    Report {
        form: FORMAT_VERSION,
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

fn status_at(membership: &Membership, now_s: u64) -> MemberStatus {
    membership.status(membership.get("p").expect("known"), now_s * SECOND)
}

#[test]
fn restarting_down_cut_off_and_retired_are_distinguished() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    assert_eq!(membership.process_report("p", report(100, 1), 1, 0), ReportOutcome::New);
    assert_eq!(status_at(&membership, 1), MemberStatus::Serving);
    // No reports while its stream is open: the link or the machine has failed.
    assert_eq!(status_at(&membership, 9), MemberStatus::CutOff);
    assert_eq!(membership.process_report("p", report(100, 2), 1, 10 * SECOND), ReportOutcome::Same);
    assert_eq!(status_at(&membership, 10), MemberStatus::Serving);
    // Its stream ends: the next process is expected within the restart timeout.
    membership.stream_ended("p", 1, 11 * SECOND);
    assert_eq!(status_at(&membership, 12), MemberStatus::Restarting);
    assert_eq!(status_at(&membership, 27), MemberStatus::Down);
    assert_eq!(membership.process_report("p", report(200, 1), 2, 28 * SECOND), ReportOutcome::Restarted);
    let member = membership.get("p").expect("known");
    assert_eq!((member.record.restarts, member.record.before.as_ref().map(|b| b.boot)), (1, Some(100)));
    assert_eq!(status_at(&membership, 28), MemberStatus::Serving);
    // The end of the previous process's stream is noticed late.
    membership.stream_ended("p", 1, 29 * SECOND);
    assert_eq!(status_at(&membership, 29), MemberStatus::Serving);
    assert_eq!(status_at(&membership, 28 + 24 * 3600), MemberStatus::Retired);
    assert_eq!(membership.remove_retired((28 + 24 * 3600) * SECOND), ["p"]);
}

#[test]
fn a_member_that_shuts_down_is_not_cut_off() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.process_report("p", report(100, 1), 1, 0);
    membership.process_report("p", Report { leaving: true, ..report(100, 2) }, 1, SECOND);
    assert_eq!(status_at(&membership, 2), MemberStatus::Restarting);
    assert_eq!(status_at(&membership, 17), MemberStatus::Down);
}

#[test]
fn late_and_duplicate_reports_are_ignored() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.process_report("p", report(100, 5), 1, 0);
    for (boot, seq) in [(100, 5), (100, 4), (99, 900)] {
        let old = Report { acting: Digest::of(b"old"), ..report(boot, seq) };
        assert_eq!(membership.process_report("p", old, 1, SECOND), ReportOutcome::Stale);
    }
    assert_eq!(membership.get("p").expect("known").record.acting, Digest::of(b"a"));
    assert_eq!(membership.process_report("p", report(100, 6), 1, SECOND), ReportOutcome::Same);
    assert_eq!(
        membership.process_report("p", Report { acting: Digest::of(b"b"), ..report(100, 7) }, 1, SECOND),
        ReportOutcome::Changed
    );
}

/// A process started after the machine's clock was set back has a lower incarnation than its predecessor. It is accepted once the
/// predecessor is silent and its own reports advance; a replay of a single old report is never accepted.
#[test]
fn a_process_started_after_the_clock_was_set_back_is_eventually_accepted() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.process_report("p", report(1000, 1), 1, 0);
    for seq in 1..4 {
        assert_eq!(
            membership.process_report("p", report(500, seq), 2, seq * SECOND),
            ReportOutcome::Stale,
            "its predecessor has reported recently"
        );
    }
    for _ in 0..9 {
        assert_eq!(
            membership.process_report("p", report(400, 7), 2, 6 * SECOND),
            ReportOutcome::Stale,
            "a replayed report"
        );
    }
    assert_eq!(membership.process_report("p", report(500, 5), 2, 7 * SECOND), ReportOutcome::Stale);
    assert_eq!(membership.process_report("p", report(500, 6), 2, 8 * SECOND), ReportOutcome::Stale);
    assert_eq!(membership.process_report("p", report(500, 7), 2, 9 * SECOND), ReportOutcome::Restarted);
}

#[test]
fn a_restored_member_is_unheard_until_it_reports() {
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.process_report("p", report(100, 5), 1, 0);
    let records: Vec<_> = membership.members().map(|i| i.record.clone()).collect();
    let text = serde_json::to_string(&records).expect("JSON");
    let mut membership = Membership::restore(
        MembershipTimeouts::default(),
        serde_json::from_str::<Vec<_>>(&text).expect("read"),
        0,
    );
    assert_eq!(status_at(&membership, 100), MemberStatus::Unheard);
    // The first report is accepted with any sequence number.
    assert_eq!(membership.process_report("p", report(100, 3), 1, 100 * SECOND), ReportOutcome::Same);
    assert_eq!(status_at(&membership, 100), MemberStatus::Serving);
}

#[test]
fn the_number_of_members_is_limited() {
    let mut membership =
        Membership::new(MembershipTimeouts { max_members: 3, ..MembershipTimeouts::default() });
    for n in 0..3 {
        assert_eq!(membership.process_report(&format!("p{n}"), report(1, 1), 1, 0), ReportOutcome::New);
    }
    assert_eq!(membership.process_report("p9", report(1, 1), 1, SECOND), ReportOutcome::Full);
    // Retired members are removed to admit new ones.
    let later = 25 * 3600 * SECOND;
    assert_eq!(membership.process_report("p9", report(1, 1), 1, later), ReportOutcome::New);
    assert_eq!(membership.len(), 1);
}

#[test]
fn other_format_versions_and_excessive_sizes_are_rejected_and_unknown_fields_are_ignored() {
    let text = report(1, 1).text();
    assert_eq!(Report::read(&text), Ok(report(1, 1)));
    assert_eq!(Report::read(&text.replacen('{', "{\"mood\":\"fine\",", 1)), Ok(report(1, 1)));
    assert_eq!(
        Report::read(&text.replace("\"form\":1", "\"form\":9")),
        Err(ReportError::UnsupportedFormat(9))
    );
    assert!(matches!(Report::read(&text.replace("rajkot", &"x".repeat(300))), Err(ReportError::TooLarge(_))));
    assert!(matches!(Report::read(&"x".repeat(1 << 20)), Err(ReportError::TooLarge(_))));
}

#[test]
fn a_time_belongs_to_the_first_bucket_whose_upper_edge_it_does_not_exceed() {
    for n in 0..BUCKETS - 1 {
        assert_eq!(bucket(bucket_upper_edge(n)), n, "{n}");
        assert_eq!(bucket(bucket_upper_edge(n) + bucket_upper_edge(n) / 100 + 1), n + 1, "{n}");
    }
    assert_eq!((bucket(0), bucket(u64::MAX)), (0, BUCKETS - 1));
}

proptest! {
    /// However the reports of three incarnations are reordered, duplicated and delayed: the state of the member is that of a report that
    /// was sent, the counters of an incarnation never decrease, and the incarnation decreases only by an accepted restart.
    #[test]
    fn reordered_reports_never_move_a_member_back(sent in proptest::collection::vec((1u64..4, 1u64..20, 0u64..3), 1..80)) {
        let mut membership = Membership::new(MembershipTimeouts::default());
        let (mut now, mut last) = (0, (0, 0));
        for (boot, seq, wait) in sent {
            now += wait * SECOND;
            let before = last;
            let outcome = membership.process_report("p", report(boot, seq), 1, now);
            let member = membership.get("p").expect("known");
            last = (member.record.boot, member.figures.attempts);
            match outcome {
                ReportOutcome::Stale => prop_assert_eq!(last, before),
                _ => prop_assert_eq!(last, (boot, seq)),
            }
            prop_assert!(last.0 > before.0 || last.0 == before.0 && last.1 >= before.1 || outcome == ReportOutcome::Restarted);
        }
    }
}
