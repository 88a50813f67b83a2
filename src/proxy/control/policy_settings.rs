//! Settings of the proxy's participation in policies, with validation.

use crate::proxy::config::settings_file::read_text;
use rushquay_policy::{FallbackPolicy, StartupPolicy};
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// The policy settings of this proxy: a TOML file that `PROXY_POLICY` names, or `policy` in the proxy's JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySource {
    /// Interval between requests for a policy lease.
    pub request_interval: Duration,
    /// What the process does between its start and its first policy lease.
    pub startup: StartupPolicy,
    /// The fallback policy that applies if the process gets no lease after its start.
    pub floor: FallbackPolicy,
}

/// The settings as they are written in a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyFile {
    #[serde(default = "every")]
    ask_ms: u64,
    floor_after_s: Option<f64>,
    floor: Option<Value>,
}

fn every() -> u64 {
    1000
}

impl PolicySource {
    /// Reads and validates a TOML file. `own` are the proxy's own settings.
    ///
    /// # Errors
    /// A message that names the file and the field.
    pub fn read(path: &Path, own: &Value) -> Result<Self, String> {
        let read = Self::read_unchecked(path)?;
        read.check_against(own).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and validates a TOML file without checking it against the proxy's own settings.
    ///
    /// # Errors
    /// A message that names the file and the field.
    pub fn read_unchecked(path: &Path) -> Result<Self, String> {
        let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read = toml::from_str::<PolicyFile>(&text).map_err(|e| e.to_string());
        read.and_then(Self::validate).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads and validates the `policy` object of the proxy's configuration.
    ///
    /// # Errors
    /// A message that names the field.
    pub fn from_json(value: &Value, own: &Value) -> Result<Self, String> {
        PolicyFile::deserialize(value).map_err(|e| e.to_string()).and_then(Self::validate)?.check_against(own)
    }

    /// Validates the settings by themselves.
    fn validate(file: PolicyFile) -> Result<Self, String> {
        if !(50..=60_000).contains(&file.ask_ms) {
            return Err("ask_ms: expected milliseconds from 50 to 60000".into());
        }
        let unanswered = match file.floor_after_s {
            None => StartupPolicy::ServeNobody,
            Some(s) if (0.0..=3600.0).contains(&s) => StartupPolicy::FallbackAfter((s * 1e9) as u64),
            Some(_) => return Err("floor_after_s: expected seconds from 0 to 3600".into()),
        };
        let floor = match (&file.floor, unanswered) {
            (None, StartupPolicy::FallbackAfter(_)) => {
                return Err("floor: expected the fallback policy to apply after floor_after_s".into())
            }
            (Some(_), StartupPolicy::ServeNobody) => {
                return Err("floor: expected floor_after_s with it, without which it never applies".into())
            }
            (None, StartupPolicy::ServeNobody) => FallbackPolicy::Nobody,
            (Some(value), _) => FallbackPolicy::read(value).map_err(|e| e.to_string())?,
        };
        Ok(PolicySource { request_interval: Duration::from_millis(file.ask_ms), startup: unanswered, floor })
    }

    /// Checks that the fallback policy can be applied on top of the proxy's own settings.
    fn check_against(self, own: &Value) -> Result<Self, String> {
        if let FallbackPolicy::Settings(settings) = &self.floor {
            settings.over(own).map_err(|e| format!("floor: {e}"))?;
        }
        Ok(self)
    }
}
