//! Waits between attempts to connect: they double up to a cap, with jitter.

use crate::Nanos;

/// When to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// After this time, in nanoseconds.
    pub wait: Nanos,
}

/// The longest wait after a server that stands by.
const STANDBY_MOST: Nanos = 400_000_000;

/// The state of the waits.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Nanos,
    cap: Nanos,
    failures: u32,
}

impl Backoff {
    /// From `base` doubling up to `cap`, in nanoseconds.
    pub fn new(base: Nanos, cap: Nanos) -> Self {
        Backoff { base: base.max(1), cap: cap.max(base).max(1), failures: 0 }
    }

    /// A stream has brought something. Danger: a server that accepts and breaks at once must not reset the waits.
    pub fn worked(&mut self) {
        self.failures = 0;
    }

    /// A server that stands by for another said so. Danger: while one takes over from another the waits would double up to
    /// their cap, and the new leader would wait for its subscribers; without any growth a fleet would come every moment.
    pub fn stands_by(&mut self, random: f64) -> Retry {
        let retry = self.failed(random);
        Retry { wait: retry.wait.min(STANDBY_MOST) }
    }

    /// An attempt failed, or a stream broke. Half of the wait is chance, so that a fleet that lost its server doesn't
    /// come back as one.
    pub fn failed(&mut self, random: f64) -> Retry {
        let most = self.base.saturating_mul(1 << self.failures.min(32)).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        Retry { wait: most / 2 + ((most / 2) as f64 * random.clamp(0.0, 1.0)) as Nanos }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_double_up_to_the_cap_and_are_half_chance() {
        let mut b = Backoff::new(100, 1000);
        let waits: Vec<Nanos> = (0..6).map(|_| b.failed(1.0).wait).collect();
        assert_eq!(waits, [100, 200, 400, 800, 1000, 1000]);
        assert_eq!(b.failed(0.0).wait, 500);
        b.worked();
        assert_eq!(b.failed(0.5).wait, 75);
        (0..100).for_each(|_| assert!(b.failed(1.0).wait <= 1000));
    }
}
