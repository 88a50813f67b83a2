//! Exhaustive exploration of the states of a small rollout: three proxies in two data centres, and two leaders that share one store.
//! Invariants are checked in each state, and from each state the rollout must end if there are no further faults.

use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;
use rushquay_rollout::{
    Finding, FleetView, Measure, Phase, Plan, PlanText, Rollout, StageText, Verdict, SECOND,
};
use std::collections::{HashSet, VecDeque};

const ZONES: [&str; 3] = ["a", "a", "b"];
const NAMES: [&str; 3] = ["p0", "p1", "p2"];

/// A safeguard that is removed, to show that the exploration detects its absence.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Removed {
    Nothing,
    /// A step is persisted before proxies get assignments by it.
    PersistBeforeAssigning,
    /// The store rejects writes of an expired epoch.
    StoreFencing,
    /// Proxies ignore assignments of an expired epoch.
    ProxyFencing,
    /// A new leader restores the stored record.
    StoredRecord,
}

#[derive(Clone, PartialEq, Debug)]
struct Proxy {
    /// Whether it applies the new version.
    applies_new: bool,
    is_up: bool,
    /// The highest epoch of an assignment that it has received.
    max_epoch: u64,
}

#[derive(Clone, PartialEq, Debug)]
struct Leader {
    epoch: u64,
    rollout: Rollout,
    /// Proxies of which this leader has received a report.
    has_report: [bool; 3],
}

#[derive(Clone, PartialEq, Debug)]
struct World {
    now: u64,
    /// The stored record.
    store: Rollout,
    /// The epoch of the last leader.
    epoch: u64,
    leaders: [Option<Leader>; 2],
    proxies: [Proxy; 3],
    /// Proxies that the stored record has ever moved to the new version.
    ever_moved: [bool; 3],
    /// Number of faults so far.
    faults: u8,
}

fn digests() -> (Digest, Digest) {
    (Digest::of(b"old"), Digest::of(b"new"))
}

