//! Figures of clusters in Envoy's form: what routing costs a request, what endpoints cost in memory, and what endless churn
//! costs requests. `cargo run --release --locked --example envoy_figures`; docs/figures-envoy.md says what it gave.

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use rushquay::proxy::local::LocalProxy;
use rushquay_envoy::catalogue::{Catalogue, ListenerSelector};
use rushquay_envoy::resource::{decode, message_of, Item, Resource};
use rushquay_envoy::text::{encode, parse};
use rushquay_envoy::{bootstrap, Notes, Source};
use rushquay_load_assignment::{ClusterRules, Pool};
use rushquay_routing::Head;
use rushquay_test_servers::{proxy_config, Node};
use rushquay_xds::{version_of, Declared, Kind, Store};
use rushquay_xds_grpc::{serve, Hub, ServerLimits};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn encoded(kind: Kind, yaml: &str) -> Vec<u8> {
    let told = parse(yaml).expect("YAML");
    encode(message_of(kind), &told, "", &mut Notes::default()).expect("good")
}

fn endpoint(addr: &str, port: u16, more: &str) -> String {
    format!(
        "{{endpoint: {{address: {{socket_address: {{address: {addr}, port_value: {port}}}}}}}, \
         metadata: {{filter_metadata: {{rushquay: {{started_ns: '1000'}}}}}}{more}}}"
    )
}

/// So many endpoints that nobody can reach, with weights that turn with the step.
fn endpoints(count: usize, step: u64, more: &str) -> Vec<String> {
    let one = |i: usize| {
        let weight = 1 + (i as u64 + step) % 9;
        let addr = format!("127.{}.{}.{}", 1 + i / 62_500, i / 250 % 250, 1 + i % 250);
        endpoint(&addr, 9, &format!(", load_balancing_weight: {weight}{more}"))
    };
    (0..count).map(one).collect()
}

fn assignment(list: &[String]) -> String {
    format!("{{cluster_name: c, endpoints: [{{lb_endpoints: [{}]}}]}}", list.join(", "))
}

/// Resident memory in bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

struct Asked<'a>(&'a str);

impl Head for Asked<'_> {
    fn authority(&self) -> &str {
        "proxy.local"
    }
    fn path(&self) -> &str {
        self.0
    }
    fn query(&self) -> &str {
        ""
    }
    fn method(&self) -> &str {
        "GET"
    }
    fn header<'a>(&'a self, _: &'a str) -> Box<dyn Iterator<Item = &'a str> + 'a> {
        Box::new(std::iter::empty())
    }
}

fn per_call(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..calls).for_each(&mut call);
    start.elapsed().as_nanos() as f64 / f64::from(calls)
}

fn routing() {
    println!("\nfinding a route, nanoseconds a request\n\n| routes | first | last | none |\n| ---: | ---: | ---: | ---: |");
    for count in [1usize, 100, 5000] {
        let route = |i: usize| format!("{{match: {{prefix: /plant-{i}/}}, route: {{cluster: c}}}}");
        let list: Vec<String> = (0..count).map(route).collect();
        let yaml = format!(
            "{{name: r, virtual_hosts: [{{name: h, domains: ['*'], routes: [{}]}}]}}",
            list.join(", ")
        );
        let Ok((_, Item::Table(table))) =
            decode(Kind::Route, &encoded(Kind::Route, &yaml), &mut Notes::default())
        else {
            panic!("a table")
        };
        let last = format!("/plant-{}/read/7", count - 1);
        let time = |path: &str, found: bool| {
            let head = Asked(path);
            per_call(200_000, |_| assert_eq!(table.find(&head, || 0.5).is_some(), found))
        };
        let (first, last, none) =
            (time("/plant-0/read/7", true), time(&last, true), time("/elsewhere/7", false));
        println!("| {count} | {first:.0} | {last:.0} | {none:.0} |");
    }
}

