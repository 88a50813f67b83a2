//! Bounded breadth-first and random exploration of the lease protocol for three proxies and two leaders on one store, with message loss,
//! crashes, takeovers and expiring leases. Safety: in every state one policy is applied by all processes, and no policy is applied alone
//! before it was committed. Liveness: from each state, once there are no more faults, the change ends and all members apply its outcome.

use rushquay_policy::{
    ActivePolicy, ChangeOutcome, Coordinator, Incarnation, LeaseGrant, LeaseRequest, LeaseTerms, Member,
    Phase, PolicyNumber, PolicyRecord, PolicySet, Revision, StartupPolicy,
};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Duration of a policy lease, in ticks; the other durations are in ticks as well.
const LEASE_TICKS: u64 = 2;
const LEADER_LEASE_TICKS: u64 = 2;
const FALLBACK_TICKS: u64 = 1;
const CHANGE_TIMEOUT_TICKS: u64 = 5;
const LAST_TICK: u64 = 14;
/// Maximum number of faults on a path.
const MAX_FAULTS: u8 = 3;
const NAMES: [&str; 3] = ["p0", "p1", "p2"];

/// The safeguard that is removed, to verify that the checks detect its absence.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Removed {
    Nothing,
    /// A lease counts from when the request was sent.
    LeaseStartAtRequest,
    /// Leases expire.
    LeaseExpiry,
    /// Members ignore grants of earlier revisions.
    RevisionOrder,
    /// Members ignore grants for requests of an earlier process.
    RequestMatching,
    /// A successor does not use the lease of the incumbent.
    SeparateSuccessorLease,
    /// A change is committed only when all members apply the joint set or are fenced.
    WaitForAllMembers,
    /// A new leader waits for the leases of its predecessor.
    WaitAfterTakeover,
    /// A decision is persisted before leases are granted for it.
    PersistBeforeGranting,
    /// The store rejects writes of a former leader's epoch.
    StoreFencing,
    /// A leader grants leases only while it holds the leader lease.
    LeaderLease,
    /// A joint phase precedes the change from the old to the new policy.
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
    Removed::PersistBeforeGranting,
    Removed::StoreFencing,
    Removed::LeaderLease,
    Removed::JointPhase,
];

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    epoch: u64,
    /// When this leader believes that its leader lease expires.
    lease_expires_at: u64,
    paused: bool,
    coordinator: Coordinator,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    now: u64,
    store: PolicyRecord,
    /// The epoch of the newest leader.
    epoch: u64,
    /// When the leader lease in the store expires.
    lease_expires_at: u64,
    leaders: [Option<Leader>; 2],
    members: [Member; 3],
    /// A process that has handed over to its successor and still serves.
    incumbent: Option<Member>,
    /// Number of processes started so far; the last one has this incarnation.
    incarnations: u64,
    /// A write in flight by a leader that has crashed since, with its epoch.
    pending_write: Option<(u64, PolicyRecord)>,
    /// Grants in flight: the receiving member, the grant, and when its request was sent.
    in_flight: Vec<(usize, LeaseGrant, u64)>,
    /// The last request of each member and when it was sent, for duplication.
    last_requests: [Option<(LeaseRequest, u64)>; 3],
    /// The policies that were ever in force alone in the store.
    ever_in_force: BTreeSet<PolicyNumber>,
    /// Whether each ended change was committed, according to the store.
    outcomes: BTreeMap<PolicyNumber, bool>,
    /// A change that was committed and ended otherwise as well.
    contradictory: Option<PolicyNumber>,
    faults: u8,
    proposals: u8,
    withdrawals: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    /// A member sends a request to a leader, which sends a grant.
    Exchange(usize, usize),
    /// A grant in flight arrives; if the flag is set, it is duplicated and stays in flight.
    Deliver(usize, bool),
    /// The last request of a member arrives again.
    Duplicate(usize, usize),
    /// A leader checks whether the change ends; if the flag is set, it crashes with its write in flight.
    Decide(usize, bool),
    /// The write in flight reaches the store.
    CompleteWrite,
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
    LeaseTerms {
        lease_duration: LEASE_TICKS,
        drift_ppm: 0,
        change_timeout: CHANGE_TIMEOUT_TICKS,
        fallback_duration: FALLBACK_TICKS,
    }
}

fn member(boot: u64, now: u64) -> Member {
    Member::new(Incarnation(boot), StartupPolicy::ServeNobody, now)
}

