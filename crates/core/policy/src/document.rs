//! What a policy says: settings that are laid over each proxy's own, and the floor for who has no leave.

use rushquay_config_version::{ConfigVersion, FieldError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What a proxy acts by that has no leave.
#[derive(Clone, Debug, PartialEq)]
pub enum FallbackPolicy {
    /// It serves nobody.
    Nobody,
    /// These settings, laid over its own. They are never looser than the policy that names them.
    Settings(ConfigVersion),
}

/// A policy, whole and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Settings that are laid over a proxy's own.
    pub settings: ConfigVersion,
    /// What holds for who has no leave.
    pub floor: FallbackPolicy,
}

/// Why a policy can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// A field of it.
    #[error("{part}: {fault}")]
    Field {
        /// `policy` or `floor`.
        part: &'static str,
        /// Which, and what was expected there.
        fault: FieldError,
    },
    /// Something that is no policy.
    #[error("not a policy: {0}; expected settings, and floor: settings or \"nobody\"")]
    Form(String),
    /// The floor would let through what the policy doesn't.
    #[error("floor: looser than the policy in {}: name each field that the policy names, at least as strictly", .0.join(", "))]
    Looser(Vec<String>),
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    settings: Value,
    floor: Value,
}

/// The word for nobody.
const NOBODY: &str = "nobody";

impl FallbackPolicy {
    /// Reads settings, or the word for nobody.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn read(told: &Value) -> Result<Self, PolicyError> {
        match told {
            Value::String(word) if word == NOBODY => Ok(FallbackPolicy::Nobody),
            Value::Object(_) => {
                let read = ConfigVersion::read(told);
                read.map(FallbackPolicy::Settings)
                    .map_err(|fault| PolicyError::Field { part: "floor", fault })
            }
            other => Err(PolicyError::Form(format!("floor is {other}"))),
        }
    }

    /// As it is written.
    pub fn document(&self) -> Value {
        match self {
            FallbackPolicy::Nobody => NOBODY.into(),
            FallbackPolicy::Settings(settings) => settings.document(),
        }
    }

    /// The paths in which it is looser than these settings, or can't be compared with them.
    pub fn looser(&self, than: &ConfigVersion) -> Vec<String> {
        match self {
            FallbackPolicy::Nobody => Vec::new(),
            FallbackPolicy::Settings(own) => crate::looser_paths(&own.document(), &than.document()),
        }
    }
}

impl Policy {
    /// The one that says nothing: each proxy acts by its own file.
    pub fn base(floor: FallbackPolicy) -> Self {
        Policy { settings: ConfigVersion::base(), floor }
    }

    /// Checks a policy.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn of(settings: &Value, floor: FallbackPolicy) -> Result<Self, PolicyError> {
        let field = |fault| PolicyError::Field { part: "policy", fault };
        let settings = ConfigVersion::read(settings).map_err(field)?;
        if settings.program().is_some() {
            let expected = "settings alone; programs change in stages, with rushquay rollout".into();
            return Err(field(FieldError { path: "program".into(), expected }));
        }
        let shares = settings.document()["customers"]
            .as_array()
            .map_or(0.0, |all| all.iter().filter_map(|one| one["fraction"].as_f64()).sum());
        if shares > 1.0 + 1e-9 {
            let expected = format!("fractions that add up to 1 at most, not {shares}");
            return Err(field(FieldError { path: "customers".into(), expected }));
        }
        let looser = floor.looser(&settings);
        if !looser.is_empty() {
            return Err(PolicyError::Looser(looser));
        }
        Ok(Policy { settings, floor })
    }

    /// Reads one as [`Policy::document`] writes it. It was checked when it was proposed; what this program can't read is refused here.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn read(told: &Value) -> Result<Self, PolicyError> {
        let written = Written::deserialize(told).map_err(|e| PolicyError::Form(e.to_string()))?;
        let field = |fault| PolicyError::Field { part: "policy", fault };
        let settings = ConfigVersion::read(&written.settings).map_err(field)?;
        Ok(Policy { settings, floor: FallbackPolicy::read(&written.floor)? })
    }

    /// As it is kept and told.
    pub fn document(&self) -> Value {
        let written = Written { settings: self.settings.document(), floor: self.floor.document() };
        // Plain fields always have a JSON form.
        serde_json::to_value(written).unwrap_or_default()
    }
}
