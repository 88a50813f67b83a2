//! The sockets' side of the proxy: it translates between the network and the decision module.

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
mod upstream;

use http::request_body::{Body, BODY_MOST};
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
