//! Overrides over HTTP: `/v1/overrides`. Each answer has an `ETag`, the book's revision; each change needs it back in
//! `If-Match` (RFC 9110, 13.1.1), so that two engineers can't overwrite each other unseen.

use crate::shared::{CommandError, Shared};
use axum::extract::{Path, Query, State};
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get};
use axum::{Json, Router};
use rushquay_overrides::{
    effective_overrides, masked_pins, Override, OverrideError, OverrideRequest, OverrideStatus,
};
use rushquay_rollout::RegistryError;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Events told where nothing is said.
const EVENTS: usize = 100;

pub fn routes() -> Router<Arc<Shared>> {
    Router::new()
        .route("/v1/overrides", get(list).post(set))
        .route("/v1/overrides/history", get(history))
        .route("/v1/overrides/{id}", delete(lift))
}

/// A refusal as an answer.
pub fn refused(denied: &CommandError) -> Response {
    let status = match denied {
        CommandError::Override(OverrideError::Changed { .. })
        | CommandError::Rollout(RegistryError::Changed { .. }) => StatusCode::PRECONDITION_FAILED,
        CommandError::Override(OverrideError::Field(..)) => StatusCode::UNPROCESSABLE_ENTITY,
        CommandError::Override(OverrideError::TooMuch(_)) => StatusCode::CONFLICT,
        CommandError::Override(OverrideError::Full(_)) => StatusCode::INSUFFICIENT_STORAGE,
        CommandError::Override(OverrideError::Unknown(_)) => StatusCode::NOT_FOUND,
        CommandError::Rollout(
            RegistryError::Settings(_) | RegistryError::Plan(_) | RegistryError::Field(..),
        ) => StatusCode::UNPROCESSABLE_ENTITY,
        CommandError::Rollout(_) => StatusCode::CONFLICT,
        CommandError::Policy(not_done) => not_done.status(),
        CommandError::NotPersisted(_) => StatusCode::INSUFFICIENT_STORAGE,
        CommandError::NotLeader(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(json!({"error": denied.to_string()}))).into_response()
}

/// A part that may be off, where this instance leads.
pub fn part<'s, T>(shared: &Shared, part: Option<&'s T>, off: &'static str) -> Result<&'s T, Box<Response>> {
    // Danger: what a standby shows is what once was.
    shared.require_leadership().map_err(|denied| Box::new(refused(&denied)))?;
    part.ok_or_else(|| Box::new((StatusCode::NOT_FOUND, Json(json!({"error": off}))).into_response()))
}

/// Does what waits for the disk elsewhere, on the revision that is expected; answers with what came of it and the revision since.
pub async fn change(
    shared: Arc<Shared>,
    headers: HeaderMap,
    status: StatusCode,
    does: impl FnOnce(&Shared, Option<u64>) -> Result<(Value, u64), Box<Response>> + Send + 'static,
) -> Response {
    let expected = match expected(&headers) {
        Ok(expected) => expected,
        Err(response) => return *response,
    };
    match tokio::task::spawn_blocking(move || does(&shared, expected)).await {
        Ok(Ok((body, revision))) => tagged(revision, status, body),
        Ok(Err(response)) => *response,
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, Json(json!({"error": e.to_string()}))).into_response(),
    }
}

/// The revision that is expected; `*` for any.
fn expected(headers: &HeaderMap) -> Result<Option<u64>, Box<Response>> {
    let told = headers.get(header::IF_MATCH).and_then(|v| v.to_str().ok()).map(str::trim);
    match told {
        Some("*") => Ok(None),
        Some(told) => match told.trim_matches('"').parse() {
            Ok(revision) => Ok(Some(revision)),
            Err(_) => {
                let error = "If-Match: expected the ETag of the last answer";
                Err(Box::new((StatusCode::BAD_REQUEST, Json(json!({"error": error}))).into_response()))
            }
        },
        None => {
            let error = "If-Match is missing: expected the ETag of the last answer, or *";
            Err(Box::new((StatusCode::PRECONDITION_REQUIRED, Json(json!({"error": error}))).into_response()))
        }
    }
}

