//! What the platform tells a proxy: the `PROXY_*` variables and the JSON file that they name.

use super::envoy::EnvoySource;
use super::subscription::ControlSource;
use crate::api::{server_id, Entry, Settings, State};
use rushquay_nodes::{Member, Members, NodeState};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Where operators call; off without it.
const ADMIN: &str = "PROXY_ADMIN_ADDR";
const DISCOVERY: &str = "PROXY_DISCOVERY";
/// Names the file that switches the subscription to a control service on.
pub const CONTROL: &str = "PROXY_CONTROL";
/// Names the file that has clusters, endpoints and routes come in Envoy's form.
pub const ENVOY: &str = "PROXY_ENVOY";
/// Sockets that a proxy may hold where nothing is said.
const SOCKETS: usize = 1024;

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
    /// What the module is told.
    pub settings: Settings,
    /// The names of what it knows by number.
    pub names: Names,
    /// The node list as it was last had; may be old.
    pub known: Option<Members>,
    /// A control service to subscribe to; `None`: the proxy follows its own discovery alone.
    pub control: Option<ControlSource>,
    /// Clusters, endpoints and routes in Envoy's form, in place of discovery.
    pub envoy: Option<EnvoySource>,
}

/// The names that stand on the sockets for what the module knows by number.
#[derive(Default)]
pub struct Names {
    /// Of classes.
    pub classes: Vec<String>,
    /// Of tenants.
    pub tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Names {
    /// The module's form of a cache node, and where to connect.
    pub fn entry(&self, m: &Member) -> (Entry, Option<SocketAddr>) {
        // A name that the settings do not list is none of those that they do.
        let index =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len()) as u32;
        // Danger: two such zones taken for one would be taken for one group that drops repeats.
        let zone = match index(&self.zones, &m.zone) {
            known if (known as usize) < self.zones.len() || m.zone.is_empty() => known,
            _ => (1 << 30) + (server_id(&m.zone) >> 34) as u32,
        };
        let entry = Entry {
            server: server_id(&m.id),
            zone,
            kind: index(&self.kinds, &m.kind),
            cell: m.cell,
            state: match m.state {
                NodeState::Ready => State::Ready,
                NodeState::Draining => State::Draining,
                NodeState::Gone => State::Gone,
            },
            weight: m.weight,
            started: m.started,
        };
        (entry, m.addr)
    }
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
        let text = std::fs::read_to_string(&path).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))?;
        Self::parse(&text, variable).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))
    }

    /// Reads the file's text; `variable` gives what the environment says.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let root: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let address = |name: &str, field: &str| {
            let told = variable(name).or_else(|| root[field].as_str().map(str::to_owned));
            let told = told.ok_or_else(|| format!("{field} is missing, and {name} is not set"))?;
            told.parse::<SocketAddr>().map_err(|_| format!("{name} ({field}) is not an address: {told:?}"))
        };
        let envoy = match (variable(ENVOY), root["envoy"].as_str()) {
            (Some(path), _) => Some((ENVOY, path)),
            (None, Some(path)) => Some(("envoy", path.to_owned())),
            (None, None) => None,
        };
        let envoy =
            envoy.map(|(name, path)| EnvoySource::read(path.as_ref()).map_err(|e| format!("{name}: {e}")));
        let envoy = envoy.transpose()?;
        let listen = match (address("PROXY_LISTEN", "listen"), envoy.as_ref().and_then(EnvoySource::listen)) {
            (Ok(listen), _) | (Err(_), Some(listen)) => listen,
            (Err(e), None) => return Err(e),
        };
        let discovery = match (address(DISCOVERY, "discovery"), &envoy) {
            (Ok(discovery), _) => Some(discovery),
            (Err(_), Some(_)) => None,
            (Err(e), None) => return Err(e),
        };
        let admin = match (variable(ADMIN), root.get("admin_addr").filter(|a| !a.is_null())) {
            (None, None) => None,
            _ => Some(address(ADMIN, "admin_addr")?),
        };
        let told = root.get("settings").filter(|s| s.is_object()).ok_or("settings is missing")?;
        let mut pairs = Vec::new();
        flatten("", told, &mut pairs);
        let settings =
            crate::wire::settings(pairs.iter().map(String::as_str)).map_err(|e| format!("settings: {e}"))?;
        let names = Names {
            classes: names(told, "categories")?,
            tenants: names(told, "customers")?,
            zones: names(told, "localities")?,
            kinds: names(told, "machine_types")?,
        };
        if names.classes.is_empty() {
            return Err("settings.categories is missing or empty".into());
        }
        if let Some(i) = settings.classes.iter().position(|c| c.deadline == 0) {
            return Err(format!("settings.categories.{i}.deadline_ns is missing or 0"));
        }
        let known = match root.get("known").filter(|k| !k.is_null()) {
            Some(known) => Some(Members::deserialize(known).map_err(|e| format!("known: {e}"))?),
            None => None,
        };
        let seed = match &root["seed"] {
            Value::String(s) => u64::from_str_radix(s, 16).map_err(|_| format!("seed is not hex: {s:?}"))?,
            Value::Null => 0,
            other => other.as_u64().ok_or_else(|| format!("seed is not a number: {other}"))?,
        };
        let limit = |name: &str, usual: usize| match &root["limits"][name] {
            Value::Null => Ok(usual),
            other => other
                .as_f64()
                .filter(|n| *n >= 0.0)
                .map(|n| n as usize)
                .ok_or_else(|| format!("limits.{name} is not a number: {other}")),
        };
        let (sockets, memory) =
            (limit("sockets", SOCKETS)?, limit("memory_mb", MEMORY_MB)?.saturating_mul(1 << 20));
        let connect = &told["caps"]["connect_timeout_ns"];
        let connect = match connect {
            Value::Null => 250_000_000,
            other => whole(other)
                .ok_or_else(|| format!("settings.caps.connect_timeout_ns is not a number: {other}"))?,
        };
        let connect_timeout = Duration::from_nanos(connect);
        let name =
            variable("PROXY_NAME").or_else(|| root["name"].as_str().map(str::to_owned)).unwrap_or_default();
        let control = match (variable(CONTROL), root.get("control_service").filter(|c| !c.is_null())) {
            (Some(path), _) => {
                Some(ControlSource::read(path.as_ref()).map_err(|e| format!("{CONTROL}: {e}"))?)
            }
            (None, Some(told)) => {
                Some(ControlSource::from_json(told).map_err(|e| format!("control_service.{e}"))?)
            }
            (None, None) => None,
        };
        if control.is_some() && envoy.is_some() {
            return Err(format!("{CONTROL} and {ENVOY} each bring the nodes; give one of the two"));
        }
        Ok(Config {
            name,
            control,
            envoy,
            listen,
            admin,
            discovery,
            seed,
            sockets,
            memory,
            connect_timeout,
            settings,
            names,
            known,
        })
    }
}

