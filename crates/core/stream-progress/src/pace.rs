//! A slow peer is told from one that has stopped by its progress.

use crate::{Nanos, SECOND};

/// How slow a peer may be.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest without a byte.
    pub silent: Nanos,
    /// From then on the mean must hold: a slow start costs nothing.
    pub start: Nanos,
    /// Least mean, in bytes a second; 0: any.
    pub rate: u64,
}

/// The progress of one message in one direction.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    since: Nanos,
    last: Nanos,
    bytes: u64,
}

impl Pace {
    /// It begins.
    pub fn new(now: Nanos) -> Self {
        Pace { since: now, last: now, bytes: 0 }
    }

    /// So many bytes have come, or gone.
    pub fn moved(&mut self, now: Nanos, bytes: usize) {
        self.last = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// How many bytes so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// When the peer will have stopped, if not a byte more comes.
    pub fn due(&self, patience: &Patience) -> Nanos {
        let silent = self.last.saturating_add(patience.silent);
        let Some(earned) = self.bytes.saturating_mul(SECOND).checked_div(patience.rate) else {
            return silent;
        };
        silent.min(self.since.saturating_add(patience.start).saturating_add(earned))
    }

    /// Whether the peer has stopped, or is slower than any that is well. Danger: one that sends a byte now and then would hold
    /// its place for good.
    pub fn stopped(&self, now: Nanos, patience: &Patience) -> bool {
        now >= self.due(patience)
    }
}
