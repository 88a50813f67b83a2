//! What overrides come to on one node.

use crate::{Effect, Nanos, Node, Override};
use rushquay_nodes::Imposed;

/// How an override stands on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It counts.
    InForce,
    /// Another counts, of this number; it takes effect when that one ends.
    Masked(u64),
}

/// What the overrides that are in force at this time come to on a node, and how each that is on it stands, by number.
pub fn decide<'a>(
    overrides: impl Iterator<Item = &'a Override>,
    node: &Node<'_>,
    now: Nanos,
) -> (Imposed, Vec<(u64, Standing)>) {
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
        match o.effect {
            Effect::Out => standings.push((o.id, Standing::InForce)),
            Effect::Weight(factor) => {
                // One that ends no later than what is above it never counts.
                if imposed.weights.iter().all(|(until, _)| *until < o.until) {
                    imposed.weights.push((o.until, factor));
                }
                standings.push((o.id, upper.map_or(Standing::InForce, Standing::Masked)));
                upper = upper.or(Some(o.id));
            }
        }
    }
    (imposed, standings)
}
