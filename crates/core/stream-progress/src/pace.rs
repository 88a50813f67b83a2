//! Distinguishes slow peers from stalled ones by their progress.

use crate::{Nanos, SECOND};

/// The minimum progress required of a peer.
#[derive(Clone, Copy, Debug)]
pub struct ProgressLimits {
    /// Maximum time without any bytes.
    pub max_silence: Nanos,
    /// Grace period at the beginning of a message, which does not count towards the mean rate.
    pub grace: Nanos,
    /// Minimum mean rate, in bytes per second; 0: no minimum.
    pub min_rate: u64,
}

/// The progress of one message, received or sent.
#[derive(Clone, Copy, Debug)]
pub struct ProgressTracker {
    began_at: Nanos,
    last_progress_at: Nanos,
    bytes: u64,
}

impl ProgressTracker {
    /// Starts tracking a message that begins at `now`.
    pub fn new(now: Nanos) -> Self {
        ProgressTracker { began_at: now, last_progress_at: now, bytes: 0 }
    }

    /// Records that `bytes` more were received or sent.
    pub fn record(&mut self, now: Nanos, bytes: usize) {
        self.last_progress_at = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// The number of bytes transferred so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The time at which the peer counts as stalled unless further bytes are transferred.
    pub fn stalled_at(&self, patience: &ProgressLimits) -> Nanos {
        let silence_limit = self.last_progress_at.saturating_add(patience.max_silence);
        let Some(time_at_min_rate) = self.bytes.saturating_mul(SECOND).checked_div(patience.min_rate) else {
            return silence_limit;
        };
        silence_limit.min(self.began_at.saturating_add(patience.grace).saturating_add(time_at_min_rate))
    }

    /// Whether the peer has been silent for too long, or its mean rate is below the minimum. Danger: without a minimum rate, a
    /// peer that sends single bytes from time to time would occupy its slot forever.
    pub fn is_stalled(&self, now: Nanos, patience: &ProgressLimits) -> bool {
        now >= self.stalled_at(patience)
    }
}
