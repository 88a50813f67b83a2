//! Headers of the protocol that several modules read or write.

use hyper::header::{HeaderName, HeaderValue};

/// A request's id, unique to each request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender will wait, in decimal seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// The tenant of a request.
pub const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
/// `1`: the client retries a request that it has sent before.
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// `hit` or `miss`: whether the node had the key.
pub const LOOKUP: HeaderName = HeaderName::from_static("x-lookup");
/// `1`: the node has not processed the request.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// Maximum length of a request id in bytes.
const MAX_ID_LENGTH: usize = 128;

/// A valid request id: printable ASCII without spaces; the next hop may interpret anything else differently.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CorrelationId(HeaderValue);

impl CorrelationId {
    /// Returns the id that a header holds; `None`: it is not valid.
    pub fn parse(value: &HeaderValue) -> Option<Self> {
        let is_valid =
            (1..=MAX_ID_LENGTH).contains(&value.len()) && value.as_bytes().iter().all(u8::is_ascii_graphic);
        is_valid.then(|| CorrelationId(value.clone()))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        // A valid id is ASCII.
        self.0.to_str().unwrap_or_default()
    }
}
