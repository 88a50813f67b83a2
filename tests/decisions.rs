//! The decision module, one behaviour per test.

mod common;
use common::*;
use rushquay::api::*;
use std::collections::BTreeMap;

const KEY: u64 = 0xabcdef;

/// The endpoint that gets the first request of each of many keys, at a new proxy with this history of lists.
fn first_endpoints(histories: &[(ListKind, Vec<Entry>)]) -> BTreeMap<u64, ServerId> {
    let mut homes = BTreeMap::new();
    for key in 0..400u64 {
        let mut p = Proxy::new(settings(), key);
        for (kind, entries) in histories {
            p.list(*kind, entries.clone());
        }
        homes.insert(key, sent(&p.ask(key * 0x1234_5677).1).expect("sent"));
    }
    homes
}

#[test]
fn consecutive_hits_pin_a_bucket_and_misses_do_not_unpin_it() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..300);
    let first = p.served(KEY, true);
    for _ in 0..3 {
        assert_eq!(p.served(KEY, true), first);
        p.crowd(0..100);
    }
    for _ in 0..4 {
        assert_eq!(p.served(KEY, false), first, "the bucket stays pinned");
        p.crowd(0..100);
    }
}

#[test]
fn misses_move_an_undecided_bucket_to_its_other_candidate() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..300);
    let mut asked = Vec::new();
    for _ in 0..8 {
        asked.push(p.served(KEY, false));
        p.crowd(0..100);
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 2, "the two candidates, and no other endpoint");
}

#[test]
fn a_bucket_is_unpinned_when_its_endpoint_is_removed() {
    let mut p = Proxy::with(settings(), entries(0..20));
    let first = p.pinned(KEY);
    let gone = entries(0..20).into_iter().find(|e| e.server == first).expect("listed");
    p.list(ListKind::Delta, vec![Entry { state: State::Gone, ..gone }]);
    let next = p.served(KEY, true);
    assert_ne!(next, first);
    p.crowd(0..100);
    assert_eq!(p.served(KEY, true), next);
}

#[test]
fn candidates_do_not_depend_on_the_history_of_the_list() {
    let full = entries(0..30);
    let mut reversed = full.clone();
    reversed.reverse();
    let straight = first_endpoints(&[(ListKind::Cached, full.clone())]);
    let other = first_endpoints(&[
        (ListKind::Cached, entries(10..60)),
        (ListKind::Full, entries(25..50)),
        (ListKind::Full, reversed),
    ]);
    assert_eq!(straight, other);
}

#[test]
fn removing_an_endpoint_moves_only_its_own_keys() {
    let before = first_endpoints(&[(ListKind::Cached, entries(0..30))]);
    let after = first_endpoints(&[(ListKind::Cached, entries(1..30))]);
    let removed = entry(0).server;
    for (key, home) in &before {
        if *home != removed {
            assert_eq!(after[key], *home);
        }
    }
    assert!(before.values().any(|h| *h == removed));
}

#[test]
fn an_endpoint_gets_keys_in_proportion_to_its_weight() {
    let mut list = entries(0..10);
    list[0].weight = 4.0;
    let heavy = list[0].server;
    let homes = first_endpoints(&[(ListKind::Cached, list)]);
    let part = homes.values().filter(|h| **h == heavy).count();
    assert!((80..180).contains(&part), "a weight of 4 in 13, for 400 keys: {part}");
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    let mut list = entries(0..3);
    let mut p = Proxy::with(settings(), list.clone());
    list[0].state = State::Draining;
    p.list(ListKind::Delta, vec![list[0].clone()]);
    for key in 0..200 {
        assert_ne!(p.served(key * 977, true), list[0].server);
    }
}

#[test]
fn a_hot_key_is_spread_over_several_endpoints() {
    let mut p = Proxy::with(settings(), entries(0..20));
    let mut asked = std::collections::BTreeSet::new();
    for i in 0..200u64 {
        p.now += 2 * MS;
        asked.insert(p.served(if i % 2 == 0 { KEY } else { i * 7919 }, true));
        p.now += 2 * MS;
    }
    let on_key: std::collections::BTreeSet<_> = (0..20).map(|_| p.served(KEY, true)).collect();
    assert!(on_key.len() >= 4, "half of all traffic on {} endpoints", on_key.len());
}

#[test]
fn an_endpoint_that_times_out_is_ejected_and_tried_again_later() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..100);
    let first = p.served(KEY, true);
    let mut ejected = false;
    for _ in 0..3 {
        let (id, actions) = p.ask(KEY);
        let server = sent(&actions).expect("sent");
        ejected |= server != first;
        p.now += 400 * MS;
        let actions = p.end_after(id, 0, server, Status::Timeout, None, 400 * MS);
        if let Some(second) = sent(&actions) {
            p.end(id, 1, second, Status::Ok, Some(true));
        }
        p.crowd(0..5);
    }
    assert!(ejected, "consecutive timeouts must move the key");
    p.now += 60 * SECOND;
    p.crowd(0..300);
    let mut back = Vec::new();
    for _ in 0..4 {
        back.push(p.served(KEY, true));
        p.crowd(0..100);
    }
    assert!(back.contains(&first), "the endpoint is tried again after its ejection");
}

#[test]
fn a_cold_endpoint_gets_no_more_than_its_slow_start_allowance() {
    // Danger: a burst of hot keys soon after its start makes a cold endpoint fall over for good.
    let mut list = entries(0..4);
    let mut p = Proxy::with(settings(), list.clone());
    for i in 0..2000u64 {
        p.now += 2 * MS;
        p.served(i * 7919, true);
    }
    list[0].started_at = p.now;
    let cold = list[0].server;
    p.list(ListKind::Delta, vec![list[0].clone()]);
    let mut to_cold = 0;
    for i in 0..45u64 {
        to_cold += usize::from(p.served(i * 7919, true) == cold);
    }
    // 45 requests in 0.9 s over four endpoints, one of them at a fifth of its capacity: at three times that it
    // would fall over.
    assert!(to_cold <= 7, "{to_cold} of 45");
}

#[test]
fn a_restarted_proxy_keeps_within_the_slow_start_allowance() {
    let mut list = entries(0..4);
    list[0].started_at = 999 * SECOND;
    let mut p = Proxy::with(settings(), list.clone());
    let to_cold = (0..200u64).filter(|i| p.served(i * 7919, true) == list[0].server).count();
    assert!(to_cold <= 30, "{to_cold} of 200 at a new proxy");
}

