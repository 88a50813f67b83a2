//! Leaders that are killed, stopped and woken in the midst of a change, and a store that is away, late or loses its answers.

use super::*;
use rushquay_etcd_standin::Etcd;

/// The leader is killed in joint, and the next one too: whoever leads next waits until nobody can act by what its predecessors gave leave
/// for, and decides once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_outlives_its_leaders() {
    let mut play = Play::start(shape(131)).await;
    // It acts by what the first of them gave it leave for, and no successor hears of it.
    play.fleet.cut("ctl:p2.rajkot:");
    let number = play.propose().await;
    for _ in 0..2 {
        let leader = play.fleet.leader().await;
        play.control(leader).kill();
        let next = play.fleet.leader().await;
        assert_ne!(next, leader);
        play.fleet.start_control(leader);
    }
    play.committed(number).await;
    play.served(500).await;
    play.fleet.mend("ctl:p2.rajkot:");
    let again = play.propose().await;
    play.committed(again).await;
    play.acts("p2.rajkot", "policy 3 alone").await;
    play.over().await;
}

/// A leader that is stopped in joint, and woken when its successor has decided and changed once more: it gives nobody leave, and
/// decides nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_wakes_up_gives_nobody_leave() {
    let mut play = Play::start(shape(132)).await;
    let still = play.number("p0.surat");
    play.process(still).stop();
    let number = play.propose().await;
    play.acts("p0.rajkot", "policies 1 and 2 at once").await;
    let old = play.fleet.leader().await;
    play.control(old).stop();
    play.committed(number).await;
    let next = play.propose().await;
    // In the midst of the next change.
    play.control(old).wake();
    play.process(still).wake();
    play.committed(next).await;
    play.served(500).await;
    play.over().await;
}

/// The leader reaches the store and no proxy: nobody is heard, so that all are fenced and go by the floor; what is decided is safe, and
/// holds when they hear again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_reaches_no_proxy_decides_safely() {
    let mut play = Play::start(shape(133)).await;
    play.fleet.cut("ctl:");
    let number = play.propose().await;
    play.committed(number).await;
    play.served(300).await;
    play.fleet.mend("ctl:");
    for proxy in 0..10 {
        let name = play.fleet.proxies[proxy].name.clone();
        play.acts(&name, "policy 2 alone").await;
    }
    play.over().await;
}

/// A store that is full takes no proposal and no decision; what holds goes on to hold, for longer than any leave lasts, and what was under
/// way is decided once there is room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_is_full_decides_nothing_and_leaves_go_on() {
    let etcd = Etcd::start().await;
    let shape = Shape { etcd: Some(etcd.endpoint()), ..shape(136) };
    let mut play = Play::start(shape).await;
    etcd.full(true);
    let ask = json!({"settings": settings(1), "floor": floor(), "author": "ravi", "reason": "b"});
    let (code, said) = play.fleet.post("/v1/policy", ask).await;
    assert!(
        code == 507 && said["error"].as_str().is_some_and(|e| e.contains("can't be kept")),
        "{code} {said}"
    );
    assert_eq!(play.fleet.get("/v1/policy").await["revision"], 3);
    etcd.full(false);
    let still = play.number("p0.surat");
    play.process(still).stop();
    let number = play.propose().await;
    play.acts("p0.rajkot", "policies 1 and 2 at once").await;
    etcd.full(true);
    let leave = Duration::from_secs_f64(LEAVE_S);
    tokio::time::sleep(leave * 2).await;
    play.served(300).await;
    let status = play.fleet.get("/v1/policy").await;
    assert!(status["change"]["to"] == number && status["waits_for"] == json!([]), "{status:#}");
    assert_eq!(play.acted("p0.rajkot").last().map(String::as_str), Some("policies 1 and 2 at once"));
    etcd.full(false);
    play.committed(number).await;
    play.process(still).wake();
    play.acts("p0.surat", "policy 2 alone").await;
    play.over().await;
}

