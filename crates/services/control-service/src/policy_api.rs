//! Changes of policy over HTTP: `/v1/policy`. Each answer has an `ETag`, the record's revision, and each change needs it back in
//! `If-Match`.

use crate::api::{change, part, refused, tagged};
use crate::policy::{PolicyController, Proposal};
use crate::shared::Shared;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use std::sync::Arc;

/// Events told where nothing is said.
const EVENTS: usize = 100;

pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/v1/policy", get(status).post(propose))
        .route("/v1/policy/diff", post(diff))
        .route("/v1/policy/abort", post(abort))
        .route("/v1/policy/history", get(history))
        .route("/v1/policy/explain/{proxy}", get(explain))
}

/// The part that is asked, where it is there and leads.
fn asked(shared: &Shared) -> Result<&PolicyController, Box<Response>> {
    let off = "changes of policy are off; give the control service's settings a [policy] section";
    part(shared, shared.policies.as_ref(), off)
}

async fn status(State(shared): State<Arc<Shared>>) -> Response {
    match asked(&shared) {
        Ok(policies) => {
            let (body, revision) = policies.shown(&shared);
            tagged(revision, StatusCode::OK, body)
        }
        Err(response) => *response,
    }
}

#[derive(Deserialize)]
struct Most {
    limit: Option<usize>,
}

async fn history(State(shared): State<Arc<Shared>>, Query(most): Query<Most>) -> Response {
    match asked(&shared) {
        Ok(policies) => Json(policies.history(most.limit.unwrap_or(EVENTS))).into_response(),
        Err(response) => *response,
    }
}

#[derive(Deserialize)]
struct Moment {
    at: Option<u64>,
}

async fn explain(
    State(shared): State<Arc<Shared>>,
    Path(proxy): Path<String>,
    Query(moment): Query<Moment>,
) -> Response {
    let explained = match asked(&shared) {
        Ok(policies) => policies.explain(&proxy, moment.at),
        Err(response) => return *response,
    };
    explained.map_or_else(|denied| refused(&denied), |body| Json(body).into_response())
}

async fn diff(State(shared): State<Arc<Shared>>, Json(ask): Json<Proposal>) -> Response {
    let compared = match asked(&shared) {
        Ok(policies) => policies.diff(&shared, &ask, None),
        Err(response) => return *response,
    };
    match compared {
        Ok((body, revision)) => tagged(revision, StatusCode::OK, body),
        Err(denied) => refused(&denied),
    }
}

async fn propose(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(ask): Json<Proposal>,
) -> Response {
    let propose = move |shared: &Shared, expected| {
        asked(shared)?.propose(shared, &ask, expected).map_err(|denied| Box::new(refused(&denied)))
    };
    change(shared, headers, StatusCode::CREATED, propose).await
}

#[derive(Deserialize)]
struct By {
    by: String,
}

async fn abort(State(shared): State<Arc<Shared>>, headers: HeaderMap, Json(By { by }): Json<By>) -> Response {
    let abort = move |shared: &Shared, expected| {
        asked(shared)?.withdraw(shared, &by, expected).map_err(|denied| Box::new(refused(&denied)))
    };
    change(shared, headers, StatusCode::OK, abort).await
}
