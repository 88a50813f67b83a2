//! The HTTP API of rollouts and of the proxies in them: `/v1/rollout` and `/v1/roster`.

use super::rejection::Rejection;
use super::report::render_report;
use super::versioned::{change, require_component, respond, Author, HistoryQuery};
use crate::error::{CommandError, PolicyCommandError};
use crate::policy::PolicyController;
use crate::rollout::RolloutController;
use crate::service_state::ServiceState;
use crate::versioned::Versioned;
use axum::extract::{Path, Query, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use rushquay_rollout::{RegistryError, RolloutRequest};
use serde_json::{json, Value};
use std::sync::Arc;

pub fn routes() -> Router<Arc<ServiceState>> {
    Router::new()
        .route("/v1/rollout", get(status).post(start))
        .route("/v1/rollout/plan", post(plan))
        .route("/v1/rollout/history", get(history))
        .route("/v1/rollout/report", get(report))
        .route("/v1/rollout/{action}", post(run_action))
        .route("/v1/roster", get(members))
}

fn controller(service: &ServiceState) -> Result<&RolloutController, Rejection> {
    let disabled = "rollouts are disabled; add a [rollout] section to the control service's settings";
    require_component(service, service.rollout.as_ref(), disabled)
}

async fn status(State(service): State<Arc<ServiceState>>) -> Result<Response, Rejection> {
    Ok(respond(StatusCode::OK, controller(&service)?.status(service.leader.unix_now())))
}

async fn members(State(service): State<Arc<ServiceState>>) -> Result<Json<Value>, Rejection> {
    Ok(Json(controller(&service)?.members(service.leader.unix_now())))
}

async fn history(
    State(service): State<Arc<ServiceState>>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Value>, Rejection> {
    Ok(Json(controller(&service)?.history(query.limit())))
}

/// The last rollout as an HTML page. Danger: rendering it on an async worker thread would block the xDS streams.
async fn report(State(service): State<Arc<ServiceState>>) -> Result<Response, Rejection> {
    let (rollout, timeline) = controller(&service)?.last_rollout();
    let Some(rollout) = rollout else {
        return Err(Rejection::new(StatusCode::NOT_FOUND, "no rollout has been started here"));
    };
    let internal = |error: String| Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, error);
    let rendered = tokio::task::spawn_blocking(move || render_report(&rollout, &timeline)).await;
    let page = rendered.map_err(|e| internal(e.to_string()))?.map_err(|e| internal(e.to_string()))?;
    Ok(([(CONTENT_TYPE, "text/html; charset=utf-8")], page).into_response())
}

async fn plan(
    State(service): State<Arc<ServiceState>>,
    Json(request): Json<RolloutRequest>,
) -> Result<Response, Rejection> {
    let plan = controller(&service)?.plan(&request, service.leader.unix_now())?;
    Ok(respond(StatusCode::OK, plan))
}

async fn start(
    State(service): State<Arc<ServiceState>>,
    headers: HeaderMap,
    Json(request): Json<RolloutRequest>,
) -> Result<Response, Rejection> {
    change(service, headers, StatusCode::CREATED, move |service, expected| {
        let rollout = controller(service)?;
        let guard = service.change_lock.acquire();
        if let Some(policy) = service.policies.as_ref().and_then(PolicyController::undecided) {
            return Err(CommandError::from(PolicyCommandError::PolicyUndecided(policy.0)).into());
        }
        Ok(rollout.start(&service.leader, &guard, request, expected)?)
    })
    .await
}

async fn run_action(
    State(service): State<Arc<ServiceState>>,
    Path(action): Path<String>,
    headers: HeaderMap,
    Json(Author { by }): Json<Author>,
) -> Result<Response, Rejection> {
    change(service, headers, StatusCode::OK, move |service, expected| {
        let outcome =
            controller(service)?.command(&service.leader, |registry, _, now| match action.as_str() {
                "hold" => registry.hold(&by, expected, now),
                "resume" => registry.resume(&by, expected, now),
                "back" => registry.roll_back(&by, expected, now),
                _ => Err(RegistryError::Field("path", "hold, resume or back")),
            });
        let ((), revision) = outcome?;
        Ok(Versioned { body: json!({"revision": revision}), revision })
    })
    .await
}
