//! xDS over gRPC: the sockets' side of [`rushquay_xds`]. [`Hub`] and [`serve`] are a server, [`run`] is a client.
//!
//! All that is decided stands in the state machines; here are streams, limits, TLS and the translation of messages.
#![forbid(unsafe_code)]

mod client;
mod convert;
mod hub;
mod server;
mod tls;

pub use client::{run, ClientEvent, ClientOptions};
pub use convert::{node, with_metadata};
pub use envoy_types::pb::envoy::config::core::v3::Node;
pub use hub::{Hub, ServerLimits, StreamEvent, Subscriber};
pub use server::serve;
pub use tls::{require_tls_beyond_loopback, Tls, TlsError, TlsFiles};
