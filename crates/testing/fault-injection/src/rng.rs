//! Chance that is the same in every run of a seed.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Draws that depend on the seed and on what they are for, and on nothing that was drawn before. Danger: with one
/// sequence for all, whichever connection the kernel served first would get the first draw.
#[derive(Clone, Copy, Debug)]
pub struct RuleRng {
    seed: u64,
}

impl RuleRng {
    /// Draws of this seed.
    pub fn new(seed: u64) -> Self {
        RuleRng { seed }
    }

    /// For a connection of a listener, by its ordinal.
    pub(crate) fn of(self, listener: &str, ordinal: u64) -> RuleRng {
        RuleRng { seed: self.hash(listener, ordinal) }
    }

    /// The `n`-th draw under this name.
    pub fn draw(self, name: &str, n: u64) -> u64 {
        self.hash(name, n)
    }

    /// The same, from 0 up to 1.
    pub fn part(self, name: &str, n: u64) -> f64 {
        (self.draw(name, n) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn hash(self, name: &str, n: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0x7275_7368_7175_6179);
        hasher.write_u64(n);
        hasher.write(name.as_bytes());
        hasher.finish()
    }
}
