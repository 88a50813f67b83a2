//! Tests the precedence of overrides, their expiry, the capacity guard and the history.

use proptest::prelude::*;
use rushquay_overrides::{
    effective_overrides, masked_pins, Effect, EventKind, FleetCapacity, Node, Override, OverrideError,
    OverrideLimits, OverrideRequest, OverrideSet, OverrideStatus, OverrideTime, Scope, SECOND,
};

const NODE: Node<'_> = Node { id: "cache-07", kind: "std-1c", zone: "vadodara" };

fn make_override(id: u64, scope: Scope, effect: Effect, since: u64, until: u64) -> Override {
    let (author, reason) = ("asha".into(), "boiler room".into());
    Override { id, scope, effect, since: since * SECOND, until: until * SECOND, author, reason }
}

fn node() -> Scope {
    Scope::Node("cache-07".into())
}

fn zone() -> Scope {
    Scope::Zone("vadodara".into())
}

fn kind() -> Scope {
    Scope::Kind("std-1c".into())
}

/// Each row holds two conflicting overrides (scope, effect, start and end in seconds) and the expected result at second 10: the end of the
/// time out of service (0: in service), the weight factor, and the status of each override.
#[test]
fn precedence_follows_the_documented_table() {
    use Effect::{Out, Weight};
    use OverrideStatus::{InForce, Masked};
    let table = [
        // Out of service wins over any weight, however narrow the scope of the weight.
        ((zone(), Out, 1, 50), (node(), Weight(0.5), 2, 90), (50, 0.5), [InForce, Masked(1)]),
        ((Scope::All, Out, 1, 90), (node(), Weight(2.0), 2, 50), (90, 2.0), [InForce, Masked(1)]),
        // Two out of service: the later end applies.
        ((node(), Out, 1, 50), (zone(), Out, 2, 90), (90, 1.0), [InForce, InForce]),
        ((node(), Out, 1, 90), (zone(), Out, 2, 50), (90, 1.0), [InForce, InForce]),
        // Two weights: the narrower scope wins, whichever was set first.
        ((node(), Weight(0.5), 1, 50), (kind(), Weight(0.2), 2, 90), (0, 0.5), [InForce, Masked(1)]),
        ((kind(), Weight(0.5), 1, 50), (zone(), Weight(0.2), 2, 90), (0, 0.5), [InForce, Masked(1)]),
        ((zone(), Weight(0.5), 2, 50), (Scope::All, Weight(0.2), 1, 90), (0, 0.5), [InForce, Masked(1)]),
        ((zone(), Weight(0.5), 1, 50), (node(), Weight(0.2), 2, 90), (0, 0.2), [Masked(2), InForce]),
        // Two weights of the same scope: the one set later wins; if set at the same time, the one with the higher number.
        ((node(), Weight(0.5), 1, 50), (node(), Weight(0.2), 2, 90), (0, 0.2), [Masked(2), InForce]),
        ((node(), Weight(0.5), 3, 50), (node(), Weight(0.2), 3, 90), (0, 0.2), [Masked(2), InForce]),
    ];
    for (number, (one, two, (out, factor), expected_statuses)) in table.into_iter().enumerate() {
        let make = |id, (scope, effect, since, until): (Scope, Effect, u64, u64)| {
            make_override(id, scope, effect, since, until)
        };
        let both = [make(1, one), make(2, two)];
        let (imposed, mut statuses) = effective_overrides(both.iter(), &NODE, 10 * SECOND);
        statuses.sort_by_key(|(id, _)| *id);
        assert_eq!(imposed.out.1, out * SECOND, "row {number}");
        assert_eq!(imposed.is_out(OverrideTime::from_unix_nanos(10 * SECOND)), out > 0, "row {number}");
        assert_eq!(imposed.factor(OverrideTime::from_unix_nanos(10 * SECOND)), factor, "row {number}");
        assert_eq!(
            statuses.into_iter().map(|(_, s)| s).collect::<Vec<_>>(),
            expected_statuses,
            "row {number}"
        );
    }
}