#[test]
fn overload_is_shed_and_all_is_admitted_again_after_recovery() {
    // Danger: repeats keep endpoints overloaded that go on with work nobody waits for.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    let mut rejected = 0;
    for i in 0..400u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(i * 7919);
        match sent(&actions) {
            Some(_) => drop(p.event(Event::ClientGone(id))),
            None => rejected += 1,
        }
    }
    assert!(rejected > 200, "{rejected} of 400 rejected while nothing is served");
    for i in 0..2000u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(i * 7919);
        if let Some(server) = sent(&actions) {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    for i in 0..100 {
        p.now += 20 * MS;
        p.served(i * 7919, true); // Panics unless all requests are admitted again.
    }
}

#[test]
fn a_long_time_budget_of_one_try_does_not_make_other_first_tries_look_late() {
    // Danger: a last try has all the time left, more than a first one; a deadline by the longest budget seen
    // would reject nearly everything for good.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    let long = Request { key: Some(1), remaining: 790 * MS, ..Request::default() };
    let (id, _) = p.ask_as(long);
    p.event(Event::ClientGone(id));
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, _) = p.ask_as(Request { key: Some(i), remaining: 500 * MS, ..Request::default() });
        p.event(Event::ClientGone(id));
    }
    let mut admitted = 0;
    for i in 0..1500u64 {
        p.now += 10 * MS;
        let (id, a) = p.ask_as(Request { key: Some(i * 31), remaining: 500 * MS, ..Request::default() });
        if let Some(server) = sent(&a) {
            admitted += 1;
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(admitted > 800, "{admitted} of 1500 admitted");
}

#[test]
fn broken_connections_are_retried_but_rejections_and_errors_are_not() {
    // Danger: under load or with a slow origin, retries at endpoints that lack the key are misses that feed the
    // overload.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..300);
    for (key, status, again) in [
        (11, Status::Full, false),
        (12, Status::Error, false),
        (13, Status::ConnectFailed, true),
        (14, Status::Reset, true),
    ] {
        let (id, actions) = p.ask(key * 7919);
        let first = sent(&actions).expect("sent");
        let actions = p.end(id, 0, first, status, None);
        assert_eq!(sent(&actions).is_some(), again, "{status:?}");
        assert_eq!(finals(&actions) == 1, !again, "{status:?}");
        if let Some(second) = sent(&actions) {
            p.end(id, 1, second, Status::Ok, Some(true));
        }
    }
}

#[test]
fn requests_without_endpoints_or_time_left_get_a_final_answer() {
    let mut p = Proxy::with(Settings::default(), Vec::new());
    let (_, actions) = p.ask(1);
    assert_eq!(finals(&actions), 1);
    let mut p = Proxy::with(settings(), entries(0..3));
    let (_, actions) = p.ask_as(Request { class: 9, key: None, remaining: 0, ..Request::default() });
    assert_eq!(finals(&actions), 1);
    let mut odd = entry(1);
    odd.weight = f64::NAN;
    p.list(ListKind::Full, vec![odd]);
    assert!(sent(&p.ask(5).1).is_some());
    assert!(p.end(999, 7, 1, Status::Ok, None).is_empty());
    assert!(p.event(Event::Timer(u64::MAX)).is_empty());
}

#[test]
fn in_cache_aside_deployments_only_misses_and_writes_go_to_the_origin() {
    let mut s = settings();
    s.is_cache_aside = true;
    s.origin_kind = Some(5);
    let mut list = entries(0..6);
    list[2].kind = 5;
    let origin = list[2].server;
    let mut p = Proxy::with(s, list);
    for key in 0..50 {
        assert_ne!(p.served(key * 7919, true), origin);
    }
    let (id, actions) = p.ask(KEY);
    let server = sent(&actions).expect("sent");
    let actions = p.end(id, 0, server, Status::Miss, Some(false));
    assert_eq!(sent(&actions), Some(origin));
    let write = Request { key: Some(1), is_write: true, remaining: 800 * MS, ..Request::default() };
    assert_eq!(sent(&p.ask_as(write).1), Some(origin));
}

#[test]
fn a_failed_subscription_is_retried_in_time_and_the_last_list_stays_in_use() {
    let mut s = settings();
    s.must_subscribe = true;
    let mut p = Proxy::new(s.clone(), 3);
    let mut actions = p.list(ListKind::Cached, entries(0..5));
    for _ in 0..6 {
        let timer = actions.iter().rev().find_map(|a| match a {
            Action::Timer { token, delay } => Some((*token, *delay)),
            _ => None,
        });
        let (token, delay) = timer.expect("armed");
        assert!(delay < s.max_subscribe_delay);
        p.now += delay;
        assert!(p.event(Event::Timer(token)).contains(&Action::Subscribe));
        actions = p.list(ListKind::Failed, Vec::new());
    }
    assert!(sent(&p.ask(1).1).is_some(), "the last list stays in use");
}

/// Sends `n` requests of a tenant, 2 ms apart, each ended with `status`; returns how many were sent.
fn burst(p: &mut Proxy, tenant: u32, n: u64, status: Status) -> usize {
    let mut admitted = 0;
    for i in 0..n {
        p.now += 2 * MS;
        let r =
            Request { key: Some(i * 7919), tenant: Some(tenant), remaining: 800 * MS, ..Request::default() };
        let (id, actions) = p.ask_as(r);
        if let Some(server) = sent(&actions) {
            admitted += 1;
            p.end(id, 0, server, status, Some(true));
        }
    }
    admitted
}

fn two_tenants() -> Settings {
    let tenants = vec![Tenant { quota_rps: 400.0 }, Tenant { quota_rps: 4000.0 }];
    Settings { tenants, over_share_worth: 0.05, ..settings() }
}

#[test]
fn under_overload_a_tenant_beyond_its_quota_is_rejected_first() {
    // Danger: rejecting all alike when one tenant sends three times its share starves those within theirs.
    let mut p = Proxy::with(two_tenants(), entries(0..10));
    burst(&mut p, 0, 1000, Status::Ok);
    burst(&mut p, 1, 3000, Status::Full);
    burst(&mut p, 0, 1000, Status::Ok);
    burst(&mut p, 1, 500, Status::Full);
    let within = burst(&mut p, 1, 500, Status::Full);
    assert!(
        within > 450,
        "{within} of 500 admitted, all within the quota though endpoints rejected many before"
    );
    let over = burst(&mut p, 0, 500, Status::Ok);
    assert!(over < 300, "{over} of 500 admitted where 200 are within the quota");
    for _ in 0..8 {
        burst(&mut p, 0, 500, Status::Ok);
    }
    assert!(burst(&mut p, 0, 500, Status::Ok) > 450, "all are admitted again once there is capacity");
}

#[test]
fn rejections_by_endpoints_alone_shed_no_requests_of_usual_value() {
    // Danger: a full endpoint rejects by itself, at no cost; rejecting ahead of it only leaves it idle.
    let mut p = Proxy::with(settings(), entries(0..10));
    burst(&mut p, 0, 2000, Status::Full);
    assert_eq!(burst(&mut p, 0, 200, Status::Full), 200);
    // Where each attempt costs a handshake that has a price, hammering full endpoints wastes what capacity they
    // have left.
    let mut p = Proxy::with(Settings { handshake_price: 0.05, ..settings() }, entries(0..10));
    burst(&mut p, 0, 4000, Status::Full);
    assert!(burst(&mut p, 0, 200, Status::Full) < 120);
}

#[test]
fn no_endpoint_is_ejected_when_all_fail_alike() {
    // Danger: with a slow origin every endpoint times out at times; ejecting each for that moves all keys to the
    // few that are left, and each move is a miss at the origin that is slow already.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..300);
    let mut moved = 0;
    for i in 0..2000u64 {
        p.now += 4 * MS;
        let (id, actions) = p.ask((i % 50) * 7919);
        let Some(server) = sent(&actions) else { continue };
        let home = sent(&Proxy::with(settings(), entries(0..10)).ask((i % 50) * 7919).1);
        moved += usize::from(i > 1000 && home != Some(server));
        let bad = i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 62 == 0;
        let (status, after) = if bad { (Status::Timeout, 300 * MS) } else { (Status::Ok, 20 * MS) };
        p.end_after(id, 0, server, status, Some(true), after);
    }
    assert!(moved < 400, "{moved} of 1000 moved while a quarter fails everywhere");
}

#[test]
fn an_endpoint_that_fails_fast_most_of_the_time_is_ejected() {
    // Danger: an endpoint that returns errors at once looks fast, and its few successes clear it each time.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..300);
    let bad = sent(&p.ask(KEY).1).expect("sent");
    let mut to_bad = 0;
    for i in 0..2000u64 {
        p.now += 4 * MS;
        let (id, actions) = p.ask(i * 7919);
        let Some(server) = sent(&actions) else { continue };
        to_bad += usize::from(server == bad);
        let fails = server == bad && i % 8 != 0;
        p.end(id, 0, server, if fails { Status::Error } else { Status::Ok }, Some(true));
    }
    assert!(to_bad < 60, "{to_bad} of 2000 sent to an endpoint that fails seven of eight");
}

#[test]
fn an_overloaded_origin_gets_few_fetches_until_it_answers_in_time() {
    // Danger: an origin busy with work nobody waits for fills no cache, so all reads stay misses for good.
    let (mut p, origin) = aside_proxy();
    let mut out: Vec<(RequestId, Nanos)> = Vec::new();
    // Every read misses; the origin answers each fetch after `wait`, or lets it time out.
    let mut second = |p: &mut Proxy, wait: Nanos, status: Status| {
        let mut fetches = 0;
        for i in 0..200u64 {
            p.now += 5 * MS;
            let (id, actions) = p.ask(p.now + i * 7919);
            if let Some(server) = sent(&actions) {
                if sent(&p.end(id, 0, server, Status::Miss, Some(false))) == Some(origin) {
                    fetches += 1;
                    out.push((id, p.now));
                }
            }
            while out.first().is_some_and(|o| o.1 + wait <= p.now) {
                let (id, at) = out.remove(0);
                p.end_after(id, 1, origin, status, None, p.now - at);
            }
        }
        fetches
    };
    assert_eq!(second(&mut p, 40 * MS, Status::Ok), 200, "a healthy origin gets every miss");
    (0..10).for_each(|_| assert!(second(&mut p, 600 * MS, Status::Timeout) <= 200));
    let overloaded = second(&mut p, 600 * MS, Status::Timeout);
    assert!(overloaded < 20, "{overloaded} fetches in a second at an origin that answers none in time");
    (0..10).for_each(|_| assert!(second(&mut p, 40 * MS, Status::Ok) <= 200));
    let well = second(&mut p, 40 * MS, Status::Ok);
    assert!(well > 190, "{well} of 200 fetches once it answers in time again");
}

#[test]
fn with_sparse_traffic_admission_recovers_within_seconds_of_an_overload() {
    // Danger: with a few requests per second a window lasts seconds; recovery by one step per window takes
    // minutes.
    let mut p = Proxy::with(settings(), entries(0..10));
    for i in 0..300u64 {
        p.now += 200 * MS;
        let (id, actions) = p.ask(i * 7919);
        if sent(&actions).is_some() {
            p.event(Event::ClientGone(id));
        }
    }
    let mut admitted = 0;
    for i in 0..150u64 {
        p.now += 200 * MS;
        let (id, actions) = p.ask(i * 7919);
        if let Some(server) = sent(&actions) {
            admitted += usize::from(i >= 125);
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(admitted >= 20, "{admitted} of 25 admitted 25 s after the recovery");
}

#[test]
fn cold_endpoints_get_more_keys_than_their_least_warmth() {
    // Danger: during a rolling restart new endpoints idle while those not yet restarted are overloaded.
    let mut list = entries(0..8);
    list.iter_mut().take(4).for_each(|e| e.started_at = 996 * SECOND);
    let cold: Vec<ServerId> = list.iter().take(4).map(|e| e.server).collect();
    let mut p = Proxy::with(settings(), list);
    (0..200u64).for_each(|i| assert!(p.served(i * 7919, true) > 0));
    let part = (0..200u64).filter(|i| cold.contains(&p.served(i * 104_729, true))).count();
    // After 8 to 12 of 20 seconds they have at least 0.5 to 0.7 of their capacity; by that alone they get 58.
    assert!(part >= 70, "{part} of 200 sent to the half that started recently");
}

#[test]
fn late_misses_at_a_slow_origin_do_not_cause_fast_hits_to_be_rejected() {
    // Danger: where endpoints fetch for themselves, misses time out while hits are as fast as ever; shedding for
    // that rejects nine hits for each miss it spares.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..100);
    let mut rejected = 0;
    for i in 0..1500u64 {
        p.now += 4 * MS;
        let (id, actions) = p.ask(i * 7919);
        let Some(server) = sent(&actions) else {
            rejected += 1;
            continue;
        };
        let (status, after) = if i % 2 == 0 { (Status::Timeout, 300 * MS) } else { (Status::Ok, 20 * MS) };
        p.end_after(id, 0, server, status, Some(true), after);
    }
    assert!(rejected < 50, "{rejected} of 1500 rejected");
}

#[test]
fn while_the_origin_answers_no_fetch_few_wait_for_it_and_cached_keys_are_served() {
    // Danger: where endpoints fetch for themselves, an origin overloaded by fetches that nobody waits for any more
    // fills no cache; every read of an uncached key stays a miss and feeds the overload.
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..100);
    let mut out: Vec<(RequestId, ServerId, Nanos)> = Vec::new();
    let (mut sent_late, mut rejected) = (0, 0);
    for i in 0..2000u64 {
        p.now += 5 * MS;
        while out.first().is_some_and(|o| o.2 + 300 * MS <= p.now) {
            let (id, server, _) = out.remove(0);
            p.end_after(id, 0, server, Status::Timeout, None, 300 * MS);
        }
        if i % 2 == 0 {
            let (id, actions) = p.ask(0x9999_0000 + i / 2 % 100 * 7919);
            match sent(&actions) {
                Some(server) => drop(p.end(id, 0, server, Status::Ok, Some(true))),
                None => rejected += 1,
            }
        } else {
            let (id, actions) = p.ask(i * 104_729);
            if let Some(server) = sent(&actions) {
                out.push((id, server, p.now));
                sent_late += usize::from(i > 1000);
            }
        }
    }
    assert!(sent_late < 60, "{sent_late} of 500 reads sent to wait for the overloaded origin");
    // Some share a bucket with a key that is not cached.
    assert!(rejected < 100, "{rejected} of 1000 reads of cached keys rejected");
}

#[test]
fn unresponsive_endpoints_are_noticed_at_the_latency_objective_and_not_at_the_deadline() {
    // Danger: where clients wait for several times the objective, an unresponsive fleet is sent all requests in the
    // meantime.
    let mut s = settings();
    s.classes[0].deadline = 10 * SECOND;
    s.classes[0].late_value = 0.5;
    let mut p = Proxy::with(s, entries(0..10));
    let mut rejected = 0;
    for i in 0..500u64 {
        p.now += 10 * MS;
        let r = Request { key: Some(i * 7919), remaining: 10 * SECOND, ..Request::default() };
        rejected += finals(&p.ask_as(r).1);
    }
    assert!(rejected > 150, "{rejected} of 500 rejected within 5 s in which no request was answered");
}

/// A proxy of a cache-aside deployment with six endpoints, the third of them the origin, and the origin's id.
fn aside_proxy() -> (Proxy, ServerId) {
    let mut list = entries(0..6);
    list[2].kind = 5;
    let origin = list[2].server;
    (Proxy::with(Settings { is_cache_aside: true, origin_kind: Some(5), ..settings() }, list), origin)
}

/// Sends a read that misses; returns its id and whether it then went to the origin.
fn read_that_misses(p: &mut Proxy, key: u64, origin: ServerId) -> (RequestId, bool) {
    let (id, actions) = p.ask(key);
    let server = sent(&actions).expect("sent");
    (id, sent(&p.end(id, 0, server, Status::Miss, Some(false))) == Some(origin))
}

#[test]
fn failed_connects_to_the_origin_do_not_reduce_its_limit() {
    // Danger: admitted for overload, full connection tables had a tenth of all reads rejected while the origin
    // answered in 90 ms.
    let (mut p, origin) = aside_proxy();
    for i in 0..200 {
        p.now += 5 * MS;
        let (id, asked) = read_that_misses(&mut p, i * 7919, origin);
        assert!(asked, "fetch {i} after failed connects alone");
        p.end_after(id, 1, origin, Status::ConnectFailed, None, MS);
    }
    let asked = (0..20).filter(|i| read_that_misses(&mut p, (1000 + i) * 7919, origin).1).count();
    assert_eq!(asked, 20, "as many at once as before");
}

#[test]
fn a_broken_connection_to_the_origin_is_retried_and_does_not_reduce_its_limit() {
    // Danger: where one connection in twenty broke, a tenth of all reads was rejected while the origin was
    // healthy.
    let (mut p, origin) = aside_proxy();
    for i in 0..200 {
        p.now += 5 * MS;
        let (id, asked) = read_that_misses(&mut p, i * 7919, origin);
        assert!(asked, "fetch {i} after broken connections alone");
        let again = p.end_after(id, 1, origin, Status::Reset, None, MS);
        assert!(i > 0 || sent(&again) == Some(origin), "{again:?}");
        if sent(&again).is_some() {
            p.end_after(id, 2, origin, Status::Ok, None, MS);
        }
    }
}

#[test]
fn one_broken_connection_moves_no_keys() {
    // Danger: where the network breaks connections, endpoints ejected for one of these had all their keys moved
    // to endpoints that lack them.
    let mut p = Proxy::with(settings(), entries(0..6));
    p.crowd(0..600);
    let first = p.served(KEY, true);
    let (id, _) = p.ask(KEY);
    assert_ne!(sent(&p.end(id, 0, first, Status::Reset, None)), Some(first));
    assert_eq!(p.served(KEY, true), first);
}

#[test]
fn timeouts_of_clients_that_wait_less_than_the_objective_do_not_eject_endpoints() {
    let mut p = Proxy::with(Settings { marks_retry: true, ..settings() }, entries(0..6));
    p.crowd(0..600);
    let first = p.served(KEY, true);
    let mut cut = 0;
    for key in 0..200u64 {
        p.now += MS;
        let ask = Request { key: Some(key * 7919), remaining: 100 * MS, ..Request::default() };
        let (id, actions) = p.ask_as(ask);
        match sent(&actions) {
            Some(server) if server == first && cut < 6 => {
                cut += 1;
                p.now += 100 * MS;
                p.end_after(id, 0, first, Status::Timeout, None, 100 * MS);
            }
            Some(server) => drop(p.end(id, 0, server, Status::Ok, Some(true))),
            None => {}
        }
        if cut == 6 {
            break;
        }
    }
    // All at one moment, so that no ejection ends meanwhile.
    let used = (1000..1060u64).filter(|key| sent(&p.ask(key * 7919).1) == Some(first)).count();
    assert!(cut == 6 && used > 3, "{used} of 60 after {cut}");
}

#[test]
fn rejections_do_not_clear_an_endpoint_that_serves_nothing() {
    // Danger: an overloaded endpoint rejects some requests and lets the rest time out; cleared by each rejection,
    // it kept its keys for ten seconds without serving one.
    let s = Settings { allows_hedging: false, ..settings() };
    let mut p = Proxy::with(s, entries(0..20));
    p.crowd(0..600);
    let first = p.served(KEY, true);
    for i in 0..40u64 {
        let (id, actions) = p.ask(KEY);
        if sent(&actions).expect("sent") != first {
            return;
        }
        p.now += 300 * MS;
        let status = if i % 2 == 0 { Status::Full } else { Status::Timeout };
        p.end_after(id, 0, first, status, None, 300 * MS);
        // A fifth of the requests to the other endpoints fails too.
        for k in 0..20 {
            p.now += MS;
            let (id, actions) = p.ask((i * 20 + k) * 7919);
            let server = sent(&actions).expect("sent");
            let status = if k % 5 == 0 { Status::Error } else { Status::Ok };
            if server == first {
                p.event(Event::ClientGone(id));
            } else {
                p.end(id, 0, server, status, Some(true));
            }
        }
    }
    panic!("an endpoint with rejections and timeouts alone still gets requests");
}

#[test]
fn one_late_fetch_with_sparse_traffic_does_not_close_the_origin() {
    // Danger: a proxy with one fetch in flight at a time fell to a limit of one at each late fetch, and rejected
    // every second read of a burst while the origin was healthy.
    let (mut p, origin) = aside_proxy();
    let (id, asked) = read_that_misses(&mut p, 1, origin);
    assert!(asked);
    p.now += 300 * MS;
    p.end_after(id, 1, origin, Status::Timeout, None, 300 * MS);
    let asked = (0..20).filter(|i| read_that_misses(&mut p, (10 + i) * 7919, origin).1).count();
    assert_eq!(asked, 20);
}

#[test]
fn nonsensical_settings_and_values_never_panic() {
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300] {
        for (long, aside) in [(0, true), (1, false), (u64::MAX, true), (u64::MAX, false)] {
            let class = Class {
                latency_objective: long,
                deadline: long,
                late_value: odd,
                worth: odd,
                ..Class::default()
            };
            let keyed = Class { effect: Effect::Keyed, dedup_window: long, ..class.clone() };
            let s = Settings {
                classes: vec![class, keyed],
                tenants: vec![Tenant { quota_rps: odd }],
                proxies: if long == 0 { 0 } else { u32::MAX },
                proxy_index: u32::MAX,
                must_subscribe: true,
                is_cache_aside: aside,
                origin_kind: Some(1),
                over_share_worth: odd,
                value_is_per_work_unit: long == 1,
                max_attempts: if long == 0 { 0 } else { u32::MAX },
                allows_cancel: true,
                allows_hedging: true,
                max_retry_after: long,
                conn_idle: long,
                handshake_price: odd,
                cross_zone_price: odd,
                initial_capacity_fraction: odd,
                warm_up_time: long,
                overload_multiple: odd,
                overload_window: long,
                max_subscribe_delay: long,
                ..Settings::default()
            };
            let mut p = Proxy::new(s, long);
            let list =
                (0..8).map(|n| Entry { weight: odd, started_at: long * (n % 2), ..entry(n) }).collect();
            p.list(ListKind::Cached, list);
            for i in 0..200u64 {
                p.now = if i == 150 { u64::MAX - 1 } else { p.now.saturating_add(MS) };
                let (class, tenant) = ((i % 3) as u32, Some((i % 2) as u32));
                let key = (i % 7 > 0).then_some(i % 7);
                let request = Request {
                    class,
                    tenant,
                    key,
                    remaining: long,
                    is_write: i % 5 == 0,
                    ..Request::default()
                };
                let (id, mut actions) = p.ask_as(request);
                for attempt in 0..3 {
                    let Some(server) = sent(&actions) else { break };
                    let status =
                        [Status::Ok, Status::Miss, Status::Timeout, Status::ConnectFailed][i as usize % 4];
                    let (elapsed, last) = (long, status == Status::Ok);
                    let hit = Some(i % 2 == 0);
                    actions = p.event(Event::Outcome { id, attempt, server, status, elapsed, last, hit });
                }
                for token in [id, i << 56, 1 << 56 | id, 2 << 56 | i, u64::MAX] {
                    p.event(Event::Timer(token));
                }
                p.event(Event::ClientGone(id));
            }
            p.list(ListKind::Failed, Vec::new());
        }
    }
}

#[test]
fn with_sparse_traffic_less_than_one_fetch_at_a_time_goes_to_an_overloaded_origin() {
    // Danger: fifty proxies with one probable fetch in flight each sent an origin more than it served, for good.
    let mut sends = 0;
    for seed in 0..10 {
        let mut p = Proxy::new(settings(), seed);
        p.list(ListKind::Cached, entries(0..20));
        for i in 0..120u64 {
            p.now += 300 * MS;
            let (id, actions) = p.ask((seed * 1000 + i) * 104_729);
            if let Some(server) = sent(&actions) {
                sends += usize::from(i >= 80);
                p.now += 300 * MS;
                if sent(&p.end_after(id, 0, server, Status::Timeout, None, 300 * MS)).is_some() {
                    p.event(Event::ClientGone(id));
                }
            }
        }
    }
    assert!((20..240).contains(&sends), "{sends} of 400 sent");
}

#[test]
fn fetches_that_fail_no_more_often_than_hits_do_not_reduce_the_origin_limit() {
    // Danger: where answers get lost on the way, some fetches fail too; taking that for overload of the origin
    // rejected a fifth of the reads on quiet days.
    let mut p = Proxy::with(settings(), entries(0..20));
    let mut rejected = 0;
    for i in 0..3000u64 {
        p.now += 5 * MS;
        let (id, actions) = p.ask(i.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some(server) = sent(&actions) else {
            rejected += 1;
            continue;
        };
        if i % 5 == 0 {
            let again = p.end_after(id, 0, server, Status::Timeout, None, 300 * MS);
            if let Some(second) = sent(&again) {
                p.end(id, 1, second, Status::Ok, Some(true));
            }
        } else {
            p.end(id, 0, server, Status::Ok, Some(i % 2 == 0));
        }
    }
    assert!(rejected < 60, "{rejected} of 3000 rejected");
}

#[test]
fn a_slow_attempt_is_hedged_and_the_loser_is_cancelled() {
    // Danger: an answer lost on the way, or an endpoint that hangs, holds the request until it is worthless.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..100);
    let (id, actions) = p.ask(KEY);
    let first = sent(&actions).expect("sent");
    let timer = actions.iter().find_map(|a| {
        if let Action::Timer { token, delay } = a {
            Some((*token, *delay))
        } else {
            None
        }
    });
    let (token, delay) = timer.expect("a timer");
    assert!(delay >= 60 * MS, "well over the usual 20 ms: {delay}");
    p.now += delay;
    let second = sent(&p.event(Event::Timer(token))).expect("a hedge");
    assert_ne!(first, second);
    let actions = p.end(id, 1, second, Status::Ok, Some(true));
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn hedges_stay_within_the_retry_budget() {
    // Danger: when all endpoints turn slow at once, hedges double their work.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..100);
    let mut hedges = 0;
    for i in 0..200 {
        let (_, actions) = p.ask(i * 7919);
        p.now += 100 * MS;
        for a in actions {
            if let Action::Timer { token, .. } = a {
                hedges += usize::from(sent(&p.event(Event::Timer(token))).is_some());
            }
        }
    }
    assert!(hedges > 0 && hedges <= 10 + 60, "{hedges} hedges of 200 requests");
}

#[test]
fn while_connects_fail_endpoints_with_an_open_connection_are_preferred() {
    // Danger: with full tables or slow handshakes each attempt at yet another endpoint is one more failure.
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..40);
    let reached = p.served(KEY, true);
    // From here on only that endpoint can be reached.
    let mut failed = 0;
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, mut actions) = p.ask(i * 7919);
        let mut n = 0;
        while let Some(server) = sent(&actions) {
            let ok = server == reached;
            failed += u32::from(!ok && i >= 200);
            let status = if ok { Status::Ok } else { Status::ConnectFailed };
            actions = p.end(id, n, server, status, Some(true));
            n += 1;
        }
    }
    assert!(failed < 20, "{failed} failed connects in the last 100 requests");
}

