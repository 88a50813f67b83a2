//! Which proxies there are. Each process is an instance: a name, and a boot that tells it from the one before it under the
//! same name. [`Roster`] takes their reports and the ends of their streams, and says by evidence and time how each stands. No
//! I/O; time is passed in.
#![forbid(unsafe_code)]

mod membership;
mod report;
mod stats;

pub use membership::{
    Member, MemberRecord, MemberStatus, Membership, MembershipTimeouts, PreviousIncarnation, ReportOutcome,
};
pub use report::{RejectedConfig, Report, ReportError};
pub use stats::{bucket, upper, ClassStats, ProxyStats, BUCKETS};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
