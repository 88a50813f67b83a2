//! Leader election among control services, and clocks that do not jump. No I/O: the time is passed in, and so are the responses of the
//! store that holds the lease.
//!
//! A leader holds a lease in a store that all instances share. Each lease has an **epoch**, higher than those of all leases before it,
//! which is attached to everything that the leader sends or writes: a receiver that has seen a higher one rejects it. The lease alone is
//! not enough: a process that was paused learns that its lease has expired only when it next reads a clock, and what it sent before that
//! is in flight.
#![forbid(unsafe_code)]

mod clock;
mod elector;
mod epoch;
mod skew;

pub use clock::{Clock, ClockReading};
pub use elector::{Action, Elector, LeaseTerms, LeaseTermsError, Role};
pub use epoch::{Epoch, Fence, Stale};
pub use skew::Skew;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
