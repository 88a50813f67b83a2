//! The control service: follows the endpoint list at discovery or in a file and serves it over xDS, with an admin page and API. Several
//! instances elect a leader, and only the leader publishes and runs rollouts and policy changes.
//!
//! [`start`] is the entry point. Decisions are made in the core crates; this crate provides the sockets, clocks and threads, and defines
//! the lock order (module `state`).
#![forbid(unsafe_code)]

mod discovery;
mod durable_store;
mod error;
mod file;
mod http;
mod leadership;
mod leadership_loop;
mod persistence;
mod policy;
mod record_status;
mod reopening_store;
mod rollout;
mod service;
mod service_state;
mod settings;
mod state;
mod sync;
mod time;
mod versioned;

pub use file::{FileWatcher, POLL_INTERVAL};
pub use http::serve_pages;
pub use leadership::LeadershipState;
pub use policy::PolicySettings;
pub use rollout::RolloutSettings;
pub use service::{start, start_with_clocks, ControlService, Options, StartError};
pub use settings::{
    read_settings, LimitSettings, OverrideSettings, Settings, SettingsError, SourceOption, StandbyError,
    StandbySettings,
};
pub use time::{monotonic_nanos, Clocks};
