//! What the processes of one proxy may hold together.

/// A part of the proxy's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShare {
    /// File descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
}

impl ResourceShare {
    /// The part that an old process keeps while a new one comes up: half.
    pub fn kept(self) -> ResourceShare {
        ResourceShare { sockets: self.sockets / 2, memory: self.memory / 2 }
    }

    /// What is left of the limits beside what the old process keeps, or still holds if that is more. Danger: it closes
    /// nothing under a request, so for a moment it may hold more than it keeps.
    pub fn beside(self, kept: ResourceShare, held: usize) -> ResourceShare {
        ResourceShare {
            sockets: self.sockets.saturating_sub(kept.sockets.max(held)),
            memory: self.memory.saturating_sub(kept.memory),
        }
    }
}
