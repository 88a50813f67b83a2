//! What is read from and written to a store.

use rushquay_endpoints::SourcedEndpoint;
use rushquay_overrides::{Override, OverrideEvent};
use serde_json::Value;
use std::collections::BTreeMap;

/// The stored endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The version of the last list; `None`: there was none.
    pub version: Option<u64>,
    /// The endpoints, by id.
    pub nodes: Vec<SourcedEndpoint>,
}

/// A write of the overrides, in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverrideWrite {
    /// All live overrides.
    pub live: Vec<Override>,
    /// The events since the last write.
    pub events: Vec<OverrideEvent>,
    /// The number of the next override.
    pub next: u64,
    /// The revision of the overrides.
    pub revision: u64,
    /// How many events stay in the history.
    pub history: usize,
}

/// A write of the endpoint list, in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointWrite {
    /// Whether all other endpoints are removed first.
    pub whole: bool,
    /// The version of the last list.
    pub version: Option<u64>,
    /// New or changed endpoints.
    pub set: Vec<SourcedEndpoint>,
    /// The ids of removed endpoints.
    pub gone: Vec<String>,
}

/// A write of the named records of other components, in one transaction; each record belongs to one component.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordWrite {
    /// New or changed records.
    pub set: BTreeMap<String, Value>,
    /// The names of removed records.
    pub gone: Vec<String>,
}