#[test]
fn an_unmarked_try_with_little_time_left_counts_as_a_first_one_where_clients_mark_repeats() {
    // Danger: impatient clients look like repeats that arrive past their objective, and are rejected as hopeless.
    for (marks_retry, retry, served) in [(true, false, true), (true, true, false), (false, false, false)] {
        let mut p = Proxy::with(Settings { marks_retry, ..settings() }, entries(0..10));
        p.crowd(0..100);
        let short =
            Request { key: Some(KEY), remaining: 250 * MS, is_marked_retry: retry, ..Request::default() };
        assert_eq!(sent(&p.ask_as(short).1).is_some(), served, "marks {marks_retry}, marked {retry}");
    }
}

#[test]
fn in_cache_aside_deployments_a_timeout_counts_as_a_miss_and_goes_to_the_origin() {
    // Danger: where answers get lost, the key's other endpoints lack it and the request is late for nothing.
    let origin = entry(7).server;
    let s = Settings {
        is_cache_aside: true,
        origin_kind: Some(1),
        allows_hedging: false,
        max_attempts: 2,
        ..settings()
    };
    let mut p = Proxy::with(s, entries(0..8));
    p.crowd(0..100);
    let (id, actions) = p.ask(KEY);
    let timeout =
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None });
    let (server, timeout) = (sent(&actions).expect("sent"), timeout.expect("sent"));
    assert!(timeout < 150 * MS, "while there is time for another: {timeout}");
    p.now += timeout;
    let actions = p.end_after(id, 0, server, Status::Timeout, None, timeout);
    assert_eq!(sent(&actions), Some(origin));
}

