//! The network side of the proxy: translates between sockets and the decision module.

mod clock;
pub mod config;
pub mod control;
mod discovery;
mod engine;
pub mod envoy;
mod http;
mod listener;
pub mod local;
pub mod observability;
pub mod process;
pub mod server;
mod tasks;
mod upstream;

use http::request_body::{Body, MAX_BUFFERED_BODY};
use rushquay_admin::RequestMetrics;
use rushquay_invariants::{Label as _, Violation};
use std::io::Write as _;
use std::sync::atomic::{AtomicU32, Ordering};

/// Maximum number of bytes read ahead on a connection, including request heads.
const MAX_READ_AHEAD: usize = 16 << 10;

/// Writes a line about a rare event to standard error. Danger: an error that repeats with every request would fill memory or block the
/// only thread, so only the first lines of a process are written.
pub fn log(line: impl std::fmt::Display) {
    const MAX_LINES: u32 = 500;
    static WRITTEN: AtomicU32 = AtomicU32::new(0);
    if WRITTEN.fetch_add(1, Ordering::Relaxed) < MAX_LINES {
        let _ = writeln!(std::io::stderr(), "rushquay: {line}");
    }
}

/// Counts and logs the violation of an invariant.
fn violation(metrics: &RequestMetrics, violation: Violation, detail: &str) {
    metrics.violations.one_more(violation);
    log(format_args!("rule broken: {}: {detail}", violation.name()));
}