fn initial_world() -> World {
    let record = PolicyRecord::default();
    let coordinator = Coordinator::lead(terms(), record.clone(), 0);
    World {
        now: 0,
        store: record,
        epoch: 1,
        lease_expires_at: LEADER_LEASE_TICKS,
        leaders: [
            Some(Leader { epoch: 1, lease_expires_at: LEADER_LEASE_TICKS, paused: false, coordinator }),
            None,
        ],
        members: [member(1, 0), member(2, 0), member(3, 0)],
        incumbent: None,
        incarnations: 3,
        pending_write: None,
        in_flight: Vec::new(),
        last_requests: [None, None, None],
        ever_in_force: BTreeSet::from([PolicyNumber(0)]),
        outcomes: BTreeMap::new(),
        contradictory: None,
        faults: 0,
        proposals: 0,
        withdrawals: 0,
    }
}

impl World {
    /// Whether a leader acts as such: it is not paused and believes that it holds the leader lease.
    fn leads(&self, l: usize, removed: Removed) -> bool {
        let leads = |leader: &Leader| {
            !leader.paused && (self.now < leader.lease_expires_at || removed == Removed::LeaderLease)
        };
        self.leaders[l].as_ref().is_some_and(leads)
    }

    /// The steps that are possible in this state.
    fn steps(&self, removed: Removed) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.now < LAST_TICK {
            steps.push(Step::Tick);
        }
        for l in 0..2 {
            let Some(leader) = &self.leaders[l] else {
                if self.now >= self.lease_expires_at {
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
                if self.faults < MAX_FAULTS {
                    steps.push(Step::Crash(l));
                    steps.push(Step::Pause(l));
                    if joint {
                        steps.push(Step::Decide(l, true));
                    }
                    steps.extend(
                        (0..3).filter(|m| self.last_requests[*m].is_some()).map(|m| Step::Duplicate(m, l)),
                    );
                }
            }
        }
        for n in 0..self.in_flight.len() {
            steps.push(Step::Deliver(n, false));
            if self.faults < MAX_FAULTS {
                steps.push(Step::Deliver(n, true));
            }
        }
        if self.pending_write.is_some() {
            steps.push(Step::CompleteWrite);
        }
        if self.faults < MAX_FAULTS {
            steps.push(Step::Restart(1));
            if self.incumbent.is_none() {
                steps.push(Step::HandOver);
            }
        }
        steps
    }

    fn send_grant(&mut self, m: usize, grant: LeaseGrant, requested_at: u64) {
        // At most two grants to one member are in flight; the oldest is lost.
        let count =
            |in_flight: &[(usize, LeaseGrant, u64)]| in_flight.iter().filter(|(to, ..)| *to == m).count();
        if count(&self.in_flight) >= 2 {
            let oldest = self.in_flight.iter().position(|(to, ..)| *to == m).expect("two grants");
            self.in_flight.remove(oldest);
        }
        self.in_flight.push((m, grant, requested_at));
    }

    /// Stores a record, unless another epoch has begun. Returns whether it was stored.
    fn store(&mut self, epoch: u64, record: PolicyRecord, removed: Removed) -> bool {
        if epoch != self.epoch && removed != Removed::StoreFencing {
            return false;
        }
        self.store = record;
        if let Some((number, outcome)) = &self.store.last {
            let committed = *outcome == ChangeOutcome::Committed;
            if self.outcomes.insert(*number, committed).is_some_and(|previous| previous != committed) {
                self.contradictory = Some(*number);
            }
        }
        if self.store.phase == Phase::Settled {
            self.ever_in_force.insert(self.store.in_force);
        }
        true
    }

