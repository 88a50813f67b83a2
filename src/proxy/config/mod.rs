//! The configuration of a proxy: the `PROXY_*` environment variables and the JSON file that `PROXY_CONFIG` names.

pub(crate) mod active_config;
pub(crate) mod interner;
pub(crate) mod layers;
pub(crate) mod reload;
pub(crate) mod settings;
pub(crate) mod settings_file;

use crate::api::{Nanos, Settings};
use crate::proxy::config::interner::Interner;
use crate::proxy::config::settings::{settings_of, whole};
use crate::proxy::config::settings_file::read_text;
use crate::proxy::control::policy_settings::PolicySource;
use crate::proxy::control::rollout_settings::RolloutSource;
use crate::proxy::control::settings::ControlSource;
use crate::proxy::envoy::EnvoySource;
use crate::proxy::process::supervised::Supervised;
use rushquay_control_service::Clocks;
use rushquay_endpoints::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The address for operators; the admin listener is off without it.
const ADMIN: &str = "PROXY_ADMIN_ADDR";
/// The address of discovery.
const DISCOVERY: &str = "PROXY_DISCOVERY";
/// The address for clients.
const LISTEN: &str = "PROXY_LISTEN";
/// Names the file that enables the subscription to a control service.
pub const CONTROL: &str = "PROXY_CONTROL";
/// Names the file that enables clusters, endpoints and routes in Envoy's format.
pub const ENVOY: &str = "PROXY_ENVOY";
/// Names the file that enables rollouts for this proxy.
pub const ROLLOUT: &str = "PROXY_ROLLOUT";
/// Names the file that enables policies for this proxy.
pub const POLICY: &str = "PROXY_POLICY";
/// The default for `limits.sockets`.
const DEFAULT_MAX_SOCKETS: usize = 1024;

const DEFAULT_CONNECT_TIMEOUT_NS: Nanos = 250_000_000;
const DEFAULT_DRAIN_GRACE_NS: Nanos = 500_000_000;
/// The minimum drain grace: discovery agents cannot be followed at intervals shorter than a tenth of this.
const MIN_DRAIN_GRACE_NS: Nanos = 50_000_000;
/// The default for `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 64;

/// The configuration of one proxy.
pub struct Config {
    /// The name of the proxy, which survives restarts.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators; `None`: no admin listener.
    pub admin: Option<SocketAddr>,
    /// The address of discovery; required unless clusters come in Envoy's format.
    pub discovery: Option<SocketAddr>,
    /// The seed for random numbers, different at each start.
    pub seed: u64,
    /// The maximum number of open descriptors.
    pub sockets: usize,
    /// The memory limit in bytes.
    pub memory: usize,
    /// The timeout for connecting to a node.
    pub connect_timeout: Duration,
    /// How long a node may still be sent new requests after it was reported as draining or gone.
    pub drain_grace: Nanos,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The same settings as JSON from the file: rollouts and policies are overlaid on them.
    pub own: Value,
    /// The names that the decision module knows by index.
    pub names: Interner,
    /// The last known endpoint list, which may be stale.
    pub known: Option<EndpointList>,
    /// A control service to subscribe to; `None`: the proxy uses its own discovery only.
    pub control: Option<ControlSource>,
    /// Clusters, endpoints and routes in Envoy's format, in place of discovery.
    pub envoy: Option<EnvoySource>,
    /// Where rollouts come from; `None`: the proxy applies its file only.
    pub rollout: Option<RolloutSource>,
    /// Where policies come from; `None`: no policies apply.
    pub policy: Option<PolicySource>,
    /// The clocks are injected because the clocks of two machines differ. Policy leases expire by the monotonic clock.
    pub clocks: Clocks,
    /// The supervisor that started this process, if any.
    pub supervisor: Option<Supervised>,
}

impl Config {
    /// Reads the environment and the file that it names. An error names the variable or the field at fault.
    pub fn from_env() -> Result<Self, String> {
        Self::from_env_with(&[])
    }

    /// As [`Config::from_env`], with variables that take precedence over those of the environment.
    pub fn from_env_with(told: &[(&str, String)]) -> Result<Self, String> {
        let told = |name: &str| told.iter().find(|(n, _)| *n == name).map(|(_, v)| v.clone());
        Self::read(|name| told(name).or_else(|| std::env::var(name).ok()))
    }

