//! Backoff between connection attempts: exponential up to a maximum, with jitter.

use crate::Nanos;

/// When to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The delay, in nanoseconds.
    pub wait: Nanos,
}

/// The longest wait after a server answered that it is in standby: 0.4 s, in nanoseconds.
const MAX_STANDBY_WAIT: Nanos = 400_000_000;

/// The state of the backoff.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Nanos,
    cap: Nanos,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff that doubles from `base` up to `cap`, in nanoseconds.
    pub fn new(base: Nanos, cap: Nanos) -> Self {
        Backoff { base: base.max(1), cap: cap.max(base).max(1), failures: 0 }
    }

    /// Resets the backoff after an answer on a stream. Danger: a server that accepts connections and breaks them at
    /// once must not reset it.
    pub fn worked(&mut self) {
        self.failures = 0;
    }

    /// The delay after a server answered that it is in standby. Danger: during a failover the backoff would grow up
    /// to its cap, and the new leader would wait for its subscribers; without any growth the whole fleet would
    /// reconnect all the time.
    pub fn stands_by(&mut self, random: f64) -> Retry {
        let retry = self.failed(random);
        Retry { wait: retry.wait.min(MAX_STANDBY_WAIT) }
    }

    /// The delay after a failed attempt or a broken stream. Half of it is random, so that a fleet that lost its
    /// server does not reconnect all at once.
    pub fn failed(&mut self, random: f64) -> Retry {
        let wait = self.base.saturating_mul(1 << self.failures.min(32)).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        Retry { wait: wait / 2 + ((wait / 2) as f64 * random.clamp(0.0, 1.0)) as Nanos }
    }
}
