//! Figures of the control service, printed as Markdown.
//!
//! - `cargo run --release --locked --example control_figures -- drain`: forty proxies with load on them, how soon each
//!   left a draining node. Ends with 1 where one took 500 ms or more.
//! - `cargo run --release --locked --example control_figures -- override`: the same where an operator takes nodes out; time
//!   counts from the command over HTTP, the write to disk included.
//! - `cargo run --release --locked --example control_figures -- fanout [SUBSCRIBERS [ENDPOINTS]]`: one endpoint
//!   changed among many, three ways to subscribe. Needs `target/release/rushquay`, which it starts.

use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use prost::Message;
use rushquay::proxy::local::LocalProxy;
use rushquay_control_service::{start, Options, Settings, SourceOption};
use rushquay_test_servers::{entry, proxy_config, Discovery, Load, Node};
use rushquay_xds::Kind;
use rushquay_xds_resources::collection_name;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;

const LONG: Duration = Duration::from_secs(120);

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "it never came that {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn millis(d: Duration) -> f64 {
    d.as_secs_f64() * 1e3
}

// ---- drains ----

const PROXIES: usize = 40;
const ROUNDS: usize = 10;

/// An operator takes a node out, over the admin address.
async fn take_out(admin: std::net::SocketAddr, node: &str) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    #[expect(clippy::disallowed_methods, reason = "overrides expire at a Unix time")]
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock").as_nanos();
    let ask = json!({"scope": {"node": node}, "effect": "out", "until": now as u64 + 3_600_000_000_000u64,
                     "author": "figures", "reason": "to measure", "force": true});
    let body = ask.to_string();
    let request = format!(
        "POST /v1/overrides HTTP/1.1\r\nHost: admin\r\nIf-Match: *\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = tokio::net::TcpStream::connect(admin).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 201") && answer.contains("\"durable\":true"), "{answer}");
}

/// Forty proxies that only the control service tells of drains, or of overrides. Returns whether all left in time.
async fn drain(by_override: bool) -> bool {
    let mut nodes = Vec::new();
    for i in 0..12 {
        nodes.push(Node::start(&format!("n{i}"), Duration::ZERO).await);
    }
    let list: Vec<Value> = nodes.iter().map(|n| entry(n, "rajkot", "std-1c", "ready", 1000)).collect();
    let (discovery, behind) = (Discovery::start(1, &list).await, Discovery::start(1, &list).await);
    let any = "127.0.0.1:0".parse().expect("an address");
    let source = SourceOption::Discovery(discovery.addr);
    let file = std::env::temp_dir().join(format!("rushquay-figures-{}.redb", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let service = start(Options {
        listen: any,
        source,
        admin: Some(any),
        settings: Settings::default(),
        state_file: Some(file.clone()),
    })
    .await;
    let service = service.expect("a control service");
    let proxy = |i| {
        let config = proxy_config(&format!("p{i}"), behind.addr, &[service.xds], &list);
        LocalProxy::start(&config.to_string()).expect("a proxy")
    };
    let proxies: Vec<LocalProxy> = (0..PROXIES).map(proxy).collect();
    let hub = service.hub().clone();
    until("all have subscribed", || {
        let all = hub.subscribers();
        all.len() == PROXIES && all.iter().all(|s| s.has_all(rushquay_xds::Kind::Endpoint))
    })
    .await;
    let load =
        |(i, p): (usize, &LocalProxy)| Load::start(p.addr, &format!("p{i}"), 3, Duration::from_millis(10));
    let loads: Vec<Load> = proxies.iter().enumerate().map(load).collect();
    tokio::time::sleep(Duration::from_secs(2)).await;

    println!(
        "| round | proxies that sent to it before | median ms | maximum ms |\n| --- | --- | --- | --- |"
    );
    let (mut every, mut worst) = (Vec::new(), Duration::ZERO);
    for (round, node) in nodes.iter().enumerate().take(ROUNDS) {
        let prefix = |i: usize| format!("p{i}-");
        let active = (0..PROXIES).filter(|i| node.last(&prefix(*i)).is_some()).count();
        let seq = hub.store().seq();
        let learned = if by_override {
            let asked = Instant::now();
            take_out(service.admin.expect("an admin address"), &node.id).await;
            asked
        } else {
            discovery.set(&node.id, "draining");
            // Learned: when the control service has taken the list; looked for without a pause.
            while hub.store().seq() == seq {
                tokio::task::yield_now().await;
            }
            Instant::now()
        };
        tokio::time::sleep(Duration::from_millis(1200)).await;
        let left = |i: usize| {
            let last = node.last(&prefix(i))?;
            Some(last.checked_duration_since(learned).unwrap_or_default())
        };
        let mut times: Vec<Duration> = (0..PROXIES).filter_map(left).collect();
        times.sort();
        let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
        println!("| {} | {active} | {:.1} | {:.1} |", round + 1, millis(median), millis(most));
        worst = worst.max(most);
        every.extend(times);
    }
    every.sort();
    let (mut asked, mut answered, mut served) = (0, 0, 0);
    for load in loads {
        let o = load.stop().await;
        asked += o.asked;
        answered += o.served + o.refused + o.failed;
        served += o.served;
    }
    let at = |part: f64| millis(every[((every.len() - 1) as f64 * part) as usize]);
    println!(
        "\nall {} departures: median {:.1} ms, 99% {:.1} ms, maximum {:.1} ms; {asked} requests, {answered} answered, \
         {served} served",
        every.len(),
        at(0.5),
        at(0.99),
        millis(worst)
    );
    tokio::task::spawn_blocking(move || drop(proxies)).await.expect("ended");
    drop(service);
    let _ = std::fs::remove_file(&file);
    worst < Duration::from_millis(500) && answered == asked
}

// ---- fan-out ----

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Collections,
    Delta,
    Sotw,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::Collections => "delta, one resource an endpoint (LEDS)",
            Way::Delta => "delta, one resource a cluster (EDS)",
            Way::Sotw => "state-of-the-world (EDS)",
        }
    }
}

