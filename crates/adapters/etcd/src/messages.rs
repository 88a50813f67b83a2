//! The messages of etcd's v3 API, with the field numbers of `rpc.proto` and `kv.proto` in its API reference. Only the
//! fields that are used here; protobuf ignores the others.
//!
//! Why not `etcd-client`: its build compiles the protocol's files and requires `protoc`. This project builds with the
//! Rust tool chain alone.

mod kv;
mod lease;
mod txn;
mod watch;

pub use kv::*;
pub use lease::*;
pub use txn::*;
pub use watch::*;

use prost::Message;

/// The paths of the calls.
pub mod path {
    /// `KV.Range`.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// `KV.Txn`.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// `Lease.LeaseGrant`.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// `Lease.LeaseRevoke`.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// `Lease.LeaseKeepAlive`, a bidirectional stream.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
    /// `Watch.Watch`, a bidirectional stream.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
}

/// The header of every response.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    /// The store's revision when the response was made.
    #[prost(int64, tag = "3")]
    pub revision: i64,
}

/// A response without a content of its own.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderOnly {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}
