//! The proxies that report to a control service, with the status of each.
//!
//! Each process is a member with a name, and an incarnation that distinguishes it from earlier processes of that name. [`Membership`]
//! takes the reports and the ends of their streams, and derives the status of each member from these and the time. No I/O; the time is
//! passed in.
#![forbid(unsafe_code)]

mod membership;
mod report;
mod stats;

pub use membership::{
    Member, MemberRecord, MemberStatus, Membership, MembershipTimeouts, PreviousIncarnation, ReportOutcome,
};
pub use report::{RejectedConfig, Report, ReportError};
pub use stats::{bucket, upper, ClassStats, ProxyStats, BUCKETS};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