/// What all subscribers have received.
#[derive(Default)]
struct Received {
    bytes: AtomicU64,
    /// Subscribers that have the first state.
    synced: AtomicUsize,
    /// When each received something after that.
    changes: Mutex<Vec<Instant>>,
}

async fn subscriber(addr: String, number: usize, way: Way, endpoints: usize, got: Arc<Received>) {
    // Not all at once.
    tokio::time::sleep(Duration::from_millis(number as u64)).await;
    let channel =
        Endpoint::from_shared(format!("http://{addr}")).expect("a URI").connect().await.expect("connected");
    let mut client = AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(64 << 20);
    let mut held = 0;
    let mut take = |bytes: usize, resources: usize| {
        got.bytes.fetch_add(bytes as u64 + 5, Relaxed);
        if held >= endpoints {
            got.changes.lock().expect("a lock").push(Instant::now());
        } else {
            held += resources;
            if held >= endpoints {
                got.synced.fetch_add(1, Relaxed);
            }
        }
    };
    match way {
        Way::Sotw => {
            let (asks, rest) = mpsc::channel(4);
            let type_url = Kind::Endpoints.type_url().to_owned();
            let names = vec!["cache-nodes".to_owned()];
            let ask = |nonce: String| DiscoveryRequest {
                type_url: type_url.clone(),
                resource_names: names.clone(),
                response_nonce: nonce,
                ..DiscoveryRequest::default()
            };
            asks.send(ask(String::new())).await.expect("sent");
            let stream =
                client.stream_aggregated_resources(ReceiverStream::new(rest)).await.expect("a stream");
            let mut answers = stream.into_inner();
            while let Ok(Some(answer)) = answers.message().await {
                let answer: DiscoveryResponse = answer;
                take(answer.encoded_len(), endpoints);
                if asks.send(ask(answer.nonce)).await.is_err() {
                    return;
                }
            }
        }
        Way::Collections | Way::Delta => {
            let (asks, rest) = mpsc::channel(4);
            let (kind, name) = match way {
                Way::Collections => (Kind::Endpoint, collection_name("cache-nodes", "rajkot")),
                _ => (Kind::Endpoints, "cache-nodes".to_owned()),
            };
            let type_url = kind.type_url().to_owned();
            let first = DeltaDiscoveryRequest {
                type_url: type_url.clone(),
                resource_names_subscribe: vec![name],
                ..DeltaDiscoveryRequest::default()
            };
            asks.send(first).await.expect("sent");
            let stream =
                client.delta_aggregated_resources(ReceiverStream::new(rest)).await.expect("a stream");
            let mut answers = stream.into_inner();
            while let Ok(Some(answer)) = answers.message().await {
                let answer: DeltaDiscoveryResponse = answer;
                let resources = if way == Way::Delta { endpoints } else { answer.resources.len() };
                take(answer.encoded_len(), resources);
                let (type_url, response_nonce) = (type_url.clone(), answer.nonce);
                let ack =
                    DeltaDiscoveryRequest { type_url, response_nonce, ..DeltaDiscoveryRequest::default() };
                if asks.send(ack).await.is_err() {
                    return;
                }
            }
        }
    }
}

