//! The types of overrides, their scopes and effects.

use serde::{Deserialize, Serialize};

/// A point in Unix time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;

/// The endpoints that an override applies to, from the widest scope to the narrowest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All endpoints of the fleet.
    All,
    /// The endpoints of a data centre.
    Zone(String),
    /// The endpoints of a machine kind.
    Kind(String),
    /// A single endpoint, by its id.
    Node(String),
}

impl Scope {
    /// Returns `true` if the scope includes this endpoint.
    pub fn covers(&self, node: &Node<'_>) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone(zone) => zone == node.zone,
            Scope::Kind(kind) => kind == node.kind,
            Scope::Node(id) => id == node.id,
        }
    }

    /// Returns the precedence of the scope: a narrower scope has a higher rank.
    pub(crate) fn rank(&self) -> u8 {
        match self {
            Scope::All => 0,
            Scope::Zone(_) => 1,
            Scope::Kind(_) => 2,
            Scope::Node(_) => 3,
        }
    }
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scope::All => f.write_str("all"),
            Scope::Zone(zone) => write!(f, "zone {zone}"),
            Scope::Kind(kind) => write!(f, "kind {kind}"),
            Scope::Node(id) => write!(f, "node {id}"),
        }
    }
}

/// What an override does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Out of service: no new requests are sent to the endpoint.
    Out,
    /// The weight is multiplied by this factor, above 0 and at most 10.
    Weight(f64),
    /// Requests of a class, for some keys, or both are sent to the endpoint while it can serve them.
    Pinned {
        /// The class; `None`: any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        class: Option<String>,
        /// A key, or a prefix of keys with a `*` at the end; `None`: any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        keys: Option<String>,
    },
}

impl std::fmt::Display for Effect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Effect::Out => f.write_str("out of service"),
            Effect::Weight(factor) => write!(f, "weight x {factor}"),
            Effect::Pinned { class, keys } => {
                f.write_str("pinned")?;
                class.iter().try_for_each(|c| write!(f, " class {c}"))?;
                keys.iter().try_for_each(|k| write!(f, " keys {k}"))
            }
        }
    }
}

/// An override.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Override {
    /// Its number, which is never reused.
    pub id: u64,
    /// The endpoints it applies to.
    pub scope: Scope,
    /// Its effect.
    pub effect: Effect,
    /// Start, in Unix time in nanoseconds.
    pub since: Nanos,
    /// Expiry, in Unix time in nanoseconds.
    pub until: Nanos,
    /// Who set it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// The properties of an endpoint by which scopes select it.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its machine kind.
    pub kind: &'a str,
    /// Its data centre.
    pub zone: &'a str,
}

/// Limits on overrides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverrideLimits {
    /// Maximum duration of an override, in nanoseconds.
    pub max_duration: Nanos,
    /// The fraction of the fleet's weight that must stay in service, from 0 to 1.
    pub min_weight_in_service: f64,
    /// How long before its expiry an override is announced, in nanoseconds.
    pub announce: Nanos,
    /// Time out of service after which the cache of an endpoint counts as cold, in nanoseconds.
    pub cold_after: Nanos,
    /// Maximum number of overrides.
    pub max_overrides: usize,
    /// Maximum length of the event history; the oldest events are dropped first.
    pub history: usize,
}

impl Default for OverrideLimits {
    fn default() -> Self {
        OverrideLimits {
            max_duration: 12 * 3600 * SECOND,
            min_weight_in_service: 0.67,
            announce: 600 * SECOND,
            cold_after: 60 * SECOND,
            max_overrides: 10_000,
            history: 100_000,
        }
    }
}
