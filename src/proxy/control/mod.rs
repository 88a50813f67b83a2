//! The proxy's side of the control service: its subscription, and its part in rollouts and policies.

pub mod policy_client;
pub mod policy_settings;
pub(crate) mod rollout_client;
pub(crate) mod rollout_metrics;
pub mod rollout_settings;
pub mod settings;
pub(crate) mod subscription;
