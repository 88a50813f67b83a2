//! What a host keeps on its disk.

use rushquay_config_version::Digest;
use serde::{Deserialize, Serialize};

/// The form of the record.
const FORM: u32 = 1;

/// What is to run, and what it is to act by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The program, by the digest of its file.
    pub program: Digest,
    /// The generation that says so.
    pub generation: Digest,
    /// The assignment as it came; `None`: the host's own file says so.
    #[serde(default)]
    pub given: Option<String>,
}

/// What did not do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedTarget {
    /// What was tried.
    pub target: Target,
    /// What came of it.
    pub why: String,
    /// How often in a row.
    pub times: u32,
}

/// What is kept: what was told, what has served well, and what has not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorRecord {
    /// The form of what follows.
    pub form: u32,
    /// The highest epoch of a control service that was heard: word of an earlier one is not taken.
    pub epoch: u64,
    /// What was told last; `None`: nothing was.
    #[serde(default)]
    pub wanted: Option<Target>,
    /// Whether what was told names its program, or leaves that to the host's own file.
    #[serde(default)]
    pub named: bool,
    /// What has served well, and is started where nothing runs.
    pub good: Target,
    /// What had before that.
    #[serde(default)]
    pub before: Option<Target>,
    /// What is tried beside the good.
    #[serde(default)]
    pub trying: Option<Target>,
    /// What failed last.
    #[serde(default)]
    pub failed: Option<FailedTarget>,
}

/// Why a record can't be gone on from.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It can't be read.
    #[error("not a host's record: {0}")]
    Malformed(String),
    /// It is of a later form.
    #[error("a record of form {0}; this program reads form {FORM}: use the version that wrote it")]
    Form(u32),
}

impl SupervisorRecord {
    /// Nothing was told yet: what the host's own file says is good.
    pub fn new(good: Target) -> Self {
        let (wanted, before, trying, failed) = (None, None, None, None);
        SupervisorRecord { form: FORM, epoch: 0, wanted, named: false, good, before, trying, failed }
    }

    /// As it is kept.
    pub fn text(&self) -> String {
        // Plain fields always have a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads what was kept.
    ///
    /// # Errors
    /// See [`RecordError`].
    pub fn read(text: &str) -> Result<Self, RecordError> {
        let malformed = |e: serde_json::Error| RecordError::Malformed(e.to_string());
        let value: serde_json::Value = serde_json::from_str(text).map_err(malformed)?;
        match value["form"].as_u64() {
            Some(form) if form != u64::from(FORM) => Err(RecordError::Form(form as u32)),
            _ => serde_json::from_value(value).map_err(malformed),
        }
    }

    /// The programs that may have to be started: their files are to be held on to.
    pub fn programs(&self) -> Vec<Digest> {
        let others = [&self.before, &self.trying, &self.wanted].into_iter().flatten();
        let mut all: Vec<Digest> = std::iter::once(&self.good).chain(others).map(|t| t.program).collect();
        all.sort();
        all.dedup();
        all
    }
}
