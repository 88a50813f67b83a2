//! Exhaustive exploration of a rollout at a small size: three proxies in two data centres and two leaders on one store. Invariants are
//! checked in each state; and from each state, once faults end, the rollout must end.

use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use rushquay_rollout::{
    Finding, FleetView, Measure, Phase, Plan, PlanText, Rollout, StageText, Verdict, SECOND,
};
use std::collections::{HashSet, VecDeque};

const ZONES: [&str; 3] = ["a", "a", "b"];
const NAMES: [&str; 3] = ["p0", "p1", "p2"];

/// The safeguard that is removed, to show that its absence is detected.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Removed {
    Nothing,
    /// A step is persisted before proxies are told.
    PersistBeforeTelling,
    /// The store rejects writes of an expired epoch.
    StoreFencing,
    /// Proxies ignore assignments of an expired epoch.
    ProxyFencing,
    /// A new leader restores the stored record.
    StoredRecord,
}

#[derive(Clone, PartialEq, Debug)]
struct Proxy {
    acting: bool,
    up: bool,
    fence: u64,
}

#[derive(Clone, PartialEq, Debug)]
struct Leader {
    epoch: u64,
    change: Rollout,
    heard: [bool; 3],
}

#[derive(Clone, PartialEq, Debug)]
struct World {
    now: u64,
    store: Rollout,
    epoch: u64,
    leaders: [Option<Leader>; 2],
    proxies: [Proxy; 3],
    /// Proxies that the stored record has ever moved to the new version.
    told: [bool; 3],
    faults: u8,
}

fn digests() -> (Digest, Digest) {
    (Digest::of(b"old"), Digest::of(b"new"))
}

fn first() -> World {
    let text = PlanText {
        stages: vec![StageText { count: Some(1), ..StageText::default() }],
        at_once: 1,
        back_at_once: 1,
        confirm_s: 2.0,
        patience_s: 4.0,
        limit_s: 1000.0,
        soak_s: 1.0,
    };
    let plan = Plan::try_from(text).expect("a plan");
    let change = Rollout::new(1, digests(), plan, ("a".into(), "r".into()), 0);
    let proxy = Proxy { acting: false, up: true, fence: 0 };
    World {
        now: 0,
        store: change,
        epoch: 0,
        leaders: [None, None],
        proxies: [proxy.clone(), proxy.clone(), proxy],
        told: [false; 3],
        faults: 0,
    }
}

fn worse() -> Verdict {
    Verdict::Worse(Finding {
        measure: Measure::Bad,
        class: "c".into(),
        zone: String::new(),
        rates: [1.0, 0.0],
        of: [9, 9],
        evidence: 9.0,
    })
}

fn seen<'a>(world: &World, leader: &Leader) -> Vec<FleetView<'a>> {
    let (from, to) = digests();
    let one = |n: usize| {
        let p = &world.proxies[n];
        let standing = match (leader.heard[n], p.up) {
            (_, true) => MemberStatus::Serving,
            (true, false) => MemberStatus::Down,
            (false, false) => MemberStatus::Unheard,
        };
        let acting = if p.acting { to } else { from };
        // An absent proxy has been absent for long.
        let quiet = if p.up { 0 } else { 100 * SECOND };
        FleetView { name: NAMES[n], zone: ZONES[n], standing, acting, since: 0, quiet, refused: None }
    };
    (0..3).map(one).collect()
}

/// Maximum faults on a path.
const FAULTS: u8 = 2;

impl World {
    /// The identity of a state: times by how long ago they are, up to what any timeout can tell apart.
    fn key(&self) -> String {
        let ago = |t: u64| (self.now.saturating_sub(t) / SECOND).min(6);
        let change = |c: &Rollout| {
            let phase = match &c.phase {
                Phase::Soaking { stage, since } => format!("soak {stage} {}", ago(*since)),
                Phase::Held { stage, why, since } => format!("held {stage} {why} {}", ago(*since)),
                other => format!("{other}"),
            };
            let told = |m: &std::collections::BTreeMap<String, u64>| {
                m.iter().map(|(n, t)| format!("{n}{}", ago(*t))).collect::<String>()
            };
            format!("{phase}|{}|{}|{}", told(&c.moved), told(&c.returned), c.in_stage)
        };
        let leader = |l: &Option<Leader>| {
            l.as_ref().map(|l| format!("{}{}{:?}", self.epoch - l.epoch, change(&l.change), l.heard))
        };
        let proxies: Vec<_> = self
            .proxies
            .iter()
            .map(|p| (p.acting, p.up, self.epoch.saturating_sub(p.fence).min(3)))
            .collect();
        format!(
            "{}#{:?}#{proxies:?}#{:?}#{}",
            change(&self.store),
            self.leaders.each_ref().map(leader),
            self.told,
            self.faults
        )
    }

