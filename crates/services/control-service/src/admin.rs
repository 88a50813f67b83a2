//! The admin page: `/status` as JSON, `/metrics` as OpenMetrics, `/healthz`.

use crate::metrics::{metrics, CONTENT};
use crate::shared::Shared;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use rushquay_sockets::{accept, RetryStream};
use rushquay_xds::server::Variant;
use serde_json::{json, Value};
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
        .merge(crate::rollout_api::routes())
        .merge(crate::policy_api::routes())
        .fallback(|| async {
            (
                StatusCode::NOT_FOUND,
                "/status, /metrics, /healthz, /v1/overrides, /v1/rollout, /v1/roster or /v1/policy\n",
            )
        })
        .layer(DefaultBodyLimit::max(BODY_MOST))
        .with_state(shared);
    serve_pages(listener, routes, CONNECTIONS).await;
}

/// Serves pages for operators for good, to so many connections at once.
pub async fn serve_pages(listener: TcpListener, pages: Router, connections: usize) {
    let places = Arc::new(Semaphore::new(connections));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = accept(&listener).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let service = TowerToHyperService::new(pages.clone());
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WITHIN)
                .serve_connection(TokioIo::new(RetryStream::new(stream)), service);
            let _ = tokio::time::timeout(CONNECTION_MOST, connection).await;
            drop(place);
        });
    }
}

fn json_text(value: &Value) -> impl IntoResponse {
    ([(CONTENT_TYPE, "application/json")], format!("{value:#}\n"))
}

fn metrics_text(shared: &Shared) -> impl IntoResponse {
    ([(CONTENT_TYPE, CONTENT)], metrics(shared))
}

async fn healthz(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    if shared.require_leadership().is_err() {
        return (StatusCode::OK, "stands by\n");
    }
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
    let node = |n: rushquay_control_state::NodeView| {
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
    let state = shared.keeper().map(|keeper| {
        let state = keeper.state();
        json!({"path": keeper.path, "fault": state.fault, "version": state.version, "writes": state.writes,
               "unkept_overrides": shared.unkept()})
    });
    let standby = shared.standby.as_ref().map(|standby| {
        let state = standby.state();
        // It hands out a moment before it is written down in which epoch.
        let leads = state.epoch > 0 && shared.leads();
        json!({
            "name": standby.me, "leads": leads, "epoch": state.epoch, "leader": state.leader,
            "store": standby.store.name(), "fault": state.fault, "takeovers": state.takeovers,
            "takeover_ms": state.takeover_ms,
        })
    });
    let (ahead, jumps) = shared.clock.offset();
    json!({
        "incarnation": incarnation,
        "standby": standby,
        "clock": {"wall_ahead_ms": ahead as f64 / 1e6, "jumps": jumps},
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
