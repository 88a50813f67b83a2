//! xDS over gRPC: the transport of [`rushquay_xds`]. [`Hub`] and [`serve`] are a server, [`run`] is a client.
//!
//! This crate decides nothing: that is done by the state machines. It has the streams, limits, TLS and the conversion
//! of messages.
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
