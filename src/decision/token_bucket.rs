//! Token buckets: allowances that refill over time and are spent request by request.

use super::api::Nanos;

const NANOS_PER_SECOND: f64 = 1e9;

/// A token bucket; its rate and capacity are given with each refill.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    /// Tokens left; negative if some were spent in advance.
    pub tokens: f64,
    /// Time of the last refill, on the caller's clock.
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// One token, last refilled at time 0.
    pub const ONE_TOKEN: TokenBucket = TokenBucket { tokens: 1.0, refilled_at: 0 };

    /// Adds the tokens accrued at `rate` per second since the last refill, up to `capacity`, and returns the
    /// tokens left. If the clock went backwards, none are added.
    pub fn refill(&mut self, now: Nanos, rate: f64, capacity: f64) -> f64 {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        *self = TokenBucket { tokens: (self.tokens + elapsed_s * rate).min(capacity), refilled_at: now };
        self.tokens
    }
}
