//! Headers of the protocol that several modules read or write.

use hyper::header::HeaderName;

/// A request's id, unique to each request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender will wait, in decimal seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
