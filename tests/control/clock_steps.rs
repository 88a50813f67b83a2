//! Control services on machines whose wall clocks are wrong, one after another in the sight of the same proxies.

use super::overrides::say;
use super::restarts::{drained, Rig};
use super::*;
use rushquay_control_service::{start_with_clocks, Clocks};
use std::sync::Arc;

/// Longer than the hour that a drain is held and than any override here lasts.
const FAR_AHEAD_S: i64 = 3_700;
/// Several of the intervals at which proxies expire what has ended.
const TICKS: Duration = Duration::from_millis(800);

/// A control service whose wall clock is so many seconds ahead.
async fn control_ahead(discovery: SocketAddr, ahead_s: i64) -> ControlService {
    control_that_keeps(discovery, ahead_s, None).await
}

/// The same, with its state in this file.
async fn control_that_keeps(
    discovery: SocketAddr,
    ahead_s: i64,
    state: Option<std::path::PathBuf>,
) -> ControlService {
    let machine = Clocks::default();
    let wall = machine.wall.clone();
    let clocks =
        Clocks { wall: Arc::new(move || wall().saturating_add_signed(ahead_s * 1_000_000_000)), ..machine };
    let any = "127.0.0.1:0".parse().expect("an address");
    let options =
        Options { admin: Some(any), state_file: state, ..options(SourceOption::Discovery(discovery)) };
    start_with_clocks(options, clocks).await.expect("a control service")
}

/// Two proxies that follow a control service with such a clock; their own discovery is down.
async fn followed(ahead_s: i64) -> Rig {
    let rig = Rig::start(async |discovery| control_ahead(discovery, ahead_s).await).await;
    rig.behind.down(true);
    rig
}

/// Guards against the clock of a restarted control service ending the hold of a drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_clock_that_is_ahead_after_a_restart_takes_no_drain_back() {
    for ahead_s in [FAR_AHEAD_S, 2 * FAR_AHEAD_S, 3_500, -2 * FAR_AHEAD_S] {
        let mut rig = drained().await;
        rig.discovery.replace(1, &ready(&rig.fleet));
        let restarted = control_ahead(rig.discovery.addr, ahead_s).await;
        rig.replace(restarted).await;
        all_taken(&rig.service, 2).await;
        tokio::time::sleep(TICKS).await;
        rig.only(&["a", "c"]).await;
    }
}

/// Guards against a clock that was ahead for a while voiding overrides that a right one sets later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_override_holds_after_a_control_service_whose_clock_was_ahead() {
    for ahead_s in [FAR_AHEAD_S, 2 * FAR_AHEAD_S, 1_200, -2 * FAR_AHEAD_S] {
        let mut rig = followed(ahead_s).await;
        rig.only(&["a", "b", "c"]).await;
        tokio::time::sleep(TICKS).await;
        let right = control_ahead(rig.discovery.addr, 0).await;
        rig.replace(right).await;
        all_taken(&rig.service, 2).await;
        let (well, text) = say(&rig.service, "set --node b --out --for 30m --reason valve --force").await;
        assert!(well, "{text}");
        all_taken(&rig.service, 2).await;
        tokio::time::sleep(TICKS).await;
        rig.only(&["a", "c"]).await;
    }
}

/// Guards against a restart on a clock that is ahead ending an override that has half an hour left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_override_outlives_a_restart_on_a_clock_that_is_ahead() {
    an_override_outlives_a_restart(FAR_AHEAD_S).await;
}

/// Guards against an override that counts as not begun behind a restart on a clock that is behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_override_outlives_a_restart_on_a_clock_that_is_behind() {
    an_override_outlives_a_restart(-FAR_AHEAD_S).await;
}

async fn an_override_outlives_a_restart(ahead_s: i64) {
    let file = File::new(&format!("clock-steps-{ahead_s}"));
    let state = || Some(file.0.clone());
    let mut rig = Rig::start(async |discovery| control_that_keeps(discovery, 0, state()).await).await;
    rig.behind.down(true);
    let (well, text) = say(&rig.service, "set --node b --out --for 30m --reason valve --force").await;
    assert!(well, "{text}");
    all_taken(&rig.service, 2).await;
    rig.only(&["a", "c"]).await;
    // The file is the first one's until it ends; meanwhile there is one that has nothing to say.
    let nowhere = Discovery::start(1, &[]).await;
    nowhere.down(true);
    let without_list = control(nowhere.addr).await;
    rig.replace(without_list).await;
    let restarted = control_that_keeps(rig.discovery.addr, ahead_s, state()).await;
    rig.replace(restarted).await;
    all_taken(&rig.service, 2).await;
    tokio::time::sleep(TICKS).await;
    rig.only(&["a", "c"]).await;
}
