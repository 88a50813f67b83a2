//! The record that a supervisor persists.

use rushquay_config_version::Digest;
use serde::{Deserialize, Serialize};

/// The format version of the record.
const FORMAT_VERSION: u32 = 1;

/// The program to run, and the config version to run it with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The program, by the digest of its file.
    pub program: Digest,
    /// The config version that assigns it.
    pub generation: Digest,
    /// The assignment as received; `None`: the supervisor's own file assigns it.
    #[serde(default)]
    pub given: Option<String>,
}

/// A target that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedTarget {
    /// The target.
    pub target: Target,
    /// The reason.
    pub why: String,
    /// The number of failures in a row.
    pub times: u32,
}

/// The persisted state: the wanted target, the one that has served well, and the one that has failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorRecord {
    /// The format version.
    pub form: u32,
    /// The highest epoch of a control service seen: assignments of earlier ones are rejected.
    pub epoch: u64,
    /// The last assigned target; `None`: there was none.
    #[serde(default)]
    pub wanted: Option<Target>,
    /// Whether the assignment names its program, or leaves that to the supervisor's own file.
    #[serde(default)]
    pub named: bool,
    /// The last target that served well, which is started if nothing runs.
    pub good: Target,
    /// The target that was good before that, to which a failure rolls back.
    #[serde(default)]
    pub before: Option<Target>,
    /// The target of the successor, if one runs.
    #[serde(default)]
    pub trying: Option<Target>,
    /// The last failure.
    #[serde(default)]
    pub failed: Option<FailedTarget>,
}

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is not valid JSON of a record.
    #[error("not a supervisor's record: {0}")]
    Malformed(String),
    /// Its format version is unknown to this program.
    #[error("a record of format version {0}; this program reads format version {FORMAT_VERSION}: use the program version that wrote it")]
    UnsupportedVersion(u32),
}

impl SupervisorRecord {
    /// Creates a record without an assignment, in which the target of the supervisor's own file counts as good.
    pub fn new(good: Target) -> Self {
        let (wanted, before, trying, failed) = (None, None, None, None);
        SupervisorRecord {
            form: FORMAT_VERSION,
            epoch: 0,
            wanted,
            named: false,
            good,
            before,
            trying,
            failed,
        }
    }

    /// Encodes the record.
    pub fn text(&self) -> String {
        // A struct of plain fields can't fail to serialize.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// See [`RecordError`].
    pub fn read(text: &str) -> Result<Self, RecordError> {
        let malformed = |e: serde_json::Error| RecordError::Malformed(e.to_string());
        let value: serde_json::Value = serde_json::from_str(text).map_err(malformed)?;
        match value["form"].as_u64() {
            Some(form) if form != u64::from(FORMAT_VERSION) => {
                Err(RecordError::UnsupportedVersion(form as u32))
            }
            _ => serde_json::from_value(value).map_err(malformed),
        }
    }

    /// The programs that may have to be started: their files must be retained.
    pub fn programs(&self) -> Vec<Digest> {
        let others = [&self.before, &self.trying, &self.wanted].into_iter().flatten();
        let mut all: Vec<Digest> = std::iter::once(&self.good).chain(others).map(|t| t.program).collect();
        all.sort();
        all.dedup();
        all
    }
}
