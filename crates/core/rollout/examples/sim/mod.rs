//! A simulated fleet in virtual time: proxies with random requests, and a rollout over them, driven by the membership, the analysis and
//! the registry in the way that the control service does it.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Poisson};
use rand_pcg::Pcg64Mcg;
use rushquay_config_version::{Digest, FORMAT_VERSION};
use rushquay_membership::{ClassStats, MemberStatus, Membership, MembershipTimeouts, ProxyStats, Report};
use rushquay_rollout::{
    Analysis, Bounds, FleetView, HoldReason, Phase, PlanText, RollbackReason, RolloutRegistry,
    RolloutRequest, Verdict, SECOND,
};
use serde_json::json;

/// A request class.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Requests per second at each proxy.
    pub rate: f64,
    /// Share of requests with bad outcomes.
    pub bad: f64,
    /// Median response time in milliseconds.
    pub median_ms: f64,
}

/// The defect of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// Adds this share of bad outcomes to a class; an empty name means all classes.
    Bad(&'static str, f64),
    /// The same in one data centre only.
    BadIn(&'static str, &'static str, f64),
    /// Multiplies all response times by this factor.
    Slow(f64),
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct World {
    pub proxies: usize,
    pub zones: usize,
    pub classes: Vec<Class>,
    pub defect: Defect,
    /// Bursts of bad outcomes: the probability of one per proxy and second, and the share of requests that it adds to the bad outcomes.
    pub burst: (f64, f64),
    /// Share of reports that are lost.
    pub lost_reports: f64,
    /// A fleet-wide problem: its start and end in seconds, and the share of requests that it adds to the bad outcomes.
    pub fleet_problem: Option<(u64, u64, f64)>,
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
            lost_reports: 0.01,
            fleet_problem: None,
            plan,
            seed,
        }
    }
}

/// The result of a simulated rollout.
#[derive(Debug)]
pub struct SimulationResult {
    /// Whether the rollout completed or was rolled back; `None`: it had not ended by the last second.
    pub completed: Option<bool>,
    /// Why it was rolled back.
    pub reason: Option<RollbackReason>,
    /// Seconds from the start of the rollout to its end.
    pub seconds: u64,
    /// Number of proxies that ever applied the new version.
    pub tried: usize,
    /// Number of bad outcomes caused by the defect.
    pub harmed: f64,
    /// Maximum number of proxies in transit at once.
    pub max_in_transit: usize,
}

struct Proxy {
    name: String,
    zone: String,
    figures: ProxyStats,
    acting: Digest,
    seq: u64,
    tried: bool,
}

/// Seconds before the start of the rollout, in which the baseline is learned.
const BASELINE_SECONDS: u64 = 70;

