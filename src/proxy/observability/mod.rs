//! What operators see of a proxy: its admin address, the trace of requests, and counts over a fleet.

pub(crate) mod admin;
pub mod fleet_stats;
pub(crate) mod request_trace;
