//! Exhaustive and random exploration of the lease protocol at a small size: three proxies and two leaders on one store, with message
//! loss, crashes, takeovers and expiring leases. In no state are two policies applied alone at once, nor one that was not decided;
//! from each state, once faults are over, the change ends alike everywhere.

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
/// Maximum faults on a path.
const FAULTS: u8 = 3;
const NAMES: [&str; 3] = ["p0", "p1", "p2"];

/// The safeguard that is removed, to show that its absence is detected.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Removed {
    Nothing,
    /// A lease counts from when the request was sent.
    LeaseStartAtRequest,
    /// Leases expire.
    LeaseExpiry,
    /// Members ignore earlier revisions.
    RevisionOrder,
    /// Members ignore grants for requests of an earlier process.
    RequestMatching,
    /// A successor does not use the lease of the incumbent.
    SeparateSuccessorLease,
    /// A change is committed only when all members have joined or are fenced.
    WaitForAllMembers,
    /// A new leader waits for the leases of its predecessor.
    WaitAfterTakeover,
    /// A decision is persisted before members are told.
    PersistBeforeTelling,
    /// The store rejects writes of an expired epoch.
    StoreFencing,
    /// A leader grants leases only while it holds its own.
    LeaderLease,
    /// A joint phase lies between old and new.
    JointPhase,
}

const ALL_SAFEGUARDS: [Removed; 11] = [
    Removed::LeaseStartAtRequest,
    Removed::LeaseExpiry,
    Removed::RevisionOrder,
    Removed::RequestMatching,
    Removed::SeparateSuccessorLease,
    Removed::WaitForAllMembers,
    Removed::WaitAfterTakeover,
    Removed::PersistBeforeTelling,
    Removed::StoreFencing,
    Removed::LeaderLease,
    Removed::JointPhase,
];

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    epoch: u64,
    lease: u64,
    paused: bool,
    coordinator: Coordinator,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    now: u64,
    store: PolicyRecord,
    epoch: u64,
    /// When the leader's lease expires.
    lease: u64,
    leaders: [Option<Leader>; 2],
    members: [Member; 3],
    /// An incumbent that has handed over and still serves.
    incumbent: Option<Member>,
    boots: u64,
    /// A write in flight of a leader that has crashed since, and its epoch.
    writing: Option<(u64, PolicyRecord)>,
    /// Grants in flight, and when their requests were sent.
    in_flight: Vec<(usize, LeaseGrant, u64)>,
    /// The last request of each member, for duplication.
    requested: [Option<(LeaseRequest, u64)>; 3],
    /// The policies that were ever decided in the store.
    decided: BTreeSet<PolicyNumber>,
    /// How each change ended in the store: committed or not; and a change that ended both ways.
    outcomes: BTreeMap<PolicyNumber, bool>,
    both: Option<PolicyNumber>,
    faults: u8,
    proposals: u8,
    withdrawals: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    /// A member sends a request to a leader, whose grant is in flight then.
    Exchange(usize, usize),
    /// A grant arrives; it may be duplicated.
    Deliver(usize, bool),
    /// The last request of a member arrives again.
    Duplicate(usize, usize),
    /// A leader checks whether a change has ended; it may crash with its write in flight.
    Decide(usize, bool),
    /// The write in flight arrives.
    Arrive,
    Propose(usize),
    Withdraw(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
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
        leaders: [Some(Leader { epoch: 1, lease: LEASE, paused: false, coordinator }), None],
        members: [member(1, 0), member(2, 0), member(3, 0)],
        incumbent: None,
        boots: 3,
        writing: None,
        in_flight: Vec::new(),
        requested: [None, None, None],
        decided: BTreeSet::from([PolicyNumber(0)]),
        outcomes: BTreeMap::new(),
        both: None,
        faults: 0,
        proposals: 0,
        withdrawals: 0,
    }
}

impl World {
    fn leads(&self, l: usize, removed: Removed) -> bool {
        let leads =
            |leader: &Leader| !leader.paused && (self.now < leader.lease || removed == Removed::LeaderLease);
        self.leaders[l].as_ref().is_some_and(leads)
    }

