//! The assignment that the control service sends to one proxy: the config version that it is to apply.

use crate::{ConfigVersion, Digest, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Format version of assignments and reports. A later program may add fields without incrementing it; a change to the meaning of an
/// existing field increments it.
pub const FORM: u32 = 1;

/// The config version that a proxy is to apply.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigAssignment {
    /// The rollout that it belongs to; 0: none has been made.
    pub change: u64,
    /// The config version.
    pub generation: ConfigVersion,
}

/// Why an assignment is rejected. The proxy goes on with what it applies.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// The text is not an assignment.
    #[error("not an assignment: {0}")]
    Malformed(String),
    /// The assignment has another format version.
    #[error("form {0}; this program reads form {FORM}: upgrade it first")]
    Form(u32),
    /// A field of the settings is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The content does not match its digest.
    #[error("settings of generation {told:?} have the digest {found:?}: spoilt on the way")]
    Spoilt {
        /// The digest in the assignment.
        told: Digest,
        /// The digest of the content.
        found: Digest,
    },
}

#[derive(Serialize, Deserialize)]
struct AssignmentDocument {
    form: u32,
    change: u64,
    generation: Digest,
    settings: Value,
}

impl ConfigAssignment {
    /// The assignment as JSON text.
    pub fn text(&self) -> String {
        let (generation, settings) = (self.generation.digest(), self.generation.document());
        let document = AssignmentDocument { form: FORM, change: self.change, generation, settings };
        // Serialising plain fields to JSON cannot fail.
        serde_json::to_string(&document).unwrap_or_default()
    }

    /// Decodes an assignment. Fields that a later program adds are ignored; settings that this one does not know are not.
    ///
    /// # Errors
    /// See [`AssignmentError`].
    pub fn read(text: &str) -> Result<Self, AssignmentError> {
        let malformed = |error: serde_json::Error| AssignmentError::Malformed(error.to_string());
        let value: Value = serde_json::from_str(text).map_err(malformed)?;
        // Danger: in a later format the same fields may have another meaning.
        if let Some(form) = value["form"].as_u64().filter(|f| *f != u64::from(FORM)) {
            return Err(AssignmentError::Form(form as u32));
        }
        let document: AssignmentDocument = serde_json::from_value(value).map_err(malformed)?;
        let generation = ConfigVersion::read(&document.settings)?;
        match generation.digest() == document.generation {
            true => Ok(ConfigAssignment { change: document.change, generation }),
            false => Err(AssignmentError::Spoilt { told: document.generation, found: generation.digest() }),
        }
    }
}
