//! A pool over time: endpoints that come, move, go and return, weights that change without end, lists that grow old.

use rushquay_load_assignment::dns::{Lookups, Named, NamedLocality, Rates};
use rushquay_load_assignment::repeats::{may_repeat, Tried};
use rushquay_load_assignment::*;
use std::collections::BTreeMap;
use std::num::NonZeroU32;

const SECOND: Nanos = 1_000_000_000;

fn endpoint(id: &str, addr: &str, weight: u32, health: Health) -> Endpoint {
    let weight = NonZeroU32::new(weight).expect("over 0");
    let addr = addr.parse().expect("an address");
    Endpoint { id: id.into(), addr, weight, health, place: Place::default(), started: None }
}

fn locality(zone: &str, priority: u8, endpoints: Vec<Endpoint>) -> Locality {
    let name = LocalityName { zone: zone.into(), ..LocalityName::default() };
    Locality { name, priority, weight: None, endpoints }
}

fn one(endpoints: Vec<Endpoint>) -> Assignment {
    Assignment::new(vec![locality("a", 0, endpoints)], Rules::default()).expect("good")
}

fn numbered(n: usize, weight: impl Fn(usize) -> u32) -> Assignment {
    let addr = |i: usize| format!("127.0.{}.{}:80", i / 250, i % 250 + 1);
    one((0..n).map(|i| endpoint(&format!("n{i}"), &addr(i), weight(i), Health::Healthy)).collect())
}

/// What a listener to the changes believes.
#[derive(Default)]
struct Seen(BTreeMap<String, Node>);

impl Seen {
    fn hear(&mut self, changes: Vec<NodeChange>) -> usize {
        let count = changes.len();
        for change in changes {
            match change {
                NodeChange::Put(node) => drop(self.0.insert(node.id.to_string(), node)),
                NodeChange::Gone(id) => drop(self.0.remove(&*id)),
            }
        }
        count
    }

    fn standing(&self, id: &str) -> Option<Standing> {
        self.0.get(id).map(|n| n.standing)
    }
}

#[test]
fn an_endpoint_listed_twice_is_refused_wherever_the_second_stands() {
    let (a, again) = (
        endpoint("a", "127.0.0.1:80", 1, Health::Healthy),
        endpoint("b", "127.0.0.1:80", 9, Health::Healthy),
    );
    let twice = |localities| Assignment::new(localities, Rules::default()).expect_err("twice").to_string();
    let same = twice(vec![locality("x", 0, vec![a.clone(), again.clone()])]);
    assert_eq!(
        same,
        "endpoints[0].lb_endpoints[1]: the address 127.0.0.1:80 stands already in endpoints[0]; list it once"
    );
    let other = twice(vec![locality("x", 0, vec![a.clone()]), locality("y", 0, vec![again.clone()])]);
    assert!(other.starts_with("endpoints[1].lb_endpoints[0]: the address"), "{other}");
    let lower = twice(vec![locality("x", 0, vec![a.clone()]), locality("x", 1, vec![again])]);
    assert!(lower.starts_with("endpoints[1].lb_endpoints[0]: the address"), "{lower}");
    let renamed = endpoint("a", "127.0.0.2:80", 1, Health::Healthy);
    assert!(twice(vec![locality("x", 0, vec![a.clone(), renamed])]).contains("the id \"a\""));
    let parted = twice(vec![locality("x", 0, vec![a]), locality("x", 0, vec![])]);
    assert!(parted.starts_with("endpoints[1].locality"), "{parted}");
}

#[test]
fn weights_that_add_up_to_too_much_are_refused() {
    let most = |n: usize| {
        (0..n)
            .map(|i| endpoint(&i.to_string(), &format!("127.0.0.{}:80", i + 1), u32::MAX, Health::Healthy))
            .collect()
    };
    assert!(Assignment::new(vec![locality("x", 0, most(1))], Rules::default()).is_ok());
    assert!(Assignment::new(vec![locality("x", 0, most(2))], Rules::default()).is_err());
}

#[test]
fn new_weights_wait_for_the_window_and_drains_never_do() {
    let mut pool = Pool::new(ClusterRules::default());
    let mut seen = Seen::default();
    pool.assign(numbered(1000, |i| 1 + i as u32 % 7), 0);
    assert_eq!(seen.hear(pool.changes(0)), 1000);
    // A rewrite of all every 100 ms for 3 s.
    let mut told = 0;
    for tick in 1..=30u64 {
        let now = tick * SECOND / 10;
        pool.assign(numbered(1000, |i| 1 + (i as u32 + tick as u32) % 7), now);
        told += seen.hear(pool.changes(now));
    }
    assert!((2000..=4000).contains(&told), "{told} changes told of 30 rewrites of 1000");
    // One that drains is told at once, in the midst of them.
    let now = 305 * SECOND / 100;
    let mut drained: Vec<Endpoint> =
        numbered(1000, |i| 1 + i as u32 % 5).endpoints().map(|(_, e)| e.clone()).collect();
    drained[7].health = Health::Draining;
    pool.assign(one(drained), now);
    seen.hear(pool.changes(now));
    assert_eq!(seen.standing("n7"), Some(Standing::Drains));
    // What waits comes by itself.
    let wake = pool.wake(now).expect("something waits");
    assert!(wake <= now + SECOND);
    assert!(seen.hear(pool.changes(wake)) > 900);
    let even: f64 =
        seen.0.values().filter(|n| n.standing == Standing::Serves).map(|n| n.weight).sum::<f64>() / 999.0;
    assert!((even - 1.0).abs() < 1e-9, "{even}");
}

