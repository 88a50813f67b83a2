//! The xDS transport protocol, version 3, as state machines without I/O.
//!
//! - [`Store`]: the resources that a server declares, with versions and what changed when.
//! - [`server`]: one stream of a subscriber, state-of-the-world or delta. Requests go in, the next answer comes out
//!   when the transport has room for it.
//! - [`client`]: the subscriber's end, with reconnects and the fallback from delta to state-of-the-world.
//!
//! Source: the xDS protocol, "xDS REST and gRPC protocol" of Envoy's documentation (sections named at each piece),
//! and `envoy/service/discovery/v3/discovery.proto`. Messages here are plain types; another crate turns them
//! into protobuf and back, so nothing here depends on a runtime.
#![forbid(unsafe_code)]

pub mod client;
mod kind;
pub mod server;
mod store;

pub use kind::{Kind, Pattern, KINDS};
pub use store::{version_of, Declared, Resource, Store};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
