//! Every order of words, losses, crashes and takeovers at a small size: three proxies and two leaders on one store, with leaves that
//! run out. In each state no two policies hold alone at once, and none holds that was not decided; from each, once faults are over, the
//! change ends everywhere alike.

use rushquay_policy::{
    ActivePolicy, ChangeOutcome, Coordinator, Incarnation, LeaseGrant, LeaseRequest, LeaseTerms, Member,
    Phase, PolicyNumber, PolicyRecord, PolicySet, Revision, StartupPolicy,
};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Ticks.
const SPAN: u64 = 2;
const LEASE: u64 = 2;
const FLOOR: u64 = 1;
const LIMIT: u64 = 5;
const LAST: u64 = 14;
/// Faults on a way.
const FAULTS: u8 = 3;
const NAMES: [&str; 3] = ["p0", "p1", "p2"];

/// What is taken out, to see that it is missed.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Without {
    Nothing,
    /// A leave counts from when the grant came.
    CountingFromTheAsk,
    /// What was told holds however long ago that was.
    LeavesThatRunOut,
    /// Members take word of an earlier revision.
    RevisionsInOrder,
    /// Members take answers to asks of an earlier process.
    BootsAndNumbers,
    /// A process that takes over goes on with the leave of the one before.
    LeavesOfOnesOwn,
    /// A change is committed though some have not joined and may still act by the old.
    WaitingForAll,
    /// A new leader does not wait for what its predecessor granted.
    WaitingAfterATakeover,
    /// A leader tells members before its decision is in the store.
    KeepingFirst,
    /// The store takes writes of a lease that is over.
    TheFenceOfTheStore,
    /// A leader grants after its lease is over.
    TheLease,
    /// Old goes to new with no joint phase between.
    TheJointPhase,
}

const ALL: [Without; 11] = [
    Without::CountingFromTheAsk,
    Without::LeavesThatRunOut,
    Without::RevisionsInOrder,
    Without::BootsAndNumbers,
    Without::LeavesOfOnesOwn,
    Without::WaitingForAll,
    Without::WaitingAfterATakeover,
    Without::KeepingFirst,
    Without::TheFenceOfTheStore,
    Without::TheLease,
    Without::TheJointPhase,
];

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    epoch: u64,
    lease: u64,
    stopped: bool,
    coordinator: Coordinator,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    now: u64,
    store: PolicyRecord,
    epoch: u64,
    /// Until when nobody else may lead.
    lease: u64,
    leaders: [Option<Leader>; 2],
    members: [Member; 3],
    /// A process that has handed over and still serves.
    before: Option<Member>,
    boots: u64,
    /// A write of a leader that has crashed since, on its way to the store, and its epoch.
    writing: Option<(u64, PolicyRecord)>,
    /// Grants on their way, and when what they answer was asked.
    net: Vec<(usize, LeaseGrant, u64)>,
    /// The last ask of each, to come once more.
    asked: [Option<(LeaseRequest, u64)>; 3],
    /// What the store ever had decided.
    decided: BTreeSet<PolicyNumber>,
    /// How each change ended, by the store: committed or not; and one that ended both ways.
    ends: BTreeMap<PolicyNumber, bool>,
    both: Option<PolicyNumber>,
    faults: u8,
    proposals: u8,
    withdrawals: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    /// A member asks a leader, whose answer is on its way then.
    Exchange(usize, usize),
    /// A grant arrives; it may come once more.
    Deliver(usize, bool),
    /// The last ask of a member comes again, or late.
    Again(usize, usize),
    /// A leader looks whether a change has ended; it may crash with its write on the way.
    Decide(usize, bool),
    /// That write arrives.
    Arrive,
    Propose(usize),
    Withdraw(usize),
    Crash(usize),
    Stop(usize),
    Wake(usize),
    TakeOver(usize),
    Restart(usize),
    HandOver,
}

fn terms() -> LeaseTerms {
    LeaseTerms { span: SPAN, drift_ppm: 0, limit: LIMIT, floor: FLOOR }
}

