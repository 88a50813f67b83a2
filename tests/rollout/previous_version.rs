//! A rolling upgrade from the previous version of the program to this one and back, with an override, a policy and a rollout under way.

use super::*;
use rushquay_fleet_harness::LONG;
use std::path::PathBuf;
use std::time::Instant;

/// Names the previous version's program.
const PREVIOUS: &str = "RUSHQUAY_PREVIOUS";

fn shape_on(program: &str) -> Shape {
    let rollout = "times = 3.0\nbeyond = 0.1\nbeta = 0.2\n".into();
    let control = "leave_s = 3.0\nlimit_s = 60.0\nfloor_s = 600.0\nlook_ms = 50\n".to_owned();
    Shape { rollout, policy: Some((control, "ask_ms = 300\n".into())), ..Shape::new(program, 61) }
}

/// Posts until a leader takes it: while control services are replaced nobody may lead for a moment.
async fn post(fleet: &Fleet, path: &str, body: Value) -> Value {
    let start = Instant::now();
    loop {
        let (status, said) = fleet.post(path, body.clone()).await;
        match status {
            201 => return said,
            0 | 503 | 507 if start.elapsed() < LONG => tokio::time::sleep(Duration::from_millis(100)).await,
            _ => panic!("{path}: {status} {said}"),
        }
    }
}

/// Proposes a policy and waits until it is committed; its number.
async fn commit_policy(fleet: &Fleet, attempts: u64) -> Value {
    let settings = json!({"caps": {"attempts_cap": attempts}});
    let body = json!({"settings": settings, "floor": {"caps": {"attempts_cap": 1}}, "author": "ravi", "reason": "a test"});
    let number = post(fleet, "/v1/policy", body).await["policy"].clone();
    let start = Instant::now();
    while fleet.get("/v1/policy").await["holds"] != number {
        assert!(start.elapsed() < LONG, "policy {number} is not committed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    number
}

/// Replaces every control service and every proxy, one after another, by this program; `None`: by that of the fleet.
async fn replace_all(fleet: &mut Fleet, program: Option<&str>) {
    let other = || program.map(|program| (PathBuf::from(program), Vec::new()));
    for n in 0..fleet.controls.len() {
        fleet.controls[n].other = other();
        let process = fleet.controls[n].process.as_mut().expect("it runs");
        process.end();
        assert!(process.ended(), "a control service ends");
        fleet.start_control(n);
        fleet.leader().await;
    }
    for n in 0..fleet.proxies.len() {
        fleet.proxies[n].other = other();
        fleet.upgrade_proxy(n);
    }
}

async fn override_ids(fleet: &Fleet) -> Vec<u64> {
    let all = fleet.get("/v1/overrides").await;
    all["overrides"].as_array().expect("a list").iter().filter_map(|o| o["id"].as_u64()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the program of the previous version, which RUSHQUAY_PREVIOUS names"]
async fn an_upgrade_and_the_way_back_lose_no_request_override_policy_or_rollout() {
    let previous = std::env::var(PREVIOUS).expect("RUSHQUAY_PREVIOUS names a program");
    let mut fleet = Fleet::start(shape_on(&previous)).await;
    fleet.load(3, Duration::from_millis(15));
    until_usual(&fleet).await;
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_nanos() as u64;
    let body = json!({"scope": {"node": "n0.surat"}, "effect": "out", "until": now + 3600 * 1_000_000_000,
                      "author": "asha", "reason": "boiler"});
    let set = post(&fleet, "/v1/overrides", body).await["override"]["id"].as_u64().expect("a number");
    let first_policy = commit_policy(&fleet, 4).await;
    start(&fleet, harmless(), plan()).await;
    fleet.until("the first stage soaks", |s| phase(s) == "soaking").await;

    replace_all(&mut fleet, Some(env!("CARGO_BIN_EXE_rushquay"))).await;
    let done = fleet.until("the rollout is complete", |s| phase(s) == "done" && settled(s)).await;
    assert_eq!(override_ids(&fleet).await, [set]);
    assert_eq!(fleet.get("/v1/policy").await["holds"], first_policy);

    let second_policy = commit_policy(&fleet, 3).await;
    start(&fleet, json!({}), plan()).await;
    fleet.until("the first stage of the next soaks", |s| phase(s) == "soaking").await;
    replace_all(&mut fleet, None).await;
    let back = fleet.until("the next is complete", |s| phase(s) == "done" && settled(s)).await;
    assert_ne!(back["holds"], done["holds"]);
    assert_eq!(override_ids(&fleet).await, [set]);
    assert_eq!(fleet.get("/v1/policy").await["holds"], second_policy);

    let counts: Vec<_> = fleet.proxies.iter().flat_map(|p| fleet.counts(&p.name).into_values()).collect();
    let answered: u64 = counts.iter().map(|c| c.answered()).sum();
    let lost: u64 = counts.iter().map(|c| c.lost).sum();
    println!("{answered} requests answered, {lost} lost");
    assert_eq!(lost, 0, "requests without an answer");
    in_order(fleet).await;
}
