//! Operator overrides on nodes: out of service, a factor on the weight, or keys pinned to one, each with an expiry, an author and a reason.
//! No I/O; time is an argument.
//!
//! # Which of several wins
//!
//! | of two on one node | wins | because |
//! | --- | --- | --- |
//! | out of service, and any weight | out of service | whoever took it out may be standing in the boiler room |
//! | two out of service | both; it ends with the later | nobody's word that it is safe stands for another's |
//! | two weights | the narrower: node, kind, zone, all | who names a node means it |
//! | two weights of one scope | the later set | the later knows of the earlier |
//! | out of service, and a pin to the node | out of service | the pinned keys go where they would without the pin |
//! | two pins on a request | the narrower: a key, the longer beginning, with a class | who names a key means it |
//! | two pins of the same keys and class | the later set | the later knows of the earlier |
//!
//! What does not win is masked, and takes effect when what masks it ends. No override undoes a drain or brings a node
//! back that the list does not name: both are applied on top of what the list says, and only ever restrict it.
#![forbid(unsafe_code)]

mod capacity_guard;
mod effective;
mod override_set;
mod types;

pub use capacity_guard::{Arithmetic, FleetCapacity};
pub use effective::{effective_overrides, masked_pins, OverrideStatus};
pub use override_set::{EventKind, OverrideError, OverrideEvent, OverrideRequest, OverrideSet};
pub use rushquay_endpoints::Imposed;
pub use types::{Effect, Nanos, Node, Override, OverrideLimits, Scope, SECOND};
