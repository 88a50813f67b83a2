//! Rollouts: proxies report, the registry decides, and each step is persisted before it is published.

mod assignment;
mod controller;
mod persistence;
mod record;
mod settings;
mod state;
mod view;

pub use controller::RolloutController;
pub use settings::RolloutSettings;
pub(crate) use view::RolloutStats;
