//! What a node is like.

use crate::{Nanos, Work, MILLI};
use serde::Deserialize;
use std::num::NonZeroUsize;

/// What a node does about a key that it doesn't keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It fetches it from the origin, holds the request meanwhile, and forwards writes.
    #[default]
    Through,
    /// It says so.
    Aside,
    /// It has everything: the origin.
    All,
}

/// What a node keeps.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeptSettings {
    /// So many keys.
    pub keys: NonZeroUsize,
    /// Each for so long, in milliseconds.
    pub lasts_ms: f64,
}

/// A node that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// It starts with this part of its speed, over 0 and at most 1.
    pub from: f64,
    /// And has all of it after this long, in milliseconds.
    pub for_ms: f64,
    /// Or once it has done so many pieces of work; 0: by time alone.
    #[serde(default)]
    pub work: u64,
}

/// How a cold node is pushed over.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fall {
    /// Sent over this multiple of what it can do at the moment.
    pub multiple: f64,
    /// For so long, in milliseconds.
    pub for_ms: f64,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Cores, 1 to 1024.
    pub cores: usize,
    /// Of a core; 1: work takes as long as it says.
    #[serde(default = "one")]
    pub speed: f64,
    /// So many requests wait beyond those that are worked on; more are turned away.
    pub waiting: usize,
    /// What it does about what it lacks.
    #[serde(default)]
    pub mode: Mode,
    /// What it keeps; left out: nothing.
    #[serde(default)]
    pub kept: Option<KeptSettings>,
    /// Work of a request that is answered from what is kept.
    pub work: Work,
    /// Further work for what came from the origin.
    #[serde(default = "nothing")]
    pub fetched_work: Work,
    /// The part of reads of what it keeps that it takes for misses, 0 to 1.
    #[serde(default)]
    pub false_misses: f64,
    /// For so long a token of a write is remembered and a repeat dropped, in milliseconds.
    #[serde(default)]
    pub remembers_ms: f64,
    /// Warm-up; left out: always warm.
    #[serde(default)]
    pub cold: Option<Cold>,
    /// Falling over while cold; left out: it does not.
    #[serde(default)]
    pub fall: Option<Fall>,
}

fn one() -> f64 {
    1.0
}

fn nothing() -> Work {
    Work::Fixed(0.0)
}

/// A field that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct SettingsError {
    /// Which.
    pub field: &'static str,
    /// What was expected.
    pub expected: &'static str,
}

impl NodeSettings {
    /// Checks what the types don't.
    ///
    /// # Errors
    /// The first field that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let need = |holds: bool, field, expected| match holds {
            true => Ok(()),
            false => Err(SettingsError { field, expected }),
        };
        let positive = |x: f64| x.is_finite() && x > 0.0;
        need((1..=1024).contains(&self.cores), "cores", "1 to 1024")?;
        need(positive(self.speed), "speed", "a number over 0")?;
        need(self.work.sound(), "work", "a distribution with a mean")?;
        need(self.fetched_work.sound(), "fetched_work", "a distribution with a mean")?;
        need((0.0..=1.0).contains(&self.false_misses), "false_misses", "0 to 1")?;
        need(self.remembers_ms.is_finite() && self.remembers_ms >= 0.0, "remembers_ms", "milliseconds")?;
        if let Some(kept) = &self.kept {
            need(positive(kept.lasts_ms), "kept.lasts_ms", "milliseconds over 0")?;
        }
        if let Some(cold) = &self.cold {
            need(cold.from > 0.0 && cold.from <= 1.0, "cold.from", "over 0, at most 1")?;
            need(positive(cold.for_ms), "cold.for_ms", "milliseconds over 0")?;
        }
        if let Some(fall) = &self.fall {
            need(positive(fall.multiple), "fall.multiple", "a number over 0")?;
            need(positive(fall.for_ms), "fall.for_ms", "milliseconds over 0")?;
        }
        Ok(())
    }
}

/// Milliseconds as nanoseconds.
pub(crate) fn nanos(ms: f64) -> Nanos {
    (ms * MILLI as f64) as Nanos
}
