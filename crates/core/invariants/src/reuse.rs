//! Decides when a connection to an endpoint may carry another request.
//!
//! A response of HTTP/1.1 does not name its request. If an endpoint sends a response that no request asked for, such as a second
//! copy of the last one, that response is taken for the response to whichever request is outstanding when it arrives: a client
//! gets another's response, or a miss or a rejection counts as proof that a request did not run. Once the next request is
//! written, nothing tells the two apart. So a connection rests between two requests, for longer than such a response takes to
//! arrive, and is closed if anything arrives meanwhile.

use crate::{Nanos, MILLISECOND};

/// Minimum rest between two requests, whatever the endpoints have sent so far.
pub const MIN_REST: Nanos = 20 * MILLISECOND;
/// Rest until enough responses were followed by silence.
pub const PROBATION_REST: Nanos = 100 * MILLISECOND;
/// Number of responses that have to be followed by silence for [`PROBATION_REST`] before the rest is shortened to [`MIN_REST`].
const SILENT_RESPONSES: u32 = 20;
/// Rest as a multiple of the longest delay at which an unsolicited response has arrived.
const REST_PER_DELAY: Nanos = 4;
/// Maximum rest.
const MAX_REST: Nanos = 1_000 * MILLISECOND;
/// How long an unsolicited response is remembered.
const MEMORY: Nanos = 30_000 * MILLISECOND;

/// What followed the responses of a group of endpoints, and so how long their connections rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHistory {
    /// The longest delay of an unsolicited response behind the previous response, and when it is forgotten; `None`: there was none.
    longest: Option<(Nanos, Nanos)>,
    /// Responses that were followed by silence, since the last unsolicited one.
    silent: u32,
}

/// Returns the rest that is long enough for unsolicited responses with this delay.
fn rest_behind(delay: Nanos) -> Nanos {
    delay.saturating_mul(REST_PER_DELAY).min(MAX_REST)
}

/// How long a connection rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// Rest that is required between two requests.
    pub required: Nanos,
    /// How long a request should wait for a connection that still rests rather than open a new one.
    pub max_wait: Nanos,
}

impl ResponseHistory {
    /// Records that an unsolicited response arrived `delay` after the previous response. What was silence for [`MIN_REST`] proves nothing
    /// any more if that rest is too short for such a delay.
    pub fn record_unsolicited(&mut self, now: Nanos, delay: Nanos) {
        let longest = self.remembered(now).map_or(delay, |known| known.max(delay));
        self.longest = Some((longest, now.saturating_add(MEMORY)));
        if rest_behind(delay) > MIN_REST {
            self.silent = 0;
        }
    }

    /// Records that nothing followed a response for as long as its connection has rested.
    pub fn record_silence(&mut self, rested: Nanos) {
        if rested >= PROBATION_REST {
            self.silent = self.silent.saturating_add(1);
        }
    }

    /// Returns how long a connection rests before it carries another request.
    pub fn rest(&self, now: Nanos) -> Rest {
        let usual = if self.silent < SILENT_RESPONSES { PROBATION_REST } else { MIN_REST };
        match self.remembered(now) {
            None => Rest { required: usual, max_wait: usual },
            Some(delay) => Rest { required: usual.max(rest_behind(delay)), max_wait: MIN_REST },
        }
    }

    fn remembered(&self, now: Nanos) -> Option<Nanos> {
        self.longest.filter(|(_, forgotten_at)| now < *forgotten_at).map(|(delay, _)| delay)
    }
}

/// The facts about a connection that is kept, when the next request is to be sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseFacts {
    /// The connection has ended, or bytes have arrived since its last response.
    pub has_input: bool,
    /// Time since its last response.
    pub rested: Nanos,
    /// Rest that is required between two requests.
    pub required_rest: Nanos,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Now.
    Now,
    /// After this time, if nothing arrives until then.
    After(Nanos),
    /// Never: it has to be closed.
    Never,
}

/// Decides whether a connection that is kept may carry another request.
pub fn may_reuse(facts: &ReuseFacts) -> Reuse {
    if facts.has_input {
        return Reuse::Never;
    }
    match facts.required_rest.saturating_sub(facts.rested) {
        0 => Reuse::Now,
        remaining => Reuse::After(remaining),
    }
}