    fn steps(&self, removed: Removed) -> Vec<Step> {
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
            if leader.paused {
                steps.push(Step::Resume(l));
                continue;
            }
            if self.leads(l, removed) {
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
                    steps.push(Step::Pause(l));
                    if joint {
                        steps.push(Step::Decide(l, true));
                    }
                    steps.extend(
                        (0..3).filter(|m| self.requested[*m].is_some()).map(|m| Step::Duplicate(m, l)),
                    );
                }
            }
        }
        for n in 0..self.in_flight.len() {
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
            if self.incumbent.is_none() {
                steps.push(Step::HandOver);
            }
        }
        steps
    }

    fn send(&mut self, m: usize, grant: LeaseGrant, requested: u64) {
        // At most two grants to one member are in flight: the older one is lost.
        let of =
            |in_flight: &[(usize, LeaseGrant, u64)]| in_flight.iter().filter(|(to, ..)| *to == m).count();
        if of(&self.in_flight) >= 2 {
            let at = self.in_flight.iter().position(|(to, ..)| *to == m).expect("two");
            self.in_flight.remove(at);
        }
        self.in_flight.push((m, grant, requested));
    }

    /// Stores a record, unless the epoch has expired.
    fn store(&mut self, epoch: u64, record: PolicyRecord, removed: Removed) -> bool {
        if epoch != self.epoch && removed != Removed::StoreFencing {
            return false;
        }
        self.store = record;
        if let Some((number, how)) = &self.store.last {
            let committed = *how == ChangeOutcome::Committed;
            if self.outcomes.insert(*number, committed).is_some_and(|incumbent| incumbent != committed) {
                self.both = Some(*number);
            }
        }
        if self.store.phase == Phase::Settled {
            self.decided.insert(self.store.holds);
        }
        true
    }

    /// A leader persists a record; `crashes`: it crashes with the write in flight.
    fn keep(&mut self, l: usize, record: PolicyRecord, crashes: bool, removed: Removed) {
        let Some(leader) = &mut self.leaders[l] else { return };
        let epoch = leader.epoch;
        if removed == Removed::PersistBeforeTelling && crashes {
            // Members are told, and the record never reaches the store.
            return leader.coordinator.kept(record, self.now);
        }
        if crashes {
            self.writing = Some((epoch, record));
            self.leaders[l] = None;
        } else if self.store(epoch, record.clone(), removed) {
            let now = self.now;
            self.leaders[l].iter_mut().for_each(|leader| leader.coordinator.kept(record.clone(), now));
        } else {
            self.leaders[l] = None;
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step of the explored model")]
    fn take(&mut self, step: Step, removed: Removed) {
        let fault = matches!(
            step,
            Step::Crash(_)
                | Step::Pause(_)
                | Step::Restart(_)
                | Step::HandOver
                | Step::Duplicate(..)
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
                    // A leader renews its lease in time, unless it is paused or another one leads.
                    if !leader.paused && leader.epoch == epoch && now <= leader.lease {
                        leader.lease = now + LEASE;
                        self.lease = now + LEASE;
                    }
                }
            }
            Step::Exchange(m, l) => {
                let request = self.members[m].ask(now);
                self.requested[m] = Some((request.clone(), now));
                let Some(leader) = &mut self.leaders[l] else { return };
                if let Some(grant) = leader.coordinator.hear(NAMES[m], &request, now) {
                    self.send(m, grant, now);
                }
            }
            Step::Duplicate(m, l) => {
                let Some((request, requested)) = self.requested[m].clone() else { return };
                let Some(leader) = &mut self.leaders[l] else { return };
                if let Some(grant) = leader.coordinator.hear(NAMES[m], &request, now) {
                    self.send(m, grant, requested);
                }
            }
            Step::Deliver(n, again) => {
                let (m, mut grant, requested) = self.in_flight[n];
                if !again {
                    self.in_flight.remove(n);
                }
                let member = &mut self.members[m];
                if removed == Removed::LeaseStartAtRequest {
                    grant.span += now - requested;
                }
                if removed == Removed::RequestMatching {
                    // As if it answered the latest request of this process.
                    let request = member.ask(now);
                    (grant.boot, grant.seq) = (request.boot, request.seq);
                }
                if removed == Removed::RevisionOrder {
                    grant.revision = Revision(grant.revision.0.max(member.revision().0 + 1));
                }
                member.granted(&grant, |_| Ok(()));
            }
            Step::Decide(l, lost) => {
                let Some(leader) = &mut self.leaders[l] else { return };
                let decided = match removed {
                    Removed::WaitForAllMembers => {
                        leader.coordinator.record().conclude(ChangeOutcome::Committed)
                    }
                    Removed::WaitAfterTakeover => {
                        // As if it had led for longer than any lease lasts.
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
                    self.keep(l, record, lost, removed);
                }
            }
            Step::Arrive => {
                if let Some((epoch, record)) = self.writing.take() {
                    self.store(epoch, record, removed);
                }
            }
            Step::Propose(l) => {
                let Some(leader) = &self.leaders[l] else { return };
                let proposed = leader.coordinator.record().propose(("a", "b"), None);
                if let Ok(mut record) = proposed {
                    self.proposals += 1;
                    if removed == Removed::JointPhase {
                        record = record.conclude(ChangeOutcome::Committed).expect("it was proposed");
                    }
                    self.keep(l, record, false, removed);
                }
            }
            Step::Withdraw(l) => {
                let Some(leader) = &self.leaders[l] else { return };
                if let Ok(record) = leader.coordinator.record().withdraw("a", None) {
                    self.withdrawals += 1;
                    self.keep(l, record, false, removed);
                }
            }
            Step::Crash(l) => self.leaders[l] = None,
            Step::Pause(l) => self.leaders[l].iter_mut().for_each(|leader| leader.paused = true),
            Step::Resume(l) => {
                if let Some(leader) = &mut self.leaders[l] {
                    leader.paused = false;
                    if now >= leader.lease
                        && removed != Removed::LeaderLease
                        && removed != Removed::StoreFencing
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
                    Some(Leader { epoch: self.epoch, lease: now + LEASE, paused: false, coordinator });
            }
            Step::Restart(m) => {
                self.boots += 1;
                self.members[m] = member(self.boots, now);
            }
            Step::HandOver => {
                self.boots += 1;
                let old = self.members[0].clone();
                // With the incumbent's lease it is the same process to the leader, while the incumbent uses that lease too.
                if removed != Removed::SeparateSuccessorLease {
                    self.members[0] =
                        Member::take_over(Incarnation(self.boots), StartupPolicy::Waits, old.snapshot(), now);
                }
                self.incumbent = Some(old);
            }
        }
    }

    /// What each process applies.
    fn acting(&self, removed: Removed) -> Vec<PolicySet> {
        let now = if removed == Removed::LeaseExpiry { 0 } else { self.now };
        let acts = |m: &Member| match m.acting(now) {
            ActivePolicy::Leased(told) => Some(told),
            ActivePolicy::Fallback | ActivePolicy::Denied => None,
        };
        self.members.iter().chain(&self.incumbent).filter_map(acts).collect()
    }

    fn violation(&self, removed: Removed) -> Option<String> {
        let acting = self.acting(removed);
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

    /// Plays on without faults: a leader is elected, all requests are answered and all decisions taken.
    fn terminates(&self) -> Result<(), String> {
        let mut world = self.clone();
        world.leaders.iter_mut().for_each(|l| {
            if l.as_ref().is_some_and(|l| l.paused || l.epoch != self.epoch || self.now >= l.lease) {
                *l = None;
            }
        });
        (world.incumbent, world.writing) = (None, None);
        for _ in 0..24 {
            world.now += 1;
            let now = world.now;
            if world.leaders.iter().all(Option::is_none) {
                if now < world.lease {
                    continue;
                }
                world.take(Step::TakeOver(0), Removed::Nothing);
            }
            let l = world.leaders.iter().position(Option::is_some).expect("one leads");
            for leader in world.leaders.iter_mut().flatten() {
                leader.lease = now + LEASE;
            }
            world.lease = now + LEASE;
            for m in 0..3 {
                world.in_flight.clear();
                world.take(Step::Exchange(m, l), Removed::Nothing);
                world.take(Step::Deliver(0, false), Removed::Nothing);
            }
            world.take(Step::Decide(l, false), Removed::Nothing);
            if let Some(violation) = world.violation(Removed::Nothing) {
                return Err(format!("on the path to the end: {violation}"));
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
fn no_interleaving_within_the_state_bound_violates_safety() {
    let most = states(25_000);
    let mut known = HashSet::from([digest(&first())]);
    let mut open = VecDeque::from([first()]);
    let (mut taken, mut ended) = (0usize, 0usize);
    while let Some(world) = open.pop_front() {
        taken += 1;
        // Liveness is checked from a part of the states only, since it takes longer than a step.
        if taken.is_multiple_of(8) {
            ended += 1;
            world.terminates().unwrap_or_else(|why| panic!("{why}\n{world:#?}"));
        }
        for step in world.steps(Removed::Nothing) {
            let mut next = world.clone();
            next.take(step, Removed::Nothing);
            if let Some(violation) = next.violation(Removed::Nothing) {
                panic!("{violation} after {step:?}\n{next:#?}");
            }
            if known.len() < most && known.insert(digest(&next)) {
                open.push_back(next);
            }
        }
    }
    println!("{} states, {taken} taken up, {ended} played to their end", known.len());
}

/// A self-contained random generator: a seed gives the same path on every machine.
struct Draw(u64);

impl Draw {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as usize) % n.max(1)
    }
}

/// A random path of at most `most` steps: its steps, how changes ended on it, and the violation found.
fn random_path(
    seed: u64,
    most: usize,
    removed: Removed,
) -> (Vec<Step>, BTreeMap<PolicyNumber, bool>, Option<String>) {
    let (mut draw, mut world, mut path) = (Draw(seed), first(), Vec::new());
    for _ in 0..most {
        let steps = world.steps(removed);
        if steps.is_empty() {
            break;
        }
        let step = steps[draw.below(steps.len())];
        world.take(step, removed);
        path.push(step);
        if let Some(violation) = world.violation(removed) {
            return (path, world.outcomes, Some(violation));
        }
    }
    if removed == Removed::Nothing {
        if let Err(why) = world.terminates() {
            return (path, world.outcomes, Some(why));
        }
    }
    (path, world.outcomes, None)
}

#[test]
fn long_random_paths_stay_safe_and_terminate() {
    let paths = states(25_000) as u64 / 5;
    let (mut committed, mut aborted) = (0, 0);
    for seed in 1..=paths {
        let (path, outcomes, violation) = random_path(seed, 70, Removed::Nothing);
        assert_eq!(violation, None, "seed {seed}: {path:?}");
        committed += outcomes.values().filter(|committed| **committed).count();
        aborted += outcomes.values().filter(|committed| !**committed).count();
    }
    println!("{paths} paths of 70 steps, seeds 1 to {paths}: {committed} changes committed, {aborted} ended otherwise");
    assert!(
        committed > paths as usize / 20 && aborted > paths as usize / 20,
        "too few changes end either way"
    );
}

#[test]
fn removing_any_safeguard_is_detected() {
    for removed in ALL_SAFEGUARDS {
        let found = (1..=400_000u64).find_map(|seed| {
            let (path, _, violation) = random_path(seed, 60, removed);
            violation.map(|violation| (seed, path, violation))
        });
        let (seed, path, violation) = found.unwrap_or_else(|| panic!("removing {removed:?} is not detected"));
        println!("| {removed:?} | seed {seed}, {} steps | {violation} |", path.len());
    }
}
