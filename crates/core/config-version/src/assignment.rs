//! The assignment that the control service sends to a proxy: the config version that the proxy is to apply.

use crate::{ConfigVersion, Digest, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Format version of assignments and reports. It is incremented when the meaning of an existing field changes, not when fields are
/// added.
pub const FORMAT_VERSION: u32 = 1;

/// The config version that a proxy is to apply.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigAssignment {
    /// The rollout that the assignment belongs to; 0 if there has been none.
    pub rollout: u64,
    /// The config version.
    pub version: ConfigVersion,
}

/// Why an assignment is rejected. The proxy keeps the version that it applies.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// The text is not an assignment.
    #[error("not an assignment: {0}")]
    Malformed(String),
    /// The assignment has another format version.
    #[error("unsupported format version {0}; this program reads version {FORMAT_VERSION}: upgrade it first")]
    UnsupportedFormat(u32),
    /// A field of the settings is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The content does not match its digest.
    #[error(
        "settings of generation {expected:?} have the digest {actual:?}: they were corrupted in transit"
    )]
    DigestMismatch {
        /// The digest in the assignment.
        expected: Digest,
        /// The digest of the content.
        actual: Digest,
    },
}

#[derive(Serialize, Deserialize)]
struct AssignmentDocument {
    #[serde(rename = "form")]
    format_version: u32,
    change: u64,
    generation: Digest,
    settings: Value,
}

impl ConfigAssignment {
    /// The assignment as JSON text.
    pub fn text(&self) -> String {
        let (generation, settings) = (self.version.digest(), self.version.document());
        let document =
            AssignmentDocument { format_version: FORMAT_VERSION, change: self.rollout, generation, settings };
        // Serialising plain fields to JSON cannot fail.
        serde_json::to_string(&document).unwrap_or_default()
    }

    /// Decodes an assignment. Unknown fields of the assignment, which a later program may add, are ignored; unknown settings are rejected.
    ///
    /// # Errors
    /// See [`AssignmentError`].
    pub fn read(text: &str) -> Result<Self, AssignmentError> {
        let malformed = |error: serde_json::Error| AssignmentError::Malformed(error.to_string());
        let value: Value = serde_json::from_str(text).map_err(malformed)?;
        // Danger: in another format version the same fields may have a different meaning.
        if let Some(version) = value["form"].as_u64().filter(|f| *f != u64::from(FORMAT_VERSION)) {
            return Err(AssignmentError::UnsupportedFormat(version as u32));
        }
        let document: AssignmentDocument = serde_json::from_value(value).map_err(malformed)?;
        let generation = ConfigVersion::read(&document.settings)?;
        match generation.digest() == document.generation {
            true => Ok(ConfigAssignment { rollout: document.change, version: generation }),
            false => Err(AssignmentError::DigestMismatch {
                expected: document.generation,
                actual: generation.digest(),
            }),
        }
    }
}
