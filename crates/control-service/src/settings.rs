//! The settings file of the control service (TOML).

use rushquay_control::{ControlConfig, Fault};
use rushquay_overrides::{Policy, SECOND};
use rushquay_xds_grpc::{ServerLimits, TlsFiles};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Where the node list comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceOption {
    /// Discovery at this address.
    Discovery(SocketAddr),
    /// A file in discovery's form.
    Nodes(PathBuf),
}

/// The settings file. All of it may be left out.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// What is decided.
    pub control: ControlConfig,
    /// Mutual TLS for the xDS listener.
    pub tls: Option<TlsFiles>,
    /// Bounds.
    pub limits: LimitSettings,
    /// Operators' overrides.
    pub overrides: OverrideSettings,
}

/// Bounds of operators' overrides.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OverrideSettings {
    /// The longest that one may last, in seconds, 60 to 604800.
    pub longest_s: u64,
    /// The part of the fleet's weight that must stay in service, 0 to 1.
    pub stay: f64,
    /// One is announced so long before it expires, in seconds.
    pub announce_s: u64,
    /// A node that was out for so long comes back with a cold cache, in seconds.
    pub cold_after_s: u64,
    /// Events remembered, 100 to 1000000.
    pub history: usize,
}

impl Default for OverrideSettings {
    fn default() -> Self {
        let usual = Policy::default();
        OverrideSettings {
            longest_s: usual.longest / SECOND,
            stay: usual.stay,
            announce_s: usual.announce / SECOND,
            cold_after_s: usual.cold_after / SECOND,
            history: usual.history,
        }
    }
}

impl OverrideSettings {
    /// In the form of the decisions.
    pub fn policy(&self) -> Policy {
        Policy {
            longest: self.longest_s.saturating_mul(SECOND),
            stay: self.stay,
            announce: self.announce_s.saturating_mul(SECOND),
            cold_after: self.cold_after_s.saturating_mul(SECOND),
            history: self.history,
            ..Policy::default()
        }
    }
}

/// Bounds for subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Most streams at once, 1 to 1000000.
    pub streams: usize,
    /// Most names that a stream subscribes to of one kind, 1 to 1000000.
    pub names: usize,
    /// The longest message from a subscriber, in KiB, 4 to 65536.
    pub message_kb: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let limits = ServerLimits::default();
        LimitSettings {
            streams: limits.streams,
            names: limits.stream.names,
            message_kb: limits.message >> 10,
        }
    }
}

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is no TOML, or a field is unknown or of another type.
    #[error("{path}: {why}")]
    Form {
        /// The file.
        path: PathBuf,
        /// Where and what.
        why: String,
    },
    /// A field is out of its range.
    #[error("{path}: {fault}")]
    Field {
        /// The file.
        path: PathBuf,
        /// Which.
        fault: Fault,
    },
}

impl Settings {
    /// The bounds in the server's form.
    pub fn limits(&self) -> ServerLimits {
        let usual = ServerLimits::default();
        let stream = rushquay_xds::server::Limits { names: self.limits.names, ..usual.stream };
        ServerLimits { streams: self.limits.streams, message: self.limits.message_kb << 10, stream }
    }

    fn check(&self) -> Result<(), Fault> {
        self.control.check()?;
        let ranges = [
            ("limits.streams", self.limits.streams, 1..=1_000_000),
            ("limits.names", self.limits.names, 1..=1_000_000),
            ("limits.message_kb", self.limits.message_kb, 4..=65_536),
            ("overrides.longest_s", self.overrides.longest_s as usize, 60..=604_800),
            ("overrides.history", self.overrides.history, 100..=1_000_000),
        ];
        for (field, held, range) in ranges {
            if !range.contains(&held) {
                let expected = format!("a number from {} to {}, found {held}", range.start(), range.end());
                return Err(Fault { field: field.into(), expected });
            }
        }
        if !(0.0..=1.0).contains(&self.overrides.stay) {
            let expected = format!("a part from 0 to 1, found {}", self.overrides.stay);
            return Err(Fault { field: "overrides.stay".into(), expected });
        }
        Ok(())
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// What is wrong, with the file and the field.
pub fn read_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    let form = |e: toml::de::Error| SettingsError::Form { path: path.to_owned(), why: e.to_string() };
    let settings: Settings = toml::from_str(&text).map_err(form)?;
    settings.check().map_err(|fault| SettingsError::Field { path: path.to_owned(), fault })?;
    Ok(settings)
}
