//! Clocks that run fast and slow, and that differ between machines.

use super::*;
use rushquay_etcd_standin::Etcd;
use rushquay_fleet_harness::skewed;

/// Proxies' clocks 1% fast and slow, control services' too, and their wall clocks an hour apart: within the bound, and all holds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clocks_within_their_bound_break_nothing() {
    let etcd = Etcd::start().await;
    let shape = Shape { etcd: Some(etcd.endpoint()), ..shape(151) };
    let fleet = Fleet::start_with(shape, |fleet| {
        for (n, proxy) in fleet.proxies.iter_mut().enumerate() {
            proxy.other = Some(skewed(["10000", "-10000", "0"][n % 3], ["0", "600", "-600"][n % 3]));
        }
        for (n, control) in fleet.controls.iter_mut().enumerate() {
            control.other = Some(skewed(["-10000", "10000", "0"][n], ["3600", "-3600", "0"][n]));
        }
    })
    .await;
    let mut play = Play::begin(fleet).await;
    let slow = play.number("p1.gandhinagar");
    // The slowest of them hears nothing any more: its leave is the one that lasts longest.
    play.fleet.cut("ctl:p1.gandhinagar:");
    let number = play.propose().await;
    play.committed(number).await;
    play.acts("p1.gandhinagar", "the floor").await;
    play.served_at(slow, 50).await;
    let leader = play.fleet.leader().await;
    play.control(leader).kill();
    play.fleet.mend("ctl:p1.gandhinagar:");
    let next = play.propose().await;
    play.committed(next).await;
    play.over().await;
}

/// A clock that is far slower than its bound is what is not promised: its proxy acts by the old when the new holds alone, and the checker
/// sees that it does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_clock_beyond_its_bound_is_found_out() {
    let fleet = Fleet::start_with(shape(152), |fleet| {
        fleet.proxies[1].other = Some(skewed("-900000", "0"));
    })
    .await;
    let mut play = Play::begin(fleet).await;
    let name = play.fleet.proxies[1].name.clone();
    play.fleet.cut(&format!("ctl:{name}:"));
    let number = play.propose().await;
    play.committed(number).await;
    play.served_at(1, 400).await;
    play.fleet.calm().await;
    let found = play.breach().expect("it acts by the old when the new holds");
    assert!(found.contains(&name), "{found}");
}
