//! Tracks the transfer of message heads and bodies.
//!
//! [`ProgressTracker`] detects a peer that makes too little progress; [`Replay`] decides whether a request body can be sent again
//! after a part of it was forwarded; [`Hold`] says when the beginning of a response is passed on.
//! The crate does no I/O and reads no clock: time is passed in.
#![forbid(unsafe_code)]

mod hold;
mod pace;
mod replay;

pub use hold::{Framing, Hold};
pub use pace::{ProgressLimits, ProgressTracker};
pub use replay::Replay;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
