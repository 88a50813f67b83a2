//! Settings of the proxy's part in rollouts, validated.

use crate::proxy::config::settings_file::read_text;
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// How this proxy takes part in rollouts: a TOML file that `PROXY_ROLLOUT` names, or `rollout` in the proxy's JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSource {
    /// Its zone.
    pub zone: String,
    /// Interval between reports.
    pub every: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    zone: Option<String>,
    #[serde(default = "every")]
    report_ms: u64,
}

fn every() -> u64 {
    1000
}

impl RolloutSource {
    /// Reads a file (TOML); `own` are the settings of the proxy's file.
    ///
    /// # Errors
    /// What is wrong, with the file and the field.
    pub fn read(path: &Path, own: &Value) -> Result<Self, String> {
        let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read = toml::from_str::<Written>(&text).map_err(|e| e.to_string());
        read.and_then(|w| Self::of(w, own)).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads the `rollout` object of the proxy's configuration.
    ///
    /// # Errors
    /// The field and what is wrong with it.
    pub fn from_json(told: &Value, own: &Value) -> Result<Self, String> {
        Written::deserialize(told).map_err(|e| e.to_string()).and_then(|w| Self::of(w, own))
    }

    fn of(written: Written, own: &Value) -> Result<Self, String> {
        if !(50..=60_000).contains(&written.report_ms) {
            return Err("report_ms: expected milliseconds from 50 to 60000".into());
        }
        let by_file = || {
            let name = &own["localities"][own["zone"].as_u64().unwrap_or(0) as usize];
            name.as_str().or(name["name"].as_str()).map(str::to_owned)
        };
        let zone = written.zone.or_else(by_file).filter(|z| !z.trim().is_empty());
        let zone = zone.ok_or("zone: expected the name of this proxy's data centre")?;
        Ok(RolloutSource { zone, every: Duration::from_millis(written.report_ms) })
    }
}
