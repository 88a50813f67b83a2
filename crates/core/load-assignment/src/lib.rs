//! Which endpoints of a cluster take requests, and how many of a hundred each: Envoy's rules on priorities, localities,
//! weights and health as plain calculations. No I/O; time and chance are passed in.
//!
//! - [`Assignment`]: what is declared of a cluster's endpoints, checked.
//! - [`levels`](mod@levels): how much of the load each priority takes, and which of them panic.
//! - [`effective`](mod@effective): the part of the load of each endpoint.
//! - [`Pool`]: one cluster's endpoints over time; hands on what changes.
//! - [`aggregate`]: how requests are split over the clusters of an aggregate.
//! - [`Breakers`]: limits on what is out at once. [`repeats`]: whether a keyed request may be sent once more.
//! - [`dns`]: endpoints whose addresses are looked up.
//!
//! Source: Envoy's documentation, "Load Balancing" (sections "Priority levels", "Degraded endpoints", "Panic threshold",
//! "Locality weighted load balancing", "Aggregate Cluster", "Circuit breaking"), named at each piece.
#![forbid(unsafe_code)]

pub mod aggregate;
mod assignment;
mod breakers;
pub mod dns;
pub mod effective;
pub mod levels;
mod pool;
pub mod repeats;

pub use assignment::{
    Assignment, AssignmentError, Endpoint, Health, Locality, LocalityName, Overload, Place, Rules,
};
pub use breakers::{Breakers, Budget, Hold, Importance, Thresholds, Trip};
pub use pool::{ClusterRules, Node, NodeChange, Pool, Shown, Standing};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
