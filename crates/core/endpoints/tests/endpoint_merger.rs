//! Merging the lists of several sources, with restarts, outdated lists and outages.

use proptest::prelude::*;
use rushquay_endpoints::*;

const SECOND: Nanos = 1_000_000_000;

/// The same time on both clocks.
fn at(nanos: Nanos) -> MergeTime {
    at_both(nanos, nanos)
}

/// Times in nanoseconds on this process's clock and on the control service's.
fn at_both(monotonic: Nanos, overrides: Nanos) -> MergeTime {
    MergeTime {
        monotonic: MonotonicTime::from_nanos(monotonic),
        overrides: OverrideTime::from_unix_nanos(overrides),
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

fn list(version: u64, full: bool, servers: &[Endpoint]) -> EndpointList {
    EndpointList { version, full, servers: servers.to_vec() }
}

fn sourced(member: Endpoint, listed: u64) -> SourcedEndpoint {
    SourcedEndpoint { member, list_version: listed, is_from_discovery: true, imposed: Default::default() }
}

fn state(m: &EndpointMerger, id: &str) -> Option<EndpointState> {
    m.nodes().find(|v| v.member.id == id).map(|v| v.member.state)
}

use EndpointState::{Draining, Gone, Ready};

fn merger() -> EndpointMerger {
    EndpointMerger::new(MergeLimits { hold: 60 * SECOND, remembered: 8 })
}

/// Both sources list `a` as ready; the control service as process `c1`, from discovery's list 40.
fn both_sources() -> EndpointMerger {
    let mut m = merger();
    m.apply_list(Source::Discovery, &list(40, true, &[node("a", Ready, 7)]), at(0));
    m.apply_control_event("c1", WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 40)], vec![]), at(0));
    m
}

#[test]
fn the_more_restrictive_source_wins() {
    for (by_control, by_discovery) in [(Draining, Ready), (Ready, Draining), (Gone, Ready), (Ready, Gone)] {
        let mut m = both_sources();
        m.apply_list(Source::Discovery, &list(41, false, &[node("a", by_discovery, 7)]), at(1));
        m.apply_control_event(
            "c1",
            WatchEvent::Changed(vec![sourced(node("a", by_control, 7), 41)], vec![]),
            at(1),
        );
        let strictest = by_control.max(by_discovery);
        assert_eq!(state(&m, "a"), Some(strictest).filter(|s| *s != Gone), "{by_control:?} {by_discovery:?}");
    }
}

#[test]
fn an_endpoint_gets_requests_only_while_a_list_names_it() {
    let mut m = both_sources();
    assert!(
        m.apply_control_event(
            "c1",
            WatchEvent::Changed(vec![sourced(node("b", Ready, 1), 41)], vec![]),
            at(1)
        )
        .upserts
        .len()
            == 1
    );
    assert_eq!(state(&m, "b"), Some(Ready), "listed by the control service");
    let changes = m.apply_control_event("c1", WatchEvent::Changed(vec![], vec!["b".into()]), at(2));
    assert_eq!((changes.gone.len(), state(&m, "b")), (1, None));
    // An outdated list of discovery still contains the removed incarnation.
    m.apply_list(Source::Discovery, &list(42, false, &[node("b", Ready, 1)]), at(3));
    assert_eq!(state(&m, "b"), None);
    // It returns as a new incarnation.
    m.apply_list(Source::Discovery, &list(43, false, &[node("b", Ready, 9)]), at(4));
    assert_eq!(state(&m, "b"), Some(Ready));
}

#[test]
fn statements_about_an_older_incarnation_do_not_apply_to_a_newer_one() {
    let mut m = both_sources();
    m.apply_control_event(
        "c1",
        WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 41)], vec![]),
        at(1),
    );
    m.apply_list(Source::Discovery, &list(42, false, &[node("a", Ready, 8)]), at(2));
    assert_eq!(state(&m, "a"), Some(Ready));
    // Repeating the older statement changes nothing.
    m.apply_control_event(
        "c1",
        WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 41)], vec![]),
        at(3),
    );
    assert_eq!(state(&m, "a"), Some(Ready));
}

