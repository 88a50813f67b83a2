//! Changes in stages over a fleet of real processes with a relay on every leg: three data centres with three proxies each, two
//! control services on one store, nodes, discovery, and clients that ask all the while. What is asserted is what the outside
//! saw: which proxy acted by what, how requests ended, and the books of the four rules at both ends.

mod bad;
mod clocks;
mod cuts;
mod good;
mod leaders;
mod previous_version;
mod storm;
mod upgrade;

use rushquay_fleet_harness::{in_order, phase, start, words, Fleet, Shape};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// Stages of one proxy, half, and all; bounds so wide that the traffic of a test is evidence within seconds.
fn plan() -> Value {
    json!({"stages": [{"count": 1}, {"share": 0.5}], "at_once": 2, "back_at_once": 3, "soak_s": 1.5, "confirm_s": 15.0,
           "patience_s": 300.0, "limit_s": 600.0})
}

fn shape(seed: u64) -> Shape {
    let rollout = "times = 3.0\nbeyond = 0.1\nbeta = 0.2\n".into();
    Shape { rollout, ..Shape::new(env!("CARGO_BIN_EXE_rushquay"), seed) }
}

async fn loaded(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(shape(seed)).await;
    fleet.load(3, Duration::from_millis(15));
    // How the fleet does before the change is known.
    until_usual(&fleet).await;
    fleet
}

async fn until_usual(fleet: &Fleet) {
    let all = |f: &Fleet| {
        f.proxies.iter().map(|p| f.counts(&p.name).values().map(|c| c.answered()).sum::<u64>()).sum::<u64>()
    };
    let from = all(fleet);
    fleet.until("the load runs", |_| all(fleet) > from + 1500).await;
}

/// A class of requests goes to the nodes of the spare data centre.
fn to_spare(class: &str) -> Value {
    json!({"categories": [{"name": class, "allowed_in": [3]}]})
}

fn harmless() -> Value {
    json!({"caps": {"max_retry_after_ns": 3_000_000_000u64}})
}

/// All proxies act by what holds, by their own word.
fn settled(status: &Value) -> bool {
    let holds = &status["holds"];
    status["fleet"].as_array().is_some_and(|f| f.iter().all(|f| f["acting"] == *holds))
}

/// How often a proxy acted by a generation, by the proxy's own log.
fn took(fleet: &Fleet, generation: &Value) -> BTreeMap<String, usize> {
    let short = &generation.as_str().expect("a digest")[..8];
    let acted = fleet.acted();
    let count = |words: &Vec<String>| words.iter().filter(|w| *w == short).count();
    acted.iter().map(|(name, words)| (name.clone(), count(words))).filter(|(_, n)| *n > 0).collect()
}

/// Waits until the logs say that a generation was taken so often in all: a log may come after its proxy's word to the leader.
async fn logged(fleet: &Fleet, generation: &Value, times: usize) -> BTreeMap<String, usize> {
    let start = std::time::Instant::now();
    // Without asking anybody: all control services may be away.
    while took(fleet, generation).values().sum::<usize>() < times
        && start.elapsed() < rushquay_fleet_harness::LONG
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    took(fleet, generation)
}
