//! Checks overrides during random changes of the endpoint list against a simple model of the live overrides and the declared endpoints.

use proptest::prelude::*;
use rushquay_control_state::{ControlConfig, ControlState, ListSource};
use rushquay_endpoints::{EndpointList, EndpointState};
use rushquay_overrides::{
    Effect, Override, OverrideLimits, OverrideRequest, OverrideSet, OverrideTime, Scope, SECOND,
};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    /// An endpoint is added, changes its state or restarts.
    List(usize, bool, u64),
    /// An endpoint is removed.
    Gone(usize),
    /// The full list is sent again.
    Full,
    /// An override is set on an endpoint, a zone or all: out of service or a weight factor in tenths, for a number of seconds.
    Set(usize, u64, u64),
    /// The oldest live override is lifted.
    Lift,
    /// This number of seconds passes.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6usize, any::<bool>(), 0..3u64).prop_map(|(n, ready, start)| Step::List(n, ready, start)),
        2 => (0..6usize).prop_map(Step::Gone),
        1 => Just(Step::Full),
        4 => (0..9usize, 0..4u64, 1..40u64).prop_map(|(scope, tenths, span)| Step::Set(scope, tenths, span)),
        1 => Just(Step::Lift),
        3 => (1..20u64).prop_map(Step::Pass),
    ]
}

fn id(n: usize) -> String {
    format!("cache-{n:02}")
}

fn zone(n: usize) -> &'static str {
    ["rajkot", "surat"][n % 2]
}

fn scope(index: usize) -> Scope {
    match index {
        0..=5 => Scope::Node(id(index)),
        6 => Scope::Zone(zone(0).into()),
        7 => Scope::Zone(zone(1).into()),
        _ => Scope::All,
    }
}

/// The effect on an endpoint by a direct implementation of the precedence of scopes: out of service, and the weight factor.
fn expected_effect(live: &[Override], n: usize, now: u64) -> (bool, f64) {
    let rank = |o: &Override| match &o.scope {
        Scope::Node(name) => (*name == id(n)).then_some(3),
        Scope::Zone(name) => (name == zone(n)).then_some(1),
        Scope::All => Some(0),
        Scope::Kind(_) => None,
    };
    let mut out = false;
    let mut best: Option<(u8, u64, f64)> = None;
    for o in live.iter().filter(|o| o.until > now) {
        let Some(rank) = rank(o) else { continue };
        match o.effect {
            Effect::Out => out = true,
            Effect::Weight(factor) => {
                if best.is_none_or(|(r, id, _)| (rank, o.id) > (r, id)) {
                    best = Some((rank, o.id, factor));
                }
            }
            Effect::Pinned { .. } => {}
        }
    }
    (out, best.map_or(1.0, |b| b.2))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn overrides_are_declared_exactly_while_the_list_changes(steps in prop::collection::vec(step(), 1..60)) {
        let mut control = ControlState::new(ControlConfig::default(), ListSource::Discovery);
        let mut overrides = OverrideSet::new(OverrideLimits { min_weight_in_service: 0.0, ..OverrideLimits::default() });
        let mut list: BTreeMap<usize, (bool, u64)> = [(9, (true, 0))].into();
        let (mut version, mut now) = (1, 1000 * SECOND);
        let member = |n: usize, ready: bool, start: u64| {
            let state = if ready { "ready" } else { "draining" };
            serde_json::json!({"id": id(n), "addr": "127.0.0.1:9", "zone": zone(n), "kind": "k", "state": state,
                               "started_ms": start * 1000})
        };
        let members = |version: u64, full: bool, servers: Vec<serde_json::Value>| -> EndpointList {
            let document = serde_json::json!({"version": version, "full": full, "servers": servers});
            serde_json::from_value(document).expect("a list")
        };
        control.process_list(&members(version, true, vec![member(9, true, 0)]), now);
        let mut model: Vec<Override> = Vec::new();
        for step in steps {
            match step {
                Step::List(n, ready, start) => {
                    version += 1;
                    // The start time of a listed endpoint never decreases.
                    let start = list.get(&n).map_or(start, |(_, s)| start.max(*s));
                    list.insert(n, (ready, start));
                    control.process_list(&members(version, false, vec![member(n, ready, start)]), now);
                }
                Step::Gone(n) => {
                    version += 1;
                    list.remove(&n);
                    let gone = serde_json::json!({"id": id(n), "addr": "", "zone": zone(n), "kind": "k", "state": "gone"});
                    control.process_list(&members(version, false, vec![gone]), now);
                }
                Step::Full => {
                    version += 1;
                    let all = list.iter().map(|(n, (ready, start))| member(*n, *ready, *start)).collect();
                    control.process_list(&members(version, true, all), now);
                }
                Step::Set(scope_index, tenths, span) => {
                    let effect = if tenths == 0 { Effect::Out } else { Effect::Weight(tenths as f64 / 10.0) };
                    let request = OverrideRequest { scope: scope(scope_index), effect, until: now + span * SECOND, author: "a".into(),
                                    reason: "r".into(), force: true };
                    model.push(overrides.set(request, &control.cache_capacities(), now, None).expect("set"));
                }
                Step::Lift => {
                    let first = overrides.live().next().map(|o| o.id);
                    if let Some(first) = first {
                        overrides.lift(first, "b", now, None).expect("lifted");
                        model.retain(|o| o.id != first);
                    }
                }
                Step::Pass(seconds) => {
                    now += seconds * SECOND;
                    overrides.expire(now);
                    model.retain(|o| o.until > now);
                }
            }
            control.set_overrides(overrides.live().cloned().collect(), now, 60 * SECOND);
            // The live overrides are those that were set and neither lifted nor expired.
            prop_assert_eq!(overrides.live().cloned().collect::<Vec<_>>(), model.clone());
            // Each endpoint of the list is declared with the effect of the overrides, and no other endpoint is declared.
            let [declared, _] = control.clusters();
            let listed: Vec<String> = list.keys().map(|n| id(*n)).collect();
            prop_assert_eq!(declared.keys().cloned().collect::<Vec<_>>(), listed);
            for (n, (ready, _)) in &list {
                let endpoint = &declared[&id(*n)];
                let (out, factor) = expected_effect(&model, *n, now);
                prop_assert_eq!(endpoint.imposed.is_out(OverrideTime::from_unix_nanos(now)), out, "{} out", id(*n));
                prop_assert!((endpoint.imposed.factor(OverrideTime::from_unix_nanos(now)) - factor).abs() < 1e-9, "{} factor", id(*n));
                // An override does not undo a drain.
                let state = if *ready { EndpointState::Ready } else { EndpointState::Draining };
                prop_assert_eq!(endpoint.member.state, state);
            }
        }
    }
}
