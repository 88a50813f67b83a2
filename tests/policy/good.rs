//! Changes that nothing stands in the way of.

use super::*;

/// From the proposal to the last proxy: told beforehand what it means, held by all in the end, each proxy in joint before it is by the
/// new alone, and all of it told to whoever asks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_policy_takes_hold_everywhere() {
    let mut play = Play::start(shape(101)).await;
    let ask = json!({"settings": settings(1)});
    let (status, diff) = play.fleet.post("/v1/policy/diff", ask).await;
    assert_eq!(status, 200, "{diff}");
    let field = &diff["fields"][0];
    assert_eq!(field["field"], "categories[plan].allowed_in", "{diff}");
    assert_eq!((&field["old"], &field["new"]), (&json!([0, 2, 3]), &json!([0, 1, 3])), "{diff}");
    assert_eq!(field["joint"], json!([0, 3]), "{diff}");
    for n in 1..4 {
        let number = play.propose().await;
        let status = play.committed(number).await;
        assert_eq!(
            (&status["last"]["policy"], status["processes"].as_u64()),
            (&json!(number), Some(10)),
            "{n}"
        );
        play.served(300).await;
    }
    let words = ["policy 1 alone", "policies 1 and 2 at once", "policy 2 alone"];
    for proxy in 0..10 {
        let name = play.fleet.proxies[proxy].name.clone();
        play.acts(&name, "policy 4 alone").await;
        let acted = play.acted(&name);
        let at = acted.iter().position(|w| w == words[0]).expect("the first");
        assert_eq!(acted[at..at + 3], words, "{name}");
    }
    let history = play.fleet.get("/v1/policy/history").await;
    let events = history["events"].as_array().expect("events");
    assert!(events.len() == 8 && events[0]["what"] == "committed: it holds everywhere", "{history}");
    let name = play.fleet.proxies[0].name.clone();
    let explained = play.fleet.get(&format!("/v1/policy/explain/{name}")).await;
    let last = explained["acted"].as_array().and_then(|a| a.last()).expect("it acted").clone();
    assert_eq!(last["acted_by"], "policy 4 alone", "{explained}");
    let at = last["from"].as_u64().expect("a time") + 1;
    let then = play.fleet.get(&format!("/v1/policy/explain/{name}?at={at}")).await;
    assert_eq!(then["acted"].as_array().map(Vec::len), Some(1), "{then}");
    let metrics = play.fleet.get("/metrics").await;
    for line in ["policy_up 1", "policy_holds 4", "policy_joint 0", "policy_members 10", "policy_holdups 0"] {
        let line = format!("rushquay_control_{line}\n");
        assert!(metrics.as_str().is_some_and(|m| m.contains(&line)), "{line} not in {metrics}");
    }
    play.over().await;
}

/// Each proxy is handed over to a new process while a change is held up: the new one is in joint like the old one, the change is decided,
/// and no request is lost at the door.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_are_handed_over_in_the_midst_of_a_change() {
    let mut play = Play::start(shape(102)).await;
    // Whoever stands still holds it up until it is fenced.
    let still = play.number("p0.surat");
    play.process(still).stop();
    let number = play.propose().await;
    for proxy in 0..3 {
        play.fleet.upgrade_proxy(proxy);
    }
    play.committed(number).await;
    for proxy in 0..3 {
        let name = play.fleet.proxies[proxy].name.clone();
        play.acts(&name, "policy 2 alone").await;
        let acted = play.acted(&name);
        // Its first word is what the old process was told, without leave for it.
        assert!(acted.contains(&"the floor".to_owned()), "{name}: {acted:?}");
    }
    play.process(still).wake();
    play.acts("p0.surat", "policy 2 alone").await;
    play.served(500).await;
    let lost: u64 = (0..3)
        .flat_map(|n| play.fleet.counts(&play.fleet.proxies[n].name).into_values())
        .map(|c| c.lost)
        .sum();
    assert_eq!(lost, 0, "requests at the door");
    play.over().await;
}

/// Two policies with nothing in common: that is told before the change begins, the class is refused with advice until it is decided, and
/// other classes are served all the while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn where_two_have_nothing_in_common_the_class_waits() {
    let mut shape = shape(104);
    // Nobody stands on a floor for long, so that a policy may soon be stricter than the last one's.
    shape.policy = shape.policy.map(|(c, p)| (c.replace("floor_s = 600.0", "floor_s = 0.0"), p));
    let mut play = Play::start(shape).await;
    let only = |zone: usize| json!({"categories": [{"name": "plan", "allowed_in": [zone]}]});
    let hold = async |play: &mut Play, settings: Value, allowed: &[&'static str]| {
        let ask = json!({"settings": settings, "floor": "nobody", "author": "ravi", "reason": "b"});
        let (from, start) = (play.now(), Instant::now());
        let said = loop {
            let (code, said) = play.fleet.post("/v1/policy", ask.clone()).await;
            if code == 201 {
                break said;
            }
            assert!(said["error"].as_str().is_some_and(|e| e.contains("stricter than the floor")), "{said}");
            assert!(start.elapsed() < rushquay_fleet_harness::LONG, "{said}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        };
        let forbids = ZONES.into_iter().chain([SPARE]).filter(|zone| !allowed.contains(zone)).collect();
        play.held.push(Held { from, by: Duration::MAX, forbids });
        said
    };
    let said = hold(&mut play, settings(0), &[ZONES[0], ZONES[2], SPARE]).await;
    play.committed(said["policy"].as_u64().expect("a number")).await;
    let said = hold(&mut play, only(1), &[ZONES[1]]).await;
    let number = said["policy"].as_u64().expect("a number");
    let stops = said["stops"].to_string();
    assert!(stops.contains("plan is refused until it is decided") && stops.contains("allowed_in"), "{said}");
    let status = play.committed(number).await;
    assert_eq!(status["last"]["ended"]["ended"], "committed");
    // Somebody holds the next one up.
    let still = play.number("p0.surat");
    play.process(still).stop();
    let said = hold(&mut play, only(2), &[ZONES[2]]).await;
    let number = said["policy"].as_u64().expect("a number");
    play.acts("p0.rajkot", &format!("policies {} and {number} at once", number - 1)).await;
    let count =
        |play: &Play, class: &str| play.fleet.counts("p0.rajkot").get(class).copied().unwrap_or_default();
    let (plan, read) = (count(&play, "plan"), count(&play, "read"));
    play.served(400).await;
    let refused = count(&play, "plan").refused - plan.refused;
    assert!(refused > 0 && count(&play, "read").served > read.served, "{refused} refused");
    play.committed(number).await;
    play.process(still).wake();
    play.acts("p0.surat", &format!("policy {number} alone")).await;
    let plan = count(&play, "plan");
    play.served(400).await;
    assert!(count(&play, "plan").served > plan.served, "it is served again");
    play.over().await;
}

/// The checker finds what it is there for: a proxy that takes no part in policies acts by its file, which the others no longer do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_takes_no_part_is_found_out() {
    let fleet = Fleet::start_with(shape(103), |fleet| fleet.proxies[4].policy = None).await;
    let mut play = Play::begin(fleet).await;
    let number = play.propose().await;
    play.committed(number).await;
    play.served(1000).await;
    play.fleet.calm().await;
    let found = play.breach().expect("it was served where no policy allows it");
    assert!(found.contains("p1.vadodara"), "{found}");
}
