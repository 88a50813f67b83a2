//! The list of cache nodes: its form on the wire ([`Members`]), its strict check ([`check_list`]), the versions a watch
//! goes through ([`Cursor`]), and which of several sources wins ([`Merge`]).
//!
//! Pure: no I/O, and time comes in as an argument.
#![forbid(unsafe_code)]

mod cursor;
mod endpoint;
mod imposed;
mod list_assembler;
mod merge;
mod pins;
mod start_times;
mod validation;
mod watch_schedule;

pub use cursor::{CursorUpdate, ListCursor};
pub use endpoint::{Endpoint, EndpointList, EndpointState};
pub use imposed::Imposed;
pub use list_assembler::ListAssembler;
pub use merge::{Changes, EndpointMerger, EndpointView, MergeLimits, Source, SourcedEndpoint, WatchEvent};
pub use pins::{Pin, Pins};
pub use start_times::StartTimes;
pub use validation::{validate_list, ListError};
pub use watch_schedule::{CallFailure, NextCall, WatchMode, WatchSchedule, TOLD};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
