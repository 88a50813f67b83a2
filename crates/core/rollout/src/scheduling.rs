//! The order in which a stage moves its members: one data centre at a time, and never all members of it at once.

use crate::fleet_view::FleetView;
use crate::plan::{Stage, StageSelector};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// A pseudo-random rank, so that different rollouts do not all start with the same members.
fn rank(name: &str, seed: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0x7374_6167_6573);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// How many more members a stage has to move. `moved`: all members moved so far; `in_stage`: how many of them this stage has moved.
pub fn remaining(stage: &Stage, fleet: &[FleetView<'_>], moved: &BTreeSet<String>, in_stage: usize) -> usize {
    let in_zone = |s: &&FleetView<'_>| stage.zone.as_deref().is_none_or(|zone| zone == s.zone);
    let all = fleet.iter().filter(in_zone).count();
    let already_moved = fleet.iter().filter(in_zone).filter(|s| moved.contains(s.name)).count();
    match stage.selector {
        StageSelector::Count(n) => n.saturating_sub(in_stage).min(all - already_moved),
        StageSelector::Share(share) => ((all as f64 * share).ceil() as usize).saturating_sub(already_moved),
        StageSelector::All => all - already_moved,
    }
}

/// The next members to be assigned, such that at most `max_in_transit` are in transit, all of one data centre, and never all members of
/// a data centre with more than one.
pub fn next<'s>(
    candidates: impl Iterator<Item = &'s FleetView<'s>>,
    in_transit: &[&FleetView<'_>],
    fleet: &[FleetView<'_>],
    max_in_transit: usize,
    seed: u64,
) -> Vec<&'s FleetView<'s>> {
    let mut zones: BTreeMap<&str, Vec<&FleetView<'_>>> = BTreeMap::new();
    for member in candidates {
        zones.entry(member.zone).or_default().push(member);
    }
    // Continues in the data centre with members in transit; otherwise takes the one with the most candidates, so that all data centres
    // finish at about the same time.
    let zone_in_transit = in_transit.first().map(|s| s.zone);
    let zone = zone_in_transit.or_else(|| {
        zones
            .iter()
            .max_by_key(|(zone, zone_candidates)| (zone_candidates.len(), rank(zone, seed)))
            .map(|(z, _)| *z)
    });
    let Some(zone) = zone else { return Vec::new() };
    // Danger: with members of two data centres in transit at once, one data centre may be the only one left to serve the other's
    // clients.
    if in_transit.iter().any(|s| s.zone != zone) {
        return Vec::new();
    }
    let size = fleet.iter().filter(|s| s.zone == zone).count();
    let limit = max_in_transit.min(size.saturating_sub(1).max(1));
    let mut zone_candidates = zones.remove(zone).unwrap_or_default();
    zone_candidates.sort_by_key(|s| rank(s.name, seed));
    zone_candidates.truncate(limit.saturating_sub(in_transit.len()));
    zone_candidates
}