    fn next(&self, removed: Removed, violations: &mut Vec<String>) -> Vec<World> {
        let mut all = Vec::new();
        // Time passes.
        all.push(World { now: self.now + SECOND, ..self.clone() });
        for i in 0..2 {
            // Another leader takes over, whether the present one knows or not.
            if self.faults < FAULTS && self.leaders[i].is_none() {
                all.push(self.taken_over(i, removed));
            }
            let Some(leader) = &self.leaders[i] else { continue };
            if self.faults < FAULTS {
                let mut crashed = self.clone();
                (crashed.leaders[i], crashed.faults) = (None, crashed.faults + 1);
                all.push(crashed);
            }
            for verdict in
                [Verdict::Waiting(String::new()), Verdict::Passed, worse(), Verdict::Trouble("t".into())]
            {
                all.extend(self.stepped(i, leader, &verdict, removed, violations));
            }
            for p in 0..3 {
                all.extend(self.delivered(&leader.change, leader.epoch, p, removed));
            }
        }
        for p in 0..3 {
            if self.faults < FAULTS || !self.proxies[p].up {
                let mut other = self.clone();
                // A process that restarts applies its own file, and has forgotten every epoch.
                other.proxies[p] = Proxy { acting: false, up: !self.proxies[p].up, fence: 0 };
                other.faults += u8::from(self.proxies[p].up);
                all.push(other);
            }
        }
        all
    }

    fn taken_over(&self, i: usize, removed: Removed) -> World {
        let mut next = self.clone();
        next.epoch += 1;
        let restored = if removed == Removed::StoredRecord { first().store } else { self.store.clone() };
        let mut change = restored;
        change.taken_over(self.now);
        next.leaders[i] = Some(Leader { epoch: next.epoch, change, heard: [false; 3] });
        next.faults += u8::from(self.epoch > 0);
        next
    }

    fn stepped(
        &self,
        i: usize,
        leader: &Leader,
        verdict: &Verdict,
        removed: Removed,
        violations: &mut Vec<String>,
    ) -> Vec<World> {
        let mut change = leader.change.clone();
        let fleet = seen(self, leader);
        let mut next = self.clone();
        let heard: Vec<bool> = (0..3).map(|n| leader.heard[n] || self.proxies[n].up).collect();
        let heard = [heard[0], heard[1], heard[2]];
        if !change.step(&fleet, verdict, self.now) {
            if heard != leader.heard {
                next.leaders[i] = Some(Leader { heard, change, ..leader.clone() });
                return vec![next];
            }
            return Vec::new();
        }
        check(&leader.change, &change, verdict, &fleet, violations);
        let mut all = Vec::new();
        if removed == Removed::PersistBeforeTelling {
            // Proxies are told, and the leader is killed before the step is persisted.
            for p in 0..3 {
                let told = self.delivered(&change, leader.epoch, p, removed);
                all.extend(told.map(|mut w| {
                    w.leaders[i] = None;
                    w
                }));
            }
        }
        if leader.epoch == self.epoch || removed == Removed::StoreFencing {
            for (n, name) in NAMES.iter().enumerate() {
                next.told[n] |= change.moved.contains_key(*name) || change.phase == Phase::Done;
            }
            if self.store.phase.back().is_some() && change.phase.back().is_none() || self.store.phase.over() {
                violations.push(format!("the store held {}, and now {}", self.store.phase, change.phase));
            }
            let left = self.store.moved.keys().find(|n| !change.moved.contains_key(*n));
            if let (Some(left), None) = (left, change.phase.back()) {
                violations.push(format!("{left} is told back, and the change does not go back"));
            }
            next.store = change.clone();
            next.leaders[i] = Some(Leader { epoch: leader.epoch, change, heard });
            // The leader is killed between the write and the first assignment: only the store has the step.
            if self.faults < FAULTS {
                let mut killed = next.clone();
                (killed.leaders[i], killed.faults) = (None, killed.faults + 1);
                all.push(killed);
            }
        } else {
            next.leaders[i] = None;
        }
        all.push(next);
        all
    }

    /// An assignment of a leader reaches a proxy, however late.
    fn delivered(&self, change: &Rollout, epoch: u64, p: usize, removed: Removed) -> Option<World> {
        let proxy = &self.proxies[p];
        if !proxy.up || epoch < proxy.fence && removed != Removed::ProxyFencing {
            return None;
        }
        let acting = change.given(NAMES[p]) == digests().1;
        let told = Proxy { acting, up: true, fence: epoch.max(proxy.fence) };
        (told != *proxy).then(|| {
            let mut next = self.clone();
            next.proxies[p] = told;
            next
        })
    }