fn member(boot: u64, now: u64) -> Member {
    Member::new(Incarnation(boot), StartupPolicy::Waits, now)
}

fn first() -> World {
    let record = PolicyRecord::default();
    let coordinator = Coordinator::lead(terms(), record.clone(), 0);
    World {
        now: 0,
        store: record,
        epoch: 1,
        lease: LEASE,
        leaders: [Some(Leader { epoch: 1, lease: LEASE, stopped: false, coordinator }), None],
        members: [member(1, 0), member(2, 0), member(3, 0)],
        before: None,
        boots: 3,
        writing: None,
        net: Vec::new(),
        asked: [None, None, None],
        decided: BTreeSet::from([PolicyNumber(0)]),
        ends: BTreeMap::new(),
        both: None,
        faults: 0,
        proposals: 0,
        withdrawals: 0,
    }
}

impl World {
    fn leads(&self, l: usize, without: Without) -> bool {
        let leads =
            |leader: &Leader| !leader.stopped && (self.now < leader.lease || without == Without::TheLease);
        self.leaders[l].as_ref().is_some_and(leads)
    }

    fn steps(&self, without: Without) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.now < LAST {
            steps.push(Step::Tick);
        }
        for l in 0..2 {
            let Some(leader) = &self.leaders[l] else {
                if self.now >= self.lease {
                    steps.push(Step::TakeOver(l));
                }
                continue;
            };
            if leader.stopped {
                steps.push(Step::Wake(l));
                continue;
            }
            if self.leads(l, without) {
                steps.extend((0..3).map(|m| Step::Exchange(m, l)));
                let joint = matches!(leader.coordinator.record().phase, Phase::Joint(_));
                if joint {
                    steps.push(Step::Decide(l, false));
                }
                if !joint && self.proposals < 2 {
                    steps.push(Step::Propose(l));
                }
                if joint && self.withdrawals < 1 {
                    steps.push(Step::Withdraw(l));
                }
                if self.faults < FAULTS {
                    steps.push(Step::Crash(l));
                    steps.push(Step::Stop(l));
                    if joint {
                        steps.push(Step::Decide(l, true));
                    }
                    steps.extend((0..3).filter(|m| self.asked[*m].is_some()).map(|m| Step::Again(m, l)));
                }
            }
        }
        for n in 0..self.net.len() {
            steps.push(Step::Deliver(n, false));
            if self.faults < FAULTS {
                steps.push(Step::Deliver(n, true));
            }
        }
        if self.writing.is_some() {
            steps.push(Step::Arrive);
        }
        if self.faults < FAULTS {
            steps.push(Step::Restart(1));
            if self.before.is_none() {
                steps.push(Step::HandOver);
            }
        }
        steps
    }

    fn send(&mut self, m: usize, grant: LeaseGrant, asked: u64) {
        // Two of one member's are on their way at the most: the older one is lost.
        let of = |net: &[(usize, LeaseGrant, u64)]| net.iter().filter(|(to, ..)| *to == m).count();
        if of(&self.net) >= 2 {
            let at = self.net.iter().position(|(to, ..)| *to == m).expect("two");
            self.net.remove(at);
        }
        self.net.push((m, grant, asked));
    }

    /// The store takes a record, unless the epoch is over.
    fn store(&mut self, epoch: u64, record: PolicyRecord, without: Without) -> bool {
        if epoch != self.epoch && without != Without::TheFenceOfTheStore {
            return false;
        }
        self.store = record;
        if let Some((number, how)) = &self.store.last {
            let committed = *how == ChangeOutcome::Committed;
            if self.ends.insert(*number, committed).is_some_and(|before| before != committed) {
                self.both = Some(*number);
            }
        }
        if self.store.phase == Phase::Settled {
            self.decided.insert(self.store.holds);
        }
        true
    }

    /// A leader writes a record; `crashes`: it does so with its write on the way.
    fn keep(&mut self, l: usize, record: PolicyRecord, crashes: bool, without: Without) {
        let Some(leader) = &mut self.leaders[l] else { return };
        let epoch = leader.epoch;
        if without == Without::KeepingFirst && crashes {
            // It tells already, and the store hears of it never.
            return leader.coordinator.kept(record, self.now);
        }
        if crashes {
            self.writing = Some((epoch, record));
            self.leaders[l] = None;
        } else if self.store(epoch, record.clone(), without) {
            let now = self.now;
            self.leaders[l].iter_mut().for_each(|leader| leader.coordinator.kept(record.clone(), now));
        } else {
            self.leaders[l] = None;
        }
    }

    fn take(&mut self, step: Step, without: Without) {
        let fault = matches!(
            step,
            Step::Crash(_)
                | Step::Stop(_)
                | Step::Restart(_)
                | Step::HandOver
                | Step::Again(..)
                | Step::Decide(_, true)
                | Step::Deliver(_, true)
        );
        self.faults += u8::from(fault);
        let now = self.now;
        match step {
            Step::Tick => {
                self.now += 1;
                let (now, epoch) = (self.now, self.epoch);
                for leader in self.leaders.iter_mut().flatten() {
                    // It renews in time, unless it is stopped or another leads.
                    if !leader.stopped && leader.epoch == epoch && now <= leader.lease {
                        leader.lease = now + LEASE;
                        self.lease = now + LEASE;
                    }
                }
            }
            Step::Exchange(m, l) => {
                let ask = self.members[m].ask(now);
                self.asked[m] = Some((ask.clone(), now));
                let Some(leader) = &mut self.leaders[l] else { return };
                if let Some(grant) = leader.coordinator.hear(NAMES[m], &ask, now) {
                    self.send(m, grant, now);
                }
            }
            Step::Again(m, l) => {
                let Some((ask, asked)) = self.asked[m].clone() else { return };
                let Some(leader) = &mut self.leaders[l] else { return };
                if let Some(grant) = leader.coordinator.hear(NAMES[m], &ask, now) {
                    self.send(m, grant, asked);
                }
            }
            Step::Deliver(n, again) => {
                let (m, mut grant, asked) = self.net[n];
                if !again {
                    self.net.remove(n);
                }
                let member = &mut self.members[m];
                if without == Without::CountingFromTheAsk {
                    grant.span += now - asked;
                }
                if without == Without::BootsAndNumbers {
                    // As if it answered what this process asks just now.
                    let ask = member.ask(now);
                    (grant.boot, grant.seq) = (ask.boot, ask.seq);
                }
                if without == Without::RevisionsInOrder {
                    grant.revision = Revision(grant.revision.0.max(member.revision().0 + 1));
                }
                member.granted(&grant, |_| Ok(()));
            }
            Step::Decide(l, lost) => {
                let Some(leader) = &mut self.leaders[l] else { return };
                let decided = match without {
                    Without::WaitingForAll => leader.coordinator.record().conclude(ChangeOutcome::Committed),
                    Without::WaitingAfterATakeover => {
                        // As if it had led for longer than any leave lasts.
                        let holdups = leader.coordinator.holdups(now);
                        let only = holdups.iter().all(|h| h.name.is_empty());
                        if only {
                            leader.coordinator.record().conclude(ChangeOutcome::Committed)
                        } else {
                            leader.coordinator.step(now)
                        }
                    }
                    _ => leader.coordinator.step(now),
                };
                if let Some(record) = decided {
                    self.keep(l, record, lost, without);
                }
            }
            Step::Arrive => {
                if let Some((epoch, record)) = self.writing.take() {
                    self.store(epoch, record, without);
                }
            }
            Step::Propose(l) => {
                let Some(leader) = &self.leaders[l] else { return };
                let proposed = leader.coordinator.record().propose(("a", "b"), None);
                if let Ok(mut record) = proposed {
                    self.proposals += 1;
                    if without == Without::TheJointPhase {
                        record = record.conclude(ChangeOutcome::Committed).expect("it was proposed");
                    }
                    self.keep(l, record, false, without);
                }
            }
            Step::Withdraw(l) => {
                let Some(leader) = &self.leaders[l] else { return };
                if let Ok(record) = leader.coordinator.record().withdraw("a", None) {
                    self.withdrawals += 1;
                    self.keep(l, record, false, without);
                }
            }
            Step::Crash(l) => self.leaders[l] = None,
            Step::Stop(l) => self.leaders[l].iter_mut().for_each(|leader| leader.stopped = true),
            Step::Wake(l) => {
                if let Some(leader) = &mut self.leaders[l] {
                    leader.stopped = false;
                    if now >= leader.lease
                        && without != Without::TheLease
                        && without != Without::TheFenceOfTheStore
                    {
                        self.leaders[l] = None;
                    }
                }
            }
            Step::TakeOver(l) => {
                self.epoch += 1;
                self.lease = now + LEASE;
                let coordinator = Coordinator::lead(terms(), self.store.clone(), now);
                self.leaders[l] =
                    Some(Leader { epoch: self.epoch, lease: now + LEASE, stopped: false, coordinator });
            }
            Step::Restart(m) => {
                self.boots += 1;
                self.members[m] = member(self.boots, now);
            }
            Step::HandOver => {
                self.boots += 1;
                let old = self.members[0].clone();
                // With its leave it goes on as the process that the leader knows, and the one before it acts by the same leave.
                if without != Without::LeavesOfOnesOwn {
                    self.members[0] =
                        Member::take_over(Incarnation(self.boots), StartupPolicy::Waits, old.snapshot(), now);
                }
                self.before = Some(old);
            }
        }
    }

    /// What each process acts by.
    fn acting(&self, without: Without) -> Vec<PolicySet> {
        let now = if without == Without::LeavesThatRunOut { 0 } else { self.now };
        let acts = |m: &Member| match m.acting(now) {
            ActivePolicy::Leased(told) => Some(told),
            ActivePolicy::Fallback | ActivePolicy::Denied => None,
        };
        self.members.iter().chain(&self.before).filter_map(acts).collect()
    }

    fn breach(&self, without: Without) -> Option<String> {
        let acting = self.acting(without);
        let numbers: BTreeSet<PolicyNumber> = acting
            .iter()
            .flat_map(|told| match *told {
                PolicySet::Pure(one) => vec![one],
                PolicySet::Joint(one, two) => vec![one, two],
            })
            .collect();
        if !acting.is_empty() && !numbers.iter().any(|n| acting.iter().all(|told| told.includes(*n))) {
            return Some(format!("no policy is obeyed by all: {acting:?}"));
        }
        if let Some(number) = self.both {
            return Some(format!("{number:?} was decided in two ways"));
        }
        let undecided = acting.iter().find_map(|told| match told {
            PolicySet::Pure(n) if !self.decided.contains(n) => Some(*n),
            _ => None,
        });
        undecided.map(|n| format!("{n:?} holds alone somewhere and was never decided"))
    }

    /// Once faults are over: whoever may leads, everybody asks and is heard, and all looks are taken.
    fn ends(&self) -> Result<(), String> {
        let mut world = self.clone();
        world.leaders.iter_mut().for_each(|l| {
            if l.as_ref().is_some_and(|l| l.stopped || l.epoch != self.epoch || self.now >= l.lease) {
                *l = None;
            }
        });
        (world.before, world.writing) = (None, None);
        for _ in 0..24 {
            world.now += 1;
            let now = world.now;
            if world.leaders.iter().all(Option::is_none) {
                if now < world.lease {
                    continue;
                }
                world.take(Step::TakeOver(0), Without::Nothing);
            }
            let l = world.leaders.iter().position(Option::is_some).expect("one leads");
            for leader in world.leaders.iter_mut().flatten() {
                leader.lease = now + LEASE;
            }
            world.lease = now + LEASE;
            for m in 0..3 {
                world.net.clear();
                world.take(Step::Exchange(m, l), Without::Nothing);
                world.take(Step::Deliver(0, false), Without::Nothing);
            }
            world.take(Step::Decide(l, false), Without::Nothing);
            if let Some(breach) = world.breach(Without::Nothing) {
                return Err(format!("on the way to the end: {breach}"));
            }
        }
        let all: Vec<ActivePolicy> = world.members.iter().map(|m| m.acting(world.now)).collect();
        let holds = ActivePolicy::Leased(PolicySet::Pure(world.store.holds));
        if world.store.phase != Phase::Settled || all.iter().any(|a| *a != holds) {
            return Err(format!("it does not end: {:?} and {all:?}", world.store.phase));
        }
        Ok(())
    }
}

