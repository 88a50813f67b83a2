//! The state machine of a rollout.
//!
//! [`Rollout::step`] takes the fleet and the verdict and makes one transition at most; the caller persists the result before any
//! member gets an assignment by it.

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

/// The time between steps further apart than this does not count towards the limit: there was no leader in between.
const MAX_STEP_GAP: Nanos = 5 * SECOND;

/// A rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its number, which is never reused.
    pub id: u64,
    /// The version in force before.
    pub from: Digest,
    /// The version to be put into force.
    pub to: Digest,
    /// The plan.
    pub plan: Plan,
    /// Who requested it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Start, in Unix time.
    pub began: Nanos,
    /// The phase.
    pub phase: Phase,
    /// Members assigned the new version, with when; during a rollback, those not yet assigned the old one again.
    pub moved: BTreeMap<String, Nanos>,
    /// During a rollback: when each member was assigned the old version again.
    pub returned: BTreeMap<String, Nanos>,
    /// How many members of the present stage were assigned the new version.
    pub in_stage: usize,
    /// For how long it has run under a leader.
    pub ran: Nanos,
    /// When the last step was made.
    pub stepped: Nanos,
}

/// The first few names, for operators.
fn first_names<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    names.take(5).map(str::to_owned).collect()
}

impl Rollout {
    /// A rollout that begins now.
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

    /// The version that a member is to apply.
    pub fn given(&self, name: &str) -> Digest {
        match self.phase {
            Phase::Done => self.to,
            Phase::GoneBack { .. } => self.from,
            _ if self.moved.contains_key(name) => self.to,
            _ => self.from,
        }
    }

    /// The index of the present stage.
    pub fn stage(&self) -> Option<usize> {
        match self.phase {
            Phase::Moving { stage } | Phase::Soaking { stage, .. } | Phase::Held { stage, .. } => Some(stage),
            _ => None,
        }
    }

    /// Continues under a new leader: the analysis is lost, so that a stage soaks anew, and a hold is timed anew.
    pub fn taken_over(&mut self, now: Nanos) {
        self.stepped = now;
        match &mut self.phase {
            Phase::Soaking { since, .. } | Phase::Held { since, .. } => *since = now,
            _ => {}
        }
        // An assignment sent by the former leader may have arrived only now.
        self.moved.values_mut().chain(self.returned.values_mut()).for_each(|assigned_at| *assigned_at = now);
    }

    /// Begins a rollback, unless the rollout has ended or is rolled back already.
    pub fn go_back(&mut self, why: RollbackReason) {
        if !self.phase.over() && self.phase.back().is_none() {
            self.phase = Phase::Back { why };
            self.returned.clear();
        }
    }

    /// Holds the rollout for an operator; returns false if there is nothing to hold.
    pub fn hold(&mut self, by: &str, now: Nanos) -> bool {
        let Some(stage) = self.stage() else { return false };
        self.phase = Phase::Held { stage, why: HoldReason::Operator { by: by.to_owned() }, since: now };
        true
    }

    /// Resumes a held rollout; returns false if it is not held. A problem that persists holds it again.
    pub fn resume(&mut self) -> bool {
        let Phase::Held { stage, .. } = self.phase else { return false };
        self.phase = Phase::Moving { stage };
        true
    }

    /// Members assigned the new version that do not apply it yet.
    fn in_transit<'s>(&self, seen: &'s [FleetView<'s>]) -> Vec<&'s FleetView<'s>> {
        seen.iter().filter(|s| self.moved.contains_key(s.name) && s.acting != self.to).collect()
    }

