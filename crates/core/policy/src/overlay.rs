//! What a proxy acts by, from its own settings and what it was told.

use crate::document::{FallbackPolicy, Policy};
use crate::intersection::{intersect, Intersection};
use crate::member::ActivePolicy;
use crate::messages::PolicySet;
use crate::record::PolicyNumber;
use rushquay_config_version::FieldError;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What a proxy goes by.
#[derive(Clone, Debug, PartialEq)]
pub enum Overlay {
    /// These settings; the stops are refused.
    By(Intersection),
    /// It serves nobody.
    Nobody,
}

/// What a proxy with these settings of its own goes by. `last`: what it was told last, whether or not it has leave for that, and the
/// floor that it would begin by where it was never told anything.
///
/// # Errors
/// What this proxy can't obey, with its path. Danger: a policy that is not known here is none that can be obeyed.
pub fn apply_overlay(
    own: &Value,
    acting: ActivePolicy,
    last: Option<PolicySet>,
    policies: &BTreeMap<PolicyNumber, Policy>,
    begin_by: &FallbackPolicy,
) -> Result<Overlay, FieldError> {
    let by = |number: PolicyNumber| match policies.get(&number) {
        Some(policy) => policy.settings.over(own),
        None => Err(FieldError {
            path: format!("policy {}", number.0),
            expected: "one that was told here".into(),
        }),
    };
    let told = |told: PolicySet| {
        Ok(match told {
            PolicySet::Pure(one) => Intersection { settings: by(one)?, stops: BTreeSet::new() },
            PolicySet::Joint(old, new) => intersect(&by(old)?, &by(new)?),
        })
    };
    Ok(match (acting, last) {
        (ActivePolicy::Denied, _) => Overlay::Nobody,
        (ActivePolicy::Leased(now), _) => Overlay::By(told(now)?),
        (ActivePolicy::Fallback, None) => match begin_by {
            FallbackPolicy::Nobody => Overlay::Nobody,
            FallbackPolicy::Settings(floor) => {
                Overlay::By(Intersection { settings: floor.over(own)?, stops: BTreeSet::new() })
            }
        },
        (ActivePolicy::Fallback, Some(last)) => {
            // The old's: it was checked against all that may hold when the new one was proposed.
            let floor = last.numbers().next().and_then(|n| policies.get(&n)).map(|p| &p.floor);
            match floor {
                None | Some(FallbackPolicy::Nobody) => Overlay::Nobody,
                Some(FallbackPolicy::Settings(floor)) => {
                    // What the floor doesn't name is as strict as it was by what was told.
                    let last = told(last)?;
                    let mut met = intersect(&floor.over(own)?, &last.settings);
                    met.stops.extend(last.stops);
                    Overlay::By(met)
                }
            }
        }
    })
}
