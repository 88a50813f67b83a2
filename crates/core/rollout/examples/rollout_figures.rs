//! Measures simulated rollouts in virtual time.
//!
//! `cargo run --release --locked -p rushquay-rollout --example rollout_figures -- verdict 1000` simulates 1000 rollouts for each defect
//! and prints how many were stopped; `-- fleet` simulates rollouts over 300 and over 10,000 proxies.

mod sim;

use rushquay_rollout::RollbackReason;
use sim::{simulate, Defect, World};
use std::time::Instant;

/// Time limit of a simulated rollout in seconds, longer than any should take.
const MAX_SECONDS: u64 = 7200;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("verdict") => verdict(args.get(1).and_then(|n| n.parse().ok()).unwrap_or(200)),
        Some("fleet") => fleet(),
        _ => eprintln!("usage: rollout_figures verdict [ROLLOUTS] | fleet"),
    }
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

/// Prints the numbers of false stops and of missed defects, by size of the defect and by traffic.
fn verdict(rollouts: u64) {
    println!("{rollouts} rollouts each, over 40 proxies in 4 data centres, seeds 1 to {rollouts}; traffic in requests per second and proxy");
    println!("| defect | traffic | completed | rolled back as worse | rolled back for another reason | not ended | seconds to the end, median | proxies that applied the version, median | bad outcomes by the defect, mean |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let defects = [
        ("none", Defect::None),
        ("1% of all requests bad", Defect::Bad("", 0.01)),
        ("3% of all requests bad", Defect::Bad("", 0.03)),
        ("10% of all requests bad", Defect::Bad("", 0.1)),
        ("10% of the smallest class bad", Defect::Bad("setpoint-change", 0.1)),
        ("50% of the smallest class bad", Defect::Bad("setpoint-change", 0.5)),
        ("10% of the smallest class bad in one data centre", Defect::BadIn("z3", "setpoint-change", 0.1)),
        ("50% of the smallest class bad in one data centre", Defect::BadIn("z3", "setpoint-change", 0.5)),
        ("20% slower", Defect::Slow(1.2)),
        ("twice as slow", Defect::Slow(2.0)),
    ];
    for (name, defect) in defects {
        for traffic in [1.0, 4.0] {
            let threads = std::thread::available_parallelism().map_or(2, |n| n.get()) as u64;
            let run_part = |t: u64| {
                let results = (1..=rollouts).filter(move |seed| seed % threads == t).map(move |seed| {
                    let mut world = World { defect, ..World::new(40, seed) };
                    world.classes.iter_mut().for_each(|c| c.rate *= traffic);
                    simulate(&world, MAX_SECONDS, |_, _| {})
                });
                results.collect::<Vec<_>>()
            };
            let results: Vec<sim::SimulationResult> = std::thread::scope(|s| {
                let parts: Vec<_> = (0..threads).map(|t| s.spawn(move || run_part(t))).collect();
                parts.into_iter().flat_map(|p| p.join().expect("simulated")).collect()
            });
            let count = |completed| results.iter().filter(|r| r.completed == completed).count();
            let worse = results.iter().filter(|r| matches!(r.reason, Some(RollbackReason::Worse(_)))).count();
            println!(
                "| {name} | {:.1} | {} | {} | {} | {} | {} | {} | {:.1} |",
                14.5 * traffic,
                count(Some(true)),
                worse,
                count(Some(false)) - worse,
                count(None),
                median(results.iter().map(|r| r.seconds).collect()),
                median(results.iter().map(|r| r.tried as u64).collect()),
                results.iter().map(|r| r.harmed).sum::<f64>() / results.len() as f64,
            );
        }
    }
}

/// Prints figures of rollouts over 300 and over 10,000 proxies.
fn fleet() {
    println!("| proxies | at once | seconds of the rollout | most in transit | real seconds per virtual second | record in bytes |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (proxies, at_once) in [(300, 2), (300, 10), (10_000, 100)] {
        let mut world = World::new(proxies, 7);
        world.plan.at_once = at_once;
        world.plan.limit_s = 600_000.0;
        // A single proxy would get too few requests of the smallest class for the first stage to pass.
        world.plan.stages[0].count = Some(4);
        let (start, mut record) = (Instant::now(), 0);
        let result = simulate(&world, 20_000, |registry, _| {
            if record == 0 || registry.running().is_none() {
                record = record.max(serde_json::to_string(registry.record()).map_or(0, |t| t.len()));
            }
        });
        println!(
            "| {proxies} | {at_once} | {} ({:?}) | {} | {:.3} | {record} |",
            result.seconds,
            result.completed,
            result.max_in_transit,
            start.elapsed().as_secs_f64() / (result.seconds + 70) as f64
        );
    }
}
