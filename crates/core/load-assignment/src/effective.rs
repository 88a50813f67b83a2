//! The share of a cluster's load that each endpoint receives.
//!
//! Source: Envoy's documentation, "Priority levels", "Locality weighted load balancing" and "Degraded endpoints".

use crate::assignment::{Assignment, Endpoint, Health, Locality};
use crate::levels::{availability, loads, Level, Load, DEFAULT_PANIC_THRESHOLD_PERCENT};

/// Settings for how the endpoints of a cluster share its load (`common_lb_config`, `load_balancing_policy`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sharing {
    /// `healthy_panic_threshold` in percent.
    pub panic: f64,
    /// Whether the load of a panicking priority is rejected (`fail_traffic_on_panic`).
    pub fail_on_panic: bool,
    /// Whether locality weights apply (`locality_weighted_lb_config`).
    pub by_locality: bool,
}

impl Default for Sharing {
    fn default() -> Self {
        Sharing { panic: DEFAULT_PANIC_THRESHOLD_PERCENT, fail_on_panic: false, by_locality: false }
    }
}

/// The effective distribution of a cluster's load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effective {
    /// State and load of each priority, the highest first.
    pub levels: Vec<(Level, Load)>,
    /// For each endpoint in the order of [`Assignment::endpoints`]: its share of the load. The sum is 1, or 0 if no
    /// endpoint is eligible.
    pub shares: Vec<f64>,
    /// The fraction of all requests to reject: the load of panicking priorities under `fail_on_panic`.
    pub rejected: f64,
}

/// Returns the health of an endpoint; in a stale assignment, available endpoints count as unhealthy.
fn effective_health(endpoint: &Endpoint, stale: bool) -> Health {
    match endpoint.health {
        Health::Healthy | Health::Degraded if stale => Health::Unhealthy,
        declared => declared,
    }
}

/// Returns the state of each priority. A gap in the priority numbers is a priority without endpoints.
pub fn levels(assignment: &Assignment, stale: bool) -> Vec<Level> {
    let lowest = assignment.localities().iter().map(|locality| locality.priority).max();
    let mut levels = vec![Level::default(); lowest.map_or(0, |priority| usize::from(priority) + 1)];
    let rules = assignment.rules();
    // For each priority, the sums over all, healthy and degraded endpoints: of weights with `weighted_health`, otherwise
    // of counts.
    let mut sums = vec![[0u64; 3]; levels.len()];
    for (locality, endpoint) in assignment.endpoints() {
        let priority = usize::from(locality.priority);
        let (level, sum) = (&mut levels[priority], &mut sums[priority]);
        let amount = if rules.weighted_health { u64::from(endpoint.weight.get()) } else { 1 };
        level.hosts += 1;
        sum[0] += amount;
        match effective_health(endpoint, stale) {
            Health::Healthy => {
                level.healthy += 1;
                sum[1] += amount;
            }
            Health::Degraded => {
                level.degraded += 1;
                sum[2] += amount;
            }
            Health::Unhealthy | Health::Draining => {}
        }
        level.open += u64::from(endpoint.health != Health::Draining);
    }
    for (level, [all, healthy, degraded]) in levels.iter_mut().zip(sums) {
        level.availability = availability(rules.overprovisioning, healthy, all);
        level.degraded_availability = availability(rules.overprovisioning, degraded, all);
    }
    levels
}

/// Computes the distribution of the load. `stale`: the assignment is older than `endpoint_stale_after`.
pub fn effective(assignment: &Assignment, sharing: &Sharing, stale: bool) -> Effective {
    let levels = levels(assignment, stale);
    let loads = loads(&levels, sharing.panic);
    let mut parts = vec![0.0; assignment.endpoints().count()];
    let overprovisioning = f64::from(assignment.rules().overprovisioning) / 100.0;
    let by_priority = localities_by_priority(assignment, levels.len());
    let mut refused = 0.0;
    for (localities, load) in by_priority.iter().zip(&loads) {
        if load.panic {
            if sharing.fail_on_panic {
                refused += f64::from(load.healthy + load.degraded) / 100.0;
            } else {
                let is_open = |endpoint: &Endpoint| endpoint.health != Health::Draining;
                spread(localities, load.healthy + load.degraded, None, is_open, &mut parts);
            }
            continue;
        }
        let factor = sharing.by_locality.then_some(overprovisioning);
        let has_health = |health| move |endpoint: &Endpoint| effective_health(endpoint, stale) == health;
        spread(localities, load.healthy, factor, has_health(Health::Healthy), &mut parts);
        spread(localities, load.degraded, factor, has_health(Health::Degraded), &mut parts);
    }
    // Normalize over the eligible endpoints: the load of a priority whose endpoints are all draining goes to the others.
    let sum: f64 = parts.iter().sum();
    if sum > 0.0 {
        parts.iter_mut().for_each(|part| *part /= sum);
    }
    Effective { levels: levels.into_iter().zip(loads).collect(), shares: parts, rejected: refused }
}

