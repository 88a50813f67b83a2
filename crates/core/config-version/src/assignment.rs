//! What a control service tells one proxy: the generation that it is to act by.

use crate::{ConfigVersion, Digest, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The present form of assignments and reports. A later form may add fields; one that changes what a field means counts up.
pub const FORM: u32 = 1;

/// The generation that a proxy is to act by.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigAssignment {
    /// The change that it belongs to; 0: none has been made.
    pub change: u64,
    /// The generation.
    pub generation: ConfigVersion,
}

/// Why an assignment can't be taken. The proxy goes on as it does.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// It can't be read.
    #[error("not an assignment: {0}")]
    Malformed(String),
    /// It is of a later form.
    #[error("form {0}; this program reads form {FORM}: upgrade it first")]
    Form(u32),
    /// A field of the settings.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// What came is not what its name says.
    #[error("settings of generation {told:?} have the digest {found:?}: spoilt on the way")]
    Spoilt {
        /// The name.
        told: Digest,
        /// What the content comes to.
        found: Digest,
    },
}

#[derive(Serialize, Deserialize)]
struct Written {
    form: u32,
    change: u64,
    generation: Digest,
    settings: Value,
}

impl ConfigAssignment {
    /// As it travels.
    pub fn text(&self) -> String {
        let (generation, settings) = (self.generation.digest(), self.generation.document());
        let written = Written { form: FORM, change: self.change, generation, settings };
        // Plain fields always have a JSON form.
        serde_json::to_string(&written).unwrap_or_default()
    }

    /// Reads what came. Fields that a later program adds are passed over; settings that this one doesn't know are not.
    ///
    /// # Errors
    /// See [`AssignmentError`].
    pub fn read(text: &str) -> Result<Self, AssignmentError> {
        let malformed = |e: serde_json::Error| AssignmentError::Malformed(e.to_string());
        let value: Value = serde_json::from_str(text).map_err(malformed)?;
        // Danger: a later form may mean something else by the same fields.
        if let Some(form) = value["form"].as_u64().filter(|f| *f != u64::from(FORM)) {
            return Err(AssignmentError::Form(form as u32));
        }
        let written: Written = serde_json::from_value(value).map_err(malformed)?;
        let generation = ConfigVersion::read(&written.settings)?;
        match generation.digest() == written.generation {
            true => Ok(ConfigAssignment { change: written.change, generation }),
            false => Err(AssignmentError::Spoilt { told: written.generation, found: generation.digest() }),
        }
    }
}
