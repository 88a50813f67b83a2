//! A management server, a proxy that follows it, and a client of the proxy.

use super::{until, LONG};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use rushquay::proxy::local::LocalProxy;
use rushquay_envoy::resource::message_of;
use rushquay_envoy::text::{encode, parse};
use rushquay_envoy::Notes;
use rushquay_fleet_harness::{EventLog, Faults, Process};
use rushquay_test_servers::{proxy_config, Node};
use rushquay_xds::server::Variant;
use rushquay_xds::{version_of, Declared, Kind, Store};
use rushquay_xds_grpc::{serve, Hub, ServerLimits, Subscriber};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A folder of its own, gone at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("rushquay-envoy-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// Writes a file, and puts it in place by a rename as operators' tools do.
    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let (next, path) = (self.0.join(format!("{name}.next")), self.0.join(name));
        std::fs::write(&next, text).expect("written");
        std::fs::rename(&next, &path).expect("renamed");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A stand-in management server: hands out whatever it is told to declare.
pub struct Management {
    pub hub: Arc<Hub>,
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    done: tokio::task::JoinHandle<()>,
}

impl Management {
    pub async fn start() -> Self {
        Self::at("127.0.0.1:0".parse().expect("an address")).await
    }

    pub async fn at(addr: SocketAddr) -> Self {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let mut store = Store::new(&format!("management-{number}"), 10_000);
        store.open();
        let hub = Hub::new(store, ServerLimits::default());
        let listener = TcpListener::bind(addr).await.expect("bound");
        let addr = listener.local_addr().expect("an address");
        let (stop, stopped) = oneshot::channel::<()>();
        let served = hub.clone();
        let done = tokio::spawn(async move {
            let _ = serve(listener, served, None, async { drop(stopped.await) }).await;
        });
        Management { hub, addr, stop: Some(stop), done }
    }

    /// Ends at once, streams and all.
    pub async fn kill(mut self) {
        drop(self.stop.take());
        self.hub.suspend();
        self.done.abort();
        let _ = (&mut self.done).await;
    }

    /// Declares resources, each as YAML, in one change.
    pub fn declare(&self, resources: &[(Kind, &str, String)]) {
        self.hub.change(|store, now| {
            for (kind, name, yaml) in resources {
                let body = encoded(*kind, yaml);
                let declared = Declared { version: version_of(&body), body: body.into() };
                store.set(*kind, name, declared, now);
            }
        });
    }

    pub fn remove(&self, kind: Kind, name: &str) {
        self.hub.change(|store, now| store.remove(kind, name, now));
    }

    /// How many answers of a kind the proxy has taken.
    pub fn acks(&self, kind: Kind) -> u64 {
        let subscribers = self.hub.subscribers();
        let standings = subscribers.iter().flat_map(|s| &s.standing);
        standings.filter(|(k, _)| *k == kind).map(|(_, standing)| standing.acks).sum()
    }

    /// Waits for the proxy's word on what is declared of a kind.
    pub async fn answered(&self, kind: Kind) -> Subscriber {
        let mut found = None;
        until("the proxy has answered", async || {
            found = self
                .hub
                .subscribers()
                .into_iter()
                .find(|s| s.has_all(kind) || s.standing.iter().any(|(k, s)| *k == kind && s.nacks > 0));
            found.is_some()
        })
        .await;
        found.expect("found")
    }
}

pub fn encoded(kind: Kind, yaml: &str) -> Vec<u8> {
    let told = parse(yaml).expect("YAML");
    encode(message_of(kind), &told, "", &mut Notes::default()).unwrap_or_else(|e| panic!("{e}\n{yaml}"))
}

/// A bootstrap file that has all come on a stream from there.
pub fn bootstrap(management: SocketAddr, variant: Variant) -> String {
    let api = if variant == Variant::Delta { "DELTA_GRPC" } else { "GRPC" };
    format!(
        "node: {{id: p, cluster: test}}
admin: {{address: {{socket_address: {{address: 127.0.0.1, port_value: 0}}}}}}
dynamic_resources:
  cds_config: {{ads: {{}}}}
  lds_config: {{ads: {{}}}}
  ads_config: {{api_type: {api}, transport_api_version: V3, grpc_services: [{{envoy_grpc: {{cluster_name: xds}}}}]}}
static_resources:
  clusters:
    - {{name: xds, http2_protocol_options: {{}}, load_assignment: {{cluster_name: xds, endpoints: [{{lb_endpoints: [{}]}}]}}}}
",
        endpoint(management, "")
    )
}

/// A proxy on a bootstrap file.
pub struct Proxy {
    pub proxy: LocalProxy,
    _folder: Folder,
}

impl Proxy {
    pub fn start(bootstrap: &str) -> Self {
        Self::start_with(bootstrap, |_| {})
    }

    /// With other settings.
    pub fn start_with(bootstrap: &str, settings: impl FnOnce(&mut serde_json::Value)) -> Self {
        Self::try_start(bootstrap, settings).expect("a proxy")
    }

    /// The same, or what the proxy could not start for.
    pub fn try_start(bootstrap: &str, settings: impl FnOnce(&mut serde_json::Value)) -> Result<Self, String> {
        let folder = Folder::new();
        folder.put("bootstrap.yaml", bootstrap);
        let toml = "bootstrap = 'bootstrap.yaml'\nbackoff_ms = 20\nbackoff_most_ms = 200\n";
        let file = folder.put("envoy.toml", toml);
        let mut config = proxy_config("p", "127.0.0.1:1".parse().expect("an address"), &[], &[]);
        config["discovery"] = json!(null);
        config["envoy"] = json!(file);
        config["limits"]["sockets"] = json!(1024);
        config["limits"]["memory_mb"] = json!(192);
        settings(&mut config);
        Ok(Proxy { proxy: LocalProxy::start(&config.to_string())?, _folder: folder })
    }

    pub async fn client(&self) -> Client {
        Client::to(self.proxy.addr).await
    }

    /// Waits until routes hold that say `step` (see [`routes`]): all that was declared before holds then too.
    pub async fn reached(&self, step: u64) {
        let mut client = self.client().await;
        until(&format!("step {step} holds"), async || client.get("/step").await.body == step.to_string())
            .await;
    }
}

/// A proxy in a process of its own, whose system calls fail while the test wants it.
pub struct FaultyProxy {
    pub addr: SocketAddr,
    pub folder: Folder,
    _process: Process,
}

impl FaultyProxy {
    /// Starts a proxy on a bootstrap file; the rules (`tests/shim/faults.c`) hold once [`Self::begin_faults`] is called.
    pub fn start(bootstrap: &str, rules: &str) -> Self {
        let folder = Folder::new();
        folder.put("bootstrap.yaml", bootstrap);
        let envoy = folder.put("envoy.toml", "bootstrap = 'bootstrap.yaml'\n");
        let mut config = proxy_config("p", "127.0.0.1:1".parse().expect("an address"), &[], &[]);
        config["discovery"] = json!(null);
        config["envoy"] = json!(envoy);
        // Without an origin writes go to the nodes.
        config["settings"]["family_info"] = json!(null);
        let config = folder.put("proxy.json", &config.to_string());
        let faults = Faults::new(39, rules).while_exists(&folder.0.join("faults"));
        let mut variables = faults.variables();
        variables.push(("PROXY_CONFIG".into(), config.display().to_string()));
        let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        let program = Path::new(env!("CARGO_BIN_EXE_rushquay"));
        let process = Process::start("proxy", program, &[], &variables, &EventLog::default());
        let addr = process.says("rushquay: listening on ").parse().expect("an address");
        FaultyProxy { addr, folder, _process: process }
    }

    /// From now on calls fail.
    pub fn begin_faults(&self) {
        self.folder.put("faults", "");
        // The library looks for the file every few milliseconds.
        std::thread::sleep(Duration::from_millis(20));
    }

    /// From now on they go well.
    pub fn end_faults(&self) {
        std::fs::remove_file(self.folder.0.join("faults")).expect("removed");
    }

    /// Waits until routes hold that say `step`.
    pub async fn reached(&self, step: u64) {
        let mut client = Client::to(self.addr).await;
        until(&format!("step {step} holds"), async || client.get("/step").await.body == step.to_string())
            .await;
    }
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// A client with one connection at a time.
pub struct Client {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    pub async fn to(addr: SocketAddr) -> Self {
        Client { addr, sender: connect(addr).await }
    }

    pub async fn get(&mut self, path: &str) -> Answer {
        self.ask("GET", path, &[]).await
    }

    pub async fn ask(&mut self, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let request = || {
            let mut request = Request::builder().method(method).uri(path).header("host", "proxy.local");
            request = request.header("x-correlation-id", format!("c-{number}"));
            for (name, value) in headers {
                request = request.header(*name, *value);
            }
            request.body(Full::<Bytes>::default()).expect("a request")
        };
        for _ in 0..3 {
            if self.sender.ready().await.is_ok() {
                let asked = tokio::time::timeout(LONG, self.sender.send_request(request())).await;
                if let Ok(response) = asked.expect("an answer in time") {
                    let (head, body) = response.into_parts();
                    let body = body.collect().await.expect("a body").to_bytes();
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return Answer { status: head.status.as_u16(), headers: head.headers, body };
                }
            }
            // The proxy may close a connection between requests.
            self.sender = connect(self.addr).await;
        }
        panic!("{path}: no answer");
    }
}

async fn connect(addr: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(addr).await.expect("connected");
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    sender
}

/// An address where nobody else listens for as long as the reservation is held: its port is held at the address that all other
/// listeners of tests share.
pub async fn reserved_address() -> (TcpListener, SocketAddr) {
    let reservation = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let port = reservation.local_addr().expect("an address").port();
    (reservation, SocketAddr::from(([127, 78, 0, 1], port)))
}

/// A key that no other call gives.
pub fn key() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub async fn nodes(count: usize, work: Duration) -> Vec<Node> {
    let mut nodes = Vec::new();
    for i in 0..count {
        nodes.push(Node::start(&format!("n{i}"), work).await);
    }
    nodes
}

/// An endpoint as YAML, with more fields behind it. It started long ago.
pub fn endpoint(addr: SocketAddr, more: &str) -> String {
    format!(
        "{{endpoint: {{address: {{socket_address: {{address: {}, port_value: {}}}}}}}, metadata: {{filter_metadata: {{rushquay: {{started_ns: '1000'}}}}}}{more}}}",
        addr.ip(),
        addr.port()
    )
}

/// An assignment of these endpoints, in one locality.
pub fn assignment(name: &str, endpoints: &[String]) -> (Kind, &'static str, String) {
    let yaml = format!("{{cluster_name: {name}, endpoints: [{{lb_endpoints: [{}]}}]}}", endpoints.join(", "));
    (Kind::Endpoints, Box::leak(name.to_owned().into_boxed_str()), yaml)
}

/// The same of whole nodes.
pub fn of_nodes<'a>(name: &str, nodes: impl IntoIterator<Item = &'a Node>) -> (Kind, &'static str, String) {
    assignment(name, &nodes.into_iter().map(|n| endpoint(n.addr, "")).collect::<Vec<_>>())
}

/// A cluster whose endpoints come on the stream, with more fields.
pub fn cluster(name: &str, more: &str) -> (Kind, &'static str, String) {
    let yaml = format!("{{name: {name}, type: EDS, eds_cluster_config: {{eds_config: {{ads: {{}}}}}}, connect_timeout: 1s{more}}}");
    (Kind::Cluster, Box::leak(name.to_owned().into_boxed_str()), yaml)
}

pub const MANAGER: &str =
    "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
pub const ROUTER: &str =
    "{name: r, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.http.router.v3.Router}}";

pub fn listener() -> (Kind, &'static str, String) {
    let yaml = format!("{{name: l, address: {{socket_address: {{address: 127.0.0.1, port_value: 80}}}}, filter_chains: [{{filters: [{{name: h, typed_config: {{'@type': {MANAGER}, stat_prefix: s, rds: {{route_config_name: r, config_source: {{ads: {{}}}}}}, http_filters: [{ROUTER}]}}}}]}}]}}");
    (Kind::Listener, "l", yaml)
}

/// These routes, after one that tells which step of the test they belong to.
pub fn routes(step: u64, list: &[&str]) -> (Kind, &'static str, String) {
    let step = format!(
        "{{match: {{path: /step}}, direct_response: {{status: 200, body: {{inline_string: '{step}'}}}}}}"
    );
    let list: Vec<&str> = std::iter::once(step.as_str()).chain(list.iter().copied()).collect();
    let yaml =
        format!("{{name: r, virtual_hosts: [{{name: h, domains: ['*'], routes: [{}]}}]}}", list.join(", "));
    (Kind::Route, "r", yaml)
}

/// One route for all to a cluster.
pub fn all_to(name: &str) -> String {
    format!("{{match: {{prefix: /}}, route: {{cluster: {name}}}}}")
}
