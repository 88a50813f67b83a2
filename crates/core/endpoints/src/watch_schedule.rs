//! When discovery is called, and for how long an answer is awaited: the one clock from which each such wait comes.
//!
//! The budget that it keeps stands in `docs/design-lifecycles.md`.

use crate::Nanos;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// A change counts as told so long after discovery had it and could be reached, whatever failed meanwhile (PROTOCOL).
pub const TOLD: Nanos = 6 * SECOND;
/// A discovery that serves a whole fleet may leave a call in its queue for two seconds before it refuses it (PROTOCOL). To hang
/// up just before that would give the place in the queue away.
const ANSWER: Nanos = 2_050 * MS;
/// A watch waits at most so long for news. A shorter one costs a discovery shared by the fleet more calls; a longer one
/// that dies as it begins leaves too little of [`TOLD`] for what follows.
const HOLD: Nanos = 3 * SECOND;
/// This part of it is drawn, so that a fleet whose watches began together does not renew them together.
const HOLD_DRAWN: f64 = 0.25;
/// Beyond its wait a watch is answered within this time, or has fallen silent.
const OVERDUE: Nanos = 500 * MS;
/// After a broken watch the next call comes within this time: at once for one proxy, not in step for a fleet.
const RENEW: Nanos = 100 * MS;
/// The waits between calls that fail double from the first to the last. Danger: two calls in a row may find discovery full,
/// and both, their waits and the third have to fit into [`TOLD`].
const AGAIN: Nanos = 400 * MS;
const AGAIN_MOST: Nanos = 1_200 * MS;
/// The least part of a wait. Danger: a fleet that may call at once after a failure keeps discovery full.
const AGAIN_LEAST: f64 = 0.2;
/// The same at a new address that has not answered yet, which has to be known within 4 s: two calls fit.
const MOVED_ANSWER: Nanos = 1_900 * MS;
const MOVED_AGAIN: Nanos = 50 * MS;
const MOVED_AGAIN_MOST: Nanos = 800 * MS;
/// An agent on the proxy's own machine is asked for no more than this at a time: a call costs nothing there.
const PUSHED_HOLD: Nanos = SECOND;

/// How lists come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// One discovery serves the whole fleet, and the list has to be asked for within this time (0: nothing is said).
    Asked {
        /// In nanoseconds.
        within: Nanos,
    },
    /// An agent on the proxy's own machine has what it was sent. That counts as told at once, and drains are kept within this
    /// grace.
    Pushed {
        /// In nanoseconds.
        grace: Nanos,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No answer came in time.
    Silent,
    /// The connection broke, or was not to be had.
    Broken,
    /// Discovery answered that it can't, or with what is no list.
    Refused,
}

/// What is known of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing was asked yet.
    Starting,
    /// The last call was answered.
    Following,
    /// A watch broke or fell silent. That says nothing of discovery, which is asked at once.
    Doubtful,
    /// So many calls in a row have failed.
    Lost(u32),
    /// At a new address, which has failed so often and never answered.
    Moved(u32),
}

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// It begins after this time.
    pub wait: Nanos,
    /// Discovery may wait so long for news; 0: it is to answer at once.
    pub hold: Nanos,
    /// The call has failed after this time.
    pub limit: Nanos,
}

/// Follows one discovery, or one after another.
#[derive(Clone, Copy, Debug)]
pub struct WatchSchedule {
    manner: WatchMode,
    state: State,
}

impl WatchSchedule {
    /// Nothing has been asked yet.
    pub fn new(manner: WatchMode) -> Self {
        WatchSchedule { manner, state: State::Starting }
    }

    /// What to do next; `chance` gives numbers from 0 to 1.
    pub fn next(&self, mut chance: impl FnMut() -> f64) -> NextCall {
        let drawn =
            |wait: Nanos, least: f64, chance: f64| (wait as f64 * (least + (1.0 - least) * chance)) as Nanos;
        let doubled = |first: Nanos, n: u32, most: Nanos| first.saturating_mul(1 << n.min(16)).min(most);
        match (self.state, self.manner) {
            (State::Moved(0), _) => NextCall { wait: 0, hold: 0, limit: MOVED_ANSWER },
            (State::Moved(n), _) => {
                NextCall { wait: doubled(MOVED_AGAIN, n - 1, MOVED_AGAIN_MOST), hold: 0, limit: MOVED_ANSWER }
            }
            (State::Starting, WatchMode::Asked { .. }) => {
                NextCall { wait: drawn(AGAIN, AGAIN_LEAST, chance()), ..self.watch(chance()) }
            }
            (State::Following, _) => self.watch(chance()),
            (State::Doubtful, WatchMode::Asked { .. }) => {
                NextCall { wait: drawn(RENEW, 0.0, chance()), hold: 0, limit: ANSWER }
            }
            (State::Lost(n), WatchMode::Asked { .. }) => NextCall {
                wait: drawn(doubled(AGAIN, n, AGAIN_MOST), AGAIN_LEAST, chance()),
                hold: 0,
                limit: ANSWER,
            },
            (State::Starting | State::Doubtful, WatchMode::Pushed { grace }) => {
                NextCall { wait: 0, hold: 0, limit: grace / 5 * 2 }
            }
            (State::Lost(n), WatchMode::Pushed { grace }) => {
                // Danger: an agent on a machine that is too busy would never be heard out; now and then it gets longer.
                let limit = if n % 4 == 0 { grace / 5 * 4 } else { grace / 5 * 2 };
                NextCall { wait: grace / 10, hold: 0, limit }
            }
        }
    }

    fn watch(&self, chance: f64) -> NextCall {
        let (hold, overdue) = match self.manner {
            WatchMode::Asked { within: 0 } => (HOLD, OVERDUE),
            WatchMode::Asked { within } => ((within / 2).clamp(200 * MS, HOLD), OVERDUE),
            WatchMode::Pushed { grace } => (PUSHED_HOLD, grace / 5 * 2),
        };
        let hold = (hold as f64 * (1.0 - HOLD_DRAWN * chance)) as Nanos;
        NextCall { wait: 0, hold, limit: hold + overdue }
    }

    /// A call was answered with a list.
    pub fn answered(&mut self) {
        self.state = State::Following;
    }

    /// A call was answered with a list that is no sequel to the one held; the whole list is asked for.
    pub fn doubted(&mut self) {
        self.state = State::Doubtful;
    }

    /// A call has failed. Returns whether discovery counts as lost by now.
    pub fn failed(&mut self, how: CallFailure) -> bool {
        self.state = match (self.state, how) {
            (State::Following, CallFailure::Silent | CallFailure::Broken)
            | (State::Starting, CallFailure::Silent) => State::Doubtful,
            (State::Starting | State::Following | State::Doubtful, _) => State::Lost(1),
            (State::Lost(n), _) => State::Lost(n.saturating_add(1)),
            (State::Moved(n), _) => State::Moved(n.saturating_add(1)),
        };
        matches!(self.state, State::Lost(_))
    }

    /// Another address takes the place of the present one.
    pub fn moved(&mut self) {
        self.state = State::Moved(0);
    }
}
