//! The stored form of rollouts: the registry and the known members.

use crate::persistence::Records;
use rushquay_endpoints::Nanos;
use rushquay_membership::MemberRecord;
use rushquay_rollout::{RegistryRecord, RolloutRegistry};
use std::collections::BTreeMap;

/// Name of the registry's record.
pub const REGISTRY_RECORD: &str = "rollout/board";
/// Prefix of the names of member records, followed by the proxy's name.
const MEMBER_PREFIX: &str = "roster/";
/// Name of a member's record.
pub fn member_record_name(proxy: &str) -> String {
    format!("{MEMBER_PREFIX}{proxy}")
}

/// Reads the members that an earlier leader persisted; one that can't be read is skipped.
pub fn read_members(records: &Records) -> BTreeMap<String, MemberRecord> {
    let members = records.iter().filter(|(name, _)| name.starts_with(MEMBER_PREFIX));
    let members = members.filter_map(|(_, json)| serde_json::from_value::<MemberRecord>(json.clone()).ok());
    members.map(|member| (member.name.clone(), member)).collect()
}

/// Why a stored registry can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It is malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// Its content is inconsistent.
    #[error("{0}")]
    Inconsistent(String),
}

/// Reads the registry that an earlier leader persisted, if there is one.
pub fn read_registry(records: &Records, now: Nanos) -> Result<RolloutRegistry, ReadError> {
    let Some(record) = records.get(REGISTRY_RECORD) else { return Ok(RolloutRegistry::default()) };
    let record: RegistryRecord = serde_json::from_value(record.clone())?;
    RolloutRegistry::restore(record, now).map_err(|e| ReadError::Inconsistent(e.to_string()))
}
