//! What the control service declares, without I/O: which list it believes, which nodes make which cluster, what their
//! weights are, and what changed.
#![forbid(unsafe_code)]

mod config;
mod state;

pub use config::{ConfigError, ControlConfig};
pub use state::{ControlState, EndpointChange, ListOutcome, NodeView, Origin};
