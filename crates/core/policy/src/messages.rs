//! The messages of the policy lease protocol: a member's request and the coordinator's grant.

use crate::policy_set::{Incarnation, PolicySet, Revision};
use crate::Nanos;
use serde::{Deserialize, Serialize};

/// A member's request for a policy lease, with its own status.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The process that sends the request.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// Sequence number; incremented with each request of the process.
    pub seq: u64,
    /// The revision that the process applies; 0 if it applies none.
    pub acting: Revision,
    /// The newest revision that the process has ever received. Absent (0) in requests of programs older than this field.
    #[serde(default)]
    #[serde(rename = "heard")]
    pub newest_seen: Revision,
    /// The newest revision, if the process cannot apply it, and the reason.
    pub refused: Option<(Revision, String)>,
}

/// The coordinator's answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that sent the request.
    #[serde(rename = "boot")]
    pub incarnation: Incarnation,
    /// Sequence number of the request that is answered. Danger: the lease counts from when that request was sent, so a grant that
    /// matches no pending request must be ignored.
    pub seq: u64,
    /// Revision of the stored record.
    pub revision: Revision,
    /// The policy set of that revision.
    #[serde(rename = "told")]
    pub policy_set: PolicySet,
    /// Duration of the lease, by the member's clock, counted from when the request was sent.
    #[serde(rename = "span")]
    pub lease_duration: Nanos,
    /// How long the member may apply the fallback policy after the lease expires.
    #[serde(rename = "floor")]
    pub fallback_duration: Nanos,
}

/// Format version of requests and grants. It is incremented when the meaning of an existing field changes, not when fields are added.
pub const FORMAT_VERSION: u32 = 1;

/// Why a message could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The text is not a lease message.
    #[error("not a policy lease message: {0}")]
    Malformed(String),
    /// The message has another format version.
    #[error("unsupported format version {0}; this program reads version {FORMAT_VERSION}: upgrade it first")]
    UnsupportedFormat(u64),
}

#[derive(Serialize, Deserialize)]
struct Versioned<T> {
    #[serde(rename = "form")]
    format_version: u32,
    #[serde(flatten)]
    message: T,
}

fn encode<T: Serialize>(message: &T) -> String {
    // Serialising plain fields to JSON cannot fail.
    serde_json::to_string(&Versioned { format_version: FORMAT_VERSION, message }).unwrap_or_default()
}

fn decode<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, MessageError> {
    let malformed = |error: serde_json::Error| MessageError::Malformed(error.to_string());
    let value: serde_json::Value = serde_json::from_str(text).map_err(malformed)?;
    match value["form"].as_u64() {
        Some(version) if version != u64::from(FORMAT_VERSION) => {
            Err(MessageError::UnsupportedFormat(version))
        }
        _ => serde_json::from_value::<Versioned<T>>(value).map(|v| v.message).map_err(malformed),
    }
}

impl LeaseRequest {
    /// The request as JSON text.
    pub fn text(&self) -> String {
        encode(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// See [`MessageError`].
    pub fn read(text: &str) -> Result<Self, MessageError> {
        decode(text)
    }
}

impl LeaseGrant {
    /// The grant as JSON text.
    pub fn text(&self) -> String {
        encode(self)
    }

    /// Decodes a grant.
    ///
    /// # Errors
    /// See [`MessageError`].
    pub fn read(text: &str) -> Result<Self, MessageError> {
        decode(text)
    }
}
