//! Staged rollouts of a config version over the fleet, with automatic rollback when the analysis finds the new version worse
//! (`docs/design-rollout.md`).
//!
//! [`Plan`] lists the stages, [`Rollout`] is the state machine of one rollout, [`Analysis`] compares the members that apply the new
//! version with those that apply the old one over the same time, and [`RolloutRegistry`] records the version in force, the last
//! rollout and the event log. This crate does no I/O; the caller passes in the current time.
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
pub use preview::{preview, PreviewStage};
pub use registry::{RegistryError, RegistryRecord, RolloutEvent, RolloutRegistry, RolloutRequest};
pub use sequential_test::{is_rate_at_most, permitted_rate, SequentialTest};
pub use state_machine::Rollout;
pub use timeline::{Point, Sample, Timeline};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
