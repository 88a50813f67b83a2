//! The four rules through every sort of update, and limits.

use super::*;
use rushquay_xds::server::Variant;
use rushquay_xds::Kind;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn rig(nodes: &[rushquay_test_servers::Node], more: &str) -> (Management, Proxy) {
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    management.declare(&[cluster("c", more), of_nodes("c", nodes), listener(), routes(1, &[&all_to("c")])]);
    proxy.reached(1).await;
    (management, proxy)
}

/// A node that the test plays by hand.
pub struct Raw {
    listener: TcpListener,
    pub addr: std::net::SocketAddr,
}

impl Raw {
    pub async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let addr = listener.local_addr().expect("an address");
        Raw { listener, addr }
    }

    /// The next connection, with a whole request read from it.
    pub async fn request(&self) -> TcpStream {
        let (mut stream, _) =
            tokio::time::timeout(LONG, self.listener.accept()).await.expect("in time").expect("a connection");
        read_head(&mut stream).await;
        stream
    }
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a byte"));
    }
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_in_a_cluster_that_goes_get_their_one_answer_and_idle_connections_close() {
    let raw = Raw::new().await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    management.declare(&[
        cluster("c", ""),
        assignment("c", &[endpoint(raw.addr, "")]),
        listener(),
        routes(1, &[&all_to("c")]),
    ]);
    proxy.reached(1).await;
    let ask = |mut client: Client| tokio::spawn(async move { client.get(&format!("/read/{}", key())).await });
    // One connection is idle, another has a request out.
    let first = ask(proxy.client().await);
    let mut idle = raw.request().await;
    idle.write_all(OK).await.expect("written");
    assert_eq!(first.await.expect("asked").status, 200);
    let (second, third) = (ask(proxy.client().await), ask(proxy.client().await));
    read_head(&mut idle).await;
    let mut busy = raw.request().await;
    idle.write_all(OK).await.expect("written");
    // The cluster goes while one request is out.
    management.remove(Kind::Cluster, "c");
    management.declare(&[routes(2, &[&all_to("c")])]);
    let end = tokio::time::timeout(LONG, idle.read(&mut [0])).await.expect("in time");
    assert!(matches!(end, Ok(0)), "the idle connection closes: {end:?}");
    busy.write_all(OK).await.expect("written");
    assert_eq!((second.await.expect("asked").status, third.await.expect("asked").status), (200, 200));
    let end = tokio::time::timeout(LONG, busy.read(&mut [0])).await.expect("in time");
    assert!(matches!(end, Ok(0)), "and that one after its answer: {end:?}");
    let late = proxy.client().await.get("/read/1").await;
    assert_eq!(late.status, 503, "nothing new is sent to a cluster that is gone");
    assert!(late.header("retry-after").is_some(), "and the client hears when to return");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_that_goes_under_load_loses_nothing() {
    let nodes = nodes(4, Duration::from_millis(20)).await;
    let (management, proxy) = rig(&nodes, "").await;
    let mut asked = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let mut client = proxy.client().await;
        asked.spawn(async move {
            let mut statuses = Vec::new();
            for _ in 0..20 {
                statuses.push(client.get(&format!("/read/{}", key())).await.status);
            }
            statuses
        });
    }
    until("there is load", async || nodes.iter().map(|n| n.count()).sum::<usize>() > 100).await;
    management.remove(Kind::Cluster, "c");
    until("it is refused", async || proxy.client().await.get("/read/1").await.status == 503).await;
    management.declare(&[cluster("c", "")]);
    let mut answers = std::collections::BTreeMap::new();
    while let Some(statuses) = asked.join_next().await {
        for status in statuses.expect("asked") {
            *answers.entry(status).or_insert(0) += 1;
        }
    }
    assert_eq!(answers.values().sum::<i32>(), 800);
    assert!(answers.keys().all(|s| [200, 503].contains(s)), "{answers:?}");
    assert!(answers[&200] >= 100, "{answers:?}");
    // Each ran once at most, and all that was answered 200 ran.
    let mut ran: Vec<String> = nodes.iter().flat_map(|n| n.ran()).map(|(_, id)| id).collect();
    let all = ran.len();
    ran.sort();
    ran.dedup();
    assert_eq!(ran.len(), all, "one ran twice");
    assert!(all >= answers[&200] as usize);
}

