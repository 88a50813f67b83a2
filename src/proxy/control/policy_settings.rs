//! Settings of the proxy's part in policies, validated.

use crate::proxy::config::settings_file::read_text;
use rushquay_policy::{FallbackPolicy, StartupPolicy};
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// How this proxy takes part in policies: a TOML file that `PROXY_POLICY` names, or `policy` in the proxy's JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySource {
    /// Interval between requests for a policy lease.
    pub every: Duration,
    /// What the process does after its start until it holds a policy lease.
    pub unanswered: StartupPolicy,
    /// The fallback policy that it may start under without a lease.
    pub floor: FallbackPolicy,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    #[serde(default = "every")]
    ask_ms: u64,
    floor_after_s: Option<f64>,
    floor: Option<Value>,
}

fn every() -> u64 {
    1000
}

impl PolicySource {
    /// Reads a file (TOML); `own` are the settings of the proxy's file.
    ///
    /// # Errors
    /// What is wrong, with the file and the field.
    pub fn read(path: &Path, own: &Value) -> Result<Self, String> {
        let read = Self::form(path)?;
        read.fits(own).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The same, without checking it against the proxy's own settings.
    ///
    /// # Errors
    /// What is wrong, with the file and the field.
    pub fn form(path: &Path) -> Result<Self, String> {
        let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read = toml::from_str::<Written>(&text).map_err(|e| e.to_string());
        read.and_then(Self::of).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads the `policy` object of the proxy's configuration.
    ///
    /// # Errors
    /// The field and what is wrong with it.
    pub fn from_json(told: &Value, own: &Value) -> Result<Self, String> {
        Written::deserialize(told).map_err(|e| e.to_string()).and_then(Self::of)?.fits(own)
    }

    fn of(written: Written) -> Result<Self, String> {
        if !(50..=60_000).contains(&written.ask_ms) {
            return Err("ask_ms: expected milliseconds from 50 to 60000".into());
        }
        let unanswered = match written.floor_after_s {
            None => StartupPolicy::Waits,
            Some(s) if (0.0..=3600.0).contains(&s) => StartupPolicy::FloorAfter((s * 1e9) as u64),
            Some(_) => return Err("floor_after_s: expected seconds from 0 to 3600".into()),
        };
        let floor = match (&written.floor, unanswered) {
            (None, StartupPolicy::FloorAfter(_)) => {
                return Err("floor: expected the settings that it begins by after floor_after_s".into())
            }
            (Some(_), StartupPolicy::Waits) => {
                return Err("floor: expected floor_after_s with it; without, no floor is gone by".into())
            }
            (None, StartupPolicy::Waits) => FallbackPolicy::Nobody,
            (Some(told), _) => FallbackPolicy::read(told).map_err(|e| e.to_string())?,
        };
        Ok(PolicySource { every: Duration::from_millis(written.ask_ms), unanswered, floor })
    }

    /// Checks that the fallback policy can be laid over the proxy's own settings.
    fn fits(self, own: &Value) -> Result<Self, String> {
        if let FallbackPolicy::Settings(settings) = &self.floor {
            settings.over(own).map_err(|e| format!("floor: {e}"))?;
        }
        Ok(self)
    }
}