/// What the decision module takes to choose a node, where the key's candidates are known, and after a change of the list.
fn choosing() {
    use rushquay::api::*;
    println!("\nchoosing a node, microseconds a request\n\n| endpoints | known | after a change |\n| ---: | ---: | ---: |");
    for count in [10u64, 1000, 10_000] {
        let class = Class { latency_objective: 1 << 30, deadline: 1 << 31, worth: 1.0, ..Class::default() };
        let settings = Settings { classes: vec![class], max_attempts: 3, ..Settings::default() };
        let mut module = rushquay::Balancer::new(settings, 1);
        let mut actions = Vec::new();
        let entry =
            |i: u64, weight: f64| Entry { server: server_id(&format!("n{i}")), weight, ..Entry::default() };
        let entries = (0..count).map(|i| entry(i, 1.0)).collect();
        module.handle(1, Event::List { kind: ListKind::Full, entries }, &mut actions);
        let mut now = 1_000_000_000u64;
        let mut id = 0;
        let mut ask = |module: &mut rushquay::Balancer, key: u64| {
            (now, id) = (now + 1_000_000, id + 1);
            let request = Request { id, key: Some(key), remaining: 1 << 30, ..Request::default() };
            module.handle(now, Event::Arrival(request), &mut actions);
            let server = actions.iter().find_map(|a| match a {
                Action::Send { server, .. } => Some(*server),
                _ => None,
            });
            let server = server.expect("it was sent");
            actions.clear();
            let (status, elapsed) = (Status::Ok, 500_000);
            let ended =
                Event::Outcome { id, attempt: 0, server, status, elapsed, last: true, hit: Some(true) };
            module.handle(now + 500_000, ended, &mut actions);
            actions.clear();
        };
        (0..64).for_each(|key| ask(&mut module, key));
        let known = per_call(50_000, |i| ask(&mut module, u64::from(i % 64)));
        let rounds = 200u32;
        let mut changed = 0.0;
        for i in 0..rounds {
            let entries = vec![entry(u64::from(i) % count, 1.0 + f64::from(i % 7))];
            module.handle(2_000_000_000, Event::List { kind: ListKind::Delta, entries }, &mut Vec::new());
            changed += per_call(1, |_| ask(&mut module, 7));
        }
        println!("| {count} | {:.2} | {:.1} |", known / 1e3, changed / f64::from(rounds) / 1e3);
    }
}

const COUNT: usize = 10_000;

/// Bytes that an endpoint holds with all that is kept of it: the resource, the assignment, the pool. In a process of its own,
/// whose allocator has nothing to give again.
fn memory() {
    let body = encoded(Kind::Endpoints, &assignment(&endpoints(COUNT, 0, "")));
    let path = std::env::temp_dir().join(format!("rushquay-figures-{}.bin", std::process::id()));
    std::fs::write(&path, body).expect("written");
    let this = std::env::current_exe().expect("this program");
    let done = std::process::Command::new(this).arg(&path).status();
    let _ = std::fs::remove_file(&path);
    assert!(done.is_ok_and(|s| s.success()));
}

fn memory_of(path: &str) {
    const COPIES: usize = 8;
    let text = "dynamic_resources: {lds_config: {path_config_source: {path: /x}}, cds_config: {path_config_source: {path: /y}}}";
    let file = bootstrap(text).expect("good");
    let eds = "{name: c, type: EDS, eds_cluster_config: {eds_config: {path_config_source: {path: /z}}}}";
    let bodies = [
        (Source::File("/y".into()), Kind::Cluster, encoded(Kind::Cluster, eds)),
        (Source::File("/z".into()), Kind::Endpoints, std::fs::read(path).expect("read")),
    ];
    let fill = || {
        let mut catalogue = Catalogue::new(&file, ListenerSelector::default(), 1);
        for (source, kind, body) in &bodies {
            let (name, item) = decode(*kind, body, &mut Notes::default()).expect("good");
            let resource = Resource { name, version: "1".into(), item, encoded: body.clone() };
            catalogue.apply(source, *kind, vec![resource], &[], true, 1);
            drop(catalogue.settle(1));
        }
        catalogue
    };
    // The first leaves room that the others use again.
    let first = fill();
    let before = resident();
    let all: Vec<Catalogue> = (0..COPIES).map(|_| fill()).collect();
    let each = (resident() - before) / (COPIES * COUNT) as f64;
    println!("memory of an endpoint, of {COUNT}: {each:.0} bytes");
    drop((first, all));
}

