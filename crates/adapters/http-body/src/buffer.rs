//! The memory that the pieces of a body are held in.

use bytes::Bytes;

/// The smallest capacity of a buffer that pieces are joined in.
const MIN_CAPACITY: usize = 1 << 10;

/// Holds a body while its pieces arrive. The first piece is kept as it came, so that a body of one piece is never copied; further ones are
/// joined in one buffer.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    first: Bytes,
    joined: Vec<u8>,
    /// The capacity beyond which the buffer grows only as far as it must.
    max_growth: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `max_length` bytes, or of exactly so many if its length was announced. Growth stops there.
    pub fn new(max_length: usize) -> Self {
        BodyBuffer { first: Bytes::new(), joined: Vec::new(), max_growth: max_length }
    }

    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Returns whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Bytes) {
        if self.is_empty() {
            self.first = piece;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.append(&first);
        self.append(&piece);
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.into(),
        }
    }

    fn append(&mut self, bytes: &[u8]) {
        let needed = self.joined.len() + bytes.len();
        if needed > self.joined.capacity() {
            let doubled = (2 * self.joined.capacity()).max(MIN_CAPACITY);
            let capacity = doubled.min(self.max_growth).max(needed);
            self.joined.reserve_exact(capacity - self.joined.len());
        }
        self.joined.extend_from_slice(bytes);
    }
}

/// Returns a piece that does not keep a read buffer of `buffer_size` bytes alive unless it fills at least half of it.
pub fn detach(piece: Bytes, buffer_size: usize) -> Bytes {
    match piece.len() < buffer_size / 2 {
        true => Bytes::copy_from_slice(&piece),
        false => piece,
    }
}
