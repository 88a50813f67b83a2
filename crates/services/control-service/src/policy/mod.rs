//! Policy changes: proxies request leases, the coordinator decides, and each step is persisted before it is broadcast
//! (`docs/design-policy.md`).

mod controller;
mod history;
mod leases;
mod persistence;
mod record;
mod settings;
mod state;
mod view;

pub use controller::{PolicyController, Proposal};
pub use settings::PolicySettings;
pub(crate) use view::PolicyStats;