#[test]
fn a_restarted_control_service_with_an_old_list_does_not_undo_a_drain() {
    let mut m = both_sources();
    m.apply_control_event(
        "c1",
        WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 43)], vec![]),
        at(1),
    );
    m.mark_lost(Source::Control);
    // Restarted without state, it reads an instance of discovery that still serves list 41, like this process's own.
    m.apply_control_event("c2", WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 41)], vec![]), at(2));
    assert_eq!(state(&m, "a"), Some(Draining));
    m.confirm_control(at(2));
    m.apply_control_event("c2", WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 41)], vec![]), at(3));
    assert_eq!(state(&m, "a"), Some(Draining), "repeating the statement does not confirm it");
    // A list from after the drain is accepted.
    m.apply_control_event("c2", WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 44)], vec![]), at(4));
    assert_eq!(state(&m, "a"), Some(Ready));
}

#[test]
fn repeated_restarts_with_versions_starting_over_do_not_undo_a_drain_before_the_hold_ends() {
    let mut m = both_sources();
    m.apply_control_event(
        "c1",
        WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 43)], vec![]),
        at(SECOND),
    );
    for process in ["c2", "c3"] {
        m.apply_control_event(
            process,
            WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 1)], vec![]),
            at(2 * SECOND),
        );
        assert_eq!(state(&m, "a"), Some(Draining));
    }
    assert!(m.tick(at(60 * SECOND)).is_empty());
    assert_eq!(m.tick(at(61 * SECOND)).upserts.len(), 1);
    assert_eq!(state(&m, "a"), Some(Ready));
}

/// Guards against a step of the control service's clock ending or prolonging the time for which a drain is kept.
#[test]
fn a_step_of_the_control_services_clock_does_not_change_how_long_a_drain_is_kept() {
    const HOUR: Nanos = 3_600 * SECOND;
    for clock in [0, 2 * HOUR, 9 * HOUR] {
        let mut m = both_sources();
        m.apply_control_event(
            "c1",
            WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 43)], vec![]),
            at_both(SECOND, 4 * HOUR),
        );
        m.apply_control_event(
            "c2",
            WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 1)], vec![]),
            at_both(2 * SECOND, clock),
        );
        assert_eq!(state(&m, "a"), Some(Draining), "withdrawn at once after a step to {clock}");
        assert!(m.tick(at_both(60 * SECOND, clock)).is_empty(), "withdrawn too soon after a step to {clock}");
        m.tick(at_both(61 * SECOND, clock));
        assert_eq!(state(&m, "a"), Some(Ready), "kept for too long after a step to {clock}");
    }
}

/// Guards against removals being forgotten when the control service's clock steps.
#[test]
fn a_step_of_the_control_services_clock_does_not_forget_a_removal() {
    const HOUR: Nanos = 3_600 * SECOND;
    let mut m = both_sources();
    m.apply_control_event("c1", WatchEvent::Changed(vec![], vec!["a".into()]), at_both(SECOND, HOUR));
    m.tick(at_both(2 * SECOND, 9 * HOUR));
    m.apply_list(Source::Discovery, &list(41, true, &[node("a", Ready, 7)]), at_both(3 * SECOND, 9 * HOUR));
    assert_eq!(state(&m, "a"), None);
}

#[test]
fn the_process_that_drained_may_withdraw_the_drain() {
    let mut m = both_sources();
    m.apply_control_event("c1", WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 0)], vec![]), at(1));
    m.mark_lost(Source::Control);
    m.apply_control_event("c1", WatchEvent::Changed(vec![sourced(node("a", Ready, 7), 0)], vec![]), at(2));
    assert_eq!(state(&m, "a"), Some(Ready));
}

#[test]
fn an_outdated_control_service_does_not_remove_newer_endpoints() {
    let mut m = both_sources();
    m.apply_list(Source::Discovery, &list(45, false, &[node("new", Ready, 9)]), at(1));
    m.apply_control_event("c1", WatchEvent::Changed(vec![sourced(node("new", Ready, 9), 45)], vec![]), at(1));
    // A different process that has been suspended since list 30 resumes.
    m.apply_control_event("old", WatchEvent::Changed(vec![], vec!["new".into()]), at(2));
    assert_eq!(state(&m, "new"), Some(Ready));
    // The process whose view is continuous can remove it.
    m.apply_control_event("c1", WatchEvent::Changed(vec![sourced(node("new", Ready, 9), 45)], vec![]), at(3));
    m.apply_control_event("c1", WatchEvent::Changed(vec![], vec!["new".into()]), at(4));
    assert_eq!(state(&m, "new"), None);
}

#[test]
fn a_drain_survives_another_process_that_omits_the_endpoint() {
    let mut m = both_sources();
    m.apply_control_event(
        "c1",
        WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 43)], vec![]),
        at(1),
    );
    m.apply_control_event("c2", WatchEvent::Changed(vec![], vec!["a".into()]), at(2));
    assert_eq!(state(&m, "a"), Some(Draining));
}

