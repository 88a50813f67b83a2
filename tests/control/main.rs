//! Proxies, a control service and what surrounds them, on loopback: what goes wrong between them, and who is sent to.

mod catching_up;
mod clock_steps;
mod failing_disk;
mod fleet;
mod interrupted;
mod link;
mod overrides;
mod peers;
mod program;
mod restarts;
mod standby;

use rushquay::proxy::local::LocalProxy;
use rushquay_control_service::{start, ControlService, Options, Settings, SourceOption};
use rushquay_endpoints::EndpointList;
use rushquay_test_servers::{entry, proxy_config, Discovery, Node};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a step may take before the test is given up: far longer than any takes.
const LONG: Duration = Duration::from_secs(60);

/// A place for a control service's state, empty at first and at the end.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("rushquay-{name}-{}.redb", std::process::id()));
        let file = File(path);
        file.remove();
        file
    }
}

impl File {
    /// Removes it, and the files that followed it.
    fn remove(&self) {
        let name = self.0.file_name().expect("a name").to_string_lossy().into_owned();
        let entries = std::fs::read_dir(std::env::temp_dir()).into_iter().flatten().flatten();
        let own = |e: &std::fs::DirEntry| e.file_name().to_string_lossy().starts_with(&name);
        entries.filter(own).for_each(|e| drop(std::fs::remove_file(e.path())));
    }
}

impl Drop for File {
    fn drop(&mut self) {
        self.remove();
    }
}

/// Waits until something holds.
async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "it never came that {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn options(source: SourceOption) -> Options {
    let any = "127.0.0.1:0".parse().expect("an address");
    Options { listen: any, source, admin: None, settings: Settings::default(), state_file: None }
}

async fn control(discovery: SocketAddr) -> ControlService {
    start(options(SourceOption::Discovery(discovery))).await.expect("a control service")
}

fn proxy(name: &str, discovery: SocketAddr, control: &[SocketAddr], known: &[Value]) -> LocalProxy {
    LocalProxy::start(&proxy_config(name, discovery, control, known).to_string()).expect("a proxy")
}

async fn nodes(ids: &[&str]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for id in ids {
        nodes.push(Node::start(id, Duration::ZERO).await);
    }
    nodes
}

fn ready(nodes: &[Node]) -> Vec<Value> {
    nodes.iter().map(|n| entry(n, "rajkot", "std-1c", "ready", 1000)).collect()
}

fn members(version: u64, full: bool, servers: &[Value]) -> EndpointList {
    serde_json::from_value(json!({"version": version, "full": full, "servers": servers})).expect("a list")
}

/// All subscribers have taken all that is declared.
async fn all_taken(service: &ControlService, subscribers: usize) {
    let hub = service.hub().clone();
    until("all subscribers have taken all", || {
        let all = hub.subscribers();
        let has = |s: &rushquay_xds_grpc::Subscriber| s.has_all(rushquay_xds::Kind::Endpoint);
        all.len() == subscribers && all.iter().all(has)
    })
    .await;
}

/// Sends so many requests through a proxy, for keys all over; each must be served. Returns the nodes that served, by
/// id.
async fn served_by(proxy: &LocalProxy, requests: usize) -> std::collections::BTreeMap<String, usize> {
    use http_body_util::BodyExt;
    let stream = tokio::net::TcpStream::connect(proxy.addr).await.expect("connected");
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.expect("HTTP");
    tokio::spawn(connection);
    let mut by = std::collections::BTreeMap::new();
    static NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    for _ in 0..requests {
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let key = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = hyper::Request::get(format!("/read/{key:016x}"))
            .header("host", "proxy.local")
            .header("x-correlation-id", format!("once-{number}"))
            .body(http_body_util::Full::<hyper::body::Bytes>::default())
            .expect("a request");
        sender.ready().await.expect("ready");
        let response = sender.send_request(request).await.expect("an answer");
        let status = response.status();
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        assert_eq!(status, 200, "{body:?}");
        *by.entry(String::from_utf8_lossy(&body).into_owned()).or_default() += 1;
    }
    by
}
