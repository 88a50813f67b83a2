//! Who is next: whom a stage still has to tell, in an order that leaves one data centre at a time and never all of it.

use crate::plan::{Stage, StageSelector};
use crate::state_machine::FleetView;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// A place in the order that has nothing to do with names: the first of each list is not always the first to be tried.
fn rank(name: &str, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0x7374_6167_6573);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// How many more a stage is to take.
pub fn wanted(stage: &Stage, seen: &[FleetView<'_>], moved: &BTreeSet<String>, in_stage: usize) -> usize {
    let here = |s: &&FleetView<'_>| stage.zone.as_deref().is_none_or(|zone| zone == s.zone);
    let all = seen.iter().filter(here).count();
    let done = seen.iter().filter(here).filter(|s| moved.contains(s.name)).count();
    match stage.pick {
        StageSelector::Count(n) => n.saturating_sub(in_stage).min(all - done),
        StageSelector::Share(share) => ((all as f64 * share).ceil() as usize).saturating_sub(done),
        StageSelector::All => all - done,
    }
}

/// The next to be told, so that no more than `at_once` are on their way, all of one data centre and never all of it.
pub fn next<'s>(
    candidates: impl Iterator<Item = &'s FleetView<'s>>,
    on_way: &[&FleetView<'_>],
    seen: &[FleetView<'_>],
    at_once: usize,
    salt: u64,
) -> Vec<&'s FleetView<'s>> {
    let mut zones: BTreeMap<&str, Vec<&FleetView<'_>>> = BTreeMap::new();
    for one in candidates {
        zones.entry(one.zone).or_default().push(one);
    }
    // The one where some are on their way, or else the one with the most left to do, so that data centres end alike.
    let busy = on_way.first().map(|s| s.zone);
    let zone = busy
        .or_else(|| zones.iter().max_by_key(|(zone, left)| (left.len(), rank(zone, salt))).map(|(z, _)| *z));
    let Some(zone) = zone else { return Vec::new() };
    // Danger: of two data centres that are on their way at once one may be all that serves the other's clients.
    if on_way.iter().any(|s| s.zone != zone) {
        return Vec::new();
    }
    let size = seen.iter().filter(|s| s.zone == zone).count();
    let most = at_once.min(size.saturating_sub(1).max(1));
    let mut left = zones.remove(zone).unwrap_or_default();
    left.sort_by_key(|s| rank(s.name, salt));
    left.truncate(most.saturating_sub(on_way.len()));
    left
}
