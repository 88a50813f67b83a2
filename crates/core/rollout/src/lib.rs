//! A rolling change in stages, stopped when a stage does worse (`docs/design-rollout.md`). [`Plan`] says in which stages,
//! [`Change`] is the change and what may become of it, [`Evidence`] holds the new against the old over the same time, and
//! [`Board`] is the record of all changes. No I/O; time is passed in.
#![forbid(unsafe_code)]

mod board;
mod change;
mod course;
mod evidence;
mod order;
mod plan;
mod preview;
mod pulse;
mod sides;
mod test;

pub use board::{Ask, Board, BoardRefusal, Event, Record};
pub use change::{Change, Hold, Phase, Reason, Seen, Verdict};
pub use course::{Course, Point, Sample};
pub use evidence::{Bounds, Evidence, Finding, Measure, Score};
pub use plan::{Pick, Plan, PlanFault, PlanText, Stage, StageText};
pub use preview::{preview, Step};
pub use test::{allowed, passes, Odds};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
