//! A seeded storm: changes, good and bad, under faults that are drawn, one after another. `RUSHQUAY_STORM=200` plays so many
//! steps, `RUSHQUAY_SEED=7` another storm.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_fleet_harness::{told, Broken, Part};

/// What may break, each as often as it stands here.
const PARTS: [Part; 6] =
    [Part::Stopped, Part::Killed, Part::Unheard, Part::Node, Part::Control, Part::Control];

/// Whatever comes: a change that is bad is never tried by more than the one proxy of its first stage, nobody acts by what was
/// never begun, no request is lost or doubled, and when the storm is over the last change ends and all act by what holds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_storm_breaks_no_promise() {
    let (seed, steps) = (told("RUSHQUAY_SEED", 61), told("RUSHQUAY_STORM", 8));
    let mut fleet = loaded(seed).await;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    fleet.nodes_of(rushquay_fleet_harness::SPARE).for_each(|n| n.failing(1000, "/read"));
    let mut short = plan();
    (short["soak_s"], short["confirm_s"], short["patience_s"]) = (json!(1.0), json!(4.0), json!(20.0));
    let (mut bad, mut begun) = (Vec::new(), 0u64);
    let mut broken = Broken::default();
    for step in 0..steps {
        let status = fleet.get("/v1/rollout").await;
        let over = matches!(phase(&status), "" | "done" | "gone-back");
        if over {
            // Each has its own, so that its takers can be told.
            let worse = begun % 2 == 0;
            let mut settings = if worse { to_spare("read") } else { harmless() };
            settings["over_share_worth"] = json!(0.2 + step as f64 / 1000.0);
            let ask = json!({"settings": settings, "plan": short, "author": "storm", "reason": format!("step {step}")});
            let (code, said) = fleet.post("/v1/rollout", ask).await;
            if code == 201 {
                begun += 1;
                if worse {
                    bad.push(said["change"]["to"].clone());
                }
            }
        }
        (0..random.random_range(1..3u32)).for_each(|_| broken.one_more(&mut fleet, &PARTS, &mut random));
        tokio::time::sleep(Duration::from_millis(random.random_range(500..2500))).await;
        if random.random::<f64>() < 0.7 {
            broken.mend(&mut fleet);
        }
    }
    broken.mend(&mut fleet);
    let end = fleet.until("all is over, and all act by what holds", |s| {
        matches!(phase(s), "" | "done" | "gone-back") && settled(s)
    });
    end.await;
    for to in &bad {
        let took = took(&fleet, to);
        assert!(took.len() <= 1, "{to} was tried by {took:?}");
    }
    println!("seed {seed}: {steps} steps, {begun} changes, {} of them bad", bad.len());
    assert!(begun > 0);
    in_order(fleet).await;
}
