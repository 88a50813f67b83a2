//! Nodes against queueing theory: mean waits of M/M/1, M/M/c and M/G/1 within 3%.

use rand::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rushquay_node_model::{
    Chance, Mode, Nanos, Node, NodeEvent, NodeSettings, Out, Request, Timeline, Work, MILLI,
};
use std::collections::HashMap;

fn settings(cores: usize, work: Work) -> NodeSettings {
    NodeSettings {
        cores,
        speed: 1.0,
        waiting: 1_000_000,
        mode: Mode::All,
        kept: None,
        work,
        fetched_work: Work::Fixed(0.0),
        false_misses: 0.0,
        remembers_ms: 0.0,
        cold: None,
        fall: None,
    }
}

/// Mean time in the node, in milliseconds, with Poisson arrivals at so many a second.
fn time_inside(settings: NodeSettings, rate: f64, requests: u64, seed: u64) -> f64 {
    let mut chance = Chance::seed_from_u64(seed);
    let mut arrivals = Chance::seed_from_u64(!seed);
    let mut node = Node::new(settings, 0).expect("settings");
    let (mut out, mut came, mut sum, mut at) = (Vec::new(), HashMap::new(), 0.0, 0.0);
    let mut take = |out: &mut Vec<Out>, came: &mut HashMap<u64, Nanos>| {
        for o in out.drain(..) {
            if let NodeEvent::Answer(id, _) = o.say {
                sum += (o.at - came.remove(&id).expect("it came")) as f64;
            }
        }
    };
    for id in 0..requests {
        let gap: f64 = Exp1.sample(&mut arrivals);
        at += gap / rate * 1e9;
        let now = at as Nanos;
        came.insert(id, now);
        node.arrive(now, Request { id, key: id, write: false, token: None }, &mut chance, &mut out);
        take(&mut out, &mut came);
    }
    node.advance(Nanos::MAX, &mut chance, &mut out);
    take(&mut out, &mut came);
    assert!(came.is_empty() && node.inside() == 0);
    sum / requests as f64 / MILLI as f64
}

fn near(what: &str, seen: f64, theory: f64) {
    assert!((seen / theory - 1.0).abs() < 0.03, "{what}: {seen:.3} ms seen, {theory:.3} ms by theory");
}

#[test]
fn one_core_waits_as_an_m_m_1_does() {
    // 1 / (mu - lambda)
    for (rate, theory) in [(50.0, 20.0 / 1.5), (80.0, 1000.0 / 20.0)] {
        let mean = if rate == 50.0 { 8.0 } else { 10.0 };
        let theory = if rate == 50.0 { 1000.0 / (125.0 - 50.0) } else { theory };
        near("M/M/1", time_inside(settings(1, Work::Exponential(mean)), rate, 600_000, 11), theory);
    }
}

#[test]
fn several_cores_wait_as_an_m_m_c_does() {
    let (cores, mean, rate) = (4usize, 10.0, 300.0);
    // Erlang's C formula.
    let a = rate * mean / 1000.0;
    let rho = a / cores as f64;
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..cores {
        term *= a / k as f64;
        sum += term;
    }
    let last = term * a / cores as f64 / (1.0 - rho);
    let waits = last / (sum + last);
    let theory = mean + waits * mean / (cores as f64 * (1.0 - rho));
    near("M/M/4", time_inside(settings(cores, Work::Exponential(mean)), rate, 400_000, 12), theory);
}

#[test]
fn uneven_work_waits_as_an_m_g_1_does() {
    // Pollaczek and Khinchine: lambda E[S^2] / 2 (1 - rho).
    let rate = 60.0;
    let fixed = 10.0;
    let rho = rate * fixed / 1000.0;
    let theory = fixed + rate / 1000.0 * fixed * fixed / (2.0 * (1.0 - rho));
    near("M/D/1", time_inside(settings(1, Work::Fixed(fixed)), rate, 300_000, 13), theory);
    let (median, sigma) = (8.0_f64, 0.6_f64);
    let mean = median * (sigma * sigma / 2.0).exp();
    let square = median * median * (2.0 * sigma * sigma).exp();
    let theory = mean + rate / 1000.0 * square / (2.0 * (1.0 - rate * mean / 1000.0));
    near("M/G/1", time_inside(settings(1, Work::LogNormal { median, sigma }), rate, 900_000, 14), theory);
}

#[test]
fn the_same_seed_is_the_same_to_the_nanosecond() {
    let run =
        || time_inside(settings(3, Work::Pareto { least: 2.0, shape: 2.5 }), 400.0, 20_000, 15).to_bits();
    assert_eq!(run(), run());
    let mut t = Timeline::default();
    t.put(1, ());
    assert_eq!(t.next(), Some(1));
}