#[test]
fn statements_confirmed_by_a_new_process_may_be_removed_by_it() {
    let mut m = both_sources();
    m.apply_control_event("c2", WatchEvent::Changed(vec![], vec![]), at(1));
    m.confirm_control(at(1));
    m.apply_control_event("c2", WatchEvent::Changed(vec![], vec!["a".into()]), at(2));
    assert_eq!(state(&m, "a"), None, "removed by the process that had confirmed it");
}

#[test]
fn losing_the_control_service_changes_nothing_and_newer_statements_replace_its_own() {
    let mut m = both_sources();
    m.apply_control_event(
        "c1",
        WatchEvent::Changed(
            vec![sourced(node("a", Draining, 7), 43), sourced(node("b", Ready, 1), 43)],
            vec![],
        ),
        at(1),
    );
    let before: Vec<Endpoint> = m.nodes().map(|v| v.member.clone()).collect();
    assert!(m.apply_control_event("c1", WatchEvent::Lost, at(2)).is_empty());
    assert_eq!(m.nodes().map(|v| v.member.clone()).collect::<Vec<_>>(), before, "no flap");
    m.apply_list(Source::Discovery, &list(42, false, &[node("a", Ready, 7)]), at(3));
    assert_eq!(state(&m, "a"), Some(Draining), "older than the drain");
    m.apply_list(Source::Discovery, &list(44, false, &[node("a", Ready, 7)]), at(4));
    assert_eq!(
        state(&m, "a"),
        Some(Ready),
        "newer than the drain, and the source of the drain is unreachable"
    );
}

#[test]
fn configured_endpoints_are_used_until_discovery_responds() {
    let mut m = merger();
    m.apply_list(Source::Configured, &list(3, true, &[node("a", Ready, 0), node("b", Ready, 0)]), at(0));
    assert_eq!(m.nodes().count(), 2);
    m.apply_list(Source::Discovery, &list(9, true, &[node("a", Ready, 0)]), at(1));
    assert_eq!((state(&m, "a"), state(&m, "b")), (Some(Ready), None));
}

#[test]
fn addresses_come_from_discovery_and_weights_from_the_control_service() {
    let mut m = both_sources();
    let from_control = Endpoint {
        addr: Some("127.9.9.9:1".parse().expect("an address")),
        weight: 0.25,
        ..node("a", Ready, 7)
    };
    m.apply_control_event("c1", WatchEvent::Changed(vec![sourced(from_control, 41)], vec![]), at(1));
    let a = m.nodes().next().expect("a node").member.clone();
    assert_eq!((a.addr, a.weight), (node("a", Ready, 7).addr, 0.25));
}

#[test]
fn remembered_endpoints_are_bounded() {
    let mut m = merger();
    for i in 0..1000u64 {
        let id = format!("n{i}");
        m.apply_control_event(
            "c1",
            WatchEvent::Changed(vec![sourced(node(&id, Ready, 1), i + 1)], vec![]),
            at(i),
        );
        m.apply_control_event("c1", WatchEvent::Changed(vec![], vec![id]), at(i));
    }
    // The oldest are evicted, so that discovery may list them again.
    m.apply_list(
        Source::Discovery,
        &list(1, true, &[node("n0", Ready, 1), node("n999", Ready, 1)]),
        at(2000),
    );
    assert_eq!((state(&m, "n0"), state(&m, "n999")), (Some(Ready), None));
}

