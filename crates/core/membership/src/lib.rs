//! Tracks the proxies that report to a control service.
//!
//! Each proxy is a member, identified by its name. Its incarnation distinguishes the present process from earlier ones of that name.
//! [`Membership`] processes the members' reports and the ends of the streams on which they arrive, and derives the status of each member
//! from these and the time. The crate does no I/O and reads no clock: the time is passed in.
#![forbid(unsafe_code)]

mod membership;
mod report;
mod stats;

pub use membership::{
    Member, MemberRecord, MemberStatus, Membership, MembershipTimeouts, PreviousIncarnation, ReportOutcome,
};
pub use report::{RejectedConfig, Report, ReportError};
pub use stats::{bucket, bucket_upper_edge, ClassStats, ProxyStats, BUCKETS};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
