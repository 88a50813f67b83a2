//! What a plan comes to on the fleet as it stands: the change itself, played in an instant in which nothing fails.

use crate::plan::Plan;
use crate::state_machine::{FleetView, Phase, Rollout, Verdict};
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use serde::Serialize;

/// A stage as it would be made.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Those that are told in it, in order.
    pub names: Vec<String>,
    /// For so long at least it soaks, in seconds.
    pub soak_s: f64,
}

/// Plays a plan on those that serve. `id` is the number that the change would have: the order hangs on it.
pub fn preview(plan: &Plan, seen: &[FleetView<'_>], id: u64) -> Vec<Step> {
    let (from, to) = (Digest::of(b"before"), Digest::of(b"after"));
    let serving = seen.iter().filter(|s| s.standing == MemberStatus::Serving);
    let mut fleet: Vec<FleetView<'_>> =
        serving.map(|s| FleetView { acting: from, refused: None, since: 0, ..*s }).collect();
    let mut change = Rollout::new(id, (from, to), plan.clone(), (String::new(), String::new()), 0);
    let mut steps: Vec<Step> = Vec::new();
    let mut now: Nanos = 0;
    // Each pass tells somebody or ends a stage; a plan that can't go on is held, and nothing lifts that here.
    for _ in 0..2 * (fleet.len() + plan.stages().len()) + 2 {
        let stage = change.stage();
        now += SECOND;
        change.step(&fleet, &Verdict::Passed, now);
        if let Some(stage) = stage {
            while steps.len() <= stage {
                let soak_s = plan.stage(steps.len()).soak as f64 / SECOND as f64;
                steps.push(Step { names: Vec::new(), soak_s });
            }
        }
        for one in &mut fleet {
            if change.given(one.name) == to && one.acting != to {
                one.acting = to;
                if let Some(step) = steps.last_mut() {
                    step.names.push(one.name.to_owned());
                }
            }
        }
        match change.phase {
            Phase::Soaking { stage, .. } => now += plan.stage(stage).soak,
            Phase::Moving { .. } => {}
            _ => break,
        }
        // The time of the play is none of the change's own.
        (change.ran, change.stepped) = (0, now);
    }
    steps
}
