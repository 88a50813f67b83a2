//! The content of a policy: the settings that are applied over each proxy's own, and the fallback policy of proxies without a lease.

use rushquay_config_version::{ConfigVersion, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What a proxy applies whose policy lease has expired.
#[derive(Clone, Debug, PartialEq)]
pub enum FallbackPolicy {
    /// Serve nobody.
    Nobody,
    /// Apply these settings over the proxy's own. They are never looser than the settings of the same policy.
    Settings(ConfigVersion),
}

/// A complete, validated policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Settings applied over a proxy's own.
    pub settings: ConfigVersion,
    /// What a proxy without a lease applies.
    pub fallback: FallbackPolicy,
}

/// Why a policy is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// A field is invalid.
    #[error("{part}: {error}")]
    Field {
        /// The part of the policy with the field: `policy` or `floor`.
        part: &'static str,
        /// The field, and what was expected there.
        error: FieldError,
    },
    /// The document is not a policy.
    #[error("not a policy: {0}; expected `settings`, and `floor` with settings or \"nobody\"")]
    NotAPolicy(String),
    /// The fallback policy is looser than the policy in the fields with these paths.
    #[error("floor: looser than the policy in {}; set each field that the policy sets, at least as strictly", .0.join(", "))]
    LooserFallback(Vec<String>),
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyDocument {
    settings: Value,
    floor: Value,
}

/// The value of `floor` in documents for a fallback policy that serves nobody.
const NOBODY: &str = "nobody";

impl FallbackPolicy {
    /// Reads settings, or the value `"nobody"`.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn read(value: &Value) -> Result<Self, PolicyError> {
        match value {
            Value::String(text) if text == NOBODY => Ok(FallbackPolicy::Nobody),
            Value::Object(_) => {
                let settings = ConfigVersion::read(value);
                settings
                    .map(FallbackPolicy::Settings)
                    .map_err(|error| PolicyError::Field { part: "floor", error })
            }
            other => Err(PolicyError::NotAPolicy(format!("floor is {other}"))),
        }
    }

    /// The fallback policy as a JSON document.
    pub fn document(&self) -> Value {
        match self {
            FallbackPolicy::Nobody => NOBODY.into(),
            FallbackPolicy::Settings(settings) => settings.document(),
        }
    }

    /// The paths of the fields in which this fallback policy is looser than the settings `than`, or incomparable with them.
    pub fn looser_paths(&self, than: &ConfigVersion) -> Vec<String> {
        match self {
            FallbackPolicy::Nobody => Vec::new(),
            FallbackPolicy::Settings(own) => crate::looser_paths(&own.document(), &than.document()),
        }
    }
}

impl Policy {
    /// The empty policy, under which each proxy applies its own settings, with this fallback policy.
    pub fn base(fallback: FallbackPolicy) -> Self {
        Policy { settings: ConfigVersion::base(), fallback }
    }

    /// Validates a proposed policy.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn validated(settings: &Value, floor: FallbackPolicy) -> Result<Self, PolicyError> {
        let field = |error| PolicyError::Field { part: "policy", error };
        let settings = ConfigVersion::read(settings).map_err(field)?;
        if settings.program().is_some() {
            let expected = "no program; programs change in stages, with rushquay rollout".into();
            return Err(field(FieldError { path: "program".into(), expected }));
        }
        let total_share = settings.document()["customers"]
            .as_array()
            .map_or(0.0, |tenants| tenants.iter().filter_map(|tenant| tenant["fraction"].as_f64()).sum());
        if total_share > 1.0 + 1e-9 {
            let expected = format!("fractions that add up to 1 at most, not {total_share}");
            return Err(field(FieldError { path: "customers".into(), expected }));
        }
        let looser = floor.looser_paths(&settings);
        if !looser.is_empty() {
            return Err(PolicyError::LooserFallback(looser));
        }
        Ok(Policy { settings, fallback: floor })
    }

    /// Reads a policy as [`Policy::document`] writes it. The combination of settings and fallback policy was validated when the policy
    /// was proposed and is not validated again; each field is, so that settings unknown to this program are rejected.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn read(value: &Value) -> Result<Self, PolicyError> {
        let document =
            PolicyDocument::deserialize(value).map_err(|error| PolicyError::NotAPolicy(error.to_string()))?;
        let field = |error| PolicyError::Field { part: "policy", error };
        let settings = ConfigVersion::read(&document.settings).map_err(field)?;
        Ok(Policy { settings, fallback: FallbackPolicy::read(&document.floor)? })
    }

    /// The policy as a JSON document, as it is stored and broadcast.
    pub fn document(&self) -> Value {
        let document = PolicyDocument { settings: self.settings.document(), floor: self.fallback.document() };
        // Serialising plain fields to JSON cannot fail.
        serde_json::to_value(document).unwrap_or_default()
    }
}
