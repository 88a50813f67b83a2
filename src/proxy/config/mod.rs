//! What the platform tells a proxy: the `PROXY_*` variables and the JSON file that they name.

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

/// Where operators call; off without it.
const ADMIN: &str = "PROXY_ADMIN_ADDR";
const DISCOVERY: &str = "PROXY_DISCOVERY";
/// Where clients connect.
const LISTEN: &str = "PROXY_LISTEN";
/// Names the file that switches the subscription to a control service on.
pub const CONTROL: &str = "PROXY_CONTROL";
/// Names the file that has clusters, endpoints and routes come in Envoy's form.
pub const ENVOY: &str = "PROXY_ENVOY";
/// Names the file that has this proxy take part in rollouts.
pub const ROLLOUT: &str = "PROXY_ROLLOUT";
/// Names the file that has this proxy take part in policies.
pub const POLICY: &str = "PROXY_POLICY";
/// Sockets that a proxy may hold where nothing is said.
const SOCKETS: usize = 1024;

/// Where the settings say nothing of these.
const CONNECT_TIMEOUT: Nanos = 250_000_000;
const DRAIN_GRACE: Nanos = 500_000_000;
/// No agent can be followed more closely than a tenth of this.
const DRAIN_GRACE_LEAST: Nanos = 50_000_000;
/// Megabytes that it may hold where nothing is said.
const MEMORY_MB: usize = 64;

/// The configuration of one proxy.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call; `None`: nowhere.
    pub admin: Option<SocketAddr>,
    /// Discovery's address; needed unless clusters come in Envoy's form.
    pub discovery: Option<SocketAddr>,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
    /// How long a connection to a node may take to come up.
    pub connect_timeout: Duration,
    /// How long after a change was told a node that drains or is gone may still be sent new work.
    pub drain_grace: Nanos,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The same as the file has them: rollouts and policies are laid over them.
    pub own: Value,
    /// The names of what it knows by number.
    pub names: Interner,
    /// The endpoint list that was known last; may be stale.
    pub known: Option<EndpointList>,
    /// A control service to subscribe to; `None`: the proxy follows its own discovery alone.
    pub control: Option<ControlSource>,
    /// Clusters, endpoints and routes in Envoy's form, in place of discovery.
    pub envoy: Option<EnvoySource>,
    /// This proxy's part in rollouts; `None`: it applies its file alone.
    pub rollout: Option<RolloutSource>,
    /// This proxy's part in policies; `None`: it has none.
    pub policy: Option<PolicySource>,
    /// The clocks, passed in, since the clocks of two machines differ: policy leases expire by the steady one.
    pub clocks: Clocks,
    /// The supervisor that started this process; `None`: there is none.
    pub hosted: Option<Supervised>,
}

impl Config {
    /// Reads the environment and the file that it names. An error names the variable or the field at fault.
    pub fn from_env() -> Result<Self, String> {
        Self::from_env_and(&[])
    }

    /// The same, with variables that go before those of the environment.
    pub fn from_env_and(told: &[(&str, String)]) -> Result<Self, String> {
        let told = |name: &str| told.iter().find(|(n, _)| *n == name).map(|(_, v)| v.clone());
        Self::read(|name| told(name).or_else(|| std::env::var(name).ok()))
    }

    /// Reads the file again; what it says of discovery now counts for more than the environment.
    pub fn again() -> Result<Self, String> {
        Self::read(|name| std::env::var(name).ok().filter(|_| name != DISCOVERY))
    }

    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_string())?;
        let text = read_text(path.as_ref()).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))?;
        Self::parse(&text, variable).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))
    }

    /// Reads the file's text; `variable` gives what the environment says.
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
        let sockets = sources.limit("sockets", SOCKETS)?;
        let memory = sources.limit("memory_mb", MEMORY_MB)?.saturating_mul(1 << 20);
        let connect_timeout = Duration::from_nanos(span(own, "caps", "connect_timeout_ns", CONNECT_TIMEOUT)?);
        let drain_grace = span(own, "rules", "drain_grace_ns", DRAIN_GRACE)?.max(DRAIN_GRACE_LEAST);
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
            hosted: Supervised::read(&sources.variable)?,
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

/// Where a value of the configuration may come from: a variable of the environment goes before the file.
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

    /// The file of Envoy's form; it is named in either place.
    fn envoy(&self) -> Result<Option<EnvoySource>, String> {
        let (named_by, path) = match ((self.variable)(ENVOY), self.root["envoy"].as_str()) {
            (Some(path), _) => (ENVOY, path),
            (None, Some(path)) => ("envoy", path.to_owned()),
            (None, None) => return Ok(None),
        };
        EnvoySource::read(path.as_ref()).map(Some).map_err(|e| format!("{named_by}: {e}"))
    }

    /// A number of `limits`.
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

    /// A part that stands in a file of its own, which a variable names, or in a section of this file; `None`: in neither.
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

/// The seed of random numbers: hexadecimal text, or a number; 0 where there is none.
fn seed(value: &Value) -> Result<u64, String> {
    match value {
        Value::String(text) => {
            u64::from_str_radix(text, 16).map_err(|_| format!("seed is not hex: {text:?}"))
        }
        Value::Null => Ok(0),
        other => other.as_u64().ok_or_else(|| format!("seed is not a number: {other}")),
    }
}

/// A span of the settings in nanoseconds.
fn span(settings: &Value, group: &str, name: &str, default: Nanos) -> Result<Nanos, String> {
    match &settings[group][name] {
        Value::Null => Ok(default),
        other => whole(other).ok_or_else(|| format!("settings.{group}.{name} is not a number: {other}")),
    }
}
