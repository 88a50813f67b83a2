//! Rollouts over three hundred proxies in virtual time.

#[path = "../examples/sim/mod.rs"]
mod sim;

use rushquay_rollout::{Phase, RollbackReason};
use sim::{play, Defect, World};
use std::collections::BTreeSet;

fn world(seed: u64) -> World {
    let mut world = World::new(300, seed);
    world.plan.stages[0].count = Some(8);
    (world.plan.soak_s, world.plan.at_once) = (30.0, 7);
    world
}

/// Plays a rollout and checks each second that no more proxies than permitted are in transit, all of one data centre.
fn play_checked(world: &World) -> sim::End {
    let end = play(world, 3000, |registry, seen| {
        let Some(change) = registry.running().filter(|c| c.phase.back().is_none()) else { return };
        let in_transit: Vec<_> =
            seen.iter().filter(|s| change.moved.contains_key(s.name) && s.acting != change.to).collect();
        let zones: BTreeSet<&str> = in_transit.iter().map(|s| s.zone).collect();
        assert!(in_transit.len() <= 7 && zones.len() <= 1, "{} in transit in {zones:?}", in_transit.len());
    });
    println!("seed {}: {end:?}", world.seed);
    end
}

#[test]
fn a_good_version_completes_and_a_worse_one_stops_in_its_first_stage() {
    let end = play_checked(&world(1));
    assert!(end.done == Some(true) && end.tried == 300, "{end:?}");
    let end = play_checked(&World { defect: Defect::Bad("setpoint-change", 0.3), ..world(2) });
    assert!(matches!(end.why, Some(RollbackReason::Worse(_))) && end.tried <= 8, "{end:?}");
    let end = play_checked(&World { defect: Defect::BadIn("z2", "setpoint-change", 0.3), ..world(7) });
    assert!(matches!(&end.why, Some(RollbackReason::Worse(f)) if f.class == "setpoint-change"), "{end:?}");
    let end = play_checked(&World { defect: Defect::Slow(1.5), ..world(3) });
    assert!(matches!(end.why, Some(RollbackReason::Worse(_))) && end.tried <= 8, "{end:?}");
}

/// A third of all requests fail everywhere for five minutes: the rollout is held, not blamed, and goes on afterwards.
#[test]
fn a_fleet_wide_problem_holds_the_rollout_without_blaming_it() {
    let world = World { trouble: Some((90, 390, 0.33)), ..world(4) };
    let mut held = 0;
    let end = play(&world, 3000, |registry, _| {
        held += u64::from(registry.running().is_some_and(|c| matches!(c.phase, Phase::Held { .. })));
    });
    println!("{end:?}, held for {held} s");
    assert!(end.done == Some(true) && held > 250, "{end:?}, held for {held} s");
}

/// Losing a third of the reports makes a rollout slower, not wrong.
#[test]
fn lost_reports_only_delay_the_rollout() {
    let end = play_checked(&World { lost: 0.33, ..world(5) });
    assert_eq!(end.done, Some(true), "{end:?}");
    let end = play_checked(&World { lost: 0.33, defect: Defect::Bad("", 0.2), ..world(6) });
    assert!(end.done == Some(false) && end.tried <= 8, "{end:?}");
}
