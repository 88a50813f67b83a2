//! The combined effect of overrides on one endpoint.

use crate::{Effect, Nanos, Node, Override};
use rushquay_endpoints::{Imposed, Pin};

/// The status of an override on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideStatus {
    /// It is in force.
    InForce,
    /// The override with this number is in force instead; this one takes effect when that one ends.
    Masked(u64),
}

/// Returns the numbers of the masked pins, each with the number of the pin that masks it. Of pins with the same keys and class on different
/// endpoints, only the one set last is in force.
pub fn masked_pins<'a>(overrides: impl Iterator<Item = &'a Override> + Clone, now: Nanos) -> Vec<(u64, u64)> {
    let live = || overrides.clone().filter(|o| o.until > now);
    let is_pin = |o: &&Override| matches!(o.effect, Effect::Pinned { .. });
    let masked_by = |o: &Override| {
        let same_pins =
            live().filter(is_pin).filter(|l| l.effect == o.effect && l.scope != o.scope && l.id > o.id);
        same_pins.map(|l| l.id).max()
    };
    live().filter(is_pin).filter_map(|o| Some((o.id, masked_by(o)?))).collect()
}

/// Returns the combined effect on an endpoint of the overrides that apply to it at `now`, and the status of each of them with its number.
///
/// An override applies as soon as it is set. Danger: by the clock of a later leader, which may be behind, it may begin in the future.
pub fn effective_overrides<'a>(
    overrides: impl Iterator<Item = &'a Override>,
    node: &Node<'_>,
    now: Nanos,
) -> (Imposed, Vec<(u64, OverrideStatus)>) {
    let mut applying: Vec<&Override> = overrides.filter(|o| o.until > now && o.scope.covers(node)).collect();
    // The narrowest scope first, and within one scope the latest override first.
    applying.sort_by_key(|o| std::cmp::Reverse((o.scope.rank(), o.id)));
    let outs = || applying.iter().filter(|o| o.effect == Effect::Out);
    let mut imposed = Imposed::default();
    if let Some(last) = outs().max_by_key(|o| (o.until, o.id)) {
        let since = outs().map(|o| o.since).min().unwrap_or(last.since);
        imposed.out = (since, last.until);
    }
    let mut statuses = Vec::new();
    let last_out = outs().max_by_key(|o| (o.until, o.id)).map(|o| o.id);
    let mut masking: Option<u64> = last_out;
    for o in &applying {
        match &o.effect {
            Effect::Pinned { class, keys } => {
                let (class, keys) = (class.clone(), keys.clone());
                imposed.pins.push(Pin { number: o.id, until: o.until, class, keys });
                // An endpoint that is out of service gets no requests, not even pinned ones.
                statuses.push((o.id, last_out.map_or(OverrideStatus::InForce, OverrideStatus::Masked)));
            }
            Effect::Out => statuses.push((o.id, OverrideStatus::InForce)),
            Effect::Weight(factor) => {
                // A weight that ends no later than one of higher precedence never takes effect.
                if imposed.weights.iter().all(|(until, _)| *until < o.until) {
                    imposed.weights.push((o.until, *factor));
                }
                statuses.push((o.id, masking.map_or(OverrideStatus::InForce, OverrideStatus::Masked)));
                masking = masking.or(Some(o.id));
            }
        }
    }
    (imposed, statuses)
}
