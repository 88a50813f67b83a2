//! Pools over time: endpoints that are added, moved and removed, weight changes, stale assignments; circuit breakers,
//! DNS lookups and aggregate clusters.

mod support;

use rushquay_load_assignment::dns::{Lookups, Named, NamedLocality, Rates};
use rushquay_load_assignment::retry_safety::{may_retry, EarlierAttempt};
use rushquay_load_assignment::*;
use std::collections::BTreeMap;
use std::num::NonZeroU32;
use support::{endpoint, locality};

const SECOND: Nanos = 1_000_000_000;

fn assignment_of(endpoints: Vec<Endpoint>) -> Assignment {
    Assignment::new(vec![locality("a", 0, endpoints)], Rules::default()).expect("valid assignment")
}

fn numbered(n: usize, weight: impl Fn(usize) -> u32) -> Assignment {
    let addr = |i: usize| format!("127.0.{}.{}:80", i / 250, i % 250 + 1);
    assignment_of((0..n).map(|i| endpoint(&format!("n{i}"), &addr(i), weight(i), Health::Healthy)).collect())
}

/// The nodes as a consumer of the changes sees them; built only from the reported changes.
#[derive(Default)]
struct ObservedNodes(BTreeMap<String, Node>);

impl ObservedNodes {
    fn apply(&mut self, changes: Vec<NodeChange>) -> usize {
        let count = changes.len();
        for change in changes {
            match change {
                NodeChange::Put(node) => drop(self.0.insert(node.id.to_string(), node)),
                NodeChange::Gone(id) => drop(self.0.remove(&*id)),
            }
        }
        count
    }

    fn standing(&self, id: &str) -> Option<EndpointUse> {
        self.0.get(id).map(|n| n.standing)
    }
}

#[test]
fn duplicate_endpoints_and_localities_are_rejected() {
    let (a, duplicate) = (
        endpoint("a", "127.0.0.1:80", 1, Health::Healthy),
        endpoint("b", "127.0.0.1:80", 9, Health::Healthy),
    );
    let rejection =
        |localities| Assignment::new(localities, Rules::default()).expect_err("a duplicate").to_string();
    let in_same_locality = rejection(vec![locality("x", 0, vec![a.clone(), duplicate.clone()])]);
    assert_eq!(
        in_same_locality,
        "endpoints[0].lb_endpoints[1]: the address 127.0.0.1:80 is already listed in endpoints[0]; list it once"
    );
    let other = rejection(vec![locality("x", 0, vec![a.clone()]), locality("y", 0, vec![duplicate.clone()])]);
    assert!(other.starts_with("endpoints[1].lb_endpoints[0]: the address"), "{other}");
    let lower_priority =
        rejection(vec![locality("x", 0, vec![a.clone()]), locality("x", 1, vec![duplicate])]);
    assert!(lower_priority.starts_with("endpoints[1].lb_endpoints[0]: the address"), "{lower_priority}");
    let renamed = endpoint("a", "127.0.0.2:80", 1, Health::Healthy);
    assert!(rejection(vec![locality("x", 0, vec![a.clone(), renamed])]).contains("the id \"a\""));
    let repeated_locality = rejection(vec![locality("x", 0, vec![a]), locality("x", 0, vec![])]);
    assert!(repeated_locality.starts_with("endpoints[1].locality"), "{repeated_locality}");
}

#[test]
fn weight_sums_over_u32_max_are_rejected() {
    let max_weights = |n: usize| {
        (0..n)
            .map(|i| endpoint(&i.to_string(), &format!("127.0.0.{}:80", i + 1), u32::MAX, Health::Healthy))
            .collect()
    };
    assert!(Assignment::new(vec![locality("x", 0, max_weights(1))], Rules::default()).is_ok());
    assert!(Assignment::new(vec![locality("x", 0, max_weights(2))], Rules::default()).is_err());
}