/// What a node has taken it may have done; whose repeats it drops depends on its group.
async fn keyed_after(step: Option<u64>, change: impl FnOnce(&Management)) -> (u16, usize) {
    let (first, second) = (Raw::new().await, nodes(1, Duration::ZERO).await);
    let management = Management::start().await;
    // Without an origin writes go to the nodes.
    let through =
        |config: &mut serde_json::Value| config["settings"]["family_info"] = serde_json::json!(null);
    let proxy = Proxy::start_with(&bootstrap(management.addr, Variant::Delta), through);
    // The second is a spare that takes nothing but what the first can't.
    let both = |weight: u32| {
        assignment(
            "c",
            &[
                endpoint(first.addr, &format!(", load_balancing_weight: {weight}")),
                endpoint(second[0].addr, ""),
            ],
        )
    };
    management.declare(&[cluster("c", ""), both(4_000_000_000), listener(), routes(1, &[&all_to("c")])]);
    proxy.reached(1).await;
    let mut client = proxy.client().await;
    let asked = tokio::spawn(async move { client.ask("PUT", "/set/7", &[("idempotency-key", "k")]).await });
    let taken = first.request().await;
    let before = management.acks(Kind::Cluster);
    change(&management);
    if let Some(step) = step {
        // A cluster that goes is told last, once nothing refers to it; what is declared behind its acknowledgement holds after it.
        management.declare(&[routes(step, &[&all_to("c")])]);
        proxy.reached(step).await;
        until("the change of the cluster is taken", async || management.acks(Kind::Cluster) > before).await;
        management.declare(&[routes(step + 1, &[&all_to("c")])]);
        proxy.reached(step + 1).await;
    }
    // The answer breaks off: it may have run.
    drop(taken);
    let status = tokio::time::timeout(LONG, asked).await.expect("in time").expect("asked").status;
    (status, second[0].count())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_request_that_may_have_run_is_not_repeated_in_another_group() {
    assert_eq!(keyed_after(None, |_| {}).await, (200, 1), "within its group it is");
    let other = ", metadata: {filter_metadata: {rushquay: {dedup_group: other}}}";
    assert_eq!(
        keyed_after(Some(2), |m| m.declare(&[cluster("c", other)])).await,
        (502, 0),
        "and failed, since it may have run"
    );
    assert_eq!(
        keyed_after(Some(2), |m| m.remove(Kind::Cluster, "c")).await,
        (502, 0),
        "nor when the cluster is gone"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_that_moves_is_asked_under_its_new_owner_on_new_connections() {
    let nodes = nodes(2, Duration::ZERO).await;
    let (management, proxy) = rig(&nodes, "").await;
    let mut client = proxy.client().await;
    for _ in 0..40 {
        client.get(&format!("/read/{}", key())).await;
    }
    assert!(nodes.iter().all(|n| n.count() > 0));
    let named = |node: &rushquay_test_servers::Node, id: &str| {
        endpoint(node.addr, "").replace("started_ns: '1000'", &format!("started_ns: '1000', id: {id}"))
    };
    for step in 2..12u64 {
        // Both addresses change hands, and in every other step one of the names is gone.
        let (x, y) = if step % 2 == 0 { ("x", "y") } else { ("y", "x") };
        let list = match step % 3 {
            0 => vec![named(&nodes[0], x)],
            _ => vec![named(&nodes[0], x), named(&nodes[1], y)],
        };
        let only = list.len() == 1;
        management.declare(&[assignment("c", &list), routes(step, &[&all_to("c")])]);
        proxy.reached(step).await;
        nodes.iter().for_each(|n| n.clear());
        for _ in 0..60 {
            assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200);
        }
        assert_eq!(nodes[1].count() == 0, only, "step {step}");
        assert!(nodes[0].count() > 0, "step {step}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_unhealthy_is_a_panic_and_all_draining_is_a_refusal() {
    let nodes = nodes(3, Duration::ZERO).await;
    let (management, proxy) = rig(&nodes, "").await;
    let mut client = proxy.client().await;
    let all = |health: &str| {
        assignment(
            "c",
            &nodes
                .iter()
                .map(|n| endpoint(n.addr, &format!(", health_status: {health}")))
                .collect::<Vec<_>>(),
        )
    };
    management.declare(&[all("UNHEALTHY"), routes(2, &[&all_to("c")])]);
    proxy.reached(2).await;
    for _ in 0..100 {
        assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200);
    }
    assert!(nodes.iter().all(|n| n.count() > 10));
    management.declare(&[all("DRAINING"), routes(3, &[&all_to("c")])]);
    proxy.reached(3).await;
    nodes.iter().for_each(|n| n.clear());
    let refused = client.get("/read/1").await;
    assert_eq!((refused.status, refused.header("retry-after").is_some()), (503, true));
    assert!(nodes.iter().all(|n| n.count() == 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overloads_and_limits_refuse_at_once_and_say_when_to_return() {
    let nodes = nodes(2, Duration::from_millis(300)).await;
    let limits = ", circuit_breakers: {thresholds: [{max_requests: 3}, {priority: HIGH, max_requests: 100}]}";
    let (management, proxy) = rig(&nodes, limits).await;
    let high = "{match: {prefix: /read/high}, route: {cluster: c, priority: HIGH}}";
    management.declare(&[routes(2, &[high, &all_to("c")])]);
    proxy.reached(2).await;
    let proxy = Arc::new(proxy);
    let burst = async |path: &'static str, count: usize| {
        let mut asked = tokio::task::JoinSet::new();
        for _ in 0..count {
            let mut client = proxy.client().await;
            asked.spawn(async move {
                let start = Instant::now();
                let answer = client.get(&format!("{path}{}", key())).await;
                (answer.status, answer.header("retry-after").is_some(), start.elapsed())
            });
        }
        asked.join_all().await
    };
    let answers = burst("/read/", 20).await;
    let served = answers.iter().filter(|a| a.0 == 200).count();
    assert_eq!(served, 3, "{answers:?}");
    assert!(
        answers.iter().filter(|a| a.0 == 503).all(|a| a.1 && a.2 < Duration::from_millis(300)),
        "{answers:?}"
    );
    assert!(burst("/read/high-", 20).await.iter().all(|a| a.0 == 200), "limits of its own");
    // Limits that are lifted hold no more.
    management.declare(&[cluster("c", ""), routes(3, &[&all_to("c")])]);
    proxy.reached(3).await;
    assert!(burst("/read/", 20).await.iter().all(|a| a.0 == 200));
    let (kind, name, yaml) = of_nodes("c", &nodes);
    let policy = "policy: {drop_overloads: [{category: winter, drop_percentage: {numerator: 40}}]}";
    let yaml = format!("{}, {policy}}}", &yaml[..yaml.len() - 1]);
    management.declare(&[(kind, name, yaml), routes(4, &[&all_to("c")])]);
    proxy.reached(4).await;
    let answers = burst("/read/", 200).await;
    let refused = answers.iter().filter(|a| a.0 == 503).count();
    assert!((40..120).contains(&refused), "{refused} of 200 refused where 80 are expected");
    assert!(answers.iter().all(|a| a.0 == 200 || a.1), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_policy_forbids_what_it_does_not_name() {
    let nodes = nodes(1, Duration::ZERO).await;
    let (_reservation, dead) = reserved_address().await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    // Nobody listens at the one that is to take nearly all.
    let list = assignment(
        "c",
        &[endpoint(dead, ", load_balancing_weight: 4000000000"), endpoint(nodes[0].addr, "")],
    );
    let policy = |class: &str, policy: &str| {
        format!("{{match: {{prefix: /read/{class}}}, route: {{cluster: c, retry_policy: {policy}}}}}")
    };
    let none = policy("none", "{retry_on: connect-failure, num_retries: 0}");
    let other = policy("other", "{retry_on: retriable-4xx, num_retries: 3}");
    let some = policy("some", "{retry_on: connect-failure, num_retries: 1}");
    management.declare(&[
        cluster("c", ""),
        list,
        listener(),
        routes(1, &[&none, &other, &some, &all_to("c")]),
    ]);
    proxy.reached(1).await;
    let (mut client, mut step) = (proxy.client().await, 1);
    for (path, expected) in
        [("/read/none-1", false), ("/read/other-1", false), ("/read/some-1", true), ("/read/1", true)]
    {
        // The module leaves a node that failed for a while; a new cluster knows nothing of that.
        let answer = client.get(path).await;
        assert_eq!(answer.status == 200, expected, "{path}: {}", answer.status);
        assert_eq!(nodes[0].count(), usize::from(expected), "{path}");
        management.remove(Kind::Cluster, "c");
        until("it is gone", async || client.get("/read/gone").await.status == 503).await;
        nodes[0].clear();
        step += 1;
        management.declare(&[cluster("c", ""), routes(step, &[&none, &other, &some, &all_to("c")])]);
        proxy.reached(step).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_to_a_cluster_that_is_not_there_is_answered_at_once() {
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    let mut client = proxy.client().await;
    let before = client.get("/read/1").await;
    assert_eq!(
        (before.status, before.header("retry-after").is_some()),
        (503, true),
        "there are no routes yet"
    );
    let health = client.get("/_health").await;
    assert_eq!(health.status, 503);
    let nodes = nodes(1, Duration::ZERO).await;
    management.declare(&[cluster("c", ""), of_nodes("c", &nodes), listener(), routes(1, &[&all_to("c")])]);
    proxy.reached(1).await;
    assert_eq!(client.get("/_health").await.status, 200);
    // A route that is switched to a cluster which is not there yet waits for it.
    management.declare(&[routes(2, &[&all_to("d")])]);
    management.answered(Kind::Route).await;
    for _ in 0..50 {
        assert_eq!(client.get("/read/1").await.status, 200);
    }
    management.declare(&[cluster("d", ""), of_nodes("d", &nodes)]);
    proxy.reached(2).await;
    assert_eq!(client.get("/read/1").await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_node_lacks_and_all_writes_go_to_the_origin_behind_its_cluster() {
    let lacking =
        rushquay_test_servers::Node::start_lacking("n", Duration::ZERO, |path| path.contains("/read/lack"))
            .await;
    let plant = nodes(1, Duration::ZERO).await;
    let management = Management::start().await;
    let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
    let policy = "{match: {prefix: /}, route: {cluster: c, retry_policy: {num_retries: 0}}}";
    management.declare(&[
        cluster("c", ", metadata: {filter_metadata: {rushquay: {origin: plant}}}"),
        cluster("plant", ""),
        of_nodes("c", [&lacking]),
        of_nodes("plant", &plant),
        listener(),
        routes(1, &[policy]),
    ]);
    proxy.reached(1).await;
    let mut client = proxy.client().await;
    assert_eq!(client.get("/read/have").await.body, "n");
    assert_eq!(plant[0].count(), 0);
    assert_eq!(client.get("/read/lack").await.body, "n0", "a miss is no failure that a policy counts");
    assert_eq!(client.ask("PUT", "/set/1", &[("idempotency-key", "k")]).await.status, 200);
    assert_eq!((lacking.count(), plant[0].count()), (2, 2));
    // The origin is replaced by another.
    let other = rushquay_test_servers::Node::start("other", Duration::ZERO).await;
    management.declare(&[of_nodes("plant", [&other]), routes(2, &[policy])]);
    proxy.reached(2).await;
    assert_eq!(client.get("/read/lack").await.body, "other");
}

/// `close_connections_on_host_set_change`: whoever comes or goes, nothing more is asked on the connections from before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_are_made_anew_when_the_set_of_hosts_changes_where_that_is_wanted() {
    for wanted in [true, false] {
        let raw = Raw::new().await;
        let management = Management::start().await;
        let proxy = Proxy::start(&bootstrap(management.addr, Variant::Delta));
        let more = format!(", common_lb_config: {{close_connections_on_host_set_change: {wanted}}}");
        let first = endpoint(raw.addr, ", load_balancing_weight: 4000000000");
        let list = [first.clone()];
        management.declare(&[
            cluster("c", &more),
            assignment("c", &list),
            listener(),
            routes(1, &[&all_to("c")]),
        ]);
        proxy.reached(1).await;
        let ask =
            |mut client: Client| tokio::spawn(async move { client.get(&format!("/read/{}", key())).await });
        let asked = ask(proxy.client().await);
        let mut old = raw.request().await;
        old.write_all(OK).await.expect("written");
        assert_eq!(asked.await.expect("asked").status, 200);
        let other = endpoint("127.0.0.9:9".parse().expect("an address"), "");
        management.declare(&[assignment("c", &[first, other]), routes(2, &[&all_to("c")])]);
        proxy.reached(2).await;
        let asked = ask(proxy.client().await);
        if wanted {
            let end = tokio::time::timeout(LONG, old.read(&mut [0])).await.expect("in time");
            assert!(matches!(end, Ok(0)), "{end:?}");
            old = raw.request().await;
        } else {
            read_head(&mut old).await;
        }
        old.write_all(OK).await.expect("written");
        assert_eq!(asked.await.expect("asked").status, 200);
    }
}
