//! The traffic of this proxy: counts whose past fades.

use super::*;

/// Memory of traffic counts, in seconds.
pub(super) const MEMORY_S: f64 = 16.0;
/// Memory of what was served, in seconds.
pub(super) const SERVED_S: f64 = 2.0;

/// A count whose past fades.
#[derive(Clone, Copy, Default)]
pub(super) struct Fading {
    pub(super) sum: f64,
    pub(super) at: Nanos,
}

impl Fading {
    pub(super) fn add(&mut self, now: Nanos, memory_s: f64) {
        let passed = now.saturating_sub(self.at) as f64 / SECOND as f64;
        *self = Fading { sum: self.sum * (-passed / memory_s).exp() + 1.0, at: now };
    }
}

impl Balancer {
    /// This proxy's requests a second, lately.
    pub(super) fn rate(&self, now: Nanos) -> f64 {
        let up = now.saturating_sub(self.started.unwrap_or(now)) as f64 / SECOND as f64;
        self.count.sum / (MEMORY_S * (1.0 - (-up.max(0.5) / MEMORY_S).exp()))
    }
}
