//! Discovery: the whole list, and a watch on changes (PROTOCOL, "Discovery").

use crate::{http, reply, Node};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// An entry of the list.
pub fn entry(node: &Node, zone: &str, kind: &str, state: &str, started_ms: u64) -> Value {
    json!({"id": node.id, "addr": node.addr.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": state,
           "weight": 1.0, "started_ms": started_ms})
}

#[derive(Clone, Default)]
struct State {
    version: u64,
    /// By id: the version of the last change, and the entry.
    entries: BTreeMap<String, (u64, Value)>,
    down: bool,
    /// Calls answered.
    calls: u64,
}

/// A stand-in discovery. It ends when dropped.
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

impl Discovery {
    /// Starts one with this list.
    pub async fn start(version: u64, entries: &[Value]) -> Self {
        let state = watch::Sender::new(State::default());
        let asked = state.clone();
        let (addr, task) = http(move |request| {
            let asked = asked.clone();
            async move { answer(&asked, request.uri().query().unwrap_or("")).await }
        })
        .await;
        let discovery = Discovery { addr, state, task };
        discovery.replace(version, entries);
        discovery
    }

    /// Puts or replaces one entry, under the next version.
    pub fn put(&self, entry: Value) {
        self.state.send_modify(|s| {
            s.version += 1;
            let id = entry["id"].as_str().unwrap_or_default().to_owned();
            s.entries.insert(id, (s.version, entry));
        });
    }

    /// Sets the state of an entry.
    pub fn set(&self, id: &str, state: &str) {
        let held = self.state.borrow().entries.get(id).map(|(_, e)| e.clone());
        if let Some(mut entry) = held {
            entry["state"] = json!(state);
            self.put(entry);
        }
    }

    /// Replaces all that it knows, version and list, as one that starts anew or is behind.
    pub fn replace(&self, version: u64, entries: &[Value]) {
        self.state.send_modify(|s| {
            s.version = version;
            let id = |e: &Value| e["id"].as_str().unwrap_or_default().to_owned();
            s.entries = entries.iter().map(|e| (id(e), (version, e.clone()))).collect();
        });
    }

    /// Goes down, which ends watches, or comes up.
    pub fn down(&self, down: bool) {
        self.state.send_modify(|s| s.down = down);
    }

    /// How many calls it has answered.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }
}

async fn answer(state: &watch::Sender<State>, query: &str) -> Option<hyper::Response<crate::Body>> {
    let number = |name: &str| -> Option<u64> {
        query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
    };
    let (from, hold) = (number("from"), number("hold_ms").unwrap_or(0).min(60_000));
    let mut seen = state.subscribe();
    if let Some(from) = from {
        let news = seen.wait_for(|s| s.down || s.version != from);
        let _ = tokio::time::timeout(Duration::from_millis(hold), news).await;
    }
    let now = state.borrow().clone();
    if now.down {
        return Some(reply(503, &[], ""));
    }
    // A version that is ahead of its own is another's: all is told.
    let full = from.is_none_or(|from| from > now.version);
    let after = if full { 0 } else { from.unwrap_or(0) };
    let told = |(version, entry): &(u64, Value)| {
        ((full && entry["state"] != "gone") || (!full && *version > after)).then(|| entry.clone())
    };
    let servers: Vec<Value> = now.entries.values().filter_map(told).collect();
    state.send_modify(|s| s.calls += 1);
    let body = json!({"version": now.version, "full": full, "servers": servers}).to_string();
    Some(reply(200, &[("content-type", "application/json")], body))
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}
