//! The `Watch` service.

use super::{KeyValue, ResponseHeader};
use prost::{Enumeration, Message, Oneof};

/// A request on a watch stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    /// The kind of request.
    #[prost(oneof = "WatchAsk", tags = "1")]
    pub request: Option<WatchAsk>,
}

/// The kinds of requests.
#[derive(Clone, PartialEq, Oneof)]
pub enum WatchAsk {
    /// Creates a watch.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
}

/// The parameters of a new watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty: the first key alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The first revision to report; 0: from now on.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
}

/// A response on a watch stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The id of the watch.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether the watch was just created.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch was canceled.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The changes.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// A change of a key.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    /// The kind.
    #[prost(enumeration = "EventType", tag = "1")]
    pub kind: i32,
    /// The key.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// The kinds of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key was written.
    Put = 0,
    /// The key was deleted.
    Delete = 1,
}
