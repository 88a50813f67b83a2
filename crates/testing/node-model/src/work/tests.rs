use super::*;
use rand::SeedableRng;

#[test]
fn draws_have_the_mean_that_is_told() {
    let mut chance = Chance::seed_from_u64(7);
    for work in [
        Work::Fixed(3.0),
        Work::Exponential(3.0),
        Work::LogNormal { median: 2.0, sigma: 0.8 },
        Work::Pareto { least: 1.0, shape: 3.0 },
    ] {
        assert!(work.sound());
        let draws = 200_000;
        let sum: f64 = (0..draws).map(|_| work.draw(&mut chance) as f64).sum();
        let off = sum / draws as f64 / work.mean() - 1.0;
        assert!(off.abs() < 0.02, "{work:?}: off by {off}");
    }
    assert!(!Work::Pareto { least: 1.0, shape: 1.0 }.sound() && !Work::Exponential(f64::NAN).sound());
}
