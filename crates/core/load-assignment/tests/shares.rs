//! Compares the shares of the load with a simple and slow reference calculation written from Envoy's documentation ("Priority
//! levels", "Degraded endpoints", "Panic threshold", "Locality weighted load balancing").

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_load_assignment::effective::{effective, Sharing};
use rushquay_load_assignment::*;
use std::num::NonZeroU32;
use support::{endpoint, locality};

const STATES: [Health; 4] = [Health::Healthy, Health::Degraded, Health::Unhealthy, Health::Draining];

/// Priority, locality weight, and each endpoint's health and weight.
type DeclaredLocality = (u8, Option<u32>, Vec<(usize, u32)>);
type Declaration = Vec<DeclaredLocality>;

fn declaration() -> impl Strategy<Value = Declaration> {
    let weight = prop_oneof![Just(1u32), Just(u32::MAX / 40), 1u32..100];
    let endpoint = (0usize..4, weight);
    let locality = (0u8..4, prop::option::of(1u32..50), prop::collection::vec(endpoint, 0..7));
    prop::collection::vec(locality, 0..6)
}

fn assignment(declared: &Declaration, factor: u32) -> Assignment {
    let declared_locality = |(l, (priority, weight, endpoints)): (usize, &DeclaredLocality)| {
        let declared_endpoint = |(e, (health, weight)): (usize, &(usize, u32))| {
            let addr = format!("127.{}.{l}.{}:80", e / 250, e % 250 + 1);
            endpoint(&format!("{l}-{e}"), &addr, *weight, STATES[*health])
        };
        let endpoints = endpoints.iter().enumerate().map(declared_endpoint).collect();
        let weight = weight.and_then(NonZeroU32::new);
        Locality { weight, ..locality(&format!("z{l}"), *priority, endpoints) }
    };
    let rules = Rules { overprovisioning: factor, ..Rules::default() };
    Assignment::new(declared.iter().enumerate().map(declared_locality).collect(), rules)
        .expect("valid assignment")
}

/// Returns the share of each endpoint in order, computed step by step as the documentation describes it.
fn reference_shares(declared: &Declaration, factor: u32, panic: f64, by_locality: bool) -> Vec<f64> {
    let all: Vec<(usize, u8, Option<u32>, usize, u32)> = declared
        .iter()
        .enumerate()
        .flat_map(|(l, (p, lw, es))| es.iter().map(move |(h, w)| (l, *p, *lw, *h, *w)))
        .collect();
    let priority_count = declared.iter().map(|t| t.0).max().map_or(0, |p| p + 1);
    let count = |p: u8, h: &[usize]| all.iter().filter(|e| e.1 == p && h.contains(&e.3)).count() as u64;
    // "health = 140 x healthy / all, at most 100"; computed separately for degraded endpoints.
    let health = |p: u8, health_index: usize| match count(p, &[0, 1, 2, 3]) {
        0 => 0,
        n => (u64::from(factor) * count(p, &[health_index]) / n).min(100),
    };
    let total = (0..priority_count).map(|p| health(p, 0) + health(p, 1)).sum::<u64>().min(100);
    let (mut healthy, mut degraded) = (vec![0u64; priority_count.into()], vec![0u64; priority_count.into()]);
    {
        // "load to P0 = min(100, health(P0) x 100 / total); load to P1 = min(100 - load of the priorities before, ...)".
        let mut assigned = 0;
        for health_index in [0, 1] {
            for p in 0..priority_count {
                let load =
                    (health(p, health_index) * 100).checked_div(total).unwrap_or(0).min(100 - assigned);
                assigned += load;
                if health_index == 0 {
                    healthy[usize::from(p)] = load;
                } else {
                    degraded[usize::from(p)] = load;
                }
            }
        }
        let first = |health_index| (0..priority_count).find(|p| health(*p, health_index) > 0);
        match (first(0), first(1)) {
            (Some(p), _) => healthy[usize::from(p)] += 100 - assigned,
            (None, Some(p)) => degraded[usize::from(p)] += 100 - assigned,
            (None, None) => {}
        }
    }
    // "If the total is under 100, a priority with fewer than 50 % available endpoints panics."
    let panics = |p: u8| {
        let n = count(p, &[0, 1, 2, 3]);
        let available = if n == 0 { 0.0 } else { 100.0 * count(p, &[0, 1]) as f64 / n as f64 };
        total < 100 && available < panic
    };
    let open: u64 = (0..priority_count).map(|p| count(p, &[0, 1, 2])).sum();
    if open == 0 {
        return vec![0.0; all.len()];
    }
    // "If panic mode is disabled and no endpoint is available, the whole load goes to priority 0."
    if total == 0 && panic == 0.0 {
        healthy[0] = 100;
    }
    if (0..priority_count).all(panics) {
        let mut left = 100;
        for p in 0..priority_count {
            healthy[usize::from(p)] = 100 * count(p, &[0, 1, 2]) / open;
            degraded[usize::from(p)] = 0;
            left -= healthy[usize::from(p)];
        }
        if let Some(p) = (0..priority_count).find(|p| count(*p, &[0, 1, 2]) > 0) {
            healthy[usize::from(p)] += left;
        }
    }
    let part = |e: &(usize, u8, Option<u32>, usize, u32)| {
        let p = usize::from(e.1);
        if panics(e.1) {
            let sum: f64 = all.iter().filter(|o| o.1 == e.1 && o.3 != 3).map(|o| f64::from(o.4)).sum();
            return if e.3 == 3 {
                0.0
            } else {
                (healthy[p] + degraded[p]) as f64 / 100.0 * f64::from(e.4) / sum
            };
        }
        let load = match e.3 {
            0 => healthy[p],
            1 => degraded[p],
            _ => return 0.0,
        } as f64
            / 100.0;
        let peers = |l: Option<usize>| -> f64 {
            let same = |o: &&(usize, u8, Option<u32>, usize, u32)| {
                o.1 == e.1 && o.3 == e.3 && l.is_none_or(|l| o.0 == l)
            };
            all.iter().filter(same).map(|o| f64::from(o.4)).sum()
        };
        // "effective weight = weight x min(1, 1.4 x the available part of the locality)".
        let effective = |l: usize| {
            let of = |h: &[usize]| all.iter().filter(|o| o.0 == l && h.contains(&o.3)).count() as f64;
            let weight = f64::from(declared[l].1.unwrap_or(0));
            if of(&[e.3]) == 0.0 {
                0.0
            } else {
                weight * (f64::from(factor) / 100.0 * of(&[e.3]) / of(&[0, 1, 2, 3])).min(1.0)
            }
        };
        let whole: f64 = (0..declared.len()).filter(|l| declared[*l].0 == e.1).map(effective).sum();
        match by_locality && whole > 0.0 {
            true => load * effective(e.0) / whole * f64::from(e.4) / peers(Some(e.0)),
            false => load * f64::from(e.4) / peers(None),
        }
    };
    let parts: Vec<f64> = all.iter().map(part).collect();
    let sum: f64 = parts.iter().sum();
    parts.iter().map(|p| if sum > 0.0 { p / sum } else { 0.0 }).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(0x9001),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_agree_with_the_reference_calculation(
        declared in declaration(), factor in prop_oneof![Just(140u32), 100u32..300],
        panic in prop_oneof![Just(50.0f64), Just(0.0), 0.0f64..100.0], by_locality: bool,
    ) {
        let assignment = assignment(&declared, factor);
        let sharing = Sharing { panic, fail_on_panic: false, by_locality };
        let now = effective(&assignment, &sharing, false);
        let reference = reference_shares(&declared, factor, panic, by_locality);
        for (i, (ours, theirs)) in now.shares.iter().zip(&reference).enumerate() {
            prop_assert!((ours - theirs).abs() < 1e-9, "endpoint {i}: {ours}, reference {theirs}");
        }
        // A draining endpoint gets no load, even in panic mode; the shares add up to 1, or all are 0.
        for ((_, e), part) in assignment.endpoints().zip(&now.shares) {
            prop_assert!(e.health != Health::Draining || *part == 0.0);
        }
        let sum: f64 = now.shares.iter().sum();
        prop_assert!(sum == 0.0 || (sum - 1.0).abs() < 1e-9, "{sum}");
    }
}

