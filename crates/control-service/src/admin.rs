//! The admin page: `/status` as JSON, `/metrics` in Prometheus' text form, `/healthz`.

use crate::service::Shared;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushquay_nodes::NodeState;
use rushquay_xds::server::Variant;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Connections at once. Danger: each that is accepted holds a descriptor, and the subscribers need them.
const CONNECTIONS: usize = 64;
const HEAD_WITHIN: Duration = Duration::from_secs(5);
/// A body of a command is at most this long.
const BODY_MOST: usize = 64 << 10;
const CONNECTION_MOST: Duration = Duration::from_secs(60);

pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let routes = Router::new()
        .route("/status", get(|State(s): State<Arc<Shared>>| async move { json_text(&status(&s)) }))
        .route("/metrics", get(|State(s): State<Arc<Shared>>| async move { metrics_text(&s) }))
        .route("/healthz", get(healthz))
        .merge(crate::api::routes())
        .fallback(|| async { (StatusCode::NOT_FOUND, "/status, /metrics, /healthz or /v1/overrides\n") })
        .layer(DefaultBodyLimit::max(BODY_MOST))
        .with_state(shared);
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let service = TowerToHyperService::new(routes.clone());
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WITHIN)
                .serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(CONNECTION_MOST, connection).await;
            drop(place);
        });
    }
}

fn json_text(value: &Value) -> impl IntoResponse {
    ([(CONTENT_TYPE, "application/json")], format!("{value:#}\n"))
}

fn metrics_text(shared: &Shared) -> impl IntoResponse {
    ([(CONTENT_TYPE, "text/plain; version=0.0.4")], metrics(shared))
}

async fn healthz(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    match shared.hub.store().is_open() {
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "no node list yet\n"),
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
    metric("overrides", "gauge", "Overrides that are live.", &one(shared.book().live().count() as f64));
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
