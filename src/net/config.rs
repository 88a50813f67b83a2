//! What the platform tells a proxy: the `PROXY_*` variables and the JSON file that they name.

use ravenlug::api::{server_id, Entry, Nanos, Settings, State};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const DISCOVERY: &str = "PROXY_DISCOVERY";
/// Sockets that a proxy may hold where nothing is said.
const SOCKETS: usize = 1024;

/// Megabytes that it may hold where nothing is said.
const MEMORY_MB: usize = 64;

/// The configuration of one proxy.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
    pub connect_timeout: Duration,
    pub settings: Settings,
    pub names: Names,
    pub known: Option<Members>,
}

/// The names that stand on the sockets for what the module knows by number.
#[derive(Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// A list of cache nodes in discovery's form.
#[derive(Deserialize)]
pub struct Members {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Member>,
}

/// A cache node in discovery's form.
#[derive(Deserialize)]
pub struct Member {
    id: String,
    #[serde(default)]
    addr: String,
    #[serde(default)]
    zone: Value,
    #[serde(default)]
    kind: Value,
    #[serde(default)]
    cell: Option<u32>,
    state: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: Option<f64>,
}

impl Names {
    /// The module's form of a cache node, and where to connect.
    pub fn entry(&self, m: &Member) -> (Entry, Option<SocketAddr>) {
        // A name that the settings do not list is none of those that they do.
        let index = |names: &[String], v: &Value| {
            let known = v.as_str().and_then(|name| names.iter().position(|n| n == name));
            known.unwrap_or(names.len()) as u32
        };
        let entry = Entry {
            server: server_id(&m.id),
            zone: index(&self.zones, &m.zone),
            kind: index(&self.kinds, &m.kind),
            cell: m.cell.unwrap_or(0),
            state: match m.state.as_str() {
                "ready" => State::Ready,
                "gone" => State::Gone,
                // A state that is new here gets nothing new.
                _ => State::Draining,
            },
            weight: m.weight.unwrap_or(1.0),
            started: (m.started_ms.unwrap_or(0.0) * 1e6) as Nanos,
        };
        (entry, m.addr.parse().ok())
    }
}

impl Config {
    /// Reads the environment and the file that it names. An error names the variable or the field at fault.
    pub fn from_env() -> Result<Self, String> {
        Self::read(|name| std::env::var(name).ok())
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

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let root: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let address = |name: &str, field: &str| {
            let told = variable(name).or_else(|| root[field].as_str().map(str::to_owned));
            let told = told.ok_or_else(|| format!("{field} is missing, and {name} is not set"))?;
            told.parse::<SocketAddr>().map_err(|_| format!("{name} ({field}) is not an address: {told:?}"))
        };
        let (listen, discovery) = (address("PROXY_LISTEN", "listen")?, address(DISCOVERY, "discovery")?);
        let told = root.get("settings").filter(|s| s.is_object()).ok_or("settings is missing")?;
        let mut pairs = Vec::new();
        flatten("", told, &mut pairs);
        let settings = ravenlug::wire::settings(pairs.iter().map(String::as_str))
            .map_err(|e| format!("settings: {e}"))?;
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
        Ok(Config { listen, discovery, seed, sockets, memory, connect_timeout, settings, names, known })
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
