//! What two versions that do not agree on where keys live cost the origin and cold nodes, by the share of the new one:
//! `cargo run --release --locked -p rushquay-rehearse --example side_by_side -- crates/testing/scenario-runner/scenarios/old-beside-new.toml`.

use rushquay_scenario_runner::{play, Figures, Scenario, What};

/// Requests at the origin in a second, on the mean and at the most, from second to second.
fn origin(figures: &Figures, from: usize, to: usize) -> (f64, u64) {
    let all: Vec<u64> = figures.seconds[from..to].iter().map(|s| s.origin).collect();
    (all.iter().sum::<u64>() as f64 / all.len() as f64, all.into_iter().max().unwrap_or(0))
}

fn main() {
    let path = std::env::args().nth(1).expect("a scenario");
    let text = std::fs::read_to_string(path).expect("a scenario");
    println!("| share of the new | changed | origin before, a second | while they change, mean and most | 20 s after, mean | nodes start cold: most | fell over | served | broken rules |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for share in [0.0, 0.1, 0.5, 0.9, 1.0] {
        for (how, every) in [("at once", 0.0), ("one a second", 1.0)] {
            if share == 0.0 && every > 0.0 {
                continue;
            }
            let (mut sums, seeds) = ([0.0; 6], 5);
            let (mut fell, mut broken) = (0, 0);
            for seed in 0..seeds {
                let mut scenario = Scenario::parse(&text).expect("a scenario");
                scenario.seed += seed;
                scenario.event[0].what = What::Otherwise(share);
                scenario.event[0].every = every;
                let figures = play(&scenario).expect("played");
                let (before, _) = origin(&figures, 25, 40);
                let (change, most) = origin(&figures, 40, 60);
                let (after, _) = origin(&figures, 60, 80);
                let (_, cold) = origin(&figures, 80, 105);
                let served: u64 = figures.classes.iter().map(|c| c.served).sum();
                let asked: u64 = figures.classes.iter().map(|c| c.asked - c.repeats).sum();
                let all = [before, change, most as f64, after, cold as f64, served as f64 / asked as f64];
                sums.iter_mut().zip(all).for_each(|(sum, one)| *sum += one / seeds as f64);
                fell += figures.fell.len();
                broken += figures.breaches.len();
            }
            let [before, change, most, after, cold, served] = sums;
            println!("| {share} | {how} | {before:.1} | {change:.1}, {most:.0} | {after:.1} | {cold:.0} | {fell} | {served:.4} | {broken} |");
        }
    }
}
