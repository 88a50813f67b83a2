//! A look at what comes in.

use rushquay_fault::Lane;
use std::time::Instant;

/// Where and when something came in.
#[derive(Clone, Copy, Debug)]
pub struct Passage<'a> {
    /// The listener.
    pub listener: &'a str,
    /// The connection's ordinal there.
    pub connection: u64,
    /// The direction.
    pub lane: Lane,
    /// Bytes of this direction before these.
    pub offset: u64,
    /// When it was read.
    pub when: Instant,
}

/// Sees what comes in, before anything is done to it. It is called on the relay's path and must not wait.
pub trait Tap: Send + Sync {
    /// Bytes were read.
    fn came(&self, passage: Passage<'_>, bytes: &[u8]);

    /// The direction has ended, in order or not.
    fn ended(&self, _passage: Passage<'_>) {}
}
