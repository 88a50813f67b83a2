//! Measures how long a change of policy takes, in virtual time over the coordinator and members themselves: from the proposal to the
//! decision and until the last proxy applies the new policy, with the messages and writes that it costs.
//!
//! `cargo run --release -p rushquay-policy --example policy_figures`

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_policy::{
    ActivePolicy, ChangeOutcome, Coordinator, Incarnation, LeaseGrant, LeaseTerms, Member, PolicyRecord,
    PolicySet, StartupPolicy,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MILLI: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLI;
/// The program's default.
const REQUEST_INTERVAL: u64 = SECOND;
const STEP_INTERVAL: u64 = 100 * MILLI;
/// Mean one-way latency; drawn evenly up to twice this.
const MEAN_LATENCY: u64 = 5 * MILLI;
/// Latency of a write to the store.
const WRITE_LATENCY: u64 = 5 * MILLI;

/// The fault at the time of the proposal.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// One proxy is dead.
    OneDead,
    /// A quarter of the proxies are partitioned.
    QuarterCut,
    /// The leader dies after the proposal is persisted; another takes over after so long.
    Takeover(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A member sends its periodic request, or one after a broadcast.
    SendRequest(usize),
    /// A request reaches the leader.
    Request(usize, u64),
    /// The leader's periodic step.
    Step,
    /// A grant reaches a member.
    Granted(usize, u64),
    /// A broadcast reaches a member, which sends a request at once.
    Broadcast(usize),
    /// Another leader takes over.
    Leads,
}

struct Simulation {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    random: Pcg64Mcg,
    members: Vec<Member>,
    /// Partitioned or dead from the proposal on.
    away: Vec<bool>,
    coordinator: Option<Coordinator>,
    /// Requests in flight and at the leader, and grants in flight.
    requests: Vec<rushquay_policy::LeaseRequest>,
    grants: Vec<LeaseGrant>,
    waiting: Vec<(usize, u64)>,
    messages: u64,
    writes: u64,
}

impl Simulation {
    fn at(&mut self, when: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((when, self.order, event)));
    }

    fn latency(&mut self) -> u64 {
        self.random.random_range(0..2 * MEAN_LATENCY)
    }

    fn broadcast(&mut self) {
        for m in 0..self.members.len() {
            if !self.away[m] {
                self.messages += 1;
                let when = self.now + self.latency();
                self.at(when, Event::Broadcast(m));
            }
        }
    }

    fn ask(&mut self, m: usize) {
        let ask = self.members[m].ask(self.now);
        if self.away[m] {
            return;
        }
        self.messages += 1;
        self.requests.push(ask);
        let (number, when) = (self.requests.len() as u64 - 1, self.now + self.latency());
        self.at(when, Event::Request(m, number));
    }

    fn step(&mut self) {
        let Some(Reverse((when, _, event))) = self.events.pop() else { return };
        self.now = when;
        match event {
            Event::SendRequest(m) => {
                self.ask(m);
                self.at(when + REQUEST_INTERVAL, Event::SendRequest(m));
            }
            Event::Broadcast(m) => self.ask(m),
            Event::Request(m, number) if self.coordinator.is_some() => self.waiting.push((m, number)),
            Event::Request(..) => {}
            Event::Leads => {}
            Event::Granted(m, number) => {
                let grant = self.grants[number as usize];
                if !self.away[m] && self.members[m].granted(&grant, |_| Ok(())) {
                    // The member reports what it applies at once.
                    self.ask(m);
                }
            }
            Event::Step => {
                self.at(when + STEP_INTERVAL, Event::Step);
                let Some(coordinator) = &mut self.coordinator else { return };
                if let Some(record) = coordinator.step(when) {
                    self.writes += 1;
                    self.now += WRITE_LATENCY;
                    coordinator.kept(record, self.now);
                    self.broadcast();
                }
                let Some(coordinator) = &mut self.coordinator else { return };
                let asked = std::mem::take(&mut self.waiting);
                let names = asked.iter().map(|(m, number)| {
                    let ask = &self.requests[*number as usize];
                    (*m, coordinator.hear(&format!("p{m}"), ask, self.now).expect("a leave"))
                });
                let granted: Vec<(usize, LeaseGrant)> = names.collect();
                for (m, grant) in granted {
                    self.messages += 1;
                    self.grants.push(grant);
                    let (number, when) = (self.grants.len() as u64 - 1, self.now + self.latency());
                    self.at(when, Event::Granted(m, number));
                }
            }
        }
    }
}