#[test]
fn weight_changes_wait_for_the_merge_window_and_draining_does_not() {
    let mut pool = Pool::new(ClusterRules::default());
    let mut observed = ObservedNodes::default();
    pool.assign(numbered(1000, |i| 1 + i as u32 % 7), 0);
    assert_eq!(observed.apply(pool.changes(0)), 1000);
    // All weights change every 100 ms for 3 s.
    let mut reported = 0;
    for tick in 1..=30u64 {
        let now = tick * SECOND / 10;
        pool.assign(numbered(1000, |i| 1 + (i as u32 + tick as u32) % 7), now);
        reported += observed.apply(pool.changes(now));
    }
    assert!((2000..=4000).contains(&reported), "{reported} changes reported for 30 updates of 1000 weights");
    // Draining is reported immediately, within the merge window.
    let now = 305 * SECOND / 100;
    let mut drained: Vec<Endpoint> =
        numbered(1000, |i| 1 + i as u32 % 5).endpoints().map(|(_, e)| e.clone()).collect();
    drained[7].health = Health::Draining;
    pool.assign(assignment_of(drained), now);
    observed.apply(pool.changes(now));
    assert_eq!(observed.standing("n7"), Some(EndpointUse::Drains));
    // The deferred weight changes are reported at the end of the window.
    let wake = pool.wake(now).expect("a wake-up for the waiting weight changes");
    assert!(wake <= now + SECOND);
    assert!(observed.apply(pool.changes(wake)) > 900);
    let mean_weight: f64 =
        observed.0.values().filter(|n| n.standing == EndpointUse::Serves).map(|n| n.weight).sum::<f64>()
            / 999.0;
    assert!((mean_weight - 1.0).abs() < 1e-9, "{mean_weight}");
}

#[test]
fn unchanged_shares_are_not_reported() {
    let mut pool = Pool::new(ClusterRules::default());
    pool.assign(numbered(100, |_| 3), 0);
    assert_eq!(pool.changes(0).len(), 100);
    pool.assign(numbered(100, |_| 3), 5 * SECOND);
    assert_eq!(pool.changes(5 * SECOND), []);
    // Doubling all weights leaves the shares unchanged.
    pool.assign(numbered(100, |_| 6), 9 * SECOND);
    assert_eq!(pool.changes(9 * SECOND), []);
}

#[test]
fn endpoints_added_after_the_first_assignment_start_when_listed() {
    let mut pool = Pool::new(ClusterRules::default());
    let mut observed = ObservedNodes::default();
    pool.assign(numbered(3, |_| 1), 100 * SECOND);
    observed.apply(pool.changes(100 * SECOND));
    pool.assign(numbered(4, |_| 1), 200 * SECOND);
    observed.apply(pool.changes(200 * SECOND));
    assert_eq!(observed.0["n0"].started, 0);
    assert_eq!(observed.0["n3"].started, 200 * SECOND);
    pool.assign(numbered(3, |_| 1), 300 * SECOND);
    observed.apply(pool.changes(300 * SECOND));
    assert_eq!(observed.standing("n3"), None);
    pool.assign(numbered(4, |_| 1), 400 * SECOND);
    observed.apply(pool.changes(400 * SECOND));
    assert_eq!(
        observed.0["n3"].started,
        400 * SECOND,
        "a node that returns under its identity has restarted"
    );
}

/// One update moves an address from one node to another and gives the first node a new address.
#[test]
fn address_change_counts_as_a_restart() {
    let mut pool = Pool::new(ClusterRules::default());
    let mut observed = ObservedNodes::default();
    let pair = |a: &str, b: &str| {
        assignment_of(vec![endpoint("a", a, 1, Health::Healthy), endpoint("b", b, 1, Health::Healthy)])
    };
    pool.assign(pair("127.0.0.1:80", "127.0.0.2:80"), 0);
    observed.apply(pool.changes(0));
    pool.assign(pair("127.0.0.3:80", "127.0.0.1:80"), 7 * SECOND);
    assert_eq!(observed.apply(pool.changes(7 * SECOND)), 2, "reported at once, not with the weights");
    assert_eq!(observed.0["b"].addr, "127.0.0.1:80".parse().expect("valid address"));
    assert_eq!((observed.0["a"].started, observed.0["b"].started), (7 * SECOND, 7 * SECOND));
}

