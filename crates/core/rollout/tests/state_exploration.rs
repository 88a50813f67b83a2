//! Every order of steps, faults and words at a small size: three proxies in two data centres and two leaders on one store. What
//! must never be is looked for in each state; and from each state, once faults end, the change must end.

use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use rushquay_rollout::{
    Finding, FleetView, Measure, Phase, Plan, PlanText, Rollout, StageText, Verdict, SECOND,
};
use std::collections::{HashSet, VecDeque};

const ZONES: [&str; 3] = ["a", "a", "b"];
const NAMES: [&str; 3] = ["p0", "p1", "p2"];

/// What is taken out, to see that it is missed.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Without {
    Nothing,
    /// A leader tells proxies before its step is in the store.
    KeepingFirst,
    /// The store takes writes of a lease that is over.
    TheFenceOfTheStore,
    /// Proxies take word from an epoch that is over.
    TheFenceOfProxies,
    /// Whoever leads next begins anew.
    WhatWasKept,
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
    /// Whom the store has ever had told the new.
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
        // Whoever is away has been for long.
        let quiet = if p.up { 0 } else { 100 * SECOND };
        FleetView { name: NAMES[n], zone: ZONES[n], standing, acting, since: 0, quiet, refused: None }
    };
    (0..3).map(one).collect()
}

/// Faults that may happen on one way.
const FAULTS: u8 = 2;

impl World {
    /// What tells this state from others: times by how far they are back, and no further than anything asks.
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

    fn next(&self, without: Without, broken: &mut Vec<String>) -> Vec<World> {
        let mut all = Vec::new();
        // Time passes.
        all.push(World { now: self.now + SECOND, ..self.clone() });
        for i in 0..2 {
            // Somebody takes over, whether the other knows or not.
            if self.faults < FAULTS && self.leaders[i].is_none() {
                all.push(self.taken_over(i, without));
            }
            let Some(leader) = &self.leaders[i] else { continue };
            if self.faults < FAULTS {
                let mut gone = self.clone();
                (gone.leaders[i], gone.faults) = (None, gone.faults + 1);
                all.push(gone);
            }
            for verdict in
                [Verdict::Waiting(String::new()), Verdict::Passed, worse(), Verdict::Trouble("t".into())]
            {
                all.extend(self.stepped(i, leader, &verdict, without, broken));
            }
            for p in 0..3 {
                all.extend(self.delivered(&leader.change, leader.epoch, p, without));
            }
        }
        for p in 0..3 {
            if self.faults < FAULTS || !self.proxies[p].up {
                let mut other = self.clone();
                // A process that comes back acts by its own file, and has forgotten every epoch.
                other.proxies[p] = Proxy { acting: false, up: !self.proxies[p].up, fence: 0 };
                other.faults += u8::from(self.proxies[p].up);
                all.push(other);
            }
        }
        all
    }

