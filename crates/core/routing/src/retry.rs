//! The retry policy of a route (`RetryPolicy`). It can only forbid a retry: whether a further attempt is permitted and
//! worthwhile is up to the decision module.

use crate::Nanos;

/// The outcome of an attempt, as far as retry conditions distinguish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No connection was established, or it broke before the request was written.
    ConnectFailure,
    /// The connection broke, or the response could not be parsed.
    Reset,
    /// No response arrived within the timeout.
    TimedOut,
    /// The endpoint rejected the request without processing it.
    Overloaded,
    /// A response with this non-success status.
    Status(u16),
}

/// When a further attempt may be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retries {
    /// Maximum number of attempts after the first (`num_retries`; 1 if the policy does not set it).
    pub most: u32,
    /// Timeout of one attempt; 0: bounded only by the timeout of the request.
    pub per_try: Nanos,
    /// Retry conditions as a bit set of [`Retries::RESET`] and the other constants.
    pub on: u32,
    /// Status codes to retry on under [`Retries::CODES`] (`retriable_status_codes`).
    pub codes: Vec<u16>,
}

impl Retries {
    /// `connect-failure`.
    pub const CONNECT: u32 = 1;
    /// `reset`: no response at all was received.
    pub const RESET: u32 = 2;
    /// `5xx`: includes all other conditions except explicitly listed status codes.
    pub const SERVER: u32 = 4;
    /// `gateway-error`: 502, 503 and 504.
    pub const GATEWAY: u32 = 8;
    /// `retriable-4xx`: 409.
    pub const CONFLICT: u32 = 16;
    /// `retriable-status-codes`.
    pub const CODES: u32 = 32;
    /// `refused-stream`: rejected without processing.
    pub const REFUSED: u32 = 64;
    /// `reset-before-request`.
    pub const UNSENT: u32 = 128;

    /// Returns the bit of a `retry_on` condition, or `None` if the condition is unknown.
    pub fn condition(name: &str) -> Option<u32> {
        Some(match name {
            "5xx" => Self::SERVER,
            "gateway-error" => Self::GATEWAY,
            "reset" => Self::RESET,
            "reset-before-request" => Self::UNSENT,
            "connect-failure" => Self::CONNECT,
            "retriable-4xx" => Self::CONFLICT,
            "refused-stream" => Self::REFUSED,
            "retriable-status-codes" => Self::CODES,
            _ => return None,
        })
    }

    /// Returns `true` if a further attempt may follow `attempts` ones, of which the last finished one had the outcome
    /// `last`. `None` means that no attempt has finished, so that the further one is a hedged request.
    pub fn allow(&self, attempts: u32, last: Option<Ended>) -> bool {
        if attempts > self.most {
            return false;
        }
        let retries_on = |conditions: u32| self.on & conditions != 0;
        match last {
            None => true,
            Some(Ended::ConnectFailure) => {
                retries_on(Self::CONNECT | Self::UNSENT | Self::RESET | Self::SERVER | Self::GATEWAY)
            }
            Some(Ended::Reset | Ended::TimedOut) => retries_on(Self::RESET | Self::SERVER | Self::GATEWAY),
            Some(Ended::Overloaded) => retries_on(Self::REFUSED | Self::SERVER | Self::GATEWAY),
            Some(Ended::Status(status)) => {
                (500..600).contains(&status) && retries_on(Self::SERVER)
                    || (502..=504).contains(&status) && retries_on(Self::GATEWAY)
                    || status == 409 && retries_on(Self::CONFLICT)
                    || retries_on(Self::CODES) && self.codes.contains(&status)
            }
        }
    }
}
