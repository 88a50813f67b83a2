//! The schedule of calls to discovery: when to call, and how long to wait for a response. All delays and timeouts of
//! these calls are defined here.
//!
//! The time budget is explained in `docs/design-lifecycles.md`.

use crate::Nanos;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// A change must be known within this time after discovery has it and is reachable, whatever failed before (PROTOCOL).
pub const NOTIFICATION_DEADLINE: Nanos = 6 * SECOND;
/// Timeout of a call that is to be answered at once. A discovery that serves a whole fleet may keep a call in its queue
/// for two seconds before it rejects it (PROTOCOL); cancelling the call earlier would give up its place in the queue.
const RESPONSE_TIMEOUT: Nanos = 2_050 * MS;
/// Maximum time for which discovery holds a watch. A shorter one means more calls to a discovery shared by the fleet; a
/// longer one leaves too little of [`NOTIFICATION_DEADLINE`] for the calls that follow a watch that fails silently.
const MAX_HOLD: Nanos = 3 * SECOND;
/// Minimum time for which discovery holds a watch.
const MIN_HOLD: Nanos = 200 * MS;
/// The random part of a watch's hold, so that a fleet whose watches began together does not renew them together.
const HOLD_JITTER: f64 = 0.25;
/// Time after a watch's hold within which it has to be answered.
const WATCH_GRACE: Nanos = 500 * MS;
/// Maximum random delay of the call after a failed watch: short for one proxy, but enough to spread out a fleet.
const MAX_RENEWAL_DELAY: Nanos = 100 * MS;
/// The backoff after failed calls doubles from the initial to the maximum one. Danger: discovery may reject two calls in
/// a row because it is full; both calls, their backoffs and the third call have to fit into [`NOTIFICATION_DEADLINE`].
const INITIAL_BACKOFF: Nanos = 400 * MS;
const MAX_BACKOFF: Nanos = 1_200 * MS;
/// Limits the number of doublings, so that the factor does not overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Minimum fraction of a backoff that jitter leaves. Danger: a fleet that calls again without delay after a failure keeps
/// discovery full.
const MIN_JITTER: f64 = 0.2;
/// Timeout and backoff at a new address that has not answered yet. Its list has to be known within 4 s, enough for two
/// calls.
const NEW_ADDRESS_TIMEOUT: Nanos = 1_900 * MS;
const NEW_ADDRESS_INITIAL_BACKOFF: Nanos = 50 * MS;
const NEW_ADDRESS_MAX_BACKOFF: Nanos = 800 * MS;
/// The hold of a watch at an agent on the proxy's own machine, where calls are cheap.
const AGENT_HOLD: Nanos = SECOND;

/// How the endpoint list reaches this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// From a discovery that serves the whole fleet and has to be polled.
    Polled {
        /// Maximum interval between requests for the list, in nanoseconds; 0: not specified.
        within: Nanos,
    },
    /// From an agent on the proxy's own machine, to which changes are pushed. The proxy counts as notified of a change as
    /// soon as the agent has it.
    Pushed {
        /// Time within which a drain must take effect, in nanoseconds.
        grace: Nanos,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No response arrived within the timeout.
    TimedOut,
    /// The connection failed, or could not be established.
    Broken,
    /// The response was an error, or not a list.
    Rejected,
}

/// The state of the connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No call was made yet.
    Starting,
    /// The last call was answered with a list.
    Following,
    /// A watch failed, or a response was rejected. Discovery may still be healthy, so it is called again at once.
    Rechecking,
    /// Discovery counts as lost: this many calls in a row have failed.
    Lost(u32),
    /// Discovery has a new address, at which this many calls have failed and none has been answered.
    NewAddress(u32),
}

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// The delay before the call.
    pub delay: Nanos,
    /// How long discovery may hold the call until there is a change; 0: it answers at once.
    pub hold: Nanos,
    /// The timeout of the call.
    pub timeout: Nanos,
}

