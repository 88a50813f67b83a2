//! The state machine of a rollout.
//!
//! [`Rollout::step`] makes at most one transition, depending on the state of the fleet and the verdict of the analysis. The caller must
//! persist the result before any member gets an assignment by it.

use crate::finding::Verdict;
use crate::fleet_view::FleetView;
use crate::phase::{HoldReason, Phase, RollbackReason};
use crate::plan::Plan;
use crate::scheduling;
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A longer time between two steps does not count towards the time limit: there was no leader in between.
const MAX_STEP_GAP: Nanos = 5 * SECOND;

/// A rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The number of the rollout, which is never reused.
    pub id: u64,
    /// The config version in force before.
    pub from: Digest,
    /// The config version to be put into force.
    pub to: Digest,
    /// The plan.
    pub plan: Plan,
    /// The operator who requested it.
    pub author: String,
    /// The reason for it.
    pub reason: String,
    /// Start of the rollout, in Unix time.
    pub began: Nanos,
    /// The phase.
    pub phase: Phase,
    /// Members that are assigned the new version, and since when. A rollback removes each when it is assigned the old version again.
    pub moved: BTreeMap<String, Nanos>,
    /// During a rollback: members that were assigned the old version again, and when.
    pub returned: BTreeMap<String, Nanos>,
    /// How many members the present stage has assigned the new version.
    pub in_stage: usize,
    /// How long the rollout has run, without the time in which there was no leader.
    pub ran: Nanos,
    /// Time of the last call of [`Rollout::step`].
    pub stepped: Nanos,
}

/// The first five names, which are enough for a message to operators.
fn first_names<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    names.take(5).map(str::to_owned).collect()
}

impl Rollout {
    /// A rollout that starts now, in its first stage.
    pub fn new(
        id: u64,
        (from, to): (Digest, Digest),
        plan: Plan,
        (author, reason): (String, String),
        now: Nanos,
    ) -> Self {
        Rollout {
            id,
            from,
            to,
            plan,
            author,
            reason,
            began: now,
            phase: Phase::Moving { stage: 0 },
            moved: BTreeMap::new(),
            returned: BTreeMap::new(),
            in_stage: 0,
            ran: 0,
            stepped: now,
        }
    }

    /// The config version that a member is to apply.
    pub fn assigned_version(&self, name: &str) -> Digest {
        match self.phase {
            Phase::Done => self.to,
            Phase::RolledBack { .. } => self.from,
            _ if self.moved.contains_key(name) => self.to,
            _ => self.from,
        }
    }

    /// The index of the present stage; `None` during a rollback and after the end.
    pub fn stage(&self) -> Option<usize> {
        match self.phase {
            Phase::Moving { stage } | Phase::Soaking { stage, .. } | Phase::Held { stage, .. } => Some(stage),
            _ => None,
        }
    }

    /// Continues under a new leader. The analysis of the former leader is lost, so the soak time of a stage starts again; so does the timeout
    /// of a hold.
    pub fn on_takeover(&mut self, now: Nanos) {
        self.stepped = now;
        match &mut self.phase {
            Phase::Soaking { since, .. } | Phase::Held { since, .. } => *since = now,
            _ => {}
        }
        // Members may have received the assignments of the former leader only now, so their confirm timeouts start again.
        self.moved.values_mut().chain(self.returned.values_mut()).for_each(|assigned_at| *assigned_at = now);
    }

    /// Begins a rollback, unless the rollout has ended or is already being rolled back.
    pub fn begin_rollback(&mut self, why: RollbackReason) {
        if !self.phase.has_ended() && self.phase.rollback_reason().is_none() {
            self.phase = Phase::RollingBack { why };
            self.returned.clear();
        }
    }

    /// Holds the rollout for an operator. Returns false if it has ended or is being rolled back.
    pub fn hold(&mut self, by: &str, now: Nanos) -> bool {
        let Some(stage) = self.stage() else { return false };
        self.phase = Phase::Held { stage, why: HoldReason::Operator { by: by.to_owned() }, since: now };
        true
    }

    /// Resumes a held rollout; returns false if it is not held. If the problem behind the hold persists, the next step holds it again.
    pub fn resume(&mut self) -> bool {
        let Phase::Held { stage, .. } = self.phase else { return false };
        self.phase = Phase::Moving { stage };
        true
    }

    /// Members that are assigned the new version and do not apply it yet.
    fn in_transit<'s>(&self, fleet: &'s [FleetView<'s>]) -> Vec<&'s FleetView<'s>> {
        fleet.iter().filter(|s| self.moved.contains_key(s.name) && s.applied_version != self.to).collect()
    }