fn shown(shared: &Shared) -> (u64, Value) {
    let fleet = shared.control.lock().unwrap_or_else(std::sync::PoisonError::into_inner).fleet();
    let (now, book) = (shared.unix_now(), shared.book());
    let on: Vec<(u64, OverrideStatus)> =
        fleet.iter().flat_map(|n| effective_overrides(book.live(), &n.node(), now).1).collect();
    let pins = masked_pins(book.live(), now);
    let one = |o: &Override| {
        let stands = || on.iter().filter(|(id, _)| *id == o.id);
        let mut masked_by: BTreeSet<u64> = stands()
            .filter_map(|(_, s)| match s {
                OverrideStatus::Masked(by) => Some(*by),
                OverrideStatus::InForce => None,
            })
            .collect();
        let mut masked = stands().filter(|(_, s)| *s != OverrideStatus::InForce).count();
        if let Some((_, by)) = pins.iter().find(|(id, _)| *id == o.id) {
            masked = stands().count();
            masked_by.insert(*by);
        }
        let mut shown = json!(o);
        shown["nodes"] = json!(stands().count());
        shown["masked_on"] = json!(masked);
        shown["masked_by"] = json!(masked_by);
        shown["expires_in_s"] = json!(o.until.saturating_sub(now) as f64 / 1e9);
        shown["soon"] = json!(o.until.saturating_sub(now) <= book.policy().announce);
        shown
    };
    let all: Vec<Value> = book.live().map(one).collect();
    (book.revision(), json!({"revision": book.revision(), "now_ns": now, "overrides": all}))
}

pub fn tagged(revision: u64, status: StatusCode, body: Value) -> Response {
    (status, [(header::ETAG, format!("\"{revision}\""))], Json(body)).into_response()
}

async fn list(State(shared): State<Arc<Shared>>) -> Response {
    // Danger: a standby's book is empty, and an engineer would take that for the truth.
    if let Err(denied) = shared.require_leadership() {
        return refused(&denied);
    }
    let (revision, body) = shown(&shared);
    tagged(revision, StatusCode::OK, body)
}

/// Does what waits for the disk elsewhere.
async fn change_book(
    shared: Arc<Shared>,
    status: StatusCode,
    done: impl FnOnce(&Shared) -> Result<(Override, Option<String>), CommandError> + Send + 'static,
) -> Response {
    let of = shared.clone();
    match tokio::task::spawn_blocking(move || done(&of)).await {
        Ok(Ok((o, undurable))) => {
            let revision = shared.book().revision();
            let body = json!({"override": o, "revision": revision, "durable": undurable.is_none(), "why": undurable});
            tagged(revision, status, body)
        }
        Ok(Err(refusal)) => refused(&refusal),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, Json(json!({"error": e.to_string()}))).into_response(),
    }
}

async fn set(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(ask): Json<OverrideRequest>,
) -> Response {
    match expected(&headers) {
        Ok(expected) => change_book(shared, StatusCode::CREATED, move |s| s.set(ask, expected)).await,
        Err(response) => *response,
    }
}

#[derive(Deserialize)]
struct By {
    by: String,
}

async fn lift(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<u64>,
    Query(By { by }): Query<By>,
    headers: HeaderMap,
) -> Response {
    match expected(&headers) {
        Ok(expected) => change_book(shared, StatusCode::OK, move |s| s.lift(id, &by, expected)).await,
        Err(response) => *response,
    }
}

#[derive(Deserialize)]
struct Most {
    limit: Option<usize>,
}

async fn history(State(shared): State<Arc<Shared>>, Query(most): Query<Most>) -> Response {
    if let Err(denied) = shared.require_leadership() {
        return refused(&denied);
    }
    let book = shared.book();
    let events: Vec<_> = book.history().take(most.limit.unwrap_or(EVENTS)).collect();
    Json(json!({"events": events})).into_response()
}
