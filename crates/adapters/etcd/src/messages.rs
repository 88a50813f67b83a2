//! Messages of etcd's v3 API, as `rpc.proto` and `kv.proto` of its API reference number their fields. Only the fields that
//! are used here; protobuf passes over the others.
//!
//! Why not `etcd-client`: it compiles the protocol's files when it is built and needs `protoc` on the machine for that. This
//! project builds with the Rust tool chain alone.

use prost::{Enumeration, Message, Oneof};

/// Paths of the calls.
pub mod path {
    /// `KV.Range`.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// `KV.Txn`.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// `Lease.LeaseGrant`.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// `Lease.LeaseRevoke`.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// `Lease.LeaseKeepAlive`, a stream either way.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
    /// `Watch.Watch`, a stream either way.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
}

/// Stands in each answer.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    /// The store's revision when the answer was made.
    #[prost(int64, tag = "3")]
    pub revision: i64,
}

/// A key and its value.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The revision in which it came to be; higher than those of all keys made before.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// The revision in which it was last written.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Writes since it came to be.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// The lease that it goes with; 0: none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// Reads keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Up to this one; empty: the first alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// At most so many; 0: all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// As of this revision; 0: the newest.
    #[prost(int64, tag = "4")]
    pub revision: i64,
}

/// Keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Keys, in order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// There are more than were asked for.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// How many there are in all.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// It goes when this lease ends; 0: it stays.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// Answers a put.
#[derive(Clone, PartialEq, Message)]
pub struct PutResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Deletes keys.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Up to this one; empty: the first alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// Answers a deletion.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// How many there were.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// A step of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    /// Which.
    #[prost(oneof = "Step", tags = "1, 2, 3")]
    pub request: Option<Step>,
}

/// What a step does.
#[derive(Clone, PartialEq, Oneof)]
pub enum Step {
    /// Reads.
    #[prost(message, tag = "1")]
    Range(RangeRequest),
    /// Writes.
    #[prost(message, tag = "2")]
    Put(PutRequest),
    /// Deletes.
    #[prost(message, tag = "3")]
    Delete(DeleteRangeRequest),
}

/// What came of a step.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    /// Which.
    #[prost(oneof = "Done", tags = "1, 2, 3")]
    pub response: Option<Done>,
}

/// What came of it.
#[derive(Clone, PartialEq, Oneof)]
pub enum Done {
    /// Keys.
    #[prost(message, tag = "1")]
    Range(RangeResponse),
    /// A key was written.
    #[prost(message, tag = "2")]
    Put(PutResponse),
    /// Keys were deleted.
    #[prost(message, tag = "3")]
    Delete(DeleteRangeResponse),
}

/// How two values are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareResult {
    /// They are the same.
    Equal = 0,
    /// What stands is greater.
    Greater = 1,
    /// It is less.
    Less = 2,
    /// They differ.
    NotEqual = 3,
}

/// What of a key is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareTarget {
    /// How often it was written.
    Version = 0,
    /// In which revision it came to be; 0: it is not there.
    Create = 1,
}

/// A condition of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    /// How.
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    /// What.
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    /// Of which key.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// With what.
    #[prost(oneof = "CompareWith", tags = "4, 5")]
    pub with: Option<CompareWith>,
}

/// What it is compared with.
#[derive(Clone, PartialEq, Oneof)]
pub enum CompareWith {
    /// A number of writes.
    #[prost(int64, tag = "4")]
    Version(i64),
    /// A revision.
    #[prost(int64, tag = "5")]
    CreateRevision(i64),
}

/// A transaction: the steps of `success` where all conditions hold, else those of `failure`.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    /// Conditions.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// Steps.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    /// Steps.
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// What came of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// All conditions held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    /// What came of each step.
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// Asks for a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    /// For so many seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// Its number; 0: the store chooses.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// A lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Its number.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Its time, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Ends a lease, with all keys that go with it.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRevokeRequest {
    /// Its number.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// It has ended.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRevokeResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Lets a lease run for its whole time again.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseKeepAliveRequest {
    /// Its number.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// It runs.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseKeepAliveResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Its number.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Its time; 0: there is no such lease.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Asks to be told of changes.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    /// What is asked.
    #[prost(oneof = "WatchAsk", tags = "1")]
    pub request: Option<WatchAsk>,
}

/// What is asked of a watch.
#[derive(Clone, PartialEq, Oneof)]
pub enum WatchAsk {
    /// A new one.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
}

/// A new watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Up to this one; empty: the first alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// From this revision on; 0: from now.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
}

/// News of a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    /// Header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The watch.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// It was made.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// It is over.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// What happened.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// It was written.
    Put = 0,
    /// It is gone.
    Delete = 1,
}

/// A change of a key.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    /// What.
    #[prost(enumeration = "EventType", tag = "1")]
    pub kind: i32,
    /// The key.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}