/// A number without a fraction, however it is written.
fn whole(v: &Value) -> Option<u64> {
    let float = || v.as_f64().filter(|f| f.fract() == 0.0 && (0.0..9e15).contains(f)).map(|f| f as u64);
    v.as_u64().or_else(float)
}

/// The names in a list of texts or of objects that have one.
fn names(settings: &Value, field: &str) -> Result<Vec<String>, String> {
    let Some(list) = settings.get(field) else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| format!("settings.{field} is not a list"))?;
    let name = |(i, v): (usize, &Value)| {
        let name = v.as_str().or_else(|| v["name"].as_str());
        name.map(str::to_owned).ok_or_else(|| format!("settings.{field}.{i}.name is missing"))
    };
    list.iter().enumerate().map(name).collect()
}

/// Nested settings in the form of the simulator's wire, so that both programs read them alike.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<String>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&below(name), v, pairs)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            pairs.push(format!("{}={}", below("count"), list.len()));
            list.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
        }
        Value::Array(list) => {
            let row: Vec<String> = list.iter().map(plain).collect();
            pairs.push(format!("{path}={}", row.join(",")));
        }
        plain_value => pairs.push(format!("{path}={}", plain(plain_value))),
    }
}

fn plain(value: &Value) -> String {
    match (value, whole(value)) {
        (_, Some(number)) => number.to_string(),
        (Value::String(text), _) => text.clone(),
        (other, _) => other.to_string(),
    }
}
