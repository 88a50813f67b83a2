//! The admin listener: plain HTTP/1 with a limit on connections.

use super::metrics::{encode_metrics, CONTENT_TYPE_OPENMETRICS};
use super::status::status_json;
use super::{overrides, policy, rollout};
use crate::service_state::ServiceState;
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
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Maximum concurrent connections. Danger: each one uses a file descriptor that a subscriber may need.
const MAX_CONNECTIONS: usize = 64;
/// The timeout for reading a request's head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a command's body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum lifetime of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the admin page and API of a service. Does not return.
pub async fn serve(listener: TcpListener, service: Arc<ServiceState>) {
    let routes = Router::new()
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .route("/healthz", get(healthz))
        .merge(overrides::routes())
        .merge(rollout::routes())
        .merge(policy::routes())
        .fallback(|| async {
            (
                StatusCode::NOT_FOUND,
                "/status, /metrics, /healthz, /v1/overrides, /v1/rollout, /v1/roster or /v1/policy\n",
            )
        })
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(service);
    serve_pages(listener, routes, MAX_CONNECTIONS).await;
}

/// Serves pages for operators with at most this many concurrent connections. Does not return.
pub async fn serve_pages(listener: TcpListener, pages: Router, max_connections: usize) {
    let slots = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = accept(&listener).await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let service = TowerToHyperService::new(pages.clone());
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(RetryStream::new(stream)), service);
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
            drop(slot);
        });
    }
}

async fn status(State(service): State<Arc<ServiceState>>) -> impl IntoResponse {
    ([(CONTENT_TYPE, "application/json")], format!("{:#}\n", status_json(&service)))
}

async fn metrics(State(service): State<Arc<ServiceState>>) -> impl IntoResponse {
    ([(CONTENT_TYPE, CONTENT_TYPE_OPENMETRICS)], encode_metrics(&service))
}

async fn healthz(State(service): State<Arc<ServiceState>>) -> (StatusCode, &'static str) {
    if service.leader.require_leadership().is_err() {
        return (StatusCode::OK, "stands by\n");
    }
    match service.leader.hub.store().is_open() {
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "no node list yet\n"),
    }
}
