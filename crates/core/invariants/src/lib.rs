//! The rules that a proxy must keep whenever it sends, repeats, closes or starts serving, each decided in one place: callers
//! state what they know at that moment and ask. The same rules are checked again on what was in fact done, with the slack that
//! they allow; what breaks one there is a [`Violation`], which is counted while the proxy runs.
//!
//! No I/O and no clock: times are nanoseconds of any monotonic clock that the caller goes by.
#![forbid(unsafe_code)]

mod close;
mod label;
mod send;
mod serve;
mod violation;

pub use close::{check_closed, may_close, CloseCause, ConnectionFacts, Owed};
pub use label::Label;
pub use send::{check_sent, may_send, NodeStanding, RequestState, SendDenied, SendFacts, Sent};
pub use serve::{check_said_serving, may_serve, NotReady, ServeFacts};
pub use violation::Violation;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
