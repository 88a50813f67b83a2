//! What a fault-injecting relay does to what passes through it, as a state machine over bytes, direction and time. It
//! opens no socket and reads no clock: `rushquay-fault-relay` does that.
//!
//! A [`Script`] holds rules; [`Connection`] is one relayed stream under them, [`Flow`] one stream of datagrams. What
//! happens depends on the seed, the connection and the offset in its input alone, never on how the bytes were cut into
//! reads, so that a run can be had again from its seed, and exactly from its [`Trace`].
#![forbid(unsafe_code)]

mod action;
mod connection;
mod datagram;
mod protocol_position;
mod rng;
mod rules;
mod script;
mod trace;

pub use action::{Cut, FaultAction, Garble, ListenerState};
pub use connection::{Connection, Opening, Transmit, HELD_MOST};
pub use datagram::Flow;
pub use rng::RuleRng;
pub use rules::{Performed, Plan, Planned, RuleSet};
pub use script::{Act, At, HttpPart, Listener, Nth, Place, Rule, Script, ScriptError, Transport};
pub use trace::{Trace, TraceError};

use serde::{Deserialize, Serialize};

/// A point in time or a span, in nanoseconds. The caller's clock may start anywhere.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MILLI: Nanos = 1_000_000;

/// One of the two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From who connected to the target.
    Up,
    /// From the target back.
    Down,
}

impl Direction {
    /// Both, the upward one first.
    pub const BOTH: [Direction; 2] = [Direction::Up, Direction::Down];

    /// The opposite one.
    pub fn other(self) -> Direction {
        match self {
            Direction::Up => Direction::Down,
            Direction::Down => Direction::Up,
        }
    }

    fn index(self) -> usize {
        match self {
            Direction::Up => 0,
            Direction::Down => 1,
        }
    }
}