#[test]
fn first_reads_of_buckets_are_not_rejected_while_fetches_come_in_time() {
    // Danger: a proxy that has just started, or the rare keys of a quiet day, would be admitted for a flood of fetches.
    let mut p = Proxy::with(settings(), entries(0..20));
    let sent = (0..60u64).filter(|i| sent(&p.ask(i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).1).is_some()).count();
    assert_eq!(sent, 60);
}

#[test]
fn endpoints_that_a_class_is_restricted_to_get_fewer_keys_of_other_classes() {
    // Danger: the endpoints open to a restricted class serve it alone, and half of everything else besides.
    let mut s = settings();
    let restricted = Class { zones: Some(vec![0]), ..s.classes[0].clone() };
    s.classes.push(restricted);
    let part = |s: &Settings| {
        let in_zone = |key: u64| {
            let mut p = Proxy::with(s.clone(), entries(0..21));
            let first = sent(&p.ask(key * 0x1234_5677).1).expect("sent");
            entries(0..21).iter().any(|e| e.server == first && e.zone == 0)
        };
        (0..600).filter(|k| in_zone(*k)).count()
    };
    let (restricted, free) = (part(&s), part(&settings()));
    assert!((170..230).contains(&free), "a third of the keys where no class is restricted: {free}");
    assert!((90..150).contains(&restricted), "a fifth where a class is restricted to a third: {restricted}");
}