fn pools() {
    println!("\na list of endpoints whose weights all change, milliseconds\n");
    println!("| endpoints | looked over and read | shares and changes |\n| ---: | ---: | ---: |");
    for count in [10usize, 1000, 10_000] {
        let bodies: Vec<Vec<u8>> =
            (0..4).map(|s| encoded(Kind::Endpoints, &assignment(&endpoints(count, s, "")))).collect();
        let rounds = if count > 1000 { 20 } else { 100 };
        let mut read = None;
        let reading = per_call(rounds, |i| {
            read = decode(Kind::Endpoints, &bodies[i as usize % 4], &mut Notes::default()).ok();
        });
        let mut pool = Pool::new(ClusterRules { merge_window: 0, ..ClusterRules::default() });
        let read: Vec<_> = bodies
            .iter()
            .filter_map(|b| match decode(Kind::Endpoints, b, &mut Notes::default()) {
                Ok((_, Item::Endpoints(assignment))) => Some(assignment),
                _ => None,
            })
            .collect();
        let sharing = per_call(rounds, |i| {
            pool.assign((*read[i as usize % 4]).clone(), u64::from(i));
            assert!(!pool.changes(u64::from(i)).is_empty());
        });
        drop((pool, read));
        println!("| {count} | {:.3} | {:.3} |", reading / 1e6, sharing / 1e6);
    }
}

struct Rig {
    hub: Arc<Hub>,
    addr: SocketAddr,
}

impl Rig {
    async fn start() -> Self {
        let mut store = Store::new("figures", 1000);
        store.open();
        let hub = Hub::new(store, ServerLimits::default());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let addr = listener.local_addr().expect("an address");
        let served = hub.clone();
        tokio::spawn(async move { serve(listener, served, None, std::future::pending()).await });
        Rig { hub, addr }
    }

    fn declare(&self, kind: Kind, name: &str, body: Vec<u8>) {
        let declared = Declared { version: version_of(&body), body: body.into() };
        self.hub.change(|store, now| store.set(kind, name, declared, now));
    }
}

const MANAGER: &str =
    "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
const ROUTER: &str = "type.googleapis.com/envoy.extensions.filters.http.router.v3.Router";

fn bootstrap_text(xds: SocketAddr) -> String {
    format!(
        "dynamic_resources:
  cds_config: {{ads: {{}}}}
  lds_config: {{ads: {{}}}}
  ads_config: {{api_type: DELTA_GRPC, transport_api_version: V3, grpc_services: [{{envoy_grpc: {{cluster_name: xds}}}}]}}
static_resources: {{clusters: [{{name: xds, http2_protocol_options: {{}}, load_assignment: {{cluster_name: xds, endpoints: [{{lb_endpoints: [{}]}}]}}}}]}}",
        endpoint("127.0.0.1", xds.port(), "")
    )
}

fn table(routes: usize) -> String {
    let route = |i: usize| format!("{{match: {{prefix: /plant-{i}/}}, route: {{cluster: c}}}}");
    let mut list: Vec<String> = (1..routes).map(route).collect();
    list.push("{match: {prefix: /}, route: {cluster: c}}".into());
    format!("{{name: r, virtual_hosts: [{{name: h, domains: ['*'], routes: [{}]}}]}}", list.join(", "))
}

