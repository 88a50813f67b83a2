//! A document at a revision, as the admin API serves it.

use serde_json::Value;

/// The JSON of a resource or of the result of a change, with the resource's revision.
pub struct Versioned {
    pub body: Value,
    pub revision: u64,
}
