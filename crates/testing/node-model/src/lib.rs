//! A model of cache nodes and of the origin behind them, good enough to rehearse a bad morning: cores and speeds, a queue and
//! a waiting room, what is kept and for how long, hits, misses and false misses, warm-up, falling over, pauses, faults,
//! restarts.
//!
//! It is pure: time and chance are arguments, and what a node says comes out of it as [`Out`]. The same node runs in virtual
//! time, where [`Timeline`] orders what happens, and may stand behind real sockets.
#![forbid(unsafe_code)]

mod dedup_window;
mod node;
mod pressure;
mod settings;
mod timeline;
mod work;

pub use dedup_window::DedupWindow;
pub use node::{Answer, Counts, Fault, Node, NodeEvent, Out, Request};
pub use settings::{Cold, Fall, KeptSettings, Mode, NodeSettings, SettingsError};
pub use timeline::Timeline;
pub use work::Work;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MILLI: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;

/// The chance of a run: the same on every machine for the same seed.
pub type Chance = rand_pcg::Pcg64Mcg;