#[test]
fn the_initial_origin_limit_is_shared_by_many_proxies() {
    // Danger: after hundreds of proxies have started, their first misses alone overload the origin.
    for (proxies, most) in [(4, 32), (600, 2)] {
        let s = Settings { is_cache_aside: true, origin_kind: Some(1), proxies, ..settings() };
        let mut p = Proxy::with(s, entries(0..8));
        let asked = (0..50).filter(|i| read_that_misses(&mut p, i * 7919, entry(7).server).1).count();
        assert_eq!(asked, most, "{proxies} proxies");
    }
}

#[test]
fn one_late_read_does_not_make_a_bucket_with_recent_hits_a_fetch() {
    // Danger: while fetches come late, one late read of a rare key shut out the bucket's popular keys.
    let mut p = Proxy::with(settings(), entries(0..20));
    (0..3).for_each(|_| assert_ne!(p.served(KEY, true), 0));
    // Fetches of other buckets all fail and reduce the origin limit; then a read of the bucket itself fails.
    let late = |p: &mut Proxy, key: u64| {
        let (id, actions) = p.ask(key);
        let Some(server) = sent(&actions) else { return };
        p.now += 300 * MS;
        if let Some(second) = sent(&p.end_after(id, 0, server, Status::Timeout, None, 300 * MS)) {
            p.end_after(id, 1, second, Status::Timeout, None, 300 * MS);
        }
    };
    (0..40).for_each(|i| {
        late(&mut p, i * 7919);
        p.crowd(0..4);
    });
    late(&mut p, KEY);
    let asked = (0..20).filter(|_| sent(&p.ask(KEY).1).is_some()).count();
    assert!(asked >= 15, "{asked} of 20 reads of a bucket that was cached a moment ago");
}

