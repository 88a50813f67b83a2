//! The xDS transport protocol, version 3, as state machines without I/O.
//!
//! - [`Store`]: the resources that a server declares, with their versions and the order of their changes.
//! - [`server`]: one subscriber's stream, state-of-the-world or delta. Requests go in; the next answer comes out when
//!   the transport has room for it.
//! - [`client`]: the subscriber's side, with reconnects and the fallback from delta to state-of-the-world.
//!
//! Source: "xDS REST and gRPC protocol" of Envoy's documentation (sections are named where they apply), and
//! `envoy/service/discovery/v3/discovery.proto`. Messages here are plain types, which `rushquay-xds-grpc` converts to
//! protobuf and back, so nothing here depends on a runtime, opens a connection or reads a clock.
#![forbid(unsafe_code)]

pub mod client;
mod kind;
pub mod server;
mod store;

pub use kind::{Kind, Pattern, KINDS};
pub use store::{version_of, Declared, Resource, Store};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
