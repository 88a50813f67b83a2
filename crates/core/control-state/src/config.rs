//! The control service's settings file (TOML), checked.

use serde::Deserialize;
use std::collections::BTreeMap;

/// A fault in a settings file: the field, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// The field's path.
    pub field: String,
    /// What was expected.
    pub expected: String,
}

/// The decisions' settings; what concerns sockets stands beside them in the same file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlConfig {
    /// Name of the cluster of cache nodes.
    pub cluster: String,
    /// Name of the origin's cluster.
    pub origin_cluster: String,
    /// The machine kind that marks the origin in the list.
    pub origin_kind: String,
    /// For how long, in seconds, a drain stands against a list that is older than it, 1 to 604800.
    pub hold_s: u64,
    /// Most removals remembered for subscribers that are behind, 16 to 1000000.
    pub removals: usize,
    /// Factors on the weights of machine kinds, over 0 and at most 100.
    pub weights: BTreeMap<String, f64>,
}

impl Default for ControlConfig {
    fn default() -> Self {
        ControlConfig {
            cluster: "cache-nodes".into(),
            origin_cluster: "origin".into(),
            origin_kind: "origin".into(),
            hold_s: 3600,
            removals: 10_000,
            weights: BTreeMap::new(),
        }
    }
}

impl ControlConfig {
    /// Checks what the types don't.
    ///
    /// # Errors
    /// The first field that is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        let need = |holds: bool, field: &str, expected: &str| match holds {
            true => Ok(()),
            false => Err(ConfigError { field: field.to_owned(), expected: expected.to_owned() }),
        };
        need(!self.cluster.is_empty(), "control.cluster", "a name")?;
        need(!self.origin_cluster.is_empty(), "control.origin_cluster", "a name")?;
        need(
            self.cluster != self.origin_cluster,
            "control.origin_cluster",
            "another name than control.cluster",
        )?;
        need((1..=604_800).contains(&self.hold_s), "control.hold_s", "seconds from 1 to 604800")?;
        need((16..=1_000_000).contains(&self.removals), "control.removals", "a number from 16 to 1000000")?;
        for (kind, factor) in &self.weights {
            let field = format!("control.weights.{kind}");
            need(*factor > 0.0 && *factor <= 100.0, &field, "a factor over 0, at most 100")?;
        }
        Ok(())
    }
}
