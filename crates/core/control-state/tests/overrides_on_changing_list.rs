//! Overrides through random changes of the list, against a plain model: what is declared of each node, and what is listed.

use proptest::prelude::*;
use rushquay_control_state::{ControlConfig, ControlState, Origin};
use rushquay_endpoints::{EndpointList, EndpointState};
use rushquay_overrides::{Effect, Override, OverrideLimits, OverrideRequest, OverrideSet, Scope, SECOND};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    /// A node comes, changes its state or starts anew.
    List(usize, bool, u64),
    /// It leaves.
    Gone(usize),
    /// The whole list is told again.
    Whole,
    /// An override for so many seconds: on a node, on a zone or on all; out or a factor.
    Set(usize, u64, u64),
    /// The oldest that is live is lifted.
    Lift,
    /// Seconds pass.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6usize, any::<bool>(), 0..3u64).prop_map(|(n, ready, start)| Step::List(n, ready, start)),
        2 => (0..6usize).prop_map(Step::Gone),
        1 => Just(Step::Whole),
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

fn scope(of: usize) -> Scope {
    match of {
        0..=5 => Scope::Node(id(of)),
        6 => Scope::Zone(zone(0).into()),
        7 => Scope::Zone(zone(1).into()),
        _ => Scope::All,
    }
}

/// What stands on a node, by the plainest reading of the table of precedence.
fn stands(live: &[Override], n: usize, now: u64) -> (bool, f64) {
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
    fn what_is_declared_is_what_stands_whatever_the_list_does(steps in prop::collection::vec(step(), 1..60)) {
        let mut control = ControlState::new(ControlConfig::default(), Origin::Discovery);
        let mut book = OverrideSet::new(OverrideLimits { stay: 0.0, ..OverrideLimits::default() });
        let mut list: BTreeMap<usize, (bool, u64)> = [(9, (true, 0))].into();
        let (mut version, mut now) = (1, 1000 * SECOND);
        let member = |n: usize, ready: bool, start: u64| {
            let state = if ready { "ready" } else { "draining" };
            serde_json::json!({"id": id(n), "addr": "127.0.0.1:9", "zone": zone(n), "kind": "k", "state": state,
                               "started_ms": start * 1000})
        };
        let members = |version: u64, full: bool, servers: Vec<serde_json::Value>| -> EndpointList {
            let told = serde_json::json!({"version": version, "full": full, "servers": servers});
            serde_json::from_value(told).expect("a list")
        };
        control.list(&members(version, true, vec![member(9, true, 0)]), now);
        let mut model: Vec<Override> = Vec::new();
        for step in steps {
            match step {
                Step::List(n, ready, start) => {
                    version += 1;
                    // A process does not become an earlier one.
                    let start = list.get(&n).map_or(start, |(_, s)| start.max(*s));
                    list.insert(n, (ready, start));
                    control.list(&members(version, false, vec![member(n, ready, start)]), now);
                }
                Step::Gone(n) => {
                    version += 1;
                    list.remove(&n);
                    let gone = serde_json::json!({"id": id(n), "addr": "", "zone": zone(n), "kind": "k", "state": "gone"});
                    control.list(&members(version, false, vec![gone]), now);
                }
                Step::Whole => {
                    version += 1;
                    let all = list.iter().map(|(n, (ready, start))| member(*n, *ready, *start)).collect();
                    control.list(&members(version, true, all), now);
                }
                Step::Set(of, tenths, span) => {
                    let effect = if tenths == 0 { Effect::Out } else { Effect::Weight(tenths as f64 / 10.0) };
                    let ask = OverrideRequest { scope: scope(of), effect, until: now + span * SECOND, author: "a".into(),
                                    reason: "r".into(), force: true };
                    model.push(book.set(ask, &control.fleet(), now, None).expect("set"));
                }
                Step::Lift => {
                    let first = book.live().next().map(|o| o.id);
                    if let Some(first) = first {
                        book.lift(first, "b", now, None).expect("lifted");
                        model.retain(|o| o.id != first);
                    }
                }
                Step::Pass(seconds) => {
                    now += seconds * SECOND;
                    book.expire(now);
                    model.retain(|o| o.until > now);
                }
            }
            control.impose(book.live().cloned().collect(), now, 60 * SECOND);
            // Listed: exactly those that were set, not lifted and not over.
            prop_assert_eq!(book.live().cloned().collect::<Vec<_>>(), model.clone());
            // Declared: on each node that the list names, and on no other.
            let [declared, _] = control.clusters();
            let named: Vec<String> = list.keys().map(|n| id(*n)).collect();
            prop_assert_eq!(declared.keys().cloned().collect::<Vec<_>>(), named);
            for (n, (ready, _)) in &list {
                let told = &declared[&id(*n)];
                let (out, factor) = stands(&model, *n, now);
                prop_assert_eq!(told.imposed.is_out(now), out, "{} out", id(*n));
                prop_assert!((told.imposed.factor(now) - factor).abs() < 1e-9, "{} factor", id(*n));
                // An override undoes no drain.
                let state = if *ready { EndpointState::Ready } else { EndpointState::Draining };
                prop_assert_eq!(told.member.state, state);
            }
        }
    }
}
