//! Converting start times in a process whose wall clock was wrong at startup.

use proptest::prelude::*;
use rushquay_endpoints::{EndpointList, EndpointState, Nanos, StartClock, StartTimes};

const SECOND: Nanos = 1_000_000_000;
const HOUR: i64 = 3600 * SECOND as i64;
/// The present by discovery's clock, as Unix time.
const NOW: Nanos = 1_800_000_000 * SECOND;

fn list(starts: &[(&str, Nanos)]) -> EndpointList {
    let endpoint = |(id, started): &(&str, Nanos)| {
        format!(r#"{{"id":"{id}","state":"ready","started_ms":{}}}"#, started / 1_000_000)
    };
    let servers: Vec<String> = starts.iter().map(endpoint).collect();
    let text = format!(r#"{{"version":1,"full":false,"servers":[{}]}}"#, servers.join(","));
    serde_json::from_str(&text).expect("a list")
}

/// The uptimes of endpoints by the clock of the process, which is told of this list.
fn ages(starts: &mut StartTimes, list: &[(&str, Nanos)], local_now: Nanos) -> Vec<Nanos> {
    let list = self::list(list);
    starts.record_list(&list, local_now);
    starts.update_offset();
    list.servers.iter().map(|endpoint| local_now - starts.local_start(endpoint, local_now)).collect()
}

/// The uptime of one endpoint.
fn age(starts: &mut StartTimes, id: &str, started: Nanos, local_now: Nanos) -> Nanos {
    ages(starts, &[(id, started)], local_now)[0]
}

#[test]
fn starts_are_unchanged_while_the_clocks_agree() {
    let mut starts = StartTimes::default();
    let ages_s = [0, 1, 12, 3000];
    let names = ["a", "b", "c", "d"];
    let reported: Vec<(&str, Nanos)> =
        names.iter().zip(ages_s).map(|(n, age_s)| (*n, NOW - age_s * SECOND)).collect();
    assert_eq!(ages(&mut starts, &reported, NOW), ages_s.map(|age_s| age_s * SECOND));
    assert_eq!(age(&mut starts, "later", NOW + 8 * SECOND, NOW + 10 * SECOND), 2 * SECOND);
    starts.record_response_date(NOW, NOW + SECOND);
    assert!(!starts.update_offset());
    assert_eq!((starts.ahead(), starts.clock()), (0, StartClock::Own));
}

/// Danger: otherwise an endpoint that has just started would count as warm.
#[test]
fn a_clock_an_hour_off_is_detected_by_the_date_of_a_response() {
    for step in [HOUR, -HOUR] {
        let local = |t: Nanos| t.saturating_add_signed(step);
        let mut starts = StartTimes::default();
        starts.record_response_date(NOW, local(NOW));
        let list = [("cold", NOW - 3 * SECOND), ("warm", NOW - 3000 * SECOND)];
        assert_eq!(ages(&mut starts, &list, local(NOW)), [3 * SECOND, 3000 * SECOND]);
        assert_eq!((starts.ahead(), starts.clock()), (step, StartClock::Discovery));
        starts.record_response_date(NOW + SECOND, local(NOW));
        assert!(!starts.update_offset(), "the same difference is reported only once");
    }
}

/// If responses have no date, endpoints that start while this process runs reveal the error of its clock.
#[test]
fn a_clock_an_hour_off_is_detected_by_new_starts() {
    for step in [HOUR, -HOUR] {
        let local = |t: Nanos| t.saturating_add_signed(step);
        let mut starts = StartTimes::default();
        starts.record_list(&list(&[("old", 0)]), local(NOW));
        let first_seen_at = NOW + 60 * SECOND;
        // It started two seconds ago, but counts as just started: a wrong clock makes endpoints seem colder, never warmer.
        assert_eq!(age(&mut starts, "new", first_seen_at - 2 * SECOND, local(first_seen_at)), 0);
        let second_seen_at = first_seen_at + 30 * SECOND;
        assert_eq!(age(&mut starts, "newer", second_seen_at - SECOND, local(second_seen_at)), 0);
        // A start time that is already known keeps its conversion.
        assert_eq!(age(&mut starts, "new", first_seen_at - 2 * SECOND, local(second_seen_at)), 30 * SECOND);
    }
}

#[test]
fn starts_in_the_future_count_as_now() {
    let mut starts = StartTimes::default();
    assert_eq!(age(&mut starts, "a", NOW + 5 * SECOND, NOW), 0);
}

/// An endpoint that returns after an absence has an old start time, which must not be attributed to the clock.
#[test]
fn one_implausible_start_does_not_affect_other_endpoints() {
    let mut starts = StartTimes::default();
    starts.record_list(&list(&[("old", 0)]), NOW);
    assert_eq!(age(&mut starts, "back", NOW - 3000 * SECOND, NOW + SECOND), 0);
    assert_eq!(starts.ahead(), 0);
    assert_eq!(age(&mut starts, "new", NOW, NOW + 2 * SECOND), 2 * SECOND);
}

/// The list of the tests below: an endpoint that has just started, and one that is warm.
const COLD_AND_WARM: [(&str, Nanos); 2] = [("cold", NOW - 3 * SECOND), ("warm", NOW - 3000 * SECOND)];

/// Guards against a date that is wrong while starts and the own clock are right, and that would make a cold endpoint count as warm.
#[test]
fn a_wrong_date_makes_no_endpoint_older() {
    for step in [HOUR, -HOUR] {
        let mut starts = StartTimes::default();
        starts.record_response_date(NOW.saturating_add_signed(step), NOW);
        let counted = ages(&mut starts, &COLD_AND_WARM, NOW);
        assert!(counted[0] <= 3 * SECOND && counted[1] <= 3000 * SECOND, "{counted:?}");
    }
}

/// Guards against the clock of a single node deciding how old all others count.
#[test]
fn a_start_in_the_future_makes_no_other_endpoint_older() {
    let mut starts = StartTimes::default();
    let [cold, warm] = COLD_AND_WARM;
    let list = [cold, ("stepped", NOW + HOUR as Nanos), warm];
    assert_eq!(ages(&mut starts, &list, NOW), [3 * SECOND, 0, 3000 * SECOND]);
}

#[test]
fn without_any_right_clock_the_middle_one_of_the_starts_is_now() {
    let mut starts = StartTimes::default();
    let behind = NOW - HOUR as Nanos;
    let list = [("a", NOW - 10 * SECOND), ("b", NOW - 600 * SECOND), ("c", NOW - 7000 * SECOND)];
    assert_eq!(ages(&mut starts, &list, behind), [0, 0, 6400 * SECOND]);
    assert_eq!(starts.clock(), StartClock::Starts);
}

/// Guards against ages that stay wrong once a better clock is known: they are told anew.
#[test]
fn a_clock_that_is_heard_later_corrects_what_was_told() {
    let ahead = NOW + HOUR as Nanos;
    let by_date: fn(&mut StartTimes) = |starts| starts.record_response_date(NOW, NOW + HOUR as Nanos);
    let by_control: fn(&mut StartTimes) = |starts| starts.record_control_clock(-HOUR);
    let by_predecessor: fn(&mut StartTimes) = |starts| starts.inherit_offset(HOUR);
    for hear in [by_date, by_control, by_predecessor] {
        let mut starts = StartTimes::default();
        assert_eq!(ages(&mut starts, &COLD_AND_WARM, ahead), [3603 * SECOND, 6600 * SECOND]);
        hear(&mut starts);
        assert!(starts.update_offset(), "they have to be told anew");
        assert_eq!(ages(&mut starts, &COLD_AND_WARM, ahead), [3 * SECOND, 3000 * SECOND]);
    }
}

/// Guards against endpoints that are listed all the time and count as just started once many others have come and gone.
#[test]
fn endpoints_that_stay_listed_keep_their_age_while_others_come_and_go() {
    let mut starts = StartTimes::default();
    let warm = ("warm", NOW - 3000 * SECOND);
    assert_eq!(ages(&mut starts, &[warm], NOW), [3000 * SECOND]);
    for n in 0..25_000 {
        let now = NOW + n * SECOND;
        let mut came = list(&[(&format!("n{n}"), now)]);
        starts.record_list(&came, now);
        came.servers[0].state = EndpointState::Gone;
        starts.record_list(&came, now);
    }
    assert_eq!(ages(&mut starts, &[warm], NOW + 25_000 * SECOND), [28_000 * SECOND]);
}

proptest! {
    /// Guards against cold endpoints that count as warm: with dated responses, whatever this process's clock says, none counts as older
    /// than it is by more than what dates leave open.
    #[test]
    fn no_endpoint_counts_as_older_than_it_is(
        step_s in prop_oneof![-90_000i64..90_000, -40i64..40],
        ages_s in prop::collection::vec(0u64..20_000, 1..12),
        later_s in prop::collection::vec((1u64..40, 0u64..4), 0..8),
    ) {
        let local = |t: Nanos| t.saturating_add_signed(step_s * SECOND as i64);
        let mut starts = StartTimes::default();
        let mut now = NOW;
        starts.record_response_date(now, local(now));
        let names: Vec<String> = (0..ages_s.len()).map(|n| n.to_string()).collect();
        let list: Vec<(&str, Nanos)> =
            names.iter().map(String::as_str).zip(ages_s.iter().map(|age_s| NOW - age_s * SECOND)).collect();
        for (counted, age_s) in ages(&mut starts, &list, local(now)).into_iter().zip(&ages_s) {
            prop_assert!(counted <= (age_s + 2) * SECOND, "{counted} ns instead of {age_s} s");
        }
        for (n, (passed_s, age_s)) in later_s.into_iter().enumerate() {
            now += passed_s * SECOND;
            starts.record_response_date(now, local(now) + SECOND / 2);
            let counted = age(&mut starts, &format!("later-{n}"), now - age_s * SECOND, local(now));
            prop_assert!(counted <= (age_s + 2) * SECOND, "{counted} ns instead of {age_s} s");
        }
    }
}