#[test]
fn the_same_list_again_says_nothing() {
    let mut pool = Pool::new(ClusterRules::default());
    pool.assign(numbered(100, |_| 3), 0);
    assert_eq!(pool.changes(0).len(), 100);
    pool.assign(numbered(100, |_| 3), 5 * SECOND);
    assert_eq!(pool.changes(5 * SECOND), []);
    // All weights times two are the same shares.
    pool.assign(numbered(100, |_| 6), 9 * SECOND);
    assert_eq!(pool.changes(9 * SECOND), []);
}

#[test]
fn an_endpoint_that_comes_later_is_new_and_one_that_was_there_is_not() {
    let mut pool = Pool::new(ClusterRules::default());
    let mut seen = Seen::default();
    pool.assign(numbered(3, |_| 1), 100 * SECOND);
    seen.hear(pool.changes(100 * SECOND));
    pool.assign(numbered(4, |_| 1), 200 * SECOND);
    seen.hear(pool.changes(200 * SECOND));
    assert_eq!(seen.0["n0"].started, 0);
    assert_eq!(seen.0["n3"].started, 200 * SECOND);
    pool.assign(numbered(3, |_| 1), 300 * SECOND);
    seen.hear(pool.changes(300 * SECOND));
    assert_eq!(seen.standing("n3"), None);
    pool.assign(numbered(4, |_| 1), 400 * SECOND);
    seen.hear(pool.changes(400 * SECOND));
    assert_eq!(seen.0["n3"].started, 400 * SECOND, "it returned under its name, empty");
}

/// An address goes over from one node to another, and in the same update the first gets a new one.
#[test]
fn an_address_that_moves_makes_another_process_of_its_new_owner() {
    let mut pool = Pool::new(ClusterRules::default());
    let mut seen = Seen::default();
    let pair = |a: &str, b: &str| {
        one(vec![endpoint("a", a, 1, Health::Healthy), endpoint("b", b, 1, Health::Healthy)])
    };
    pool.assign(pair("127.0.0.1:80", "127.0.0.2:80"), 0);
    seen.hear(pool.changes(0));
    pool.assign(pair("127.0.0.3:80", "127.0.0.1:80"), 7 * SECOND);
    assert_eq!(seen.hear(pool.changes(7 * SECOND)), 2, "told at once, not with the weights");
    assert_eq!(seen.0["b"].addr, "127.0.0.1:80".parse().expect("an address"));
    assert_eq!((seen.0["a"].started, seen.0["b"].started), (7 * SECOND, 7 * SECOND));
}

/// Priority 0 stands at the edge of its spill and falls over it at every update.
#[test]
fn a_priority_that_flaps_keeps_its_nodes() {
    let mut pool = Pool::new(ClusterRules { merge: 0, ..ClusterRules::default() });
    let mut seen = Seen::default();
    let listed = |healthy: usize| {
        let of = |p: u8, i: usize| {
            let health = if p == 0 && i >= healthy { Health::Unhealthy } else { Health::Healthy };
            endpoint(&format!("{p}-{i}"), &format!("127.0.{p}.{}:80", i + 1), 1, health)
        };
        let level = |p: u8| locality("x", p, (0..7).map(|i| of(p, i)).collect());
        Assignment::new(vec![level(0), level(1)], Rules::default()).expect("good")
    };
    // 5 of 7 healthy make 100 %, 4 of 7 make 80 %.
    for tick in 0..40u64 {
        let healthy = 5 - (tick % 2) as usize;
        pool.assign(listed(healthy), tick * SECOND);
        seen.hear(pool.changes(tick * SECOND));
        let lower = if healthy == 5 { Standing::StandsBy } else { Standing::Serves };
        assert_eq!(seen.standing("1-0"), Some(lower), "at {tick}");
        assert_eq!(
            seen.standing("0-4"),
            Some(if healthy == 5 { Standing::Serves } else { Standing::Drains })
        );
        assert!(seen.0.values().all(|n| n.started == 0), "a spill is no restart");
        let load: f64 = seen
            .0
            .iter()
            .filter(|(id, n)| id.starts_with("1-") && n.standing == Standing::Serves)
            .map(|(_, n)| n.weight)
            .sum();
        let whole: f64 = seen.0.values().filter(|n| n.standing == Standing::Serves).map(|n| n.weight).sum();
        let expected = if healthy == 5 { 0.0 } else { 0.2 };
        assert!((load / whole - expected).abs() < 1e-9, "{load} of {whole}");
    }
}

