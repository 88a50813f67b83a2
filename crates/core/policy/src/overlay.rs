//! The settings that a proxy applies, from its own settings and the policies it has received.

use crate::document::{FallbackPolicy, Policy};
use crate::intersection::{intersect, Intersection};
use crate::member::ActivePolicy;
use crate::policy_set::{PolicyNumber, PolicySet};
use rushquay_config_version::FieldError;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The outcome of applying policies to a proxy's own settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Overlay {
    /// Serve by these settings, and reject the listed classes.
    By(Intersection),
    /// Serve nobody.
    Nobody,
}

/// The settings that a proxy with the settings `own` applies. `last`: the last policy set it received, whether or not it still holds
/// a lease for that; `begin_by`: the fallback policy it starts with if it never received any.
///
/// # Errors
/// The path of what this proxy cannot apply. Danger: a policy that is unknown here cannot be applied.
pub fn apply_overlay(
    own: &Value,
    acting: ActivePolicy,
    last: Option<PolicySet>,
    policies: &BTreeMap<PolicyNumber, Policy>,
    begin_by: &FallbackPolicy,
) -> Result<Overlay, FieldError> {
    let settings_of = |number: PolicyNumber| match policies.get(&number) {
        Some(policy) => policy.settings.over(own),
        None => Err(FieldError {
            path: format!("policy {}", number.0),
            expected: "one that was told here".into(),
        }),
    };
    let settings_of_set = |set: PolicySet| {
        Ok(match set {
            PolicySet::Pure(one) => Intersection { settings: settings_of(one)?, stops: BTreeSet::new() },
            PolicySet::Joint(old, new) => intersect(&settings_of(old)?, &settings_of(new)?),
        })
    };
    Ok(match (acting, last) {
        (ActivePolicy::Denied, _) => Overlay::Nobody,
        (ActivePolicy::Leased(leased), _) => Overlay::By(settings_of_set(leased)?),
        (ActivePolicy::Fallback, None) => match begin_by {
            FallbackPolicy::Nobody => Overlay::Nobody,
            FallbackPolicy::Settings(fallback) => {
                Overlay::By(Intersection { settings: fallback.over(own)?, stops: BTreeSet::new() })
            }
        },
        (ActivePolicy::Fallback, Some(last)) => {
            // The fallback of the old policy: it was checked against all that may be in force when the new one was proposed.
            let fallback = last.numbers().next().and_then(|n| policies.get(&n)).map(|p| &p.floor);
            match fallback {
                None | Some(FallbackPolicy::Nobody) => Overlay::Nobody,
                Some(FallbackPolicy::Settings(fallback)) => {
                    // Fields that the fallback policy does not name stay as strict as in the last policy set.
                    let last = settings_of_set(last)?;
                    let mut overlay = intersect(&fallback.over(own)?, &last.settings);
                    overlay.stops.extend(last.stops);
                    Overlay::By(overlay)
                }
            }
        }
    })
}
