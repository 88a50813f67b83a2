//! The admin page: `/status` as JSON, `/metrics` in Prometheus' text form, `/healthz`.

use crate::service::Shared;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rushquay_nodes::NodeState;
use rushquay_xds::server::Variant;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::fmt::Write as _;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Connections at once. Danger: each that is accepted holds a descriptor, and the subscribers need them.
const CONNECTIONS: usize = 64;
const HEAD_WITHIN: Duration = Duration::from_secs(5);
const CONNECTION_MOST: Duration = Duration::from_secs(60);

pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| {
                let response = respond(&request, &shared);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WITHIN)
                .serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(CONNECTION_MOST, connection).await;
            drop(place);
        });
    }
}

fn respond<B>(request: &Request<B>, shared: &Shared) -> Response<Full<Bytes>> {
    let answer = |status: StatusCode, kind: &'static str, body: String| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
        response
    };
    if request.method() != Method::GET {
        return answer(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "only GET\n".into());
    }
    match request.uri().path() {
        "/status" => answer(StatusCode::OK, "application/json", format!("{:#}\n", status(shared))),
        "/metrics" => answer(StatusCode::OK, "text/plain; version=0.0.4", metrics(shared)),
        "/healthz" if shared.hub.store().is_open() => answer(StatusCode::OK, "text/plain", "ok\n".into()),
        "/healthz" => answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no node list yet\n".into()),
        _ => answer(StatusCode::NOT_FOUND, "text/plain", "/status, /metrics or /healthz\n".into()),
    }
}

fn millis(nanos: u64) -> f64 {
    (nanos / 1000) as f64 / 1000.0
}

fn variant(variant: Variant) -> &'static str {
    match variant {
        Variant::Delta => "delta",
        Variant::Sotw => "state-of-the-world",
    }
}

fn status(shared: &Shared) -> Value {
    let source = shared.source.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let version = shared.control.lock().unwrap_or_else(PoisonError::into_inner).version();
    let (incarnation, seq, open) = {
        let store = shared.hub.store();
        (store.incarnation().to_string(), store.seq(), store.is_open())
    };
    let now = shared.hub.now();
    let node = |n: rushquay_control::NodeView| {
        let mut shown = json!(n.stated.member);
        shown["cluster"] = json!(n.cluster);
        shown["listed"] = json!(n.stated.listed);
        shown["from"] = json!(shared.source_name);
        shown["state_for_s"] = json!(millis(now.saturating_sub(n.since)) / 1000.0);
        shown
    };
    let subscriber = |s: rushquay_xds_grpc::Subscriber| {
        let kinds: serde_json::Map<String, Value> = s
            .standing
            .into_iter()
            .map(|(kind, k)| {
                let shown = json!({
                    "acked": k.acked, "acked_seq": k.acked_seq, "acks": k.acks, "nacks": k.nacks,
                    "last_error": k.last_error, "waiting": k.waiting,
                });
                (format!("{kind:?}"), shown)
            })
            .collect();
        json!({
            "node": s.node, "peer": s.peer.map(|p| p.to_string()), "variant": variant(s.variant),
            "lag_ms": millis(s.lag), "kinds": kinds,
        })
    };
    let state = shared.keeper.as_ref().map(|keeper| {
        let state = keeper.state();
        json!({"path": keeper.path, "fault": state.fault, "version": state.version, "writes": state.writes})
    });
    json!({
        "incarnation": incarnation,
        "state": state,
        "open": open,
        "seq": seq,
        "source": {
            "name": shared.source_name, "version": version, "fault": source.fault,
            "lists": source.lists, "lists_refused": source.refused,
        },
        "nodes": shared.nodes().into_iter().map(node).collect::<Vec<_>>(),
        "subscribers": shared.hub.subscribers().into_iter().map(subscriber).collect::<Vec<_>>(),
    })
}

fn metrics(shared: &Shared) -> String {
    let mut text = String::new();
    let mut metric = |name: &str, kind: &str, help: &str, values: &[(String, f64)]| {
        let _ =
            writeln!(text, "# HELP rushquay_control_{name} {help}\n# TYPE rushquay_control_{name} {kind}");
        for (labels, value) in values {
            let _ = writeln!(text, "rushquay_control_{name}{labels} {value}");
        }
    };
    let one = |value: f64| vec![(String::new(), value)];
    let nodes = shared.nodes();
    let count = |state: NodeState| nodes.iter().filter(|n| n.stated.member.state == state).count() as f64;
    let states = [NodeState::Ready, NodeState::Draining];
    let states: Vec<_> =
        states.into_iter().map(|s| (format!("{{state=\"{}\"}}", s.as_str()), count(s))).collect();
    metric("nodes", "gauge", "Nodes declared, by state.", &states);
    let subscribers = shared.hub.subscribers();
    let lag = subscribers.iter().map(|s| s.lag).max().unwrap_or(0) as f64 / 1e9;
    metric("subscribers", "gauge", "Open streams.", &one(subscribers.len() as f64));
    metric("lag_seconds_max", "gauge", "Longest time that a subscriber has lacked something.", &one(lag));
    let source = shared.source.lock().unwrap_or_else(PoisonError::into_inner).clone();
    metric(
        "source_up",
        "gauge",
        "1 while the node list's source can be read.",
        &one(f64::from(u8::from(source.fault.is_none()))),
    );
    if let Some(keeper) = &shared.keeper {
        let up = keeper.state().fault.is_none();
        metric(
            "state_up",
            "gauge",
            "1 while all that is known is kept on disk.",
            &one(f64::from(u8::from(up))),
        );
    }
    metric("lists_total", "counter", "Lists taken.", &one(source.lists as f64));
    metric("lists_refused_total", "counter", "Lists that were not obeyed.", &one(source.refused as f64));
    metric("changes_total", "counter", "Changes of resources.", &one(shared.hub.store().seq() as f64));
    let c = &shared.hub.counters;
    let counters = [
        ("answers_total", "Answers sent.", &c.answers),
        ("answer_bytes_total", "Bytes of resources in them.", &c.bytes),
        ("acks_total", "Answers acknowledged.", &c.acks),
        ("nacks_total", "Answers refused.", &c.nacks),
        ("streams_total", "Streams opened.", &c.opened),
        ("stream_faults_total", "Streams ended for a peer's fault.", &c.faults),
    ];
    for (name, help, value) in counters {
        metric(name, "counter", help, &one(value.load(Relaxed) as f64));
    }
    text
}
