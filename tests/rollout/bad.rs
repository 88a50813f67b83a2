//! Changes that are worse, in different ways: each is stopped in its first stage, with one proxy changed, and goes back.

use super::*;

/// Plays a change that sends a class to the spare nodes, which `spoil` has made worse, and tells how it ended.
async fn stopped(seed: u64, class: &str, spoil: impl Fn(&Fleet)) -> (Fleet, Value) {
    let fleet = loaded(seed).await;
    spoil(&fleet);
    start(&fleet, to_spare(class), plan()).await;
    let end = fleet.until("it has gone back", |s| phase(s) == "gone-back" && settled(s)).await;
    let took = took(&fleet, &end["change"]["to"]);
    assert_eq!(took.len(), 1, "one proxy alone was ever asked to try it: {took:?}");
    assert_ne!(end["holds"], end["change"]["to"]);
    (fleet, end)
}

/// One answer in five of one class fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_that_fails_a_class_is_stopped_at_its_first_proxy() {
    let spoil = |f: &Fleet| f.nodes_of(rushquay_fleet_harness::SPARE).for_each(|n| n.failing(400, "/read"));
    let (fleet, end) = stopped(21, "read", spoil).await;
    assert!(words(&end).contains("read: ") && words(&end).contains("new 0."), "{}", words(&end));
    // The clients saw it too, at that one proxy and at no other.
    let bad = |name: &str| fleet.counts(name)["read"].refused + fleet.counts(name)["read"].failed;
    let harmed: Vec<&str> =
        fleet.proxies.iter().map(|p| p.name.as_str()).filter(|name| bad(name) > 5).collect();
    assert_eq!(harmed.len(), 1, "{harmed:?}");
    in_order(fleet).await;
}

/// Everything is served, but the smallest class takes longer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_that_slows_the_smallest_class_is_stopped_at_its_first_proxy() {
    let spoil = |f: &Fleet| {
        f.nodes_of(rushquay_fleet_harness::SPARE).for_each(|n| n.slower(Duration::from_millis(60)));
    };
    let (fleet, end) = stopped(22, "plan", spoil).await;
    assert!(words(&end).contains("plan: slower than"), "{}", words(&end));
    in_order(fleet).await;
}

/// Well at first: it turns bad while the stage soaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_that_turns_bad_later_is_stopped_too() {
    let fleet = loaded(23).await;
    let long = json!({"stages": [{"count": 1, "soak_s": 30.0}], "soak_s": 2.0, "confirm_s": 15.0, "patience_s": 120.0});
    start(&fleet, to_spare("read"), long).await;
    fleet.until("the first soaks", |s| phase(s) == "soaking").await;
    until_usual(&fleet).await;
    fleet.nodes_of(rushquay_fleet_harness::SPARE).for_each(|n| n.failing(400, "/read"));
    let end = fleet.until("it has gone back", |s| phase(s) == "gone-back" && settled(s)).await;
    assert!(words(&end).contains("read: "), "{}", words(&end));
    assert_eq!(took(&fleet, &end["change"]["to"]).len(), 1);
    in_order(fleet).await;
}

/// A trouble that strikes old and new alike holds the change, is not blamed on it, and does not pass it; when it is over the
/// change goes on to its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_trouble_that_strikes_all_holds_the_change_and_is_not_blamed_on_it() {
    let fleet = loaded(24).await;
    start(&fleet, harmless(), plan()).await;
    fleet.until("the first soaks", |s| phase(s) == "soaking").await;
    let all = |of_thousand| fleet.nodes.iter().for_each(|(_, n)| n.failing(of_thousand, "/"));
    all(500);
    let held = fleet.until("it is held", |s| phase(s) == "held").await;
    assert!(words(&held).contains("the whole fleet does worse"), "{}", words(&held));
    let took_then = took(&fleet, &held["change"]["to"]).len();
    until_usual(&fleet).await;
    let still = fleet.get("/v1/rollout").await;
    assert_eq!(phase(&still), "held", "{still:#}");
    assert_eq!(took(&fleet, &held["change"]["to"]).len(), took_then, "nobody was told meanwhile");
    all(0);
    fleet.until("it is done after all", |s| phase(s) == "done" && settled(s)).await;
    in_order(fleet).await;
}

/// Time that passes while nothing is kept counts: a change that takes longer than it may goes back, in the midst of a long soak.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_that_takes_longer_than_it_may_goes_back() {
    let fleet = loaded(25).await;
    let long = json!({"stages": [{"count": 1, "soak_s": 600.0}], "soak_s": 2.0, "confirm_s": 15.0, "patience_s": 900.0,
                      "limit_s": 12.0});
    start(&fleet, harmless(), long).await;
    let end = fleet.until("it has gone back", |s| phase(s) == "gone-back" && settled(s)).await;
    assert!(words(&end).contains("longer than it may"), "{}", words(&end));
    let ran = end["change"]["ran_s"].as_f64().expect("seconds");
    assert!((12.0..40.0).contains(&ran), "{ran} s");
    in_order(fleet).await;
}
