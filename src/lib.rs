//! rushquay is a proxy for a fleet of cache nodes in front of a slow origin: it chooses the cache node for each
//! request.
//!
//! - [`decision`]: all decisions, without I/O or a clock; [`api`] has its types.
//! - [`wire`]: the text codec of the simulator's protocol.
//! - [`proxy`]: the proxy on real sockets.
//! - [`supervisor`]: the process that runs and replaces a proxy.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod decision;
pub mod proxy;
pub mod supervisor;
pub mod wire;

pub use decision::{api, Balancer};
