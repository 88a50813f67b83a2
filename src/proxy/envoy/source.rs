//! The settings for clusters, endpoints and routes in Envoy's format, with their checks.

use crate::proxy::config::settings_file::read_text;
use rushquay_envoy::{bootstrap, Bootstrap};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The settings: a TOML file that `PROXY_ENVOY` names.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// Envoy's bootstrap file, YAML or JSON; a relative path starts at this file's directory.
    bootstrap: PathBuf,
    /// The name of the listener to serve; required if there are several.
    listener: Option<String>,
    /// The initial backoff before reconnecting to a control service, in milliseconds; it doubles each time.
    #[serde(default = "backoff")]
    backoff_ms: u64,
    /// The maximum backoff, in milliseconds.
    #[serde(default = "backoff_most")]
    backoff_most_ms: u64,
    /// The maximum number of resources of a kind.
    #[serde(default = "resources_most")]
    resources_most: usize,
    /// The maximum length of a response, in MiB.
    #[serde(default = "answer_mb")]
    answer_mb: usize,
}

fn backoff() -> u64 {
    100
}
fn backoff_most() -> u64 {
    5000
}
fn resources_most() -> usize {
    100_000
}
fn answer_mb() -> usize {
    16
}

/// Where clusters, endpoints and routes come from.
#[derive(Clone, Debug)]
pub struct EnvoySource {
    /// The parsed bootstrap file.
    pub bootstrap: Arc<Bootstrap>,
    /// The name of the listener to serve.
    pub listener: Option<String>,
    /// The initial and the maximum backoff before reconnecting, in milliseconds.
    pub backoff_ms: (u64, u64),
    /// The maximum number of resources of a kind.
    pub resources_most: usize,
    /// The maximum length of a response, in bytes.
    pub max_answer_bytes: usize,
}

impl EnvoySource {
    /// Reads the settings and the bootstrap file that they name.
    ///
    /// # Errors
    /// Describes what is wrong, with the file and the field.
    pub fn read(path: &Path) -> Result<Self, String> {
        let at = |e: String| format!("{}: {e}", path.display());
        let text = read_text(path).map_err(|e| at(e.to_string()))?;
        let file: File = toml::from_str(&text).map_err(|e| at(e.to_string()))?;
        let need = |holds: bool, what: &str| if holds { Ok(()) } else { Err(at(what.to_owned())) };
        need((1..=60_000).contains(&file.backoff_ms), "backoff_ms: expected milliseconds from 1 to 60000")?;
        let most = file.backoff_ms..=600_000;
        need(
            most.contains(&file.backoff_most_ms),
            "backoff_most_ms: expected backoff_ms at least, 600000 at most",
        )?;
        need((1..=1_000_000).contains(&file.resources_most), "resources_most: expected 1 to 1000000")?;
        need((1..=256).contains(&file.answer_mb), "answer_mb: expected 1 to 256")?;
        let named = path.parent().unwrap_or(Path::new("")).join(&file.bootstrap);
        Ok(EnvoySource {
            bootstrap: Arc::new(read_bootstrap(&named)?),
            listener: file.listener,
            backoff_ms: (file.backoff_ms, file.backoff_most_ms),
            resources_most: file.resources_most,
            max_answer_bytes: file.answer_mb << 20,
        })
    }

    /// The address of the first listener in the bootstrap file.
    pub fn listen(&self) -> Option<SocketAddr> {
        self.bootstrap.listeners.first().and_then(|(l, _)| l.address)
    }
}

/// Reads a bootstrap file.
///
/// # Errors
/// Describes what is wrong, with the file and the field.
pub fn read_bootstrap(path: &Path) -> Result<Bootstrap, String> {
    let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
    bootstrap(&text).map_err(|e| format!("{}: {e}", path.display()))
}