/// Of two conflicting weights that expire in either order, the masked one takes effect without a new request.
#[test]
fn a_masked_override_takes_effect_when_the_masking_one_ends() {
    for (upper_ends, later) in [(50, 0.2), (90, 1.0)] {
        let lower_ends = 140 - upper_ends;
        let both = [
            make_override(1, kind(), Effect::Weight(0.2), 1, lower_ends),
            make_override(2, node(), Effect::Weight(0.5), 2, upper_ends),
        ];
        let (imposed, _) = effective_overrides(both.iter(), &NODE, 10 * SECOND);
        let at = |s: u64| imposed.factor(OverrideTime::from_unix_nanos(s * SECOND));
        assert_eq!((at(10), at(49), at(upper_ends), at(90)), (0.5, 0.5, later, 1.0), "upper to {upper_ends}");
    }
}

/// Guards against an override that a later leader, whose clock is behind, takes for one that has not begun.
#[test]
fn an_override_applies_on_a_clock_that_is_behind() {
    let out = make_override(1, node(), Effect::Out, 3600, 5400);
    let pin = Effect::Pinned { class: None, keys: Some("7f*".into()) };
    let pins = [make_override(2, node(), pin.clone(), 3600, 5400), make_override(3, kind(), pin, 3600, 5400)];
    for now_s in [10, 3600, 5399, 5400] {
        let (imposed, _) = effective_overrides([out.clone()].iter(), &NODE, now_s * SECOND);
        assert_eq!(imposed.is_out(OverrideTime::from_unix_nanos(now_s * SECOND)), now_s < 5400, "{now_s}");
        assert_eq!(masked_pins(pins.iter(), now_s * SECOND).len(), usize::from(now_s < 5400), "{now_s}");
    }
}

fn fleet(weights: &[f64]) -> Vec<FleetCapacity> {
    let one = |(i, weight): (usize, &f64)| FleetCapacity {
        id: format!("cache-{i:02}"),
        kind: "std-1c".into(),
        zone: if i % 2 == 0 { "vadodara" } else { "surat" }.into(),
        weight: *weight,
        ready: true,
    };
    weights.iter().enumerate().map(one).collect()
}

fn request(scope: Scope, effect: Effect, until: u64) -> OverrideRequest {
    let (author, reason) = ("asha".into(), "boiler room".into());
    OverrideRequest { scope, effect, until: until * SECOND, author, reason, force: false }
}

#[test]
fn excessive_reduction_is_rejected_with_the_calculation_unless_forced() {
    let mut overrides = OverrideSet::new(OverrideLimits::default());
    let nodes = fleet(&[1.0, 1.0, 2.0]);
    let first = request(Scope::Node("cache-00".into()), Effect::Out, 100);
    overrides.set(first, &nodes, 0, None).expect("a quarter may be taken out");
    let second = request(Scope::Node("cache-01".into()), Effect::Out, 100);
    let rejection = overrides.set(second.clone(), &nodes, 0, None).expect_err("too much");
    let text = rejection.to_string();
    assert!(text.contains("the total weight of all nodes is 4.00: 3.00 (75%) is in service now"), "{text}");
    assert!(
        text.contains("2.00 (50%) would be with this override, and 2.68 (67%) must stay in service"),
        "{text}"
    );
    let forced = overrides.set(OverrideRequest { force: true, ..second }, &nodes, 0, None).expect("forced");
    assert_eq!(overrides.history().next().map(|e| (e.kind, e.what.id)), Some((EventKind::Forced, forced.id)));
    // An override that reduces no capacity is accepted, however little remains.
    overrides
        .set(request(Scope::Node("cache-02".into()), Effect::Weight(1.5), 100), &nodes, 0, None)
        .expect("capacity is not reduced");
    // A weight reduces capacity as well.
    let lower_weight = request(Scope::Node("cache-02".into()), Effect::Weight(0.1), 100);
    assert!(matches!(
        overrides.set(lower_weight, &nodes, 0, None),
        Err(OverrideError::InsufficientCapacity(_))
    ));
}

