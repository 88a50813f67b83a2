//! The control service on sockets: follows the node list at discovery or in a file, and hands it out as xDS, with an
//! admin page.
#![forbid(unsafe_code)]

mod admin;
mod api;
mod discovery;
mod file;
mod keeper;
mod metrics;
mod service;
mod settings;
mod shared;
mod standby;
mod time;

pub use service::{start, ControlService, Options, StartError};
pub use settings::{
    read_settings, LimitSettings, OverrideSettings, Settings, SettingsError, SourceOption, StandbySettings,
};
pub use standby::StandbyState;

/// A line about something rare. Danger: a fault that repeats without end would fill what holds the lines.
pub(crate) fn log(line: String) {
    use std::io::Write as _;
    use std::sync::atomic::{AtomicU32, Ordering};
    const MOST: u32 = 10_000;
    static WRITTEN: AtomicU32 = AtomicU32::new(0);
    if WRITTEN.fetch_add(1, Ordering::Relaxed) < MOST {
        let _ = writeln!(std::io::stderr(), "rushquay control: {line}");
    }
}