    /// The invariants of each state.
    fn check_invariants(&self, violations: &mut Vec<String>) {
        for (n, p) in self.proxies.iter().enumerate() {
            if p.acting && !self.told[n] {
                violations.push(format!("{} acts by the new, and the store never had it told", NAMES[n]));
            }
        }
        // A proxy that returned by the present leader's assignment stays so, whatever an older leader still sends.
        let told = |p: &&Proxy| p.up && p.acting && p.fence == self.epoch;
        if matches!(self.store.phase, Phase::GoneBack { .. }) && self.proxies.iter().any(|p| told(&p)) {
            violations.push("all has gone back, and a proxy that was told so applies the new version".into());
        }
        let runs = self.leaders.iter().flatten().filter(|l| l.epoch == self.epoch).count();
        if runs > 1 {
            violations.push("two leaders of one epoch".into());
        }
    }

    /// Without further faults, with one leader and all proxies up, the rollout must end, and all proxies must apply the result.
    fn terminates(&self) -> Result<(), String> {
        let mut world = self.taken_over(0, Removed::Nothing);
        world.leaders[1] = None;
        world.proxies.iter_mut().for_each(|p| p.up = true);
        for _ in 0..200 {
            world.now += SECOND;
            let leader = world.leaders[0].clone().expect("it leads");
            let mut ignored = Vec::new();
            if let Some(next) =
                world.stepped(0, &leader, &Verdict::Passed, Removed::Nothing, &mut ignored).pop()
            {
                world = next;
            }
            let leader = world.leaders[0].clone().expect("it leads");
            for p in 0..3 {
                if let Some(next) = world.delivered(&leader.change, leader.epoch, p, Removed::Nothing) {
                    world = next;
                }
            }
            let given = |p: usize| world.proxies[p].acting == (world.store.phase == Phase::Done);
            if world.store.phase.over() && (0..3).all(given) {
                return Ok(());
            }
        }
        Err(format!("no end: {:?} {:?}", world.store.phase, world.proxies))
    }
}

/// The invariants of each step.
fn check(
    before: &Rollout,
    after: &Rollout,
    verdict: &Verdict,
    seen: &[FleetView<'_>],
    violations: &mut Vec<String>,
) {
    let new: Vec<&str> =
        after.moved.keys().filter(|n| !before.moved.contains_key(*n)).map(String::as_str).collect();
    if !new.is_empty() {
        let is_in_transit = |s: &&FleetView<'_>| after.moved.contains_key(s.name) && s.acting != after.to;
        let on_way: Vec<&FleetView<'_>> = seen.iter().filter(is_in_transit).collect();
        let zones: HashSet<&str> = on_way.iter().map(|s| s.zone).collect();
        if on_way.len() > after.plan.at_once || zones.len() > 1 {
            violations.push(format!("{} in transit in {zones:?}", on_way.len()));
        }
    }
    let stage = |c: &Rollout| if c.phase == Phase::Done { Some(usize::MAX) } else { c.stage() };
    if let (Some(from), Some(to)) = (stage(before), stage(after)) {
        if to > from && *verdict != Verdict::Passed {
            violations.push(format!("stage {from} was left for {to} on {verdict:?}"));
        }
        let behind = seen.iter().any(|s| before.moved.contains_key(s.name) && s.acting != before.to);
        if to > from && behind {
            violations.push(format!("stage {from} was left while one of it does not act by the new"));
        }
    }
    if matches!(verdict, Verdict::Worse(_)) && before.phase.back().is_none() && after.phase.back().is_none() {
        violations.push("the new are worse, and it does not go back".into());
    }
    if before.phase.back().is_some() && after.phase.back().is_none() {
        violations.push("it went back, and goes on again".into());
    }
}

/// Explores all reachable states, up to `most`; returns the number of states, of those played to their end, and the violations.
fn explore(removed: Removed, most: usize) -> (usize, usize, Vec<String>) {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([first()]);
    let mut violations = Vec::new();
    let mut terminated = 0;
    seen.insert(first().key());
    while let Some(world) = queue.pop_front() {
        world.check_invariants(&mut violations);
        if removed == Removed::Nothing {
            match world.terminates() {
                Ok(()) => terminated += 1,
                Err(why) => violations.push(why),
            }
        }
        if !violations.is_empty() || seen.len() >= most {
            return (seen.len(), terminated, violations);
        }
        for next in world.next(removed, &mut violations) {
            if seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), terminated, violations)
}

/// `RUSHQUAY_STATES=2000000 cargo test --release ... state_exploration -- --nocapture` explores more of them.
fn states() -> usize {
    std::env::var("RUSHQUAY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(40_000)
}

#[test]
fn no_interleaving_within_the_state_bound_violates_an_invariant() {
    let (states, terminated, violations) = explore(Removed::Nothing, states());
    println!("{states} states, {terminated} of them played to their end");
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn removing_any_safeguard_is_detected() {
    for removed in
        [Removed::PersistBeforeTelling, Removed::ProxyFencing, Removed::StoreFencing, Removed::StoredRecord]
    {
        let (states, _, violations) = explore(removed, 400_000);
        println!("{removed:?}: {states} states, {violations:?}");
        assert!(!violations.is_empty(), "nothing breaks without {removed:?} in {states} states");
    }
}
