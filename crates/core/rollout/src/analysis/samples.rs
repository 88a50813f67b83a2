//! Collects the statistics of the two cohorts in one interval from the reports of the serving members.

use super::Analysis;
use crate::cohorts::CohortStats;
use crate::fleet_baseline::RequestCount;
use crate::timeline::Sample;
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::{Member, MemberRecord, ProxyStats};
use std::collections::{BTreeMap, BTreeSet};

/// Last reports are retained for absent members too, until there are more than this number plus twice the number of serving members.
const MAX_RETAINED_REPORTS: usize = 1000;
/// Requests of a process are not compared for this long after its start.
const WARM_UP: Nanos = 10 * SECOND;

/// The statistics of the new and the old cohort in one interval, by data centre.
pub(super) type ZoneCohorts = BTreeMap<String, [CohortStats; 2]>;

/// Index of the cohort that was moved to the new version.
const NEW: usize = 0;
/// Index of the cohort that stays with the old version.
const OLD: usize = 1;

/// Determines which members belong to which cohort in one interval.
struct CohortSelector<'m, M> {
    /// Whether the member of this name was moved to the new version.
    is_moved: M,
    from: Digest,
    to: Digest,
    /// Data centres in which some members were moved.
    moved_zones: BTreeSet<&'m str>,
    /// Data centres in which some members do not apply the new version.
    old_zones: BTreeSet<&'m str>,
}

impl<'m, M: Fn(&str) -> bool> CohortSelector<'m, M> {
    fn new(serving: &[&'m Member], is_moved: M, (from, to): (Digest, Digest)) -> Self {
        let zones = |matches: &dyn Fn(&MemberRecord) -> bool| {
            let records = serving.iter().map(|member| &member.record);
            records.filter(|record| matches(record)).map(|record| record.zone.as_str()).collect()
        };
        let moved_zones = zones(&|record| is_moved(&record.name));
        let old_zones = zones(&|record| record.acting != to);
        CohortSelector { is_moved, from, to, moved_zones, old_zones }
    }

    /// The index of a member's cohort; `None`: the member is not compared.
    fn cohort(&self, record: &MemberRecord) -> Option<usize> {
        match ((self.is_moved)(&record.name), record.acting) {
            (true, acting) if acting == self.to => Some(NEW),
            (false, acting) if acting == self.from && self.moved_zones.contains(record.zone.as_str()) => {
                Some(OLD)
            }
            _ => None,
        }
    }

    /// Whether this member counts in the detection of fleet-wide problems. Danger: if members with the new version always counted, a
    /// defect of that version could look like a fleet-wide problem, and the rollout would be held instead of rolled back. So they count
    /// only in a data centre where no serving member applies another version.
    fn counts_for_fleet_problem(&self, record: &MemberRecord) -> bool {
        record.acting != self.to || self.to == self.from || !self.old_zones.contains(record.zone.as_str())
    }
}

/// The statistics collected in one interval.
#[derive(Default)]
struct Interval {
    zones: ZoneCohorts,
    /// Requests of the members by which fleet-wide problems are detected.
    judged: RequestCount,
    /// Requests of all members.
    whole_fleet: RequestCount,
}

impl Analysis {
    /// Adds the reports of all serving members for an interval of length `elapsed`. `versions` are the old and the new config version.
    /// Members for which `is_moved` is true and that apply the new version are the new cohort. Members for which it is false and that
    /// apply the old version are the old cohort, but only in data centres with moved members.
    pub fn observe_interval<'i>(
        &mut self,
        serving: impl Iterator<Item = &'i Member>,
        is_moved: impl Fn(&str) -> bool,
        versions: (Digest, Digest),
        elapsed: Nanos,
    ) {
        let serving: Vec<&Member> = serving.collect();
        let selector = CohortSelector::new(&serving, is_moved, versions);
        let mut interval = Interval::default();
        for member in &serving {
            self.collect_member(member, &selector, elapsed, &mut interval);
        }
        self.forget_absent(&serving);
        self.baseline.observe(interval.judged, interval.whole_fleet, self.is_baseline_frozen);
        self.last_samples = self.samples(&interval.zones);
        // Danger: a fleet-wide problem affects the two cohorts by chance, and must not count as evidence.
        if self.is_comparing && self.baseline.problem.is_none() {
            self.compare(&interval.zones);
        }
    }

