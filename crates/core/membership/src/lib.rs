//! Which proxies there are. Each process is an instance: a name, and a boot that tells it from the one before it under the
//! same name. [`Roster`] takes their reports and the ends of their streams, and says by evidence and time how each stands. No
//! I/O; time is passed in.
#![forbid(unsafe_code)]

mod figures;
mod report;
mod roster;

pub use figures::{bucket, upper, ClassFigures, Figures, BUCKETS};
pub use report::{Refused, Report, ReportError};
pub use roster::{Heard, Instance, Roster, Standing, Terms, Told, Was};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
