//! The control service on sockets: follows the node list at discovery or in a file, and hands it out as xDS, with an
//! admin page.
#![forbid(unsafe_code)]

mod admin;
mod api;
mod discovery;
mod file;
mod leadership;
mod metrics;
mod persistence;
mod policy;
mod policy_api;
mod reopening_store;
mod report;
mod rollout;
mod rollout_api;
mod service;
mod settings;
mod shared;
mod time;

pub use admin::serve_pages;
pub use file::{Watched, LOOK_EVERY};
pub use leadership::LeadershipState;
pub use policy::PolicySettings;
pub use rollout::RolloutSettings;
pub use service::{start, start_by, ControlService, Options, StartError};
pub use settings::{
    read_settings, LimitSettings, OverrideSettings, Settings, SettingsError, SourceOption, StandbySettings,
};
pub use time::{steady, Clocks};
