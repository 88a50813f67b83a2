//! Envoy's form of clusters, endpoints and routes, read strictly: what can't be obeyed is refused with its path, and never
//! half obeyed. No I/O.
//!
//! - [`bootstrap`]: the file that an Envoy starts with, YAML or JSON. [`resource`]: what comes on a stream or in a file.
//! - [`fields`]: every field of every message that is read, and what becomes of it. [`text`], [`wire`]: the two forms.
//! - [`catalogue`]: all that is declared, and the changes that follow. [`session`]: the stream that feeds it.
//!
//! What it makes of an endpoint or a route is decided in `rushquay-load-assignment` and `rushquay-routing`.
#![forbid(unsafe_code)]
#![allow(deprecated, reason = "fields that Envoy replaced are still in use")]

mod bootstrap;
pub mod catalogue;
mod cluster;
mod common;
mod endpoints;
pub mod fields;
mod listener;
// Made by `examples/types.rs`; not to be changed by hand.
#[allow(missing_docs, dead_code, clippy::all, clippy::pedantic, reason = "generated")]
#[rustfmt::skip]
mod pb;
pub mod resource;
mod route;
pub mod session;
pub mod text;
pub mod wire;

pub use bootstrap::{bootstrap, Ads, Bootstrap, Secrets, BOOTSTRAP};
pub use cluster::{Cluster, Family, Members};
pub use common::{From, Source, FETCH, METADATA};
pub use listener::{Listener, Routes};
pub use wire::{Notes, Refused};
