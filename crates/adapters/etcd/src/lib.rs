//! Leases and shared state in etcd (API reference v3: KV, Lease, Watch), for control services on several machines.
//!
//! The leader's key goes with its lease, and every write is a transaction on that key's `create_revision`: etcd gives each
//! key that comes to be a higher one, so it is the fencing epoch as well.
#![forbid(unsafe_code)]

mod client;
pub mod messages;
mod shared;

pub use shared::{EtcdShared, Prefix};
