//! A proxy's leave to act by a policy, over sockets in one process, by a clock that the test winds: no process and no timer is in the way.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use rushquay::proxy::local::LocalProxy;
use rushquay_control_service::{start_with_clocks, Clocks, Options, PolicySettings, Settings, SourceOption};
use rushquay_test_servers::{entry, proxy_config, Discovery, Node};
use serde_json::json;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A file that is removed in the end.
struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Asks once on a kept connection: the status, and the advised wait.
async fn ask(sender: &mut SendRequest<Full<Bytes>>) -> (u16, Option<String>) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let request = hyper::Request::get(format!("/read/{number:016x}"))
        .header("host", "proxy.local")
        .header("x-correlation-id", format!("leave-{number}"))
        .body(Full::default())
        .expect("a request");
    sender.ready().await.expect("ready");
    let response = sender.send_request(request).await.expect("an answer");
    let wait = response.headers().get("retry-after").and_then(|v| v.to_str().ok()).map(str::to_owned);
    let status = response.status().as_u16();
    let _ = response.into_body().collect().await;
    (status, wait)
}

/// The request that comes right after the leave's end is not served by it, however late timers are: it asks in a minute only, and nothing
/// else looks for 200 ms.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_first_request_after_the_end_of_a_leave_is_refused_with_advice() {
    let file = File(std::env::temp_dir().join(format!("rushquay-leave-{}.redb", std::process::id())));
    let node = Node::start("n0", Duration::ZERO).await;
    let listed = [entry(&node, "rajkot", "std-1c", "ready", 1000)];
    let discovery = Discovery::start(1, &listed).await;
    let policy = PolicySettings { leave_s: 300.0, limit_s: 600.0, look_ms: 20, ..PolicySettings::default() };
    let settings = Settings { policy: Some(policy), ..Settings::default() };
    let listen = "127.0.0.1:0".parse().expect("an address");
    let source = SourceOption::Discovery(discovery.addr);
    let options = Options { listen, source, admin: None, settings, state_file: Some(file.0.clone()) };
    let service = start_with_clocks(options, Clocks::default()).await.expect("a control service");
    let ahead = Arc::new(AtomicU64::new(0));
    let (wound, machine) = (ahead.clone(), Clocks::default());
    let steady = machine.monotonic.clone();
    let clocks = Clocks { monotonic: Arc::new(move || steady() + wound.load(Ordering::SeqCst)), ..machine };
    let mut config = proxy_config("p0", discovery.addr, &[service.xds], &listed);
    config["policy"] = json!({"ask_ms": 60_000});
    let proxy = LocalProxy::start_by(&config.to_string(), clocks).expect("a proxy");
    let stream = tokio::net::TcpStream::connect(proxy.addr).await.expect("connected");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    let start = Instant::now();
    loop {
        match ask(&mut sender).await {
            (200, _) => break,
            // It is not answered yet.
            (503, Some(_)) => assert!(start.elapsed() < Duration::from_secs(60), "it has no leave"),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(ask(&mut sender).await.0, 200);
    ahead.store(301_000_000_000, Ordering::SeqCst);
    assert_eq!(ask(&mut sender).await, (503, Some("1.000".into())));
    service.stop().await;
}
