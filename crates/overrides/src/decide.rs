//! What overrides come to on one node.

use crate::{Effect, Nanos, Node, Override};

/// What is imposed on a node, in a form that whoever holds it can apply and let expire without asking again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Imposed {
    /// Out of service since and until, Unix time in nanoseconds; 0 and 0: it is not, or no longer.
    pub out: (Nanos, Nanos),
    /// Factors on its weight with their ends, the one that counts first; each counts once those before it have ended.
    pub weights: Vec<(Nanos, f64)>,
}

impl Imposed {
    /// Whether it is out of service at this time.
    pub fn is_out(&self, now: Nanos) -> bool {
        (self.out.0..self.out.1).contains(&now)
    }

    /// The factor on its weight at this time.
    pub fn factor(&self, now: Nanos) -> f64 {
        self.weights.iter().find(|(until, _)| *until > now).map_or(1.0, |(_, factor)| *factor)
    }

    /// When it last came back from so long an outage that its cache is cold; 0: never.
    pub fn returned(&self, now: Nanos, cold_after: Nanos) -> Nanos {
        let (since, until) = self.out;
        if until > 0 && until <= now && until.saturating_sub(since) >= cold_after {
            until
        } else {
            0
        }
    }

    /// When something ends next.
    pub fn next(&self, now: Nanos) -> Option<Nanos> {
        let ends = self.weights.iter().map(|(until, _)| *until);
        ends.chain([self.out.1]).filter(|until| *until > now).min()
    }

    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.out == (0, 0) && self.weights.is_empty()
    }
}

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
