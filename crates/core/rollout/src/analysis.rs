//! What is seen of old and new over the same time, and the verdict on it. Kept by the leader alone, in memory: whoever leads
//! next begins anew, and a stage soaks anew with it.

use crate::cohorts::{slow, total, Bursts, Side, BURST};
use crate::fleet_baseline::{Count, Pulse};
use crate::sequential_test::{allowed, passes, Odds};
use crate::state_machine::Verdict;
use crate::timeline::Sample;
use crate::{Nanos, SECOND};
use rushquay_config_version::Digest;
use rushquay_membership::{ClassStats, Member, ProxyStats};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The error rates and margins of the verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The chance that a change that is no worse is stopped by any of the tests, over all its stages.
    pub alpha: f64,
    /// The chance that a stage passes whose new do worse than is allowed in a class, over all its looks.
    pub beta: f64,
    /// Bad ends may be so many times as many as among the old...
    pub times: f64,
    /// ...and so large a part of all beyond that.
    pub beyond: f64,
    /// Answers slower than the old's slowest tenth may be so many times as many and such a part beyond.
    pub slow: (f64, f64),
    /// In each data centre by itself the parts beyond may be so many times as large: fewer are asked there, and what is worse in one
    /// alone has to be excluded all the same.
    pub apart: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { alpha: 0.01, beta: 0.05, times: 1.5, beyond: 0.02, slow: (1.5, 0.1), apart: 4.0 }
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Refused, failed or late, of all.
    Bad,
    /// Failed, of all.
    Failed,
    /// Slower than half of the answers before the change, of those served.
    SlowHalf,
    /// Slower than nine in ten of them.
    SlowTenth,
    /// Attempts beyond the first, of all.
    Attempts,
    /// Restarts, for each second that one runs.
    Restarts,
    /// Resident memory.
    Memory,
    /// Open descriptors.
    Descriptors,
    /// Looks at the process's own clock that came late, of all.
    StoodStill,
}

/// Measures that are taken for each class.
const BY_CLASS: [Measure; 4] = [Measure::Bad, Measure::Failed, Measure::SlowHalf, Measure::SlowTenth];
/// Those that are tested beside, for all classes together.
const OVERALL: f64 = 5.0;

/// What a change was stopped for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// What does worse.
    pub measure: Measure,
    /// In which class; empty: all.
    pub class: String,
    /// In which data centre; empty: in all that the stage has reached, each compared by itself and the evidence taken together.
    #[serde(default)]
    pub zone: String,
    /// Among the new, and among the old over the same time.
    pub rates: [f64; 2],
    /// Of so many, each.
    pub of: [u64; 2],
    /// The natural logarithm of the evidence.
    pub evidence: f64,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let what = match self.measure {
            Measure::Bad => "refused, failed or late",
            Measure::Failed => "failed",
            Measure::SlowHalf => "slower than half before",
            Measure::SlowTenth => "slower than nine in ten before",
            Measure::Attempts => "attempts beyond the first",
            Measure::Restarts => "restarts a second",
            Measure::Memory => "bytes of memory",
            Measure::Descriptors => "descriptors",
            Measure::StoodStill => "stood still",
        };
        let class = if self.class.is_empty() { "all" } else { &self.class };
        let [new, old] = self.rates;
        let [of_new, of_old] = self.of;
        let place = if self.zone.is_empty() { String::new() } else { format!(" in {}", self.zone) };
        write!(
            f,
            "{class}: {what}{place}: new {new:.4} of {of_new}, old {old:.4} of {of_old} over the same time"
        )
    }
}

/// How a test stands, for people.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Score {
    /// Of what.
    pub measure: Measure,
    /// In which class; empty: all.
    pub class: String,
    /// In which data centre; empty: in all.
    pub zone: String,
    /// Bad ends of new and old.
    pub bad: [u64; 2],
    /// All of each.
    pub all: [u64; 2],
    /// The natural logarithm of the evidence that the new are worse.
    pub evidence: f64,
    /// At which the change stops.
    pub stops_at: f64,
}

