//! The sockets' side of the proxy: it translates between the network and the decision module.

mod acceptor;
mod active_config;
mod admin;
mod answer;
mod attempt;
mod attempt_policy;
mod backend;
mod client_connection;
mod clock;
pub mod config;
mod config_layers;
pub mod control_subscription;
mod descriptors;
mod discovery;
mod endpoint_list;
mod engine;
pub mod envoy;
pub mod fleet_stats;
mod graceful_shutdown;
mod handover;
mod headers;
mod interner;
mod listener_socket;
mod load_assignment;
pub mod local;
mod pause_detection;
pub mod policy_client;
pub mod policy_source;
mod read_buffer;
mod reload;
mod request_body;
mod request_framing;
mod request_handler;
mod request_parsing;
mod request_trace;
mod response_reader;
mod responses;
mod rollout_client;
mod rollout_metrics;
pub mod rollout_source;
mod routing;
pub mod server;
mod settings;
mod settings_file;
pub mod signals;
mod socket;
mod startup;
pub mod subscription;
pub mod supervised;
mod upstream;
mod upstream_connection;

use request_body::{Body, BODY_MOST};
use rushquay_admin::RequestMetrics;
use rushquay_invariants::{Label as _, Violation};
use std::io::Write as _;
use std::sync::atomic::{AtomicU32, Ordering};

/// What is read ahead of a connection, heads among it, holds at most this.
const BUFFER_MOST: usize = 16 << 10;

/// Writes a line about something rare to standard error. Danger: a fault that repeats with every request would
/// fill memory or block the one thread, so only the first lines of a run are kept.
pub fn log(line: impl std::fmt::Display) {
    const MOST: u32 = 500;
    static WRITTEN: AtomicU32 = AtomicU32::new(0);
    if WRITTEN.fetch_add(1, Ordering::Relaxed) < MOST {
        let _ = writeln!(std::io::stderr(), "rushquay: {line}");
    }
}

/// Counts a rule that was broken, and says so.
fn violation(ledger: &RequestMetrics, violation: Violation, what: &str) {
    ledger.violations.one_more(violation);
    log(format_args!("rule broken: {}: {what}", violation.name()));
}
