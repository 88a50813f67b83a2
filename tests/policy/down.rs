//! Proxies that are down, stopped or come back in the midst of a change.

use super::*;

/// Down before, during and after: the change waits until its leave is over, names it meanwhile, and is made without it. It comes back
/// with its old file and serves nobody before it was answered; then it acts by what holds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_was_down_throughout_serves_nothing_by_its_old_file() {
    let mut play = Play::start(shape(111)).await;
    let away = play.number("p1.vadodara");
    play.process(away).kill();
    let number = play.propose().await;
    play.until("it waits for the one", |s| {
        s["waits_for"].as_array().is_some_and(|w| w.iter().any(|h| h["name"] == "p1.vadodara"))
            || s["last"]["policy"] == number
    })
    .await;
    play.committed(number).await;
    // Nobody answers it: it serves nobody, however long.
    play.fleet.cut("ctl:p1.vadodara:");
    let since = play.now();
    play.fleet.start_proxy(away);
    play.served(1500).await;
    let status = |play: &Play| {
        let mine = play.fleet.ended().into_iter().filter(|r| r.id.starts_with("p1.vadodara-"));
        mine.filter(|r| r.status != 0).map(|r| (r.from, r.status)).collect::<Vec<_>>()
    };
    let refused = status(&play).into_iter().filter(|(from, s)| *from >= since && *s == 503).count();
    assert!(refused > 0, "it answered, and refused");
    play.fleet.mend("ctl:p1.vadodara:");
    play.acts("p1.vadodara", "policy 2 alone").await;
    play.served_at(away, 50).await;
    let acted = play.acted("p1.vadodara");
    let last = acted.iter().rposition(|w| w == "nothing").expect("it began by nothing");
    assert_eq!(acted[last..], ["nothing", "policy 2 alone"]);
    play.over().await;
}

/// Stopped with its word given that it obeys both, and woken when the new holds alone: its leave ran out while it stood, so that it goes
/// by the floor until it has asked, also for the request that it finds first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_is_woken_after_the_decision_goes_by_the_floor() {
    let mut play = Play::start(shape(112)).await;
    let (still, other) = (play.number("p1.rajkot"), play.number("p2.rajkot"));
    // Another holds the change up, so that this one is in joint and has said so when it is stopped.
    play.process(other).stop();
    let number = play.propose().await;
    play.acts("p1.rajkot", "policies 1 and 2 at once").await;
    play.process(still).stop();
    play.committed(number).await;
    play.served(500).await;
    // Cut off, it can ask nobody.
    play.fleet.cut("ctl:p1.rajkot:");
    play.process(still).wake();
    play.acts("p1.rajkot", "the floor").await;
    play.served_at(still, 100).await;
    assert_eq!(play.acted("p1.rajkot").last().map(String::as_str), Some("the floor"));
    play.fleet.mend("ctl:p1.rajkot:");
    play.process(other).wake();
    play.acts("p1.rajkot", "policy 2 alone").await;
    play.acts("p2.rajkot", "policy 2 alone").await;
    play.over().await;
}

/// Stopped while it acts by the old alone, and woken with requests in its sockets that were asked when the new already held: the first thing
/// that it does is to look at its clock, not to serve them by what it knew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_is_woken_with_requests_waiting_looks_at_its_clock_first() {
    let mut play = Play::start(shape(114)).await;
    let still = play.number("p0.gandhinagar");
    play.process(still).stop();
    let number = play.propose().await;
    play.committed(number).await;
    play.fleet.load_more(still, 80, Duration::from_millis(50));
    // They are in its sockets by then.
    play.served(1500).await;
    play.process(still).wake();
    play.acts("p0.gandhinagar", "policy 2 alone").await;
    play.served_at(still, 100).await;
    play.over().await;
}

/// One that restarts again and again, each time as another process: each of them is waited for as long as it may act, and the change ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_restarts_in_a_loop_does_not_block_the_fleet() {
    let mut play = Play::start(shape(113)).await;
    let loops = play.number("p0.vadodara");
    let number = play.propose().await;
    let start = Instant::now();
    while play.fleet.get("/v1/policy").await["last"]["policy"] != number {
        play.process(loops).kill();
        play.fleet.start_proxy(loops);
        assert!(start.elapsed() < rushquay_fleet_harness::LONG, "{}", play.fleet.history.last(80));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    play.committed(number).await;
    play.acts("p0.vadodara", "policy 2 alone").await;
    play.over().await;
}
