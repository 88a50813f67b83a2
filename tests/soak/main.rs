//! A soak over a few dozen real processes: proxies, control services on one store, nodes and discovery, strict clients of all habits,
//! and two or three troubles at a time, drawn from a seed. It is judged by invariants alone: what clients were promised, what nodes
//! got, and what the proxies themselves count as broken rules.
//!
//! In one play processes that are told to end are awaited; in the other they are killed as soon as they may be, signals come in series, and
//! seeds that are even have a crowd of idle clients.
//!
//! `RUSHQUAY_SEED=7` plays another one, `RUSHQUAY_SOAK=40` so many rounds, `RUSHQUAY_SEEDS=10` so many seeds one after another,
//! `RUSHQUAY_TROUBLES=6` up to so many troubles at a time, `RUSHQUAY_PROXIES=4` so many proxies in each data centre,
//! `RUSHQUAY_PROGRAM=FILE` another version of the program.

mod crowd;
mod judge;
mod troubles;

use crowd::Crowd;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_fleet_harness::{told, Fleet, Shape, StrictClients};
use std::time::Duration;
use troubles::{Ending, Troubles};

/// Proxies in each of three data centres; with the control services a few dozen processes.
const PROXIES: u64 = 7;
const CONTROLS: usize = 3;
/// What a request's client waits for, and the class gives.
const WITHIN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(60);
/// Idle clients of each proxy, where there is a crowd.
const CROWD: usize = 40;

/// The program that is played: this one, or another version of it.
fn program() -> String {
    std::env::var("RUSHQUAY_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_rushquay").to_owned())
}

fn shape(seed: u64) -> Shape {
    let proxies = told("RUSHQUAY_PROXIES", PROXIES) as usize;
    Shape { proxies, controls: CONTROLS, deadline: WITHIN, ..Shape::new(&program(), seed) }
}

/// The wall clocks of a play.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WallClocks {
    /// Right but for those that are stepped among other troubles; nodes do not tell when they started.
    Mostly,
    /// Each process has its own from each start on, wrong or stepped again and again; nodes tell when they started, and some drains are
    /// told by discovery alone.
    Own,
}

/// What the clocks of a play are drawn from, apart from its troubles.
const CLOCK_STREAM: u64 = 0xc10c;
/// How long ago the nodes have started, where they tell.
const NODE_AGE: Duration = Duration::from_secs(7_200);

async fn soak(seed: u64, rounds: u64, how: Ending) {
    soak_with(seed, rounds, how, WallClocks::Mostly).await;
}

async fn soak_with(seed: u64, rounds: u64, how: Ending, wall_clocks: WallClocks) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut clocks = Pcg64Mcg::seed_from_u64(seed ^ CLOCK_STREAM);
    let node_age = (wall_clocks == WallClocks::Own).then_some(NODE_AGE);
    let mut preload = |fleet: &mut Fleet| match wall_clocks {
        WallClocks::Mostly => troubles::preload(fleet, seed),
        WallClocks::Own => troubles::preload_clocks(fleet, seed, &mut clocks),
    };
    let mut fleet = Fleet::start_with(Shape { node_age, ..shape(seed) }, &mut preload).await;
    let clients: Vec<StrictClients> = fleet
        .proxies
        .iter()
        .enumerate()
        .map(|(n, p)| StrictClients::start(p.listen, &p.name, seed ^ ((n as u64) << 32), WITHIN, PAUSE))
        .collect();
    // Some plays have a crowd besides, well within each proxy's bound on connections.
    let has_crowd = how == Ending::Killed && seed.is_multiple_of(2);
    let crowds: Vec<Crowd> =
        fleet.proxies.iter().filter(|_| has_crowd).map(|p| Crowd::start(p.listen, CROWD)).collect();
    let mut troubles = Troubles::new(&clients, how, wall_clocks == WallClocks::Own);
    for _ in 0..rounds {
        for _ in 0..random.random_range(2..=told("RUSHQUAY_TROUBLES", 3)) {
            troubles.begin(&mut fleet, &mut random).await;
        }
        // Who starts from here on has another clock.
        preload(&mut fleet);
        let time = Duration::from_millis(random.random_range(400..1800));
        troubles.pass(&mut fleet, time).await;
        judge::somebody_leads(&fleet).await;
        if random.random::<f64>() < 0.7 {
            troubles.mend(&mut fleet).await;
        }
    }
    troubles.mend(&mut fleet).await;
    troubles.mend_control(&fleet);
    judge::somebody_leads(&fleet).await;
    drop(crowds);
    let drains = troubles.drains();
    let mut clients = clients;
    clients.iter_mut().for_each(StrictClients::stop);
    // What is on its way arrives.
    tokio::time::sleep(Duration::from_millis(500)).await;
    judge::all(&fleet, &clients, &drains, seed);
}

/// Plays share the file while which calls fail, and the machine.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn soak_seeds(first: u64, how: Ending, wall_clocks: WallClocks) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let (first, rounds) = (told("RUSHQUAY_SEED", first), told("RUSHQUAY_SOAK", 8));
    for seed in first..first + told("RUSHQUAY_SEEDS", 1) {
        soak_with(seed, rounds, how, wall_clocks).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_promise_is_broken_under_troubles_that_overlap() {
    soak_seeds(3901, Ending::Awaited, WallClocks::Mostly).await;
}

/// Guards against a stop that needs longer than a process is given: clients use open connections until it is killed, and signals come in
/// series.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_promise_is_broken_where_processes_are_killed_as_soon_as_they_may_be() {
    soak_seeds(4802, Ending::Killed, WallClocks::Mostly).await;
}

/// Guards against drains that are not followed, and promises that are broken, where the wall clock of each process is wrong in its own way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_promise_is_broken_where_wall_clocks_are_wrong() {
    soak_seeds(7501, Ending::Killed, WallClocks::Own).await;
}

/// Guards against an attempt that tells its node of more time than its client has, behind a stand-still of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_deadline_is_overstated_behind_a_stand_still() {
    let _alone = ONE_AT_A_TIME.lock().await;
    soak(5021, 8, Ending::Killed).await;
}

/// Guards against two processes that serve beside each other without a hand-over, because the new one came while the old one was starting.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_upgrade_right_behind_a_start_hands_over() {
    let _alone = ONE_AT_A_TIME.lock().await;
    soak(6525, 8, Ending::Killed).await;
}
