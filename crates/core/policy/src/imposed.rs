//! What a proxy acts by, from its own settings and what it was told.

use crate::body::{Floor, Policy};
use crate::meet::{meet, Met};
use crate::member::Acting;
use crate::record::Number;
use crate::word::Told;
use rushquay_config_version::Fault;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What a proxy goes by.
#[derive(Clone, Debug, PartialEq)]
pub enum Imposed {
    /// These settings; the stops are refused.
    By(Met),
    /// It serves nobody.
    Nobody,
}

/// What a proxy with these settings of its own goes by. `last`: what it was told last, whether or not it has leave for that, and the
/// floor that it would begin by where it was never told anything.
///
/// # Errors
/// What this proxy can't obey, with its path. Danger: a policy that is not known here is none that can be obeyed.
pub fn impose(
    own: &Value,
    acting: Acting,
    last: Option<Told>,
    policies: &BTreeMap<Number, Policy>,
    begin_by: &Floor,
) -> Result<Imposed, Fault> {
    let by = |number: Number| match policies.get(&number) {
        Some(policy) => policy.settings.over(own),
        None => {
            Err(Fault { path: format!("policy {}", number.0), expected: "one that was told here".into() })
        }
    };
    let told = |told: Told| {
        Ok(match told {
            Told::Pure(one) => Met { settings: by(one)?, stops: BTreeSet::new() },
            Told::Joint(old, new) => meet(&by(old)?, &by(new)?),
        })
    };
    Ok(match (acting, last) {
        (Acting::Nothing, _) => Imposed::Nobody,
        (Acting::Told(now), _) => Imposed::By(told(now)?),
        (Acting::Floor, None) => match begin_by {
            Floor::Nobody => Imposed::Nobody,
            Floor::Settings(floor) => Imposed::By(Met { settings: floor.over(own)?, stops: BTreeSet::new() }),
        },
        (Acting::Floor, Some(last)) => {
            // The old's: it was checked against all that may hold when the new one was proposed.
            let floor = last.numbers().next().and_then(|n| policies.get(&n)).map(|p| &p.floor);
            match floor {
                None | Some(Floor::Nobody) => Imposed::Nobody,
                Some(Floor::Settings(floor)) => {
                    // What the floor doesn't name is as strict as it was by what was told.
                    let last = told(last)?;
                    let mut met = meet(&floor.over(own)?, &last.settings);
                    met.stops.extend(last.stops);
                    Imposed::By(met)
                }
            }
        }
    })
}
