//! The preview of a plan on the present fleet: a simulated rollout in virtual time, without failures.

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
pub struct PreviewStage {
    /// The members that the stage moves, in order.
    pub names: Vec<String>,
    /// Minimum soak time, in seconds.
    pub soak_s: f64,
}

/// Simulates a plan on the serving members. `id` is the number that the rollout would have; the order of the members depends on it.
pub fn preview(plan: &Plan, members: &[FleetView<'_>], id: u64) -> Vec<PreviewStage> {
    let (from, to) = (Digest::of(b"before"), Digest::of(b"after"));
    let serving = members.iter().filter(|s| s.status == MemberStatus::Serving);
    let mut fleet: Vec<FleetView<'_>> =
        serving.map(|s| FleetView { applied_version: from, refused: None, since: 0, ..*s }).collect();
    let mut rollout = Rollout::new(id, (from, to), plan.clone(), (String::new(), String::new()), 0);
    let mut stages: Vec<PreviewStage> = Vec::new();
    let mut now: Nanos = 0;
    // Each step moves members or ends a stage, which bounds the number of steps. A plan that cannot proceed is held, which ends the loop.
    for _ in 0..2 * (fleet.len() + plan.stages().len()) + 2 {
        let stage = rollout.stage();
        now += SECOND;
        rollout.step(&fleet, &Verdict::Passed, now);
        if let Some(stage) = stage {
            while stages.len() <= stage {
                let soak_s = plan.stage(stages.len()).soak as f64 / SECOND as f64;
                stages.push(PreviewStage { names: Vec::new(), soak_s });
            }
        }
        for member in &mut fleet {
            if rollout.assigned_version(member.name) == to && member.applied_version != to {
                member.applied_version = to;
                if let Some(last) = stages.last_mut() {
                    last.names.push(member.name.to_owned());
                }
            }
        }
        match rollout.phase {
            Phase::Soaking { stage, .. } => now += plan.stage(stage).soak,
            Phase::Moving { .. } => {}
            _ => break,
        }
        // Virtual time does not count towards the rollout's time limit.
        (rollout.ran, rollout.stepped) = (0, now);
    }
    stages
}
