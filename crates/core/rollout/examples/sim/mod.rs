//! A simulated fleet in virtual time: proxies with random requests, and the membership, analysis and registry that drive a rollout over
//! them as the control service does.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Poisson};
use rand_pcg::Pcg64Mcg;
use rushquay_config_version::{Digest, FORM};
use rushquay_membership::{ClassStats, MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report};
use rushquay_rollout::{
    Analysis, Bounds, FleetView, HoldReason, Phase, PlanText, RollbackReason, RolloutRegistry,
    RolloutRequest, Verdict, SECOND,
};
use serde_json::json;

/// A request class: its rate at each proxy, the part of bad outcomes, and the median time in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub rate: f64,
    pub bad: f64,
    pub median_ms: f64,
}

/// The defect of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// This part more of a class has bad outcomes.
    Bad(&'static str, f64),
    /// The same in one data centre alone.
    BadIn(&'static str, &'static str, f64),
    /// All response times are multiplied by this.
    Slow(f64),
}

#[derive(Clone, Debug)]
pub struct World {
    pub proxies: usize,
    pub zones: usize,
    pub classes: Vec<Class>,
    pub defect: Defect,
    /// Bursts: this many of the requests in a second at a proxy have bad outcomes together, at times.
    pub burst: (f64, f64),
    /// The part of reports that is lost.
    pub lost: f64,
    /// From and until, in seconds, this part more of all requests have bad outcomes everywhere.
    pub trouble: Option<(u64, u64, f64)>,
    pub plan: PlanText,
    pub seed: u64,
}

impl World {
    pub fn new(proxies: usize, seed: u64) -> Self {
        let class = |name, rate, bad, median_ms| Class { name, rate, bad, median_ms };
        let classes = vec![
            class("schedule-read", 8.0, 0.004, 40.0),
            class("setpoint-read", 3.5, 0.01, 45.0),
            class("history-read", 2.0, 0.004, 55.0),
            class("setpoint-change", 1.0, 0.006, 70.0),
        ];
        let plan = PlanText { soak_s: 60.0, ..PlanText::default() };
        World {
            proxies,
            zones: 4,
            classes,
            defect: Defect::None,
            burst: (0.01, 0.3),
            lost: 0.01,
            trouble: None,
            plan,
            seed,
        }
    }
}

#[derive(Debug)]
pub struct End {
    /// `None`: the rollout had not ended by the last second.
    pub done: Option<bool>,
    pub why: Option<RollbackReason>,
    /// Seconds from the start of the rollout.
    pub seconds: u64,
    /// Proxies that ever applied the new version.
    pub tried: usize,
    /// Bad outcomes caused by the defect.
    pub harmed: f64,
    /// Maximum number of proxies in transit at once.
    pub on_way: usize,
}

struct Proxy {
    name: String,
    zone: String,
    figures: ProxyStats,
    acting: Digest,
    seq: u64,
    tried: bool,
}

/// Seconds without a rollout, for the baseline.
const BEFORE: u64 = 70;

