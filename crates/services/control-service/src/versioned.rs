//! A document at a revision, as the admin API serves it.

use serde_json::Value;

/// The JSON of a resource or of a change's result, with the resource's revision.
pub struct Versioned {
    pub body: Value,
    pub revision: u64,
}
