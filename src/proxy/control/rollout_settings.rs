//! Settings of the proxy's participation in rollouts, with validation.

use crate::proxy::config::settings_file::read_text;
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// The rollout settings of this proxy: a TOML file that `PROXY_ROLLOUT` names, or `rollout` in the proxy's JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSource {
    /// The zone of this proxy.
    pub zone: String,
    /// Interval between reports.
    pub report_interval: Duration,
}

/// The settings as they are written in a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutFile {
    zone: Option<String>,
    #[serde(default = "every")]
    report_ms: u64,
}

fn every() -> u64 {
    1000
}

impl RolloutSource {
    /// Reads and validates a TOML file. `own` are the proxy's own settings.
    ///
    /// # Errors
    /// A message that names the file and the field.
    pub fn read(path: &Path, own: &Value) -> Result<Self, String> {
        let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read = toml::from_str::<RolloutFile>(&text).map_err(|e| e.to_string());
        read.and_then(|file| Self::validate(file, own)).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and validates the `rollout` object of the proxy's configuration.
    ///
    /// # Errors
    /// A message that names the field.
    pub fn from_json(value: &Value, own: &Value) -> Result<Self, String> {
        RolloutFile::deserialize(value).map_err(|e| e.to_string()).and_then(|file| Self::validate(file, own))
    }

    /// Validates the settings. The zone defaults to the zone in the proxy's own settings.
    fn validate(file: RolloutFile, own: &Value) -> Result<Self, String> {
        if !(50..=60_000).contains(&file.report_ms) {
            return Err("report_ms: expected milliseconds from 50 to 60000".into());
        }
        let own_zone = || {
            let name = &own["localities"][own["zone"].as_u64().unwrap_or(0) as usize];
            name.as_str().or(name["name"].as_str()).map(str::to_owned)
        };
        let zone = file.zone.or_else(own_zone).filter(|z| !z.trim().is_empty());
        let zone = zone.ok_or("zone: expected the name of this proxy's data centre")?;
        Ok(RolloutSource { zone, report_interval: Duration::from_millis(file.report_ms) })
    }
}