    /// A leader persists a record. If `crashes` is set, it crashes with the write in flight.
    fn persist(&mut self, l: usize, record: PolicyRecord, crashes: bool, removed: Removed) {
        let Some(leader) = &mut self.leaders[l] else { return };
        let epoch = leader.epoch;
        if removed == Removed::PersistBeforeGranting && crashes {
            // Leases are granted for the record, which never reaches the store.
            return leader.coordinator.adopt_record(record, self.now);
        }
        if crashes {
            self.pending_write = Some((epoch, record));
            self.leaders[l] = None;
        } else if self.store(epoch, record.clone(), removed) {
            let now = self.now;
            self.leaders[l]
                .iter_mut()
                .for_each(|leader| leader.coordinator.adopt_record(record.clone(), now));
        } else {
            self.leaders[l] = None;
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step of the explored model")]
    fn apply(&mut self, step: Step, removed: Removed) {
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
                    // A leader renews its lease in time, unless it is paused or another leader has taken over.
                    if !leader.paused && leader.epoch == epoch && now <= leader.lease_expires_at {
                        leader.lease_expires_at = now + LEADER_LEASE_TICKS;
                        self.lease_expires_at = now + LEADER_LEASE_TICKS;
                    }
                }
            }
            Step::Exchange(m, l) => {
                let request = self.members[m].next_request(now);
                self.last_requests[m] = Some((request.clone(), now));
                let Some(leader) = &mut self.leaders[l] else { return };
                if let Some(grant) = leader.coordinator.grant_lease(NAMES[m], &request, now) {
                    self.send_grant(m, grant, now);
                }
            }
            Step::Duplicate(m, l) => {
                let Some((request, requested_at)) = self.last_requests[m].clone() else { return };
                let Some(leader) = &mut self.leaders[l] else { return };
                if let Some(grant) = leader.coordinator.grant_lease(NAMES[m], &request, now) {
                    self.send_grant(m, grant, requested_at);
                }
            }
            Step::Deliver(n, duplicated) => {
                let (m, mut grant, requested_at) = self.in_flight[n];
                if !duplicated {
                    self.in_flight.remove(n);
                }
                let member = &mut self.members[m];
                if removed == Removed::LeaseStartAtRequest {
                    grant.lease_duration += now - requested_at;
                }
                if removed == Removed::RequestMatching {
                    // The grant is accepted as if it answered a request that this process sends now.
                    let request = member.next_request(now);
                    (grant.incarnation, grant.seq) = (request.incarnation, request.seq);
                }
                if removed == Removed::RevisionOrder {
                    grant.revision = Revision(grant.revision.0.max(member.revision().0 + 1));
                }
                member.process_grant(&grant, |_| Ok(()));
            }
            Step::Decide(l, crashes) => {
                let Some(leader) = &mut self.leaders[l] else { return };
                let decided = match removed {
                    Removed::WaitForAllMembers => {
                        leader.coordinator.record().conclude(ChangeOutcome::Committed)
                    }
                    Removed::WaitAfterTakeover => {
                        // The leader ignores that leases of previous leaders may not have expired.
                        let blocking = leader.coordinator.blocking_members(now);
                        let only_predecessors = blocking.iter().all(|member| member.name.is_empty());
                        if only_predecessors {
                            leader.coordinator.record().conclude(ChangeOutcome::Committed)
                        } else {
                            leader.coordinator.step(now)
                        }
                    }
                    _ => leader.coordinator.step(now),
                };
                if let Some(record) = decided {
                    self.persist(l, record, crashes, removed);
                }
            }
            Step::CompleteWrite => {
                if let Some((epoch, record)) = self.pending_write.take() {
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
                    self.persist(l, record, false, removed);
                }
            }
            Step::Withdraw(l) => {
                let Some(leader) = &self.leaders[l] else { return };
                if let Ok(record) = leader.coordinator.record().withdraw("a", None) {
                    self.withdrawals += 1;
                    self.persist(l, record, false, removed);
                }
            }
            Step::Crash(l) => self.leaders[l] = None,
            Step::Pause(l) => self.leaders[l].iter_mut().for_each(|leader| leader.paused = true),
            Step::Resume(l) => {
                if let Some(leader) = &mut self.leaders[l] {
                    leader.paused = false;
                    if now >= leader.lease_expires_at
                        && removed != Removed::LeaderLease
                        && removed != Removed::StoreFencing
                    {
                        self.leaders[l] = None;
                    }
                }
            }
            Step::TakeOver(l) => {
                self.epoch += 1;
                self.lease_expires_at = now + LEADER_LEASE_TICKS;
                let coordinator = Coordinator::lead(terms(), self.store.clone(), now);
                self.leaders[l] = Some(Leader {
                    epoch: self.epoch,
                    lease_expires_at: now + LEADER_LEASE_TICKS,
                    paused: false,
                    coordinator,
                });
            }
            Step::Restart(m) => {
                self.incarnations += 1;
                self.members[m] = member(self.incarnations, now);
            }
            Step::HandOver => {
                self.incarnations += 1;
                let old = self.members[0].clone();
                // A successor that uses the incumbent's lease is the same process to the leader, while the incumbent uses that lease too.
                if removed != Removed::SeparateSuccessorLease {
                    self.members[0] = Member::take_over(
                        Incarnation(self.incarnations),
                        StartupPolicy::ServeNobody,
                        old.snapshot(),
                        now,
                    );
                }
                self.incumbent = Some(old);
            }
        }
    }

    /// The policy sets that processes apply under a lease.
    fn acting(&self, removed: Removed) -> Vec<PolicySet> {
        let now = if removed == Removed::LeaseExpiry { 0 } else { self.now };
        let leased = |m: &Member| match m.acting(now) {
            ActivePolicy::Leased(set) => Some(set),
            ActivePolicy::Fallback | ActivePolicy::Denied => None,
        };
        self.members.iter().chain(&self.incumbent).filter_map(leased).collect()
    }

    /// The safety property that this state violates, if any.
    fn violation(&self, removed: Removed) -> Option<String> {
        let acting = self.acting(removed);
        let numbers: BTreeSet<PolicyNumber> = acting
            .iter()
            .flat_map(|set| match *set {
                PolicySet::Pure(one) => vec![one],
                PolicySet::Joint(one, two) => vec![one, two],
            })
            .collect();
        if !acting.is_empty() && !numbers.iter().any(|n| acting.iter().all(|set| set.includes(*n))) {
            return Some(format!("no policy is applied by all processes: {acting:?}"));
        }
        if let Some(number) = self.contradictory {
            return Some(format!("{number:?} was committed and also ended otherwise"));
        }
        let undecided = acting.iter().find_map(|set| match set {
            PolicySet::Pure(n) if !self.ever_in_force.contains(n) => Some(*n),
            _ => None,
        });
        undecided.map(|n| format!("{n:?} is applied alone by a process and was never committed"))
    }

    /// Checks liveness: continues without faults, with a leader that answers all requests, until all members apply the outcome.
    fn terminates(&self) -> Result<(), String> {
        let mut world = self.clone();
        world.leaders.iter_mut().for_each(|l| {
            if l.as_ref().is_some_and(|l| l.paused || l.epoch != self.epoch || self.now >= l.lease_expires_at)
            {
                *l = None;
            }
        });
        (world.incumbent, world.pending_write) = (None, None);
        for _ in 0..24 {
            world.now += 1;
            let now = world.now;
            if world.leaders.iter().all(Option::is_none) {
                if now < world.lease_expires_at {
                    continue;
                }
                world.apply(Step::TakeOver(0), Removed::Nothing);
            }
            let l = world.leaders.iter().position(Option::is_some).expect("a leader");
            for leader in world.leaders.iter_mut().flatten() {
                leader.lease_expires_at = now + LEADER_LEASE_TICKS;
            }
            world.lease_expires_at = now + LEADER_LEASE_TICKS;
            for m in 0..3 {
                world.in_flight.clear();
                world.apply(Step::Exchange(m, l), Removed::Nothing);
                world.apply(Step::Deliver(0, false), Removed::Nothing);
            }
            world.apply(Step::Decide(l, false), Removed::Nothing);
            if let Some(violation) = world.violation(Removed::Nothing) {
                return Err(format!("while the change ends: {violation}"));
            }
        }
        let active: Vec<ActivePolicy> = world.members.iter().map(|m| m.acting(world.now)).collect();
        let expected = ActivePolicy::Leased(PolicySet::Pure(world.store.in_force));
        if world.store.phase != Phase::Settled || active.iter().any(|a| *a != expected) {
            return Err(format!("the change does not end: {:?} and {active:?}", world.store.phase));
        }
        Ok(())
    }
}