    fn taken_over(&self, i: usize, without: Without) -> World {
        let mut next = self.clone();
        next.epoch += 1;
        let kept = if without == Without::WhatWasKept { first().store } else { self.store.clone() };
        let mut change = kept;
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
        without: Without,
        broken: &mut Vec<String>,
    ) -> Vec<World> {
        let mut change = leader.change.clone();
        let looked = seen(self, leader);
        let mut next = self.clone();
        let heard: Vec<bool> = (0..3).map(|n| leader.heard[n] || self.proxies[n].up).collect();
        let heard = [heard[0], heard[1], heard[2]];
        if !change.step(&looked, verdict, self.now) {
            if heard != leader.heard {
                next.leaders[i] = Some(Leader { heard, change, ..leader.clone() });
                return vec![next];
            }
            return Vec::new();
        }
        check(&leader.change, &change, verdict, &looked, broken);
        let mut all = Vec::new();
        if without == Without::KeepingFirst {
            // Told, and killed before it was kept.
            for p in 0..3 {
                let told = self.delivered(&change, leader.epoch, p, without);
                all.extend(told.map(|mut w| {
                    w.leaders[i] = None;
                    w
                }));
            }
        }
        if leader.epoch == self.epoch || without == Without::TheFenceOfTheStore {
            for (n, name) in NAMES.iter().enumerate() {
                next.told[n] |= change.moved.contains_key(*name) || change.phase == Phase::Done;
            }
            if self.store.phase.back().is_some() && change.phase.back().is_none() || self.store.phase.over() {
                broken.push(format!("the store held {}, and now {}", self.store.phase, change.phase));
            }
            let left = self.store.moved.keys().find(|n| !change.moved.contains_key(*n));
            if let (Some(left), None) = (left, change.phase.back()) {
                broken.push(format!("{left} is told back, and the change does not go back"));
            }
            next.store = change.clone();
            next.leaders[i] = Some(Leader { epoch: leader.epoch, change, heard });
            // Killed between the write and the first word: the store has it, and nobody else.
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

    /// A leader's word comes to a proxy, however late.
    fn delivered(&self, change: &Rollout, epoch: u64, p: usize, without: Without) -> Option<World> {
        let proxy = &self.proxies[p];
        if !proxy.up || epoch < proxy.fence && without != Without::TheFenceOfProxies {
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

    /// What must hold in each state.
    fn holds(&self, broken: &mut Vec<String>) {
        for (n, p) in self.proxies.iter().enumerate() {
            if p.acting && !self.told[n] {
                broken.push(format!("{} acts by the new, and the store never had it told", NAMES[n]));
            }
        }
        // Who went back on the word of the leader of today stays so, whatever an older one still says.
        let told = |p: &&Proxy| p.up && p.acting && p.fence == self.epoch;
        if matches!(self.store.phase, Phase::GoneBack { .. }) && self.proxies.iter().any(|p| told(&p)) {
            broken.push("all has gone back, and one that has heard so acts by the new".into());
        }
        let runs = self.leaders.iter().flatten().filter(|l| l.epoch == self.epoch).count();
        if runs > 1 {
            broken.push("two leaders of one epoch".into());
        }
    }

    /// Faults end, one leader goes on, all are up and hear it: the change must end, and all must act as it says.
    fn ends(&self) -> Result<(), String> {
        let mut world = self.taken_over(0, Without::Nothing);
        world.leaders[1] = None;
        world.proxies.iter_mut().for_each(|p| p.up = true);
        for _ in 0..200 {
            world.now += SECOND;
            let leader = world.leaders[0].clone().expect("it leads");
            let mut ignored = Vec::new();
            if let Some(next) =
                world.stepped(0, &leader, &Verdict::Passed, Without::Nothing, &mut ignored).pop()
            {
                world = next;
            }
            let leader = world.leaders[0].clone().expect("it leads");
            for p in 0..3 {
                if let Some(next) = world.delivered(&leader.change, leader.epoch, p, Without::Nothing) {
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

/// What must hold of each step.
fn check(
    before: &Rollout,
    after: &Rollout,
    verdict: &Verdict,
    seen: &[FleetView<'_>],
    broken: &mut Vec<String>,
) {
    let new: Vec<&str> =
        after.moved.keys().filter(|n| !before.moved.contains_key(*n)).map(String::as_str).collect();
    if !new.is_empty() {
        let way = |s: &&FleetView<'_>| after.moved.contains_key(s.name) && s.acting != after.to;
        let on_way: Vec<&FleetView<'_>> = seen.iter().filter(way).collect();
        let zones: HashSet<&str> = on_way.iter().map(|s| s.zone).collect();
        if on_way.len() > after.plan.at_once || zones.len() > 1 {
            broken.push(format!("{} on their way in {zones:?}", on_way.len()));
        }
    }
    let stage = |c: &Rollout| if c.phase == Phase::Done { Some(usize::MAX) } else { c.stage() };
    if let (Some(from), Some(to)) = (stage(before), stage(after)) {
        if to > from && *verdict != Verdict::Passed {
            broken.push(format!("stage {from} was left for {to} on {verdict:?}"));
        }
        let behind = seen.iter().any(|s| before.moved.contains_key(s.name) && s.acting != before.to);
        if to > from && behind {
            broken.push(format!("stage {from} was left while one of it does not act by the new"));
        }
    }
    if matches!(verdict, Verdict::Worse(_)) && before.phase.back().is_none() && after.phase.back().is_none() {
        broken.push("the new are worse, and it does not go back".into());
    }
    if before.phase.back().is_some() && after.phase.back().is_none() {
        broken.push("it went back, and goes on again".into());
    }
}

/// All states that can be reached, at most so many; what is broken, and on which way first.
fn explore(without: Without, most: usize) -> (usize, usize, Vec<String>) {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([first()]);
    let mut broken = Vec::new();
    let mut ends = 0;
    seen.insert(first().key());
    while let Some(world) = queue.pop_front() {
        world.holds(&mut broken);
        if without == Without::Nothing {
            match world.ends() {
                Ok(()) => ends += 1,
                Err(why) => broken.push(why),
            }
        }
        if !broken.is_empty() || seen.len() >= most {
            return (seen.len(), ends, broken);
        }
        for next in world.next(without, &mut broken) {
            if seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), ends, broken)
}

/// `RUSHQUAY_STATES=2000000 cargo test --release ... explore -- --nocapture` looks at more of them.
fn states() -> usize {
    std::env::var("RUSHQUAY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(40_000)
}

#[test]
fn no_order_of_steps_faults_and_words_breaks_the_promise() {
    let (states, ends, broken) = explore(Without::Nothing, states());
    println!("{states} states, {ends} of them played to their end");
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn each_guard_that_is_taken_out_is_missed() {
    for without in
        [Without::KeepingFirst, Without::TheFenceOfProxies, Without::TheFenceOfTheStore, Without::WhatWasKept]
    {
        let (states, _, broken) = explore(without, 400_000);
        println!("{without:?}: {states} states, {broken:?}");
        assert!(!broken.is_empty(), "nothing breaks without {without:?} in {states} states");
    }
}
