//! Servers that break off, refuse, come back with something else, and change without end under load.

use super::*;
use rushquay_test_servers::Load;
use rushquay_xds::server::Variant;
use rushquay_xds::Kind;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_is_lost_takes_nothing_along_and_another_is_believed() {
    for variant in [Variant::Delta, Variant::Sotw] {
        let nodes = nodes(3, Duration::ZERO).await;
        let management = Management::start().await;
        let (addr, proxy) = (management.addr, Proxy::start(&bootstrap(management.addr, variant)));
        management.declare(&[
            cluster("c", ""),
            cluster("old", ""),
            of_nodes("c", &nodes[..2]),
            of_nodes("old", &nodes[..1]),
            listener(),
            routes(1, &[&all_to("c")]),
        ]);
        proxy.reached(1).await;
        management.kill().await;
        let mut client = proxy.client().await;
        for _ in 0..50 {
            assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200, "what was told stands");
        }
        // Another one, on the same address: a cluster has gone meanwhile, a node drains and one is new.
        let management = Management::at(addr).await;
        let list = assignment(
            "c",
            &[endpoint(nodes[0].addr, ", health_status: DRAINING"), endpoint(nodes[2].addr, "")],
        );
        management.declare(&[
            cluster("c", ""),
            list,
            listener(),
            routes(2, &[&all_to("c"), "{match: {prefix: /x}, route: {cluster: old}}"]),
        ]);
        management.answered(Kind::Endpoints).await;
        management.declare(&[routes(3, &[&all_to("c")])]);
        proxy.reached(3).await;
        nodes.iter().for_each(|n| n.clear());
        for _ in 0..50 {
            assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200);
        }
        assert_eq!([nodes[0].count(), nodes[1].count(), nodes[2].count()], [0, 0, 50], "{variant:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_refused_is_named_to_the_server_and_what_stood_goes_on() {
    let nodes = nodes(2, Duration::ZERO).await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    management.declare(&[cluster("c", ""), of_nodes("c", &nodes), listener(), routes(1, &[&all_to("c")])]);
    proxy.reached(1).await;
    let twice = assignment(
        "c",
        &[endpoint(nodes[0].addr, ", load_balancing_weight: 9"), endpoint(nodes[0].addr, "")],
    );
    management.declare(&[twice]);
    let mut told = String::new();
    until("it is refused", async || {
        let standing = management
            .hub
            .subscribers()
            .into_iter()
            .flat_map(|s| s.standing)
            .find(|(k, _)| *k == Kind::Endpoints);
        told = standing.map(|(_, s)| s.last_error).unwrap_or_default();
        !told.is_empty()
    })
    .await;
    assert!(
        told.contains("endpoints[0].lb_endpoints[1]: the address") && told.contains("list it once"),
        "{told}"
    );
    let mut client = proxy.client().await;
    for _ in 0..60 {
        assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200);
    }
    assert!(nodes.iter().all(|n| n.count() > 5), "the list before it stands");
    management.declare(&[of_nodes("c", &nodes[1..]), routes(2, &[&all_to("c")])]);
    proxy.reached(2).await;
    nodes.iter().for_each(|n| n.clear());
    for _ in 0..20 {
        client.get(&format!("/read/{}", key())).await;
    }
    assert_eq!([nodes[0].count(), nodes[1].count()], [0, 20]);
}

/// A thousand endpoints, all of whose weights change every 20 ms, while priority 0 flaps at its edge and nodes drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn endless_rewrites_under_load_lose_nothing_and_keep_drains() {
    let nodes = nodes(14, Duration::ZERO).await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    // The thousand others are listed as unhealthy, so that only those that exist take requests.
    let list = |step: u64| {
        let of = |i: usize| {
            let weight = 1 + (i as u64 * 7 + step) % 9;
            // Of the seven of priority 0 five are enough; the fifth comes and goes, one drains from step 20 on.
            let health = match i {
                4 if step % 2 == 1 => "UNHEALTHY",
                5 if step >= 20 => "DRAINING",
                6 => "UNHEALTHY",
                _ => "HEALTHY",
            };
            endpoint(nodes[i].addr, &format!(", load_balancing_weight: {weight}, health_status: {health}"))
        };
        let level = |range: std::ops::Range<usize>| range.map(of).collect::<Vec<_>>().join(", ");
        let spare = |i: u64| {
            endpoint(
                format!("127.1.{}.{}:9", i / 250, i % 250 + 1).parse().expect("an address"),
                &format!(", load_balancing_weight: {}, health_status: UNHEALTHY", 1 + (i + step) % 5),
            )
        };
        let spare: Vec<String> = (0..1000).map(spare).collect();
        let yaml = format!("{{cluster_name: c, endpoints: [{{priority: 0, lb_endpoints: [{}]}}, {{priority: 1, lb_endpoints: [{}]}}, {{priority: 2, lb_endpoints: [{}]}}]}}", level(0..7), level(7..14), spare.join(", "));
        (Kind::Endpoints, "c", yaml)
    };
    management.declare(&[cluster("c", ""), list(0), listener(), routes(1, &[&all_to("c")])]);
    proxy.reached(1).await;
    let loads: Vec<Load> = (0..4)
        .map(|i| Load::start(proxy.proxy.addr, &format!("l{i}"), 4, Duration::from_millis(2)))
        .collect();
    for step in 1..60u64 {
        management.declare(&[list(step)]);
        tokio::time::sleep(Duration::from_millis(20)).await;
        if step == 22 {
            management.declare(&[routes(2, &[&all_to("c")])]);
            proxy.reached(2).await;
            nodes[5].clear();
        }
    }
    management.declare(&[routes(3, &[&all_to("c")])]);
    proxy.reached(3).await;
    for load in loads {
        let outcomes = load.stop().await;
        assert!(outcomes.served > 50, "{outcomes:?}");
        assert_eq!((outcomes.lost, outcomes.failed, outcomes.refused), (0, 0, 0), "{outcomes:?}");
    }
    assert_eq!(nodes[5].count(), 0, "it drains");
    assert!(nodes[7..].iter().any(|n| n.count() > 0), "priority 1 helped out");
}
