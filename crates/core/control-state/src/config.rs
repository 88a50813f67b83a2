//! The settings of the control state, from the control service's settings file (TOML).

use serde::Deserialize;
use std::collections::BTreeMap;

/// An invalid field of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// Path of the field.
    pub field: String,
    /// What was expected.
    pub expected: String,
}

/// The `control` table of the settings file. Sockets are configured in other tables.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlConfig {
    /// Name of the cluster of cache nodes.
    pub cluster: String,
    /// Name of the cluster of the origin.
    pub origin_cluster: String,
    /// Machine kind of the origin's endpoints in the endpoint list.
    pub origin_kind: String,
    /// How long a drain is kept although an older endpoint list contradicts it, in seconds, 1 to 604800.
    pub hold_s: u64,
    /// Maximum number of removed endpoints that are remembered for subscribers that are behind, 16 to 1000000.
    pub removals: usize,
    /// Factor on the weight of each endpoint of a machine kind, above 0 and at most 100.
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
    /// Validates the constraints that the types do not express.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn check(&self) -> Result<(), ConfigError> {
        let ensure = |is_valid: bool, field: &str, expected: &str| match is_valid {
            true => Ok(()),
            false => Err(ConfigError { field: field.to_owned(), expected: expected.to_owned() }),
        };
        ensure(!self.cluster.is_empty(), "control.cluster", "a name")?;
        ensure(!self.origin_cluster.is_empty(), "control.origin_cluster", "a name")?;
        ensure(
            self.cluster != self.origin_cluster,
            "control.origin_cluster",
            "a name other than control.cluster",
        )?;
        ensure((1..=604_800).contains(&self.hold_s), "control.hold_s", "seconds from 1 to 604800")?;
        ensure((16..=1_000_000).contains(&self.removals), "control.removals", "a number from 16 to 1000000")?;
        for (kind, factor) in &self.weights {
            let field = format!("control.weights.{kind}");
            ensure(*factor > 0.0 && *factor <= 100.0, &field, "a factor over 0, at most 100")?;
        }
        Ok(())
    }
}