#[test]
fn a_timeout_is_not_retried_at_an_origin_whose_fetches_come_late() {
    // Danger: where a hot key overloads an endpoint, the timeouts of a thousand proxies overload the origin too.
    let origin = entry(7).server;
    let s = Settings {
        is_cache_aside: true,
        origin_kind: Some(1),
        allows_hedging: false,
        max_attempts: 2,
        ..settings()
    };
    let mut p = Proxy::with(s, entries(0..8));
    p.crowd(0..100);
    for i in 0..3u64 {
        let (id, asked) = read_that_misses(&mut p, i * 7919, origin);
        assert!(asked);
        p.now += 300 * MS;
        p.end_after(id, 1, origin, Status::Timeout, None, 300 * MS);
    }
    let (id, actions) = p.ask(KEY);
    let server = sent(&actions).expect("sent");
    p.now += 100 * MS;
    let actions = p.end_after(id, 0, server, Status::Timeout, None, 100 * MS);
    assert_eq!((sent(&actions), finals(&actions)), (None, 1));
}

fn send_pinned(p: &mut Proxy, to: ServerId) -> (RequestId, Vec<Action>) {
    p.ask_as(Request { key: Some(KEY), remaining: 800 * MS, pinned: Some(to), ..Request::default() })
}

#[test]
fn a_pinned_request_goes_to_its_endpoint_while_the_rules_allow_it() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..300);
    let home = p.served(KEY, true);
    let to = entries(0..20).iter().map(|e| e.server).find(|s| *s != home).expect("another");
    let (id, actions) = send_pinned(&mut p, to);
    assert_eq!(sent(&actions), Some(to));
    // It fails there: the next attempt goes elsewhere, as any would.
    let next = sent(&p.end(id, 0, to, Status::ConnectFailed, None)).expect("tried again");
    assert_ne!(next, to);
    // A pin does not undo a drain, and one to an endpoint that is not listed has no effect.
    let drained = entries(0..20).into_iter().filter(|e| e.server == to);
    let drained = drained.map(|e| Entry { state: State::Draining, ..e }).collect();
    p.list(ListKind::Delta, drained);
    let (_, actions) = send_pinned(&mut p, to);
    assert_ne!(sent(&actions).expect("sent"), to);
    let (_, actions) = send_pinned(&mut p, server_id("nobody"));
    assert!(sent(&actions).is_some());
}

