//! The stored form of policies: the policy record, the policies themselves, and the history of each proxy.

use super::history::PolicyHistory;
use rushquay_endpoints::Nanos;
use rushquay_policy::{Policy, PolicyNumber, PolicyRecord, PolicySet};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Name of the policy record, which says which policy is in force and whether a change is pending.
pub const POLICY_RECORD: &str = "policy/holds";
/// Prefix of the names of policies, followed by the policy's number.
const POLICY_PREFIX: &str = "policy/number/";
/// Prefix of the names of history records, followed by the proxy's name.
const HISTORY_PREFIX: &str = "policy/acted/";
/// The most revisions whose start is kept.
const MAX_REVISION_STARTS: usize = 500;

/// When a revision of the record started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionStart {
    /// Unix time in nanoseconds.
    pub at: Nanos,
    #[serde(rename = "told")]
    pub policy_set: PolicySet,
}

/// The record with the starts of its recent revisions, as it is stored.
#[derive(Clone, Serialize, Deserialize)]
pub struct StoredRecord {
    pub record: PolicyRecord,
    /// By revision.
    #[serde(rename = "stood")]
    pub revision_starts: BTreeMap<u64, RevisionStart>,
}

impl StoredRecord {
    /// The record at a revision that starts now.
    pub fn starting_at(
        record: PolicyRecord,
        mut revision_starts: BTreeMap<u64, RevisionStart>,
        at: Nanos,
    ) -> Self {
        let start = RevisionStart { at, policy_set: record.policy_set() };
        revision_starts.insert(record.revision.0, start);
        while revision_starts.len() > MAX_REVISION_STARTS {
            revision_starts.pop_first();
        }
        StoredRecord { record, revision_starts }
    }

    /// The JSON that is stored.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

/// All policy state in the store.
pub struct StoredPolicies {
    pub record: StoredRecord,
    pub policies: BTreeMap<PolicyNumber, Policy>,
    pub history: PolicyHistory,
}

/// Why stored policies can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The policy record is malformed.
    #[error("policy/holds: {0}")]
    Record(#[source] serde_json::Error),
    /// The name of a stored policy does not end in a number.
    #[error("{0}: expected a number")]
    Number(String),
    /// A policy is malformed.
    #[error("{name}: {reason}")]
    Policy {
        /// The name of the record.
        name: String,
        /// Why it is malformed.
        reason: String,
    },
    /// The record names a policy that is not stored.
    #[error("policy {0} is in force but not stored")]
    Missing(u64),
}

/// Name of a policy's record.
pub fn policy_record_name(number: PolicyNumber) -> String {
    format!("{POLICY_PREFIX}{}", number.0)
}

/// Name of a proxy's history record.
pub fn history_record_name(proxy: &str) -> String {
    format!("{HISTORY_PREFIX}{proxy}")
}

/// Reads the policy state that an earlier leader stored.
pub fn read_records(records: &BTreeMap<String, Value>) -> Result<StoredPolicies, ReadError> {
    let record = match records.get(POLICY_RECORD) {
        None => StoredRecord { record: PolicyRecord::default(), revision_starts: BTreeMap::new() },
        Some(json) => StoredRecord::deserialize(json).map_err(ReadError::Record)?,
    };
    let mut policies = BTreeMap::new();
    for (name, json) in records {
        let Some(number) = name.strip_prefix(POLICY_PREFIX) else { continue };
        let number = number.parse().map_err(|_| ReadError::Number(name.clone()))?;
        let policy = Policy::read(json)
            .map_err(|e| ReadError::Policy { name: name.clone(), reason: e.to_string() })?;
        policies.insert(PolicyNumber(number), policy);
    }
    let is_missing = |n: &PolicyNumber| *n != PolicyNumber(0) && !policies.contains_key(n);
    if let Some(missing) = record.record.policy_set().numbers().find(is_missing) {
        return Err(ReadError::Missing(missing.0));
    }
    let history = records.iter().filter_map(|(name, json)| Some((name.strip_prefix(HISTORY_PREFIX)?, json)));
    Ok(StoredPolicies { record, policies, history: PolicyHistory::restore(history) })
}