/// The store is lost with all control services. The proxies show the next leader that it knows less than was told: nobody has leave by what
/// an empty store says, neither those that go by the floor nor one that has just started, until a policy is proposed anew, which goes on
/// behind all that was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_was_lost_gives_nobody_leave_until_it_is_begun_anew() {
    let mut play = Play::start(shape(135)).await;
    let number = play.propose().await;
    play.committed(number).await;
    // Each has heard of the last record; before that it would tell of the one before.
    let names: Vec<String> = play.fleet.proxies.iter().map(|p| p.name.clone()).collect();
    for name in &names {
        play.acts(name, "policy 2 alone").await;
    }
    (0..3).for_each(|n| play.control(n).kill());
    play.fleet.lose_store();
    (0..3).for_each(|n| play.fleet.start_control(n));
    let status = play.until("it is found out", |s| !s["fault"].is_null()).await;
    let fault = status["fault"].as_str().expect("words");
    assert!(fault.contains("has heard of 5") && fault.contains("--anew"), "{fault}");
    let young = play.number("p0.gandhinagar");
    play.process(young).kill();
    play.fleet.start_proxy(young);
    for name in ["p1.rajkot", "p0.surat"] {
        play.acts(name, "the floor").await;
    }
    play.served(300).await;
    assert_eq!(play.acted("p0.gandhinagar").last().map(String::as_str), Some("nothing"));
    let mut ask =
        json!({"settings": settings(2), "floor": floor(), "author": "ravi", "reason": "the store was lost"});
    let (code, said) = play.fleet.post("/v1/policy", ask.clone()).await;
    assert!(code == 409 && said["error"].as_str().is_some_and(|e| e.contains("was lost")), "{code} {said}");
    ask["anew"] = json!(true);
    let (from, start) = (play.now(), Instant::now());
    let said = loop {
        let (code, said) = play.fleet.post("/v1/policy", ask.clone()).await;
        if code == 201 {
            break said;
        }
        // Until nobody can act by what is lost.
        assert!(said["error"].as_str().is_some_and(|e| e.contains("may still act")), "{code} {said}");
        assert!(start.elapsed() < rushquay_fleet_harness::LONG, "{}", play.fleet.history.last(80));
        tokio::time::sleep(Duration::from_millis(300)).await;
    };
    play.held.push(Held { from, by: Duration::MAX, forbids: vec![FORBIDDEN[2]] });
    let number = said["policy"].as_u64().expect("a number");
    assert!(number > 2, "{said}");
    play.committed(number).await;
    for proxy in 0..10 {
        let name = play.fleet.proxies[proxy].name.clone();
        play.acts(&name, &format!("policy {number} alone")).await;
    }
    play.over().await;
}

/// A store on several machines (etcd's stand-in) that carries writes out and loses the answers, answers late, and is away: what is
/// decided is decided once, and a leader that can't tell what stands lets the next one find out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_loses_answers_leaves_one_decision() {
    let etcd = Etcd::start().await;
    let shape = Shape { etcd: Some(etcd.endpoint()), ..shape(134) };
    let mut play = Play::start(shape).await;
    for n in 0..3u64 {
        let number = play.propose().await;
        // Some of these are renewals of the lease, others the decision itself.
        match n {
            0 => etcd.lose_answers(3),
            1 => etcd.late(Duration::from_millis(150)),
            _ => {
                etcd.away(true);
                tokio::time::sleep(Duration::from_secs(2)).await;
                etcd.away(false);
            }
        }
        play.committed(number).await;
        etcd.late(Duration::ZERO);
        play.served(200).await;
    }
    let history = play.fleet.get("/v1/policy/history").await;
    let events = history["events"].as_array().expect("events");
    for number in 1..=4u64 {
        let ends = events
            .iter()
            .filter(|e| e["policy"] == number && !e["what"].as_str().expect("words").contains("proposes"));
        assert_eq!(ends.count(), 1, "policy {number}: {history:#}");
    }
    play.over().await;
}
