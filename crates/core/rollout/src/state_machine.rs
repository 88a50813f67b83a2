//! A change and what may become of it. [`Change::step`] looks at the fleet and at the verdict and moves it by one step at the
//! most; whoever drives it keeps the result before anybody is told by it.

use crate::analysis::Finding;
use crate::plan::Plan;
use crate::scheduling;
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Steps further apart than this were not taken in one go: nobody led in between, and the time does not count.
const STEP_MOST: Nanos = 5 * SECOND;

/// An instance as the change sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub zone: &'a str,
    /// How it stands.
    pub standing: MemberStatus,
    /// What it acts by.
    pub acting: Digest,
    /// Since when it has been heard without a gap.
    pub since: Nanos,
    /// For how long nothing has been heard of it.
    pub quiet: Nanos,
    /// What it can't obey, and why.
    pub refused: Option<(Digest, &'a str)>,
}

/// What the evidence says of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Not enough to tell, and what is lacking.
    Waiting(String),
    /// The new are no worse, as far as was asked.
    Passed,
    /// The new are worse.
    Worse(Finding),
    /// Old and new alike, or the old alone, do worse than before the stage.
    Trouble(String),
}

/// Why a change is held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum HoldReason {
    /// An operator holds it.
    Operator {
        /// Who.
        by: String,
    },
    /// A trouble that the change is not blamed for.
    Trouble {
        /// Which.
        what: String,
    },
    /// Proxies that have changed are not heard: whether they do worse is not known.
    Silent {
        /// Some of their names.
        names: Vec<String>,
    },
    /// Nobody can be told: all that the stage has left are away.
    Nobody,
}

/// Why a change goes back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum RollbackReason {
    /// An operator says so.
    Operator {
        /// Who.
        by: String,
    },
    /// The new are worse.
    Worse(Finding),
    /// A proxy can't obey it.
    Refused {
        /// Which proxy.
        name: String,
        /// Why.
        why: String,
    },
    /// Proxies serve and don't act by it in time.
    Unconfirmed {
        /// Some of their names.
        names: Vec<String>,
    },
    /// A hold lasted for longer than its patience.
    Patience {
        /// What it waited for.
        what: String,
    },
    /// It took longer than it may.
    OverTime,
    /// Another change takes its place.
    Displaced {
        /// Its number.
        by: u64,
    },
}

/// Where a change stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum Phase {
    /// The proxies of a stage are told, a few at a time.
    Moving {
        /// Which stage, from 0.
        stage: usize,
    },
    /// Old and new are compared.
    Soaking {
        /// Which stage.
        stage: usize,
        /// Since when.
        since: Nanos,
    },
    /// Nothing goes on until what holds it is over.
    Held {
        /// Which stage.
        stage: usize,
        /// Why.
        why: HoldReason,
        /// Since when.
        since: Nanos,
    },
    /// Going back, a few at a time.
    Back {
        /// Why.
        why: RollbackReason,
    },
    /// Going back, and some that serve don't.
    Stuck {
        /// Why it goes back.
        why: RollbackReason,
        /// Which proxies stay.
        names: Vec<String>,
    },
    /// All that are heard act by the new; it is what holds from now on.
    Done,
    /// All that are heard act by the old again.
    GoneBack {
        /// Why.
        why: RollbackReason,
    },
}

impl Phase {
    /// The names of all.
    pub const NAMES: [&'static str; 7] = ["moving", "soaking", "held", "back", "stuck", "done", "gone-back"];

    /// Its name, as it is written.
    pub fn as_str(&self) -> &'static str {
        match self {
            Phase::Moving { .. } => "moving",
            Phase::Soaking { .. } => "soaking",
            Phase::Held { .. } => "held",
            Phase::Back { .. } => "back",
            Phase::Stuck { .. } => "stuck",
            Phase::Done => "done",
            Phase::GoneBack { .. } => "gone-back",
        }
    }

    /// Whether nothing more comes of it.
    pub fn over(&self) -> bool {
        matches!(self, Phase::Done | Phase::GoneBack { .. })
    }

