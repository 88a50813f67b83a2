//! The schedule of calls to discovery: when to call, and how long to wait for a response. Every such wait comes from
//! here.
//!
//! The time budget is explained in `docs/design-lifecycles.md`.

use crate::Nanos;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// A change must be known within this time after discovery had it and could be reached, whatever failed meanwhile
/// (PROTOCOL).
pub const NOTIFICATION_DEADLINE: Nanos = 6 * SECOND;
/// A discovery that serves a whole fleet may leave a call in its queue for two seconds before it rejects it
/// (PROTOCOL). To hang up just before that would give up the place in the queue.
const RESPONSE_TIMEOUT: Nanos = 2_050 * MS;
/// The longest wait of a watch. A shorter one costs a discovery shared by the fleet more calls; a longer one that
/// fails as it begins leaves too little of [`NOTIFICATION_DEADLINE`] for what follows.
const MAX_HOLD: Nanos = 3 * SECOND;
/// The shortest wait of a watch.
const MIN_HOLD: Nanos = 200 * MS;
/// The random part of a watch's wait, so that a fleet whose watches began together does not renew them together.
const HOLD_JITTER: f64 = 0.25;
/// A watch that is not answered within this time after its wait counts as silent.
const WATCH_GRACE: Nanos = 500 * MS;
/// After a broken watch the next call comes within this time: at once for one proxy, not in step for a fleet.
const MAX_RENEWAL_DELAY: Nanos = 100 * MS;
/// The backoff between failed calls doubles from the initial to the maximal. Danger: two calls in a row may find
/// discovery full, and both, their waits and the third have to fit into [`NOTIFICATION_DEADLINE`].
const INITIAL_BACKOFF: Nanos = 400 * MS;
const MAX_BACKOFF: Nanos = 1_200 * MS;
/// Bounds the doubling, so that the factor does not overflow.
const MAX_DOUBLINGS: u32 = 16;
/// The least part of a backoff that is left by jitter. Danger: a fleet that may call at once after a failure keeps
/// discovery full.
const MIN_JITTER: f64 = 0.2;
/// The same at a new address that has not answered yet, which has to be known within 4 s: two calls fit.
const NEW_ADDRESS_TIMEOUT: Nanos = 1_900 * MS;
const NEW_ADDRESS_INITIAL_BACKOFF: Nanos = 50 * MS;
const NEW_ADDRESS_MAX_BACKOFF: Nanos = 800 * MS;
/// The wait of a watch at an agent on the proxy's own machine, where a call costs nothing.
const AGENT_HOLD: Nanos = SECOND;

/// How lists arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// One discovery serves the whole fleet, and the list has to be requested within this time (0: not specified).
    Asked {
        /// In nanoseconds.
        within: Nanos,
    },
    /// An agent on the proxy's own machine has what was pushed to it. That counts as notified at once, and drains
    /// must take effect within this grace period.
    Pushed {
        /// In nanoseconds.
        grace: Nanos,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No response came in time.
    Silent,
    /// The connection broke, or could not be established.
    Broken,
    /// Discovery answered with an error, or with what is no list.
    Refused,
}

/// The state of the connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No call was made yet.
    Starting,
    /// The last call was answered.
    Following,
    /// A watch broke or fell silent. That proves nothing about discovery, which is called again at once.
    Doubtful,
    /// This many calls in a row have failed.
    Lost(u32),
    /// At a new address, which has failed this often and never answered.
    Moved(u32),
}

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// The delay before the call.
    pub wait: Nanos,
    /// How long discovery may wait for a change; 0: it is to answer at once.
    pub hold: Nanos,
    /// The timeout of the call.
    pub limit: Nanos,
}

/// Schedules the calls to one discovery, or to one after another.
#[derive(Clone, Copy, Debug)]
pub struct WatchSchedule {
    mode: WatchMode,
    state: State,
}

impl WatchSchedule {
    /// A schedule before the first call.
    pub fn new(mode: WatchMode) -> Self {
        WatchSchedule { mode, state: State::Starting }
    }