    fn collect_member<M: Fn(&str) -> bool>(
        &mut self,
        member: &Member,
        selector: &CohortSelector<'_, M>,
        elapsed: Nanos,
        interval: &mut Interval,
    ) {
        let record = &member.record;
        let previous = self.last_reports.get(&record.name);
        let has_restarted = previous.is_some_and(|(boot, _)| *boot != record.boot);
        let stats = stats_since(previous, member);
        let is_moved = (selector.is_moved)(&record.name);
        // If the previous process did not apply the new version, this restart is the rollout's own replacement of the program.
        let is_planned_restart = self.replaces_program
            && is_moved
            && record.before.as_ref().is_some_and(|previous| previous.acting != selector.to);
        // Danger: a process that has just started knows no endpoints yet and refuses all requests, so a single machine that fails at the
        // wrong moment would roll back a good version. The restart itself is counted separately.
        if has_restarted {
            self.warming_up.insert(record.name.clone(), WARM_UP);
            if is_planned_restart {
                self.new_warming_up.insert(record.name.clone());
            }
        }
        let stats = self.without_warm_up(&record.name, stats, elapsed);
        // Refusals of a starting process must not count as a fleet-wide problem either: a version that fails right after the start would be
        // held until a problem ends that it causes itself.
        interval.whole_fleet.add_member(&stats);
        if selector.counts_for_fleet_problem(record) {
            interval.judged.add_member(&stats);
        }
        if !self.is_baseline_frozen {
            for (name, class) in &stats.classes {
                self.baseline_times.entry(name.clone()).or_default().add(class);
            }
        }
        if let Some(cohort) = selector.cohort(record) {
            let zone = interval.zones.entry(record.zone.clone()).or_default();
            zone[cohort].add_member(stats, has_restarted && !is_planned_restart, elapsed);
        } else if has_restarted && is_moved && !is_planned_restart {
            // The process ended while it applied the new version, and the next process has not received its assignment yet.
            interval.zones.entry(record.zone.clone()).or_default()[NEW].restarts += 1;
        }
        if member.figures.total() > 0 || member.figures.memory > 0 {
            self.last_reports.insert(record.name.clone(), (record.boot, member.figures.clone()));
        }
    }

    /// Removes requests and clock checks from the statistics while the process is warming up, and counts down its warm-up.
    fn without_warm_up(&mut self, name: &str, stats: ProxyStats, elapsed: Nanos) -> ProxyStats {
        match self.warming_up.get_mut(name) {
            Some(remaining) if *remaining > 0 => {
                *remaining = remaining.saturating_sub(elapsed);
                ProxyStats { classes: BTreeMap::new(), attempts: 0, beats: 0, late_beats: 0, ..stats }
            }
            _ => stats,
        }
    }

    /// Removes state of absent members and of processes that have warmed up.
    fn forget_absent(&mut self, serving: &[&Member]) {
        let names: BTreeSet<&str> = serving.iter().map(|member| member.record.name.as_str()).collect();
        // Danger: if the reports of absent members were dropped at once, a member that is absent between two processes would return as
        // unknown, and its restart would not be counted. The number of retained reports is bounded, though.
        if self.last_reports.len() > 2 * names.len() + MAX_RETAINED_REPORTS {
            self.last_reports.retain(|name, _| names.contains(name.as_str()));
        }
        self.warming_up.retain(|_, remaining| *remaining > 0);
        self.new_warming_up.retain(|name| self.warming_up.contains_key(name));
    }

    /// Requests of the new and the old cohort in the last interval, by class, in the data centres that the rollout has reached.
    pub fn last_interval(&self) -> &BTreeMap<String, [Sample; 2]> {
        &self.last_samples
    }

    /// Sums the requests of each class and cohort over the data centres.
    fn samples(&self, zones: &ZoneCohorts) -> BTreeMap<String, [Sample; 2]> {
        let mut samples: BTreeMap<String, [Sample; 2]> = BTreeMap::new();
        for (index, cohort) in zones.values().flat_map(|cohorts| cohorts.iter().enumerate()) {
            for (class, members) in &cohort.classes {
                let sample = &mut samples.entry(class.clone()).or_default()[index];
                for stats in members {
                    sample.all += stats.total();
                    sample.bad += stats.refused + stats.failed + stats.late;
                    sample.slow +=
                        self.slow_buckets.get(class).map_or(0, |[_, tenth]| stats.count_slower_than(*tenth));
                }
            }
        }
        samples
    }
}

/// A member's statistics since its previous report.
fn stats_since(previous: Option<&(u64, ProxyStats)>, member: &Member) -> ProxyStats {
    match previous {
        Some((boot, before)) if *boot == member.record.boot => member.figures.since(before),
        // The first report: the process's counters also cover the time before this interval.
        None => ProxyStats {
            memory: member.figures.memory,
            descriptors: member.figures.descriptors,
            ..ProxyStats::default()
        },
        Some(_) => member.figures.clone(),
    }
}