/// Plays one rollout, for so many seconds at most. `watch` gets the registry after each second.
#[expect(clippy::too_many_lines, reason = "the steps of one simulated second, in their order")]
pub fn play(world: &World, most: u64, mut watch: impl FnMut(&RolloutRegistry, &[FleetView<'_>])) -> End {
    let mut random = Pcg64Mcg::seed_from_u64(world.seed);
    let terms = MembershipTimeouts { most: world.proxies * 2, ..MembershipTimeouts::default() };
    let (mut membership, mut registry) = (Membership::new(terms), RolloutRegistry::default());
    let mut analysis = Analysis::new(Bounds::default());
    let base = registry.record().holds;
    let proxy = |n: usize| Proxy {
        name: format!("p{n}"),
        zone: format!("z{}", n % world.zones),
        figures: ProxyStats::default(),
        acting: base,
        seq: 0,
        tried: false,
    };
    let mut proxies: Vec<Proxy> = (0..world.proxies).map(proxy).collect();
    let mut end = End { done: None, why: None, seconds: 0, tried: 0, harmed: 0.0, on_way: 0 };
    for second in 0..BEFORE + most {
        let now = (second + 1) * SECOND;
        if second == BEFORE {
            let settings = json!({"over_share_worth": 0.5});
            let ask = RolloutRequest {
                settings,
                plan: world.plan.clone(),
                author: "a".into(),
                reason: "r".into(),
                displace: false,
            };
            registry.start(ask, None, analysis.usual(), now).expect("begun");
            analysis.begin(4);
        }
        let to = registry.record().change.as_ref().map_or(base, |c| c.to);
        let trouble =
            world.trouble.filter(|(from, to, _)| (*from..*to).contains(&second)).map_or(0.0, |t| t.2);
        for p in &mut proxies {
            // Assignments of the previous second are applied.
            p.acting = registry.given(&p.name).1.digest();
            let new = p.acting == to && to != base;
            p.tried |= new;
            end.harmed += serve(world, p, new, trouble, &mut random);
            p.seq += 1;
            if random.random::<f64>() < world.lost {
                continue;
            }
            let report = Report {
                form: FORM,
                boot: 1,
                seq: p.seq,
                zone: p.zone.clone(),
                version: "1".into(),
                program: None,
                acting: p.acting,
                change: 0,
                refused: None,
                leaving: false,
                figures: p.figures.clone(),
            };
            membership.hear(&p.name, report, 1, now);
        }
        let serving = membership.instances().filter(|i| membership.standing(i, now) == MemberStatus::Serving);
        let seen: Vec<FleetView<'_>> = membership
            .instances()
            .map(|i| FleetView {
                name: &i.told.name,
                zone: &i.told.zone,
                standing: membership.standing(i, now),
                acting: i.told.acting,
                since: i.since(),
                quiet: now - i.heard.unwrap_or(0),
                refused: None,
            })
            .collect();
        let Some(change) = registry.running() else {
            analysis.look(serving, |_| false, (base, base), SECOND);
            continue;
        };
        let (from, to) = (change.from, change.to);
        analysis.look(serving, |name| change.moved.contains_key(name), (from, to), SECOND);
        let verdict = match change.stage() {
            Some(stage) => analysis.verdict(change.plan.stage(stage).soak, change.plan.last(stage), now),
            None => Verdict::Waiting(String::new()),
        };
        let before = change.phase.clone();
        registry.step(&seen, &verdict, now);
        let change = registry.record().change.as_ref().expect("it was begun");
        if change.phase != before {
            match change.phase {
                Phase::Moving { .. }
                    if matches!(before, Phase::Held { why: HoldReason::Silent { .. }, .. }) => {}
                Phase::Moving { .. } => analysis.begin(change.plan.stages().len()),
                Phase::Soaking { .. } => analysis.soak(now),
                _ => {}
            }
        }
        let on_way = seen.iter().filter(|s| change.given(s.name) == to && s.acting != to).count();
        end.on_way = end.on_way.max(on_way);
        watch(&registry, &seen);
        end.seconds = second - BEFORE;
        match &change.phase {
            Phase::Done => end.done = Some(true),
            Phase::GoneBack { why } => (end.done, end.why) = (Some(false), Some(why.clone())),
            _ => continue,
        }
        break;
    }
    end.tried = proxies.iter().filter(|p| p.tried).count();
    end
}

/// Plays a second of requests at a proxy; returns how many more had bad outcomes than without the defect.
fn serve(world: &World, p: &mut Proxy, new: bool, trouble: f64, random: &mut Pcg64Mcg) -> f64 {
    let mut harmed = 0.0;
    let burst = if random.random::<f64>() < world.burst.0 { world.burst.1 } else { 0.0 };
    for class in &world.classes {
        let asked = Poisson::new(class.rate).expect("a rate").sample(random) as u64;
        let worse = match world.defect {
            Defect::Bad(name, part) if new && (name == class.name || name.is_empty()) => part,
            Defect::BadIn(zone, name, part) if new && zone == p.zone && name == class.name => part,
            _ => 0.0,
        };
        let slow = match world.defect {
            Defect::Slow(times) if new => times,
            _ => 1.0,
        };
        let times = LogNormal::new((class.median_ms * slow).ln(), 0.5).expect("times");
        let figures: &mut ClassStats = p.figures.classes.entry(class.name.to_owned()).or_default();
        for _ in 0..asked {
            p.figures.attempts += 1;
            let drawn = random.random::<f64>();
            let usual = (class.bad + burst + trouble).min(1.0);
            if drawn < (usual + worse).min(1.0) {
                figures.refused += 1;
                harmed += f64::from(u8::from(drawn >= usual));
            } else {
                figures.took((times.sample(random) * 1e6) as u64);
                figures.served += 1;
            }
        }
    }
    harmed
}
