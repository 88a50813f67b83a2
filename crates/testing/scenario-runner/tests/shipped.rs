//! The shipped scenarios, and what is expected of any rehearsal.

use rushquay_scenario_runner::{play, Figures, Scenario};

fn shipped(name: &str) -> Scenario {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect("a scenario");
    Scenario::parse(&text).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn played(name: &str) -> Figures {
    let figures = play(&shipped(name)).expect("played");
    let broken: Vec<String> = figures.breaches.iter().take(5).map(|b| b.to_string()).collect();
    assert!(
        broken.is_empty(),
        "{name}: {} broken rules: {broken:?}\n{}",
        figures.breaches.len(),
        figures.table()
    );
    assert!(figures.fell.is_empty(), "{name}: fell over: {:?}", figures.fell);
    for class in &figures.classes {
        assert_eq!(class.asked, class.served + class.refused + class.failed, "{name}: {}", class.name);
    }
    // Nobody is quicker than the work is, and nobody waits for longer than his patience.
    let times = &figures.classes[0].times;
    let (half, most) = (times.value_at_quantile(0.5), times.max());
    assert!(half > 2_000 && most <= 600_000, "{name}: half within {half} us, all within {most} us");
    figures
}

fn served(figures: &Figures) -> f64 {
    let sum = |of: fn(&rushquay_scenario_runner::ClassFigures) -> u64| {
        figures.classes.iter().map(of).sum::<u64>() as f64
    };
    sum(|c| c.served) / (sum(|c| c.asked) - sum(|c| c.repeats))
}

#[test]
fn no_rule_is_broken_when_a_data_centre_is_cut_off() {
    assert!(served(&played("zone-cut")) > 0.9);
}

#[test]
fn no_rule_is_broken_when_the_origin_is_slow_at_the_peak() {
    assert!(served(&played("origin-slow")) > 0.6);
}

#[test]
fn no_rule_is_broken_through_a_rolling_restart() {
    assert!(served(&played("rolling-restart")) > 0.9);
}

#[test]
fn a_cold_data_centre_is_not_pushed_over() {
    assert!(served(&played("cold-fleet")) > 0.8);
}

#[test]
fn no_rule_is_broken_when_a_node_is_slow_and_another_pauses() {
    assert!(served(&played("slow-node")) > 0.9);
}

#[test]
fn no_rule_is_broken_in_a_storm_of_retries() {
    assert!(served(&played("retry-storm")) > 0.5);
}

#[test]
fn the_same_scenario_is_the_same_to_the_last_event() {
    let mut scenario = shipped("zone-cut");
    scenario.seconds = 5.0;
    let (a, b) = (play(&scenario).expect("played"), play(&scenario).expect("played"));
    assert_eq!((a.digest, a.events), (b.digest, b.events));
    scenario.seed += 1;
    assert_ne!(play(&scenario).expect("played").digest, a.digest);
}

#[test]
fn what_is_wrong_with_a_scenario_is_named() {
    let path = format!("{}/scenarios/zone-cut.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a scenario");
    for (from, to, expected) in [
        ("proxies = 8", "proxies = 0", "proxies: expected 1 to 200"),
        ("skew = 0.9", "skew = 9.0", "keys.skew"),
        ("lasts = 8.0", "", "event[0].lasts"),
        ("on = \"rajkot\"", "on = \"rajkto\"", "event[0].on"),
        ("retry_ms = 50.0", "retry_mss = 50.0", "unknown field `retry_mss`"),
    ] {
        assert!(text.contains(from), "{from}");
        let error = Scenario::parse(&text.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// Half of the proxies are of a version that places keys otherwise: each key has copies for both.
#[test]
fn no_rule_is_broken_while_two_versions_place_keys_otherwise() {
    let figures = played("old-beside-new");
    assert!(served(&figures) > 0.9);
    let origin = |from: usize, to: usize| figures.seconds[from..to].iter().map(|s| s.origin).sum::<u64>();
    let (before, change, after) = (origin(20, 40), origin(40, 60), origin(60, 80));
    assert!(change > before, "{change} at the origin while they change, {before} before");
    assert!(change < 3 * before && after < 2 * before, "{before}, {change}, {after}");
}
