//! Collection of what the two cohorts did in one interval, from the reports of the serving members.

use super::Analysis;
use crate::cohorts::CohortStats;
use crate::fleet_baseline::RequestCount;
use crate::timeline::Sample;
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::{Member, MemberRecord, ProxyStats};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of absent members whose last report is retained, on top of as many as there are serving members.
const MAX_RETAINED_REPORTS: usize = 1000;
/// What a process does in this time after its start is not compared.
const WARM_UP: Nanos = 10 * SECOND;

/// What both cohorts did in one interval, the new one first, by data centre.
pub(super) type ZoneCohorts = BTreeMap<String, [CohortStats; 2]>;

/// Index of the cohort that was moved to the new version.
const NEW: usize = 0;
/// Index of the cohort that stays with the old version.
const OLD: usize = 1;

/// Which members belong to which cohort in one interval.
struct Assignment<'m, M> {
    is_moved: M,
    from: Digest,
    to: Digest,
    /// Data centres in which some members were moved.
    moved_zones: BTreeSet<&'m str>,
    /// Data centres in which some members do not apply the new version.
    old_zones: BTreeSet<&'m str>,
}

impl<'m, M: Fn(&str) -> bool> Assignment<'m, M> {
    fn new(serving: &[&'m Member], is_moved: M, (from, to): (Digest, Digest)) -> Self {
        let zones = |belongs: &dyn Fn(&MemberRecord) -> bool| {
            let records = serving.iter().map(|member| &member.told);
            records.filter(|record| belongs(record)).map(|record| record.zone.as_str()).collect()
        };
        let moved_zones = zones(&|record| is_moved(&record.name));
        let old_zones = zones(&|record| record.acting != to);
        Assignment { is_moved, from, to, moved_zones, old_zones }
    }

    /// The index of a member's cohort; `None`: it is not compared.
    fn cohort(&self, record: &MemberRecord) -> Option<usize> {
        match ((self.is_moved)(&record.name), record.acting) {
            (true, acting) if acting == self.to => Some(NEW),
            (false, acting) if acting == self.from && self.moved_zones.contains(record.zone.as_str()) => {
                Some(OLD)
            }
            _ => None,
        }
    }

    /// Whether a fleet-wide problem is judged by this member. Danger: what the new cohort alone does badly would pass for a fleet-wide
    /// problem, and hold the rollout that should be rolled back. Where old members of the same data centre are left, they show it; where
    /// none is, the new members are all there is.
    fn shows_fleet_trouble(&self, record: &MemberRecord) -> bool {
        record.acting != self.to || self.to == self.from || !self.old_zones.contains(record.zone.as_str())
    }
}

/// What was collected in one interval.
#[derive(Default)]
struct Interval {
    zones: ZoneCohorts,
    /// Requests of the members by which a fleet-wide problem is judged.
    shown: RequestCount,
    /// Requests of all members.
    whole: RequestCount,
}

impl Analysis {
    /// Takes in the reports of all serving members for an interval of length `span`. A member that `is_moved` and applies `to` is new,
    /// one that is not and applies `from` is old. Old members count only in data centres that have moved ones.
    pub fn look<'i>(
        &mut self,
        serving: impl Iterator<Item = &'i Member>,
        is_moved: impl Fn(&str) -> bool,
        versions: (Digest, Digest),
        span: Nanos,
    ) {
        let serving: Vec<&Member> = serving.collect();
        let assignment = Assignment::new(&serving, is_moved, versions);
        let mut interval = Interval::default();
        for member in &serving {
            self.take_member(member, &assignment, span, &mut interval);
        }
        self.forget_absent(&serving);
        self.baseline.observe(interval.shown, interval.whole, self.is_baseline_frozen);
        self.last_samples = self.samples(&interval.zones);
        // Danger: a fleet-wide problem strikes the two cohorts by chance, which is no evidence for either.
        if self.is_comparing && self.baseline.trouble.is_none() {
            self.compare(&interval.zones);
        }
    }