    /// Whether it goes back, or has gone.
    pub fn back(&self) -> Option<&RollbackReason> {
        match self {
            Phase::Back { why } | Phase::Stuck { why, .. } | Phase::GoneBack { why } => Some(why),
            _ => None,
        }
    }
}

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its number, never used twice.
    pub id: u64,
    /// What held before.
    pub from: Digest,
    /// What is to hold.
    pub to: Digest,
    /// How.
    pub plan: Plan,
    /// Who asked for it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, Unix time.
    pub began: Nanos,
    /// Where it stands.
    pub phase: Phase,
    /// Who is to act by the new, and when each was told; once it goes back, those that are still to be told back.
    pub moved: BTreeMap<String, Nanos>,
    /// Once it goes back: when each was told so.
    pub returned: BTreeMap<String, Nanos>,
    /// How many of the present stage were told.
    pub in_stage: usize,
    /// For how long it has run under a leader.
    pub ran: Nanos,
    /// When the last step was taken.
    pub stepped: Nanos,
}

/// Some names, for people.
fn some<'a>(names: impl Iterator<Item = &'a str>) -> Vec<String> {
    names.take(5).map(str::to_owned).collect()
}

impl Rollout {
    /// A change that begins now.
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

    /// What an instance is to act by.
    pub fn given(&self, name: &str) -> Digest {
        match self.phase {
            Phase::Done => self.to,
            Phase::GoneBack { .. } => self.from,
            _ if self.moved.contains_key(name) => self.to,
            _ => self.from,
        }
    }

    /// The stage that it is in, from 0.
    pub fn stage(&self) -> Option<usize> {
        match self.phase {
            Phase::Moving { stage } | Phase::Soaking { stage, .. } | Phase::Held { stage, .. } => Some(stage),
            _ => None,
        }
    }

    /// Another instance leads from now on: what was measured is gone, so that a stage soaks anew, and a hold is counted anew.
    pub fn taken_over(&mut self, now: Nanos) {
        self.stepped = now;
        match &mut self.phase {
            Phase::Soaking { since, .. } | Phase::Held { since, .. } => *since = now,
            _ => {}
        }
        // Who was told by a leader that is gone may have heard it only now.
        self.moved.values_mut().chain(self.returned.values_mut()).for_each(|told| *told = now);
    }

    /// Goes back, whatever it was about to do.
    pub fn go_back(&mut self, why: RollbackReason) {
        if !self.phase.over() && self.phase.back().is_none() {
            self.phase = Phase::Back { why };
            self.returned.clear();
        }
    }

    /// An operator holds it; false if there is nothing to hold.
    pub fn hold(&mut self, by: &str, now: Nanos) -> bool {
        let Some(stage) = self.stage() else { return false };
        self.phase = Phase::Held { stage, why: HoldReason::Operator { by: by.to_owned() }, since: now };
        true
    }

    /// An operator lets it go on; false if it is not held. A trouble that is still there holds it again.
    pub fn resume(&mut self) -> bool {
        let Phase::Held { stage, .. } = self.phase else { return false };
        self.phase = Phase::Moving { stage };
        true
    }

    /// Those that were told the new and don't act by it yet.
    fn on_way<'s>(&self, seen: &'s [FleetView<'s>]) -> Vec<&'s FleetView<'s>> {
        seen.iter().filter(|s| self.moved.contains_key(s.name) && s.acting != self.to).collect()
    }

