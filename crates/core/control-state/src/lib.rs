//! The state that the control service declares: which endpoint list it follows, the endpoints of each cluster, their weights, and what
//! changes. No I/O; the time is passed in.
#![forbid(unsafe_code)]

mod config;
mod state;

pub use config::{ConfigError, ControlConfig};
pub use state::{ControlState, EndpointChange, ListOutcome, NodeView, Origin};
