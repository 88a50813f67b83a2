//! The report that a proxy sends about itself, about once a second.

use crate::ProxyStats;
use rushquay_config_version::{Digest, FORM};
use serde::{Deserialize, Serialize};

/// Maximum length of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Maximum length of zones and versions, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of classes in a report.
const MAX_CLASSES: usize = 256;

/// A config version that the proxy cannot apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedConfig {
    /// Its digest.
    pub generation: Digest,
    /// Why, with the path of the field.
    pub why: String,
}

/// A report of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Format version of the report.
    pub form: u32,
    /// The incarnation: Unix time of its start in nanoseconds, different for each process of one name.
    pub boot: u64,
    /// Incremented by each report of the process.
    pub seq: u64,
    /// Its data centre.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// The digest of the program file, where a supervisor runs it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Digest>,
    /// The config version that it applies.
    pub acting: Digest,
    /// The rollout of its last assignment; 0: none.
    #[serde(default)]
    pub change: u64,
    /// The last assigned config version, if it cannot be applied; `None`: it is applied.
    #[serde(default)]
    pub refused: Option<RejectedConfig>,
    /// The process shuts down.
    #[serde(default)]
    pub leaving: bool,
    /// Its statistics since its start.
    #[serde(default)]
    pub figures: ProxyStats,
}

/// Why a report is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The text is not a report.
    #[error("not a report: {0}")]
    Malformed(String),
    /// The report has another format version.
    #[error("a report of form {0}; this control service reads form {FORM}: upgrade it first")]
    Form(u32),
    /// A part of the report exceeds its maximum size.
    #[error("{0} beyond its bound")]
    Large(&'static str),
}

impl Report {
    /// The report as JSON text.
    pub fn text(&self) -> String {
        // Serialising plain fields to JSON cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a report; fields that a later program adds are ignored.
    ///
    /// # Errors
    /// See [`ReportError`].
    pub fn read(text: &str) -> Result<Self, ReportError> {
        if text.len() > MAX_REPORT_BYTES {
            return Err(ReportError::Large("a report"));
        }
        let report: Report =
            serde_json::from_str(text).map_err(|error| ReportError::Malformed(error.to_string()))?;
        let are_texts_short = [&report.zone, &report.version].iter().all(|t| t.len() <= MAX_TEXT_BYTES);
        match report {
            r if r.form != FORM => Err(ReportError::Form(r.form)),
            _ if !are_texts_short => Err(ReportError::Large("a name")),
            r if r.figures.classes.len() > MAX_CLASSES => Err(ReportError::Large("classes")),
            r if r.figures.classes.values().any(|c| c.times.len() > crate::BUCKETS) => {
                Err(ReportError::Large("times"))
            }
            r => Ok(r),
        }
    }
}
