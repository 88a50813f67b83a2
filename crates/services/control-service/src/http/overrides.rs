//! The HTTP API of overrides: `/v1/overrides`.

use super::rejection::Rejection;
use super::versioned::{change, respond, Author, HistoryQuery};
use crate::service_state::{OverrideOutcome, ServiceState};
use crate::versioned::Versioned;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use axum::routing::{delete, get};
use axum::{Json, Router};
use rushquay_endpoints::Nanos;
use rushquay_overrides::{effective_overrides, masked_pins, Override, OverrideRequest, OverrideStatus};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::Arc;

pub fn routes() -> Router<Arc<ServiceState>> {
    Router::new()
        .route("/v1/overrides", get(list).post(set))
        .route("/v1/overrides/history", get(history))
        .route("/v1/overrides/{id}", delete(lift))
}

/// The nodes that an override applies to, and the overrides that mask it.
struct Effect {
    nodes: usize,
    masked_on: usize,
    masked_by: BTreeSet<u64>,
}

/// The effect of one override, from the statuses of all overrides on each node and the pins that are masked everywhere.
fn effect(id: u64, statuses: &[(u64, OverrideStatus)], masked_pins: &[(u64, u64)]) -> Effect {
    let of_this = || statuses.iter().filter(|(other, _)| *other == id).map(|(_, status)| status);
    let mut masked_by: BTreeSet<u64> = of_this()
        .filter_map(|status| match status {
            OverrideStatus::Masked(by) => Some(*by),
            OverrideStatus::InForce => None,
        })
        .collect();
    let nodes = of_this().count();
    let mut masked_on = of_this().filter(|status| **status != OverrideStatus::InForce).count();
    if let Some((_, by)) = masked_pins.iter().find(|(pin, _)| *pin == id) {
        masked_on = nodes;
        masked_by.insert(*by);
    }
    Effect { nodes, masked_on, masked_by }
}

fn override_json(o: &Override, effect: &Effect, now: Nanos, announce: Nanos) -> Value {
    let remaining = o.until.saturating_sub(now);
    let mut json = json!(o);
    json["nodes"] = json!(effect.nodes);
    json["masked_on"] = json!(effect.masked_on);
    json["masked_by"] = json!(effect.masked_by);
    json["expires_in_s"] = json!(remaining as f64 / 1e9);
    json["soon"] = json!(remaining <= announce);
    json
}

/// All live overrides with their effects, and the set's revision.
fn overrides_json(service: &ServiceState) -> Versioned {
    let fleet = service.endpoints.fleet();
    let (now, set) = (service.leader.unix_now(), service.overrides.set());
    let statuses: Vec<(u64, OverrideStatus)> =
        fleet.iter().flat_map(|node| effective_overrides(set.live(), &node.node(), now).1).collect();
    let pins = masked_pins(set.live(), now);
    let announce = set.limits().announce;
    let all: Vec<Value> =
        set.live().map(|o| override_json(o, &effect(o.id, &statuses, &pins), now, announce)).collect();
    let revision = set.revision();
    Versioned { body: json!({"revision": revision, "now_ns": now, "overrides": all}), revision }
}

async fn list(State(service): State<Arc<ServiceState>>) -> Result<Response, Rejection> {
    // Danger: a standby's set is empty, which an engineer would mistake for the actual state.
    service.leader.require_leadership()?;
    Ok(respond(StatusCode::OK, overrides_json(&service)))
}

/// The result of a command, and the set's revision.
fn outcome_json(service: &ServiceState, outcome: &OverrideOutcome) -> Versioned {
    let revision = service.overrides.set().revision();
    let body = json!({"override": outcome.value, "revision": revision,
                      "durable": outcome.not_durable.is_none(), "why": outcome.not_durable});
    Versioned { body, revision }
}

async fn set(
    State(service): State<Arc<ServiceState>>,
    headers: HeaderMap,
    Json(request): Json<OverrideRequest>,
) -> Result<Response, Rejection> {
    change(service, headers, StatusCode::CREATED, move |service, expected| {
        Ok(outcome_json(service, &service.set_override(request, expected)?))
    })
    .await
}

async fn lift(
    State(service): State<Arc<ServiceState>>,
    Path(id): Path<u64>,
    Query(Author { by }): Query<Author>,
    headers: HeaderMap,
) -> Result<Response, Rejection> {
    change(service, headers, StatusCode::OK, move |service, expected| {
        Ok(outcome_json(service, &service.lift_override(id, &by, expected)?))
    })
    .await
}

async fn history(
    State(service): State<Arc<ServiceState>>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Value>, Rejection> {
    service.leader.require_leadership()?;
    let set = service.overrides.set();
    let events: Vec<_> = set.history().take(query.limit()).collect();
    Ok(Json(json!({"events": events})))
}
