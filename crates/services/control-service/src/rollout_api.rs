//! Changes in stages over HTTP: `/v1/rollout` and `/v1/roster`. As with overrides each answer has an `ETag`, the board's
//! revision, and each change needs it back in `If-Match`.

use crate::api::{change, part, refused, tagged};
use crate::policy::{PolicyCommandError, PolicyController};
use crate::rollout::RolloutController;
use crate::shared::Shared;
use axum::extract::{Path, Query, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use rushquay_rollout::RolloutRequest;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;

/// Events told where nothing is said.
const EVENTS: usize = 100;

pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/v1/rollout", get(status).post(start))
        .route("/v1/rollout/plan", post(plan))
        .route("/v1/rollout/history", get(history))
        .route("/v1/rollout/report", get(report))
        .route("/v1/rollout/{what}", post(steer))
        .route("/v1/roster", get(roster))
}

/// The part that is asked, where it is there and leads.
fn asked(shared: &Shared) -> Result<&RolloutController, Box<Response>> {
    let off = "changes in stages are off; give the control service's settings a [rollout] section";
    part(shared, shared.rollout.as_ref(), off)
}

async fn status(State(shared): State<Arc<Shared>>) -> Response {
    match asked(&shared) {
        Ok(rollout) => {
            let (body, revision) = rollout.shown(shared.unix_now());
            tagged(revision, StatusCode::OK, body)
        }
        Err(response) => *response,
    }
}

async fn roster(State(shared): State<Arc<Shared>>) -> Response {
    match asked(&shared) {
        Ok(rollout) => Json(rollout.roster(shared.unix_now())).into_response(),
        Err(response) => *response,
    }
}

#[derive(Deserialize)]
struct Most {
    limit: Option<usize>,
}

async fn history(State(shared): State<Arc<Shared>>, Query(most): Query<Most>) -> Response {
    match asked(&shared) {
        Ok(rollout) => Json(rollout.history(most.limit.unwrap_or(EVENTS))).into_response(),
        Err(response) => *response,
    }
}

/// The last change as a page. Danger: drawn on the spot it would hold up the streams.
async fn report(State(shared): State<Arc<Shared>>) -> Response {
    let (change, course) = match asked(&shared) {
        Ok(rollout) => rollout.course(),
        Err(response) => return *response,
    };
    let Some(change) = change else {
        let error = "no change was ever begun here";
        return (StatusCode::NOT_FOUND, Json(json!({"error": error}))).into_response();
    };
    let drawn = tokio::task::spawn_blocking(move || crate::report::page(&change, &course)).await;
    match drawn.map_err(|e| e.to_string()).and_then(|page| page) {
        Ok(page) => ([(CONTENT_TYPE, "text/html; charset=utf-8")], page).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, Json(json!({"error": error}))).into_response(),
    }
}

async fn plan(State(shared): State<Arc<Shared>>, Json(ask): Json<RolloutRequest>) -> Response {
    let rollout = match asked(&shared) {
        Ok(rollout) => rollout,
        Err(response) => return *response,
    };
    match rollout.plan(&ask, None, shared.unix_now()) {
        Ok((body, revision)) => tagged(revision, StatusCode::OK, body),
        Err(denied) => refused(&denied),
    }
}

async fn start(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(ask): Json<RolloutRequest>,
) -> Response {
    let begin = move |shared: &Shared, expected| {
        let rollout = asked(shared)?;
        let _begins = shared.change_lock.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(policy) = shared.policies.as_ref().and_then(PolicyController::undecided) {
            return Err(Box::new(refused(&PolicyCommandError::PolicyUndecided(policy.0).into())));
        }
        let started = rollout.command(shared, |board, usual, now| {
            let left = board.start(ask, expected, usual, now)?;
            Ok(json!({"change": board.running(), "left_behind": left}))
        });
        let (mut body, revision) = started.map_err(|denied| Box::new(refused(&denied)))?;
        body["revision"] = json!(revision);
        Ok((body, revision))
    };
    change(shared, headers, StatusCode::CREATED, begin).await
}

#[derive(Deserialize)]
struct By {
    by: String,
}

async fn steer(
    State(shared): State<Arc<Shared>>,
    Path(what): Path<String>,
    headers: HeaderMap,
    Json(By { by }): Json<By>,
) -> Response {
    let steer = move |shared: &Shared, expected| {
        let done = asked(shared)?.command(shared, |board, _, now| match what.as_str() {
            "hold" => board.hold(&by, expected, now),
            "resume" => board.resume(&by, expected, now),
            "back" => board.back(&by, expected, now),
            _ => Err(rushquay_rollout::RegistryError::Field("path", "hold, resume or back")),
        });
        let ((), revision) = done.map_err(|denied| Box::new(refused(&denied)))?;
        Ok((json!({"revision": revision}), revision))
    };
    change(shared, headers, StatusCode::OK, steer).await
}
