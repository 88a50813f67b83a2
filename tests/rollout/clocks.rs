//! Machines whose clocks differ: fast and slow, hours apart, and set back over a restart.

use super::*;
use rushquay_etcd_standin::Etcd;
use rushquay_fleet_harness::skewed;

/// Control services whose wall clocks are two hours apart and whose steady clocks run 1% fast and slow take over from one another in the
/// midst of a change, and a proxy comes back with a clock that was set back by a day, so that its new process bears a lower number than
/// its old one: the change goes on to its end, by everybody once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clocks_that_differ_move_no_change_wrongly() {
    let etcd = Etcd::start().await;
    let shape = Shape { etcd: Some(etcd.endpoint()), ..shape(71) };
    let mut fleet = Fleet::start_with(shape, |fleet| {
        for (n, proxy) in fleet.proxies.iter_mut().enumerate() {
            proxy.other = Some(skewed(["10000", "-10000", "0"][n % 3], ["600", "0", "-600"][n % 3]));
        }
        for (n, control) in fleet.controls.iter_mut().enumerate() {
            control.other = Some(skewed(["-10000", "10000"][n], ["3600", "-3600"][n]));
        }
    })
    .await;
    fleet.load(3, Duration::from_millis(15));
    until_usual(&fleet).await;
    start(&fleet, harmless(), plan()).await;
    fleet.until("the first soaks", |s| phase(s) == "soaking").await;
    // One that has not changed yet.
    let acted = fleet.acted();
    let back = fleet.proxies.iter().position(|p| !acted.contains_key(&p.name)).expect("one of eight");
    fleet.proxies[back].process.as_mut().expect("it runs").kill();
    fleet.proxies[back].other = Some(skewed("0", "-86400"));
    fleet.start_proxy(back);
    for kill_at in ["soaking", "moving"] {
        fleet.until(kill_at, |s| phase(s) == kill_at || phase(s) == "done").await;
        let leader = fleet.leader().await;
        fleet.controls[leader].process.as_mut().expect("it runs").kill();
        let next = fleet.leader().await;
        assert_ne!(next, leader);
        fleet.start_control(leader);
    }
    let done = fleet.until("it is done", |s| phase(s) == "done" && settled(s)).await;
    let took = logged(&fleet, &done["holds"], 9).await;
    assert!(took.len() == 9 && took.values().all(|n| *n == 1), "{took:?}");
    in_order(fleet).await;
}
