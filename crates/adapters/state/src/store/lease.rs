//! The leader's lease in the store.

use super::{InvalidRecord, StateStore, META};
use crate::error::StateError;
use crate::record::{sealed, unsealed};
use serde::{Deserialize, Serialize};

const LEASE: &str = "lease";

/// The lease of the leader, where instances share the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LeaseRecord {
    /// The name that the leader gave itself.
    pub holder: String,
    pub epoch: u64,
    /// The end, on the machine's clock that all instances read.
    pub until: u64,
    /// The start of the machine since which that clock counts.
    pub boot: String,
}

impl StateStore {
    pub(crate) fn lease(&self) -> Result<Option<LeaseRecord>, StateError> {
        self.read_txn(|txn| {
            let record = txn.open_table(META)?.get(LEASE)?;
            let lease = record.map(|record| unsealed(record.value())).transpose();
            Ok(lease.map_err(|error| InvalidRecord::new("meta", LEASE, error)))
        })
    }

    pub(crate) fn set_lease(&self, lease: &LeaseRecord) -> Result<(), StateError> {
        self.write_endpoints(|_, meta| meta.insert(LEASE, sealed(lease).as_slice()).map(drop))
    }
}
