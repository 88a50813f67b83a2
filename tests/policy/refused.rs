//! What is refused or aborted: it holds nowhere, and says why.

use super::*;

/// One proxy can't obey it, since it knows too few data centres: aborted everywhere, and the proxy is named. All go on as they were.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_cannot_obey_a_policy_aborts_it_everywhere() {
    let mut play = Play::start(shape(141)).await;
    // One that names no data centre beyond the third.
    play.proposed = 3;
    let number = play.propose_again(2).await;
    play.committed(number).await;
    let older = play.number("p2.rajkot");
    let file = play.fleet.config(older).to_owned();
    let mut config: Value =
        serde_json::from_str(&std::fs::read_to_string(&file).expect("read")).expect("JSON");
    config["settings"]["localities"].as_array_mut().expect("data centres").truncate(3);
    std::fs::write(&file, config.to_string()).expect("written");
    play.process(older).kill();
    play.fleet.start_proxy(older);
    play.acts("p2.rajkot", "policy 2 alone").await;
    let number = play.propose().await;
    let status = play.decided(number).await;
    let words = status["last"]["in_words"].as_str().expect("words");
    assert!(
        words.contains("p2.rajkot can't obey it") && words.contains("categories[2].allowed_in"),
        "{words}"
    );
    assert_eq!(status["holds"], 2);
    for proxy in 0..10 {
        let name = play.fleet.proxies[proxy].name.clone();
        play.acts(&name, "policy 2 alone").await;
    }
    play.over().await;
}

/// Bad policies are refused with their paths and change nothing; a second change during the first, and a change in stages at the same time,
/// are refused in words; an abort ends it, and the same content proposed once more is another policy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_change_at_a_time_and_each_is_another() {
    let mut play = Play::start(shape(142)).await;
    let refused = async |play: &Play, ask: Value, status: u16, words: &str| {
        let (code, said) = play.fleet.post("/v1/policy", ask).await;
        let why = said["error"].as_str().unwrap_or("").to_owned();
        assert!(code == status && why.contains(words), "{code} {said}, expected {status} {words}");
    };
    let ask = |settings: Value, floor: Value| json!({"settings": settings, "floor": floor, "author": "a", "reason": "b"});
    let plan = |fields: Value| {
        let mut class = fields;
        class["name"] = json!("plan");
        json!({"categories": [class]})
    };
    refused(&play, ask(plan(json!({"allowed_in": []})), floor()), 422, "categories[0].allowed_in").await;
    refused(&play, ask(json!({"categories": [{"name": "reed"}]}), floor()), 422, "reed").await;
    refused(&play, ask(json!({"zone": 1}), floor()), 422, "settings.zone").await;
    let shares = json!([{"name": "a", "fraction": 0.7}, {"name": "b", "fraction": 0.7}]);
    refused(&play, ask(json!({"customers": shares}), json!("nobody")), 422, "add up to 1").await;
    refused(&play, ask(settings(1), json!({"caps": {"attempts_cap": 9}})), 422, "floor: looser").await;
    // Stricter than the floor by which one that is cut off may act.
    let strict = ask(plan(json!({"allowed_in": [3]})), json!("nobody"));
    refused(&play, strict, 422, "stricter than the floor of policy 1").await;
    assert_eq!(play.fleet.get("/v1/policy").await["revision"], 3, "nothing has changed");

    let still = play.number("p0.surat");
    play.process(still).stop();
    let number = play.propose().await;
    refused(&play, ask(settings(2), floor()), 409, "is proposed and not decided").await;
    let change = json!({"settings": {"over_share_worth": 0.2}, "author": "a", "reason": "b"});
    let (code, said) = play.fleet.post("/v1/rollout", change.clone()).await;
    assert!(
        code == 409 && said["error"].as_str().is_some_and(|e| e.contains("not decided")),
        "{code} {said}"
    );
    assert_eq!(play.fleet.post("/v1/policy/abort", json!({"by": "ravi"})).await.0, 200);
    let status = play.decided(number).await;
    assert_eq!(status["last"]["in_words"], "withdrawn by ravi: it holds nowhere");
    assert_eq!(play.fleet.post("/v1/policy/abort", json!({"by": "ravi"})).await.0, 409);
    // The same once more, while some still act by the joint of the last one; and back to the first's content.
    let again = play.propose_again(1).await;
    assert_eq!(again, number + 1);
    play.process(still).wake();
    play.committed(again).await;
    let back = play.propose_again(0).await;
    play.committed(back).await;
    assert_eq!(play.fleet.get("/v1/policy").await["holds"], 4);
    // The other way round: a change in stages runs.
    let start = Instant::now();
    loop {
        let (code, said) = play.fleet.post("/v1/rollout", change.clone()).await;
        if code == 201 {
            break;
        }
        assert!(start.elapsed() < rushquay_fleet_harness::LONG, "{code} {said}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    refused(&play, ask(settings(2), floor()), 409, "runs in stages").await;
    play.over().await;
}
