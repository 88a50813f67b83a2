//! Operator overrides on endpoints: taking endpoints out of service, scaling their weight, or pinning keys to one of them. Each override
//! has an expiry, an author and a reason. This crate does no I/O; the time is passed in.
//!
//! # Precedence
//!
//! | conflicting overrides | which one wins | reason |
//! | --- | --- | --- |
//! | out of service, and any weight | out of service | the operator who took the endpoint out may be working on the machine |
//! | two out of service | both; the endpoint returns when the later one ends | one operator's judgement that the endpoint is safe does not cover the other's reason |
//! | two weights | the narrower: node, kind, zone, all | naming an endpoint is the more specific intent |
//! | two weights of the same scope | the one set later | the later author could see the earlier override |
//! | out of service, and a pin to the endpoint | out of service | the pinned keys are routed as if there were no pin |
//! | two pins on a request | the narrower: a key, the longer prefix, with a class | naming a key is the more specific intent |
//! | two pins of the same keys and class | the one set later | the later author could see the earlier override |
//!
//! An override that does not win is masked, and takes effect when the one that masks it ends. Overrides are applied on top of the
//! endpoint list: they only restrict it, and none cancels a drain or adds an endpoint that the list does not contain.
#![forbid(unsafe_code)]

mod capacity_guard;
mod effective;
mod override_set;
mod types;

pub use capacity_guard::{CapacityCalculation, FleetCapacity};
pub use effective::{effective_overrides, masked_pins, OverrideStatus};
pub use override_set::{EventKind, OverrideError, OverrideEvent, OverrideRequest, OverrideSet};
pub use rushquay_endpoints::{Imposed, OverrideTime};
pub use types::{Effect, Nanos, Node, Override, OverrideLimits, Scope, SECOND};
