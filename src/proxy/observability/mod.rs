//! What operators see of a proxy: the admin listener, the request trace and the statistics for a fleet.

pub(crate) mod admin;
pub mod fleet_stats;
pub(crate) mod request_trace;
