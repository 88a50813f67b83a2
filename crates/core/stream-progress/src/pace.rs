//! Tells a slow peer from a stalled one by its progress.

use crate::{Nanos, SECOND};

/// Limits on how slow a peer may be.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest time without a byte.
    pub silent: Nanos,
    /// Grace period after the beginning, in which the mean rate is not required: a slow start costs nothing.
    pub start: Nanos,
    /// Minimum mean rate, in bytes per second; 0 means no minimum.
    pub rate: u64,
}

/// The progress of one message in one direction.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    began_at: Nanos,
    last_progress_at: Nanos,
    bytes: u64,
}

impl Pace {
    /// Starts tracking a message that begins at `now`.
    pub fn new(now: Nanos) -> Self {
        Pace { began_at: now, last_progress_at: now, bytes: 0 }
    }

    /// Records that `bytes` more were received or sent.
    pub fn moved(&mut self, now: Nanos, bytes: usize) {
        self.last_progress_at = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// Number of bytes so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Time at which the peer counts as stalled unless further bytes are transferred.
    pub fn due(&self, patience: &Patience) -> Nanos {
        let silent_until = self.last_progress_at.saturating_add(patience.silent);
        let Some(earned_time) = self.bytes.saturating_mul(SECOND).checked_div(patience.rate) else {
            return silent_until;
        };
        silent_until.min(self.began_at.saturating_add(patience.start).saturating_add(earned_time))
    }

    /// Whether the peer is silent for too long, or slower than any healthy peer. Danger: without the minimum rate, a peer that
    /// sends a byte now and then would hold its slot forever.
    pub fn stopped(&self, now: Nanos, patience: &Patience) -> bool {
        now >= self.due(patience)
    }
}
