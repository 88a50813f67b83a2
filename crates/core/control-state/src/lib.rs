//! The state that the control service declares to proxies: the endpoints of each cluster with their weights and overrides, derived from
//! the endpoint list that the control service follows. The crate does no I/O; callers pass in the time.
#![forbid(unsafe_code)]

mod config;
mod state;

pub use config::{ConfigError, ControlConfig};
pub use state::{ControlState, EndpointChange, ListOutcome, ListSource, NodeView};
