//! Programs that are changed over a fleet in stages: each proxy is run by a host, a process of the program itself; versions that are
//! no good are test binaries over the same library. Three data centres with two or three proxies each, two control services on one
//! store, relays on every leg, clients that ask all the while. What is asserted is what the outside saw.

mod bad;
mod good;
mod killed;
mod shortage;

use rushquay_fleet_harness::{in_order, phase, start, words, Fleet, Shape};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// One proxy, and all; bounds so wide that the traffic of a test is evidence within seconds.
fn plan() -> Value {
    json!({"stages": [{"count": 1}], "at_once": 2, "back_at_once": 3, "soak_s": 1.5, "confirm_s": 40.0,
           "patience_s": 300.0, "limit_s": 600.0})
}

/// Spans that a busy machine keeps.
const TERMS: &str =
    "yes_within_s = 10.0\nwatch_s = 1.5\nhang_s = 4.0\ndrain_s = 20.0\npause_s = 30.0\nsteady_s = 20.0";

async fn loaded(seed: u64, proxies: usize) -> Fleet {
    let shape = Shape::new(env!("CARGO_BIN_EXE_rushquay"), seed);
    let rollout = "times = 3.0\nbeyond = 0.1\nbeta = 0.2\n".into();
    let mut fleet = Fleet::start(Shape { rollout, proxies, hosts: Some(TERMS.into()), ..shape }).await;
    fleet.load(3, Duration::from_millis(15));
    let all = |f: &Fleet| -> u64 {
        f.proxies.iter().flat_map(|p| f.counts(&p.name).into_values()).map(|c| c.answered()).sum()
    };
    fleet.until("the load runs", |_| all(&fleet) > 1500).await;
    fleet
}

/// A version that is no good.
fn defective(fleet: &Fleet, words: &str) -> String {
    let here = std::env::current_exe().expect("this test's own file");
    // target/<profile>/deps/<test>: the examples stand beside deps.
    let program: PathBuf = here.ancestors().nth(2).expect("a folder").join("examples").join("defective");
    assert!(program.exists(), "{}: cargo build --example defective builds it", program.display());
    fleet.add_version(&program, format!("\n#defect:{words}").as_bytes())
}

/// How many proxies are cut off, as the leader knows it. One that has taken over meanwhile knows them from before, and has not heard them.
fn away(status: &Value) -> u64 {
    let count = |f: &Value, standing: &str| f["proxies"][standing].as_u64().unwrap_or(0);
    let fleet = status["fleet"].as_array().into_iter().flatten();
    fleet.map(|f| count(f, "cut-off") + count(f, "unheard")).sum()
}

/// Waits until every proxy runs one process, of this program.
async fn all_run(fleet: &Fleet, program: &str) {
    let begin = Instant::now();
    loop {
        let running: Vec<_> = (0..fleet.proxies.len()).map(|n| fleet.running(n)).collect();
        if running.iter().all(|r| r.len() == 1 && r[0].1 == program) {
            return;
        }
        assert!(begin.elapsed() < rushquay_fleet_harness::LONG, "{running:?}\n{}", fleet.history.last(60));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn lost(fleet: &Fleet) -> u64 {
    fleet.proxies.iter().flat_map(|p| fleet.counts(&p.name).into_values()).map(|c| c.lost).sum()
}

/// The proxies whose hosts ever started a program.
fn tried(fleet: &Fleet, program: &str) -> Vec<String> {
    let lines = fleet.history.with(&format!("of program {} is started", &program[..8]));
    let mut names: Vec<String> = lines.into_iter().map(|l| l.who).collect();
    names.sort();
    names.dedup();
    names
}
