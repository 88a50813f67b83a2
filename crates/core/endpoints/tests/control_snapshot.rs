//! What a proxy holds by word of the control service goes from process to process, and what the control service says later goes before it.

use proptest::prelude::*;
use rushquay_endpoints::*;
use EndpointState::{Draining, Gone, Ready};

const SECOND: Nanos = 1_000_000_000;
/// A start that discovery's format, in milliseconds, cannot hold exactly.
const ODD_START: Nanos = 1_764_000_000_123_456_789;

fn at(seconds: u64) -> MergeTime {
    MergeTime {
        monotonic: MonotonicTime::from_nanos(seconds * SECOND),
        overrides: OverrideTime::from_unix_nanos(seconds * SECOND),
    }
}

fn node(id: &str, state: EndpointState, started: Nanos) -> Endpoint {
    Endpoint {
        id: id.into(),
        addr: Some("127.0.0.1:80".parse().expect("an address")),
        zone: "rajkot".into(),
        kind: "std-1c".into(),
        cell: 0,
        state,
        weight: 1.0,
        started: StatedStart::from_unix_nanos(started),
    }
}

fn stated(member: Endpoint, list_version: u64, imposed: Imposed) -> SourcedEndpoint {
    SourcedEndpoint { member, list_version, is_from_discovery: list_version > 0, imposed }
}

fn merger() -> EndpointMerger {
    EndpointMerger::new(MergeLimits { hold: 60 * SECOND, remembered: 8 })
}

/// Discovery's list, which each process has from its predecessor or from discovery itself.
fn discovered() -> EndpointList {
    let servers = ["a", "b", "c", "d"].map(|id| node(id, Ready, 0)).to_vec();
    EndpointList { version: 40, full: true, servers }
}

fn out(since: u64, until: u64) -> Imposed {
    Imposed { out: (since * SECOND, until * SECOND), ..Imposed::default() }
}

fn pin(number: u64, until: u64) -> Imposed {
    let pin = Pin { number, until: until * SECOND, class: Some("read".into()), keys: Some("7f*".into()) };
    Imposed { pins: vec![pin], ..Imposed::default() }
}

/// What a proxy acts by.
#[derive(Debug, PartialEq)]
struct ActsBy {
    /// The merged list with the sources of the states.
    nodes: Vec<(Endpoint, Source)>,
    pins: Vec<(String, Pin)>,
}

fn acts_by(merger: &EndpointMerger) -> ActsBy {
    let mut nodes: Vec<_> = merger.nodes().map(|v| (v.member.clone(), v.decided_by)).collect();
    nodes.sort_by(|a, b| a.0.id.cmp(&b.0.id));
    let mut pins: Vec<_> = merger.pins().map(|(id, pin)| (id.to_owned(), pin.clone())).collect();
    pins.sort_by_key(|(id, pin)| (pin.number, id.clone()));
    ActsBy { nodes, pins }
}

/// The successor of a process, given its state as it travels.
fn successor(old: &EndpointMerger, now: MergeTime) -> EndpointMerger {
    let mut new = merger();
    new.apply_list(Source::Configured, &discovered(), now);
    if let Some(snapshot) = old.control_snapshot(Some(&discovered()), now) {
        let travelled = serde_json::to_string(&snapshot).expect("JSON");
        new.inherit_control(serde_json::from_str(&travelled).expect("a snapshot"), now);
    }
    // Discovery repeats its list.
    new.apply_list(Source::Discovery, &discovered(), now);
    new
}

fn old_process(events: &[(u64, &str, WatchEvent)]) -> EndpointMerger {
    let mut old = merger();
    old.apply_list(Source::Discovery, &discovered(), at(0));
    for (second, process, event) in events {
        old.apply_control_event(process, event.clone(), at(*second));
    }
    old
}

fn changed(endpoint: SourcedEndpoint) -> WatchEvent {
    WatchEvent::Changed(vec![endpoint], Vec::new())
}

/// Everything that the control service can have said of an endpoint.
fn everything_said() -> Vec<(u64, &'static str, WatchEvent)> {
    let weights = Imposed { weights: vec![(30 * SECOND, 0.5), (90 * SECOND, 0.25)], ..Imposed::default() };
    let cold = Imposed { cold_after: 5 * SECOND, ..out(1, 20) };
    vec![
        (1, "c1", changed(stated(node("a", Ready, 0), 40, out(1, 50)))),
        (1, "c1", changed(stated(node("b", Ready, 0), 40, weights))),
        (2, "c1", changed(stated(node("c", Draining, 0), 41, Imposed::default()))),
        (2, "c1", changed(stated(node("d", Ready, 0), 40, pin(7, 70)))),
        (3, "c1", changed(stated(node("e", Ready, ODD_START), 0, cold))),
        (3, "c1", changed(stated(node("f", Ready, 5), 0, Imposed::default()))),
        (4, "c1", WatchEvent::Changed(Vec::new(), vec!["f".into()])),
    ]
}

