//! The capacity guard: checks whether the endpoints that remain in service can carry the load.

use crate::{effective_overrides, Nanos, Node, Override, OverrideLimits};
use rushquay_endpoints::OverrideTime;

/// An endpoint and its capacity.
#[derive(Clone, Debug)]
pub struct FleetCapacity {
    /// Its id.
    pub id: String,
    /// Its machine kind.
    pub kind: String,
    /// Its data centre.
    pub zone: String,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Whether the endpoint list marks it as ready.
    pub ready: bool,
}

impl FleetCapacity {
    /// Returns the properties by which scopes select the endpoint.
    pub fn node(&self) -> Node<'_> {
        Node { id: &self.id, kind: &self.kind, zone: &self.zone }
    }
}

/// The capacity calculation behind a decision of the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityCalculation {
    /// Total weight of all endpoints.
    pub total_weight: f64,
    /// Weight in service now.
    pub weight_now: f64,
    /// Weight in service with the new override.
    pub weight_after: f64,
    /// Minimum weight that must stay in service.
    pub min_weight: f64,
}

impl std::fmt::Display for CapacityCalculation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let CapacityCalculation { total_weight, weight_now, weight_after, min_weight } = self;
        let percent = |weight: f64| 100.0 * weight / total_weight.max(f64::MIN_POSITIVE);
        write!(
            f,
            "the total weight of all nodes is {total_weight:.2}: {weight_now:.2} ({:.0}%) is in service now, \
             {weight_after:.2} ({:.0}%) would be with this override, and {min_weight:.2} ({:.0}%) must stay in service",
            percent(*weight_now),
            percent(*weight_after),
            percent(*min_weight)
        )
    }
}

/// Returns the weight in service under the overrides.
fn weight_in_service<'a>(
    overrides: impl Iterator<Item = &'a Override> + Clone,
    fleet: &[FleetCapacity],
    now: Nanos,
) -> f64 {
    let at = OverrideTime::from_unix_nanos(now);
    let node_weight_in_service = |node: &FleetCapacity| {
        let (imposed, _) = effective_overrides(overrides.clone(), &node.node(), now);
        // A factor above 1 does not add capacity.
        if node.ready && !imposed.is_out(at) {
            node.weight * imposed.factor(at).min(1.0)
        } else {
            0.0
        }
    };
    fleet.iter().map(node_weight_in_service).sum()
}

/// Calculates the capacity with `new` added. Returns the result as `Err` if too little weight would stay in service and `new`
/// reduces it.
pub(crate) fn check_capacity<'a>(
    live: impl Iterator<Item = &'a Override> + Clone,
    new: &'a Override,
    fleet: &[FleetCapacity],
    limits: &OverrideLimits,
    now: Nanos,
) -> Result<CapacityCalculation, CapacityCalculation> {
    let total_weight = fleet.iter().map(|n| n.weight).sum::<f64>();
    let calculation = CapacityCalculation {
        total_weight,
        weight_now: weight_in_service(live.clone(), fleet, now),
        weight_after: weight_in_service(live.chain(std::iter::once(new)), fleet, now),
        min_weight: total_weight * limits.min_weight_in_service,
    };
    if calculation.weight_after < calculation.min_weight && calculation.weight_after < calculation.weight_now
    {
        Err(calculation)
    } else {
        Ok(calculation)
    }
}