    fn take_member<M: Fn(&str) -> bool>(
        &mut self,
        member: &Member,
        assignment: &Assignment<'_, M>,
        span: Nanos,
        interval: &mut Interval,
    ) {
        let record = &member.told;
        let previous = self.last_reports.get(&record.name);
        let has_restarted = previous.is_some_and(|(boot, _)| *boot != record.boot);
        let fresh = stats_since(previous, member);
        let is_moved = (assignment.is_moved)(&record.name);
        // The previous process did not apply the new version: this start is the rollout itself.
        let made_room = self.replaces_program
            && is_moved
            && record.before.as_ref().is_some_and(|previous| previous.acting != assignment.to);
        // Danger: a process that has only just started knows no endpoints yet and refuses all requests; one machine that fails at the
        // wrong moment would roll a good version back. The restart itself counts separately.
        if has_restarted {
            self.warming_up.insert(record.name.clone(), WARM_UP);
            if made_room {
                self.new_warming_up.insert(record.name.clone());
            }
        }
        let fresh = self.without_warm_up(&record.name, fresh, span);
        // Nor do refusals of a process that is starting count as a fleet-wide problem: held for that, a version that fails from its first
        // second on would wait for the end of a problem that is its own.
        interval.whole.add_member(&fresh);
        if assignment.shows_fleet_trouble(record) {
            interval.shown.add_member(&fresh);
        }
        if !self.is_baseline_frozen {
            for (name, class) in &fresh.classes {
                self.usual_times.entry(name.clone()).or_default().add(class);
            }
        }
        if let Some(cohort) = assignment.cohort(record) {
            let zone = interval.zones.entry(record.zone.clone()).or_default();
            zone[cohort].add_member(fresh, has_restarted && !made_room, span);
        } else if has_restarted && is_moved && !made_room {
            // The process ended while it applied the new version, and its successor has not received that again yet.
            interval.zones.entry(record.zone.clone()).or_default()[NEW].restarts += 1;
        }
        if member.figures.all() > 0 || member.figures.memory > 0 {
            self.last_reports.insert(record.name.clone(), (record.boot, member.figures.clone()));
        }
    }

    /// The statistics without requests and clock checks while the process is warming up; counts down its warm-up.
    fn without_warm_up(&mut self, name: &str, fresh: ProxyStats, span: Nanos) -> ProxyStats {
        match self.warming_up.get_mut(name) {
            Some(left) if *left > 0 => {
                *left = left.saturating_sub(span);
                ProxyStats { classes: BTreeMap::new(), attempts: 0, beats: 0, late_beats: 0, ..fresh }
            }
            _ => fresh,
        }
    }

    fn forget_absent(&mut self, serving: &[&Member]) {
        let names: BTreeSet<&str> = serving.iter().map(|member| member.told.name.as_str()).collect();
        // Danger: if the reports of absent members were dropped at once, a member that is just between two processes would come back
        // as one never seen, and its restart would not count. The number retained is bounded all the same.
        if self.last_reports.len() > 2 * names.len() + MAX_RETAINED_REPORTS {
            self.last_reports.retain(|name, _| names.contains(name.as_str()));
        }
        self.warming_up.retain(|_, left| *left > 0);
        self.new_warming_up.retain(|name| self.warming_up.contains_key(name));
    }

    /// What both cohorts did in the last interval, by class, in the data centres that the rollout has reached.
    pub fn last(&self) -> &BTreeMap<String, [Sample; 2]> {
        &self.last_samples
    }

    fn samples(&self, zones: &ZoneCohorts) -> BTreeMap<String, [Sample; 2]> {
        let mut samples: BTreeMap<String, [Sample; 2]> = BTreeMap::new();
        for (index, cohort) in zones.values().flat_map(|cohorts| cohorts.iter().enumerate()) {
            for (class, members) in &cohort.classes {
                let sample = &mut samples.entry(class.clone()).or_default()[index];
                for stats in members {
                    sample.all += stats.all();
                    sample.bad += stats.refused + stats.failed + stats.late;
                    sample.slow += self.slow_buckets.get(class).map_or(0, |[_, tenth]| stats.slower(*tenth));
                }
            }
        }
        samples
    }
}

/// What a member did since its previous report.
fn stats_since(previous: Option<&(u64, ProxyStats)>, member: &Member) -> ProxyStats {
    match previous {
        Some((boot, before)) if *boot == member.told.boot => member.figures.since(before),
        // Seen for the first time: its counters cover the time before this interval.
        None => ProxyStats {
            memory: member.figures.memory,
            descriptors: member.figures.descriptors,
            ..ProxyStats::default()
        },
        Some(_) => member.figures.clone(),
    }
}
