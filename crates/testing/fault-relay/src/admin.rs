//! Commands over HTTP, on loopback.

use crate::{Control, Cut, ListenerState, Live, RelayError};
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Which connections are meant: all, those of a listener, or one of them.
#[derive(Deserialize)]
struct Meant {
    listener: Option<String>,
    connection: Option<u64>,
    how: Option<Cut>,
}

#[derive(Deserialize)]
struct Target {
    target: SocketAddr,
}

impl IntoResponse for RelayError {
    fn into_response(self) -> Response {
        let status = match self {
            RelayError::Unknown(_) => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        };
        (status, Json(json!({"error": self.to_string()}))).into_response()
    }
}

pub async fn serve(listener: TcpListener, control: Control) {
    let routes = Router::new()
        .route("/connections", get(connections))
        .route("/cut", post(cut))
        .route("/pause", post(|s: State<Control>, q: Query<Meant>| async move { pause(&s, &q, true) }))
        .route("/resume", post(|s: State<Control>, q: Query<Meant>| async move { pause(&s, &q, false) }))
        .route("/rules", get(rules).post(add))
        .route("/rules/{name}", delete(lift))
        .route("/listeners", get(listeners))
        .route("/listeners/{name}/target", post(lead))
        .route("/listeners/{name}/{state}", post(listen))
        .route("/trace", get(trace))
        .with_state(control);
    if let Err(e) = axum::serve(listener, routes).await {
        eprintln!("rushquay-fault: admin: {e}");
    }
}

async fn connections(State(control): State<Control>) -> Json<Vec<Live>> {
    Json(control.connections())
}

async fn cut(State(control): State<Control>, Query(meant): Query<Meant>) -> Json<Value> {
    let how = meant.how.unwrap_or(Cut::Rst);
    Json(json!({"cut": control.cut(meant.listener.as_deref(), meant.connection, how)}))
}

fn pause(control: &Control, meant: &Meant, paused: bool) -> Json<Value> {
    let told = control.pause(meant.listener.as_deref(), meant.connection, paused);
    Json(json!({"told": told, "paused": paused}))
}

async fn rules(State(control): State<Control>) -> Json<Value> {
    let row = |r: rushquay_fault_injection::Rule| {
        json!({"name": r.name, "listeners": r.listeners, "lane": r.lane, "chance": r.chance, "most": r.most,
               "at": format!("{:?}", r.at), "do": format!("{:?}", r.act)})
    };
    Json(control.rules().into_iter().map(row).collect())
}

async fn add(State(control): State<Control>, text: String) -> Result<Json<Value>, RelayError> {
    control.add_rules(&text)?;
    Ok(Json(json!({"rules": control.rules().len()})))
}

async fn lift(State(control): State<Control>, Path(name): Path<String>) -> Response {
    match control.lift(&name) {
        true => Json(json!({"lifted": name})).into_response(),
        false => {
            let error = format!("no rule is named {name:?}");
            (StatusCode::NOT_FOUND, Json(json!({"error": error}))).into_response()
        }
    }
}

async fn listeners(State(control): State<Control>) -> Json<Value> {
    let row = |(name, listen, target, state)| json!({"name": name, "listen": listen, "target": target, "state": state});
    Json(control.listeners().into_iter().map(row).collect())
}

async fn listen(
    State(control): State<Control>,
    Path((name, state)): Path<(String, ListenerState)>,
) -> Result<Json<Value>, RelayError> {
    control.listener(&name, state)?;
    Ok(Json(json!({"name": name, "state": state})))
}

async fn lead(
    State(control): State<Control>,
    Path(name): Path<String>,
    Query(to): Query<Target>,
) -> Result<Json<Value>, RelayError> {
    control.lead(&name, to.target)?;
    Ok(Json(json!({"name": name, "target": to.target})))
}

async fn trace(State(control): State<Control>) -> String {
    control.trace().text()
}
