//! Measures in virtual time, with the real coordinator and members, how long a change of policy takes from the proposal to the decision
//! and until the last proxy applies the new policy, and how many messages and writes it needs.
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
/// The default interval between a proxy's lease requests.
const REQUEST_INTERVAL: u64 = SECOND;
const STEP_INTERVAL: u64 = 100 * MILLI;
/// Mean one-way latency; each latency is drawn uniformly from zero to twice this.
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
    QuarterPartitioned,
    /// The leader crashes after the proposal is persisted; another leader takes over after this time.
    Takeover(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A member sends its periodic request.
    SendRequest(usize),
    /// A request reaches the leader.
    ReceiveRequest(usize, u64),
    /// The leader's periodic step.
    Step,
    /// A grant reaches a member.
    ReceiveGrant(usize, u64),
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
    /// Whether a member is partitioned or dead, from the proposal on.
    unreachable: Vec<bool>,
    coordinator: Option<Coordinator>,
    /// All requests and grants sent; events refer to them by index.
    requests: Vec<rushquay_policy::LeaseRequest>,
    grants: Vec<LeaseGrant>,
    /// Requests at the leader that are answered in its next step.
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
            if !self.unreachable[m] {
                self.messages += 1;
                let when = self.now + self.latency();
                self.at(when, Event::Broadcast(m));
            }
        }
    }

    fn ask(&mut self, m: usize) {
        let request = self.members[m].next_request(self.now);
        if self.unreachable[m] {
            return;
        }
        self.messages += 1;
        self.requests.push(request);
        let (number, when) = (self.requests.len() as u64 - 1, self.now + self.latency());
        self.at(when, Event::ReceiveRequest(m, number));
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
            Event::ReceiveRequest(m, number) if self.coordinator.is_some() => self.waiting.push((m, number)),
            Event::ReceiveRequest(..) => {}
            Event::Leads => {}
            Event::ReceiveGrant(m, number) => {
                let grant = self.grants[number as usize];
                if !self.unreachable[m] && self.members[m].process_grant(&grant, |_| Ok(())) {
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
                    coordinator.adopt_record(record, self.now);
                    self.broadcast();
                }
                let Some(coordinator) = &mut self.coordinator else { return };
                let waiting = std::mem::take(&mut self.waiting);
                let grants = waiting.iter().map(|(m, number)| {
                    let request = &self.requests[*number as usize];
                    (*m, coordinator.grant_lease(&format!("p{m}"), request, self.now).expect("a lease"))
                });
                let granted: Vec<(usize, LeaseGrant)> = grants.collect();
                for (m, grant) in granted {
                    self.messages += 1;
                    self.grants.push(grant);
                    let (number, when) = (self.grants.len() as u64 - 1, self.now + self.latency());
                    self.at(when, Event::ReceiveGrant(m, number));
                }
            }
        }
    }
}

/// Seconds to the decision, seconds until the last proxy applies the new policy, and the messages and writes meanwhile.
fn measure_change(proxies: usize, fault: Fault, seed: u64) -> (f64, f64, u64, u64) {
    let terms = LeaseTerms {
        lease_duration: 10 * SECOND,
        drift_ppm: 10_000,
        change_timeout: 120 * SECOND,
        fallback_duration: 3600 * SECOND,
    };
    let members =
        (0..proxies).map(|m| Member::new(Incarnation(m as u64 + 1), StartupPolicy::ServeNobody, 0)).collect();
    let mut simulation = Simulation {
        now: 0,
        events: BinaryHeap::new(),
        order: 0,
        random: Pcg64Mcg::seed_from_u64(seed),
        members,
        unreachable: vec![false; proxies],
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
    // By then the leases of previous leaders have expired.
    let proposed_at = 20 * SECOND + simulation.random.random_range(0..SECOND);
    while simulation.now < proposed_at {
        simulation.step();
    }
    let (messages_before, writes_before) = (simulation.messages, simulation.writes);
    match fault {
        Fault::None | Fault::Takeover(_) => {}
        Fault::OneDead => simulation.unreachable[0] = true,
        Fault::QuarterPartitioned => simulation.unreachable[..proxies / 4].fill(true),
    }
    let record = simulation.coordinator.as_ref().expect("a leader is in office").record();
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
        _ => simulation.coordinator.as_mut().expect("a leader is in office").adopt_record(proposed, from),
    }
    simulation.broadcast();
    let mut decided = None;
    loop {
        simulation.step();
        let record = simulation.coordinator.as_ref().expect("a leader is in office").record();
        if decided.is_none() && matches!(record.last, Some((_, ChangeOutcome::Committed))) {
            decided = Some(simulation.now);
        }
        let new = ActivePolicy::Leased(PolicySet::Pure(record.in_force));
        let all_apply_new = (0..proxies)
            .all(|m| simulation.unreachable[m] || simulation.members[m].acting(simulation.now) == new);
        if let (Some(decided), true) = (decided, all_apply_new) {
            let seconds = |at: u64| (at - from) as f64 / SECOND as f64;
            return (
                seconds(decided),
                seconds(simulation.now),
                simulation.messages - messages_before,
                simulation.writes - writes_before,
            );
        }
        assert!(simulation.now < from + 200 * SECOND, "the change did not end");
    }
}

fn main() {
    println!("| proxies | fault | decided after, s | last proxy applies it after, s | messages per proxy | writes |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let faults = [Fault::None, Fault::OneDead, Fault::QuarterPartitioned, Fault::Takeover(5 * SECOND)];
    for proxies in [10, 40, 300, 10_000] {
        for fault in faults {
            let seeds = if proxies > 1000 { 3 } else { 30 };
            let simulations: Vec<_> = (1..=seeds).map(|seed| measure_change(proxies, fault, seed)).collect();
            let maximum =
                |of: fn(&(f64, f64, u64, u64)) -> f64| simulations.iter().map(of).fold(0.0, f64::max);
            let messages_per_proxy = maximum(|p| p.2 as f64) / proxies as f64;
            println!(
                "| {proxies} | {fault:?} | {:.2} | {:.2} | {messages_per_proxy:.1} | {} |",
                maximum(|p| p.0),
                maximum(|p| p.1),
                maximum(|p| p.3 as f64)
            );
        }
    }
}
