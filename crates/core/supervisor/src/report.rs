//! What a host tells the control service of itself.

use rushquay_config_version::Digest;
use serde::{Deserialize, Serialize};

/// The form of the report.
const FORM: u32 = 1;
/// A report is at most this long, in bytes.
const MOST: usize = 8 << 10;
/// A reason is at most this long, in characters.
pub(crate) const WHY_MOST: usize = 500;

/// What one host says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorReport {
    /// The form of what follows.
    pub form: u32,
    /// Unix time of the host's start in nanoseconds: another one for each host process.
    pub boot: u64,
    /// Counts up with each report of the process.
    pub seq: u64,
    /// The program that serves; `None`: none runs.
    #[serde(default)]
    pub runs: Option<Digest>,
    /// The program that is tried beside it.
    #[serde(default)]
    pub trying: Option<Digest>,
    /// The generation that can't be obeyed, and why; `None`: what was told last is obeyed, or is about to be.
    #[serde(default)]
    pub refused: Option<(Digest, String)>,
    /// What is wrong on this machine.
    #[serde(default)]
    pub fault: Option<String>,
    /// How many processes ended without being told to, since the host's start.
    #[serde(default)]
    pub ends: u64,
}

/// Why a report can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SupervisorReportError {
    /// It can't be read.
    #[error("not a host's report: {0}")]
    Malformed(String),
    /// It is of a later form.
    #[error("a host's report of form {0}; this control service reads form {FORM}: upgrade it first")]
    Form(u32),
    /// It is larger than one may be.
    #[error("a host's report beyond its bound of {MOST} bytes")]
    Large,
}

impl SupervisorReport {
    /// Of the form that this version writes; `seq` is set by who sends it.
    pub(crate) fn new(boot: u64) -> Self {
        let (runs, trying, refused, fault) = (None, None, None, None);
        SupervisorReport { form: FORM, boot, seq: 0, runs, trying, refused, fault, ends: 0 }
    }

    /// As it travels.
    pub fn text(&self) -> String {
        // Plain fields always have a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads what came; fields that a later program adds are passed over.
    ///
    /// # Errors
    /// See [`HostReportError`].
    pub fn read(text: &str) -> Result<Self, SupervisorReportError> {
        if text.len() > MOST {
            return Err(SupervisorReportError::Large);
        }
        let report: Self =
            serde_json::from_str(text).map_err(|e| SupervisorReportError::Malformed(e.to_string()))?;
        match report.form {
            FORM => Ok(report),
            other => Err(SupervisorReportError::Form(other)),
        }
    }
}