/// Schedules the calls to discovery, whose address may change.
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

    /// The next call. `random` returns numbers from 0 to 1.
    pub fn next(&self, mut random: impl FnMut() -> f64) -> NextCall {
        let jittered =
            |wait: Nanos, min: f64, random: f64| (wait as f64 * (min + (1.0 - min) * random)) as Nanos;
        let backoff = |initial: Nanos, attempt: u32, max: Nanos| {
            initial.saturating_mul(1 << attempt.min(MAX_DOUBLINGS)).min(max)
        };
        match (self.state, self.mode) {
            (State::NewAddress(0), _) => NextCall { delay: 0, hold: 0, timeout: NEW_ADDRESS_TIMEOUT },
            (State::NewAddress(n), _) => NextCall {
                delay: backoff(NEW_ADDRESS_INITIAL_BACKOFF, n - 1, NEW_ADDRESS_MAX_BACKOFF),
                hold: 0,
                timeout: NEW_ADDRESS_TIMEOUT,
            },
            (State::Starting, WatchMode::Polled { .. }) => {
                NextCall { delay: jittered(INITIAL_BACKOFF, MIN_JITTER, random()), ..self.watch(random()) }
            }
            (State::Following, _) => self.watch(random()),
            (State::Rechecking, WatchMode::Polled { .. }) => NextCall {
                delay: jittered(MAX_RENEWAL_DELAY, 0.0, random()),
                hold: 0,
                timeout: RESPONSE_TIMEOUT,
            },
            (State::Lost(n), WatchMode::Polled { .. }) => NextCall {
                delay: jittered(backoff(INITIAL_BACKOFF, n, MAX_BACKOFF), MIN_JITTER, random()),
                hold: 0,
                timeout: RESPONSE_TIMEOUT,
            },
            (State::Starting | State::Rechecking, WatchMode::Pushed { grace }) => {
                NextCall { delay: 0, hold: 0, timeout: grace / 5 * 2 }
            }
            (State::Lost(n), WatchMode::Pushed { grace }) => {
                // Danger: an agent on an overloaded machine might never answer within the short timeout, so every fourth
                // call has a longer one.
                let limit = if n % 4 == 0 { grace / 5 * 4 } else { grace / 5 * 2 };
                NextCall { delay: grace / 10, hold: 0, timeout: limit }
            }
        }
    }

    /// The next watch, without a delay.
    fn watch(&self, random: f64) -> NextCall {
        let (hold, grace_after_hold) = match self.mode {
            WatchMode::Polled { within: 0 } => (MAX_HOLD, WATCH_GRACE),
            WatchMode::Polled { within } => ((within / 2).clamp(MIN_HOLD, MAX_HOLD), WATCH_GRACE),
            WatchMode::Pushed { grace } => (AGENT_HOLD, grace / 5 * 2),
        };
        let hold = (hold as f64 * (1.0 - HOLD_JITTER * random)) as Nanos;
        NextCall { delay: 0, hold, timeout: hold + grace_after_hold }
    }

    /// Records that a call was answered with a list.
    pub fn answered(&mut self) {
        self.state = State::Following;
    }

    /// Records that a call was answered with a list that does not continue the one in use, so that the whole list is
    /// requested next.
    pub fn list_rejected(&mut self) {
        self.state = State::Rechecking;
    }

    /// Records that a call has failed. Returns whether discovery counts as lost.
    pub fn failed(&mut self, failure: CallFailure) -> bool {
        self.state = match (self.state, failure) {
            (State::Following, CallFailure::TimedOut | CallFailure::Broken)
            | (State::Starting, CallFailure::TimedOut) => State::Rechecking,
            (State::Starting | State::Following | State::Rechecking, _) => State::Lost(1),
            (State::Lost(n), _) => State::Lost(n.saturating_add(1)),
            (State::NewAddress(n), _) => State::NewAddress(n.saturating_add(1)),
        };
        matches!(self.state, State::Lost(_))
    }

    /// Records that discovery has a new address.
    pub fn address_changed(&mut self) {
        self.state = State::NewAddress(0);
    }
}
