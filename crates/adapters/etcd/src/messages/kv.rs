//! The `KV` service: keys and values.

use super::{HeaderOnly, ResponseHeader};
use prost::Message;

/// A key and its value.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The revision that created the key; higher than those of all keys created before.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// The revision that last wrote it.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// The number of writes since its creation.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// The lease that it is attached to; 0: none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// Reads keys.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty: the first key alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The most keys to return; 0: all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// The revision to read at; 0: the newest.
    #[prost(int64, tag = "4")]
    pub revision: i64,
}

/// The response to a read.
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys, in order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more keys than the limit.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// The number of keys in the whole range.
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
    /// The lease that the key is attached to; 0: none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// Deletes keys.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty: the first key alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// The response to a deletion.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The number of deleted keys.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// The response to a put.
pub type PutResponse = HeaderOnly;