    /// Reads the file again. Its address of discovery now takes precedence over the environment.
    pub fn again() -> Result<Self, String> {
        Self::read(|name| std::env::var(name).ok().filter(|_| name != DISCOVERY))
    }

    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_string())?;
        let text = read_text(path.as_ref()).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))?;
        Self::parse(&text, variable).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))
    }

    /// Parses the text of the file; `variable` looks up an environment variable.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let root: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let sources = Sources { variable, root: &root };
        let envoy = sources.envoy()?;
        let listen = match (sources.address(LISTEN, "listen"), envoy.as_ref().and_then(EnvoySource::listen)) {
            (Ok(listen), _) | (Err(_), Some(listen)) => listen,
            (Err(e), None) => return Err(e),
        };
        let discovery = match (sources.address(DISCOVERY, "discovery"), &envoy) {
            (Ok(discovery), _) => Some(discovery),
            (Err(_), Some(_)) => None,
            (Err(e), None) => return Err(e),
        };
        let admin = sources.admin()?;
        let own = root.get("settings").filter(|s| s.is_object()).ok_or("settings is missing")?;
        let (settings, names) = settings_of(own)?;
        let known = root.get("known").filter(|known| !known.is_null());
        let known = known.map(EndpointList::deserialize).transpose().map_err(|e| format!("known: {e}"))?;
        let seed = seed(&root["seed"])?;
        let sockets = sources.limit("sockets", DEFAULT_MAX_SOCKETS)?;
        let memory = sources.limit("memory_mb", DEFAULT_MEMORY_MB)?.saturating_mul(1 << 20);
        let connect_timeout =
            Duration::from_nanos(duration_ns(own, "caps", "connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT_NS)?);
        let drain_grace =
            duration_ns(own, "rules", "drain_grace_ns", DEFAULT_DRAIN_GRACE_NS)?.max(MIN_DRAIN_GRACE_NS);
        let control =
            sources.section(CONTROL, "control_service", ControlSource::read, ControlSource::from_json)?;
        let read_rollout = |path: &Path| RolloutSource::read(path, own);
        let rollout =
            sources.section(ROLLOUT, "rollout", read_rollout, |told| RolloutSource::from_json(told, own))?;
        let read_policy = |path: &Path| PolicySource::read(path, own);
        let policy =
            sources.section(POLICY, "policy", read_policy, |told| PolicySource::from_json(told, own))?;
        if policy.is_some() && control.is_none() {
            return Err(format!("{POLICY} needs a control service to ask; set {CONTROL}"));
        }
        if rollout.is_some() && control.is_none() {
            return Err(format!("{ROLLOUT} needs a control service to follow; set {CONTROL}"));
        }
        if control.is_some() && envoy.is_some() {
            return Err(format!("{CONTROL} and {ENVOY} each bring the nodes; give one of the two"));
        }
        Ok(Config {
            name: sources.name(),
            supervisor: Supervised::read(&sources.variable)?,
            control,
            envoy,
            rollout,
            policy,
            clocks: Clocks::default(),
            listen,
            admin,
            discovery,
            seed,
            sockets,
            memory,
            connect_timeout,
            drain_grace,
            own: own.clone(),
            settings,
            names,
            known,
        })
    }
}

/// The sources of a configuration value: an environment variable takes precedence over the file.
struct Sources<'a, V> {
    variable: V,
    root: &'a Value,
}

impl<V: Fn(&str) -> Option<String>> Sources<'_, V> {
    fn name(&self) -> String {
        let in_file = || self.root["name"].as_str().map(str::to_owned);
        (self.variable)("PROXY_NAME").or_else(in_file).unwrap_or_default()
    }

    fn address(&self, variable: &str, field: &str) -> Result<SocketAddr, String> {
        let text = (self.variable)(variable).or_else(|| self.root[field].as_str().map(str::to_owned));
        let text = text.ok_or_else(|| format!("{field} is missing, and {variable} is not set"))?;
        text.parse().map_err(|_| format!("{variable} ({field}) is not an address: {text:?}"))
    }

    fn admin(&self) -> Result<Option<SocketAddr>, String> {
        match ((self.variable)(ADMIN), self.root.get("admin_addr").filter(|a| !a.is_null())) {
            (None, None) => Ok(None),
            _ => self.address(ADMIN, "admin_addr").map(Some),
        }
    }

    /// The settings for Envoy's format, whose file is named by a variable or by a field.
    fn envoy(&self) -> Result<Option<EnvoySource>, String> {
        let (named_by, path) = match ((self.variable)(ENVOY), self.root["envoy"].as_str()) {
            (Some(path), _) => (ENVOY, path),
            (None, Some(path)) => ("envoy", path.to_owned()),
            (None, None) => return Ok(None),
        };
        EnvoySource::read(path.as_ref()).map(Some).map_err(|e| format!("{named_by}: {e}"))
    }

    /// Reads a number in `limits`.
    fn limit(&self, name: &str, default: usize) -> Result<usize, String> {
        match &self.root["limits"][name] {
            Value::Null => Ok(default),
            other => other
                .as_f64()
                .filter(|n| *n >= 0.0)
                .map(|n| n as usize)
                .ok_or_else(|| format!("limits.{name} is not a number: {other}")),
        }
    }

    /// Reads a part of the configuration from the separate file that a variable names, or from a section of this file; `None` if it is
    /// in neither.
    fn section<T>(
        &self,
        variable: &str,
        field: &str,
        read: impl Fn(&Path) -> Result<T, String>,
        from_json: impl Fn(&Value) -> Result<T, String>,
    ) -> Result<Option<T>, String> {
        match ((self.variable)(variable), self.root.get(field).filter(|section| !section.is_null())) {
            (Some(path), _) => read(path.as_ref()).map(Some).map_err(|e| format!("{variable}: {e}")),
            (None, Some(section)) => from_json(section).map(Some).map_err(|e| format!("{field}.{e}")),
            (None, None) => Ok(None),
        }
    }
}

/// Parses the seed of random numbers: a hexadecimal string or a number; 0 if it is missing.
fn seed(value: &Value) -> Result<u64, String> {
    match value {
        Value::String(text) => {
            u64::from_str_radix(text, 16).map_err(|_| format!("seed is not hex: {text:?}"))
        }
        Value::Null => Ok(0),
        other => other.as_u64().ok_or_else(|| format!("seed is not a number: {other}")),
    }
}

/// Reads a duration in nanoseconds from the settings.
fn duration_ns(settings: &Value, group: &str, name: &str, default: Nanos) -> Result<Nanos, String> {
    match &settings[group][name] {
        Value::Null => Ok(default),
        other => whole(other).ok_or_else(|| format!("settings.{group}.{name} is not a number: {other}")),
    }
}
