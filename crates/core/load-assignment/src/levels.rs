//! The load of each priority level.
//!
//! Source: Envoy's documentation, "Priority levels", "Degraded endpoints" and "Panic threshold". All loads are whole
//! percentages, rounded at the same places as in Envoy.

/// Endpoint counts and availability of a priority level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// Number of endpoints.
    pub hosts: u64,
    /// Number of endpoints eligible in panic mode: all that are not draining.
    pub open: u64,
    /// Number of healthy endpoints.
    pub healthy: u64,
    /// Number of degraded endpoints.
    pub degraded: u64,
    /// Availability from healthy endpoints, in percent, from 0 to 100; includes the overprovisioning factor.
    pub availability: u32,
    /// Availability from degraded endpoints, in percent, from 0 to 100.
    pub degraded_availability: u32,
}

/// The load of a priority level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Percentage of all requests that go to its healthy endpoints.
    pub healthy: u32,
    /// Percentage of all requests that go to its degraded endpoints.
    pub degraded: u32,
    /// Panic mode: health is disregarded, and the load goes to all endpoints that are not draining.
    pub panic: bool,
}

/// Returns min(100, overprovisioning x part / whole) in whole percent, or 0 if `whole` is 0.
pub fn availability(overprovisioning: u32, part: u64, whole: u64) -> u32 {
    match whole {
        0 => 0,
        whole => (u128::from(overprovisioning) * u128::from(part) / u128::from(whole)).min(100) as u32,
    }
}

/// Default panic threshold: the percentage of available (healthy or degraded) endpoints below which a priority is in panic
/// mode.
pub const DEFAULT_PANIC_THRESHOLD_PERCENT: f64 = 50.0;

/// Returns the loads of all priorities, starting with the highest. The sum is 100, or 0 if there is no eligible endpoint.
/// `panic` is `healthy_panic_threshold` in percent.
pub fn loads(levels: &[Level], panic: f64) -> Vec<Load> {
    if levels.iter().all(|level| level.open == 0) {
        return vec![Load::default(); levels.len()];
    }
    let sum: u32 = levels.iter().map(|level| level.availability + level.degraded_availability).sum();
    // "Normalized total availability."
    let total = sum.min(100);
    let mut loads = loads_by_availability(levels, total);
    // "Panic threshold": if the available endpoints can carry the whole load, no priority panics.
    if total == 100 {
        return loads;
    }
    // With panic mode disabled, priority 0 receives the whole load if no priority reaches one percent. Otherwise a few
    // healthy endpoints among thousands would get no requests.
    if total == 0 && panic == 0.0 {
        loads[0].healthy = 100;
        return loads;
    }
    for (load, level) in loads.iter_mut().zip(levels) {
        let available_percent = match level.hosts {
            0 => 0.0,
            hosts => 100.0 * (level.healthy + level.degraded) as f64 / hosts as f64,
        };
        load.panic = available_percent < panic;
    }
    if loads.iter().all(|load| load.panic) {
        distribute_by_host_count(&mut loads, levels);
    }
    loads
}

/// Distributes the load in proportion to availability; `total` is the normalized total availability.
fn loads_by_availability(levels: &[Level], total: u32) -> Vec<Load> {
    let mut loads = vec![Load::default(); levels.len()];
    if total == 0 {
        return loads;
    }
    let mut unassigned = 100;
    let mut assign = |availability: u32| {
        let load = (availability * 100 / total).min(unassigned);
        unassigned -= load;
        load
    };
    // "Degraded endpoints": load is assigned to the healthy endpoints of all priorities first.
    for (load, level) in loads.iter_mut().zip(levels) {
        load.healthy = assign(level.availability);
    }
    for (load, level) in loads.iter_mut().zip(levels) {
        load.degraded = assign(level.degraded_availability);
    }
    // The rounding remainder goes to the first priority with any availability.
    if let Some(first) = levels.iter().position(|level| level.availability > 0) {
        loads[first].healthy += unassigned;
    } else if let Some(first) = levels.iter().position(|level| level.degraded_availability > 0) {
        loads[first].degraded += unassigned;
    }
    loads
}

/// Distributes the load in proportion to the numbers of eligible endpoints; used if all priorities panic.
fn distribute_by_host_count(loads: &mut [Load], levels: &[Level]) {
    let open: u64 = levels.iter().map(|level| level.open).sum();
    let mut unassigned = 100;
    for (load, level) in loads.iter_mut().zip(levels) {
        let share = (100 * level.open / open) as u32;
        (load.healthy, load.degraded) = (share, 0);
        unassigned -= share;
    }
    if let Some(first) = levels.iter().position(|level| level.open > 0) {
        loads[first].healthy += unassigned;
    }
}
