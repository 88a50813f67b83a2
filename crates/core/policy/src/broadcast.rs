//! The broadcast that the leader sends to all members: the revision in force and the policies that it names.

use crate::document::{Policy, PolicyError};
use crate::policy_set::{PolicyNumber, PolicySet, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Format version. A change to the meaning of an existing field increments it.
const FORMAT_VERSION: u32 = 1;

/// The policy set in force, with the policies it names.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyBroadcast {
    /// Revision of the stored record.
    pub revision: Revision,
    /// The policy set of that revision.
    pub told: PolicySet,
    /// The policies of the set.
    pub policies: BTreeMap<PolicyNumber, Policy>,
}

/// Why a broadcast cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BroadcastError {
    /// The text is not a broadcast; not even its revision is known.
    #[error("not a record of policies: {0}")]
    Malformed(String),
    /// This program cannot apply the revision.
    #[error("{why}")]
    Beyond {
        /// The revision.
        revision: Revision,
        /// Why.
        why: String,
    },
}

#[derive(Serialize, Deserialize)]
struct BroadcastDocument {
    form: u32,
    revision: Revision,
    told: PolicySet,
    policies: BTreeMap<PolicyNumber, Value>,
}

impl PolicyBroadcast {
    /// The broadcast as JSON text.
    pub fn text(&self) -> String {
        let policies = self.policies.iter().map(|(number, policy)| (*number, policy.document())).collect();
        let document =
            BroadcastDocument { form: FORMAT_VERSION, revision: self.revision, told: self.told, policies };
        serde_json::to_string(&document).unwrap_or_default()
    }

    /// Decodes a broadcast.
    ///
    /// # Errors
    /// See [`BroadcastError`]. Danger: a program has to be able to reject by its revision what it cannot read, or the reason why the
    /// change waits for it would remain unknown.
    pub fn read(text: &str) -> Result<Self, BroadcastError> {
        let malformed = |error: serde_json::Error| BroadcastError::Malformed(error.to_string());
        let value: Value = serde_json::from_str(text).map_err(malformed)?;
        let revision = Revision::deserialize(&value["revision"]).map_err(malformed)?;
        let unusable = |why: String| BroadcastError::Beyond { revision, why };
        if let Some(form) = value["form"].as_u64().filter(|f| *f != u64::from(FORMAT_VERSION)) {
            return Err(unusable(format!(
                "form {form}; this program reads form {FORMAT_VERSION}: upgrade it first"
            )));
        }
        let document: BroadcastDocument =
            serde_json::from_value(value).map_err(|e| unusable(e.to_string()))?;
        let read = |(number, value): (&PolicyNumber, &Value)| Ok((*number, Policy::read(value)?));
        let policies: Result<_, PolicyError> = document.policies.iter().map(read).collect();
        let broadcast = PolicyBroadcast {
            revision,
            told: document.told,
            policies: policies.map_err(|e| unusable(e.to_string()))?,
        };
        match broadcast.told.numbers().find(|n| !broadcast.policies.contains_key(n)) {
            Some(missing) => Err(unusable(format!("policy {} is named and not told", missing.0))),
            None => Ok(broadcast),
        }
    }
}
