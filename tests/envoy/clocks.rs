//! A wall clock that is stepped while the proxy runs: spans of time are not measured by it.

use super::rules::Raw;
use super::*;
use rushquay_xds::server::Variant;

/// Danger: a cluster that is declared after the step would count its attempts by another clock than the change of its group, and a
/// repeat of what may have run would go to nodes that do not remember it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_request_is_not_repeated_in_another_group_after_the_wall_clock_was_stepped() {
    let (first, second) = (Raw::new().await, nodes(1, Duration::ZERO).await);
    let management = Management::start().await;
    let proxy = FaultyProxy::start(&bootstrap(management.addr, Variant::Delta), "jump=3600");
    management.declare(&[listener(), routes(1, &[])]);
    proxy.reached(1).await;
    proxy.begin_faults();
    // The second is a spare that takes nothing but what the first can't.
    let heavy = endpoint(first.addr, ", load_balancing_weight: 4000000000");
    let list = assignment("c", &[heavy, endpoint(second[0].addr, "")]);
    management.declare(&[cluster("c", ""), list, routes(2, &[&all_to("c")])]);
    proxy.reached(2).await;
    let mut client = Client::to(proxy.addr).await;
    let asked = tokio::spawn(async move { client.ask("PUT", "/set/7", &[("idempotency-key", "k")]).await });
    let taken = first.request().await;
    let other_group = ", metadata: {filter_metadata: {rushquay: {dedup_group: other}}}";
    management.declare(&[cluster("c", other_group), routes(3, &[&all_to("c")])]);
    proxy.reached(3).await;
    // The answer breaks off: it may have run.
    drop(taken);
    let status = tokio::time::timeout(LONG, asked).await.expect("in time").expect("asked").status;
    assert_eq!((status, second[0].count()), (502, 0), "failed, and never repeated");
}
