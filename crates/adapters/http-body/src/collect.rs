//! Reads a body completely.

use crate::buffer::BodyBuffer;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum CollectError<E> {
    /// The body has more bytes than permitted.
    #[error("more than {0} bytes")]
    TooLong(usize),
    /// The body ended before its last byte, or its framing is invalid.
    #[error(transparent)]
    Broken(E),
}

/// Reads a body of at most `max_length` bytes to its end. Trailers are dropped.
///
/// # Errors
/// The body is too long, or could not be read.
pub async fn collect<B>(mut body: B, max_length: usize) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BodyBuffer::new(max_length);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        if buffer.len() + piece.len() > max_length {
            return Err(CollectError::TooLong(max_length));
        }
        buffer.push(piece);
    }
    Ok(buffer.into_bytes())
}