    /// The next call; `random` returns numbers from 0 to 1.
    pub fn next(&self, mut random: impl FnMut() -> f64) -> NextCall {
        let jittered =
            |wait: Nanos, min: f64, random: f64| (wait as f64 * (min + (1.0 - min) * random)) as Nanos;
        let backoff = |initial: Nanos, attempt: u32, max: Nanos| {
            initial.saturating_mul(1 << attempt.min(MAX_DOUBLINGS)).min(max)
        };
        match (self.state, self.mode) {
            (State::Moved(0), _) => NextCall { wait: 0, hold: 0, limit: NEW_ADDRESS_TIMEOUT },
            (State::Moved(n), _) => NextCall {
                wait: backoff(NEW_ADDRESS_INITIAL_BACKOFF, n - 1, NEW_ADDRESS_MAX_BACKOFF),
                hold: 0,
                limit: NEW_ADDRESS_TIMEOUT,
            },
            (State::Starting, WatchMode::Asked { .. }) => {
                NextCall { wait: jittered(INITIAL_BACKOFF, MIN_JITTER, random()), ..self.watch(random()) }
            }
            (State::Following, _) => self.watch(random()),
            (State::Doubtful, WatchMode::Asked { .. }) => NextCall {
                wait: jittered(MAX_RENEWAL_DELAY, 0.0, random()),
                hold: 0,
                limit: RESPONSE_TIMEOUT,
            },
            (State::Lost(n), WatchMode::Asked { .. }) => NextCall {
                wait: jittered(backoff(INITIAL_BACKOFF, n, MAX_BACKOFF), MIN_JITTER, random()),
                hold: 0,
                limit: RESPONSE_TIMEOUT,
            },
            (State::Starting | State::Doubtful, WatchMode::Pushed { grace }) => {
                NextCall { wait: 0, hold: 0, limit: grace / 5 * 2 }
            }
            (State::Lost(n), WatchMode::Pushed { grace }) => {
                // Danger: an agent on a machine that is too busy would never have time to answer; every fourth call
                // has a longer timeout.
                let limit = if n % 4 == 0 { grace / 5 * 4 } else { grace / 5 * 2 };
                NextCall { wait: grace / 10, hold: 0, limit }
            }
        }
    }

    fn watch(&self, random: f64) -> NextCall {
        let (hold, grace_after_hold) = match self.mode {
            WatchMode::Asked { within: 0 } => (MAX_HOLD, WATCH_GRACE),
            WatchMode::Asked { within } => ((within / 2).clamp(MIN_HOLD, MAX_HOLD), WATCH_GRACE),
            WatchMode::Pushed { grace } => (AGENT_HOLD, grace / 5 * 2),
        };
        let hold = (hold as f64 * (1.0 - HOLD_JITTER * random)) as Nanos;
        NextCall { wait: 0, hold, limit: hold + grace_after_hold }
    }

    /// Records that a call was answered with a list.
    pub fn answered(&mut self) {
        self.state = State::Following;
    }

    /// Records that a call was answered with a list that does not continue the one in use; the whole list is
    /// requested.
    pub fn doubted(&mut self) {
        self.state = State::Doubtful;
    }

    /// Records that a call has failed. Returns whether discovery counts as lost by now.
    pub fn failed(&mut self, failure: CallFailure) -> bool {
        self.state = match (self.state, failure) {
            (State::Following, CallFailure::Silent | CallFailure::Broken)
            | (State::Starting, CallFailure::Silent) => State::Doubtful,
            (State::Starting | State::Following | State::Doubtful, _) => State::Lost(1),
            (State::Lost(n), _) => State::Lost(n.saturating_add(1)),
            (State::Moved(n), _) => State::Moved(n.saturating_add(1)),
        };
        matches!(self.state, State::Lost(_))
    }

    /// Records that discovery has moved to another address.
    pub fn moved(&mut self) {
        self.state = State::Moved(0);
    }
}