/// Memory and descriptors of the new, against the old's mean: so many times as much and so much beyond, at so many looks in a
/// row.
const MEMORY: (f64, f64) = (1.5, 32.0 * 1048576.0);
const DESCRIPTORS: (f64, f64) = (1.5, 64.0);
const HOLDING: u32 = 10;
/// Instances that are away and remembered beside as many as serve.
const MARKS: usize = 1000;
/// For so long after its start what a process does is no evidence.
const YOUNG: Nanos = 10 * SECOND;

/// What a test is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Test {
    /// Empty: all data centres that were reached.
    zone: String,
    /// Empty: all classes.
    class: String,
    measure: Measure,
}

impl Test {
    fn new(zone: &str, class: &str, measure: Measure) -> Self {
        Test { zone: zone.to_owned(), class: class.to_owned(), measure }
    }
}

/// What is seen.
#[derive(Clone, Debug)]
pub struct Analysis {
    bounds: Bounds,
    replaces: bool,
    /// By instance: boot and figures when they were last taken.
    marks: BTreeMap<String, (u64, ProxyStats)>,
    /// Instances that have only just started: for how long what they do is no evidence.
    young: BTreeMap<String, Nanos>,
    /// Those of them that started to act by the new: a stage that soaked before they count would pass without them.
    coming: BTreeSet<String>,
    /// How the whole fleet does, and did before the change.
    pulse: Pulse,
    /// Times of the answers before the change, by class.
    usual: BTreeMap<String, ClassStats>,
    /// Buckets over which an answer is slow, by class: half, and nine in ten before were no slower.
    slow: BTreeMap<String, [usize; 2]>,
    tests: BTreeMap<Test, Odds>,
    /// Data centres in which some have changed.
    reached: BTreeSet<String>,
    /// How large bursts are, as the old show it.
    bursts: BTreeMap<(String, Measure), Bursts>,
    /// Looks in a row at which the new held too much.
    holding: [u32; 2],
    /// Means of what new and old hold.
    held: [[f64; 2]; 2],
    /// What old and new did in the last look, by class.
    last: BTreeMap<String, [Sample; 2]>,
    /// A change runs: what was before it stands.
    frozen: bool,
    /// Old and new are compared.
    compares: bool,
    /// Since when all of the stage have changed.
    soaks: Option<Nanos>,
    /// At how many looks it was asked whether the stage passes.
    asked: u32,
    /// How many stages share the chance of a false stop.
    stages: usize,
}

impl Analysis {
    /// Nothing has been seen.
    pub fn new(bounds: Bounds) -> Self {
        Analysis {
            replaces: false,
            bounds,
            marks: BTreeMap::new(),
            young: BTreeMap::new(),
            coming: BTreeSet::new(),
            pulse: Pulse::default(),
            usual: BTreeMap::new(),
            slow: BTreeMap::new(),
            tests: BTreeMap::new(),
            reached: BTreeSet::new(),
            bursts: BTreeMap::new(),
            holding: [0; 2],
            held: [[0.0; 2]; 2],
            last: BTreeMap::new(),
            frozen: false,
            compares: false,
            soaks: None,
            asked: 0,
            stages: 1,
        }
    }

    /// Whether the change brings another program: a process that only ends to make room for the new one has not failed.
    pub fn replaces(&mut self, replaces: bool) {
        self.replaces = replaces;
    }

    /// A stage of a change of so many begins: what was seen of those before is left. What was usual before the change stands
    /// until it is over.
    pub fn begin(&mut self, stages: usize) {
        self.frozen = true;
        for (class, figures) in &self.usual {
            if let Some(slow) = slow(figures) {
                self.slow.entry(class.clone()).or_insert(slow);
            }
        }
        self.tests.clear();
        self.reached.clear();
        self.holding = [0; 2];
        (self.asked, self.soaks, self.compares, self.stages) = (0, None, true, stages.max(1));
    }

