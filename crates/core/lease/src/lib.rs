//! Leader election among instances of the control service, and clocks that never step. The crate does no I/O: the time and the responses
//! of the store that grants the lease are passed in.
//!
//! The leader is the instance that holds a lease in a store shared by all instances. Each lease has an **epoch**, higher than those of all
//! earlier leases, which accompanies everything that the leader sends or writes; a receiver that has seen a higher epoch rejects it. The
//! lease alone is not enough: a paused process notices that its lease has expired only when it next reads a clock, and messages that it
//! sent before may still be in flight.
#![forbid(unsafe_code)]

mod clock;
mod elector;
mod epoch;
mod skew;

pub use clock::{Clock, ClockReading};
pub use elector::{Action, Elector, LeaseTerms, LeaseTermsError, Role};
pub use epoch::{Epoch, Fence, StaleEpoch};
pub use skew::Skew;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
