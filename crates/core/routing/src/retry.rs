//! What a route says of repeated attempts (`RetryPolicy`). It can only forbid: whether another attempt is lawful and worth it
//! the decision module says.

use crate::Nanos;

/// How an attempt ended, as far as a policy tells ends apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No connection came up, or it broke before the request was written.
    ConnectFailure,
    /// The connection broke, or what came could not be read.
    Reset,
    /// Nothing came in time.
    TimedOut,
    /// The node turned it away unseen.
    Overloaded,
    /// An answer of this status that is no success.
    Status(u16),
}

/// When another attempt may be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retries {
    /// So many attempts beside the first (`num_retries`; 1 where a policy doesn't tell).
    pub most: u32,
    /// An attempt ends after this time; 0: when the request's time is over.
    pub per_try: Nanos,
    /// Bits of [`Retries::RESET`] and the others.
    pub on: u32,
    /// `retriable_status_codes`.
    pub codes: Vec<u16>,
}

impl Retries {
    /// `connect-failure`.
    pub const CONNECT: u32 = 1;
    /// `reset`: no answer at all came.
    pub const RESET: u32 = 2;
    /// `5xx`, which holds all of the others but codes named.
    pub const SERVER: u32 = 4;
    /// `gateway-error`: 502, 503 and 504.
    pub const GATEWAY: u32 = 8;
    /// `retriable-4xx`: 409.
    pub const CONFLICT: u32 = 16;
    /// `retriable-status-codes`.
    pub const CODES: u32 = 32;
    /// `refused-stream`: turned away unseen.
    pub const REFUSED: u32 = 64;
    /// `reset-before-request`.
    pub const UNSENT: u32 = 128;

    /// The bit of a condition's name; `None`: it isn't known here.
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

    /// Whether another attempt may follow `made` ones, of which the last that ended did so as told. `None`: none has ended,
    /// so this would be a second copy.
    pub fn allow(&self, made: u32, last: Option<Ended>) -> bool {
        if made > self.most {
            return false;
        }
        let on = |bits: u32| self.on & bits != 0;
        match last {
            None => true,
            Some(Ended::ConnectFailure) => {
                on(Self::CONNECT | Self::UNSENT | Self::RESET | Self::SERVER | Self::GATEWAY)
            }
            Some(Ended::Reset | Ended::TimedOut) => on(Self::RESET | Self::SERVER | Self::GATEWAY),
            Some(Ended::Overloaded) => on(Self::REFUSED | Self::SERVER | Self::GATEWAY),
            Some(Ended::Status(status)) => {
                (500..600).contains(&status) && on(Self::SERVER)
                    || (502..=504).contains(&status) && on(Self::GATEWAY)
                    || status == 409 && on(Self::CONFLICT)
                    || on(Self::CODES) && self.codes.contains(&status)
            }
        }
    }
}
