//! How the processes of one proxy share its resource limits.

/// A part of the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShare {
    /// File descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
}

impl ResourceShare {
    /// The part that an incumbent keeps while a successor starts: half.
    pub fn kept(self) -> ResourceShare {
        ResourceShare { sockets: self.sockets / 2, memory: self.memory / 2 }
    }

    /// What is left of the limits beside what the incumbent keeps, or still holds if that is more. Danger: it closes
    /// no connection under a request, so for a moment it may hold more than it keeps.
    pub fn beside(self, kept: ResourceShare, held: usize) -> ResourceShare {
        ResourceShare {
            sockets: self.sockets.saturating_sub(kept.sockets.max(held)),
            memory: self.memory.saturating_sub(kept.memory),
        }
    }
}