    /// Looks at the fleet and moves on by one step at the most; true if something is to be kept.
    pub fn step(&mut self, seen: &[FleetView<'_>], verdict: &Verdict, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.stepped);
        self.stepped = now;
        if self.phase.over() {
            return false;
        }
        self.ran = self.ran.saturating_add(if passed <= STEP_MOST { passed } else { 0 });
        if self.phase.back().is_some() {
            return self.step_back(seen, now);
        }
        if let Some(why) = self.fault(seen, verdict, now) {
            self.go_back(why);
            return true;
        }
        // Danger: where a third of all reports are lost somebody is always late; a hold for each would never end. One that may
        // be on its way back is waited for as long as it may take to act on what it is told.
        let away =
            |s: &&FleetView<'_>| self.moved.contains_key(s.name) && s.standing != MemberStatus::Serving;
        let silent = seen.iter().filter(away).filter(|s| s.quiet > self.plan.confirm);
        let silent = some(silent.map(|s| s.name));
        let away = seen.iter().filter(away).count();
        match (self.phase.clone(), verdict) {
            (Phase::Moving { stage } | Phase::Soaking { stage, .. }, Verdict::Trouble(what)) => {
                self.held(stage, HoldReason::Trouble { what: what.clone() }, now)
            }
            (Phase::Moving { stage } | Phase::Soaking { stage, .. }, _) if !silent.is_empty() => {
                self.held(stage, HoldReason::Silent { names: silent }, now)
            }
            (Phase::Moving { stage }, _) => self.step_moving(stage, seen, now),
            (Phase::Soaking { stage, since }, Verdict::Passed) => {
                // What is compared has to be there: all of a few, nine in ten of many.
                let heard = away * 10 <= self.moved.len();
                let soaked = now.saturating_sub(since) >= self.plan.stage(stage).soak;
                if !soaked || !heard || self.on_way(seen).iter().any(|s| s.standing == MemberStatus::Serving)
                {
                    return false;
                }
                self.in_stage = 0;
                self.phase =
                    if self.plan.last(stage) { Phase::Done } else { Phase::Moving { stage: stage + 1 } };
                true
            }
            (Phase::Held { stage, why, .. }, verdict) => {
                let over = match why {
                    HoldReason::Operator { .. } => false,
                    HoldReason::Trouble { .. } => !matches!(verdict, Verdict::Trouble(_)),
                    HoldReason::Silent { .. } => silent.is_empty(),
                    HoldReason::Nobody => self.candidates(stage, seen).next().is_some(),
                };
                if over {
                    self.phase = Phase::Moving { stage };
                }
                over
            }
            _ => false,
        }
    }

    fn held(&mut self, stage: usize, why: HoldReason, now: Nanos) -> bool {
        self.phase = Phase::Held { stage, why, since: now };
        true
    }

    /// What makes it go back.
    fn fault(&self, seen: &[FleetView<'_>], verdict: &Verdict, now: Nanos) -> Option<RollbackReason> {
        if let Verdict::Worse(finding) = verdict {
            return Some(RollbackReason::Worse(finding.clone()));
        }
        let told = || seen.iter().filter_map(|s| Some((s, *self.moved.get(s.name)?)));
        let refused =
            told().find_map(|(s, _)| Some((s.name, s.refused.filter(|(what, _)| *what == self.to)?.1)));
        if let Some((name, why)) = refused {
            return Some(RollbackReason::Refused { name: name.into(), why: why.into() });
        }
        let late = told().filter(|(s, at)| {
            // Who was away meanwhile, or is a new process, has to be told again first.
            let due = now.saturating_sub((*at).max(s.since)) > self.plan.confirm;
            due && s.acting != self.to && s.standing == MemberStatus::Serving
        });
        let late = some(late.map(|(s, _)| s.name));
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
        let on_way = self.on_way(seen);
        let moved: BTreeSet<String> = self.moved.keys().cloned().collect();
        let wanted = scheduling::wanted(self.plan.stage(stage), seen, &moved, self.in_stage);
        let left = self.candidates(stage, seen).count();
        if on_way.is_empty() && (wanted == 0 || left == 0) {
            // Danger: a stage in which nobody changed would be compared with nobody, and one of which half is away would pass
            // for whole. The last stage ends without those that are away: they take what holds when they come.
            let nobody = wanted > 0 && !self.plan.last(stage) || self.moved.is_empty();
            if nobody {
                return self.held(stage, HoldReason::Nobody, now);
            }
            self.phase = Phase::Soaking { stage, since: now };
            return true;
        }
        let mut next =
            scheduling::next(self.candidates(stage, seen), &on_way, seen, self.plan.at_once, self.id);
        next.truncate(wanted);
        let told = next.len();
        self.moved.extend(next.into_iter().map(|s| (s.name.to_owned(), now)));
        self.in_stage += told;
        told > 0
    }

    /// Going back: those that were told the new are told the old, a few at a time and of one data centre.
    fn step_back(&mut self, seen: &[FleetView<'_>], now: Nanos) -> bool {
        let Some(why) = self.phase.back().cloned() else { return false };
        let serves = |s: &&FleetView<'_>| s.standing == MemberStatus::Serving;
        let back = |s: &&FleetView<'_>| !self.moved.contains_key(s.name) && s.acting == self.to;
        let on_way: Vec<&FleetView<'_>> = seen.iter().filter(serves).filter(back).collect();
        let candidates = seen.iter().filter(serves).filter(|s| self.moved.contains_key(s.name));
        let next = scheduling::next(candidates, &on_way, seen, self.plan.back_at_once, self.id);
        if !next.is_empty() {
            for one in next {
                self.moved.remove(one.name);
                self.returned.insert(one.name.to_owned(), now);
            }
            return true;
        }
        // Danger: a leader that has only just taken over has heard nobody, and would find the whole fleet away.
        let unheard = |s: &FleetView<'_>| s.standing == MemberStatus::Unheard && s.acting == self.to;
        if seen.iter().any(|s| unheard(s) && now.saturating_sub(s.since) <= self.plan.confirm) {
            return false;
        }
        // Nobody that is heard is left to be told: who is away finds the old when it comes.
        let away = on_way.is_empty() && !self.moved.is_empty();
        if away {
            let moved = std::mem::take(&mut self.moved);
            self.returned.extend(moved.into_keys().map(|name| (name, now)));
            return true;
        }
        if on_way.is_empty() {
            self.phase = Phase::GoneBack { why };
            return true;
        }
        let late = on_way.iter().filter(|s| {
            let told = self.returned.get(s.name).copied().unwrap_or(self.began);
            now.saturating_sub(told.max(s.since)) > self.plan.confirm
        });
        let names = some(late.map(|s| s.name));
        let phase = if names.is_empty() { Phase::Back { why } } else { Phase::Stuck { why, names } };
        let changed = phase != self.phase;
        self.phase = phase;
        changed
    }
}

impl std::fmt::Display for HoldReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HoldReason::Operator { by } => write!(f, "held by {by}"),
            HoldReason::Trouble { what } => write!(f, "{what}"),
            HoldReason::Silent { names } => write!(f, "not heard: {}", names.join(", ")),
            HoldReason::Nobody => write!(f, "nobody left in the stage can be told"),
        }
    }
}

impl std::fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RollbackReason::Operator { by } => write!(f, "{by} said so"),
            RollbackReason::Worse(finding) => write!(f, "{finding}"),
            RollbackReason::Refused { name, why } => write!(f, "{name} can't obey it: {why}"),
            RollbackReason::Unconfirmed { names } => {
                write!(f, "told and serving, but not acting by it: {}", names.join(", "))
            }
            RollbackReason::Patience { what } => write!(f, "waited for too long: {what}"),
            RollbackReason::OverTime => write!(f, "it took longer than it may"),
            RollbackReason::Displaced { by } => write!(f, "change {by} takes its place"),
        }
    }
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Phase::Moving { stage } => write!(f, "stage {} is told", stage + 1),
            Phase::Soaking { stage, .. } => write!(f, "stage {} soaks", stage + 1),
            Phase::Held { stage, why, .. } => write!(f, "held in stage {}: {why}", stage + 1),
            Phase::Back { why } => write!(f, "going back: {why}"),
            Phase::Stuck { why, names } => write!(f, "stuck on the way back at {}: {why}", names.join(", ")),
            Phase::Done => write!(f, "done"),
            Phase::GoneBack { why } => write!(f, "gone back: {why}"),
        }
    }
}