struct Service {
    child: Child,
    addr: String,
}

impl Service {
    fn start(discovery: &Discovery) -> Self {
        let program = concat!(env!("CARGO_MANIFEST_DIR"), "/target/release/rushquay");
        let discovery = discovery.addr.to_string();
        let mut child = Command::new(program)
            .args(["control", "--listen", "127.0.0.1:0", "--discovery", &discovery])
            .stdout(Stdio::piped())
            .spawn()
            .expect("target/release/rushquay; build it with cargo build --release --locked");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
        let addr = line.split(' ').find_map(|p| p.strip_prefix("xds=")).expect("an address").to_owned();
        Service { child, addr }
    }

    /// User and system time so far.
    fn cpu(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its state");
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks: u64 = [11, 12].iter().filter_map(|i| fields.get(*i)?.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    fn resident_mb(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its state");
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn endpoint(i: usize, weight: f64) -> Value {
    json!({"id": format!("cache-{i:05}"), "addr": format!("10.0.{}.{}:3000", i / 250, i % 250 + 1), "zone": "rajkot",
           "kind": "std-1c", "cell": 0, "state": "ready", "weight": weight, "started_ms": 0})
}

const CHANGES: usize = 5;

async fn fanout(way: Way, subscribers: usize, endpoints: usize) {
    let list: Vec<Value> = (0..endpoints).map(|i| endpoint(i, 1.0)).collect();
    let discovery = Discovery::start(1, &list).await;
    let service = Service::start(&discovery);
    let got = Arc::new(Received::default());
    let begun = Instant::now();
    let tasks: Vec<_> = (0..subscribers)
        .map(|i| tokio::spawn(subscriber(service.addr.clone(), i, way, endpoints, got.clone())))
        .collect();
    until("all have the first state", || got.synced.load(Relaxed) == subscribers).await;
    let first = begun.elapsed();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (mut all, mut half, mut cpu, mut bytes) = (Duration::ZERO, Duration::ZERO, Duration::ZERO, 0);
    for change in 0..CHANGES {
        got.changes.lock().expect("a lock").clear();
        let (cpu_before, bytes_before) = (service.cpu(), got.bytes.load(Relaxed));
        let begun = Instant::now();
        discovery.put(endpoint(change * endpoints / CHANGES, 2.0 + change as f64));
        until("all have the change", || got.changes.lock().expect("a lock").len() >= subscribers).await;
        let mut times: Vec<Duration> =
            got.changes.lock().expect("a lock").iter().map(|t| *t - begun).collect();
        times.sort();
        all = all.max(times[times.len() - 1]);
        half = half.max(times[times.len() / 2]);
        tokio::time::sleep(Duration::from_millis(300)).await;
        cpu += service.cpu() - cpu_before;
        bytes += got.bytes.load(Relaxed) - bytes_before;
    }
    println!(
        "| {} | {subscribers} | {endpoints} | {:.2} s | {:.1} ms | {:.1} ms | {:.0} ms | {} | {:.0} MB |",
        way.name(),
        first.as_secs_f64(),
        millis(half),
        millis(all),
        millis(cpu) / CHANGES as f64,
        bytes / (CHANGES * subscribers) as u64,
        service.resident_mb()
    );
    tasks.iter().for_each(|t| t.abort());
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize| args.get(i).and_then(|a| a.parse::<usize>().ok());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    match args.first().map(String::as_str) {
        Some(how @ ("drain" | "override")) => match runtime.block_on(drain(how == "override")) {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        },
        Some("fanout") => {
            println!("| way | subscribers | endpoints | first state | change, half have it | all have it | CPU a change | bytes a subscriber and change | resident |");
            println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            let sizes = match (number(1), number(2)) {
                (Some(subscribers), endpoints) => vec![(subscribers, endpoints.unwrap_or(1000))],
                _ => vec![(100, 1000), (1000, 100), (1000, 1000), (1000, 5000), (5000, 1000)],
            };
            for (subscribers, endpoints) in sizes {
                for way in [Way::Collections, Way::Delta, Way::Sotw] {
                    // A cluster in one piece for so many is gigabytes.
                    if way == Way::Collections || subscribers * endpoints <= 1_000_000 {
                        runtime.block_on(fanout(way, subscribers, endpoints));
                    }
                }
            }
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("drain, or fanout [SUBSCRIBERS [ENDPOINTS]]");
            ExitCode::FAILURE
        }
    }
}
