//! Transactions of the `KV` service.

use super::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    ResponseHeader,
};
use prost::{Enumeration, Message, Oneof};

/// A transaction: the operations of `success` where all conditions hold, else those of `failure`.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    /// The conditions.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// The operations of this branch.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    /// The operations of this branch.
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// The response to a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether all conditions held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    /// The result of each operation.
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// An operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    /// The kind.
    #[prost(oneof = "Step", tags = "1, 2, 3")]
    pub request: Option<Step>,
}

/// The kinds of operations.
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

impl Step {
    /// Reads one key.
    pub fn get(key: Vec<u8>) -> Step {
        Step::Range(RangeRequest { key, ..RangeRequest::default() })
    }

    /// Writes a key that is attached to no lease.
    pub fn put(key: Vec<u8>, value: Vec<u8>) -> Step {
        Step::Put(PutRequest { key, value, lease: 0 })
    }

    /// Deletes one key.
    pub fn delete(key: Vec<u8>) -> Step {
        Step::delete_range(key, Vec::new())
    }

    /// Deletes the keys from `key` up to `range_end`.
    pub fn delete_range(key: Vec<u8>, range_end: Vec<u8>) -> Step {
        Step::Delete(DeleteRangeRequest { key, range_end })
    }
}

/// The result of an operation.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    /// The kind.
    #[prost(oneof = "Done", tags = "1, 2, 3")]
    pub response: Option<Done>,
}

/// The kinds of results.
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

/// A condition of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    /// The operator.
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    /// The property.
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    /// The key.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// The value to compare with.
    #[prost(oneof = "CompareWith", tags = "4, 5")]
    pub with: Option<CompareWith>,
}

/// The value that a property is compared with.
#[derive(Clone, PartialEq, Oneof)]
pub enum CompareWith {
    /// A number of writes.
    #[prost(int64, tag = "4")]
    Version(i64),
    /// A revision.
    #[prost(int64, tag = "5")]
    CreateRevision(i64),
}

/// The comparison operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareResult {
    /// The values are equal.
    Equal = 0,
    /// The stored value is greater.
    Greater = 1,
    /// The stored value is less.
    Less = 2,
    /// The values differ.
    NotEqual = 3,
}

/// The property of a key that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareTarget {
    /// The number of writes.
    Version = 0,
    /// The revision that created it; 0: it does not exist.
    Create = 1,
}
