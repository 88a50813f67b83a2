//! What a body holds while it is read, in any pieces.
#![forbid(unsafe_code)]

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use rushquay_http_body::{collect, detach, BodyBuffer, CollectError};

const READ_BUFFER: usize = 8 << 10;

/// A piece as a reader hands it over: a slice of a read buffer of its own. Returns the buffer too, whose uniqueness shows who holds it.
fn piece(length: usize) -> (Bytes, Bytes) {
    let whole = BytesMut::zeroed(READ_BUFFER).freeze();
    (whole.slice(..length), whole)
}

/// Guards against a body that keeps the read buffer of each of its pieces alive.
#[test]
fn joined_pieces_release_their_read_buffers() {
    for length in [1, 40, 256, 4000] {
        let mut body = BodyBuffer::new(64 << 10);
        let mut read_buffers = Vec::new();
        for _ in 0..16 {
            let (piece, read_buffer) = piece(length);
            body.push(piece);
            read_buffers.push(read_buffer);
        }
        assert!(read_buffers.iter().all(Bytes::is_unique), "pieces of {length} bytes");
        assert_eq!(body.len(), 16 * length);
        assert_eq!(body.into_bytes().len(), 16 * length);
    }
}

/// Guards against a copy of the common body, which comes in one piece.
#[test]
fn a_body_of_one_piece_is_not_copied() {
    let (piece, _) = piece(100);
    let at = piece.as_ptr();
    let mut body = BodyBuffer::new(64 << 10);
    body.push(piece);
    assert_eq!(body.into_bytes().as_ptr(), at);
}

/// Guards against a small piece on its way to a slow reader that keeps its whole read buffer alive.
#[test]
fn a_detached_piece_holds_a_read_buffer_only_if_it_fills_half_of_it() {
    for (length, holds) in [(1, false), (READ_BUFFER / 2 - 1, false), (READ_BUFFER / 2, true)] {
        let (piece, read_buffer) = piece(length);
        let kept = detach(piece, READ_BUFFER);
        assert_eq!((kept.len(), !read_buffer.is_unique()), (length, holds));
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let body = || Full::new(Bytes::from_static(b"12345"));
    assert_eq!(collect(body(), 5).await.expect("read"), "12345");
    assert!(matches!(collect(body(), 4).await, Err(CollectError::TooLong(4))));
}
