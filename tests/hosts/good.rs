//! Versions that are no worse.

use super::*;

/// Proxies in each data centre: three, or what `RUSHQUAY_PROXIES` says.
fn each() -> usize {
    std::env::var("RUSHQUAY_PROXIES").ok().and_then(|n| n.parse().ok()).unwrap_or(3)
}

/// A new version from the first stage to the last and back again, though its file was cleared away meanwhile: by hand-over, with
/// requests open all the while and none lost at the door.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_reaches_all_and_is_gone_back_from() {
    let fleet = loaded(61, each()).await;
    let (own, new) = (fleet.add_program(&[]), fleet.add_program(b"\nversion 2"));
    all_run(&fleet, &own).await;
    start(&fleet, json!({"program": new}), plan()).await;
    let done = fleet.until("the change is done", |s| phase(s) == "done").await;
    all_run(&fleet, &new).await;
    assert_eq!(tried(&fleet, &new).len(), fleet.proxies.len());
    let roster = fleet.get("/v1/roster").await;
    let programs = roster["proxies"].as_array().expect("proxies").iter().map(|p| &p["program"]);
    assert!(programs.clone().all(|p| *p == json!(new)), "{roster:#}");
    // What served before is not in the folder any more when it is asked for.
    std::fs::remove_file(fleet.programs().join(&own)).expect("it was there");
    start(&fleet, json!({}), plan()).await;
    fleet.until("it is done again", |s| phase(s) == "done" && s["holds"] != done["holds"]).await;
    all_run(&fleet, &own).await;
    let served: u64 =
        fleet.proxies.iter().flat_map(|p| fleet.counts(&p.name).into_values()).map(|c| c.served).sum();
    println!("{} proxies, {served} requests served, {} lost at the door", fleet.proxies.len(), lost(&fleet));
    assert_eq!(lost(&fleet), 0, "requests at the door");
    in_order(fleet).await;
}

/// With all control services away hosts go on by themselves: a proxy that is killed is started again, as the program and with the
/// settings that hold.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_ends_is_started_again_with_nobody_to_ask() {
    let mut fleet = loaded(62, 2).await;
    let (own, new) = (fleet.add_program(&[]), fleet.add_program(b"\nversion 2"));
    let settings = json!({"program": new, "caps": {"max_retry_after_ns": 3_000_000_000u64}});
    start(&fleet, settings, plan()).await;
    let done = fleet.until("the change is done", |s| phase(s) == "done").await;
    all_run(&fleet, &new).await;
    fleet.controls.iter_mut().for_each(|c| c.process.as_mut().expect("it runs").kill());
    let acts = |fleet: &Fleet| {
        let short = &done["holds"].as_str().expect("a digest")[..8];
        fleet
            .history
            .with(&format!("acting by settings {short}"))
            .iter()
            .filter(|l| l.who == "p0.rajkot")
            .count()
    };
    let rajkot = fleet.proxies.iter().position(|p| p.name == "p0.rajkot").expect("it is there");
    let (before, pid) = (acts(&fleet), fleet.running(rajkot)[0].0);
    fleet.kill_hosted(rajkot, pid);
    let begin = Instant::now();
    while acts(&fleet) == before {
        assert!(begin.elapsed() < rushquay_fleet_harness::LONG, "{}", fleet.history.last(60));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    all_run(&fleet, &new).await;
    assert_ne!(fleet.running(rajkot)[0].0, pid);
    assert_ne!(own, new);
    in_order(fleet).await;
}