#[test]
fn pinned_requests_keep_within_the_slow_start_allowance() {
    let mut p = Proxy::with(settings(), entries(0..20));
    p.crowd(0..1500);
    let cold = Entry { started_at: p.now, ..entry(3) };
    let to = cold.server;
    p.list(ListKind::Delta, vec![cold]);
    let mut there = 0;
    for _ in 0..400 {
        let (id, actions) = send_pinned(&mut p, to);
        let server = sent(&actions).expect("sent");
        there += usize::from(server == to);
        p.now += MS;
        p.end(id, 0, server, Status::Ok, Some(true));
    }
    // At a fifth of its capacity, and three times that before it falls over, its share would be a twentieth of
    // the requests.
    assert!(there > 0 && there < 40, "{there} of 400");
}

/// One proxy of a hundred: sixteen requests per second to sixty endpoints.
fn sparse_traffic_proxy() -> Proxy {
    let mut p = Proxy::with(Settings { proxies: 100, ..settings() }, entries(0..60));
    for key in 0..200 {
        p.now += 60 * MS;
        p.served(key * 7919, true);
    }
    p
}

#[test]
fn with_sparse_traffic_a_rejection_is_retried_at_another_endpoint() {
    // Danger: other proxies' requests fill an endpoint; given up after a rejection, a quarter of all requests is
    // lost beside idle endpoints.
    let mut p = sparse_traffic_proxy();
    let (id, actions) = p.ask(KEY);
    let first = sent(&actions).expect("sent");
    let actions = p.end(id, 0, first, Status::Full, None);
    let second = sent(&actions).expect("tried elsewhere");
    assert_ne!(second, first);
    // Retries stay within their budget when everything is full.
    let mut tries = 0;
    for key in 0..300 {
        p.now += 60 * MS;
        let (id, mut actions) = p.ask(key * 104_729);
        let mut attempt = 0;
        while let Some(server) = sent(&actions) {
            tries += 1;
            actions = p.end(id, attempt, server, Status::Full, None);
            attempt += 1;
        }
        assert_eq!(finals(&actions), 1);
    }
    assert!(tries < 300 + 300 * 2 / 5, "{tries} attempts for 300 requests");
}

#[test]
fn with_sparse_traffic_repeated_rejections_eject_an_endpoint_and_one_error_does_not() {
    // Keys of one endpoint, by a proxy that has seen no failure.
    let (mut oracle, mut keys) = (sparse_traffic_proxy(), Vec::new());
    let home = oracle.served(KEY, true);
    for key in (0..4000).map(|k| k * 611_953) {
        let (id, actions) = oracle.ask(key);
        if sent(&actions) == Some(home) {
            keys.push(key);
        }
        oracle.end(id, 0, sent(&actions).expect("sent"), Status::Ok, Some(true));
    }
    for (status, times, ejected) in
        [(Status::Error, 1, false), (Status::Full, 1, false), (Status::Full, 6, true)]
    {
        let (mut p, mut keys) = (sparse_traffic_proxy(), keys.iter());
        for _ in 0..times {
            // Twelve seconds of requests to the other endpoints between two to this one.
            for key in 0..190 {
                p.now += 60 * MS;
                let (id, actions) = p.ask(key * 104_729);
                let server = sent(&actions).expect("sent");
                let status = if server == home { Status::Cancelled } else { Status::Ok };
                p.end(id, 0, server, status, Some(true));
            }
            let (id, actions) = p.ask(*keys.next().expect("keys enough"));
            let server = sent(&actions).expect("sent");
            let actions = p.end(id, 0, server, if server == home { status } else { Status::Ok }, None);
            if let Some(second) = sent(&actions) {
                p.end(id, 1, second, Status::Ok, Some(true));
            }
        }
        p.now += 4 * SECOND;
        let next = sent(&p.ask(*keys.next().expect("keys enough")).1);
        assert_eq!(next != Some(home), ejected, "{times} times {status:?}");
    }
}