/// Seconds to the decision, seconds until the last proxy applies the new policy, and the messages and writes meanwhile.
fn change(proxies: usize, fault: Fault, seed: u64) -> (f64, f64, u64, u64) {
    let terms =
        LeaseTerms { span: 10 * SECOND, drift_ppm: 10_000, limit: 120 * SECOND, floor: 3600 * SECOND };
    let members =
        (0..proxies).map(|m| Member::new(Incarnation(m as u64 + 1), StartupPolicy::Waits, 0)).collect();
    let mut simulation = Simulation {
        now: 0,
        events: BinaryHeap::new(),
        order: 0,
        random: Pcg64Mcg::seed_from_u64(seed),
        members,
        away: vec![false; proxies],
        coordinator: Some(Coordinator::lead(terms, PolicyRecord::default(), 0)),
        requests: Vec::new(),
        grants: Vec::new(),
        waiting: Vec::new(),
        messages: 0,
        writes: 0,
    };
    for m in 0..proxies {
        let first = simulation.random.random_range(0..REQUEST_INTERVAL);
        simulation.at(first, Event::SendRequest(m));
    }
    simulation.at(0, Event::Step);
    // The leader has led for longer than its predecessors' leases last.
    let begin = 20 * SECOND + simulation.random.random_range(0..SECOND);
    while simulation.now < begin {
        simulation.step();
    }
    let (words, writes) = (simulation.messages, simulation.writes);
    match fault {
        Fault::None | Fault::Takeover(_) => {}
        Fault::OneDead => simulation.away[0] = true,
        Fault::QuarterCut => simulation.away[..proxies / 4].fill(true),
    }
    let record = simulation.coordinator.as_ref().expect("it leads").record();
    let proposed = record.propose(("a", "b"), None).expect("proposed");
    simulation.writes += 1;
    simulation.now += WRITE_LATENCY;
    let from = simulation.now;
    match fault {
        Fault::Takeover(after) => {
            simulation.coordinator = None;
            simulation.at(from + after, Event::Leads);
            while simulation.now < from + after {
                simulation.step();
            }
            simulation.coordinator = Some(Coordinator::lead(terms, proposed, simulation.now));
        }
        _ => simulation.coordinator.as_mut().expect("it leads").kept(proposed, from),
    }
    simulation.broadcast();
    let mut decided = None;
    loop {
        simulation.step();
        let record = simulation.coordinator.as_ref().expect("it leads").record();
        if decided.is_none() && matches!(record.last, Some((_, ChangeOutcome::Committed))) {
            decided = Some(simulation.now);
        }
        let new = ActivePolicy::Leased(PolicySet::Pure(record.holds));
        let all =
            (0..proxies).all(|m| simulation.away[m] || simulation.members[m].acting(simulation.now) == new);
        if let (Some(decided), true) = (decided, all) {
            let seconds = |at: u64| (at - from) as f64 / SECOND as f64;
            return (
                seconds(decided),
                seconds(simulation.now),
                simulation.messages - words,
                simulation.writes - writes,
            );
        }
        assert!(simulation.now < from + 200 * SECOND, "it never ended");
    }
}

fn main() {
    println!("| proxies | fault | decided after, s | last proxy's new after, s | words a proxy | writes |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let faults = [Fault::None, Fault::OneDead, Fault::QuarterCut, Fault::Takeover(5 * SECOND)];
    for proxies in [10, 40, 300, 10_000] {
        for fault in faults {
            let seeds = if proxies > 1000 { 3 } else { 30 };
            let simulations: Vec<_> = (1..=seeds).map(|seed| change(proxies, fault, seed)).collect();
            let most = |of: fn(&(f64, f64, u64, u64)) -> f64| simulations.iter().map(of).fold(0.0, f64::max);
            let words = most(|p| p.2 as f64) / proxies as f64;
            println!(
                "| {proxies} | {fault:?} | {:.2} | {:.2} | {words:.1} | {} |",
                most(|p| p.0),
                most(|p| p.1),
                most(|p| p.3 as f64)
            );
        }
    }
}
