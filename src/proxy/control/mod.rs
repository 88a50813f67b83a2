//! The proxy's client of the control service: its endpoint subscription, and its participation in rollouts and policies.

pub mod policy_client;
pub mod policy_settings;
pub(crate) mod rollout_client;
pub(crate) mod rollout_metrics;
pub mod rollout_settings;
pub mod settings;
pub(crate) mod subscription;
