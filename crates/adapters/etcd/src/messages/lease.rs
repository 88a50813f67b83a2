//! The `Lease` service.

use super::{HeaderOnly, ResponseHeader};
use prost::Message;

/// Requests a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    /// The time to live, in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// The id; 0: the store chooses.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// The response to a grant.
pub type LeaseGrantResponse = LeaseState;

/// Revokes a lease, and deletes all keys that are attached to it.
pub type LeaseRevokeRequest = LeaseId;

/// The response to a revocation.
pub type LeaseRevokeResponse = HeaderOnly;

/// Renews a lease for its whole time.
pub type LeaseKeepAliveRequest = LeaseId;

/// The response to a renewal; its `ttl` is 0 where there is no such lease.
pub type LeaseKeepAliveResponse = LeaseState;

/// A request about an existing lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseId {
    /// The lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// A lease with its remaining time.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseState {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// The time to live, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}
