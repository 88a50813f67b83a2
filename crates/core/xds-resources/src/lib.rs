//! Conversion between endpoints and xDS resources, and the proxy's view of a control service ([`ControlFollower`]).
//! No I/O: the streams are run by `rushquay-xds-grpc`.
//!
//! The same list is declared in two forms. Plain clients get a `ClusterLoadAssignment` with all endpoints inline,
//! which any EDS client reads. Proxies of this project get LEDS collections, one resource per endpoint, so that one
//! change costs one endpoint (`docs/design-control.md` compares the alternatives).
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

/// The name of the filter under which endpoint metadata is sent.
pub const METADATA: &str = "rushquay";
/// `load_balancing_weight` is a whole number: this value is weight 1.
pub const WEIGHT_UNIT: f64 = 1000.0;
