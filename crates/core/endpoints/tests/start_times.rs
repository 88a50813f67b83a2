//! Start times of endpoints, reported to a process whose wall clock was stepped at startup.

use rushquay_endpoints::{Endpoint, EndpointList, Nanos, StartTimes};

const SECOND: Nanos = 1_000_000_000;
const HOUR: i64 = 3600 * SECOND as i64;
/// Unix time.
const NOW: Nanos = 1_800_000_000 * SECOND;

fn members(told: &[(&str, Nanos)]) -> Vec<Endpoint> {
    let one = |(id, started): &(&str, Nanos)| {
        format!(r#"{{"id":"{id}","state":"ready","started_ms":{}}}"#, started / 1_000_000)
    };
    let servers: Vec<String> = told.iter().map(one).collect();
    let text = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, servers.join(","));
    serde_json::from_str::<EndpointList>(&text).expect("a list").servers
}

/// The uptime of an endpoint by its converted start.
fn age(starts: &mut StartTimes, id: &str, started: Nanos, now_here: Nanos) -> Nanos {
    let mut told = members(&[(id, started)]);
    starts.take(&mut told, now_here);
    now_here - told[0].started
}

#[test]
fn starts_are_unchanged_while_the_clocks_agree() {
    let mut starts = StartTimes::default();
    let agos = [0, 1, 12, 3000];
    let names = ["a", "b", "c", "d"];
    let told: Vec<(&str, Nanos)> = names.iter().zip(agos).map(|(n, ago)| (*n, NOW - ago * SECOND)).collect();
    let mut list = members(&told);
    starts.take(&mut list, NOW);
    assert_eq!(list, members(&told));
    assert_eq!(age(&mut starts, "later", NOW + 8 * SECOND, NOW + 10 * SECOND), 2 * SECOND);
    assert!(!starts.dated(NOW, NOW + SECOND));
    assert_eq!(starts.ahead(), 0);
}

/// Danger: an endpoint that has just started would pass for a warm one.
#[test]
fn a_clock_an_hour_off_is_detected_by_the_date_of_a_response() {
    for step in [HOUR, -HOUR] {
        let here = |t: Nanos| t.saturating_add_signed(step);
        let mut starts = StartTimes::default();
        assert!(starts.dated(NOW, here(NOW)));
        let mut list = members(&[("cold", NOW - 3 * SECOND), ("warm", NOW - 3000 * SECOND)]);
        starts.take(&mut list, here(NOW));
        let ages: Vec<Nanos> = list.iter().map(|m| here(NOW) - m.started).collect();
        assert_eq!(ages, [3 * SECOND, 3000 * SECOND]);
        assert!(!starts.dated(NOW + SECOND, here(NOW)), "said once");
    }
}

/// Without any date: an endpoint that starts while this process runs reveals it.
#[test]
fn a_clock_an_hour_off_is_detected_by_new_starts() {
    for step in [HOUR, -HOUR] {
        let here = |t: Nanos| t.saturating_add_signed(step);
        let mut starts = StartTimes::default();
        starts.take(&mut members(&[("old", 0)]), here(NOW));
        let later = NOW + 60 * SECOND;
        // Reported two seconds late, and taken for a start just now: colder than it is, never warmer.
        assert_eq!(age(&mut starts, "new", later - 2 * SECOND, here(later)), 0);
        let second = later + 30 * SECOND;
        assert_eq!(age(&mut starts, "newer", second - SECOND, here(second)), 0);
        // A start that was reported before is converted as before.
        assert_eq!(age(&mut starts, "new", later - 2 * SECOND, here(second)), 30 * SECOND);
    }
}

#[test]
fn starts_in_the_future_count_as_now() {
    let mut starts = StartTimes::default();
    assert_eq!(age(&mut starts, "a", NOW + 5 * SECOND, NOW), 0);
}

/// One endpoint that was away and comes back, as old as it reports, affects no other.
#[test]
fn one_implausible_start_does_not_affect_other_endpoints() {
    let mut starts = StartTimes::default();
    starts.take(&mut members(&[("old", 0)]), NOW);
    assert_eq!(age(&mut starts, "back", NOW - 3000 * SECOND, NOW + SECOND), 0);
    assert_eq!(starts.ahead(), 0);
    assert_eq!(age(&mut starts, "new", NOW, NOW + 2 * SECOND), 2 * SECOND);
}
