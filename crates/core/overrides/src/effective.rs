//! What overrides come to on one node.

use crate::{Effect, Nanos, Node, Override};
use rushquay_endpoints::{Imposed, Pin};

/// How an override stands on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideStatus {
    /// It counts.
    InForce,
    /// Another counts, of this number; it takes effect when that one ends.
    Masked(u64),
}

/// Of pins of the same keys and class on different nodes the one set last counts; which are masked, and by which.
pub fn masked_pins<'a>(overrides: impl Iterator<Item = &'a Override> + Clone, now: Nanos) -> Vec<(u64, u64)> {
    let live = || overrides.clone().filter(|o| o.since <= now && o.until > now);
    let pin = |o: &&Override| matches!(o.effect, Effect::Pinned { .. });
    let later = |o: &Override| {
        let alike = live().filter(pin).filter(|l| l.effect == o.effect && l.scope != o.scope && l.id > o.id);
        alike.map(|l| l.id).max()
    };
    live().filter(pin).filter_map(|o| Some((o.id, later(o)?))).collect()
}

/// What the overrides that are in force at this time come to on a node, and how each that is on it stands, by number.
pub fn effective_overrides<'a>(
    overrides: impl Iterator<Item = &'a Override>,
    node: &Node<'_>,
    now: Nanos,
) -> (Imposed, Vec<(u64, OverrideStatus)>) {
    let mut on: Vec<&Override> =
        overrides.filter(|o| o.since <= now && o.until > now && o.scope.covers(node)).collect();
    // The narrowest first, and of one scope the latest.
    on.sort_by_key(|o| std::cmp::Reverse((o.scope.rank(), o.since, o.id)));
    let outs = || on.iter().filter(|o| o.effect == Effect::Out);
    let mut imposed = Imposed::default();
    if let Some(last) = outs().max_by_key(|o| (o.until, o.id)) {
        let since = outs().map(|o| o.since).min().unwrap_or(last.since);
        imposed.out = (since, last.until);
    }
    let mut standings = Vec::new();
    let masks = outs().max_by_key(|o| (o.until, o.id)).map(|o| o.id);
    let mut upper: Option<u64> = masks;
    for o in &on {
        match &o.effect {
            Effect::Pinned { class, keys } => {
                let (class, keys) = (class.clone(), keys.clone());
                imposed.pins.push(Pin { number: o.id, until: o.until, class, keys });
                // Nothing is sent to a node that is out, pinned or not.
                standings.push((o.id, masks.map_or(OverrideStatus::InForce, OverrideStatus::Masked)));
            }
            Effect::Out => standings.push((o.id, OverrideStatus::InForce)),
            Effect::Weight(factor) => {
                // One that ends no later than what is above it never counts.
                if imposed.weights.iter().all(|(until, _)| *until < o.until) {
                    imposed.weights.push((o.until, *factor));
                }
                standings.push((o.id, upper.map_or(OverrideStatus::InForce, OverrideStatus::Masked)));
                upper = upper.or(Some(o.id));
            }
        }
    }
    (imposed, standings)
}
