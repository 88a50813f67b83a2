//! The admin pages, close to Envoy's own format: `/clusters` with effective weights, `/config_dump`, `/ready`.

use super::driver::Shared;
use super::{Stats, StatsRequests};
use axum::extract::{Query, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::Router;
use rushquay_control_service::serve_pages;
use rushquay_envoy::catalogue::{StoredResource, WarmingState};
use rushquay_envoy::resource::message_of;
use rushquay_envoy::text::show;
use rushquay_load_assignment::{EndpointUse, Health};
use rushquay_xds::Kind;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Connections that are served at once.
pub const CONNECTIONS: usize = 8;
/// How long to wait for the statistics from the proxy's thread.
const STATS_TIMEOUT: Duration = Duration::from_secs(2);

enum Page {
    Clusters,
    Dump,
    Ready,
}

type PageRequest = (Page, oneshot::Sender<(bool, Value)>);

/// Serves the pages until the thread ends. The catalogue is not `Send`, so a task on its thread renders the pages.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>, stats_requests: StatsRequests) {
    let (ask, mut requests) = mpsc::channel::<PageRequest>(CONNECTIONS);
    tokio::task::spawn_local(async move {
        while let Some((page, answer)) = requests.recv().await {
            let rendered = match page {
                Page::Clusters => (true, clusters(&shared, &fetch_stats(&stats_requests).await)),
                Page::Dump => (true, dump(&shared)),
                Page::Ready => ready(&shared),
            };
            let _ = answer.send(rendered);
        }
    });
    let pages = Router::new()
        .route("/clusters", get(clusters_page))
        .route("/config_dump", get(|State(ask)| async move { json_page(fetch_page(&ask, Page::Dump).await) }))
        .route("/ready", get(|State(ask)| async move { json_page(fetch_page(&ask, Page::Ready).await) }))
        .fallback(|| async {
            (StatusCode::NOT_FOUND, "/clusters, /clusters?format=json, /config_dump or /ready\n")
        })
        .with_state(ask);
    serve_pages(listener, pages, CONNECTIONS).await;
}

async fn fetch_page(ask: &mpsc::Sender<PageRequest>, page: Page) -> (bool, Value) {
    let (answer, answered) = oneshot::channel();
    match ask.send((page, answer)).await {
        Ok(()) => answered.await.unwrap_or((false, Value::Null)),
        Err(_) => (false, Value::Null),
    }
}

fn json_page((available, value): (bool, Value)) -> impl IntoResponse {
    let status = if available { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, [(CONTENT_TYPE, "application/json")], format!("{value:#}\n"))
}

async fn clusters_page(
    State(ask): State<mpsc::Sender<PageRequest>>,
    Query(query): Query<HashMap<String, String>>,
) -> impl IntoResponse {
    let (available, value) = fetch_page(&ask, Page::Clusters).await;
    let status = if available { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let (kind, text) = match query.get("format").map(String::as_str) {
        Some("json") => ("application/json", format!("{value:#}\n")),
        _ => ("text/plain", lines(&value)),
    };
    (status, [(CONTENT_TYPE, kind)], text)
}

/// Renders the text format of Envoy: one line `cluster::address::name::value` for each value.
fn lines(value: &Value) -> String {
    let mut text = String::new();
    let list = |v: &Value, name: &str| v[name].as_array().cloned().unwrap_or_default();
    let plain = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    for cluster in list(value, "cluster_statuses") {
        let name = plain(&cluster["name"]);
        let mut line =
            |at: &str, stat: &str, v: &Value| text += &format!("{name}::{at}{stat}::{}\n", plain(v));
        for (field, v) in cluster.as_object().into_iter().flatten() {
            if !matches!(field.as_str(), "name" | "host_statuses" | "priorities") {
                line("", field, v);
            }
        }
        for level in list(&cluster, "priorities") {
            let at = format!("priority_{}::", level["priority"]);
            for (field, v) in level.as_object().into_iter().flatten().filter(|(f, _)| *f != "priority") {
                line(&at, field, v);
            }
        }
        for host in list(&cluster, "host_statuses") {
            let at = format!("{}::", plain(&host["address"]));
            for (field, v) in host.as_object().into_iter().flatten().filter(|(f, _)| *f != "address") {
                line(&at, field, v);
            }
        }
    }
    text
}

/// Requests the statistics from the proxy's thread; empty if it does not answer in time.
async fn fetch_stats(stats_requests: &StatsRequests) -> Stats {
    let (answer, answered) = oneshot::channel();
    let exchange = async {
        stats_requests.send(answer).await.ok()?;
        answered.await.ok()
    };
    tokio::time::timeout(STATS_TIMEOUT, exchange).await.ok().flatten().unwrap_or_default()
}

fn health(health: Health) -> &'static str {
    match health {
        Health::Healthy => "HEALTHY",
        Health::Degraded => "DEGRADED",
        Health::Unhealthy => "UNHEALTHY",
        Health::Draining => "DRAINING",
    }
}

fn standing(standing: EndpointUse) -> &'static str {
    match standing {
        EndpointUse::Serves => "serves",
        EndpointUse::StandsBy => "stands by",
        EndpointUse::Drains => "gets nothing new",
    }
}

