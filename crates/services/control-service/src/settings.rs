//! The settings file of the control service (TOML).

use crate::policy::PolicySettings;
use crate::rollout::RolloutSettings;
use crate::time::{boot_id, Clocks};
use rushquay_control_state::{ConfigError, ControlConfig};
use rushquay_etcd::{EtcdShared, Prefix};
use rushquay_lease::{LeaseTerms, LeaseTermsError};
use rushquay_overrides::{OverrideLimits, SECOND};
use rushquay_state::{SharedFile, SharedState};
use rushquay_xds_grpc::{ServerLimits, Tls, TlsFiles};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

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
    /// Several instances, one of which leads.
    pub standby: Option<StandbySettings>,
    /// Changes of policy that take hold everywhere or nowhere; `None`: none are taken, and nobody has leave.
    pub policy: Option<PolicySettings>,
    /// Changes of settings in stages; `None`: none are taken, and nobody is asked what it acts by.
    pub rollout: Option<RolloutSettings>,
}

/// Several instances, one of which leads: what they share.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandbySettings {
    /// How this instance calls itself; another name for each.
    pub name: String,
    /// A leader that says nothing for so long is taken to be gone, in seconds, 1 to 300.
    #[serde(default = "ttl")]
    pub ttl_s: f64,
    /// Instances on one machine share this file.
    #[serde(default)]
    pub file: Option<PathBuf>,
    /// Instances on several machines share an etcd cluster: `http://IP:PORT` of its members. One beyond loopback needs
    /// `https` and `[standby.tls]`.
    #[serde(default)]
    pub etcd: Vec<String>,
    /// Where in etcd's keys; all under it belongs to these instances.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Mutual TLS towards etcd.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
}

fn ttl() -> f64 {
    5.0
}

fn prefix() -> String {
    "/rushquay".into()
}

impl StandbySettings {
    /// The terms of a lease.
    ///
    /// # Errors
    /// They can't hold.
    pub fn terms(&self) -> Result<LeaseTerms, LeaseTermsError> {
        LeaseTerms::of((self.ttl_s * SECOND as f64) as u64)
    }

    /// The store that instances share. Nothing is asked of it yet.
    ///
    /// # Errors
    /// A field, or TLS files that can't be used.
    pub fn store(&self, clocks: &Clocks) -> Result<Arc<dyn SharedState>, String> {
        self.check().map_err(|f| f.to_string())?;
        if let Some(path) = &self.file {
            let (steady, now) = (clocks.steady.clone(), (clocks.wall)() / SECOND);
            return Ok(Arc::new(SharedFile::new(path, &boot_id(), move || steady()).first_epoch(now)));
        }
        let prefix = Prefix::new(&self.prefix).ok_or("standby.prefix: expected a name")?;
        let tls = self.tls.as_ref().map(Tls::read).transpose().map_err(|e| format!("standby.{e}"))?;
        // Each call is over well within a lease.
        let within = Duration::from_secs_f64(self.ttl_s / 5.0);
        let tls = tls.map(|tls| tls.client(None));
        Ok(Arc::new(
            EtcdShared::new(&self.etcd, prefix, within, tls).map_err(|e| format!("standby.etcd: {e}"))?,
        ))
    }

    fn check(&self) -> Result<(), ConfigError> {
        let need = |holds: bool, field: &str, expected: &str| match holds {
            true => Ok(()),
            false => Err(ConfigError { field: field.into(), expected: expected.into() }),
        };
        need(!self.name.trim().is_empty(), "standby.name", "a name, another one for each instance")?;
        need(self.terms().is_ok(), "standby.ttl_s", "seconds from 1 to 300")?;
        need(
            self.file.is_some() == self.etcd.is_empty(),
            "standby",
            "file (instances on one machine) or etcd (on several)",
        )?;
        need(Prefix::new(&self.prefix).is_some(), "standby.prefix", "a name")?;
        for uri in &self.etcd {
            let loopback = |rest: &str| rest.parse::<SocketAddr>().is_ok_and(|a| a.ip().is_loopback());
            let plain = uri.strip_prefix("http://").is_some_and(loopback);
            let secure = uri.starts_with("https://") && self.tls.is_some();
            let expected = "http://127.0.0.1:PORT, or https://HOST:PORT with [standby.tls]";
            need(plain || secure, "standby.etcd", expected)?;
        }
        Ok(())
    }
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
        let usual = OverrideLimits::default();
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
    pub fn policy(&self) -> OverrideLimits {
        OverrideLimits {
            longest: self.longest_s.saturating_mul(SECOND),
            stay: self.stay,
            announce: self.announce_s.saturating_mul(SECOND),
            cold_after: self.cold_after_s.saturating_mul(SECOND),
            history: self.history,
            ..OverrideLimits::default()
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
        fault: ConfigError,
    },
}

impl Settings {
    /// The bounds in the server's form.
    pub fn limits(&self) -> ServerLimits {
        let usual = ServerLimits::default();
        let stream = rushquay_xds::server::Limits { names: self.limits.names, ..usual.stream };
        ServerLimits { streams: self.limits.streams, message: self.limits.message_kb << 10, stream }
    }

    fn check(&self) -> Result<(), ConfigError> {
        self.control.check()?;
        self.standby.as_ref().map_or(Ok(()), StandbySettings::check)?;
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
                return Err(ConfigError { field: field.into(), expected });
            }
        }
        if let Some((field, expected)) = self.rollout.and_then(|r| r.out_of_range()) {
            return Err(ConfigError { field: format!("rollout.{field}"), expected });
        }
        if let Some((field, expected)) = self.policy.as_ref().and_then(PolicySettings::out_of_range) {
            return Err(ConfigError { field: format!("policy.{field}"), expected });
        }
        if !(0.0..=1.0).contains(&self.overrides.stay) {
            let expected = format!("a part from 0 to 1, found {}", self.overrides.stay);
            return Err(ConfigError { field: "overrides.stay".into(), expected });
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