/// At every update, priority 0 crosses the threshold below which load spills over to priority 1.
#[test]
fn flapping_priority_does_not_restart_its_nodes() {
    let mut pool = Pool::new(ClusterRules { merge_window: 0, ..ClusterRules::default() });
    let mut observed = ObservedNodes::default();
    let listed = |healthy: usize| {
        let endpoint_of = |p: u8, i: usize| {
            let health = if p == 0 && i >= healthy { Health::Unhealthy } else { Health::Healthy };
            endpoint(&format!("{p}-{i}"), &format!("127.0.{p}.{}:80", i + 1), 1, health)
        };
        let level = |p: u8| locality("x", p, (0..7).map(|i| endpoint_of(p, i)).collect());
        Assignment::new(vec![level(0), level(1)], Rules::default()).expect("valid assignment")
    };
    // With overprovisioning 5 healthy of 7 carry 100 % of the load, 4 of 7 only 80 %.
    for tick in 0..40u64 {
        let healthy = 5 - (tick % 2) as usize;
        pool.assign(listed(healthy), tick * SECOND);
        observed.apply(pool.changes(tick * SECOND));
        let lower_priority = if healthy == 5 { EndpointUse::StandsBy } else { EndpointUse::Serves };
        assert_eq!(observed.standing("1-0"), Some(lower_priority), "at {tick}");
        assert_eq!(
            observed.standing("0-4"),
            Some(if healthy == 5 { EndpointUse::Serves } else { EndpointUse::Drains })
        );
        assert!(observed.0.values().all(|n| n.started == 0), "spillover is not a restart");
        let load: f64 = observed
            .0
            .iter()
            .filter(|(id, n)| id.starts_with("1-") && n.standing == EndpointUse::Serves)
            .map(|(_, n)| n.weight)
            .sum();
        let total_load: f64 =
            observed.0.values().filter(|n| n.standing == EndpointUse::Serves).map(|n| n.weight).sum();
        let expected = if healthy == 5 { 0.0 } else { 0.2 };
        assert!((load / total_load - expected).abs() < 1e-9, "{load} of {total_load}");
    }
}

#[test]
fn stale_assignment_panics_until_the_next_one() {
    let mut pool = Pool::new(ClusterRules::default());
    let fresh = |health| {
        let rules = Rules { stale_after: Some(5 * SECOND), ..Rules::default() };
        let level =
            |p: u8| locality("x", p, vec![endpoint(&p.to_string(), &format!("127.0.{p}.1:80"), 1, health)]);
        Assignment::new(vec![level(0), level(1)], rules).expect("valid assignment")
    };
    pool.assign(fresh(Health::Healthy), 0);
    let mut observed = ObservedNodes::default();
    observed.apply(pool.changes(0));
    assert_eq!(observed.standing("1"), Some(EndpointUse::StandsBy));
    let wake = pool.wake(0).expect("a wake-up when the assignment becomes stale");
    assert_eq!(wake, 5 * SECOND);
    pool.tick(wake);
    observed.apply(pool.changes(wake));
    // All endpoints are unhealthy now, so all priorities panic and share the load.
    assert_eq!(observed.standing("1"), Some(EndpointUse::Serves));
    pool.assign(fresh(Health::Healthy), 6 * SECOND);
    observed.apply(pool.changes(6 * SECOND));
    assert_eq!(observed.standing("1"), Some(EndpointUse::StandsBy));
}

#[test]
fn node_moved_from_another_group_gets_no_retry_of_earlier_attempts() {
    let mut pool = Pool::new(ClusterRules::default());
    let placed = |zone: &str| {
        let mut e = endpoint("a", "127.0.0.1:80", 1, Health::Healthy);
        e.place.zone = zone.into();
        assignment_of(vec![e])
    };
    pool.assign(placed("surat"), 0);
    pool.changes(0);
    pool.assign(placed("rajkot"), 10 * SECOND);
    let changes = pool.changes(10 * SECOND);
    let [NodeChange::Put(node)] = changes.as_slice() else { panic!("{changes:?}") };
    let tried = |sent, may_have_run| [EarlierAttempt { sent, may_have_run }].into_iter();
    assert!(!may_retry(0, node.group_changed_at, tried(9 * SECOND, true)), "sent before the node moved");
    assert!(may_retry(0, node.group_changed_at, tried(9 * SECOND, false)), "never executed");
    assert!(may_retry(0, node.group_changed_at, tried(11 * SECOND, true)));
    assert!(
        !may_retry(12 * SECOND, node.group_changed_at, tried(11 * SECOND, true)),
        "sent before the group of the cluster changed"
    );
}

