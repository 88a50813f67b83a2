//! How long a change of policy takes, in virtual time over the coordinator and members themselves: from the proposal to the decision and to
//! the last proxy's new, with the words and writes that it costs. `cargo run --release -p rushquay-policy --example policy_figures`.

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
/// As the program has it where nothing is said.
const ASK_EVERY: u64 = SECOND;
const LOOK_EVERY: u64 = 100 * MILLI;
/// One way, drawn evenly up to twice this.
const WAY: u64 = 5 * MILLI;
/// What a write to the store takes.
const WRITE: u64 = 5 * MILLI;

/// What goes wrong as the change is proposed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// One proxy is dead.
    OneDead,
    /// A quarter of the proxies is cut off.
    QuarterCut,
    /// The leader dies with the proposal kept; another takes over after so long.
    Takeover(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A member asks, in its turn or since it was told something.
    Ask(usize),
    /// An ask comes to the leader.
    Asked(usize, u64),
    /// The leader looks.
    Look,
    /// A leave comes to a member.
    Granted(usize, u64),
    /// What holds was told to all: each asks at once.
    Told(usize),
    /// Another leads.
    Leads,
}

struct Play {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    random: Pcg64Mcg,
    members: Vec<Member>,
    /// Cut off or dead from the proposal on.
    away: Vec<bool>,
    coordinator: Option<Coordinator>,
    /// Asks on their way and at the leader, and leaves on their way.
    asks: Vec<rushquay_policy::LeaseRequest>,
    grants: Vec<LeaseGrant>,
    waiting: Vec<(usize, u64)>,
    words: u64,
    writes: u64,
}

impl Play {
    fn at(&mut self, when: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((when, self.order, event)));
    }

    fn way(&mut self) -> u64 {
        self.random.random_range(0..2 * WAY)
    }

    fn tell_all(&mut self) {
        for m in 0..self.members.len() {
            if !self.away[m] {
                self.words += 1;
                let when = self.now + self.way();
                self.at(when, Event::Told(m));
            }
        }
    }

    fn ask(&mut self, m: usize) {
        let ask = self.members[m].ask(self.now);
        if self.away[m] {
            return;
        }
        self.words += 1;
        self.asks.push(ask);
        let (number, when) = (self.asks.len() as u64 - 1, self.now + self.way());
        self.at(when, Event::Asked(m, number));
    }

    fn step(&mut self) {
        let Some(Reverse((when, _, event))) = self.events.pop() else { return };
        self.now = when;
        match event {
            Event::Ask(m) => {
                self.ask(m);
                self.at(when + ASK_EVERY, Event::Ask(m));
            }
            Event::Told(m) => self.ask(m),
            Event::Asked(m, number) if self.coordinator.is_some() => self.waiting.push((m, number)),
            Event::Asked(..) => {}
            Event::Leads => {}
            Event::Granted(m, number) => {
                let grant = self.grants[number as usize];
                if !self.away[m] && self.members[m].granted(&grant, |_| Ok(())) {
                    // Whoever waits for it hears at once.
                    self.ask(m);
                }
            }
            Event::Look => {
                self.at(when + LOOK_EVERY, Event::Look);
                let Some(coordinator) = &mut self.coordinator else { return };
                if let Some(record) = coordinator.step(when) {
                    self.writes += 1;
                    self.now += WRITE;
                    coordinator.kept(record, self.now);
                    self.tell_all();
                }
                let Some(coordinator) = &mut self.coordinator else { return };
                let asked = std::mem::take(&mut self.waiting);
                let names = asked.iter().map(|(m, number)| {
                    let ask = &self.asks[*number as usize];
                    (*m, coordinator.hear(&format!("p{m}"), ask, self.now).expect("a leave"))
                });
                let granted: Vec<(usize, LeaseGrant)> = names.collect();
                for (m, grant) in granted {
                    self.words += 1;
                    self.grants.push(grant);
                    let (number, when) = (self.grants.len() as u64 - 1, self.now + self.way());
                    self.at(when, Event::Granted(m, number));
                }
            }
        }
    }
}

/// Seconds to the decision, seconds to the last proxy's new, and words and writes on the way.
fn change(proxies: usize, fault: Fault, seed: u64) -> (f64, f64, u64, u64) {
    let terms =
        LeaseTerms { span: 10 * SECOND, drift_ppm: 10_000, limit: 120 * SECOND, floor: 3600 * SECOND };
    let members =
        (0..proxies).map(|m| Member::new(Incarnation(m as u64 + 1), StartupPolicy::Waits, 0)).collect();
    let mut play = Play {
        now: 0,
        events: BinaryHeap::new(),
        order: 0,
        random: Pcg64Mcg::seed_from_u64(seed),
        members,
        away: vec![false; proxies],
        coordinator: Some(Coordinator::lead(terms, PolicyRecord::default(), 0)),
        asks: Vec::new(),
        grants: Vec::new(),
        waiting: Vec::new(),
        words: 0,
        writes: 0,
    };
    for m in 0..proxies {
        let first = play.random.random_range(0..ASK_EVERY);
        play.at(first, Event::Ask(m));
    }
    play.at(0, Event::Look);
    // The leader has led for longer than its predecessors' leaves last.
    let begin = 20 * SECOND + play.random.random_range(0..SECOND);
    while play.now < begin {
        play.step();
    }
    let (words, writes) = (play.words, play.writes);
    match fault {
        Fault::None | Fault::Takeover(_) => {}
        Fault::OneDead => play.away[0] = true,
        Fault::QuarterCut => play.away[..proxies / 4].fill(true),
    }
    let record = play.coordinator.as_ref().expect("it leads").record();
    let proposed = record.propose(("a", "b"), None).expect("proposed");
    play.writes += 1;
    play.now += WRITE;
    let from = play.now;
    match fault {
        Fault::Takeover(after) => {
            play.coordinator = None;
            play.at(from + after, Event::Leads);
            while play.now < from + after {
                play.step();
            }
            play.coordinator = Some(Coordinator::lead(terms, proposed, play.now));
        }
        _ => play.coordinator.as_mut().expect("it leads").kept(proposed, from),
    }
    play.tell_all();
    let mut decided = None;
    loop {
        play.step();
        let record = play.coordinator.as_ref().expect("it leads").record();
        if decided.is_none() && matches!(record.last, Some((_, ChangeOutcome::Committed))) {
            decided = Some(play.now);
        }
        let new = ActivePolicy::Leased(PolicySet::Pure(record.holds));
        let all = (0..proxies).all(|m| play.away[m] || play.members[m].acting(play.now) == new);
        if let (Some(decided), true) = (decided, all) {
            let seconds = |at: u64| (at - from) as f64 / SECOND as f64;
            return (seconds(decided), seconds(play.now), play.words - words, play.writes - writes);
        }
        assert!(play.now < from + 200 * SECOND, "it never ended");
    }
}

fn main() {
    println!("| proxies | fault | decided after, s | last proxy's new after, s | words a proxy | writes |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let faults = [Fault::None, Fault::OneDead, Fault::QuarterCut, Fault::Takeover(5 * SECOND)];
    for proxies in [10, 40, 300, 10_000] {
        for fault in faults {
            let seeds = if proxies > 1000 { 3 } else { 30 };
            let plays: Vec<_> = (1..=seeds).map(|seed| change(proxies, fault, seed)).collect();
            let most = |of: fn(&(f64, f64, u64, u64)) -> f64| plays.iter().map(of).fold(0.0, f64::max);
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
