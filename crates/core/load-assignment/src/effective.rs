//! The part of a cluster's load that each endpoint takes.
//!
//! Source: Envoy's documentation, "Priority levels", "Locality weighted load balancing" and "Degraded endpoints".

use crate::assignment::{Assignment, Endpoint, Health, Locality};
use crate::levels::{availability, loads, Level, Load, PANIC};

/// How a cluster's endpoints share its load (`common_lb_config`, `load_balancing_policy`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sharing {
    /// `healthy_panic_threshold` in percent.
    pub panic: f64,
    /// A priority that panics takes nothing (`fail_traffic_on_panic`).
    pub fail_on_panic: bool,
    /// Locality weights count (`locality_weighted_lb_config`).
    pub by_locality: bool,
}

impl Default for Sharing {
    fn default() -> Self {
        Sharing { panic: PANIC, fail_on_panic: false, by_locality: false }
    }
}

/// Who takes what.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effective {
    /// By priority, the highest first.
    pub levels: Vec<(Level, Load)>,
    /// For each endpoint in the order of [`Assignment::endpoints`]: its part of the load. They add up to 1, or to 0 where
    /// nobody may be sent to.
    pub parts: Vec<f64>,
    /// The part of all requests that is to be refused, since it falls to a priority that panics and may not.
    pub refused: f64,
}

fn health(endpoint: &Endpoint, stale: bool) -> Health {
    match endpoint.health {
        Health::Healthy | Health::Degraded if stale => Health::Unhealthy,
        told => told,
    }
}

/// What is known of each priority; a gap between priorities is one without endpoints.
pub fn levels(assignment: &Assignment, stale: bool) -> Vec<Level> {
    let most = assignment.localities().iter().map(|l| l.priority).max();
    let mut levels = vec![Level::default(); most.map_or(0, |p| usize::from(p) + 1)];
    let rules = assignment.rules();
    // All, healthy, degraded: by number, or by weight.
    let mut sums = vec![[0u64; 3]; levels.len()];
    for (locality, endpoint) in assignment.endpoints() {
        let (level, sum) =
            (&mut levels[usize::from(locality.priority)], &mut sums[usize::from(locality.priority)]);
        let one = if rules.weighted_health { u64::from(endpoint.weight.get()) } else { 1 };
        level.hosts += 1;
        sum[0] += one;
        match health(endpoint, stale) {
            Health::Healthy => {
                level.healthy += 1;
                sum[1] += one;
            }
            Health::Degraded => {
                level.degraded += 1;
                sum[2] += one;
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

/// Calculates all parts. `stale`: the assignment is older than it may be.
pub fn effective(assignment: &Assignment, sharing: &Sharing, stale: bool) -> Effective {
    let levels = levels(assignment, stale);
    let loads = loads(&levels, sharing.panic);
    let mut parts = vec![0.0; assignment.endpoints().count()];
    let mut placed: Vec<Vec<(&Locality, usize)>> = vec![Vec::new(); levels.len()];
    let mut first = 0;
    for locality in assignment.localities() {
        placed[usize::from(locality.priority)].push((locality, first));
        first += locality.endpoints.len();
    }
    let factor = f64::from(assignment.rules().overprovisioning) / 100.0;
    let mut refused = 0.0;
    for (localities, load) in placed.iter().zip(&loads) {
        if load.panic {
            if sharing.fail_on_panic {
                refused += f64::from(load.healthy + load.degraded) / 100.0;
            } else {
                let open = |e: &Endpoint| e.health != Health::Draining;
                spread(localities, load.healthy + load.degraded, None, open, &mut parts);
            }
            continue;
        }
        let weights = sharing.by_locality.then_some(factor);
        spread(localities, load.healthy, weights, |e| health(e, stale) == Health::Healthy, &mut parts);
        spread(localities, load.degraded, weights, |e| health(e, stale) == Health::Degraded, &mut parts);
    }
    // Among those that may be sent to; what a priority of draining ones alone would take goes to the others.
    let sum: f64 = parts.iter().sum();
    if sum > 0.0 {
        parts.iter_mut().for_each(|p| *p /= sum);
    }
    Effective { levels: levels.into_iter().zip(loads).collect(), parts, refused }
}

/// Spreads a load over the endpoints that fit: by locality first where `factor` is given, then by weight.
fn spread(
    localities: &[(&Locality, usize)],
    load: u32,
    factor: Option<f64>,
    fits: impl Fn(&Endpoint) -> bool,
    parts: &mut [f64],
) {
    if load == 0 {
        return;
    }
    let load = f64::from(load) / 100.0;
    let fitting = |l: &Locality| l.endpoints.iter().filter(|e| fits(e)).count();
    let sum =
        |l: &Locality| l.endpoints.iter().filter(|e| fits(e)).map(|e| f64::from(e.weight.get())).sum::<f64>();
    // "Locality weighted load balancing": weight x min(1, 1.4 x the part that is available).
    let weight = |l: &Locality, factor: f64| {
        let (fit, all) = (fitting(l), l.endpoints.len());
        match l.weight {
            Some(weight) if fit > 0 => f64::from(weight.get()) * (factor * fit as f64 / all as f64).min(1.0),
            _ => 0.0,
        }
    };
    let by_locality: Vec<f64> = match factor {
        Some(factor) => localities.iter().map(|(l, _)| weight(l, factor)).collect(),
        None => Vec::new(),
    };
    let whole: f64 = by_locality.iter().sum();
    // Where no locality has a weight they all share as one.
    let inner: Vec<f64> = match whole > 0.0 {
        true => localities.iter().zip(&by_locality).map(|((l, _), w)| w / whole / sum(l).max(1.0)).collect(),
        false => {
            let all: f64 = localities.iter().map(|(l, _)| sum(l)).sum();
            if all == 0.0 {
                return;
            }
            vec![1.0 / all; localities.len()]
        }
    };
    for ((locality, first), each) in localities.iter().zip(inner) {
        for (i, endpoint) in locality.endpoints.iter().enumerate().filter(|(_, e)| fits(e)) {
            parts[first + i] += load * each * f64::from(endpoint.weight.get());
        }
    }
}