/// Simulates one rollout for at most `max_seconds`. `observe` gets the registry and the fleet after each second.
#[expect(clippy::too_many_lines, reason = "the steps of one simulated second, in their order")]
pub fn simulate(
    world: &World,
    max_seconds: u64,
    mut observe: impl FnMut(&RolloutRegistry, &[FleetView<'_>]),
) -> SimulationResult {
    let mut random = Pcg64Mcg::seed_from_u64(world.seed);
    let timeouts = MembershipTimeouts { max_members: world.proxies * 2, ..MembershipTimeouts::default() };
    let (mut membership, mut registry) = (Membership::new(timeouts), RolloutRegistry::default());
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
    let mut result = SimulationResult {
        completed: None,
        reason: None,
        seconds: 0,
        tried: 0,
        harmed: 0.0,
        max_in_transit: 0,
    };
    for second in 0..BASELINE_SECONDS + max_seconds {
        let now = (second + 1) * SECOND;
        if second == BASELINE_SECONDS {
            let settings = json!({"over_share_worth": 0.5});
            let request = RolloutRequest {
                settings,
                plan: world.plan.clone(),
                author: "a".into(),
                reason: "r".into(),
                displace: false,
            };
            registry.start(request, None, analysis.baseline_rates(), now).expect("started");
            analysis.begin_stage(4);
        }
        let to = registry.record().change.as_ref().map_or(base, |c| c.to);
        let problem =
            world.fleet_problem.filter(|(from, to, _)| (*from..*to).contains(&second)).map_or(0.0, |t| t.2);
        for p in &mut proxies {
            // Proxies apply the assignments of the previous second.
            p.acting = registry.assigned_version(&p.name).1.digest();
            let is_new = p.acting == to && to != base;
            p.tried |= is_new;
            result.harmed += serve(world, p, is_new, problem, &mut random);
            p.seq += 1;
            if random.random::<f64>() < world.lost_reports {
                continue;
            }
            let report = Report {
                form: FORMAT_VERSION,
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
            membership.process_report(&p.name, report, 1, now);
        }
        let serving = membership.members().filter(|i| membership.status(i, now) == MemberStatus::Serving);
        let fleet: Vec<FleetView<'_>> = membership
            .members()
            .map(|i| FleetView {
                name: &i.record.name,
                zone: &i.record.zone,
                status: membership.status(i, now),
                applied_version: i.record.acting,
                since: i.since(),
                since_last_report: now - i.last_report_at.unwrap_or(0),
                refused: None,
            })
            .collect();
        let Some(change) = registry.running() else {
            analysis.observe_interval(serving, |_| false, (base, base), SECOND);
            continue;
        };
        let (from, to) = (change.from, change.to);
        analysis.observe_interval(serving, |name| change.moved.contains_key(name), (from, to), SECOND);
        let verdict = match change.stage() {
            Some(stage) => {
                analysis.verdict(change.plan.stage(stage).soak, change.plan.is_last_stage(stage), now)
            }
            None => Verdict::Waiting(String::new()),
        };
        let before = change.phase.clone();
        registry.step(&fleet, &verdict, now);
        let change = registry.record().change.as_ref().expect("a rollout was started");
        if change.phase != before {
            match change.phase {
                Phase::Moving { .. }
                    if matches!(before, Phase::Held { why: HoldReason::Silent { .. }, .. }) => {}
                Phase::Moving { .. } => analysis.begin_stage(change.plan.stages().len()),
                Phase::Soaking { .. } => analysis.begin_soak(now),
                _ => {}
            }
        }
        let in_transit =
            fleet.iter().filter(|s| change.assigned_version(s.name) == to && s.applied_version != to).count();
        result.max_in_transit = result.max_in_transit.max(in_transit);
        observe(&registry, &fleet);
        result.seconds = second - BASELINE_SECONDS;
        match &change.phase {
            Phase::Done => result.completed = Some(true),
            Phase::RolledBack { why } => (result.completed, result.reason) = (Some(false), Some(why.clone())),
            _ => continue,
        }
        break;
    }
    result.tried = proxies.iter().filter(|p| p.tried).count();
    result
}

/// Simulates the requests of one second at a proxy. Returns the number of bad outcomes caused by the defect.
fn serve(world: &World, p: &mut Proxy, is_new: bool, problem: f64, random: &mut Pcg64Mcg) -> f64 {
    let mut harmed = 0.0;
    let burst = if random.random::<f64>() < world.burst.0 { world.burst.1 } else { 0.0 };
    for class in &world.classes {
        let requests = Poisson::new(class.rate).expect("a valid rate").sample(random) as u64;
        let defect_share = match world.defect {
            Defect::Bad(name, share) if is_new && (name == class.name || name.is_empty()) => share,
            Defect::BadIn(zone, name, share) if is_new && zone == p.zone && name == class.name => share,
            _ => 0.0,
        };
        let slowdown = match world.defect {
            Defect::Slow(times) if is_new => times,
            _ => 1.0,
        };
        let times = LogNormal::new((class.median_ms * slowdown).ln(), 0.5).expect("a valid distribution");
        let figures: &mut ClassStats = p.figures.classes.entry(class.name.to_owned()).or_default();
        for _ in 0..requests {
            p.figures.attempts += 1;
            let draw = random.random::<f64>();
            let usual_share = (class.bad + burst + problem).min(1.0);
            if draw < (usual_share + defect_share).min(1.0) {
                figures.refused += 1;
                harmed += f64::from(u8::from(draw >= usual_share));
            } else {
                figures.record_response_time((times.sample(random) * 1e6) as u64);
                figures.served += 1;
            }
        }
    }
    harmed
}
