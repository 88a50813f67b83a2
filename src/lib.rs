//! rushquay is a caching proxy that decides which cache server gets each request before it falls to a slow origin.
//! [`decision`] holds every decision, without I/O or a clock of its own; [`api`] its types; [`wire`] the simulator's text codec;
//! [`proxy`] the real proxy on sockets; [`supervisor`] the process that runs and replaces a proxy.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod decision;
pub mod proxy;
pub mod supervisor;
pub mod wire;

pub use decision::{api, Balancer};