    /// Makes one transition at most; returns true if the result has to be persisted.
    pub fn step(&mut self, seen: &[FleetView<'_>], verdict: &Verdict, now: Nanos) -> bool {
        let elapsed = now.saturating_sub(self.stepped);
        self.stepped = now;
        if self.phase.over() {
            return false;
        }
        self.ran = self.ran.saturating_add(if elapsed <= MAX_STEP_GAP { elapsed } else { 0 });
        if self.phase.back().is_some() {
            return self.step_back(seen, now);
        }
        if let Some(why) = self.rollback_reason(seen, verdict, now) {
            self.go_back(why);
            return true;
        }
        // Danger: where a third of all reports are lost, some member is always late; a hold for each would never end. One that may be
        // on its way back is waited for as long as it may take to apply its assignment.
        let away =
            |s: &&FleetView<'_>| self.moved.contains_key(s.name) && s.standing != MemberStatus::Serving;
        let silent = seen.iter().filter(away).filter(|s| s.quiet > self.plan.confirm);
        let silent = first_names(silent.map(|s| s.name));
        let away = seen.iter().filter(away).count();
        match (self.phase.clone(), verdict) {
            (Phase::Moving { stage } | Phase::Soaking { stage, .. }, Verdict::Trouble(what)) => {
                self.enter_hold(stage, HoldReason::Trouble { what: what.clone() }, now)
            }
            (Phase::Moving { stage } | Phase::Soaking { stage, .. }, _) if !silent.is_empty() => {
                self.enter_hold(stage, HoldReason::Silent { names: silent }, now)
            }
            (Phase::Moving { stage }, _) => self.step_moving(stage, seen, now),
            (Phase::Soaking { stage, since }, Verdict::Passed) => {
                self.step_soaking(stage, since, away, seen, now)
            }
            (Phase::Held { stage, why, .. }, verdict) => {
                let is_over = match why {
                    HoldReason::Operator { .. } => false,
                    HoldReason::Trouble { .. } => !matches!(verdict, Verdict::Trouble(_)),
                    HoldReason::Silent { .. } => silent.is_empty(),
                    HoldReason::Nobody => self.candidates(stage, seen).next().is_some(),
                };
                if is_over {
                    self.phase = Phase::Moving { stage };
                }
                is_over
            }
            _ => false,
        }
    }

    /// Ends a stage whose soak time is over and that has enough members to judge by.
    fn step_soaking(
        &mut self,
        stage: usize,
        since: Nanos,
        away: usize,
        seen: &[FleetView<'_>],
        now: Nanos,
    ) -> bool {
        // The members that are compared have to be there: all of a few, nine in ten of many.
        let are_enough_there = away * 10 <= self.moved.len();
        let has_soaked = now.saturating_sub(since) >= self.plan.stage(stage).soak;
        let is_serving = |s: &&FleetView<'_>| s.standing == MemberStatus::Serving;
        if !has_soaked || !are_enough_there || self.in_transit(seen).iter().any(is_serving) {
            return false;
        }
        self.in_stage = 0;
        self.phase = if self.plan.last(stage) { Phase::Done } else { Phase::Moving { stage: stage + 1 } };
        true
    }

    fn enter_hold(&mut self, stage: usize, why: HoldReason, now: Nanos) -> bool {
        self.phase = Phase::Held { stage, why, since: now };
        true
    }

    /// Why the rollout has to be rolled back, if it has to.
    fn rollback_reason(
        &self,
        seen: &[FleetView<'_>],
        verdict: &Verdict,
        now: Nanos,
    ) -> Option<RollbackReason> {
        if let Verdict::Worse(finding) = verdict {
            return Some(RollbackReason::Worse(finding.clone()));
        }
        let assigned = || seen.iter().filter_map(|s| Some((s, *self.moved.get(s.name)?)));
        let refused =
            assigned().find_map(|(s, _)| Some((s.name, s.refused.filter(|(what, _)| *what == self.to)?.1)));
        if let Some((name, why)) = refused {
            return Some(RollbackReason::Refused { name: name.into(), why: why.into() });
        }
        let late = assigned().filter(|(s, at)| {
            // A member that was away meanwhile, or is a new process, needs its assignment again first.
            let due = now.saturating_sub((*at).max(s.since)) > self.plan.confirm;
            due && s.acting != self.to && s.standing == MemberStatus::Serving
        });
        let late = first_names(late.map(|(s, _)| s.name));
        if !late.is_empty() {
            return Some(RollbackReason::Unconfirmed { names: late });
        }
        if self.ran > self.plan.limit {
            return Some(RollbackReason::OverTime);
        }
        let waits = match (&self.phase, verdict) {
            (Phase::Held { why: HoldReason::Operator { .. }, .. }, _) => None,
            (Phase::Held { why, since, .. }, _) => Some((*since, self.plan.patience, why.to_string())),
            (Phase::Soaking { stage, since }, Verdict::Waiting(what)) => {
                Some((*since, self.plan.patience.saturating_add(self.plan.stage(*stage).soak), what.clone()))
            }
            _ => None,
        };
        let (_, _, what) = waits.filter(|(since, most, _)| now.saturating_sub(*since) > *most)?;
        Some(RollbackReason::Patience { what })
    }

    fn candidates<'s>(
        &self,
        stage: usize,
        seen: &'s [FleetView<'s>],
    ) -> impl Iterator<Item = &'s FleetView<'s>> + use<'s, '_> {
        let zone = self.plan.stage(stage).zone.clone();
        let here = move |s: &&FleetView<'_>| zone.as_deref().is_none_or(|zone| zone == s.zone);
        let left =
            |s: &&FleetView<'_>| s.standing == MemberStatus::Serving && !self.moved.contains_key(s.name);
        seen.iter().filter(here).filter(left)
    }

    fn step_moving(&mut self, stage: usize, seen: &[FleetView<'_>], now: Nanos) -> bool {
        let in_transit = self.in_transit(seen);
        let moved: BTreeSet<String> = self.moved.keys().cloned().collect();
        let remaining = scheduling::remaining(self.plan.stage(stage), seen, &moved, self.in_stage);
        let left = self.candidates(stage, seen).count();
        if in_transit.is_empty() && (remaining == 0 || left == 0) {
            // Danger: a stage without members that changed would be compared with nothing, and a stage of which half is away would pass
            // for complete. The last stage ends without absent members: they get the version in force when they return.
            let is_empty_or_incomplete = remaining > 0 && !self.plan.last(stage) || self.moved.is_empty();
            if is_empty_or_incomplete {
                return self.enter_hold(stage, HoldReason::Nobody, now);
            }
            self.phase = Phase::Soaking { stage, since: now };
            return true;
        }
        let mut next =
            scheduling::next(self.candidates(stage, seen), &in_transit, seen, self.plan.at_once, self.id);
        next.truncate(remaining);
        let newly_assigned = next.len();
        self.moved.extend(next.into_iter().map(|s| (s.name.to_owned(), now)));
        self.in_stage += newly_assigned;
        newly_assigned > 0
    }

    /// Rolls back: members with the new version are assigned the old one, a few at a time and of one data centre.
    fn step_back(&mut self, seen: &[FleetView<'_>], now: Nanos) -> bool {
        let Some(why) = self.phase.back().cloned() else { return false };
        let serves = |s: &&FleetView<'_>| s.standing == MemberStatus::Serving;
        let back = |s: &&FleetView<'_>| !self.moved.contains_key(s.name) && s.acting == self.to;
        let in_transit: Vec<&FleetView<'_>> = seen.iter().filter(serves).filter(back).collect();
        let candidates = seen.iter().filter(serves).filter(|s| self.moved.contains_key(s.name));
        let next = scheduling::next(candidates, &in_transit, seen, self.plan.back_at_once, self.id);
        if !next.is_empty() {
            for one in next {
                self.moved.remove(one.name);
                self.returned.insert(one.name.to_owned(), now);
            }
            return true;
        }
        // Danger: a leader that has only just taken over has received no reports, and would find the whole fleet away.
        let unheard = |s: &FleetView<'_>| s.standing == MemberStatus::Unheard && s.acting == self.to;
        if seen.iter().any(|s| unheard(s) && now.saturating_sub(s.since) <= self.plan.confirm) {
            return false;
        }
        // No reachable member is left to be assigned the old version: an absent one gets it when it returns.
        let away = in_transit.is_empty() && !self.moved.is_empty();
        if away {
            let moved = std::mem::take(&mut self.moved);
            self.returned.extend(moved.into_keys().map(|name| (name, now)));
            return true;
        }
        if in_transit.is_empty() {
            self.phase = Phase::GoneBack { why };
            return true;
        }
        let late = in_transit.iter().filter(|s| {
            let assigned_at = self.returned.get(s.name).copied().unwrap_or(self.began);
            now.saturating_sub(assigned_at.max(s.since)) > self.plan.confirm
        });
        let names = first_names(late.map(|s| s.name));
        let phase = if names.is_empty() { Phase::Back { why } } else { Phase::Stuck { why, names } };
        let changed = phase != self.phase;
        self.phase = phase;
        changed
    }
}
