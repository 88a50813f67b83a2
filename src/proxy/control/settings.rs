//! Settings of the subscription to a control service, with validation.

use crate::proxy::config::settings_file::read_text;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The settings of the subscription: a TOML file that `PROXY_CONTROL` names, or `control_service` in the proxy's JSON.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSource {
    /// Addresses of control services, `IP:PORT` each. The proxy subscribes to one at a time, and to the next if that fails.
    pub addresses: Vec<SocketAddr>,
    /// The clusters whose endpoints form the endpoint list.
    #[serde(default = "clusters")]
    pub clusters: Vec<String>,
    /// Whether to subscribe to LEDS collections, in which a change transfers one endpoint. Set to false for a server without them;
    /// complete clusters are requested then.
    #[serde(default = "yes")]
    pub collections: bool,
    /// How long, in seconds, a drain takes precedence over a control service or a list that is older than the drain.
    #[serde(default = "hold")]
    pub hold_s: u64,
    /// Initial backoff before reconnecting, in milliseconds; it doubles with each failure.
    #[serde(default = "backoff")]
    pub backoff_ms: u64,
    /// Maximum backoff, in milliseconds.
    #[serde(default = "backoff_most")]
    pub backoff_most_ms: u64,
    /// Maximum number of endpoints accepted.
    #[serde(default = "endpoints_most")]
    pub endpoints_most: usize,
    /// Mutual TLS; required if an address is not on loopback.
    #[serde(default)]
    pub tls: Option<ControlTls>,
}

/// Mutual TLS towards the control service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlTls {
    /// This proxy's certificate (PEM).
    pub cert: std::path::PathBuf,
    /// Its key (PEM).
    pub key: std::path::PathBuf,
    /// The certificate authority that signed the control service's certificate (PEM).
    pub ca: std::path::PathBuf,
    /// The name in the control service's certificate.
    pub server_name: String,
}

fn clusters() -> Vec<String> {
    vec!["cache-nodes".into(), "origin".into()]
}
fn yes() -> bool {
    true
}
fn hold() -> u64 {
    3600
}
fn backoff() -> u64 {
    100
}
fn backoff_most() -> u64 {
    5000
}
fn endpoints_most() -> usize {
    10_000
}

impl ControlSource {
    /// Reads and validates a TOML file.
    ///
    /// # Errors
    /// A message that names the file and the field.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read = toml::from_str::<Self>(&text).map_err(|e| e.to_string()).and_then(Self::validate);
        read.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and validates the `control_service` object of the proxy's configuration.
    ///
    /// # Errors
    /// A message that names the field.
    pub fn from_json(value: &serde_json::Value) -> Result<Self, String> {
        Self::deserialize(value).map_err(|e| e.to_string()).and_then(Self::validate)
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// A message that names the field.
    pub(crate) fn validate(self) -> Result<Self, String> {
        let need = |valid: bool, message: &str| if valid { Ok(()) } else { Err(message.to_owned()) };
        need(!self.addresses.is_empty(), "addresses: expected one address at least")?;
        need(!self.clusters.is_empty(), "clusters: expected one name at least")?;
        need(self.clusters.iter().all(|c| !c.is_empty()), "clusters: expected non-empty names")?;
        need((1..=604_800).contains(&self.hold_s), "hold_s: expected seconds from 1 to 604800")?;
        need((1..=60_000).contains(&self.backoff_ms), "backoff_ms: expected milliseconds from 1 to 60000")?;
        let allowed = self.backoff_ms..=600_000;
        need(
            allowed.contains(&self.backoff_most_ms),
            "backoff_most_ms: expected milliseconds from backoff_ms to 600000",
        )?;
        need((1..=1_000_000).contains(&self.endpoints_most), "endpoints_most: expected 1 to 1000000")?;
        if self.tls.is_none() {
            let remote = self.addresses.iter().find(|a| !a.ip().is_loopback());
            let missing_tls = |a| {
                Err(format!("tls: expected cert, key, ca and server_name, because {a} is beyond loopback"))
            };
            remote.map_or(Ok(()), missing_tls)?;
        }
        Ok(self)
    }
}
