//! Load assignment: which endpoints of a cluster receive requests, and the share of each, by Envoy's rules on
//! priorities, localities, weights and health.
//!
//! This crate does not pick the endpoint of a request; the decision module does. It does no I/O and reads no clock; time and
//! random numbers are passed in by the caller.
//!
//! - [`Assignment`]: the validated `ClusterLoadAssignment` of a cluster.
//! - [`levels`](mod@levels): the load of each priority, and which priorities are in panic mode.
//! - [`effective`](mod@effective): the share of the load of each endpoint.
//! - [`Pool`]: tracks the endpoints of a cluster over time and reports their changes.
//! - [`aggregate`]: distribution of requests over the clusters of an aggregate cluster.
//! - [`Breakers`]: circuit breakers. [`retry_safety`]: whether a keyed request may be retried.
//! - [`dns`]: endpoints whose addresses are resolved by DNS.
//!
//! Source: Envoy's documentation, "Load Balancing" (sections "Priority levels", "Degraded endpoints", "Panic threshold",
//! "Locality weighted load balancing", "Aggregate Cluster", "Circuit breaking"); each module names its section.
#![forbid(unsafe_code)]

pub mod aggregate;
mod assignment;
mod breakers;
pub mod dns;
pub mod effective;
pub mod levels;
mod pool;
pub mod retry_safety;

pub use assignment::{
    Assignment, AssignmentError, Endpoint, Health, Locality, LocalityName, Overload, Place, Rules,
};
pub use breakers::{BreakerLimit, BreakerSlot, Breakers, RetryBudget, RoutePriority, Thresholds};
pub use pool::{ClusterRules, EndpointStatus, EndpointUse, Node, NodeChange, Pool};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
