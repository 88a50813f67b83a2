//! The retry policy of a route (`RetryPolicy`). It can only forbid a retry: the decision module determines whether a
//! further attempt is safe and worthwhile.

use crate::Nanos;

/// The outcome of an attempt, as far as retry conditions distinguish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTrigger {
    /// No connection was established, or it was lost before the request was written.
    ConnectFailure,
    /// The connection was lost, or the response could not be parsed.
    Reset,
    /// No response arrived within the timeout.
    TimedOut,
    /// The endpoint rejected the request without processing it.
    Overloaded,
    /// A response with this non-success status.
    Status(u16),
}

/// The conditions under which a further attempt may be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryRules {
    /// Maximum number of attempts after the first (`num_retries`; 1 if the policy does not set it).
    pub max_retries: u32,
    /// Timeout of one attempt; 0: limited only by the timeout of the request.
    pub per_try: Nanos,
    /// Retry conditions as a bit set of [`RetryRules::RESET`] and the other constants.
    pub conditions: u32,
    /// Status codes to retry on under [`RetryRules::CODES`] (`retriable_status_codes`).
    pub codes: Vec<u16>,
}

impl RetryRules {
    /// `connect-failure`: the outcome [`RetryTrigger::ConnectFailure`].
    pub const CONNECT_FAILURE: u32 = 1;
    /// `reset`: no response at all was received.
    pub const RESET: u32 = 2;
    /// `5xx`: includes all other conditions except `retriable-4xx` and `retriable-status-codes`.
    pub const ANY_5XX: u32 = 4;
    /// `gateway-error`: 502, 503 and 504.
    pub const GATEWAY_ERROR: u32 = 8;
    /// `retriable-4xx`: 409.
    pub const RETRIABLE_4XX: u32 = 16;
    /// `retriable-status-codes`: the status is in [`RetryRules::codes`].
    pub const CODES: u32 = 32;
    /// `refused-stream`: the endpoint rejected the request without processing it.
    pub const REFUSED_STREAM: u32 = 64;
    /// `reset-before-request`: here the same as `connect-failure`.
    pub const RESET_BEFORE_REQUEST: u32 = 128;

    /// Returns the bit of a `retry_on` condition, or `None` if the condition is unknown.
    pub fn condition(name: &str) -> Option<u32> {
        Some(match name {
            "5xx" => Self::ANY_5XX,
            "gateway-error" => Self::GATEWAY_ERROR,
            "reset" => Self::RESET,
            "reset-before-request" => Self::RESET_BEFORE_REQUEST,
            "connect-failure" => Self::CONNECT_FAILURE,
            "retriable-4xx" => Self::RETRIABLE_4XX,
            "refused-stream" => Self::REFUSED_STREAM,
            "retriable-status-codes" => Self::CODES,
            _ => return None,
        })
    }

    /// Returns `true` if a further attempt may be made after `attempts` attempts. `last` is the outcome of the attempt that
    /// finished last; `None` if none has finished, in which case the further attempt is a hedged request.
    pub fn allow(&self, attempts: u32, last: Option<RetryTrigger>) -> bool {
        if attempts > self.max_retries {
            return false;
        }
        let retries_on = |conditions: u32| self.conditions & conditions != 0;
        match last {
            None => true,
            Some(RetryTrigger::ConnectFailure) => retries_on(
                Self::CONNECT_FAILURE
                    | Self::RESET_BEFORE_REQUEST
                    | Self::RESET
                    | Self::ANY_5XX
                    | Self::GATEWAY_ERROR,
            ),
            Some(RetryTrigger::Reset | RetryTrigger::TimedOut) => {
                retries_on(Self::RESET | Self::ANY_5XX | Self::GATEWAY_ERROR)
            }
            Some(RetryTrigger::Overloaded) => {
                retries_on(Self::REFUSED_STREAM | Self::ANY_5XX | Self::GATEWAY_ERROR)
            }
            Some(RetryTrigger::Status(status)) => {
                (500..600).contains(&status) && retries_on(Self::ANY_5XX)
                    || (502..=504).contains(&status) && retries_on(Self::GATEWAY_ERROR)
                    || status == 409 && retries_on(Self::RETRIABLE_4XX)
                    || retries_on(Self::CODES) && self.codes.contains(&status)
            }
        }
    }
}