#[test]
fn circuit_breakers_limit_requests_and_retry_budget_follows_them() {
    let budget = Thresholds {
        requests: 100,
        budget: Some(RetryBudget { percent: 20.0, min_concurrency: 3 }),
        ..Thresholds::default()
    };
    let breakers = Breakers::new([budget, Thresholds { requests: 1, ..Thresholds::default() }]);
    let requests: Vec<_> = (0..100)
        .map(|_| breakers.acquire(RoutePriority::Default, BreakerLimit::Requests).expect("below the limit"))
        .collect();
    assert_eq!(
        breakers.acquire(RoutePriority::Default, BreakerLimit::Requests).err(),
        Some(BreakerLimit::Requests)
    );
    let high = breakers
        .acquire(RoutePriority::High, BreakerLimit::Requests)
        .expect("high priority has its own limits");
    assert!(breakers.acquire(RoutePriority::High, BreakerLimit::Requests).is_err());
    drop(high);
    let retries: Vec<_> = (0..20)
        .map(|_| {
            breakers.acquire(RoutePriority::Default, BreakerLimit::Retries).expect("within 20 % of requests")
        })
        .collect();
    assert_eq!(
        breakers.acquire(RoutePriority::Default, BreakerLimit::Retries).err(),
        Some(BreakerLimit::Retries)
    );
    drop((retries, requests));
    assert_eq!(breakers.in_flight(RoutePriority::Default), [0, 0, 0]);
    let few: Vec<_> = (0..3)
        .map(|_| {
            breakers
                .acquire(RoutePriority::Default, BreakerLimit::Retries)
                .expect("minimum retry concurrency")
        })
        .collect();
    assert!(breakers.acquire(RoutePriority::Default, BreakerLimit::Retries).is_err());
    drop(few);
    assert_eq!(breakers.trips(), [2, 2, 0]);
}

#[test]
fn dns_lookups_follow_refresh_and_backoff_and_failure_keeps_addresses() {
    let named = |host: &str| Named {
        host: host.into(),
        port: 80,
        weight: NonZeroU32::MIN,
        health: Health::Healthy,
        place: Place::default(),
    };
    let localities = vec![NamedLocality {
        name: LocalityName::default(),
        priority: 0,
        weight: None,
        endpoints: vec![named("plant"), named("spare"), named("127.0.0.9")],
    }];
    let rates = Rates { refresh: 5 * SECOND, failure: (SECOND, 4 * SECOND) };
    let mut lookups = Lookups::new(localities, Rules::default(), rates);
    let addresses = |l: &Lookups| {
        l.assignment()
            .expect("valid assignment")
            .endpoints()
            .map(|(_, e)| e.addr.ip().to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(lookups.due(0), ["plant".into(), "spare".into()]);
    assert!(lookups.due(0).is_empty(), "both are in flight");
    let ip = |text: &str| text.parse().expect("valid address");
    lookups.found("plant", vec![ip("127.0.0.1"), ip("127.0.0.2")], 0);
    assert!(!lookups.complete());
    lookups.found("spare", vec![ip("127.0.0.2")], 0);
    assert!(lookups.complete());
    assert_eq!(
        addresses(&lookups),
        ["127.0.0.1", "127.0.0.2", "127.0.0.9"],
        "an address of two names is listed once"
    );
    assert_eq!(lookups.wake(), Some(5 * SECOND));
    assert_eq!(lookups.due(5 * SECOND).len(), 2);
    let mut now = 5 * SECOND;
    for wait in [1, 2, 4, 4] {
        lookups.failed("plant", now);
        lookups.found("spare", vec![], now);
        assert_eq!(addresses(&lookups), ["127.0.0.1", "127.0.0.2", "127.0.0.9"]);
        now += wait * SECOND;
        assert_eq!(lookups.due(now - 1).iter().filter(|n| &***n == "plant").count(), 0);
        assert_eq!(lookups.due(now).iter().filter(|n| &***n == "plant").count(), 1);
    }
}

#[test]
fn aggregate_spills_over_in_cluster_order() {
    let level = |hosts: u64, healthy: u64| rushquay_load_assignment::levels::Level {
        hosts,
        open: hosts,
        healthy,
        availability: rushquay_load_assignment::levels::availability(140, healthy, hosts),
        ..Default::default()
    };
    let split = |c: &[Vec<rushquay_load_assignment::levels::Level>]| aggregate::split(c, 50.0);
    assert_eq!(split(&[vec![level(10, 10)], vec![level(10, 10)]]), [100, 0]);
    assert_eq!(split(&[vec![level(10, 5), level(10, 1)], vec![level(10, 10)]]), [84, 16]);
    assert_eq!(split(&[vec![], vec![level(10, 10)]]), [0, 100]);
    assert_eq!(split(&[vec![], vec![]]), [0, 0]);
    assert_eq!(split(&[vec![level(10, 0)], vec![level(30, 0)]]), [25, 75], "all panic");
    assert_eq!((0..100).filter(|i| aggregate::pick(&[84, 16], f64::from(*i) / 100.0) == Some(1)).count(), 16);
    assert_eq!(aggregate::pick(&[0, 0], 0.5), None);
}
