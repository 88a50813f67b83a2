//! How the processes of one proxy share its resource limits.

/// One process's share of the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShare {
    /// File descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
}

impl ResourceShare {
    /// The share that an incumbent keeps while a successor starts: half.
    pub fn incumbent_share(self) -> ResourceShare {
        ResourceShare { sockets: self.sockets / 2, memory: self.memory / 2 }
    }

    /// The share left for a successor: the limits without the incumbent's share `kept`, or without its `open_sockets` if
    /// these are more. Danger: the incumbent closes no connection during a request, so for a moment it may have more
    /// sockets open than its share allows.
    pub fn beside(self, kept: ResourceShare, open_sockets: usize) -> ResourceShare {
        ResourceShare {
            sockets: self.sockets.saturating_sub(kept.sockets.max(open_sockets)),
            memory: self.memory.saturating_sub(kept.memory),
        }
    }
}
