//! The report that a supervisor sends to the control service.

use rushquay_config_version::Digest;
use serde::{Deserialize, Serialize};

/// The format version of the report.
const FORMAT_VERSION: u32 = 1;
/// The longest report, in bytes.
const MAX_REPORT_BYTES: usize = 8 << 10;
/// The longest reason, in characters.
pub(crate) const MAX_REASON_CHARS: usize = 500;

/// The report of one supervisor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorReport {
    /// The format version.
    pub form: u32,
    /// Unix time of the supervisor's start in nanoseconds, which identifies its process.
    pub boot: u64,
    /// The sequence number of the report.
    pub seq: u64,
    /// The program that serves; `None`: none runs.
    #[serde(default)]
    pub runs: Option<Digest>,
    /// The program of the successor.
    #[serde(default)]
    pub trying: Option<Digest>,
    /// The config version that was rejected, and why; `None`: the last one is active, or is about to be.
    #[serde(default)]
    pub refused: Option<(Digest, String)>,
    /// The error on this machine.
    #[serde(default)]
    pub fault: Option<String>,
    /// The number of processes that ended unexpectedly since the supervisor's start.
    #[serde(default)]
    pub ends: u64,
}

/// Why a report is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SupervisorReportError {
    /// It is not valid JSON of a report.
    #[error("not a supervisor's report: {0}")]
    Malformed(String),
    /// Its format version is unknown to this program.
    #[error(
        "a supervisor's report of format version {0}; this control service reads format version {FORMAT_VERSION}: upgrade it first"
    )]
    Form(u32),
    /// It is too long.
    #[error("a supervisor's report longer than {MAX_REPORT_BYTES} bytes")]
    Large,
}

impl SupervisorReport {
    /// An empty report of the present format version; the sender sets `seq`.
    pub(crate) fn new(boot: u64) -> Self {
        let (runs, trying, refused, fault) = (None, None, None, None);
        SupervisorReport { form: FORMAT_VERSION, boot, seq: 0, runs, trying, refused, fault, ends: 0 }
    }

    /// Encodes the report.
    pub fn text(&self) -> String {
        // A struct of plain fields can't fail to serialize.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a report; unknown fields of later versions are ignored.
    ///
    /// # Errors
    /// See [`SupervisorReportError`].
    pub fn read(text: &str) -> Result<Self, SupervisorReportError> {
        if text.len() > MAX_REPORT_BYTES {
            return Err(SupervisorReportError::Large);
        }
        let report: Self =
            serde_json::from_str(text).map_err(|e| SupervisorReportError::Malformed(e.to_string()))?;
        match report.form {
            FORMAT_VERSION => Ok(report),
            other => Err(SupervisorReportError::Form(other)),
        }
    }
}
