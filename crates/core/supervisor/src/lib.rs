//! The supervisor of a proxy as a state machine: which program runs, when it is replaced by a process of another one,
//! and when that is rolled back. [`Supervisor`] receives process events and the wanted target, and returns the
//! actions to take. No I/O; time is passed in.
//!
//! Running processes are identified by what the operating system reports, not by a persisted list: after a supervisor
//! was killed, the next one finds them again and never starts a duplicate by mistake (`docs/design-host.md`).
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

/// A point in time or a duration, in nanoseconds of a monotonic clock.
pub type Nanos = u64;

/// Nanoseconds per second.
pub const SECOND: Nanos = 1_000_000_000;