/// The tables for two and three levels on Envoy's documentation page "Priority levels".
#[test]
fn priority_loads_agree_with_the_tables_of_the_documentation() {
    let load = |healthy: &[u32]| {
        let declared: Declaration = (0u8..)
            .zip(healthy)
            .map(|(p, percent)| (p, None, (0..100).map(|i| (if i < *percent { 0 } else { 2 }, 1)).collect()))
            .collect();
        let now =
            effective(&assignment(&declared, 140), &Sharing { panic: 0.0, ..Sharing::default() }, false);
        now.levels.iter().map(|(_, l)| l.healthy).collect::<Vec<_>>()
    };
    for (healthy, expected) in [
        (vec![100, 100], vec![100, 0]),
        (vec![72, 72], vec![100, 0]),
        (vec![71, 71], vec![99, 1]),
        (vec![50, 50], vec![70, 30]),
        (vec![25, 100], vec![35, 65]),
        (vec![25, 25], vec![50, 50]),
        (vec![100, 100, 100], vec![100, 0, 0]),
        (vec![50, 50, 50], vec![70, 30, 0]),
        (vec![25, 100, 100], vec![35, 65, 0]),
        (vec![25, 25, 25], vec![35, 35, 30]),
    ] {
        assert_eq!(load(&healthy), expected, "{healthy:?}");
    }
}

#[test]
fn extreme_weights_keep_their_ratio() {
    let declared: Declaration = vec![(0, None, vec![(0, 1), (0, u32::MAX - 1)])];
    let now = effective(&assignment(&declared, 140), &Sharing::default(), false);
    assert!((now.shares[0] * f64::from(u32::MAX) - 1.0).abs() < 1e-6, "{:?}", now.shares);
}

/// The load of a panicking priority under `fail_on_panic` is rejected, not moved to other priorities.
#[test]
fn fail_on_panic_rejects_the_share_of_a_panicking_priority() {
    let declared: Declaration = vec![
        (0, None, vec![(0, 1), (2, 1), (2, 1), (2, 1)]),
        (1, None, vec![(0, 1), (0, 1), (2, 1), (2, 1), (2, 1)]),
    ];
    let sharing = Sharing { fail_on_panic: true, ..Sharing::default() };
    let now = effective(&assignment(&declared, 140), &sharing, false);
    assert!((now.rejected - 1.0).abs() < 1e-9, "{now:?}");
    let calm = effective(&assignment(&declared, 140), &Sharing { panic: 0.0, ..sharing }, false);
    assert_eq!(calm.rejected, 0.0);
}

/// The availability of few healthy endpoints among thousands rounds to zero percent.
#[test]
fn few_healthy_endpoints_among_thousands_get_requests_without_panic() {
    let declared: Declaration = vec![(0, None, (0..2000).map(|i| (if i < 2 { 0 } else { 2 }, 1)).collect())];
    let now = effective(&assignment(&declared, 140), &Sharing { panic: 0.0, ..Sharing::default() }, false);
    assert_eq!((now.shares[0], now.shares[1], now.shares[2]), (0.5, 0.5, 0.0));
}
