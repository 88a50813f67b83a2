//! What a proxy says of itself, once a second or so.

use crate::ProxyStats;
use rushquay_config_version::{Digest, FORM};
use serde::{Deserialize, Serialize};

/// A report is at most this long, in bytes.
const MOST: usize = 64 << 10;
/// Names and versions are at most this long, in bytes.
const TEXT_MOST: usize = 200;
/// Classes that one may tell of.
const CLASSES_MOST: usize = 256;

/// A generation that the proxy can't obey.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedConfig {
    /// Which.
    pub generation: Digest,
    /// Why, with the path of the field.
    pub why: String,
}

/// What one process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The form of what follows.
    pub form: u32,
    /// Unix time of its start in nanoseconds: another one for each process of one name.
    pub boot: u64,
    /// Counts up with each report of the process.
    pub seq: u64,
    /// Its data centre.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// The program, by the digest of its file, where a host runs it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Digest>,
    /// The generation that it acts by.
    pub acting: Digest,
    /// The change that it was told last; 0: none.
    #[serde(default)]
    pub change: u64,
    /// What it was told last and can't obey; `None`: it acts by that.
    #[serde(default)]
    pub refused: Option<RejectedConfig>,
    /// It was told to end.
    #[serde(default)]
    pub leaving: bool,
    /// What it has counted.
    #[serde(default)]
    pub figures: ProxyStats,
}

/// Why a report can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// It can't be read.
    #[error("not a report: {0}")]
    Malformed(String),
    /// It is of a later form.
    #[error("a report of form {0}; this control service reads form {FORM}: upgrade it first")]
    Form(u32),
    /// It is larger than one may be.
    #[error("{0} beyond its bound")]
    Large(&'static str),
}

impl Report {
    /// As it travels.
    pub fn text(&self) -> String {
        // Plain fields always have a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads what came; fields that a later program adds are passed over.
    ///
    /// # Errors
    /// See [`ReportError`].
    pub fn read(text: &str) -> Result<Self, ReportError> {
        if text.len() > MOST {
            return Err(ReportError::Large("a report"));
        }
        let report: Report = serde_json::from_str(text).map_err(|e| ReportError::Malformed(e.to_string()))?;
        let short = [&report.zone, &report.version].iter().all(|t| t.len() <= TEXT_MOST);
        match report {
            r if r.form != FORM => Err(ReportError::Form(r.form)),
            _ if !short => Err(ReportError::Large("a name")),
            r if r.figures.classes.len() > CLASSES_MOST => Err(ReportError::Large("classes")),
            r if r.figures.classes.values().any(|c| c.times.len() > crate::BUCKETS) => {
                Err(ReportError::Large("times"))
            }
            r => Ok(r),
        }
    }
}
