//! Decisions about message heads and bodies that are transferred slowly.
//!
//! [`Pace`] tells when a peer makes too little progress; [`Replay`] tells whether a body that was forwarded can be sent again.
//! The crate does no I/O and reads no clock: time is passed in.
#![forbid(unsafe_code)]

mod pace;
mod replay;

pub use pace::{Pace, Patience};
pub use replay::Replay;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