    /// All of the stage have changed.
    pub fn soak(&mut self, now: Nanos) {
        (self.asked, self.soaks) = (0, Some(now));
    }

    /// No change runs any more: what is usual is learned anew.
    pub fn rest(&mut self) {
        if self.frozen {
            *self = Analysis { marks: std::mem::take(&mut self.marks), ..Analysis::new(self.bounds) };
        }
    }

    /// How the fleet did before the change: bad ends and attempts, as parts of all requests; `None`: not known.
    pub fn usual(&self) -> Option<[f64; 2]> {
        self.pulse.usual()
    }

    /// What another leader has seen before the change, where this one was not there.
    pub fn told_usual(&mut self, usual: Option<[f64; 2]>) {
        self.pulse.told_usual(usual);
    }

    /// Looks at all that serve. `moved`: who was told the new; who of them acts by `to` is new, who else acts by `from` is
    /// old. Only the old of the same data centres are compared with.
    pub fn look<'i>(
        &mut self,
        serving: impl Iterator<Item = &'i Member>,
        moved: impl Fn(&str) -> bool,
        (from, to): (Digest, Digest),
        span: Nanos,
    ) {
        let serving: Vec<&Member> = serving.collect();
        let zones: BTreeSet<&str> =
            serving.iter().filter(|i| moved(&i.told.name)).map(|i| i.told.zone.as_str()).collect();
        let mut sides: BTreeMap<String, [Side; 2]> = BTreeMap::new();
        // Danger: what the new alone do badly would pass for a trouble of all, and hold the change that should go back. Where old ones
        // of the same data centre are left, they show it; where none is, the new are all there is.
        let olds: BTreeSet<&str> =
            serving.iter().filter(|i| i.told.acting != to).map(|i| i.told.zone.as_str()).collect();
        let (mut shown, mut whole, mut names) = (Count::default(), Count::default(), BTreeSet::new());
        for one in serving {
            let told = &one.told;
            names.insert(told.name.as_str());
            let mark = self.marks.get(&told.name);
            let restarted = mark.is_some_and(|(boot, _)| *boot != told.boot);
            let fresh = match mark {
                Some((boot, before)) if *boot == told.boot => one.figures.since(before),
                // Seen for the first time: what it has counted was before.
                None => ProxyStats {
                    memory: one.figures.memory,
                    descriptors: one.figures.descriptors,
                    ..ProxyStats::default()
                },
                Some(_) => one.figures.clone(),
            };
            let side = match (moved(&told.name), told.acting) {
                (true, acting) if acting == to => Some(0),
                (false, acting) if acting == from && zones.contains(told.zone.as_str()) => Some(1),
                _ => None,
            };
            // What it was before did not act by the new: this start is the change itself.
            let made_room = self.replaces
                && moved(&told.name)
                && told.before.as_ref().is_some_and(|was| was.acting != to);
            // Danger: a process that has only just started knows no nodes yet and refuses all; one machine that fails at the wrong
            // moment would take a good change back. That it started again counts by itself.
            if restarted {
                self.young.insert(told.name.clone(), YOUNG);
                if made_room {
                    self.coming.insert(told.name.clone());
                }
            }
            let fresh = match self.young.get_mut(&told.name) {
                Some(left) if *left > 0 => {
                    *left = left.saturating_sub(span);
                    ProxyStats { classes: BTreeMap::new(), attempts: 0, beats: 0, late_beats: 0, ..fresh }
                }
                _ => fresh,
            };
            // What a process that is just coming up refuses is no trouble of all either: held for that, a version that fails from its
            // first second on would wait for a trouble to end that is its own.
            whole.take(&fresh);
            if told.acting != to || to == from || !olds.contains(told.zone.as_str()) {
                shown.take(&fresh);
            }
            if !self.frozen {
                for (name, class) in &fresh.classes {
                    self.usual.entry(name.clone()).or_default().add(class);
                }
            }
            if let Some(side) = side {
                sides.entry(told.zone.clone()).or_default()[side].take(fresh, restarted && !made_room, span);
            } else if restarted && moved(&told.name) && !made_room {
                // It ended while it acted by the new, and has not been told again yet.
                sides.entry(told.zone.clone()).or_default()[0].restarts += 1;
            }
            if one.figures.all() > 0 || one.figures.memory > 0 {
                self.marks.insert(told.name.clone(), (told.boot, one.figures.clone()));
            }
        }
        // Danger: who is just between two processes would come back as one that was never seen, and its restart count for
        // nothing. What is kept is bounded all the same.
        if self.marks.len() > 2 * names.len() + MARKS {
            self.marks.retain(|name, _| names.contains(name.as_str()));
        }
        self.young.retain(|_, left| *left > 0);
        self.coming.retain(|name| self.young.contains_key(name));
        self.pulse.look(shown, whole, self.frozen);
        self.last = self.samples(&sides);
        // Danger: what a trouble does to the two is the chance of where it strikes.
        if self.compares && self.pulse.trouble.is_none() {
            self.compare(&sides);
        }
    }

    /// What old and new did in the last look, by class, in the data centres that the change has reached.
    pub fn last(&self) -> &BTreeMap<String, [Sample; 2]> {
        &self.last
    }

    fn samples(&self, zones: &BTreeMap<String, [Side; 2]>) -> BTreeMap<String, [Sample; 2]> {
        let mut samples: BTreeMap<String, [Sample; 2]> = BTreeMap::new();
        for (n, side) in zones.values().flat_map(|sides| sides.iter().enumerate()) {
            for (class, each) in &side.each {
                let sum = &mut samples.entry(class.clone()).or_default()[n];
                for one in each {
                    sum.all += one.all();
                    sum.bad += one.refused + one.failed + one.late;
                    sum.slow += self.slow.get(class).map_or(0, |[_, tenth]| one.slower(*tenth));
                }
            }
        }
        samples
    }

    /// Takes in what old and new did in a look, each data centre by itself: what one of them suffers is no difference between
    /// old and new.
    fn compare(&mut self, zones: &BTreeMap<String, [Side; 2]>) {
        let mut held = [[(0.0, 0.0); 2]; 2];
        for (zone, sides) in zones {
            if sides[0].instances > 0.0 {
                self.reached.insert(zone.clone());
            }
            let classes: BTreeSet<&String> = sides.iter().flat_map(|s| s.each.keys()).collect();
            for class in classes {
                // Where nobody saw what was usual, the old show it now; what is slow stands from then on.
                if !self.slow.contains_key(class) {
                    let usual = self.usual.entry(class.clone()).or_default();
                    sides[1].each.get(class).into_iter().flatten().for_each(|f| usual.add(f));
                    if let Some(slow) = slow(usual) {
                        self.slow.insert(class.clone(), slow);
                    }
                }
                for measure in BY_CLASS {
                    self.compare_class((zone, class), measure, sides);
                }
            }
            let all = [0, 1].map(|i| sides[i].all());
            let more = [0, 1].map(|i| sides[i].attempts.saturating_sub(all[i]));
            self.test("", "", Measure::Attempts).add(more, all, BURST);
            let bursts = self.bursts.entry((String::new(), Measure::StoodStill)).or_default();
            bursts.saw(&sides[1].beats);
            let (burst, [new, old]) = (bursts.largest, [0, 1].map(|i| total(&sides[i].beats)));
            self.test("", "", Measure::StoodStill).add([new.0, old.0], [new.1, old.1], burst);
            let (ran, restarts) = ([0, 1].map(|i| sides[i].ran), [0, 1].map(|i| sides[i].restarts));
            self.test("", "", Measure::Restarts).add(restarts, ran, 1.0);
            for (n, of) in held.iter_mut().enumerate() {
                for (side, sum) in sides.iter().zip(of) {
                    *sum = (sum.0 + side.held[n], sum.1 + side.instances);
                }
            }
        }
        for (n, (times, beyond)) in [MEMORY, DESCRIPTORS].into_iter().enumerate() {
            let means = held[n].map(|(sum, instances)| sum / f64::max(instances, 1.0));
            self.held[n] = means;
            let both = held[n].iter().all(|(_, instances)| *instances > 0.0);
            let over = both && means[0] > means[1] * times + beyond;
            self.holding[n] = if over { self.holding[n] + 1 } else { 0 };
        }
    }

    fn test(&mut self, zone: &str, class: &str, measure: Measure) -> &mut Odds {
        self.tests.entry(Test::new(zone, class, measure)).or_default()
    }

    fn compare_class(&mut self, (zone, class): (&str, &str), measure: Measure, sides: &[Side; 2]) {
        let slow = self.slow.get(class).copied();
        // Bad ends and all of one instance; `None`: it is not known yet what is slow.
        let of = |f: &ClassStats| match measure {
            Measure::SlowHalf => slow.map(|s| (f.slower(s[0]), f.served + f.late)),
            Measure::SlowTenth => slow.map(|s| (f.slower(s[1]), f.served + f.late)),
            Measure::Failed => Some((f.failed, f.all())),
            _ => Some((f.refused + f.failed + f.late, f.all())),
        };
        let each =
            |i: usize| sides[i].each.get(class).into_iter().flatten().filter_map(of).collect::<Vec<_>>();
        let (new, old) = (each(0), each(1));
        let bursts = self.bursts.entry((class.to_owned(), measure)).or_default();
        bursts.saw(&old);
        let burst = bursts.largest;
        let (new, old) = (total(&new), total(&old));
        // Together, what is a little worse everywhere shows; by itself, what is worse in one data centre alone.
        for place in ["", zone] {
            self.test(place, class, measure).add([new.0, old.0], [new.1, old.1], burst);
        }
    }

    /// The evidence at which a test stops the change.
    fn stops_at(&self) -> f64 {
        let classes = self.classes().len() as f64;
        let places = 1.0 + self.reached.len() as f64;
        let tests = classes * BY_CLASS.len() as f64 * places + OVERALL;
        (tests * self.stages as f64 / self.bounds.alpha).ln()
    }

    /// Classes of which something was seen of old or new.
    fn classes(&self) -> BTreeSet<&str> {
        self.tests.keys().map(|test| test.class.as_str()).filter(|class| !class.is_empty()).collect()
    }

    /// How each test stands.
    pub fn scores(&self) -> Vec<Score> {
        let stops_at = self.stops_at();
        let score = |(test, odds): (&Test, &Odds)| Score {
            measure: test.measure,
            class: test.class.clone(),
            zone: test.zone.clone(),
            bad: odds.bad,
            all: odds.all,
            evidence: odds.evidence(),
            stops_at,
        };
        self.tests.iter().map(score).collect()
    }

    /// The verdict on the stage. `alone`: nobody is left to compare with, so that the fleet against before is all there is.
    pub fn verdict(&mut self, soak: Nanos, alone: bool, now: Nanos) -> Verdict {
        let stops_at = self.stops_at();
        let worst = self.tests.iter().max_by(|a, b| a.1.evidence().total_cmp(&b.1.evidence()));
        if let Some((Test { zone, class, measure }, odds)) =
            worst.filter(|(_, odds)| odds.evidence() >= stops_at)
        {
            let (rates, of, evidence) = (odds.rates(), odds.all, odds.evidence());
            let (zone, class, measure) = (zone.clone(), class.clone(), *measure);
            return Verdict::Worse(Finding { measure, class, zone, rates, of, evidence });
        }
        for (n, measure) in [Measure::Memory, Measure::Descriptors].into_iter().enumerate() {
            if self.holding[n] >= HOLDING {
                let (class, zone, rates) = (String::new(), String::new(), self.held[n]);
                return Verdict::Worse(Finding {
                    measure,
                    class,
                    zone,
                    rates,
                    of: [1, 1],
                    evidence: f64::from(self.holding[n]),
                });
            }
        }
        if let Some(what) = &self.pulse.trouble {
            return Verdict::Trouble(what.clone());
        }
        let Some(since) = self.soaks else {
            return Verdict::Waiting("not all of the stage act by it yet".into());
        };
        if let Some(name) = self.coming.first() {
            let all = self.coming.len();
            (self.asked, self.soaks) = (0, Some(now));
            return Verdict::Waiting(format!("{name} and {} others have only just started", all - 1));
        }
        let passed = now.saturating_sub(since);
        // Looks at which a stage may pass: at its soak time and each time that doubles, so that all of them together have the
        // error rate of the bound. In between nothing is asked, and nothing is gained by looking.
        let due = soak.saturating_mul(1u64 << self.asked.min(40));
        if passed < due {
            let left = (due - passed) as f64 / SECOND as f64;
            return Verdict::Waiting(format!("{left:.0} s to the next look"));
        }
        self.asked += 1;
        if alone {
            return Verdict::Passed;
        }
        match self.lacks() {
            None => Verdict::Passed,
            Some(what) => Verdict::Waiting(what),
        }
    }

    /// What is lacking for the stage to pass.
    fn lacks(&self) -> Option<String> {
        let looks = f64::from(1u32 << self.asked.min(30));
        let classes = self.classes();
        if classes.is_empty() {
            return Some("no requests were seen of the old and the new over the same time".into());
        }
        let beta = self.bounds.beta / looks / (2 * classes.len()) as f64;
        let places = std::iter::once("").chain(self.reached.iter().map(String::as_str));
        places.flat_map(|zone| classes.iter().map(move |class| (zone, *class))).find_map(|(zone, class)| {
            [Measure::Bad, Measure::SlowTenth]
                .into_iter()
                .find_map(|measure| self.lacks_of(Test::new(zone, class, measure), beta))
        })
    }

    /// The same of one data centre, or of all, in one class. Danger: where the figures of all data centres together pass a stage, the
    /// new of one of them may have been asked nothing yet, or fail all that they are asked.
    fn lacks_of(&self, test: Test, beta: f64) -> Option<String> {
        let Test { zone, class, measure } = &test;
        let odds = self.tests.get(&test).cloned().unwrap_or_default();
        let here = !zone.is_empty();
        // A class of which this data centre has no requests at all has nothing to show here.
        if here && odds.all == [0, 0] {
            return None;
        }
        let (times, beyond) =
            if *measure == Measure::Bad { (self.bounds.times, self.bounds.beyond) } else { self.bounds.slow };
        let beyond = if here { beyond * self.bounds.apart } else { beyond };
        // Where no old are left, or none are asked, the old of the other data centres say what is usual.
        let together = self.tests.get(&Test::new("", class, *measure));
        let usual = if odds.all[1] > 0 { Some(&odds) } else { together.filter(|t| here && t.all[1] > 0) };
        let Some(usual) = usual else {
            return Some(format!("{class}: no old ones were asked over the same time"));
        };
        let burst = self.bursts.get(&(class.clone(), *measure)).map_or(BURST, |b| b.mean.max(1.0));
        let most = allowed(usual.rates()[1], times, beyond);
        let passed = passes(odds.bad[0], odds.all[0], burst, most, beta);
        let place = if here { format!(" in {zone}") } else { String::new() };
        let [new, old] = [odds.rates()[0], usual.rates()[1]];
        (!passed).then(|| {
            format!(
                "{class}: {} of {} of the new{place} end badly by {measure:?} ({new:.3}), {old:.3} of {} of the old: not enough to \
                 exclude more than {most:.3}",
                odds.bad[0], odds.all[0], usual.all[1]
            )
        })
    }
}
