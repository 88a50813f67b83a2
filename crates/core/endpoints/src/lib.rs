//! The endpoint list: its wire format ([`EndpointList`]), strict validation ([`validate_list`]), the position of a
//! watch in discovery's list ([`ListCursor`]), the schedule of its calls ([`WatchSchedule`]), and the merging of lists
//! from several sources ([`EndpointMerger`]).
//!
//! The crate does no I/O and reads no clock: lists, times and random numbers are passed in.
#![forbid(unsafe_code)]

mod cursor;
mod endpoint;
mod imposed;
mod list_assembler;
mod merge;
mod pins;
mod start_times;
mod stated_start;
mod time;
mod validation;
mod watch_schedule;

pub use cursor::{CursorUpdate, ListCursor};
pub use endpoint::{Endpoint, EndpointList, EndpointState};
pub use imposed::{Imposed, OverrideEffect};
pub use list_assembler::ListAssembler;
pub use merge::{
    Changes, ControlSnapshot, ControlStatement, EndpointMerger, EndpointView, MergeLimits, PassedOver,
    Source, SourcedEndpoint, WatchEvent,
};
pub use pins::{Pin, Pins};
pub use start_times::{StartClock, StartTimes};
pub use stated_start::StatedStart;
pub use time::{MergeTime, MonotonicTime, OverrideTime};
pub use validation::{validate_list, ListError};
pub use watch_schedule::{CallFailure, NextCall, WatchMode, WatchSchedule, NOTIFICATION_DEADLINE};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
