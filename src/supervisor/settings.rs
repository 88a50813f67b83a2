//! The settings of a host, checked.

use crate::proxy::control::settings::ControlSource;
use rushquay_config_version::Digest;
use rushquay_supervisor::Timeouts;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A Unix socket's path is at most this long, with what a hand-over adds to the folder's.
const DIR_MOST: usize = 64;

/// What a host runs, and how it judges it.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The proxy's name.
    pub name: String,
    /// A folder of its own.
    pub dir: PathBuf,
    /// Programs, each under its digest.
    pub programs: PathBuf,
    /// What runs where no change names a program.
    pub program: Digest,
    /// Arguments of the program.
    pub args: Vec<String>,
    /// Its environment, and nothing else.
    pub environment: BTreeMap<String, String>,
    /// Spans.
    pub terms: Timeouts,
    /// Control services; `None`: its own file says all.
    pub control: Option<ControlSource>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    name: String,
    dir: PathBuf,
    programs: PathBuf,
    program: String,
    #[serde(default)]
    args: Vec<String>,
    #[serde(default)]
    environment: BTreeMap<String, String>,
    #[serde(default)]
    terms: WrittenTerms,
    control: Option<ControlSource>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenTerms {
    yes_within_s: Option<f64>,
    watch_s: Option<f64>,
    hang_s: Option<f64>,
    drain_s: Option<f64>,
    pause_s: Option<f64>,
    pause_most_s: Option<f64>,
    steady_s: Option<f64>,
    ends_most: Option<u32>,
}

impl HostSettings {
    /// Reads a file (TOML).
    ///
    /// # Errors
    /// What is wrong, with the file and the field.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let written: Written = toml::from_str(text).map_err(|e| e.to_string())?;
        let need = |holds: bool, what: &str| if holds { Ok(()) } else { Err(what.to_owned()) };
        need(!written.name.trim().is_empty(), "name: expected the proxy's name")?;
        need(written.dir.is_absolute(), "dir: expected a path from the root")?;
        let short = written.dir.as_os_str().len() <= DIR_MOST;
        need(short, "dir: expected 64 bytes at most, since sockets stand in it")?;
        need(written.programs.is_absolute(), "programs: expected a path from the root")?;
        let program =
            written.program.parse().map_err(|e| format!("program: {e}; see rushquay host digest"))?;
        if let Some(name) =
            written.environment.keys().find(|n| crate::proxy::process::supervised::ALL.contains(&n.as_str()))
        {
            return Err(format!("environment.{name}: the host sets it itself"));
        }
        let named = written.environment.get("PROXY_NAME").is_none_or(|n| *n == written.name);
        need(named, "environment.PROXY_NAME: expected what name says")?;
        let (usual, told) = (Timeouts::default(), written.terms);
        let span = |told: Option<f64>, usual| told.map_or(usual, |s| (s.max(0.0) * 1e9) as u64);
        let terms = Timeouts {
            yes_within: span(told.yes_within_s, usual.yes_within),
            watch: span(told.watch_s, usual.watch),
            hang: span(told.hang_s, usual.hang),
            drain: span(told.drain_s, usual.drain),
            pause: span(told.pause_s, usual.pause),
            pause_most: span(told.pause_most_s, usual.pause_most),
            steady: span(told.steady_s, usual.steady),
            ends_most: told.ends_most.unwrap_or(usual.ends_most),
        };
        let terms = terms.checked().map_err(|e| format!("terms.{e}"))?;
        let control = written.control.map(ControlSource::validate).transpose();
        let control = control.map_err(|e| format!("control.{e}"))?;
        let Written { name, dir, programs, args, environment, .. } = written;
        Ok(HostSettings { name, dir, programs, program, args, environment, terms, control })
    }
}

#[cfg(test)]
mod tests;