/// Forty proxies with little traffic each, all upgraded three times while an endpoint is cold: the processes of a proxy spend
/// one allowance. Danger: each new process starts with a random part of a request, which is negligible for one proxy alone.
#[test]
fn processes_of_one_proxy_share_the_slow_start_allowance_over_upgrades() {
    let sent_to_cold = |handed: bool| {
        let mut list = entries(0..4);
        let settings = Settings { proxies: 40, ..settings() };
        list[0].started_at = 1001 * SECOND;
        let mut proxies: Vec<Proxy> = (0..40).map(|n| Proxy::new(settings.clone(), n)).collect();
        for p in &mut proxies {
            p.list(ListKind::Cached, entries(0..4));
            for i in 0..5 {
                p.served(i * 7919, true);
            }
            p.now = 1001 * SECOND;
            p.list(ListKind::Full, list.clone());
        }
        let (mut to_cold, mut key) = (0, 0);
        for process in 1..=3 {
            for (n, p) in proxies.iter_mut().enumerate() {
                let mut new = Proxy::new(settings.clone(), (process * 1000 + n) as u64);
                new.now = p.now;
                new.list(ListKind::Full, list.clone());
                if handed {
                    let given = p.balancer.release_slow_start_allowances(p.now);
                    assert!(
                        given.iter().any(|c| c.server == list[0].server && c.remaining_requests <= 1.0),
                        "{given:?}"
                    );
                    assert!(
                        p.balancer
                            .release_slow_start_allowances(p.now)
                            .iter()
                            .all(|c| c.remaining_requests == 0.0),
                        "the allowance is given away once"
                    );
                    new.balancer.inherit_slow_start_allowances(p.now, &given);
                }
                // The old process still has its open connections, and as many requests as the new one.
                for i in 0..20 {
                    key += 7919;
                    let by = if i % 2 == 0 { &mut *p } else { &mut new };
                    to_cold += u32::from(by.served(key, true) == list[0].server);
                    p.now += 20 * MS;
                    new.now = p.now;
                }
                *p = new;
            }
        }
        to_cold
    };
    let (handed, alone) = (sent_to_cold(true), sent_to_cold(false));
    println!("requests to the cold endpoint: {handed} with a shared allowance, {alone} without");
    // Each proxy's first process had half a request at random, and what all of them accrued in 1.2 s.
    assert!(handed <= 30 && alone >= handed + 15, "{handed}, and {alone} without");
}

/// The allowance belongs to one start of the endpoint, not to the next.
#[test]
fn a_slow_start_allowance_of_a_former_start_is_ignored() {
    let mut list = entries(0..4);
    list[0].started_at = 999 * SECOND;
    let (mut old, mut new) = (Proxy::with(settings(), list.clone()), Proxy::with(settings(), list.clone()));
    new.list(ListKind::Delta, vec![Entry { started_at: 1000 * SECOND, ..list[0].clone() }]);
    let before = new.balancer.release_slow_start_allowances(new.now);
    new.balancer.inherit_slow_start_allowances(new.now, &before);
    let mut given = old.balancer.release_slow_start_allowances(old.now);
    given.iter_mut().for_each(|c| c.remaining_requests = 7.0);
    new.balancer.inherit_slow_start_allowances(new.now, &given);
    assert_eq!(new.balancer.release_slow_start_allowances(new.now), before);
}

/// Caches that fetch for themselves, and an overloaded origin: the number of fetches sent, and the number of these hedged.
fn fetches_and_hedges(errors: usize) -> (usize, usize) {
    let mut p = Proxy::with(settings(), entries(0..7));
    p.crowd(0..100);
    let (mut sends, mut hedges) = (0, 0);
    for n in 0..600u64 {
        p.now += 30 * MS;
        let (id, actions) = p.ask(0x5000_0000 + n * 104_729);
        let Some(server) = sent(&actions) else { continue };
        let hedge = actions.iter().find_map(|a| match a {
            Action::Timer { token, delay } => Some((*token, *delay)),
            _ => None,
        });
        let mut hedged_to = None;
        if let Some((token, delay)) = hedge {
            p.now += delay;
            hedged_to = sent(&p.event(Event::Timer(token)));
        }
        if n >= 400 {
            sends += 1;
            hedges += usize::from(hedged_to.is_some());
        }
        let status = if n as usize % 4 < errors { Status::Error } else { Status::Ok };
        // Each attempt ends with this status, and so do those that follow from it.
        let mut out: Vec<ServerId> = std::iter::once(server).chain(hedged_to).collect();
        let mut attempt = 0;
        while attempt < out.len() {
            let last = status == Status::Ok && attempt > 0;
            let (number, to) = (attempt as u32, out[attempt]);
            let actions = match last {
                true => p.event(Event::Outcome {
                    id,
                    attempt: number,
                    server: to,
                    status: Status::Cancelled,
                    elapsed: 20 * MS,
                    last: true,
                    hit: None,
                }),
                false => p.end(id, number, to, status, Some(false)),
            };
            out.extend(sent(&actions));
            attempt += 1;
        }
    }
    (sends, hedges)
}

/// Danger: failed fetches also raise the failure rate by which overload is told from chance; and each hedge of a read is one more
/// fetch.
#[test]
fn an_overloaded_origin_behind_caches_gets_fewer_fetches_and_no_hedges() {
    let (healthy, overloaded) = (fetches_and_hedges(0), fetches_and_hedges(3));
    println!("of 200: {healthy:?} sent and hedged while all is healthy, {overloaded:?} under overload");
    assert_eq!(healthy.0, 200);
    assert!(overloaded.0 < 150, "{} of 200 fetches are still sent", overloaded.0);
    assert_eq!(overloaded.1, 0, "hedges");
}