#[test]
fn an_assignment_that_grows_old_is_unhealthy_and_panics_until_one_comes() {
    let mut pool = Pool::new(ClusterRules::default());
    let fresh = |health| {
        let rules = Rules { stale_after: Some(5 * SECOND), ..Rules::default() };
        let level =
            |p: u8| locality("x", p, vec![endpoint(&p.to_string(), &format!("127.0.{p}.1:80"), 1, health)]);
        Assignment::new(vec![level(0), level(1)], rules).expect("good")
    };
    pool.assign(fresh(Health::Healthy), 0);
    let mut seen = Seen::default();
    seen.hear(pool.changes(0));
    assert_eq!(seen.standing("1"), Some(Standing::StandsBy));
    let wake = pool.wake(0).expect("it grows old");
    assert_eq!(wake, 5 * SECOND);
    pool.tick(wake);
    seen.hear(pool.changes(wake));
    // All are unhealthy now, so all panic and share.
    assert_eq!(seen.standing("1"), Some(Standing::Serves));
    pool.assign(fresh(Health::Healthy), 6 * SECOND);
    seen.hear(pool.changes(6 * SECOND));
    assert_eq!(seen.standing("1"), Some(Standing::StandsBy));
}

#[test]
fn a_node_that_came_from_another_group_gets_no_repeat_of_what_it_never_saw() {
    let mut pool = Pool::new(ClusterRules::default());
    let placed = |zone: &str| {
        let mut e = endpoint("a", "127.0.0.1:80", 1, Health::Healthy);
        e.place.zone = zone.into();
        one(vec![e])
    };
    pool.assign(placed("surat"), 0);
    pool.changes(0);
    pool.assign(placed("rajkot"), 10 * SECOND);
    let changes = pool.changes(10 * SECOND);
    let [NodeChange::Put(node)] = changes.as_slice() else { panic!("{changes:?}") };
    let tried = |sent, may_have_run| [Tried { sent, may_have_run }].into_iter();
    assert!(!may_repeat(0, node.grouped, tried(9 * SECOND, true)), "sent before it came over");
    assert!(may_repeat(0, node.grouped, tried(9 * SECOND, false)), "it never ran");
    assert!(may_repeat(0, node.grouped, tried(11 * SECOND, true)));
    assert!(
        !may_repeat(12 * SECOND, node.grouped, tried(11 * SECOND, true)),
        "the cluster's group is another"
    );
}

#[test]
fn breakers_count_what_is_out_and_budgets_follow_it() {
    let budget = Thresholds {
        requests: 100,
        budget: Some(Budget { percent: 20.0, least: 3 }),
        ..Thresholds::default()
    };
    let breakers = Breakers::new([budget, Thresholds { requests: 1, ..Thresholds::default() }]);
    let requests: Vec<_> =
        (0..100).map(|_| breakers.take(Importance::Default, Trip::Requests).expect("room")).collect();
    assert_eq!(breakers.take(Importance::Default, Trip::Requests).err(), Some(Trip::Requests));
    let high = breakers.take(Importance::High, Trip::Requests).expect("limits of its own");
    assert!(breakers.take(Importance::High, Trip::Requests).is_err());
    drop(high);
    let repeats: Vec<_> =
        (0..20).map(|_| breakers.take(Importance::Default, Trip::Retries).expect("a fifth")).collect();
    assert_eq!(breakers.take(Importance::Default, Trip::Retries).err(), Some(Trip::Retries));
    drop((repeats, requests));
    assert_eq!(breakers.out(Importance::Default), [0, 0, 0]);
    let few: Vec<_> =
        (0..3).map(|_| breakers.take(Importance::Default, Trip::Retries).expect("three always")).collect();
    assert!(breakers.take(Importance::Default, Trip::Retries).is_err());
    drop(few);
    assert_eq!(breakers.trips(), [2, 2, 0]);
}

#[test]
fn names_are_looked_up_at_their_rate_and_a_failure_keeps_what_was_found() {
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
        l.assignment().expect("good").endpoints().map(|(_, e)| e.addr.ip().to_string()).collect::<Vec<_>>()
    };
    assert_eq!(lookups.due(0), ["plant".into(), "spare".into()]);
    assert!(lookups.due(0).is_empty(), "both are out");
    let ip = |text: &str| text.parse().expect("an address");
    lookups.found("plant", vec![ip("127.0.0.1"), ip("127.0.0.2")], 0);
    assert!(!lookups.complete());
    lookups.found("spare", vec![ip("127.0.0.2")], 0);
    assert!(lookups.complete());
    assert_eq!(
        addresses(&lookups),
        ["127.0.0.1", "127.0.0.2", "127.0.0.9"],
        "the address of both counts once"
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
fn an_aggregate_spills_along_the_row_of_its_clusters() {
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
