//! Rollouts over a simulated fleet of 300 proxies in virtual time.

#[path = "../examples/sim/mod.rs"]
mod sim;

use rushquay_rollout::{Phase, RollbackReason};
use sim::{simulate, Defect, World};
use std::collections::BTreeSet;

fn world(seed: u64) -> World {
    let mut world = World::new(300, seed);
    world.plan.stages[0].count = Some(8);
    (world.plan.soak_s, world.plan.at_once) = (30.0, 7);
    world
}

/// Simulates a rollout and checks in each second that at most seven proxies are in transit, all of one data centre.
fn simulate_checked(world: &World) -> sim::SimulationResult {
    let result = simulate(world, 3000, |registry, fleet| {
        let Some(active) = registry.running().filter(|c| c.phase.rollback_reason().is_none()) else { return };
        let in_transit: Vec<_> = fleet
            .iter()
            .filter(|s| active.moved.contains_key(s.name) && s.applied_version != active.to)
            .collect();
        let zones: BTreeSet<&str> = in_transit.iter().map(|s| s.zone).collect();
        assert!(in_transit.len() <= 7 && zones.len() <= 1, "{} in transit in {zones:?}", in_transit.len());
    });
    println!("seed {}: {result:?}", world.seed);
    result
}

#[test]
fn a_good_version_completes_and_a_worse_one_stops_in_its_first_stage() {
    let result = simulate_checked(&world(1));
    assert!(result.completed == Some(true) && result.tried == 300, "{result:?}");
    let result = simulate_checked(&World { defect: Defect::Bad("setpoint-change", 0.3), ..world(2) });
    assert!(matches!(result.reason, Some(RollbackReason::Worse(_))) && result.tried <= 8, "{result:?}");
    let result = simulate_checked(&World { defect: Defect::BadIn("z2", "setpoint-change", 0.3), ..world(7) });
    assert!(
        matches!(&result.reason, Some(RollbackReason::Worse(f)) if f.class == "setpoint-change"),
        "{result:?}"
    );
    let result = simulate_checked(&World { defect: Defect::Slow(1.5), ..world(3) });
    assert!(matches!(result.reason, Some(RollbackReason::Worse(_))) && result.tried <= 8, "{result:?}");
}

/// A third of all requests fail in the whole fleet for five minutes. The rollout is held, is not rolled back, and completes afterwards.
#[test]
fn a_fleet_wide_problem_holds_the_rollout_without_blaming_it() {
    let world = World { fleet_problem: Some((90, 390, 0.33)), ..world(4) };
    let mut held = 0;
    let result = simulate(&world, 3000, |registry, _| {
        held += u64::from(registry.running().is_some_and(|c| matches!(c.phase, Phase::Held { .. })));
    });
    println!("{result:?}, held for {held} s");
    assert!(result.completed == Some(true) && held > 250, "{result:?}, held for {held} s");
}

/// If a third of the reports are lost, a good version still completes, and a worse one is still rolled back in its first stage.
#[test]
fn lost_reports_only_delay_the_rollout() {
    let result = simulate_checked(&World { lost_reports: 0.33, ..world(5) });
    assert_eq!(result.completed, Some(true), "{result:?}");
    let result = simulate_checked(&World { lost_reports: 0.33, defect: Defect::Bad("", 0.2), ..world(6) });
    assert!(result.completed == Some(false) && result.tried <= 8, "{result:?}");
}
