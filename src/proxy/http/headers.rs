//! Headers of the protocol that several parts read or write.

use hyper::header::HeaderName;

/// A request's id, new with every request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender will wait, in seconds with decimals.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
