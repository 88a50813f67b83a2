//! The preview of a plan on the present fleet: the rollout itself, played in virtual time in which nothing fails.

use crate::finding::Verdict;
use crate::fleet_view::FleetView;
use crate::phase::Phase;
use crate::plan::Plan;
use crate::state_machine::Rollout;
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use serde::Serialize;

/// A stage of the preview.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// The members it moves, in order.
    pub names: Vec<String>,
    /// Its minimum soak time, in seconds.
    pub soak_s: f64,
}

/// Plays a plan on the serving members. `id` is the number that the rollout would have; the order depends on it.
pub fn preview(plan: &Plan, seen: &[FleetView<'_>], id: u64) -> Vec<Step> {
    let (from, to) = (Digest::of(b"before"), Digest::of(b"after"));
    let serving = seen.iter().filter(|s| s.standing == MemberStatus::Serving);
    let mut fleet: Vec<FleetView<'_>> =
        serving.map(|s| FleetView { acting: from, refused: None, since: 0, ..*s }).collect();
    let mut rollout = Rollout::new(id, (from, to), plan.clone(), (String::new(), String::new()), 0);
    let mut steps: Vec<Step> = Vec::new();
    let mut now: Nanos = 0;
    // Each step moves a member or ends a stage; a plan that cannot proceed is held, and nothing lifts that hold here.
    for _ in 0..2 * (fleet.len() + plan.stages().len()) + 2 {
        let stage = rollout.stage();
        now += SECOND;
        rollout.step(&fleet, &Verdict::Passed, now);
        if let Some(stage) = stage {
            while steps.len() <= stage {
                let soak_s = plan.stage(steps.len()).soak as f64 / SECOND as f64;
                steps.push(Step { names: Vec::new(), soak_s });
            }
        }
        for member in &mut fleet {
            if rollout.given(member.name) == to && member.acting != to {
                member.acting = to;
                if let Some(step) = steps.last_mut() {
                    step.names.push(member.name.to_owned());
                }
            }
        }
        match rollout.phase {
            Phase::Soaking { stage, .. } => now += plan.stage(stage).soak,
            Phase::Moving { .. } => {}
            _ => break,
        }
        // Virtual time does not count towards the rollout's limit.
        (rollout.ran, rollout.stepped) = (0, now);
    }
    steps
}