/// Clients that ask one after another; the times of all answers, and how many were not 200.
async fn load(proxy: SocketAddr, clients: usize, time: Duration) -> (Histogram<u64>, u64) {
    let stop = Arc::new(AtomicBool::new(false));
    let bad = Arc::new(AtomicU64::new(0));
    let mut tasks = tokio::task::JoinSet::new();
    for c in 0..clients {
        let (stop, bad) = (stop.clone(), bad.clone());
        tasks.spawn(async move {
            let mut seen = Histogram::<u64>::new(3).expect("a histogram");
            let stream = tokio::net::TcpStream::connect(proxy).await.expect("connected");
            let _ = stream.set_nodelay(true);
            let io = hyper_util::rt::TokioIo::new(stream);
            let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.expect("HTTP");
            tokio::spawn(connection);
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let key = (number << 16 | c as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let request = hyper::Request::get(format!("/read/{key:016x}"))
                    .header("host", "proxy.local")
                    .header("x-correlation-id", format!("f-{c}-{number}"))
                    .body(http_body_util::Full::<hyper::body::Bytes>::default())
                    .expect("a request");
                let start = Instant::now();
                if sender.ready().await.is_err() {
                    break;
                }
                let Ok(response) = sender.send_request(request).await else { break };
                bad.fetch_add(u64::from(response.status() != 200), Ordering::Relaxed);
                let _ = response.into_body().collect().await;
                seen.record(start.elapsed().as_micros() as u64).expect("recorded");
            }
            seen
        });
    }
    tokio::time::sleep(time).await;
    stop.store(true, Ordering::Relaxed);
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    while let Some(seen) = tasks.join_next().await {
        all.add(seen.expect("a client")).expect("added");
    }
    (all, bad.load(Ordering::Relaxed))
}

fn told(name: &str, seen: &Histogram<u64>, bad: u64, time: Duration) {
    println!(
        "| {name} | {:.0} | {:.2} | {:.2} | {:.2} | {bad} |",
        seen.len() as f64 / time.as_secs_f64(),
        seen.value_at_quantile(0.5) as f64 / 1000.0,
        seen.value_at_quantile(0.99) as f64 / 1000.0,
        seen.max() as f64 / 1000.0,
    );
}

