//! How much of the load each priority takes.
//!
//! Source: Envoy's documentation, "Priority levels", "Degraded endpoints" and "Panic threshold". All is whole percent, as
//! there: shares that Envoy rounds are rounded here in the same way.

/// What is known of a priority's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// How many there are.
    pub hosts: u64,
    /// How many may be sent to in a panic: all that don't drain.
    pub open: u64,
    /// How many are healthy.
    pub healthy: u64,
    /// How many are degraded.
    pub degraded: u64,
    /// Percent of what it should be able to take that its healthy ones can, from 0 to 100.
    pub availability: u32,
    /// The same for its degraded ones.
    pub degraded_availability: u32,
}

/// What a priority takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Percent of all requests that go to its healthy endpoints.
    pub healthy: u32,
    /// Percent that go to its degraded ones.
    pub degraded: u32,
    /// Its health is not believed: what it takes goes to all that don't drain.
    pub panic: bool,
}

/// min(100, overprovisioning x part / whole), in whole percent.
pub fn availability(overprovisioning: u32, part: u64, whole: u64) -> u32 {
    match whole {
        0 => 0,
        whole => (u128::from(overprovisioning) * u128::from(part) / u128::from(whole)).min(100) as u32,
    }
}

/// Below this percentage of endpoints that are healthy or degraded a priority panics, unless told otherwise.
pub const PANIC: f64 = 50.0;

/// The loads of all priorities, the highest first; they add up to 100, or to 0 where there is nothing to send to.
/// `panic` is `healthy_panic_threshold` in percent.
pub fn loads(levels: &[Level], panic: f64) -> Vec<Load> {
    let mut loads = vec![Load::default(); levels.len()];
    if levels.iter().all(|l| l.open == 0) {
        return loads;
    }
    let sum: u32 = levels.iter().map(|l| l.availability + l.degraded_availability).sum();
    // "Normalized total availability."
    let total = sum.min(100);
    if total > 0 {
        let mut left = 100;
        let mut share = |available: u32| {
            let taken = (available * 100 / total).min(left);
            left -= taken;
            taken
        };
        // "Degraded endpoints": healthy ones of all priorities come first.
        for (load, level) in loads.iter_mut().zip(levels) {
            load.healthy = share(level.availability);
        }
        for (load, level) in loads.iter_mut().zip(levels) {
            load.degraded = share(level.degraded_availability);
        }
        // What rounding leaves goes to the first that can take it.
        if let Some(first) = levels.iter().position(|l| l.availability > 0) {
            loads[first].healthy += left;
        } else if let Some(first) = levels.iter().position(|l| l.degraded_availability > 0) {
            loads[first].degraded += left;
        }
    }
    // "Panic threshold": where all of the load can be taken no priority panics.
    if total == 100 {
        return loads;
    }
    // Without panic the first takes all where no priority can take a whole percent: a few that are healthy among very many
    // are still sent to.
    if total == 0 && panic == 0.0 {
        loads[0].healthy = 100;
        return loads;
    }
    for (load, level) in loads.iter_mut().zip(levels) {
        let percent = match level.hosts {
            0 => 0.0,
            hosts => 100.0 * (level.healthy + level.degraded) as f64 / hosts as f64,
        };
        load.panic = percent < panic;
    }
    if loads.iter().all(|l| l.panic) {
        // All panic: the load follows the numbers of endpoints.
        let open: u64 = levels.iter().map(|l| l.open).sum();
        let mut left = 100;
        for (load, level) in loads.iter_mut().zip(levels) {
            let taken = (100 * level.open / open) as u32;
            (load.healthy, load.degraded) = (taken, 0);
            left -= taken;
        }
        if let Some(first) = levels.iter().position(|l| l.open > 0) {
            loads[first].healthy += left;
        }
    }
    loads
}
