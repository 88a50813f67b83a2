//! Proxies that take clusters, endpoints and routes in Envoy's form from a stand-in management server, before stand-in nodes:
//! after each change what the nodes see is what was declared, and every request has its one answer.

mod churn;
mod clocks;
mod files;
mod rig;
mod routing;
mod rules;

use rig::*;
use std::time::{Duration, Instant};

/// How long a step may take before the test is given up: far longer than any takes.
const LONG: Duration = Duration::from_secs(60);

/// Waits until something holds.
async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < LONG, "it never came that {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
