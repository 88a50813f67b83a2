//! Places in a stream: where a message, a length field, a frame or a reply begins and ends.
//!
//! Each tracker takes a stream byte by byte and tells of the [`Found`] places as soon as they are certain. A stream that
//! breaks its protocol is opaque from there on: nothing more is found in it.

mod http1;
mod http2;
mod resp;
mod text;

pub use http1::{Http1, Methods};
pub use http2::Http2;
pub use resp::Resp;
pub use text::Text;

use crate::script::{FramePart, HttpPart, RespPart};

/// What lies at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Of HTTP/1, in the message of this number, from 1.
    Http(HttpPart, u64),
    /// Of HTTP/2, in a frame of this type.
    Frame(FramePart, u8),
    /// Of RESP.
    Resp(RespPart),
}

/// A place: a position between two bytes of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    /// So many bytes of the stream lie before it.
    pub offset: u64,
    /// What lies there.
    pub part: Part,
}
