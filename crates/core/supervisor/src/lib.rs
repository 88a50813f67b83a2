//! The hand on a machine, without the hand: which program a proxy's host has run, when it is replaced by a process of another one,
//! and when that is gone back from. [`Host`] is told what happens to processes and what is wanted, and says what to do. No I/O;
//! time is passed in.
//!
//! Processes are known by what the machine says of them and not by what was written down: a host that is killed finds them
//! again, and never starts a second one beside a first by mistake (`docs/design-host.md`).
#![forbid(unsafe_code)]

mod heartbeat;
mod process;
mod record;
mod report;
mod state_machine;
mod timeouts;

pub use heartbeat::Heartbeat;
pub use process::{FoundProcess, ProcessId};
pub use record::{FailedTarget, RecordError, SupervisorRecord, Target};
pub use report::{SupervisorReport, SupervisorReportError};
pub use state_machine::{Action, Supervisor};
pub use timeouts::{Timeouts, TimeoutsError};

/// A point in time or a span, in nanoseconds of a clock that is never set.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
