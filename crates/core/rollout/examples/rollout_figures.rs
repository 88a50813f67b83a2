//! Measures rollouts in virtual time.
//!
//! `cargo run --release --locked -p rushquay-rollout --example rollout_figures -- verdict 1000` plays so many rollouts for each
//! defect; `-- fleet` plays rollouts over 300 and over 10,000 proxies.

mod sim;

use rushquay_rollout::RollbackReason;
use sim::{play, Defect, World};
use std::time::Instant;

/// Longer than any of these rollouts should take, in seconds.
const MOST: u64 = 7200;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        Some("verdict") => verdict(words.get(1).and_then(|n| n.parse().ok()).unwrap_or(200)),
        Some("fleet") => fleet(),
        _ => eprintln!("verdict [CHANGES] or fleet"),
    }
}

fn median(mut of: Vec<u64>) -> u64 {
    of.sort_unstable();
    of.get(of.len() / 2).copied().unwrap_or(0)
}

/// False stops and missed defects, by size of defect and traffic.
fn verdict(changes: u64) {
    println!("{changes} changes each, of 40 proxies in 4 data centres, seeds 1 to {changes}; traffic in requests a second a proxy");
    println!("| defect | traffic | done | stopped as worse | gave up for lack of evidence | neither | seconds to the end, median | proxies that tried it, median | harmed, mean |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let defects = [
        ("none", Defect::None),
        ("1% of all end badly", Defect::Bad("", 0.01)),
        ("3% of all", Defect::Bad("", 0.03)),
        ("10% of all", Defect::Bad("", 0.1)),
        ("10% of the smallest class", Defect::Bad("setpoint-change", 0.1)),
        ("50% of the smallest class", Defect::Bad("setpoint-change", 0.5)),
        ("10% of the smallest class in one data centre", Defect::BadIn("z3", "setpoint-change", 0.1)),
        ("50% of it there", Defect::BadIn("z3", "setpoint-change", 0.5)),
        ("20% slower", Defect::Slow(1.2)),
        ("twice as slow", Defect::Slow(2.0)),
    ];
    for (name, defect) in defects {
        for times in [1.0, 4.0] {
            let threads = std::thread::available_parallelism().map_or(2, |n| n.get()) as u64;
            let part = |t: u64| {
                let played = (1..=changes).filter(move |seed| seed % threads == t).map(move |seed| {
                    let mut world = World { defect, ..World::new(40, seed) };
                    world.classes.iter_mut().for_each(|c| c.rate *= times);
                    play(&world, MOST, |_, _| {})
                });
                played.collect::<Vec<_>>()
            };
            let ends: Vec<sim::End> = std::thread::scope(|s| {
                let parts: Vec<_> = (0..threads).map(|t| s.spawn(move || part(t))).collect();
                parts.into_iter().flat_map(|p| p.join().expect("played")).collect()
            });
            let of = |done| ends.iter().filter(|e| e.done == done).count();
            let worse = ends.iter().filter(|e| matches!(e.why, Some(RollbackReason::Worse(_)))).count();
            println!(
                "| {name} | {:.1} | {} | {} | {} | {} | {} | {} | {:.1} |",
                14.5 * times,
                of(Some(true)),
                worse,
                of(Some(false)) - worse,
                of(None),
                median(ends.iter().map(|e| e.seconds).collect()),
                median(ends.iter().map(|e| e.tried as u64).collect()),
                ends.iter().map(|e| e.harmed).sum::<f64>() / ends.len() as f64,
            );
        }
    }
}

/// A rollout over 300 and over 10,000 proxies.
fn fleet() {
    println!("| proxies | at once | seconds of the change | most on their way | real seconds a virtual one | record in bytes |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (proxies, at_once) in [(300, 2), (300, 10), (10_000, 100)] {
        let mut world = World::new(proxies, 7);
        world.plan.at_once = at_once;
        world.plan.limit_s = 600_000.0;
        // One proxy alone would get too few requests of the smallest class.
        world.plan.stages[0].count = Some(4);
        let (start, mut record) = (Instant::now(), 0);
        let end = play(&world, 20_000, |board, _| {
            if record == 0 || board.running().is_none() {
                record = record.max(serde_json::to_string(board.record()).map_or(0, |t| t.len()));
            }
        });
        println!(
            "| {proxies} | {at_once} | {} ({:?}) | {} | {:.3} | {record} |",
            end.seconds,
            end.done,
            end.on_way,
            start.elapsed().as_secs_f64() / (end.seconds + 70) as f64
        );
    }
}
