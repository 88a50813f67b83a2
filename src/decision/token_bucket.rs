//! A token bucket: an allowance that refills with time and is spent request by request.

use super::api::Nanos;

const NANOS_PER_SECOND: f64 = 1e9;

/// The tokens left in a bucket, and when they were last counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    /// Tokens left; negative if some were spent in advance.
    pub tokens: f64,
    /// Time of the last refill, on the caller's clock.
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// One token, last refilled at the beginning of time.
    pub const ONE_TOKEN: TokenBucket = TokenBucket { tokens: 1.0, refilled_at: 0 };

    /// Adds the tokens accrued at `rate` per second since the last refill, up to `capacity`, and returns the
    /// tokens left. A clock that goes backwards accrues nothing.
    pub fn refill(&mut self, now: Nanos, rate: f64, capacity: f64) -> f64 {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        *self = TokenBucket { tokens: (self.tokens + elapsed_s * rate).min(capacity), refilled_at: now };
        self.tokens
    }
}
