//! Changes of three hundred proxies in virtual time: what must hold whatever is drawn.

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

/// Plays a change and looks at each second that no more are on their way than may be, all of one data centre.
fn played(world: &World) -> sim::End {
    let end = play(world, 3000, |board, seen| {
        let Some(change) = board.running().filter(|c| c.phase.back().is_none()) else { return };
        let way: Vec<_> =
            seen.iter().filter(|s| change.moved.contains_key(s.name) && s.acting != change.to).collect();
        let zones: BTreeSet<&str> = way.iter().map(|s| s.zone).collect();
        assert!(way.len() <= 7 && zones.len() <= 1, "{} on their way in {zones:?}", way.len());
    });
    println!("seed {}: {end:?}", world.seed);
    end
}

#[test]
fn one_that_is_no_worse_is_done_and_one_that_is_stops_in_its_first_stage() {
    let end = played(&world(1));
    assert!(end.done == Some(true) && end.tried == 300, "{end:?}");
    let end = played(&World { defect: Defect::Bad("setpoint-change", 0.3), ..world(2) });
    assert!(matches!(end.why, Some(RollbackReason::Worse(_))) && end.tried <= 8, "{end:?}");
    let end = played(&World { defect: Defect::BadIn("z2", "setpoint-change", 0.3), ..world(7) });
    assert!(matches!(&end.why, Some(RollbackReason::Worse(f)) if f.class == "setpoint-change"), "{end:?}");
    let end = played(&World { defect: Defect::Slow(1.5), ..world(3) });
    assert!(matches!(end.why, Some(RollbackReason::Worse(_))) && end.tried <= 8, "{end:?}");
}

/// A third of all end badly everywhere for five minutes: it is held, not blamed, and goes on after.
#[test]
fn a_trouble_of_all_holds_it_and_is_not_blamed_on_it() {
    let world = World { trouble: Some((90, 390, 0.33)), ..world(4) };
    let mut held = 0;
    let end = play(&world, 3000, |board, _| {
        held += u64::from(board.running().is_some_and(|c| matches!(c.phase, Phase::Held { .. })));
    });
    println!("{end:?}, held for {held} s");
    assert!(end.done == Some(true) && held > 250, "{end:?}, held for {held} s");
}

/// Reports that are lost, a third of them, make it slower and not wrong.
#[test]
fn lost_reports_change_nothing_but_the_time() {
    let end = played(&World { lost: 0.33, ..world(5) });
    assert_eq!(end.done, Some(true), "{end:?}");
    let end = played(&World { lost: 0.33, defect: Defect::Bad("", 0.2), ..world(6) });
    assert!(end.done == Some(false) && end.tried <= 8, "{end:?}");
}