fn initial() -> World {
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
    let rollout = Rollout::new(1, digests(), plan, ("a".into(), "r".into()), 0);
    let proxy = Proxy { applies_new: false, is_up: true, max_epoch: 0 };
    World {
        now: 0,
        store: rollout,
        epoch: 0,
        leaders: [None, None],
        proxies: [proxy.clone(), proxy.clone(), proxy],
        ever_moved: [false; 3],
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

fn fleet_view<'a>(world: &World, leader: &Leader) -> Vec<FleetView<'a>> {
    let (from, to) = digests();
    let view = |n: usize| {
        let p = &world.proxies[n];
        let standing = match (leader.has_report[n], p.is_up) {
            (_, true) => MemberStatus::Serving,
            (true, false) => MemberStatus::Down,
            (false, false) => MemberStatus::Unheard,
        };
        let acting = if p.applies_new { to } else { from };
        // An absent proxy counts as absent for longer than any timeout.
        let quiet = if p.is_up { 0 } else { 100 * SECOND };
        FleetView {
            name: NAMES[n],
            zone: ZONES[n],
            status: standing,
            applied_version: acting,
            since: 0,
            since_last_report: quiet,
            refused: None,
        }
    };
    (0..3).map(view).collect()
}

/// Maximum number of faults on a path.
const MAX_FAULTS: u8 = 2;

impl World {
    /// The identity of a state. Times are relative to now, and capped above all timeouts.
    fn key(&self) -> String {
        let ago = |t: u64| (self.now.saturating_sub(t) / SECOND).min(6);
        let rollout_key = |c: &Rollout| {
            let phase = match &c.phase {
                Phase::Soaking { stage, since } => format!("soak {stage} {}", ago(*since)),
                Phase::Held { stage, why, since } => format!("held {stage} {why} {}", ago(*since)),
                other => format!("{other}"),
            };
            let times = |m: &std::collections::BTreeMap<String, u64>| {
                m.iter().map(|(n, t)| format!("{n}{}", ago(*t))).collect::<String>()
            };
            format!("{phase}|{}|{}|{}", times(&c.moved), times(&c.returned), c.in_stage)
        };
        let leader = |l: &Option<Leader>| {
            l.as_ref()
                .map(|l| format!("{}{}{:?}", self.epoch - l.epoch, rollout_key(&l.rollout), l.has_report))
        };
        let proxies: Vec<_> = self
            .proxies
            .iter()
            .map(|p| (p.applies_new, p.is_up, self.epoch.saturating_sub(p.max_epoch).min(3)))
            .collect();
        format!(
            "{}#{:?}#{proxies:?}#{:?}#{}",
            rollout_key(&self.store),
            self.leaders.each_ref().map(leader),
            self.ever_moved,
            self.faults
        )
    }

    fn next(&self, removed: Removed, violations: &mut Vec<String>) -> Vec<World> {
        let mut all = Vec::new();
        // Time passes.
        all.push(World { now: self.now + SECOND, ..self.clone() });
        for i in 0..2 {
            // Another leader takes over; the present one may not know it.
            if self.faults < MAX_FAULTS && self.leaders[i].is_none() {
                all.push(self.on_takeover(i, removed));
            }
            let Some(leader) = &self.leaders[i] else { continue };
            if self.faults < MAX_FAULTS {
                let mut crashed = self.clone();
                (crashed.leaders[i], crashed.faults) = (None, crashed.faults + 1);
                all.push(crashed);
            }
            for verdict in
                [Verdict::Waiting(String::new()), Verdict::Passed, worse(), Verdict::FleetProblem("t".into())]
            {
                all.extend(self.stepped(i, leader, &verdict, removed, violations));
            }
            for p in 0..3 {
                all.extend(self.delivered(&leader.rollout, leader.epoch, p, removed));
            }
        }
        for p in 0..3 {
            if self.faults < MAX_FAULTS || !self.proxies[p].is_up {
                let mut other = self.clone();
                // A restarted process applies its own settings file and knows no epoch.
                other.proxies[p] = Proxy { applies_new: false, is_up: !self.proxies[p].is_up, max_epoch: 0 };
                other.faults += u8::from(self.proxies[p].is_up);
                all.push(other);
            }
        }
        all
    }

    fn on_takeover(&self, i: usize, removed: Removed) -> World {
        let mut next = self.clone();
        next.epoch += 1;
        let restored = if removed == Removed::StoredRecord { initial().store } else { self.store.clone() };
        let mut rollout = restored;
        rollout.on_takeover(self.now);
        next.leaders[i] = Some(Leader { epoch: next.epoch, rollout, has_report: [false; 3] });
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
        let mut rollout = leader.rollout.clone();
        let fleet = fleet_view(self, leader);
        let mut next = self.clone();
        let has_report: Vec<bool> = (0..3).map(|n| leader.has_report[n] || self.proxies[n].is_up).collect();
        let has_report = [has_report[0], has_report[1], has_report[2]];
        if !rollout.step(&fleet, verdict, self.now) {
            if has_report != leader.has_report {
                next.leaders[i] = Some(Leader { has_report, rollout, ..leader.clone() });
                return vec![next];
            }
            return Vec::new();
        }
        check(&leader.rollout, &rollout, verdict, &fleet, violations);
        let mut all = Vec::new();
        if removed == Removed::PersistBeforeAssigning {
            // A proxy gets its assignment, and the leader is killed before the step is persisted.
            for p in 0..3 {
                let delivered = self.delivered(&rollout, leader.epoch, p, removed);
                all.extend(delivered.map(|mut w| {
                    w.leaders[i] = None;
                    w
                }));
            }
        }
        if leader.epoch == self.epoch || removed == Removed::StoreFencing {
            for (n, name) in NAMES.iter().enumerate() {
                next.ever_moved[n] |= rollout.moved.contains_key(*name) || rollout.phase == Phase::Done;
            }
            if self.store.phase.rollback_reason().is_some() && rollout.phase.rollback_reason().is_none()
                || self.store.phase.has_ended()
            {
                violations
                    .push(format!("the stored phase changed from {} to {}", self.store.phase, rollout.phase));
            }
            let returned = self.store.moved.keys().find(|n| !rollout.moved.contains_key(*n));
            if let (Some(returned), None) = (returned, rollout.phase.rollback_reason()) {
                violations.push(format!("{returned} is assigned the old version again without a rollback"));
            }
            next.store = rollout.clone();
            next.leaders[i] = Some(Leader { epoch: leader.epoch, rollout, has_report });
            // The leader is killed between the write and the first assignment: the step is only in the store.
            if self.faults < MAX_FAULTS {
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

    /// An assignment of a leader, which may be outdated, reaches a proxy. `None`: the proxy does not change.
    fn delivered(&self, rollout: &Rollout, epoch: u64, p: usize, removed: Removed) -> Option<World> {
        let proxy = &self.proxies[p];
        if !proxy.is_up || epoch < proxy.max_epoch && removed != Removed::ProxyFencing {
            return None;
        }
        let applies_new = rollout.assigned_version(NAMES[p]) == digests().1;
        let assigned = Proxy { applies_new, is_up: true, max_epoch: epoch.max(proxy.max_epoch) };
        (assigned != *proxy).then(|| {
            let mut next = self.clone();
            next.proxies[p] = assigned;
            next
        })
    }

    /// The invariants of each state.
    fn check_invariants(&self, violations: &mut Vec<String>) {
        for (n, p) in self.proxies.iter().enumerate() {
            if p.applies_new && !self.ever_moved[n] {
                violations
                    .push(format!("{} applies the new version, and no stored record moved it", NAMES[n]));
            }
        }
        // A proxy that the present leader assigned the old version keeps it, although an older leader may still send assignments.
        let applies_new = |p: &&Proxy| p.is_up && p.applies_new && p.max_epoch == self.epoch;
        if matches!(self.store.phase, Phase::RolledBack { .. })
            && self.proxies.iter().any(|p| applies_new(&p))
        {
            violations.push("the rollout is rolled back, and a proxy with an assignment of the last leader applies the new version".into());
        }
        let current_leaders = self.leaders.iter().flatten().filter(|l| l.epoch == self.epoch).count();
        if current_leaders > 1 {
            violations.push("two leaders have the same epoch".into());
        }
    }

    /// Checks that without further faults, with one leader and all proxies up, the rollout ends and all proxies apply the resulting version.
    fn terminates(&self) -> Result<(), String> {
        let mut world = self.on_takeover(0, Removed::Nothing);
        world.leaders[1] = None;
        world.proxies.iter_mut().for_each(|p| p.is_up = true);
        for _ in 0..200 {
            world.now += SECOND;
            let leader = world.leaders[0].clone().expect("a leader");
            let mut ignored = Vec::new();
            if let Some(next) =
                world.stepped(0, &leader, &Verdict::Passed, Removed::Nothing, &mut ignored).pop()
            {
                world = next;
            }
            let leader = world.leaders[0].clone().expect("a leader");
            for p in 0..3 {
                if let Some(next) = world.delivered(&leader.rollout, leader.epoch, p, Removed::Nothing) {
                    world = next;
                }
            }
            let applies_result =
                |p: usize| world.proxies[p].applies_new == (world.store.phase == Phase::Done);
            if world.store.phase.has_ended() && (0..3).all(applies_result) {
                return Ok(());
            }
        }
        Err(format!("the rollout does not end: {:?} {:?}", world.store.phase, world.proxies))
    }
}

/// Checks the invariants of a step.
fn check(
    before: &Rollout,
    after: &Rollout,
    verdict: &Verdict,
    fleet: &[FleetView<'_>],
    violations: &mut Vec<String>,
) {
    let newly_moved: Vec<&str> =
        after.moved.keys().filter(|n| !before.moved.contains_key(*n)).map(String::as_str).collect();
    if !newly_moved.is_empty() {
        let is_in_transit =
            |s: &&FleetView<'_>| after.moved.contains_key(s.name) && s.applied_version != after.to;
        let in_transit: Vec<&FleetView<'_>> = fleet.iter().filter(is_in_transit).collect();
        let zones: HashSet<&str> = in_transit.iter().map(|s| s.zone).collect();
        if in_transit.len() > after.plan.max_in_transit || zones.len() > 1 {
            violations.push(format!("{} in transit in {zones:?}", in_transit.len()));
        }
    }
    let stage = |c: &Rollout| if c.phase == Phase::Done { Some(usize::MAX) } else { c.stage() };
    if let (Some(from), Some(to)) = (stage(before), stage(after)) {
        if to > from && *verdict != Verdict::Passed {
            violations.push(format!("stage {from} ended for stage {to} with the verdict {verdict:?}"));
        }
        let is_incomplete =
            fleet.iter().any(|s| before.moved.contains_key(s.name) && s.applied_version != before.to);
        if to > from && is_incomplete {
            violations
                .push(format!("stage {from} ended while one of its proxies does not apply the new version"));
        }
    }
    if matches!(verdict, Verdict::Worse(_))
        && before.phase.rollback_reason().is_none()
        && after.phase.rollback_reason().is_none()
    {
        violations.push("the new cohort is worse, and the rollout is not rolled back".into());
    }
    if before.phase.rollback_reason().is_some() && after.phase.rollback_reason().is_none() {
        violations.push("a rollback was abandoned".into());
    }
}

/// Explores reachable states until a violation is found or there are `max_states`. Returns the number of states, the number of those from
/// which the rollout was shown to end, and the violations.
fn explore(removed: Removed, max_states: usize) -> (usize, usize, Vec<String>) {
    let mut visited = HashSet::new();
    let mut queue = VecDeque::from([initial()]);
    let mut violations = Vec::new();
    let mut terminated = 0;
    visited.insert(initial().key());
    while let Some(world) = queue.pop_front() {
        world.check_invariants(&mut violations);
        if removed == Removed::Nothing {
            match world.terminates() {
                Ok(()) => terminated += 1,
                Err(why) => violations.push(why),
            }
        }
        if !violations.is_empty() || visited.len() >= max_states {
            return (visited.len(), terminated, violations);
        }
        for next in world.next(removed, &mut violations) {
            if visited.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    (visited.len(), terminated, violations)
}

/// The number of states to explore. To explore more:
/// `RUSHQUAY_STATES=2000000 cargo test --release -p rushquay-rollout --test state_exploration -- --nocapture`.
fn max_states() -> usize {
    std::env::var("RUSHQUAY_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(40_000)
}

#[test]
fn no_interleaving_within_the_state_bound_violates_an_invariant() {
    let (states, terminated, violations) = explore(Removed::Nothing, max_states());
    println!("{states} states; the rollout ends from {terminated} of them");
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn removing_any_safeguard_is_detected() {
    for removed in
        [Removed::PersistBeforeAssigning, Removed::ProxyFencing, Removed::StoreFencing, Removed::StoredRecord]
    {
        let (states, _, violations) = explore(removed, 400_000);
        println!("{removed:?}: {states} states, {violations:?}");
        assert!(!violations.is_empty(), "no violation without {removed:?} in {states} states");
    }
}
