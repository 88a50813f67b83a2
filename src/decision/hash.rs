//! Hash functions that give the same results at every proxy, and the pseudo-random numbers of one proxy.

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub(super) fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number greater than 0 and at most 1.
pub(super) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// SplitMix64, the module's only source of randomness.
#[derive(Default)]
pub(super) struct Rng {
    pub(super) state: u64,
}

impl Rng {
    pub(super) fn seeded(seed: u64) -> Self {
        Rng { state: seed }
    }

    /// The next random number, uniform, greater than 0 and at most 1.
    pub(super) fn next_unit(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(mix64(self.state))
    }
}
