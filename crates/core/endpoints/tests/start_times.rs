//! Converting start times in a process whose wall clock was wrong at startup.

use rushquay_endpoints::{Endpoint, EndpointList, Nanos, StartTimes};

const SECOND: Nanos = 1_000_000_000;
const HOUR: i64 = 3600 * SECOND as i64;
/// The present by discovery's clock, as Unix time.
const NOW: Nanos = 1_800_000_000 * SECOND;

fn endpoints(starts: &[(&str, Nanos)]) -> Vec<Endpoint> {
    let endpoint = |(id, started): &(&str, Nanos)| {
        format!(r#"{{"id":"{id}","state":"ready","started_ms":{}}}"#, started / 1_000_000)
    };
    let servers: Vec<String> = starts.iter().map(endpoint).collect();
    let text = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, servers.join(","));
    serde_json::from_str::<EndpointList>(&text).expect("a list").servers
}

/// The uptime of an endpoint according to its converted start time.
fn age(starts: &mut StartTimes, id: &str, started: Nanos, local_now: Nanos) -> Nanos {
    let mut list = endpoints(&[(id, started)]);
    starts.convert(&mut list, local_now);
    local_now - list[0].started
}

#[test]
fn starts_are_unchanged_while_the_clocks_agree() {
    let mut starts = StartTimes::default();
    let ages_s = [0, 1, 12, 3000];
    let names = ["a", "b", "c", "d"];
    let reported: Vec<(&str, Nanos)> =
        names.iter().zip(ages_s).map(|(n, age_s)| (*n, NOW - age_s * SECOND)).collect();
    let mut list = endpoints(&reported);
    starts.convert(&mut list, NOW);
    assert_eq!(list, endpoints(&reported));
    assert_eq!(age(&mut starts, "later", NOW + 8 * SECOND, NOW + 10 * SECOND), 2 * SECOND);
    assert!(!starts.record_response_date(NOW, NOW + SECOND));
    assert_eq!(starts.ahead(), 0);
}

/// Danger: otherwise an endpoint that has just started would count as warm.
#[test]
fn a_clock_an_hour_off_is_detected_by_the_date_of_a_response() {
    for step in [HOUR, -HOUR] {
        let local = |t: Nanos| t.saturating_add_signed(step);
        let mut starts = StartTimes::default();
        assert!(starts.record_response_date(NOW, local(NOW)));
        let mut list = endpoints(&[("cold", NOW - 3 * SECOND), ("warm", NOW - 3000 * SECOND)]);
        starts.convert(&mut list, local(NOW));
        let ages: Vec<Nanos> = list.iter().map(|m| local(NOW) - m.started).collect();
        assert_eq!(ages, [3 * SECOND, 3000 * SECOND]);
        assert!(
            !starts.record_response_date(NOW + SECOND, local(NOW)),
            "the same difference is reported only once"
        );
    }
}

/// If responses have no date, endpoints that start while this process runs reveal the error of its clock.
#[test]
fn a_clock_an_hour_off_is_detected_by_new_starts() {
    for step in [HOUR, -HOUR] {
        let local = |t: Nanos| t.saturating_add_signed(step);
        let mut starts = StartTimes::default();
        starts.convert(&mut endpoints(&[("old", 0)]), local(NOW));
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
    starts.convert(&mut endpoints(&[("old", 0)]), NOW);
    assert_eq!(age(&mut starts, "back", NOW - 3000 * SECOND, NOW + SECOND), 0);
    assert_eq!(starts.ahead(), 0);
    assert_eq!(age(&mut starts, "new", NOW, NOW + 2 * SECOND), 2 * SECOND);
}