fn digest(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

fn states(most: usize) -> usize {
    std::env::var("RUSHQUAY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(most)
}

#[test]
fn no_order_of_steps_faults_and_words_breaks_the_promise() {
    let most = states(25_000);
    let mut known = HashSet::from([digest(&first())]);
    let mut open = VecDeque::from([first()]);
    let (mut taken, mut ended) = (0usize, 0usize);
    while let Some(world) = open.pop_front() {
        taken += 1;
        // Each way ends; that is played from a part of the states, since it takes longer than a step.
        if taken.is_multiple_of(8) {
            ended += 1;
            world.ends().unwrap_or_else(|why| panic!("{why}\n{world:#?}"));
        }
        for step in world.steps(Without::Nothing) {
            let mut next = world.clone();
            next.take(step, Without::Nothing);
            if let Some(breach) = next.breach(Without::Nothing) {
                panic!("{breach} after {step:?}\n{next:#?}");
            }
            if known.len() < most && known.insert(digest(&next)) {
                open.push_back(next);
            }
        }
    }
    println!("{} states, {taken} taken up, {ended} played to their end", known.len());
}

/// A generator of its own: the same seed is the same way on every machine.
struct Draw(u64);

impl Draw {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as usize) % n.max(1)
    }
}

/// A way of so many steps from a seed; the steps, how changes ended on it, and what broke.
fn wander(
    seed: u64,
    most: usize,
    without: Without,
) -> (Vec<Step>, BTreeMap<PolicyNumber, bool>, Option<String>) {
    let (mut draw, mut world, mut way) = (Draw(seed), first(), Vec::new());
    for _ in 0..most {
        let steps = world.steps(without);
        if steps.is_empty() {
            break;
        }
        let step = steps[draw.below(steps.len())];
        world.take(step, without);
        way.push(step);
        if let Some(breach) = world.breach(without) {
            return (way, world.ends, Some(breach));
        }
    }
    if without == Without::Nothing {
        if let Err(why) = world.ends() {
            return (way, world.ends, Some(why));
        }
    }
    (way, world.ends, None)
}

#[test]
fn long_ways_break_nothing_and_end() {
    let ways = states(25_000) as u64 / 5;
    let (mut committed, mut aborted) = (0, 0);
    for seed in 1..=ways {
        let (way, ends, breach) = wander(seed, 70, Without::Nothing);
        assert_eq!(breach, None, "seed {seed}: {way:?}");
        committed += ends.values().filter(|committed| **committed).count();
        aborted += ends.values().filter(|committed| !**committed).count();
    }
    println!("{ways} ways of 70 steps, seeds 1 to {ways}: {committed} changes committed, {aborted} ended otherwise");
    assert!(committed > ways as usize / 20 && aborted > ways as usize / 20, "the ways lead nowhere");
}

#[test]
fn each_guard_that_is_taken_out_is_missed() {
    for without in ALL {
        let found = (1..=400_000u64).find_map(|seed| {
            let (way, _, breach) = wander(seed, 60, without);
            breach.map(|breach| (seed, way, breach))
        });
        let (seed, way, breach) = found.unwrap_or_else(|| panic!("{without:?} is not missed"));
        println!("| {without:?} | seed {seed}, {} steps | {breach} |", way.len());
    }
}