/// Guards against a successor that forgets what the control service has said, while that is away: overrides with their ends, pins, drains
/// that nobody else tells, endpoints that nobody else lists or that it has removed.
#[test]
fn three_processes_in_a_row_act_by_what_the_first_was_told() {
    let mut first = old_process(&everything_said());
    first.mark_lost(Source::Control);
    let mut second = successor(&first, at(5));
    let mut third = successor(&second, at(6));
    let mut fourth = successor(&third, at(7));
    for second_of_time in [8, 19, 20, 29, 30, 49, 50, 69, 70, 89, 90, 200] {
        for merger in [&mut first, &mut second, &mut third, &mut fourth] {
            merger.tick(at(second_of_time));
        }
        let expected = acts_by(&first);
        for merger in [&second, &third, &fourth] {
            assert_eq!(acts_by(merger), expected, "at {second_of_time} s");
        }
    }
    let state_of = |id: &str| first.nodes().find(|v| v.member.id == id).map(|v| v.member.state);
    assert_eq!((state_of("a"), state_of("c"), state_of("f")), (Some(Ready), Some(Draining), None));
}

/// Guards against an override that lives on although the control service has lifted it or no longer lists its endpoint.
#[test]
fn what_the_control_service_says_later_goes_before_what_was_handed_over() {
    let mut new = successor(&old_process(&everything_said()), at(5));
    let state_of = |merger: &EndpointMerger, id: &str| {
        merger.nodes().find(|v| v.member.id == id).map(|v| v.member.state)
    };
    assert_eq!(state_of(&new, "a"), Some(Draining), "in force before the control service is heard");
    // The override of `a` was lifted meanwhile; the drain of `c` is repeated; `e` is not listed any more.
    new.apply_control_event("c1", changed(stated(node("a", Ready, 0), 40, Imposed::default())), at(6));
    new.apply_control_event("c1", changed(stated(node("c", Draining, 0), 41, Imposed::default())), at(6));
    assert_eq!(state_of(&new, "a"), Some(Ready));
    assert!(state_of(&new, "e").is_some(), "more may come on the stream");
    new.confirm_control(at(9));
    assert_eq!((state_of(&new, "c"), state_of(&new, "e")), (Some(Draining), None));
}

/// Guards against a control service that has restarted with an old list and undoes a drain at the successor, as it could not at the
/// predecessor.
#[test]
fn a_restarted_control_service_undoes_no_drain_that_was_handed_over() {
    let old = old_process(&[(1, "c1", changed(stated(node("a", Draining, 0), 43, Imposed::default())))]);
    let mut new = successor(&old, at(2));
    new.apply_control_event("c2", changed(stated(node("a", Ready, 0), 41, Imposed::default())), at(3));
    assert!(new.nodes().any(|v| v.member.id == "a" && v.member.state == Draining));
    new.apply_control_event("c2", changed(stated(node("a", Ready, 0), 44, Imposed::default())), at(4));
    assert!(new.nodes().any(|v| v.member.id == "a" && v.member.state == Ready));
}

/// Guards against an offer that repeats discovery's list.
#[test]
fn what_discovery_says_too_is_not_handed_over_twice() {
    let same = changed(stated(node("a", Ready, 0), 40, Imposed::default()));
    let old = old_process(&[(1, "c1", same), (1, "c1", changed(stated(node("b", Ready, 0), 40, out(1, 9))))]);
    let snapshot = old.control_snapshot(Some(&discovered()), at(2)).expect("something was said");
    assert_eq!(snapshot.statements.len(), 1);
    assert_eq!(merger().control_snapshot(None, at(2)), None, "nothing was said");
}

/// What one event says: second, process, endpoint, state, list version, overrides.
fn event() -> impl Strategy<Value = (u64, bool, usize, usize, u64, usize)> {
    (0..40u64, any::<bool>(), 0..5usize, 0..4usize, 39..43u64, 0..4usize)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any history of one control service and its successor.
    #[test]
    fn a_successor_acts_as_its_predecessor_would(events in prop::collection::vec(event(), 0..30), later in 0..100u64) {
        let mut old = merger();
        old.apply_list(Source::Discovery, &discovered(), at(0));
        let mut now = 0;
        for (second, is_restarted, endpoint, state, version, overrides) in events {
            now = now.max(second);
            let id = ["a", "b", "c", "d", "e"][endpoint];
            let overrides = [Imposed::default(), out(now, now + 9), pin(now, now + 20), out(0, now)][overrides].clone();
            let event = match state {
                3 => WatchEvent::Changed(Vec::new(), vec![id.into()]),
                n => changed(stated(node(id, [Ready, Draining, Gone][n], 0), version, overrides)),
            };
            old.apply_control_event(if is_restarted { "c2" } else { "c1" }, event, at(now));
        }
        old.mark_lost(Source::Control);
        old.apply_list(Source::Discovery, &discovered(), at(now));
        let mut new = successor(&old, at(now));
        prop_assert_eq!(acts_by(&new), acts_by(&old));
        new.tick(at(now + later));
        old.tick(at(now + later));
        prop_assert_eq!(acts_by(&new), acts_by(&old));
    }
}
