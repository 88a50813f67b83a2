//! What members and the coordinator say to each other.

use crate::record::{PolicyNumber, Revision};
use crate::Nanos;
use serde::{Deserialize, Serialize};

/// The start of a member's process: another one for each process, also of one name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// What a member is to act by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicySet {
    /// By one policy alone.
    Pure(PolicyNumber),
    /// By two at once: by what breaks neither.
    Joint(PolicyNumber, PolicyNumber),
}

impl PolicySet {
    /// Whether who acts so breaks nothing of this policy.
    pub fn includes(self, policy: PolicyNumber) -> bool {
        match self {
            PolicySet::Pure(one) => one == policy,
            PolicySet::Joint(one, two) => one == policy || two == policy,
        }
    }
}

/// A member asks for leave to go on, and says how it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Its process.
    pub boot: Incarnation,
    /// Counts up with each ask of the process.
    pub seq: u64,
    /// The revision that it acts by; 0: none.
    pub acting: Revision,
    /// The newest revision that it has ever heard of. A program from before this was told says 0.
    #[serde(default)]
    pub heard: Revision,
    /// A revision that it can't obey, and why.
    pub refused: Option<(Revision, String)>,
}

/// The present form of asks and leaves. A later form may add fields; one that changes what a field means counts up.
pub const FORMAT_VERSION: u32 = 1;

/// Why a word can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Something else.
    #[error("not a word on leaves: {0}")]
    Malformed(String),
    /// It is of a later form.
    #[error("form {0}; this program reads form {FORMAT_VERSION}: upgrade it first")]
    Form(u64),
}

#[derive(Serialize, Deserialize)]
struct Formed<T> {
    form: u32,
    #[serde(flatten)]
    word: T,
}

fn text<T: Serialize>(word: &T) -> String {
    // Plain fields always have a JSON form.
    serde_json::to_string(&Formed { form: FORMAT_VERSION, word }).unwrap_or_default()
}

fn read<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, MessageError> {
    let malformed = |e: serde_json::Error| MessageError::Malformed(e.to_string());
    let value: serde_json::Value = serde_json::from_str(text).map_err(malformed)?;
    match value["form"].as_u64() {
        Some(form) if form != u64::from(FORMAT_VERSION) => Err(MessageError::Form(form)),
        _ => serde_json::from_value::<Formed<T>>(value).map(|f| f.word).map_err(malformed),
    }
}

impl LeaseRequest {
    /// As it travels.
    pub fn text(&self) -> String {
        text(self)
    }

    /// Reads what came.
    ///
    /// # Errors
    /// See [`WordError`].
    pub fn read(text: &str) -> Result<Self, MessageError> {
        read(text)
    }
}

impl LeaseGrant {
    /// As it travels.
    pub fn text(&self) -> String {
        text(self)
    }

    /// Reads what came.
    ///
    /// # Errors
    /// See [`WordError`].
    pub fn read(text: &str) -> Result<Self, MessageError> {
        read(text)
    }
}

/// The answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that asked.
    pub boot: Incarnation,
    /// Its ask. Danger: the leave counts from when that was sent; a grant that answers no ask that is known grants nothing.
    pub seq: u64,
    /// Of the record in the store.
    pub revision: Revision,
    /// What it says.
    pub told: PolicySet,
    /// For so long from when it asked, by its own clock.
    pub span: Nanos,
    /// For so long beyond that it may act by the floor.
    pub floor: Nanos,
}
