//! A process as its host knows it.

use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;

/// One process. A number that the machine gives out again is told from the first by its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// When it was started, by the machine's own count: the later of two has the higher one.
    pub start: u64,
    /// Its number.
    pub pid: u32,
}

/// A process that a host finds when it starts: one that an earlier host of the same folder has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundProcess {
    /// Which.
    pub id: ProcessId,
    /// The program that it was started as.
    pub program: Digest,
}

/// A process that was heard within this time has not fallen silent.
const FRESH: Nanos = SECOND;

/// What a process is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It serves.
    Main,
    /// It comes up beside the one that serves, or is watched there.
    Trying,
    /// It was found, and nobody knows how it came to run: it is told to end once another serves, or serves itself.
    Stray,
    /// It was told to end at this time.
    Ending(Nanos),
    /// It was killed at this time.
    Killed(Nanos),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Proc {
    pub id: ProcessId,
    pub program: Digest,
    pub role: Role,
    /// When it was started, or found.
    pub began: Nanos,
    /// Since when it says yes.
    pub yes: Option<Nanos>,
    /// From when its silence counts: when it was heard last, and no time in which this host was stopped itself.
    pub heard: Nanos,
    /// When it was heard last; `None`: never by this host.
    pub pulse: Option<Nanos>,
}

impl Proc {
    pub fn new(id: ProcessId, program: Digest, role: Role, now: Nanos) -> Self {
        Proc { id, program, role, began: now, yes: None, heard: now, pulse: None }
    }

    /// It serves, by its own word of just now.
    pub fn serves(&self, now: Nanos) -> bool {
        self.yes.is_some() && self.pulse.is_some_and(|at| now.saturating_sub(at) < FRESH)
    }
}
