//! The order in which a stage moves its members: one data centre at a time and never all of it at once.

use crate::fleet_view::FleetView;
use crate::plan::{Stage, StageSelector};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// A pseudo-random rank, so that the first of each list of names is not always the first to be tried.
fn rank(name: &str, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0x7374_6167_6573);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// How many more members a stage is to move.
pub fn remaining(stage: &Stage, seen: &[FleetView<'_>], moved: &BTreeSet<String>, in_stage: usize) -> usize {
    let here = |s: &&FleetView<'_>| stage.zone.as_deref().is_none_or(|zone| zone == s.zone);
    let all = seen.iter().filter(here).count();
    let done = seen.iter().filter(here).filter(|s| moved.contains(s.name)).count();
    match stage.pick {
        StageSelector::Count(n) => n.saturating_sub(in_stage).min(all - done),
        StageSelector::Share(share) => ((all as f64 * share).ceil() as usize).saturating_sub(done),
        StageSelector::All => all - done,
    }
}

/// The next members to be assigned, so that at most `at_once` are in transit, all of one data centre and never all of it.
pub fn next<'s>(
    candidates: impl Iterator<Item = &'s FleetView<'s>>,
    in_transit: &[&FleetView<'_>],
    seen: &[FleetView<'_>],
    at_once: usize,
    salt: u64,
) -> Vec<&'s FleetView<'s>> {
    let mut zones: BTreeMap<&str, Vec<&FleetView<'_>>> = BTreeMap::new();
    for one in candidates {
        zones.entry(one.zone).or_default().push(one);
    }
    // The data centre with members in transit, or else the one with the most left to do, so that all end about the same time.
    let zone_in_transit = in_transit.first().map(|s| s.zone);
    let zone = zone_in_transit
        .or_else(|| zones.iter().max_by_key(|(zone, left)| (left.len(), rank(zone, salt))).map(|(z, _)| *z));
    let Some(zone) = zone else { return Vec::new() };
    // Danger: of two data centres in transit at once, one may be all that serves the other's clients.
    if in_transit.iter().any(|s| s.zone != zone) {
        return Vec::new();
    }
    let size = seen.iter().filter(|s| s.zone == zone).count();
    let most = at_once.min(size.saturating_sub(1).max(1));
    let mut left = zones.remove(zone).unwrap_or_default();
    left.sort_by_key(|s| rank(s.name, salt));
    left.truncate(most.saturating_sub(in_transit.len()));
    left
}
