//! How far other machines' clocks are from this process's.

use std::sync::atomic::{AtomicI64, Ordering};

/// A signed number that one thread updates and any thread may read.
#[derive(Debug, Default)]
pub struct SignedGauge(AtomicI64);

impl SignedGauge {
    /// Current value.
    pub fn get(&self) -> i64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets the value.
    pub fn set(&self, value: i64) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// How far other clocks are ahead of this process's, in milliseconds; 0: unknown, or they agree.
#[derive(Debug, Default)]
pub struct ClockOffsets {
    /// The clock by which discovery tells when nodes started.
    pub discovery: SignedGauge,
    /// The control service's clock, by which overrides end.
    pub control: SignedGauge,
}