async fn churn() {
    const TIME: Duration = Duration::from_secs(8);
    const CLIENTS: usize = 16;
    let mut nodes = Vec::new();
    for i in 0..8 {
        nodes.push(Node::start(&format!("n{i}"), Duration::ZERO).await);
    }
    let real: Vec<String> = nodes.iter().map(|n| endpoint("127.0.0.1", n.addr.port(), "")).collect();
    let file = std::env::temp_dir().join(format!("rushquay-figures-{}", std::process::id()));
    std::fs::create_dir_all(&file).expect("a folder");
    println!("\nrequests through a proxy, {CLIENTS} clients in turn, {} s each\n", TIME.as_secs());
    println!("| what | a second | p50 ms | p99 ms | most ms | not 200 |\n| --- | ---: | ---: | ---: | ---: | ---: |");
    // The proxy without Envoy's form, on the same nodes.
    let listed: Vec<_> =
        nodes.iter().map(|n| rushquay_test_servers::entry(n, "rajkot", "std-1c", "ready", 1000)).collect();
    let discovery = rushquay_test_servers::Discovery::start(1, &listed).await;
    let mut config = proxy_config("bare", discovery.addr, &[], &listed);
    config["limits"] = json!({"memory_mb": 192, "sockets": 1024});
    let bare = LocalProxy::start(&config.to_string()).expect("a proxy");
    let (seen, bad) = load(bare.addr, CLIENTS, TIME).await;
    told("discovery's list, 8 nodes", &seen, bad, TIME);
    let rig = Rig::start().await;
    let yaml = format!("{{name: l, address: {{socket_address: {{address: 127.0.0.1, port_value: 80}}}}, filter_chains: [{{filters: [{{name: h, typed_config: {{'@type': {MANAGER}, stat_prefix: s, rds: {{route_config_name: r, config_source: {{ads: {{}}}}}}, http_filters: [{{name: r, typed_config: {{'@type': {ROUTER}}}}}]}}}}]}}]}}");
    rig.declare(Kind::Listener, "l", encoded(Kind::Listener, &yaml));
    let cluster = "{name: c, type: EDS, eds_cluster_config: {eds_config: {ads: {}}}, common_lb_config: {healthy_panic_threshold: {value: 0}}}";
    rig.declare(Kind::Cluster, "c", encoded(Kind::Cluster, cluster));
    rig.declare(Kind::Route, "r", encoded(Kind::Route, &table(1)));
    // The others are listed and healthy in weight, but drain: only those that exist may take requests.
    let listed = |count: usize, step: u64| {
        let mut list = real.clone();
        for (i, one) in list.iter_mut().enumerate() {
            *one = one.trim_end_matches('}').to_owned()
                + &format!("}}}}}}, load_balancing_weight: {}}}", 1 + (i as u64 + step) % 9);
        }
        list.extend(endpoints(count - 8, step, ", health_status: DRAINING"));
        encoded(Kind::Endpoints, &assignment(&list))
    };
    rig.declare(Kind::Endpoints, "c", listed(8, 0));
    std::fs::write(file.join("bootstrap.yaml"), bootstrap_text(rig.addr)).expect("written");
    std::fs::write(file.join("envoy.toml"), "bootstrap = 'bootstrap.yaml'\n").expect("written");
    let mut config = proxy_config("envoy", discovery.addr, &[], &[]);
    config["envoy"] = json!(file.join("envoy.toml"));
    config["limits"] = json!({"memory_mb": 192, "sockets": 1024});
    let proxy = LocalProxy::start(&config.to_string()).expect("a proxy");
    let ready = async || {
        let (seen, bad) = load(proxy.addr, 1, Duration::from_millis(200)).await;
        !seen.is_empty() && bad == 0
    };
    while !ready().await {}
    let (seen, bad) = load(proxy.addr, CLIENTS, TIME).await;
    told("one cluster, 8 endpoints, 1 route", &seen, bad, TIME);
    for (routes, count) in [(5000, 8), (1, 1000), (1, 10_000), (5000, 10_000)] {
        rig.declare(Kind::Route, "r", encoded(Kind::Route, &table(routes)));
        rig.declare(Kind::Endpoints, "c", listed(count, 0));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (seen, bad) = load(proxy.addr, CLIENTS, TIME).await;
        told(&format!("the same, {count} endpoints, {routes} routes"), &seen, bad, TIME);
    }
    // All 10,000 are rewritten ten times a second.
    let bodies: Vec<Vec<u8>> = (0..5).map(|s| listed(10_000, s)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let (ended, hub) = (stop.clone(), rig.hub.clone());
    let writer = std::thread::spawn(move || {
        let mut step = 0;
        while !ended.load(Ordering::Relaxed) {
            let body = bodies[step % bodies.len()].clone();
            let declared = Declared { version: version_of(format!("{step}").as_bytes()), body: body.into() };
            hub.change(|store, now| store.set(Kind::Endpoints, "c", declared, now));
            step += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        step
    });
    let (seen, bad) = load(proxy.addr, CLIENTS, TIME).await;
    stop.store(true, Ordering::Relaxed);
    let steps = writer.join().expect("joined");
    told(&format!("10,000 endpoints rewritten {steps} times meanwhile"), &seen, bad, TIME);
    let _ = std::fs::remove_dir_all(&file);
}

fn main() {
    if let Some(path) = std::env::args().nth(1) {
        return memory_of(&path);
    }
    memory();
    routing();
    choosing();
    pools();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    runtime.expect("a runtime").block_on(churn());
}