/// A locality with the index of its first endpoint in the order of [`Assignment::endpoints`].
type IndexedLocality<'a> = (&'a Locality, usize);

/// Groups the localities by priority.
fn localities_by_priority(assignment: &Assignment, priorities: usize) -> Vec<Vec<IndexedLocality<'_>>> {
    let mut by_priority = vec![Vec::new(); priorities];
    let mut first_endpoint = 0;
    for locality in assignment.localities() {
        by_priority[usize::from(locality.priority)].push((locality, first_endpoint));
        first_endpoint += locality.endpoints.len();
    }
    by_priority
}

/// Spreads a load over the eligible endpoints: by locality first if `overprovisioning` is given, then by weight.
fn spread(
    localities: &[IndexedLocality<'_>],
    load_percent: u32,
    overprovisioning: Option<f64>,
    is_eligible: impl Fn(&Endpoint) -> bool,
    parts: &mut [f64],
) {
    if load_percent == 0 {
        return;
    }
    let load = f64::from(load_percent) / 100.0;
    let Some(unit_shares) = unit_shares(localities, overprovisioning, &is_eligible) else { return };
    for ((locality, first_endpoint), unit_share) in localities.iter().zip(unit_shares) {
        let endpoints = locality.endpoints.iter().enumerate();
        for (index, endpoint) in endpoints.filter(|(_, endpoint)| is_eligible(endpoint)) {
            parts[first_endpoint + index] += load * unit_share * f64::from(endpoint.weight.get());
        }
    }
}

/// Returns for each locality the share of the load per unit of endpoint weight, or `None` if no endpoint is eligible.
fn unit_shares(
    localities: &[IndexedLocality<'_>],
    overprovisioning: Option<f64>,
    is_eligible: &impl Fn(&Endpoint) -> bool,
) -> Option<Vec<f64>> {
    let eligible = |locality: &Locality| locality.endpoints.iter().filter(|e| is_eligible(e)).count();
    let weight_sum = |locality: &Locality| -> f64 {
        let endpoints = locality.endpoints.iter().filter(|e| is_eligible(e));
        endpoints.map(|endpoint| f64::from(endpoint.weight.get())).sum()
    };
    // "Locality weighted load balancing": weight x min(1, 1.4 x the available fraction).
    let effective_weight = |locality: &Locality, factor: f64| {
        let (eligible, all) = (eligible(locality), locality.endpoints.len());
        match locality.weight {
            Some(weight) if eligible > 0 => {
                f64::from(weight.get()) * (factor * eligible as f64 / all as f64).min(1.0)
            }
            _ => 0.0,
        }
    };
    let locality_weights: Vec<f64> = match overprovisioning {
        Some(factor) => localities.iter().map(|(locality, _)| effective_weight(locality, factor)).collect(),
        None => Vec::new(),
    };
    let total_weight: f64 = locality_weights.iter().sum();
    if total_weight > 0.0 {
        let weighted = localities.iter().zip(&locality_weights);
        let share = |((locality, _), weight): (&IndexedLocality<'_>, &f64)| {
            weight / total_weight / weight_sum(locality).max(1.0)
        };
        return Some(weighted.map(share).collect());
    }
    // If no locality has a weight, the endpoints share the load as if they were in one locality.
    let all: f64 = localities.iter().map(|(locality, _)| weight_sum(locality)).sum();
    (all != 0.0).then(|| vec![1.0 / all; localities.len()])
}
