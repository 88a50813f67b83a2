//! Process lifecycle: startup, signals, heartbeats to the supervisor, and the hand-over to a new process.

pub(crate) mod handover;
pub(crate) mod shared_claims;
pub mod signals;
pub(crate) mod slow_start;
pub(crate) mod startup;
pub mod supervised;
