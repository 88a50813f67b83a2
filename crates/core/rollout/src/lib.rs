//! A rolling change in stages, stopped when a stage does worse (`docs/design-rollout.md`). [`Plan`] says in which stages,
//! [`Change`] is the change and what may become of it, [`Evidence`] holds the new against the old over the same time, and
//! [`Board`] is the record of all changes. No I/O; time is passed in.
#![forbid(unsafe_code)]

mod analysis;
mod cohorts;
mod fleet_baseline;
mod plan;
mod preview;
mod registry;
mod scheduling;
mod sequential_test;
mod state_machine;
mod timeline;

pub use analysis::{Analysis, Bounds, Finding, Measure, Score};
pub use plan::{Plan, PlanError, PlanText, Stage, StageSelector, StageText};
pub use preview::{preview, Step};
pub use registry::{RegistryError, RegistryRecord, RolloutEvent, RolloutRegistry, RolloutRequest};
pub use sequential_test::{allowed, passes, Odds};
pub use state_machine::{FleetView, HoldReason, Phase, RollbackReason, Rollout, Verdict};
pub use timeline::{Point, Sample, Timeline};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
