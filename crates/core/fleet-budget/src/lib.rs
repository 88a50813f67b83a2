//! Limits each of many proxies to its share of the connections that the endpoints accept.
//!
//! Proxies do not coordinate. Each one derives its share from the configured number of proxies and from how often
//! endpoints reject its new connections. This crate does no I/O and reads no clock; see [`IdleTimeout`].
#![forbid(unsafe_code)]

mod idle_timeout;

pub use idle_timeout::IdleTimeout;

/// A duration in nanoseconds.
pub type Nanos = u64;