#[test]
fn fields_are_validated_and_concurrent_changes_are_rejected() {
    let mut overrides = OverrideSet::new(OverrideLimits::default());
    let nodes = fleet(&[1.0; 12]);
    let good = request(Scope::Node("cache-07".into()), Effect::Out, 100);
    let field = |overrides: &mut OverrideSet, request: OverrideRequest| match overrides.set(
        request,
        &nodes,
        50 * SECOND,
        None,
    ) {
        Err(OverrideError::Field(name, _)) => name,
        other => panic!("{other:?}"),
    };
    assert_eq!(field(&mut overrides, OverrideRequest { author: " ".into(), ..good.clone() }), "author");
    assert_eq!(field(&mut overrides, OverrideRequest { reason: String::new(), ..good.clone() }), "reason");
    assert_eq!(field(&mut overrides, OverrideRequest { until: 50 * SECOND, ..good.clone() }), "until");
    assert_eq!(field(&mut overrides, OverrideRequest { until: 50_000 * SECOND, ..good.clone() }), "until");
    assert_eq!(
        field(&mut overrides, OverrideRequest { effect: Effect::Weight(0.0), ..good.clone() }),
        "effect.weight"
    );
    assert_eq!(
        field(&mut overrides, OverrideRequest { effect: Effect::Weight(f64::NAN), ..good.clone() }),
        "effect.weight"
    );
    assert_eq!(
        field(&mut overrides, OverrideRequest { scope: Scope::Zone(String::new()), ..good.clone() }),
        "scope"
    );
    assert_eq!(
        field(&mut overrides, OverrideRequest { scope: Scope::Node("cahce-07".into()), ..good.clone() }),
        "scope.node"
    );
    let seen = overrides.revision();
    let set = overrides.set(good.clone(), &nodes, 50 * SECOND, Some(seen)).expect("set");
    let second = overrides.set(good, &nodes, 50 * SECOND, Some(seen)).expect_err("changed meanwhile");
    assert_eq!(second, OverrideError::Changed { now: seen + 1, expected: seen });
    assert!(matches!(
        overrides.lift(set.id, "ravi", 51 * SECOND, Some(seen)),
        Err(OverrideError::Changed { .. })
    ));
    overrides.lift(set.id, "ravi", 51 * SECOND, None).expect("lifted");
    assert_eq!(overrides.lift(set.id, "ravi", 52 * SECOND, None), Err(OverrideError::Unknown(set.id)));
    let kinds: Vec<_> = overrides.history().map(|e| (e.kind, e.by.as_str())).collect();
    assert_eq!(kinds, [(EventKind::Lifted, "ravi"), (EventKind::Set, "asha")]);
}

