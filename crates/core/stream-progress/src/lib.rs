//! What is decided of bodies and heads that come and go slowly: when a peer has made too little progress ([`Pace`]), and
//! whether what was passed on can be sent again ([`Replay`]). No I/O and no clock: time is passed in.
#![forbid(unsafe_code)]

mod pace;
mod replay;

pub use pace::{Pace, Patience};
pub use replay::Replay;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
