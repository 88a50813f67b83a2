//! Rollouts of a config version over the fleet, in stages, each rolled back when its analysis finds it worse (`docs/design-rollout.md`).
//!
//! [`Plan`] has the stages, [`Rollout`] is the state machine of one rollout, [`Analysis`] compares the members that apply the new
//! version with those that apply the old one over the same time, and [`RolloutRegistry`] is the record of all rollouts. No I/O; the
//! time is passed in.
#![forbid(unsafe_code)]

mod analysis;
mod cohorts;
mod finding;
mod fleet_baseline;
mod fleet_view;
mod phase;
mod plan;
mod preview;
mod registry;
mod scheduling;
mod sequential_test;
mod state_machine;
mod timeline;

pub use analysis::{Analysis, Bounds, Score};
pub use finding::{Finding, Measure, Verdict};
pub use fleet_view::FleetView;
pub use phase::{HoldReason, Phase, RollbackReason};
pub use plan::{Plan, PlanError, PlanText, Stage, StageSelector, StageText};
pub use preview::{preview, Step};
pub use registry::{RegistryError, RegistryRecord, RolloutEvent, RolloutRegistry, RolloutRequest};
pub use sequential_test::{allowed, passes, Odds};
pub use state_machine::Rollout;
pub use timeline::{Point, Sample, Timeline};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
