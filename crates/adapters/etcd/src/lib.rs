//! The state that control services on several machines share, and the leader's lease, in etcd (API reference v3: KV,
//! Lease, Watch).
//!
//! The leader's key is attached to its lease, and every write is a transaction on that key's `create_revision`: etcd
//! gives each new key a higher one, so it is the fencing epoch as well. What is stored is decided by the callers of
//! [`rushquay_state::SharedState`].
#![forbid(unsafe_code)]

mod client;
pub mod messages;
mod prefix;
mod shared;

pub use prefix::Prefix;
pub use shared::EtcdShared;
