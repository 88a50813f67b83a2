//! A look at what comes in and goes out.

use rushquay_fault_injection::Direction;
use std::time::Instant;

/// Where and when something came in.
#[derive(Clone, Copy, Debug)]
pub struct Passage<'a> {
    /// The listener.
    pub listener: &'a str,
    /// The connection's ordinal there.
    pub connection: u64,
    /// The direction.
    pub lane: Direction,
    /// Bytes of this direction before these.
    pub offset: u64,
    /// When it was read.
    pub when: Instant,
}

/// Sees what comes in, before anything is done to it, and what goes out. It is called on the relay's path and must not wait.
pub trait Tap: Send + Sync {
    /// Bytes were read.
    fn came(&self, passage: Passage<'_>, bytes: &[u8]);

    /// Bytes were written: what is left of those that came, and what was put in. The offset counts bytes that came.
    fn went(&self, _passage: Passage<'_>, _bytes: &[u8]) {}

    /// The direction has ended, in order or not.
    fn ended(&self, _passage: Passage<'_>) {}
}
