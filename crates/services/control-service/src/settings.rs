//! The settings file of the control service (TOML).

use crate::policy::PolicySettings;
use crate::rollout::RolloutSettings;
use crate::time::{boot_id, Clocks};
use rushquay_control_state::{ConfigError, ControlConfig};
use rushquay_etcd::{EtcdShared, Prefix};
use rushquay_lease::{LeaseTerms, LeaseTermsError};
use rushquay_overrides::{OverrideLimits, SECOND};
use rushquay_state::{SharedFile, SharedState};
use rushquay_xds_grpc::{ServerLimits, Tls, TlsError, TlsFiles};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// The endpoint source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceOption {
    /// Discovery at this address.
    Discovery(SocketAddr),
    /// A file in discovery's format.
    Nodes(PathBuf),
}

/// The settings file. Every part of it is optional.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Settings of the control state, which decides about the endpoint list.
    pub control: ControlConfig,
    /// Mutual TLS for the xDS listener.
    pub tls: Option<TlsFiles>,
    /// Limits for subscribers.
    pub limits: LimitSettings,
    /// Limits of operators' overrides.
    pub overrides: OverrideSettings,
    /// Several instances, one of which leads; `None` if this is the only one.
    pub standby: Option<StandbySettings>,
    /// Policy changes, which take effect on all proxies or none; if `None`, no changes are accepted and no leases granted.
    pub policy: Option<PolicySettings>,
    /// Rollouts; if `None`, no rollouts are accepted and proxies are not tracked.
    pub rollout: Option<RolloutSettings>,
}

/// Several instances, one of which leads, and the store that they share.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandbySettings {
    /// The name of this instance, unique among all instances.
    pub name: String,
    /// The lease's time to live in seconds, 1 to 300. A leader that does not renew it for that long loses its leadership.
    #[serde(default = "default_ttl_s")]
    pub ttl_s: f64,
    /// The file that instances on one machine share.
    #[serde(default)]
    pub file: Option<PathBuf>,
    /// The members of the etcd cluster that instances on several machines share: `http://IP:PORT`. One beyond loopback needs `https` and
    /// `[standby.tls]`.
    #[serde(default)]
    pub etcd: Vec<String>,
    /// The prefix of their keys in etcd; all keys under it belong to these instances.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Mutual TLS for connections to etcd.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
}

fn default_ttl_s() -> f64 {
    5.0
}

fn default_prefix() -> String {
    "/rushquay".into()
}

impl StandbySettings {
    /// The terms of a lease.
    ///
    /// # Errors
    /// The time to live is out of its range.
    pub fn terms(&self) -> Result<LeaseTerms, LeaseTermsError> {
        LeaseTerms::from_ttl((self.ttl_s * SECOND as f64) as u64)
    }

    /// The store that instances share. No request is sent to it yet.
    ///
    /// # Errors
    /// A field that is out of its range, or TLS files that can't be used.
    pub fn store(&self, clocks: &Clocks) -> Result<Arc<dyn SharedState>, StandbyError> {
        self.check()?;
        if let Some(path) = &self.file {
            let (steady, unix_s) = (clocks.monotonic.clone(), (clocks.wall)() / SECOND);
            return Ok(Arc::new(SharedFile::new(path, &boot_id(), move || steady()).first_epoch(unix_s)));
        }
        let prefix = Prefix::new(&self.prefix).ok_or(StandbyError::Prefix)?;
        let tls = self.tls.as_ref().map(Tls::read).transpose()?;
        // Short enough for several calls within one lease.
        let call_timeout = Duration::from_secs_f64(self.ttl_s / 5.0);
        let tls = tls.map(|tls| tls.client(None));
        Ok(Arc::new(
            EtcdShared::new(&self.etcd, prefix, call_timeout, tls)
                .map_err(|e| StandbyError::Etcd(e.clone()))?,
        ))
    }

