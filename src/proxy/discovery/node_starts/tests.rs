use super::*;
use crate::proxy::process::slow_start::offered_incarnation;
use rushquay_endpoints::{EndpointState, StatedStart};

const HOUR: Nanos = 3600 * SECOND;
/// The present by discovery's clock, as Unix time.
const NOW: Nanos = 1_800_000_000 * SECOND;

fn node(id: &str, started: Nanos) -> Endpoint {
    Endpoint {
        id: id.into(),
        addr: None,
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started: StatedStart::from_unix_nanos(started),
    }
}

fn list(nodes: &[Endpoint]) -> EndpointList {
    EndpointList { version: 1, full: false, servers: nodes.to_vec() }
}

fn ages(starts: &mut NodeStarts, nodes: &[Endpoint], now: Nanos) -> Vec<Nanos> {
    nodes.iter().map(|node| now - starts.listed(node, now).started_at).collect()
}

/// Seconds, rounded: the machine's monotonic clock goes on between two readings.
fn seconds(ages: Vec<Nanos>) -> Vec<Nanos> {
    ages.into_iter().map(|age| (age + SECOND / 2) / SECOND).collect()
}

/// Guards against a successor that has read another wall clock than its predecessor, and takes cold nodes for warm ones.
#[test]
fn a_successor_knows_ages_although_its_clock_was_stepped() {
    let nodes = [node("cold", NOW - 5 * SECOND), node("warm", NOW - 2 * HOUR)];
    for successor_now in [NOW - HOUR, NOW, NOW + HOUR, NOW + 24 * HOUR] {
        for predecessor_now in [NOW, NOW + HOUR] {
            let offsets = ClockOffsets::default();
            let mut old = NodeStarts::default();
            old.record_response_date(NOW, predecessor_now, &offsets);
            old.record_list(&list(&nodes), predecessor_now);
            assert_eq!(seconds(ages(&mut old, &nodes, predecessor_now)), [5, 7200]);
            let clock = old.clock_handover(predecessor_now);
            let mut new = NodeStarts::inherited(Some(&clock), &[], successor_now);
            new.record_list(&list(&nodes), successor_now);
            let counted = seconds(ages(&mut new, &nodes, successor_now));
            assert!(counted[0] <= 5 && (3600..=7200).contains(&counted[1]), "{counted:?}");
        }
    }
}

/// Guards against a node that the predecessor saw starting, and that by every clock started long ago.
#[test]
fn a_successor_takes_a_cold_node_for_as_old_as_its_predecessor_saw_it() {
    let back = node("back", NOW - 3 * HOUR);
    let mut old = NodeStarts::default();
    old.record_list(&list(&[node("other", NOW - HOUR)]), NOW);
    old.record_list(&list(std::slice::from_ref(&back)), NOW + 60 * SECOND);
    let seen = old.listed(&back, NOW + 64 * SECOND);
    assert_eq!(seen.started_at, NOW + 60 * SECOND);
    let allowance = SlowStartAllowance {
        node: server_id("back"),
        started: seen.started_at,
        left: 1.0,
        incarnation: Some(offered_incarnation(seen.incarnation)),
    };
    let clock = old.clock_handover(NOW + 64 * SECOND);
    let mut new = NodeStarts::inherited(Some(&clock), &[allowance], NOW + HOUR);
    assert_eq!(seconds(ages(&mut new, std::slice::from_ref(&back), NOW + HOUR)), [4]);
    // It is another process once it starts anew.
    let anew = node("back", NOW - 2 * HOUR);
    assert_ne!(seconds(ages(&mut new, std::slice::from_ref(&anew), NOW + HOUR)), [4]);
}

/// Guards against the time of a return, which is on the control service's clock, deciding which process of the node is meant.
#[test]
fn a_return_with_a_cold_cache_is_as_old_as_the_control_services_clock_says() {
    let endpoint = node("a", NOW - 2 * HOUR);
    let offsets = ClockOffsets::default();
    let mut starts = NodeStarts::default();
    let mut control = Skew::default();
    control.add_measurement(HOUR as i64, SECOND, 0);
    starts.record_control_clock(control, &offsets);
    let returned = OverrideTime::from_unix_nanos(NOW + HOUR - 7 * SECOND);
    let listed = starts.listed_with(&endpoint, Some(returned), NOW);
    assert_eq!(NOW - listed.started_at, 7 * SECOND);
    assert_ne!(listed.incarnation, starts.listed(&endpoint, NOW).incarnation);
    assert_eq!(offsets.control.get(), 3_600_000);
}
