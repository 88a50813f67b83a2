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
    /// Serve with these settings and reject the listed classes.
    Settings(Intersection),
    /// Serve nobody.
    Nobody,
}

/// The settings that a proxy with the settings `own` applies. `last` is the last policy set that it received, whether or not it still
/// holds a lease for it; `startup_fallback` is the fallback policy of a proxy that has not received any policy set.
///
/// # Errors
/// The path of the field that this proxy cannot apply. Danger: a policy whose content the proxy has not received cannot be
/// applied; it must be an error.
pub fn apply_overlay(
    own: &Value,
    acting: ActivePolicy,
    last: Option<PolicySet>,
    policies: &BTreeMap<PolicyNumber, Policy>,
    startup_fallback: &FallbackPolicy,
) -> Result<Overlay, FieldError> {
    let settings_of = |number: PolicyNumber| match policies.get(&number) {
        Some(policy) => policy.settings.over(own),
        None => Err(FieldError {
            path: format!("policy {}", number.0),
            expected: "a policy that this proxy has received".into(),
        }),
    };
    let settings_of_set = |set: PolicySet| {
        Ok(match set {
            PolicySet::Pure(one) => {
                Intersection { settings: settings_of(one)?, rejected_classes: BTreeSet::new() }
            }
            PolicySet::Joint(old, new) => intersect(&settings_of(old)?, &settings_of(new)?),
        })
    };
    Ok(match (acting, last) {
        (ActivePolicy::Denied, _) => Overlay::Nobody,
        (ActivePolicy::Leased(leased), _) => Overlay::Settings(settings_of_set(leased)?),
        (ActivePolicy::Fallback, None) => match startup_fallback {
            FallbackPolicy::Nobody => Overlay::Nobody,
            FallbackPolicy::Settings(fallback) => Overlay::Settings(Intersection {
                settings: fallback.over(own)?,
                rejected_classes: BTreeSet::new(),
            }),
        },
        (ActivePolicy::Fallback, Some(last)) => {
            // During a change, the fallback policy of the old policy applies: a policy can be proposed only if no fallback policy in use
            // is looser than it.
            let fallback = last.numbers().next().and_then(|n| policies.get(&n)).map(|p| &p.fallback);
            match fallback {
                None | Some(FallbackPolicy::Nobody) => Overlay::Nobody,
                Some(FallbackPolicy::Settings(fallback)) => {
                    // Fields that the fallback policy does not set stay as strict as in the last policy set.
                    let last = settings_of_set(last)?;
                    let mut overlay = intersect(&fallback.over(own)?, &last.settings);
                    overlay.rejected_classes.extend(last.rejected_classes);
                    Overlay::Settings(overlay)
                }
            }
        }
    })
}