fn digest(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

fn state_limit(default: usize) -> usize {
    std::env::var("RUSHQUAY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn no_interleaving_within_the_state_bound_violates_safety() {
    let max_states = state_limit(25_000);
    let mut seen = HashSet::from([digest(&initial_world())]);
    let mut queue = VecDeque::from([initial_world()]);
    let (mut explored, mut liveness_checks) = (0usize, 0usize);
    while let Some(world) = queue.pop_front() {
        explored += 1;
        // Liveness is checked from every eighth state only, since a check takes longer than a step.
        if explored.is_multiple_of(8) {
            liveness_checks += 1;
            world.terminates().unwrap_or_else(|why| panic!("{why}\n{world:#?}"));
        }
        for step in world.steps(Removed::Nothing) {
            let mut next = world.clone();
            next.apply(step, Removed::Nothing);
            if let Some(violation) = next.violation(Removed::Nothing) {
                panic!("{violation} after {step:?}\n{next:#?}");
            }
            if seen.len() < max_states && seen.insert(digest(&next)) {
                queue.push_back(next);
            }
        }
    }
    println!("{} states, {explored} explored, liveness checked from {liveness_checks}", seen.len());
}

/// A self-contained linear congruential generator: a seed gives the same path on every machine.
struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as usize) % n.max(1)
    }
}

/// Takes a random path of at most `max_steps` steps. Returns its steps, whether each ended change was committed, and the violation
/// found.
fn random_path(
    seed: u64,
    max_steps: usize,
    removed: Removed,
) -> (Vec<Step>, BTreeMap<PolicyNumber, bool>, Option<String>) {
    let (mut rng, mut world, mut path) = (SeededRng(seed), initial_world(), Vec::new());
    for _ in 0..max_steps {
        let steps = world.steps(removed);
        if steps.is_empty() {
            break;
        }
        let step = steps[rng.below(steps.len())];
        world.apply(step, removed);
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
    let paths = state_limit(25_000) as u64 / 5;
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
