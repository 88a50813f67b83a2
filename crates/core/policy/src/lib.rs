//! A change of policy that takes hold everywhere or nowhere (`docs/design-policy.md`). [`Coordinator`] is the leader's side: the
//! record in the store, who may still act by what, and when a change is decided. [`Member`] is a proxy's side: what it acts by now,
//! and for how long without word. [`meet`] is what a proxy obeys between old and new. No I/O; time is passed in.
#![forbid(unsafe_code)]

mod body;
mod coordinator;
mod field;
mod imposed;
mod meet;
mod member;
mod record;
mod shelf;
mod told;
mod word;

pub use body::{Floor, Policy, PolicyError};
pub use coordinator::{Coordinator, Holdup, Terms};
pub use field::{order, Order};
pub use imposed::{impose, Imposed};
pub use meet::{looser, meet, Met, Stop};
pub use member::{Acting, Handed, Member, Unanswered};
pub use record::{Change, Ended, Event, Number, Phase, Record, Refusal, Revision};
pub use shelf::{Shelf, Unfit};
pub use told::{Holding, HoldingError};
pub use word::{Ask, Boot, Grant, Told, WordError};

/// A point in time or a span, in nanoseconds, on a steady clock that counts while the machine is suspended.
pub type Nanos = u64;
