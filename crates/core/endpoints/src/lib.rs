//! The list of cache nodes: its form on the wire ([`Members`]), its strict check ([`check_list`]), the versions a watch
//! goes through ([`Cursor`]), and which of several sources wins ([`Merge`]).
//!
//! Pure: no I/O, and time comes in as an argument.
#![forbid(unsafe_code)]

mod check;
mod cursor;
mod follow;
mod imposed;
mod member;
mod merge;
mod pins;
mod roll;
mod starts;

pub use check::{check_list, ListFault};
pub use cursor::{Answer, Cursor};
pub use follow::{Failure, Follow, Manner, Step, TOLD};
pub use imposed::Imposed;
pub use member::{Member, Members, NodeState};
pub use merge::{Changes, Merge, MergeLimits, News, Source, Stated, View};
pub use pins::{Pin, Pins};
pub use roll::Roll;
pub use starts::Starts;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
