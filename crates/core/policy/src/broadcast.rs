//! The broadcast that the leader sends to all members: the current revision and its policies.

use crate::document::{Policy, PolicyError};
use crate::policy_set::{PolicyNumber, PolicySet, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Format version. It is incremented when the meaning of an existing field changes.
const FORMAT_VERSION: u32 = 1;

/// The current policy set and the policies in it.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyBroadcast {
    /// Revision of the stored record.
    pub revision: Revision,
    /// The policy set of that revision.
    pub policy_set: PolicySet,
    /// The policies of the set.
    pub policies: BTreeMap<PolicyNumber, Policy>,
}

/// Why a broadcast cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BroadcastError {
    /// The text is not a broadcast, and its revision is unknown.
    #[error("not a policy broadcast: {0}")]
    Malformed(String),
    /// The broadcast contains something that this program does not support.
    #[error("{why}")]
    Unsupported {
        /// The revision that this program cannot apply.
        revision: Revision,
        /// The reason.
        why: String,
    },
}

#[derive(Serialize, Deserialize)]
struct BroadcastDocument {
    #[serde(rename = "form")]
    format_version: u32,
    revision: Revision,
    #[serde(rename = "told")]
    policy_set: PolicySet,
    policies: BTreeMap<PolicyNumber, Value>,
}

impl PolicyBroadcast {
    /// The broadcast as JSON text.
    pub fn text(&self) -> String {
        let policies = self.policies.iter().map(|(number, policy)| (*number, policy.document())).collect();
        let document = BroadcastDocument {
            format_version: FORMAT_VERSION,
            revision: self.revision,
            policy_set: self.policy_set,
            policies,
        };
        serde_json::to_string(&document).unwrap_or_default()
    }

    /// Decodes a broadcast.
    ///
    /// # Errors
    /// See [`BroadcastError`]. Danger: even if the rest of the broadcast cannot be decoded, the revision must be, so that the program can
    /// reject that revision. Otherwise the change would wait for this program without a known reason.
    pub fn read(text: &str) -> Result<Self, BroadcastError> {
        let malformed = |error: serde_json::Error| BroadcastError::Malformed(error.to_string());
        let value: Value = serde_json::from_str(text).map_err(malformed)?;
        let revision = Revision::deserialize(&value["revision"]).map_err(malformed)?;
        let unsupported = |why: String| BroadcastError::Unsupported { revision, why };
        if let Some(version) = value["form"].as_u64().filter(|f| *f != u64::from(FORMAT_VERSION)) {
            return Err(unsupported(format!(
                "unsupported format version {version}; this program reads version {FORMAT_VERSION}: upgrade it first"
            )));
        }
        let document: BroadcastDocument =
            serde_json::from_value(value).map_err(|e| unsupported(e.to_string()))?;
        let read = |(number, value): (&PolicyNumber, &Value)| Ok((*number, Policy::read(value)?));
        let policies: Result<_, PolicyError> = document.policies.iter().map(read).collect();
        let broadcast = PolicyBroadcast {
            revision,
            policy_set: document.policy_set,
            policies: policies.map_err(|e| unsupported(e.to_string()))?,
        };
        match broadcast.policy_set.numbers().find(|n| !broadcast.policies.contains_key(n)) {
            Some(missing) => Err(unsupported(format!(
                "policy {} is in the policy set and missing from the broadcast",
                missing.0
            ))),
            None => Ok(broadcast),
        }
    }
}