    fn check(&self) -> Result<(), ConfigError> {
        let require = |is_valid: bool, field: &str, expected: &str| match is_valid {
            true => Ok(()),
            false => Err(ConfigError { field: field.into(), expected: expected.into() }),
        };
        require(!self.name.trim().is_empty(), "standby.name", "a name, another one for each instance")?;
        require(self.terms().is_ok(), "standby.ttl_s", "seconds from 1 to 300")?;
        require(
            self.file.is_some() == self.etcd.is_empty(),
            "standby",
            "file (instances on one machine) or etcd (on several)",
        )?;
        require(Prefix::new(&self.prefix).is_some(), "standby.prefix", "a name")?;
        for uri in &self.etcd {
            let is_loopback = |rest: &str| rest.parse::<SocketAddr>().is_ok_and(|a| a.ip().is_loopback());
            let is_local = uri.strip_prefix("http://").is_some_and(is_loopback);
            let is_secure = uri.starts_with("https://") && self.tls.is_some();
            let expected = "http://127.0.0.1:PORT, or https://HOST:PORT with [standby.tls]";
            require(is_local || is_secure, "standby.etcd", expected)?;
        }
        Ok(())
    }
}

/// The reason why the shared store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StandbyError {
    /// A field is out of its range.
    #[error(transparent)]
    Field(#[from] ConfigError),
    /// The prefix of the keys in etcd is empty.
    #[error("standby.prefix: expected a name")]
    Prefix,
    /// TLS files that can't be used.
    #[error("standby.{0}")]
    Tls(#[from] TlsError),
    /// The etcd client can't be started.
    #[error("standby.etcd: {0}")]
    Etcd(String),
    /// The time to live is out of its range.
    #[error("standby.{0}")]
    Terms(#[from] LeaseTermsError),
}

/// Limits of operators' overrides.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OverrideSettings {
    /// The longest duration of an override in seconds, 60 to 604800.
    pub longest_s: u64,
    /// The fraction of the fleet's weight that must stay in service, 0 to 1.
    pub stay: f64,
    /// How long before its expiry an override is announced, in seconds.
    pub announce_s: u64,
    /// Seconds out of service after which a node comes back with a cold cache.
    pub cold_after_s: u64,
    /// Events in the history, 100 to 1000000.
    pub history: usize,
}

impl Default for OverrideSettings {
    fn default() -> Self {
        let defaults = OverrideLimits::default();
        OverrideSettings {
            longest_s: defaults.max_duration / SECOND,
            stay: defaults.min_weight_in_service,
            announce_s: defaults.announce / SECOND,
            cold_after_s: defaults.cold_after / SECOND,
            history: defaults.history,
        }
    }
}

impl OverrideSettings {
    /// The limits, in the form that the override set uses.
    pub fn policy(&self) -> OverrideLimits {
        OverrideLimits {
            max_duration: self.longest_s.saturating_mul(SECOND),
            min_weight_in_service: self.stay,
            announce: self.announce_s.saturating_mul(SECOND),
            cold_after: self.cold_after_s.saturating_mul(SECOND),
            history: self.history,
            ..OverrideLimits::default()
        }
    }
}

/// Limits for subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum concurrent streams, 1 to 1000000.
    pub streams: usize,
    /// Maximum number of names of one resource type to which a stream subscribes, 1 to 1000000.
    pub names: usize,
    /// Maximum size of a subscriber's message in KiB, 4 to 65536.
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
        /// The operating system's error.
        source: std::io::Error,
    },
    /// It is not valid TOML, or a field is unknown or has the wrong type.
    #[error("{path}: {why}")]
    Form {
        /// The file.
        path: PathBuf,
        /// The position and the problem.
        why: String,
    },
    /// A field is out of its range.
    #[error("{path}: {fault}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field and the expected range.
        fault: ConfigError,
    },
}

impl Settings {
    /// The limits, in the form that the xDS server uses.
    pub fn limits(&self) -> ServerLimits {
        let defaults = ServerLimits::default();
        let stream = rushquay_xds::server::Limits { names: self.limits.names, ..defaults.stream };
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
        for (field, value, range) in ranges {
            if !range.contains(&value) {
                let expected = format!("a number from {} to {}, found {value}", range.start(), range.end());
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

/// Reads and validates a settings file.
///
/// # Errors
/// See [`SettingsError`]; the message names the file and the field.
pub fn read_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    let malformed = |e: toml::de::Error| SettingsError::Form { path: path.to_owned(), why: e.to_string() };
    let settings: Settings = toml::from_str(&text).map_err(malformed)?;
    settings.check().map_err(|fault| SettingsError::Field { path: path.to_owned(), fault })?;
    Ok(settings)
}
