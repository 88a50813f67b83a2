//! Which of several control services leads, and what time it is. No I/O: time is an argument, and what a store of leases
//! answered is told.
//!
//! A leader holds a lease in a store that all instances share. Each lease that is won has an **epoch**, higher than all
//! before it, which travels with everything that the leader hands out or writes: whoever has seen a higher one refuses it.
//! The lease alone does not do: a process that was paused learns that its lease is over only once it looks at a clock, and
//! what it sent before it looked is on its way.
#![forbid(unsafe_code)]

mod clock;
mod elector;
mod epoch;
mod skew;

pub use clock::{Clock, ClockReading};
pub use elector::{Action, Elector, LeaseTerms, LeaseTermsError, Role};
pub use epoch::{Epoch, Fence, Stale};
pub use skew::Skew;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
