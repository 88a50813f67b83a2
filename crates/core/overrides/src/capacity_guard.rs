//! Whether the rest can carry the load.

use crate::{effective_overrides, Nanos, Node, Override, OverrideLimits};

/// A node and what it can do.
#[derive(Clone, Debug)]
pub struct FleetCapacity {
    /// Id, kind and zone.
    pub id: String,
    /// Its machine kind.
    pub kind: String,
    /// Its data centre.
    pub zone: String,
    /// Its weight as the list tells it.
    pub weight: f64,
    /// The list says that it takes work.
    pub ready: bool,
}

impl FleetCapacity {
    /// As overrides see it.
    pub fn node(&self) -> Node<'_> {
        Node { id: &self.id, kind: &self.kind, zone: &self.zone }
    }
}

/// The sum that a guard rail rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arithmetic {
    /// Weight of all nodes.
    pub whole: f64,
    /// Of it in service now.
    pub now: f64,
    /// Of it in service with the override.
    pub then: f64,
    /// That must stay.
    pub needed: f64,
}

impl std::fmt::Display for Arithmetic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Arithmetic { whole, now, then, needed } = self;
        let part = |w: f64| 100.0 * w / whole.max(f64::MIN_POSITIVE);
        write!(
            f,
            "all nodes weigh {whole:.2}, {now:.2} of it ({:.0}%) is in service; with this {then:.2} ({:.0}%) would be, \
             and {needed:.2} ({:.0}%) must stay",
            part(*now),
            part(*then),
            part(*needed)
        )
    }
}

fn in_service<'a>(
    overrides: impl Iterator<Item = &'a Override> + Clone,
    fleet: &[FleetCapacity],
    now: Nanos,
) -> f64 {
    let of = |node: &FleetCapacity| {
        let (imposed, _) = effective_overrides(overrides.clone(), &node.node(), now);
        // More than its weight a node cannot do.
        if node.ready && !imposed.is_out(now) {
            node.weight * imposed.factor(now).min(1.0)
        } else {
            0.0
        }
    };
    fleet.iter().map(of).sum()
}

/// The sum with `new` added; `Err` if too little would stay and it takes any away.
pub(crate) fn carries<'a>(
    live: impl Iterator<Item = &'a Override> + Clone,
    new: &'a Override,
    fleet: &[FleetCapacity],
    policy: &OverrideLimits,
    now: Nanos,
) -> Result<Arithmetic, Arithmetic> {
    let whole = fleet.iter().map(|n| n.weight).sum::<f64>();
    let arithmetic = Arithmetic {
        whole,
        now: in_service(live.clone(), fleet, now),
        then: in_service(live.chain(std::iter::once(new)), fleet, now),
        needed: whole * policy.stay,
    };
    if arithmetic.then < arithmetic.needed && arithmetic.then < arithmetic.now {
        Err(arithmetic)
    } else {
        Ok(arithmetic)
    }
}
