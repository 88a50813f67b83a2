//! What may still be spent of something that is earned with time.

use super::api::Nanos;

const SECOND: f64 = 1e9;

/// So much is left, and when that was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// Below 0: spent in advance.
    pub left: f64,
    /// Time on the one clock.
    pub at: Nanos,
}

impl Allowance {
    /// One, from before all time.
    pub const ONE: Allowance = Allowance { left: 1.0, at: 0 };

    /// Adds what has been earned at `rate` a second since it was last counted, up to `most`; returns what is
    /// left now. Time that goes back earns nothing.
    pub fn earn(&mut self, now: Nanos, rate: f64, most: f64) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / SECOND;
        *self = Allowance { left: (self.left + passed * rate).min(most), at: now };
        self.left
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_earns_with_time_up_to_its_most_and_nothing_when_time_goes_back() {
        let mut allowance = Allowance { left: -1.0, at: 0 };
        assert_eq!(allowance.earn(1_000_000_000, 0.5, 2.0), -0.5);
        assert_eq!(allowance.earn(500_000_000, 0.5, 2.0), -0.5);
        assert_eq!(allowance.earn(100_000_000_000, 0.5, 2.0), 2.0);
    }
}
