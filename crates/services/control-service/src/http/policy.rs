//! The HTTP API of policies: `/v1/policy`.

use super::rejection::Rejection;
use super::versioned::{change, require_component, respond, Author, HistoryQuery};
use crate::policy::{PolicyController, Proposal};
use crate::service_state::ServiceState;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::Value;
use std::sync::Arc;

pub fn routes() -> Router<Arc<ServiceState>> {
    Router::new()
        .route("/v1/policy", get(status).post(propose))
        .route("/v1/policy/diff", post(diff))
        .route("/v1/policy/abort", post(abort))
        .route("/v1/policy/history", get(history))
        .route("/v1/policy/explain/{proxy}", get(explain))
}

fn controller(service: &ServiceState) -> Result<&PolicyController, Rejection> {
    let disabled = "policy changes are disabled; add a [policy] section to the control service's settings";
    require_component(service, service.policies.as_ref(), disabled)
}

async fn status(State(service): State<Arc<ServiceState>>) -> Result<Response, Rejection> {
    Ok(respond(StatusCode::OK, controller(&service)?.status(&service.leader)))
}

async fn history(
    State(service): State<Arc<ServiceState>>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Value>, Rejection> {
    Ok(Json(controller(&service)?.history(query.limit())))
}

/// A time in Unix nanoseconds; if left out, all times.
#[derive(Deserialize)]
struct Moment {
    at: Option<u64>,
}

async fn explain(
    State(service): State<Arc<ServiceState>>,
    Path(proxy): Path<String>,
    Query(moment): Query<Moment>,
) -> Result<Json<Value>, Rejection> {
    Ok(Json(controller(&service)?.explain(&proxy, moment.at)?))
}

async fn diff(
    State(service): State<Arc<ServiceState>>,
    Json(proposal): Json<Proposal>,
) -> Result<Response, Rejection> {
    let diff = controller(&service)?.diff(&service.leader, service.rollout.as_ref(), &proposal)?;
    Ok(respond(StatusCode::OK, diff))
}

async fn propose(
    State(service): State<Arc<ServiceState>>,
    headers: HeaderMap,
    Json(proposal): Json<Proposal>,
) -> Result<Response, Rejection> {
    change(service, headers, StatusCode::CREATED, move |service, expected| {
        let policies = controller(service)?;
        let guard = service.change_lock.acquire();
        let rollout = service.rollout.as_ref();
        Ok(policies.propose(&service.leader, rollout, &guard, &proposal, expected)?)
    })
    .await
}

async fn abort(
    State(service): State<Arc<ServiceState>>,
    headers: HeaderMap,
    Json(Author { by }): Json<Author>,
) -> Result<Response, Rejection> {
    change(service, headers, StatusCode::OK, move |service, expected| {
        Ok(controller(service)?.withdraw(&service.leader, &by, expected)?)
    })
    .await
}
