//! The report that each proxy sends about itself, about once a second.

use crate::ProxyStats;
use rushquay_config_version::{Digest, FORMAT_VERSION};
use serde::{Deserialize, Serialize};

/// Maximum length of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Maximum length of the zone and of the version, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of classes in a report.
const MAX_CLASSES: usize = 256;

/// A config version that the proxy cannot apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedConfig {
    /// Its digest.
    pub generation: Digest,
    /// Why it cannot be applied, with the path of the field.
    pub why: String,
}

/// A proxy's report about its present process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Format version of the report.
    pub form: u32,
    /// The incarnation of the process: Unix time of its start, in nanoseconds. It differs between processes of the same name.
    pub boot: u64,
    /// Sequence number, incremented with each report of the process.
    pub seq: u64,
    /// Its data centre.
    pub zone: String,
    /// The version of its program.
    pub version: String,
    /// The digest of the program file if a supervisor runs the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Digest>,
    /// The config version that it applies.
    pub acting: Digest,
    /// The number of the rollout that made its last config assignment; 0: none.
    #[serde(default)]
    pub change: u64,
    /// The last assigned config version if it cannot be applied; `None`: it is applied.
    #[serde(default)]
    pub refused: Option<RejectedConfig>,
    /// Whether the process is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// The statistics of the process since its start.
    #[serde(default)]
    pub figures: ProxyStats,
}

/// Why a report was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The text is not a report in JSON.
    #[error("malformed report: {0}")]
    Malformed(String),
    /// The report has a different format version.
    #[error("report has format version {0}, but this control service supports only {FORMAT_VERSION}: upgrade the control service first")]
    UnsupportedFormat(u32),
    /// The report, or a part of it, exceeds its maximum size.
    #[error("{0} exceeds the maximum")]
    TooLarge(&'static str),
}

impl Report {
    /// The report as JSON.
    pub fn text(&self) -> String {
        // Serialising plain fields to JSON cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a report from JSON. Unknown fields, which a later program version may add, are ignored.
    ///
    /// # Errors
    /// See [`ReportError`].
    pub fn read(text: &str) -> Result<Self, ReportError> {
        if text.len() > MAX_REPORT_BYTES {
            return Err(ReportError::TooLarge("length of the report"));
        }
        let report: Report =
            serde_json::from_str(text).map_err(|error| ReportError::Malformed(error.to_string()))?;
        let are_texts_short = [&report.zone, &report.version].iter().all(|t| t.len() <= MAX_TEXT_BYTES);
        match report {
            r if r.form != FORMAT_VERSION => Err(ReportError::UnsupportedFormat(r.form)),
            _ if !are_texts_short => Err(ReportError::TooLarge("length of the zone or the version")),
            r if r.figures.classes.len() > MAX_CLASSES => Err(ReportError::TooLarge("number of classes")),
            r if r.figures.classes.values().any(|c| c.times.len() > crate::BUCKETS) => {
                Err(ReportError::TooLarge("number of histogram buckets"))
            }
            r => Ok(r),
        }
    }
}
