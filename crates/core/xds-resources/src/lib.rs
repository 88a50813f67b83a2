//! Conversion between nodes and xDS resources, and the proxy's reading of a control service ([`Follow`]).
//!
//! Two forms of one list are declared. Plain clients get a `ClusterLoadAssignment` with all endpoints inline, which
//! any EDS client reads. Proxies of this project get the same list as LEDS collections, one resource an endpoint, so
//! that one change costs one endpoint (`docs/design-control.md` weighs the ways).
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod follower;
mod names;
mod settings;

pub use decode::{decode, DecodeError, DecodedResource, PolicyMessage};
pub use encode::{declare, declare_changed, ClusterNames, EndpointsById};
pub use follower::{ControlFollower, FollowerConfig, FollowerEvent};
pub use names::{
    assignment_name, collection_name, endpoint_name, policy_lease_name, settings_name, POLICY_RESOURCE,
};
pub use settings::{declare_settings, declare_text, remove_settings, remove_text};

/// The name of the filter under which endpoint metadata stands.
pub const METADATA: &str = "rushquay";
/// `load_balancing_weight` is a whole number: weight 1 stands as this.
pub const WEIGHT_UNIT: f64 = 1000.0;