#[test]
fn a_pin_needs_one_node_and_the_later_of_two_equal_pins_counts() {
    let mut overrides = OverrideSet::new(OverrideLimits::default());
    let nodes = fleet(&[1.0; 12]);
    let pinned = |class: Option<&str>, keys: Option<&str>| Effect::Pinned {
        class: class.map(str::to_owned),
        keys: keys.map(str::to_owned),
    };
    let on = |id: &str| Scope::Node(id.into());
    for (scope, effect, field) in [
        (Scope::All, pinned(None, Some("a")), "scope"),
        (on("cache-07"), pinned(None, None), "effect.pinned"),
        (on("cache-07"), pinned(None, Some("")), "effect.pinned"),
        (on("cache-07"), pinned(None, Some("a*b")), "effect.pinned.keys"),
    ] {
        let rejection = overrides.set(request(scope, effect.clone(), 100), &nodes, 0, None);
        assert!(
            matches!(&rejection, Err(OverrideError::Field(name, _)) if *name == field),
            "{effect}: {rejection:?}"
        );
    }
    let mut set_pin =
        |id, effect, until| overrides.set(request(on(id), effect, until), &nodes, 0, None).expect("set").id;
    let first = set_pin("cache-01", pinned(Some("read"), Some("boiler-*")), 100);
    let second = set_pin("cache-02", pinned(Some("read"), Some("boiler-*")), 50);
    set_pin("cache-03", pinned(None, Some("boiler-*")), 100);
    let masked = |now| rushquay_overrides::masked_pins(overrides.live(), now * SECOND);
    assert_eq!(masked(10), [(first, second)]);
    assert_eq!(masked(60), []);
    // An endpoint that is out of service gets no requests, pinned or not; the pin is masked.
    let out = overrides.set(request(on("cache-01"), Effect::Out, 100), &nodes, 0, None).expect("set").id;
    let node = Node { id: "cache-01", kind: "k", zone: "z" };
    let (imposed, statuses) = effective_overrides(overrides.live(), &node, SECOND);
    assert_eq!(imposed.pins.len(), 1);
    assert!(statuses.contains(&(first, OverrideStatus::Masked(out))), "{statuses:?}");
}

#[test]
fn history_is_bounded_and_each_expiry_is_announced_once() {
    let mut overrides = OverrideSet::new(OverrideLimits { history: 10, ..OverrideLimits::default() });
    let nodes = fleet(&[1.0; 12]);
    for i in 0..50 {
        let o = overrides
            .set(request(Scope::Node("cache-07".into()), Effect::Weight(0.9), 5000), &nodes, i, None)
            .expect("set");
        assert!(overrides.expiring(SECOND).is_empty());
        overrides.lift(o.id, "asha", i, None).expect("lifted");
    }
    assert_eq!(overrides.history().count(), 10);
    let o = overrides.set(request(Scope::All, Effect::Weight(0.9), 1000), &nodes, 0, None).expect("set");
    assert_eq!(overrides.expiring(401 * SECOND), [o]);
    assert!(overrides.expiring(402 * SECOND).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// An effect computed once at the beginning agrees, at every later second, with one computed anew from the restored set, as long as no
    /// new override is set.
    #[test]
    fn expiry_takes_effect_without_a_new_evaluation(all in prop::collection::vec((0usize..4, 0usize..3, 1u64..9, 0u64..20, 21u64..60), 1..8)) {
        let overrides: Vec<Override> = all
            .iter()
            .enumerate()
            .map(|(i, (scope, effect, tenths, since, until))| {
                let scope = [Scope::All, zone(), kind(), node()][*scope].clone();
                let effect = if *effect == 0 { Effect::Out } else { Effect::Weight(*tenths as f64 / 10.0) };
                make_override(i as u64 + 1, scope, effect, *since, *until)
            })
            .collect();
        let (computed_once, _) = effective_overrides(overrides.iter(), &NODE, 20 * SECOND);
        let mut set = OverrideSet::restore(OverrideLimits::default(), overrides.clone(), Vec::new(), 1, 9);
        for second in 20..61 {
            let now = second * SECOND;
            let at = OverrideTime::from_unix_nanos(now);
            set.expire(now);
            let (fresh, _) = effective_overrides(set.live(), &NODE, now);
            prop_assert_eq!(computed_once.is_out(at), fresh.is_out(at), "out at {}", second);
            prop_assert_eq!(computed_once.factor(at), fresh.factor(at), "factor at {}", second);
            let live: Vec<u64> = overrides.iter().filter(|o| o.until > now).map(|o| o.id).collect();
            prop_assert_eq!(set.live().map(|o| o.id).collect::<Vec<_>>(), live);
        }
        prop_assert_eq!(set.history().count(), overrides.len());
    }
}