#[derive(Clone, Debug)]
enum Step {
    Discovery(u64, bool, Vec<(u8, u8, u8)>),
    Control(u8, Vec<(u8, u8, u8)>, Vec<u8>),
    Lost,
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    let nodes = || prop::collection::vec((0u8..4, 0u8..3, 0u8..3), 0..4);
    prop_oneof![
        (1u64..50, any::<bool>(), nodes()).prop_map(|(v, f, n)| Step::Discovery(v, f, n)),
        (0u8..3, nodes(), prop::collection::vec(0u8..4, 0..2)).prop_map(|(c, n, r)| Step::Control(c, n, r)),
        Just(Step::Lost),
        Just(Step::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Applying the reported changes yields the merged list, which contains only endpoints that a source has listed.
    #[test]
    fn changes_add_up_to_the_merged_list(steps in prop::collection::vec(step(), 1..60)) {
        let members = |nodes: Vec<(u8, u8, u8)>| nodes.into_iter().map(|(id, state, started)| {
            node(&id.to_string(), [Ready, Draining, Gone][state as usize], u64::from(started))
        });
        let (mut m, mut from_changes, mut named) = (merger(), std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
        for (i, step) in steps.into_iter().enumerate() {
            let now = i as Nanos * 5 * SECOND;
            let changes = match step {
                Step::Discovery(version, full, nodes) => {
                    let servers: Vec<Endpoint> = members(nodes).collect();
                    named.extend(servers.iter().map(|m| m.id.clone()));
                    m.apply_list(Source::Discovery, &EndpointList { version, full, servers }, at(now))
                }
                Step::Control(process, nodes, gone) => {
                    let all: Vec<SourcedEndpoint> = members(nodes).map(|m| sourced(m, i as u64)).collect();
                    named.extend(all.iter().map(|s| s.member.id.clone()));
                    let gone = gone.iter().map(u8::to_string).collect();
                    m.apply_control_event(&process.to_string(), WatchEvent::Changed(all, gone), at(now))
                }
                Step::Lost => { m.mark_lost(Source::Control); Changes::default() }
                Step::Tick => m.tick(at(now)),
            };
            for gone in changes.gone { from_changes.remove(&gone.id); }
            for new in changes.upserts { from_changes.insert(new.id.clone(), new); }
            let merged: std::collections::BTreeMap<String, Endpoint> =
                m.nodes().map(|v| (v.member.id.clone(), v.member.clone())).collect();
            prop_assert_eq!(&from_changes, &merged);
            prop_assert!(merged.iter().all(|(id, m)| named.contains(id) && m.state != Gone));
        }
    }
}

/// Overrides apply and end by the clock alone, regardless of the list, and do not end a drain.
#[test]
fn overrides_expire_without_the_control_service_and_only_restrict() {
    use rushquay_endpoints::Imposed;
    const S: u64 = 1_000_000_000;
    let mut merge = EndpointMerger::new(MergeLimits::default());
    let list = |state: &str| -> EndpointList {
        let text = format!(
            r#"{{"version":1,"full":true,"servers":[{{"id":"a","addr":"127.0.0.1:1","state":"{state}","weight":2}}]}}"#
        );
        serde_json::from_str(&text).expect("a list")
    };
    let sourced = |imposed: Imposed| SourcedEndpoint {
        member: list("ready").servers[0].clone(),
        list_version: 1,
        is_from_discovery: true,
        imposed,
    };
    merge.apply_list(Source::Discovery, &list("ready"), at(S));
    let imposed = Imposed {
        out: (S, 100 * S),
        weights: vec![(50 * S, 0.5), (200 * S, 0.25)],
        cold_after: 60 * S,
        ..Imposed::default()
    };
    let changes = merge.apply_control_event("one", WatchEvent::Whole(vec![sourced(imposed)]), at(2 * S));
    let first_upsert = |changes: &rushquay_endpoints::Changes| {
        changes.upserts.first().map(|m| (m.state, m.weight, m.started.unix_nanos()))
    };
    assert_eq!(first_upsert(&changes), Some((EndpointState::Draining, 1.0, 0)));
    // The control service is unreachable from here on.
    merge.mark_lost(Source::Control);
    assert!(merge.tick(at(49 * S)).is_empty());
    assert_eq!(first_upsert(&merge.tick(at(50 * S))), Some((EndpointState::Draining, 0.5, 0)));
    // A new list and a restart of the endpoint do not end the override.
    let mut restarted = list("ready");
    restarted.servers[0].started = StatedStart::from_unix_nanos(70 * S);
    merge.apply_list(Source::Discovery, &restarted, at(71 * S));
    assert!(merge.nodes().all(|v| v.member.state == EndpointState::Draining));
    // In service again after 99 s, with a cold cache and therefore a slow start.
    // The return is on the control service's clock, and the start on that of whoever stated it.
    let returned_at = |merge: &EndpointMerger| merge.node("a").and_then(|view| view.cold_return_at);
    assert_eq!(returned_at(&merge), None);
    let return_time = Some(OverrideTime::from_unix_nanos(100 * S));
    assert_eq!(first_upsert(&merge.tick(at(100 * S))), Some((EndpointState::Ready, 0.5, 70 * S)));
    assert_eq!(returned_at(&merge), return_time);
    assert_eq!(first_upsert(&merge.tick(at(200 * S))), Some((EndpointState::Ready, 2.0, 70 * S)));
    assert_eq!(returned_at(&merge), return_time);
    // The end of an override does not make a draining endpoint ready.
    let mut merge = EndpointMerger::new(MergeLimits::default());
    merge.apply_list(Source::Discovery, &list("draining"), at(S));
    let short_outage = Imposed { out: (S, 9 * S), ..Imposed::default() };
    merge.apply_control_event("one", WatchEvent::Whole(vec![sourced(short_outage)]), at(2 * S));
    merge.tick(at(10 * S));
    assert!(merge.nodes().all(|v| v.member.state == EndpointState::Draining));
}

/// Guards against overrides staying ineffective after the control service's clock was ahead for a time.
#[test]
fn overrides_follow_the_control_services_clock_forward_and_back() {
    use rushquay_endpoints::Imposed;
    let end = 1_800 * SECOND;
    let out = Imposed { out: (0, end), cold_after: 600 * SECOND, ..Imposed::default() };
    let half = Imposed { weights: vec![(end, 0.5)], ..Imposed::default() };
    for imposed in [out, half] {
        let restricted = |m: &EndpointMerger| {
            let a = m.nodes().next().expect("a node").member;
            a.state == Draining || a.weight < 1.0
        };
        let entry = SourcedEndpoint { imposed, ..sourced(node("a", Ready, 7), 40) };
        // By how much the clock is ahead for a time: up to more than the duration of the override.
        for ahead in [0, 60, 600, 3_700, 7_200, 0] {
            let ahead = ahead * SECOND;
            let mut m = both_sources();
            m.tick(at_both(SECOND, SECOND + ahead));
            m.apply_control_event(
                "c2",
                WatchEvent::Changed(vec![entry.clone()], vec![]),
                at_both(2 * SECOND, 2 * SECOND),
            );
            assert!(restricted(&m), "clock {ahead} ns ahead before the override arrives");
            // The override ends while the clock is ahead of its end, and applies again once the clock is back.
            m.tick(at_both(3 * SECOND, 3 * SECOND + ahead));
            assert_eq!(restricted(&m), 3 * SECOND + ahead < end, "clock {ahead} ns ahead");
            m.apply_list(Source::Discovery, &list(41, false, &[]), at_both(4 * SECOND, 4 * SECOND));
            assert!(restricted(&m), "clock {ahead} ns ahead before a list of discovery");
            m.tick(at_both(5 * SECOND, 5 * SECOND + ahead));
            m.tick(at_both(6 * SECOND, 6 * SECOND));
            assert!(restricted(&m), "clock {ahead} ns ahead before a tick");
            m.tick(at_both(end, end));
            assert!(!restricted(&m), "still restricted after the end");
        }
    }
}

/// Guards against a node whose new process states a smaller start, after its clock was stepped back, and whose drains and removals are ignored
/// while a source still knows the process before.
#[test]
fn a_later_list_holds_although_it_states_a_smaller_start() {
    for (restricted, expected) in [(Draining, Some(Draining)), (Gone, None)] {
        let mut m = both_sources();
        m.apply_list(Source::Discovery, &list(41, false, &[node("a", Ready, 3)]), at(1));
        assert_eq!(state(&m, "a"), Some(Ready));
        m.apply_list(Source::Discovery, &list(42, false, &[node("a", restricted, 3)]), at(2));
        assert_eq!(state(&m, "a"), expected);
        // Told by the control service alone, also by one that has restarted since.
        for process in ["c1", "c2"] {
            let mut m = both_sources();
            let event = WatchEvent::Changed(vec![sourced(node("a", restricted, 3), 42)], vec![]);
            m.apply_control_event(process, event, at(2));
            assert_eq!(state(&m, "a"), expected, "{process}");
        }
    }
}

/// A list that is not later says nothing against a newer process.
#[test]
fn an_earlier_list_with_a_smaller_start_restricts_nothing() {
    let mut m = both_sources();
    m.apply_list(Source::Discovery, &list(41, false, &[node("a", Ready, 9)]), at(1));
    let stale = WatchEvent::Changed(vec![sourced(node("a", Draining, 7), 40)], vec![]);
    m.apply_control_event("c2", stale, at(2));
    assert_eq!(state(&m, "a"), Some(Ready));
}

/// Guards against restrictions of the configured list that hold although discovery's changes have withdrawn them.
#[test]
fn discoverys_changes_replace_what_the_configured_list_says() {
    let mut m = merger();
    m.apply_list(Source::Configured, &list(40, true, &[node("a", Draining, 7), node("b", Ready, 7)]), at(0));
    m.apply_list(Source::Discovery, &list(41, false, &[node("a", Ready, 3), node("b", Draining, 3)]), at(1));
    assert_eq!((state(&m, "a"), state(&m, "b")), (Some(Ready), Some(Draining)));
}
