//! The proxy and the control service between ends that break, stall and lie: each kind of fault, in each phase of an
//! exchange, on each leg, held against the four rules by books of our own.

mod cell;
mod client;
mod matrix;
mod rig;
mod wire;

use std::time::Duration;

/// How long a step may take before the test is given up: far longer than any takes.
const LONG: Duration = Duration::from_secs(60);
