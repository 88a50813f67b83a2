//! Invariants that the proxy upholds whenever it sends or retries an attempt, closes a connection or reports that it serves.
//!
//! Before an action, the caller passes the facts known at that moment to a `may_*` function, which decides whether the action
//! is permitted. After the action, a `check_*` function applies the same rules, with some slack, to what was actually done; a
//! breach is a [`Violation`], which is counted in metrics.
//!
//! The crate does no I/O and reads no clock: times are nanoseconds of any monotonic clock that the caller uses.
#![forbid(unsafe_code)]

mod close;
mod label;
mod reuse;
mod send;
mod serve;
mod violation;

pub use close::{check_closed, may_close, CloseCause, ConnectionFacts, Outstanding};
pub use label::Label;
pub use reuse::{may_reuse, ResponseHistory, Rest, Reuse, ReuseFacts, MIN_REST, PROBATION_REST};
pub use send::{check_sent, may_send, NodeStanding, RequestState, SendDenied, SendFacts, SentAttempt};
pub use serve::{check_reported_serving, may_serve, NotReady, ServeFacts};
pub use violation::Violation;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
