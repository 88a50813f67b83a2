//! The matrix itself.

use super::cell::{Cell, Leg};
use super::rig::{Outcome, Rig};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Cells at a time: most of them wait most of the time.
const AT_ONCE: usize = 24;
const SEED: u64 = 0x5eed;
/// A peer that vanished is noticed, and news that it kept back are had, within this time, whatever else the machine does.
const BLIND_MOST: Duration = Duration::from_secs(15);

/// Plays runs, each of one cell or a few together.
async fn play(runs: Vec<Vec<Cell>>, seed: u64) -> Vec<(Vec<Cell>, Outcome)> {
    let places = Arc::new(Semaphore::new(AT_ONCE));
    let mut playing = tokio::task::JoinSet::new();
    for (i, cells) in runs.into_iter().enumerate() {
        let places = places.clone();
        playing.spawn(async move {
            let _place = places.acquire_owned().await.expect("a place");
            let rig = Rig::start(cells.clone(), seed + i as u64).await;
            (cells, rig.play().await)
        });
    }
    playing.join_all().await
}

fn judge(results: &[(Vec<Cell>, Outcome)], seed: u64) {
    let mut faults = Vec::new();
    for (cells, outcome) in results {
        let names: Vec<String> = cells.iter().map(|c| c.name()).collect();
        let names = names.join(" + ");
        let (owed, [served, refused, failed]) = outcome.counts;
        let (answered, broken) = outcome.clients;
        println!(
            "{names}: acted {} times, {owed} owed, {served} served, {refused} refused, {failed} failed; clients: \
             {answered} answered, {broken} not; latest by {:?}; told of drains after {:?}",
            outcome.acted, outcome.latest, outcome.told
        );
        for breach in &outcome.breaches {
            faults.push(format!("{names}: {breach}"));
        }
        if outcome.acted == 0 {
            faults.push(format!("{names}: the fault never acted"));
        }
        if outcome.told.iter().any(|t| *t > BLIND_MOST) {
            faults.push(format!("{names}: told of a drain after {:?}", outcome.told));
        }
        // On the other legs nothing stands between a client and its answer.
        if cells.iter().all(|c| c.leg != Leg::Client) && broken > 0 {
            faults.push(format!("{names}: {broken} clients' requests without a whole answer"));
        }
    }
    assert!(faults.is_empty(), "seed {seed:#x}:\n{}", faults.join("\n"));
}

async fn leg(leg: Leg) {
    let only = std::env::var("RUSHQUAY_CELL").unwrap_or_default();
    let chosen = |c: &Cell| c.leg == leg && c.name().contains(&only);
    let runs = Cell::all().into_iter().filter(chosen).map(|c| vec![c]).collect();
    judge(&play(runs, SEED).await, SEED);
}

/// Several legs at a time, drawn from a seed. `RUSHQUAY_STORMS` plays more of them, `RUSHQUAY_SEED` others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn storms_on_several_legs() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let (storms, seed) = (number("RUSHQUAY_STORMS").unwrap_or(32), number("RUSHQUAY_SEED").unwrap_or(SEED));
    let dice = rushquay_fault_injection::RuleRng::new(seed);
    let storm = |i: u64| {
        let mut cells: Vec<Cell> = Vec::new();
        for (n, leg) in Leg::ALL.into_iter().enumerate() {
            let of: Vec<Cell> = Cell::all().into_iter().filter(|c| c.leg == leg).collect();
            let name = format!("{n}");
            if dice.part(&name, 2 * i) < 0.5 {
                cells.push(of[dice.draw(&name, 2 * i + 1) as usize % of.len()]);
            }
        }
        cells
    };
    let runs = (0..storms).map(storm).filter(|cells| cells.len() > 1).collect();
    judge(&play(runs, seed).await, seed);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_clients_leg() {
    leg(Leg::Client).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_nodes_legs() {
    leg(Leg::Node).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_origins_leg() {
    leg(Leg::Origin).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn discoverys_leg() {
    leg(Leg::Discovery).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_leg_between_control_service_and_subscriber() {
    leg(Leg::Control).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_leg_between_control_service_and_its_discovery() {
    leg(Leg::ControlDiscovery).await;
}
