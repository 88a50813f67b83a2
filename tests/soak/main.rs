//! A soak over a few dozen real processes: proxies, control services on one store, nodes and discovery, strict clients of all habits,
//! and two or three troubles at a time, drawn from a seed. It is judged by invariants alone: what clients were promised, what nodes
//! got, and what the proxies themselves count as broken rules.
//!
//! `RUSHQUAY_SEED=7` plays another one, `RUSHQUAY_SOAK=40` so many rounds, `RUSHQUAY_SEEDS=10` so many seeds one after another,
//! `RUSHQUAY_TROUBLES=6` up to so many troubles at a time, `RUSHQUAY_PROXIES=4` so many proxies in each data centre,
//! `RUSHQUAY_PROGRAM=FILE` another version of the program.

mod judge;
mod troubles;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_fleet_harness::{told, Fleet, Shape, StrictClients};
use std::time::Duration;
use troubles::Troubles;

/// Proxies in each of three data centres; with the control services a few dozen processes.
const PROXIES: u64 = 7;
const CONTROLS: usize = 3;
/// What a request's client waits for, and the class gives.
const WITHIN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(60);

/// The program that is played: this one, or another version of it.
fn program() -> String {
    std::env::var("RUSHQUAY_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_rushquay").to_owned())
}

fn shape(seed: u64) -> Shape {
    let proxies = told("RUSHQUAY_PROXIES", PROXIES) as usize;
    Shape { proxies, controls: CONTROLS, deadline: WITHIN, ..Shape::new(&program(), seed) }
}

async fn soak(seed: u64, rounds: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::start_with(shape(seed), |fleet| troubles::preload(fleet, seed)).await;
    let clients: Vec<StrictClients> = fleet
        .proxies
        .iter()
        .enumerate()
        .map(|(n, p)| StrictClients::start(p.listen, &p.name, seed ^ ((n as u64) << 32), WITHIN, PAUSE))
        .collect();
    let mut troubles = Troubles::new(&clients);
    for _ in 0..rounds {
        for _ in 0..random.random_range(2..=told("RUSHQUAY_TROUBLES", 3)) {
            troubles.begin(&mut fleet, &mut random).await;
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(400..1800))).await;
        judge::somebody_leads(&fleet).await;
        if random.random::<f64>() < 0.7 {
            troubles.mend(&mut fleet).await;
        }
    }
    troubles.mend(&mut fleet).await;
    judge::somebody_leads(&fleet).await;
    let drains = troubles.drains();
    let mut clients = clients;
    clients.iter_mut().for_each(StrictClients::stop);
    // What is on its way arrives.
    tokio::time::sleep(Duration::from_millis(500)).await;
    judge::all(&fleet, &clients, &drains, seed);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_promise_is_broken_under_troubles_that_overlap() {
    let (first, rounds) = (told("RUSHQUAY_SEED", 3901), told("RUSHQUAY_SOAK", 8));
    for seed in first..first + told("RUSHQUAY_SEEDS", 1) {
        soak(seed, rounds).await;
    }
}