    /// Makes at most one transition. Returns true if the rollout has changed and must be persisted.
    pub fn step(&mut self, fleet: &[FleetView<'_>], verdict: &Verdict, now: Nanos) -> bool {
        let elapsed = now.saturating_sub(self.stepped);
        self.stepped = now;
        if self.phase.has_ended() {
            return false;
        }
        self.ran = self.ran.saturating_add(if elapsed <= MAX_STEP_GAP { elapsed } else { 0 });
        if self.phase.rollback_reason().is_some() {
            return self.step_rollback(fleet, now);
        }
        if let Some(why) = self.find_rollback_reason(fleet, verdict, now) {
            self.begin_rollback(why);
            return true;
        }
        // Danger: if a third of all reports are lost, some member is always late, and a hold for each would never end. So an absent member
        // causes a hold only after the time that a member may take to apply its assignment.
        let is_absent =
            |s: &&FleetView<'_>| self.moved.contains_key(s.name) && s.status != MemberStatus::Serving;
        let silent =
            fleet.iter().filter(is_absent).filter(|s| s.since_last_report > self.plan.confirm_timeout);
        let silent = first_names(silent.map(|s| s.name));
        let absent = fleet.iter().filter(is_absent).count();
        match (self.phase.clone(), verdict) {
            (Phase::Moving { stage } | Phase::Soaking { stage, .. }, Verdict::FleetProblem(what)) => {
                self.enter_hold(stage, HoldReason::FleetProblem { what: what.clone() }, now)
            }
            (Phase::Moving { stage } | Phase::Soaking { stage, .. }, _) if !silent.is_empty() => {
                self.enter_hold(stage, HoldReason::Silent { names: silent }, now)
            }
            (Phase::Moving { stage }, _) => self.step_moving(stage, fleet, now),
            (Phase::Soaking { stage, since }, Verdict::Passed) => {
                self.step_soaking(stage, since, absent, fleet, now)
            }
            (Phase::Held { stage, why, .. }, verdict) => {
                let is_over = match why {
                    HoldReason::Operator { .. } => false,
                    HoldReason::FleetProblem { .. } => !matches!(verdict, Verdict::FleetProblem(_)),
                    HoldReason::Silent { .. } => silent.is_empty(),
                    HoldReason::NoCandidates => self.candidates(stage, fleet).next().is_some(),
                };
                if is_over {
                    self.phase = Phase::Moving { stage };
                }
                is_over
            }
            _ => false,
        }
    }

    /// Ends a stage whose soak time is over, provided that enough of its members are serving and none of those is in transit.
    fn step_soaking(
        &mut self,
        stage: usize,
        since: Nanos,
        absent: usize,
        fleet: &[FleetView<'_>],
        now: Nanos,
    ) -> bool {
        // At most a tenth of the moved members may be absent, and so none if there are fewer than ten.
        let are_enough_serving = absent * 10 <= self.moved.len();
        let has_soaked = now.saturating_sub(since) >= self.plan.stage(stage).soak;
        let is_serving = |s: &&FleetView<'_>| s.status == MemberStatus::Serving;
        if !has_soaked || !are_enough_serving || self.in_transit(fleet).iter().any(is_serving) {
            return false;
        }
        self.in_stage = 0;
        self.phase =
            if self.plan.is_last_stage(stage) { Phase::Done } else { Phase::Moving { stage: stage + 1 } };
        true
    }

    fn enter_hold(&mut self, stage: usize, why: HoldReason, now: Nanos) -> bool {
        self.phase = Phase::Held { stage, why, since: now };
        true
    }

    /// Checks whether the rollout has to be rolled back, and why.
    fn find_rollback_reason(
        &self,
        fleet: &[FleetView<'_>],
        verdict: &Verdict,
        now: Nanos,
    ) -> Option<RollbackReason> {
        if let Verdict::Worse(finding) = verdict {
            return Some(RollbackReason::Worse(finding.clone()));
        }
        let assigned = || fleet.iter().filter_map(|s| Some((s, *self.moved.get(s.name)?)));
        let refused =
            assigned().find_map(|(s, _)| Some((s.name, s.refused.filter(|(what, _)| *what == self.to)?.1)));
        if let Some((name, why)) = refused {
            return Some(RollbackReason::Refused { name: name.into(), why: why.into() });
        }
        let late = assigned().filter(|(s, at)| {
            // A member that was absent in between, or whose process is new, has to receive its assignment again first.
            let is_timed_out = now.saturating_sub((*at).max(s.since)) > self.plan.confirm_timeout;
            is_timed_out && s.applied_version != self.to && s.status == MemberStatus::Serving
        });
        let late = first_names(late.map(|(s, _)| s.name));
        if !late.is_empty() {
            return Some(RollbackReason::Unconfirmed { names: late });
        }
        if self.ran > self.plan.time_limit {
            return Some(RollbackReason::RolloutTimeout);
        }
        let wait = match (&self.phase, verdict) {
            (Phase::Held { why: HoldReason::Operator { .. }, .. }, _) => None,
            (Phase::Held { why, since, .. }, _) => Some((*since, self.plan.hold_timeout, why.to_string())),
            (Phase::Soaking { stage, since }, Verdict::Waiting(what)) => Some((
                *since,
                self.plan.hold_timeout.saturating_add(self.plan.stage(*stage).soak),
                what.clone(),
            )),
            _ => None,
        };
        let (_, _, what) = wait.filter(|(since, timeout, _)| now.saturating_sub(*since) > *timeout)?;
        Some(RollbackReason::HoldTimeout { what })
    }

    fn candidates<'s>(
        &self,
        stage: usize,
        fleet: &'s [FleetView<'s>],
    ) -> impl Iterator<Item = &'s FleetView<'s>> + use<'s, '_> {
        let zone = self.plan.stage(stage).zone.clone();
        let in_zone = move |s: &&FleetView<'_>| zone.as_deref().is_none_or(|zone| zone == s.zone);
        let is_candidate =
            |s: &&FleetView<'_>| s.status == MemberStatus::Serving && !self.moved.contains_key(s.name);
        fleet.iter().filter(in_zone).filter(is_candidate)
    }

    fn step_moving(&mut self, stage: usize, fleet: &[FleetView<'_>], now: Nanos) -> bool {
        let in_transit = self.in_transit(fleet);
        let moved: BTreeSet<String> = self.moved.keys().cloned().collect();
        let remaining = scheduling::remaining(self.plan.stage(stage), fleet, &moved, self.in_stage);
        let candidates = self.candidates(stage, fleet).count();
        if in_transit.is_empty() && (remaining == 0 || candidates == 0) {
            // Danger: if no member has moved, there is nothing to compare, and a stage with half of its members absent would count as
            // complete. The last stage may end without absent members: they get the version in force when they return.
            let is_empty_or_incomplete =
                remaining > 0 && !self.plan.is_last_stage(stage) || self.moved.is_empty();
            if is_empty_or_incomplete {
                return self.enter_hold(stage, HoldReason::NoCandidates, now);
            }
            self.phase = Phase::Soaking { stage, since: now };
            return true;
        }
        let mut next = scheduling::next(
            self.candidates(stage, fleet),
            &in_transit,
            fleet,
            self.plan.max_in_transit,
            self.id,
        );
        next.truncate(remaining);
        let newly_assigned = next.len();
        self.moved.extend(next.into_iter().map(|s| (s.name.to_owned(), now)));
        self.in_stage += newly_assigned;
        newly_assigned > 0
    }

    /// Advances a rollback: assigns the old version to members that have the new one, a few at a time, all of one data centre.
    fn step_rollback(&mut self, fleet: &[FleetView<'_>], now: Nanos) -> bool {
        let Some(why) = self.phase.rollback_reason().cloned() else { return false };
        let is_serving = |s: &&FleetView<'_>| s.status == MemberStatus::Serving;
        let is_returning =
            |s: &&FleetView<'_>| !self.moved.contains_key(s.name) && s.applied_version == self.to;
        let in_transit: Vec<&FleetView<'_>> = fleet.iter().filter(is_serving).filter(is_returning).collect();
        let candidates = fleet.iter().filter(is_serving).filter(|s| self.moved.contains_key(s.name));
        let next =
            scheduling::next(candidates, &in_transit, fleet, self.plan.max_in_transit_rollback, self.id);
        if !next.is_empty() {
            for member in next {
                self.moved.remove(member.name);
                self.returned.insert(member.name.to_owned(), now);
            }
            return true;
        }
        // Danger: a leader that has just taken over has received no reports yet, and without this wait would treat the whole fleet as
        // absent.
        let is_unheard =
            |s: &FleetView<'_>| s.status == MemberStatus::Unheard && s.applied_version == self.to;
        if fleet.iter().any(|s| is_unheard(s) && now.saturating_sub(s.since) <= self.plan.confirm_timeout) {
            return false;
        }
        // Only absent members are left with the new version. They are assigned the old one now and receive it when they return.
        let are_all_absent = in_transit.is_empty() && !self.moved.is_empty();
        if are_all_absent {
            let moved = std::mem::take(&mut self.moved);
            self.returned.extend(moved.into_keys().map(|name| (name, now)));
            return true;
        }
        if in_transit.is_empty() {
            self.phase = Phase::RolledBack { why };
            return true;
        }
        let late = in_transit.iter().filter(|s| {
            let assigned_at = self.returned.get(s.name).copied().unwrap_or(self.began);
            now.saturating_sub(assigned_at.max(s.since)) > self.plan.confirm_timeout
        });
        let names = first_names(late.map(|s| s.name));
        let phase = if names.is_empty() { Phase::RollingBack { why } } else { Phase::Stuck { why, names } };
        let changed = phase != self.phase;
        self.phase = phase;
        changed
    }
}
