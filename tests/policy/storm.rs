//! A seeded storm of changes under faults that are drawn. `RUSHQUAY_STORM=1000` plays so many steps, `RUSHQUAY_SEED=7` another storm.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_fleet_harness::{told, Broken, Part};

/// What may break, each as often as it stands here.
const PARTS: [Part; 7] =
    [Part::Stopped, Part::Stopped, Part::Killed, Part::Unheard, Part::Unheard, Part::Control, Part::Control];

/// Whatever comes: one policy is obeyed by all at each moment, every change has an end, no request is lost or doubled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_storm_breaks_no_promise() {
    let (seed, steps) = (told("RUSHQUAY_SEED", 161), told("RUSHQUAY_STORM", 10));
    let mut play = Play::start(shape(seed)).await;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut broken = Broken::default();
    let (mut changes, mut committed) = (0u64, 0u64);
    let mut open: Option<u64> = None;
    for _ in 0..steps {
        if open.is_none() {
            open = Some(play.propose().await);
            changes += 1;
        }
        (0..random.random_range(1..4u32)).for_each(|_| broken.one_more(&mut play.fleet, &PARTS, &mut random));
        if random.random::<f64>() < 0.1 {
            // Asked for at once with whatever else is decided: one of the two counts.
            let _ = play.fleet.post("/v1/policy/abort", json!({"by": "storm"})).await;
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(300..2500))).await;
        if random.random::<f64>() < 0.6 {
            broken.mend(&mut play.fleet);
        }
        if let Some(number) = open {
            let status = play.fleet.get("/v1/policy").await;
            if status["last"]["policy"] == number {
                committed += u64::from(play.decided(number).await["last"]["ended"]["ended"] == "committed");
                open = None;
            }
        }
    }
    broken.mend(&mut play.fleet);
    if let Some(number) = open {
        committed += u64::from(play.decided(number).await["last"]["ended"]["ended"] == "committed");
    }
    let status = play.until("all act by what holds", |s| {
        let members =
            s["members"].as_array().map_or(0, |m| m.iter().filter(|m| m["acting"] == s["revision"]).count());
        members == play.fleet.proxies.len()
    });
    let holds = status.await["holds"].clone();
    println!("seed {seed}: {steps} steps, {changes} changes, {committed} committed, policy {holds} holds");
    play.over().await;
}
