//! Settings that change while the module runs: what holds for requests that are open, and what stays.

mod common;
use common::*;
use rushquay::api::*;
use std::collections::BTreeSet;

const KEY: u64 = 0xabcdef;

/// A request that began under unsafe terms is not tried again because the class counts as safe by now, nor the other way
/// round; the next one goes by what holds then.
#[test]
fn an_open_request_ends_under_the_terms_that_it_began_with() {
    let with = |effect| {
        let mut s = settings();
        s.classes[0].effect = effect;
        s
    };
    for (before, after, again) in
        [(Effect::Unsafe, Effect::Safe, false), (Effect::Safe, Effect::Unsafe, true)]
    {
        let mut p = Proxy::with(with(before), entries(0..20));
        let (id, actions) = p.ask(KEY);
        let server = sent(&actions).expect("sent");
        p.balancer.apply_settings(with(after), &[]);
        let actions = p.end(id, 0, server, Status::Reset, None);
        assert_eq!(sent(&actions).is_some(), again, "{before:?} to {after:?}: {actions:?}");
        let (id, actions) = p.ask(KEY + 1);
        let server = sent(&actions).expect("sent");
        let actions = p.end(id, 0, server, Status::Reset, None);
        assert_eq!(sent(&actions).is_some(), !again, "the next one: {actions:?}");
    }
}

#[test]
fn the_number_of_attempts_is_that_of_the_beginning() {
    let with = |max_attempts| Settings { max_attempts, ..settings() };
    let mut p = Proxy::with(with(4), entries(0..20));
    p.crowd(0..50);
    let (id, actions) = p.ask(KEY);
    let server = sent(&actions).expect("sent");
    p.balancer.apply_settings(with(1), &[]);
    let actions = p.end(id, 0, server, Status::ConnectFailed, None);
    assert!(sent(&actions).is_some(), "{actions:?}");
    let (id, actions) = p.ask(KEY + 1);
    let server = sent(&actions).expect("sent");
    let actions = p.end(id, 0, server, Status::ConnectFailed, None);
    assert_eq!((sent(&actions), finals(&actions)), (None, 1), "{actions:?}");
}

/// Pins and windows are learned state.
#[test]
fn what_was_learned_stays() {
    let mut p = Proxy::with(settings(), entries(0..20));
    let first = p.pinned(KEY);
    let mut other = settings();
    other.max_retry_after = 5 * SECOND;
    p.balancer.apply_settings(other, &[]);
    for _ in 0..4 {
        assert_eq!(p.served(KEY, false), first, "a pinned bucket stays pinned");
        p.crowd(0..100);
    }
}

/// A class that may use other data centres from now on is not held to the copies of the old ones, and one that keeps its
/// own keeps its pins, though the class that it shared them with has gone elsewhere.
#[test]
fn a_class_that_moves_takes_its_zones_at_once_and_leaves_the_others_their_pins() {
    let with = |zones: Option<Vec<u32>>| {
        let mut s = settings();
        s.classes.push(s.classes[0].clone());
        s.classes[0].zones = zones;
        s
    };
    let mut p = Proxy::with(with(None), entries(0..20));
    let second = |p: &mut Proxy, hit: bool| {
        let (id, actions) =
            p.ask_as(Request { class: 1, key: Some(KEY), remaining: 800 * MS, ..Request::default() });
        let server = sent(&actions).expect("sent");
        p.now += 20 * MS;
        p.end(id, 0, server, Status::Ok, Some(hit));
        server
    };
    p.crowd(0..300);
    let first = second(&mut p, true);
    for _ in 0..4 {
        second(&mut p, true);
        p.crowd(0..100);
    }
    p.balancer.apply_settings(with(Some(vec![1])), &[]);
    let zone_1: BTreeSet<ServerId> =
        entries(0..20).iter().filter(|e| e.zone == 1).map(|e| e.server).collect();
    for key in 0..200 {
        assert!(zone_1.contains(&p.served(key * 977, true)), "key {key} left its data centre");
    }
    for _ in 0..4 {
        assert_eq!(second(&mut p, false), first, "the other class keeps its pin");
        p.crowd(0..100);
    }
}

/// What a tenant has used counts once, whatever its number is by now.
#[test]
fn a_share_that_is_used_up_stays_so_under_another_number() {
    let small = Tenant { quota_rps: 50.0 };
    let large = Tenant { quota_rps: 4000.0 };
    let with = |tenants: &[&Tenant]| Settings {
        tenants: tenants.iter().map(|t| (*t).clone()).collect(),
        proxies: 1,
        over_share_worth: 0.0,
        ..settings()
    };
    let mut p = Proxy::with(with(&[&small, &large]), entries(0..20));
    let ask = |p: &mut Proxy, tenant: u32, key: u64, status: Status| {
        let request =
            Request { key: Some(key), tenant: Some(tenant), remaining: 800 * MS, ..Request::default() };
        let (id, actions) = p.ask_as(request);
        sent(&actions).map(|server| p.end(id, 0, server, status, Some(true))).is_some()
    };
    // Servers that turn much away: what is over its share is refused.
    for key in 0..2000u64 {
        p.now += 4 * MS;
        ask(&mut p, 1, key * 977, if key % 3 == 0 { Status::Full } else { Status::Ok });
    }
    let taken = |p: &mut Proxy, tenant: u32| (0..50).filter(|k| ask(p, tenant, k * 31, Status::Ok)).count();
    assert!(taken(&mut p, 0) >= 45, "a share that is there");
    let over = taken(&mut p, 0);
    assert!(over < 20, "{over} over the share");
    // Turned round: the number that has a large share now was the small one's.
    p.balancer.apply_settings(with(&[&large, &small, &small]), &[Some(1), Some(0), None]);
    let over = taken(&mut p, 1);
    assert!(over < 20, "{over} over the share under another number");
    assert!(taken(&mut p, 2) >= 45, "one that is new has its share");
    assert!(taken(&mut p, 0) >= 45, "the large one has what it had");
}
