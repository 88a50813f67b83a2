//! The settings file of a supervisor and its validation.

use crate::proxy::control::settings::ControlSource;
use rushquay_config_version::Digest;
use rushquay_supervisor::Timeouts;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The longest folder path, in bytes: the sockets of a hand-over are in the folder, and Unix limits the length of their
/// paths.
const MAX_DIR_BYTES: usize = 64;

/// What a supervisor runs, and the timeouts by which it judges its processes.
#[derive(Clone, Debug)]
pub struct SupervisorSettings {
    /// The proxy's name.
    pub name: String,
    /// The supervisor's own folder.
    pub dir: PathBuf,
    /// The folder of the programs, each named by its digest.
    pub programs: PathBuf,
    /// The digest of the program that runs if no assignment names one.
    pub program: Digest,
    /// Arguments of the program.
    pub args: Vec<String>,
    /// The whole environment of the program: nothing is inherited from the supervisor.
    pub environment: BTreeMap<String, String>,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// The control services; `None`: only this file determines what runs.
    pub control: Option<ControlSource>,
}

/// The settings as written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    name: String,
    dir: PathBuf,
    programs: PathBuf,
    program: String,
    #[serde(default)]
    args: Vec<String>,
    #[serde(default)]
    environment: BTreeMap<String, String>,
    #[serde(default)]
    terms: RawTimeouts,
    control: Option<ControlSource>,
}

/// The timeouts as written in the file; missing ones have their default.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTimeouts {
    yes_within_s: Option<f64>,
    watch_s: Option<f64>,
    hang_s: Option<f64>,
    drain_s: Option<f64>,
    pause_s: Option<f64>,
    pause_most_s: Option<f64>,
    steady_s: Option<f64>,
    ends_most: Option<u32>,
}

impl SupervisorSettings {
    /// Reads and validates a settings file (TOML).
    ///
    /// # Errors
    /// What is invalid, with the file and the field.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let raw: RawSettings = toml::from_str(text).map_err(|e| e.to_string())?;
        let require = |valid: bool, error: &str| if valid { Ok(()) } else { Err(error.to_owned()) };
        require(!raw.name.trim().is_empty(), "name: expected the proxy's name")?;
        require(raw.dir.is_absolute(), "dir: expected an absolute path")?;
        let is_short_enough = raw.dir.as_os_str().len() <= MAX_DIR_BYTES;
        require(is_short_enough, "dir: expected at most 64 bytes, since it contains sockets")?;
        require(raw.programs.is_absolute(), "programs: expected an absolute path")?;
        let program = raw.program.parse().map_err(|e| format!("program: {e}; see rushquay host digest"))?;
        if let Some(name) =
            raw.environment.keys().find(|n| crate::proxy::process::supervised::ALL.contains(&n.as_str()))
        {
            return Err(format!("environment.{name}: reserved: the supervisor sets it"));
        }
        let name_matches = raw.environment.get("PROXY_NAME").is_none_or(|n| *n == raw.name);
        require(name_matches, "environment.PROXY_NAME: expected the value of name")?;
        let (defaults, given) = (Timeouts::default(), raw.terms);
        let nanos = |given: Option<f64>, default| given.map_or(default, |s| (s.max(0.0) * 1e9) as u64);
        let timeouts = Timeouts {
            startup: nanos(given.yes_within_s, defaults.startup),
            observation: nanos(given.watch_s, defaults.observation),
            hang: nanos(given.hang_s, defaults.hang),
            drain: nanos(given.drain_s, defaults.drain),
            min_backoff: nanos(given.pause_s, defaults.min_backoff),
            max_backoff: nanos(given.pause_most_s, defaults.max_backoff),
            steady: nanos(given.steady_s, defaults.steady),
            max_failures: given.ends_most.unwrap_or(defaults.max_failures),
        };
        let timeouts = timeouts.validate().map_err(|e| format!("terms.{e}"))?;
        let control = raw.control.map(ControlSource::validate).transpose();
        let control = control.map_err(|e| format!("control.{e}"))?;
        let RawSettings { name, dir, programs, args, environment, .. } = raw;
        Ok(SupervisorSettings { name, dir, programs, program, args, environment, timeouts, control })
    }
}

#[cfg(test)]
mod tests;
