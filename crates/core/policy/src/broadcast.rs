//! What the leader tells all members alike: the revision that holds, and the policies that it is about.

use crate::document::{Policy, PolicyError};
use crate::messages::PolicySet;
use crate::record::{PolicyNumber, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The present form. A later one may mean something else by the same fields.
const FORM: u32 = 1;

/// What holds, with all that is needed to act by it.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyBroadcast {
    /// Of the record in the store.
    pub revision: Revision,
    /// What it says.
    pub told: PolicySet,
    /// The policies that are named in it.
    pub policies: BTreeMap<PolicyNumber, Policy>,
}

/// Why what was told can't be acted by.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BroadcastError {
    /// No such text at all: not even its revision is known.
    #[error("not a record of policies: {0}")]
    Malformed(String),
    /// It is of a revision that this program can't obey.
    #[error("{why}")]
    Beyond {
        /// Which.
        revision: Revision,
        /// Why.
        why: String,
    },
}

#[derive(Serialize, Deserialize)]
struct Written {
    form: u32,
    revision: Revision,
    told: PolicySet,
    policies: BTreeMap<PolicyNumber, Value>,
}

impl PolicySet {
    /// The policies that it names: the old first.
    pub fn numbers(self) -> impl Iterator<Item = PolicyNumber> {
        let (one, two) = match self {
            PolicySet::Pure(one) => (one, None),
            PolicySet::Joint(old, new) => (old, Some(new)),
        };
        std::iter::once(one).chain(two)
    }
}

impl PolicyBroadcast {
    /// As it travels.
    pub fn text(&self) -> String {
        let policies = self.policies.iter().map(|(n, p)| (*n, p.document())).collect();
        let written = Written { form: FORM, revision: self.revision, told: self.told, policies };
        serde_json::to_string(&written).unwrap_or_default()
    }

    /// Reads what came.
    ///
    /// # Errors
    /// See [`HoldingError`]. Danger: what a program can't read it must be able to refuse by its revision, or nobody would learn why the
    /// change waits for it.
    pub fn read(text: &str) -> Result<Self, BroadcastError> {
        let malformed = |e: serde_json::Error| BroadcastError::Malformed(e.to_string());
        let value: Value = serde_json::from_str(text).map_err(malformed)?;
        let revision = Revision::deserialize(&value["revision"]).map_err(malformed)?;
        let beyond = |why: String| BroadcastError::Beyond { revision, why };
        if let Some(form) = value["form"].as_u64().filter(|f| *f != u64::from(FORM)) {
            return Err(beyond(format!("form {form}; this program reads form {FORM}: upgrade it first")));
        }
        let written: Written = serde_json::from_value(value).map_err(|e| beyond(e.to_string()))?;
        let read = |(n, told): (&PolicyNumber, &Value)| Ok((*n, Policy::read(told)?));
        let policies: Result<_, PolicyError> = written.policies.iter().map(read).collect();
        let holding = PolicyBroadcast {
            revision,
            told: written.told,
            policies: policies.map_err(|e| beyond(e.to_string()))?,
        };
        match holding.told.numbers().find(|n| !holding.policies.contains_key(n)) {
            Some(missing) => Err(beyond(format!("policy {} is named and not told", missing.0))),
            None => Ok(holding),
        }
    }
}