fn clusters(shared: &Shared, (clusters, nodes): &Stats) -> Value {
    let nodes: HashMap<_, _> = nodes.iter().map(|n| ((&*n.cluster, &*n.id), n)).collect();
    let clusters: HashMap<_, _> = clusters.iter().map(|c| (&*c.name, c)).collect();
    let catalogue = shared.catalogue.borrow();
    let statuses = catalogue.cluster_states().map(|(spec, warmth, pool)| {
        let hosts = pool.endpoint_statuses().into_iter().map(|host| {
            let stats = nodes.get(&(&*spec.name, &*host.node.id));
            json!({
                "address": host.node.addr.to_string(), "id": &*host.node.id, "zone": &*host.node.zone,
                "region": &*host.locality.0, "sub_zone": &*host.locality.1, "priority": host.priority,
                "weight": host.weight, "effective_weight": host.part, "health_flags": health(host.health),
                "standing": standing(host.node.standing),
                "cx_active": stats.map_or(0, |p| p.connections), "rq_active": stats.map_or(0, |p| p.in_flight),
                "rq_total": stats.map_or(0, |p| p.attempts), "rq_error": stats.map_or(0, |p| p.failed),
            })
        });
        let levels = pool.loads().enumerate().map(|(p, (level, load))| {
            json!({
                "priority": p, "hosts": level.hosts, "healthy": level.healthy, "degraded": level.degraded,
                "load_healthy_percent": load.healthy, "load_degraded_percent": load.degraded, "panic": load.panic,
            })
        });
        let (hosts, levels): (Vec<Value>, Vec<Value>) = (hosts.collect(), levels.collect());
        let split: Vec<Value> =
            catalogue.split(&spec.name).iter().map(|(n, p)| json!({"cluster": &**n, "percent": p})).collect();
        let stats = clusters.get(&*spec.name);
        let trips = stats.map(|p| p.trips).unwrap_or_default();
        json!({
            "name": &*spec.name, "warming": !matches!(warmth, WarmingState::Active), "dedup_group": &*spec.group,
            "origin": spec.origin.as_deref(), "refused_part": pool.effective().rejected,
            "panic_threshold": spec.rules.sharing.panic, "priorities": levels, "split": split,
            "cx_active": stats.map_or(0, |p| p.connections), "rq_open": stats.map_or(0, |p| p.open_requests),
            "rq_total": stats.map_or(0, |p| p.requests), "rq_shed": stats.map_or(0, |p| p.rejected_requests),
            "rq_overflow": trips[0], "rq_retry_overflow": trips[1], "cx_pending_overflow": trips[2],
            "host_statuses": hosts,
        })
    });
    json!({"cluster_statuses": statuses.collect::<Vec<_>>()})
}

fn ready(shared: &Shared) -> (bool, Value) {
    let catalogue = shared.catalogue.borrow();
    let missing: Vec<String> = catalogue.missing().iter().map(|n| n.to_string()).collect();
    let ready = catalogue.is_ready();
    let listener = catalogue.listener().map(|l| l.name.as_str());
    (ready, json!({"listener": listener, "routes": ready, "clusters_missing": missing}))
}

/// Renders a page close to `envoy.admin.v3.ConfigDump`, without the fields that this proxy ignores.
fn dump(shared: &Shared) -> Value {
    let catalogue = shared.catalogue.borrow();
    let of = |kind: Kind, fixed: bool, field: &str| -> Vec<Value> {
        let entry_json = |((_, name), kept): (&(Kind, String), &StoredResource)| {
            let mut body = show(message_of(kind), &kept.encoded);
            if let Value::Object(fields) = &mut body {
                fields.insert("@type".into(), json!(kind.type_url()));
            }
            json!({"name": name, "version_info": kept.version, "last_updated_ns": kept.received_at, field: body})
        };
        catalogue
            .kept()
            .iter()
            .filter(|((k, _), v)| *k == kind && v.is_static == fixed)
            .map(entry_json)
            .collect()
    };
    let section = |name: &str, fields: [(&str, Vec<Value>); 2], kind: Kind| {
        let mut section_json = json!({"@type": format!("type.googleapis.com/envoy.admin.v3.{name}")});
        for (field, list) in fields {
            section_json[field] = list.into();
        }
        if let Some((times, why)) = catalogue.refusals().get(&kind) {
            section_json["error_state"] = json!({"times": times, "details": why});
        }
        section_json
    };
    let (table, waiting) = catalogue.tables();
    json!({
        "configs": [
            section("ClustersConfigDump", [
                ("static_clusters", of(Kind::Cluster, true, "cluster")),
                ("dynamic_active_clusters", of(Kind::Cluster, false, "cluster")),
            ], Kind::Cluster),
            section("EndpointsConfigDump", [
                ("static_endpoint_configs", Vec::new()),
                ("dynamic_endpoint_configs", of(Kind::Endpoints, false, "endpoint_config")),
            ], Kind::Endpoints),
            section("ListenersConfigDump", [
                ("static_listeners", of(Kind::Listener, true, "listener")),
                ("dynamic_listeners", of(Kind::Listener, false, "listener")),
            ], Kind::Listener),
            section("RoutesConfigDump", [
                ("static_route_configs", Vec::new()),
                ("dynamic_route_configs", of(Kind::Route, false, "route_config")),
            ], Kind::Route),
        ],
        "routes_that_hold": table.map(|t| t.name()),
        "routes_that_wait": waiting.map(|t| t.name()),
    })
}
