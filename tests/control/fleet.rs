//! Forty proxies and one drain. How soon they leave the node is measured by `examples/control_figures.rs`; here it is
//! checked that they do, and that nothing is lost.

use super::*;
use rushquay_test_servers::Load;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forty_proxies_leave_a_node_that_only_the_control_service_knows_to_drain() {
    let fleet = nodes(&["a", "b", "c", "d", "e", "f"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let behind = Discovery::start(41, &ready(&fleet)).await;
    let service = control(discovery.addr).await;
    let proxies: Vec<_> =
        (0..40).map(|i| proxy(&format!("p{i}"), behind.addr, &[service.xds], &ready(&fleet))).collect();
    all_taken(&service, 40).await;
    let load =
        |(i, p): (usize, &LocalProxy)| Load::start(p.addr, &format!("p{i}"), 2, Duration::from_millis(20));
    let loads: Vec<_> = proxies.iter().enumerate().map(load).collect();
    until("every proxy sends to the node", || {
        let sent = fleet[1].sent();
        (0..40).all(|i| sent.iter().any(|(_, id)| id.starts_with(&format!("p{i}-"))))
    })
    .await;
    let seq = service.hub().store().seq();
    discovery.set("b", "draining");
    let hub = service.hub().clone();
    until("the control service has heard", || hub.store().seq() > seq).await;
    all_taken(&service, 40).await;
    let taken = Instant::now();
    // The load goes on for long enough that each proxy would have sent to it many times.
    let before: usize = loads.iter().map(|l| l.outcomes().served as usize).sum();
    until("the load goes on", || {
        loads.iter().map(|l| l.outcomes().served as usize).sum::<usize>() > before + 2000
    })
    .await;
    for load in loads {
        let outcomes = load.stop().await;
        assert_eq!((outcomes.lost, outcomes.failed, outcomes.refused), (0, 0, 0), "{outcomes:?}");
    }
    // A proxy acknowledges once its module has been told; what it had sent by then may still be on its way.
    let late: Vec<_> =
        fleet[1].sent().into_iter().filter(|(at, _)| *at > taken + Duration::from_millis(500)).collect();
    assert_eq!(late, []);
}
