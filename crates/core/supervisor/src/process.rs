//! A process as its supervisor sees it.

use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;

/// The identity of a process. A reused process id is distinguished by the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// The start time as the operating system counts it: a later process has a higher one.
    pub start: u64,
    /// The process id.
    pub pid: u32,
}

/// A process that a supervisor finds at startup: one that an earlier supervisor of the same folder started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundProcess {
    /// The identity.
    pub id: ProcessId,
    /// The program that it was started from.
    pub program: Digest,
}

/// The maximum age of the last heartbeat of a process that counts as serving.
const HEARTBEAT_FRESHNESS: Nanos = SECOND;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The process that serves.
    Main,
    /// The successor, which starts beside the one that serves, or is observed there.
    Trying,
    /// A process that was found, and that is neither: it is ended once another serves, or becomes the main one if none
    /// does.
    Stray,
    /// It was asked to end at this time.
    Ending(Nanos),
    /// It was killed at this time.
    Killed(Nanos),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Process {
    pub id: ProcessId,
    pub program: Digest,
    pub role: Role,
    /// When it was started, or found.
    pub started_at: Nanos,
    /// Since when it has been serving.
    pub serving_since: Option<Nanos>,
    /// From when its silence is counted: the last heartbeat, shifted by the time for which this supervisor was suspended.
    pub last_active: Nanos,
    /// The last heartbeat; `None`: this supervisor has received none.
    pub last_heartbeat: Option<Nanos>,
}

impl Process {
    pub fn new(id: ProcessId, program: Digest, role: Role, now: Nanos) -> Self {
        Process {
            id,
            program,
            role,
            started_at: now,
            serving_since: None,
            last_active: now,
            last_heartbeat: None,
        }
    }

    /// Whether it serves, by a recent heartbeat.
    pub fn is_serving(&self, now: Nanos) -> bool {
        self.serving_since.is_some()
            && self.last_heartbeat.is_some_and(|at| now.saturating_sub(at) < HEARTBEAT_FRESHNESS)
    }
}
