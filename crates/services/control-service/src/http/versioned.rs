//! Versioned resources over HTTP. Each response has an `ETag`, the resource's revision; each change requires it back in `If-Match`
//! (RFC 9110, 13.1.1), so that two engineers can't overwrite each other's changes unnoticed.

use super::rejection::Rejection;
use crate::service_state::ServiceState;
use crate::versioned::Versioned;
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use serde::Deserialize;
use std::sync::Arc;

/// The number of events that a history returns if the request gives no limit.
const DEFAULT_HISTORY_LIMIT: usize = 100;

/// The query of a history.
#[derive(Deserialize)]
pub struct HistoryQuery {
    limit: Option<usize>,
}

impl HistoryQuery {
    /// The maximum number of events to return.
    pub fn limit(&self) -> usize {
        self.limit.unwrap_or(DEFAULT_HISTORY_LIMIT)
    }
}

/// The author of a change whose request has no other content.
#[derive(Deserialize)]
pub struct Author {
    pub by: String,
}

/// A resource at a revision, as a response.
pub fn respond(status: StatusCode, resource: Versioned) -> Response {
    let Versioned { body, revision } = resource;
    (status, [(header::ETAG, format!("\"{revision}\""))], Json(body)).into_response()
}

/// Returns a component that may be disabled; fails if it is, or if this instance does not lead.
pub fn require_component<'s, T>(
    service: &ServiceState,
    component: Option<&'s T>,
    disabled: &'static str,
) -> Result<&'s T, Rejection> {
    // Danger: the state of a standby is out of date.
    service.leader.require_leadership()?;
    component.ok_or_else(|| Rejection::new(StatusCode::NOT_FOUND, disabled))
}

/// Changes a resource from the revision that `If-Match` gives; responds with the result and the new revision. The change may block on the
/// store, so it runs on a thread for blocking work.
pub async fn change(
    service: Arc<ServiceState>,
    headers: HeaderMap,
    status: StatusCode,
    change: impl FnOnce(&ServiceState, Option<u64>) -> Result<Versioned, Rejection> + Send + 'static,
) -> Result<Response, Rejection> {
    let expected_revision = expected_revision(&headers)?;
    let changed = tokio::task::spawn_blocking(move || change(&service, expected_revision)).await;
    let resource = changed.map_err(|e| Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, e))??;
    Ok(respond(status, resource))
}

/// The revision that `If-Match` gives; `None` for `*`, which matches any.
fn expected_revision(headers: &HeaderMap) -> Result<Option<u64>, Rejection> {
    let value = headers.get(header::IF_MATCH).and_then(|v| v.to_str().ok()).map(str::trim);
    match value {
        Some("*") => Ok(None),
        Some(tag) => tag.trim_matches('"').parse().map(Some).map_err(|_| {
            Rejection::new(StatusCode::BAD_REQUEST, "If-Match: expected the ETag of the last answer")
        }),
        None => Err(Rejection::new(
            StatusCode::PRECONDITION_REQUIRED,
            "If-Match is missing: expected the ETag of the last answer, or *",
        )),
    }
}
