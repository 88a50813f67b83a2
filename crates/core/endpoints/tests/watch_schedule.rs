//! Whatever fails at discovery, a change is known in time: calls played in virtual time against a discovery that goes down,
//! falls silent and answers late at the least favourable moments.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use rushquay_endpoints::{CallFailure, Nanos, NextCall, WatchMode, WatchSchedule, TOLD};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// What goes wrong at a discovery, just after a call to it has begun: the least favourable moment.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All that is open falls silent, and the list changes. So many calls after that are refused.
    Silence { refused: u32 },
    /// It is down for so long, and the list changes just before it is back. So many calls after that are refused.
    Down { long: Nanos, refused: u32 },
    /// The list changes, and the call says so.
    Change,
}

/// Faults, each so many calls after the one before.
type Troubles = Vec<(u32, Fault)>;

struct Chance(u64);

impl Chance {
    fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        // The ends of the range are the least favourable.
        match (self.0 >> 33) % 4 {
            0 => 0.0,
            1 => 1.0,
            _ => (self.0 >> 11) as f64 / (1u64 << 53) as f64,
        }
    }
}

/// Discovery in virtual time.
struct Play {
    follow: WatchSchedule,
    chance: Chance,
    now: Nanos,
    /// The list has changed so often, and when it last did that discovery could be reached.
    version: u32,
    due: Nanos,
    known: u32,
    late: Nanos,
    /// A call that has begun, and whose end is still to be played.
    begun: Option<NextCall>,
}

impl Play {
    fn new(manner: WatchMode, late: Nanos, seed: u64) -> Self {
        let (follow, chance) = (WatchSchedule::new(manner), Chance(seed));
        Play { follow, chance, now: 0, version: 0, due: 0, known: 0, late, begun: None }
    }

    /// The next call begins; returns what it is.
    fn begin(&mut self) -> NextCall {
        if let Some(step) = self.begun.take() {
            return step;
        }
        let step = self.follow.next(|| self.chance.draw());
        self.now += step.wait;
        step
    }

    fn failed(&mut self, at: Nanos, how: CallFailure) {
        self.now = at;
        self.follow.failed(how);
    }

    /// A call that finds discovery well.
    fn answered(&mut self) {
        let step = self.begin();
        let waited = if self.known < self.version { 0 } else { step.hold };
        let answer = waited + (self.late as f64 * self.chance.draw()) as Nanos;
        if answer > step.limit {
            return self.failed(self.now + step.limit, CallFailure::Silent);
        }
        self.now += answer;
        self.known = self.version;
        self.follow.answered();
    }

    fn refused(&mut self) {
        self.begin();
        self.failed(self.now + MS, CallFailure::Refused);
    }

    fn change(&mut self, at: Nanos, told: Nanos) {
        self.version += 1;
        self.due = at + told;
    }

    fn fault(&mut self, fault: Fault, told: Nanos) {
        match fault {
            Fault::Silence { refused } => {
                let step = self.begin();
                self.change(self.now + MS, told);
                self.failed(self.now + step.limit, CallFailure::Silent);
                (0..refused).for_each(|_| self.refused());
            }
            Fault::Down { long, refused } => {
                self.begin();
                let back = self.now + long;
                self.failed(self.now + MS, CallFailure::Broken);
                self.change(back - MS, told + MS);
                loop {
                    let step = self.begin();
                    if self.now >= back {
                        // The first that discovery could answer.
                        self.begun = Some(step);
                        break;
                    }
                    match self.chance.draw() {
                        c if c < 0.3 => self.failed(self.now + MS, CallFailure::Broken),
                        c if c < 0.6 => self.failed(self.now + MS, CallFailure::Refused),
                        _ => self.failed(self.now + step.limit, CallFailure::Silent),
                    }
                }
                (0..refused).for_each(|_| self.refused());
            }
            Fault::Change => {
                self.begin();
                self.change(self.now, told);
                self.now += (self.late as f64 * self.chance.draw()) as Nanos;
                self.known = self.version;
                self.follow.answered();
            }
        }
    }

    /// Until all is known; fails where that takes too long.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        while self.known < self.version {
            self.answered();
        }
        prop_assert!(self.now <= self.due, "known {} ms too late", (self.now - self.due) / MS);
        Ok(())
    }
}

fn troubles(silence: Option<u32>, refused: u32) -> impl Strategy<Value = Troubles> {
    let down = (1u64..20_000, 0..=refused).prop_map(|(ms, refused)| Fault::Down { long: ms * MS, refused });
    let fault = match silence {
        Some(most) => {
            prop_oneof![(0..=most).prop_map(|refused| Fault::Silence { refused }), down, Just(Fault::Change)]
                .boxed()
        }
        None => prop_oneof![down, Just(Fault::Change)].boxed(),
    };
    prop::collection::vec((1u32..6, fault), 1..12)
}

fn holds(manner: WatchMode, told: Nanos, late: Nanos, troubles: impl Strategy<Value = Troubles>) {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let test = |(troubles, seed): (Troubles, u64)| {
        let mut play = Play::new(manner, late, seed);
        for (calls, fault) in troubles {
            (0..calls).for_each(|_| play.answered());
            play.fault(fault, told);
            play.settle()?;
        }
        Ok(())
    };
    runner.run(&(troubles, any::<u64>()), test).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn a_change_is_known_within_the_time_told_where_discovery_is_asked() {
    for within in [0, 2 * SECOND, 10 * SECOND, 60 * SECOND] {
        holds(WatchMode::Asked { within }, TOLD, 300 * MS, troubles(Some(2), 1));
    }
}

#[test]
fn a_change_is_known_within_the_time_told_where_discovery_answers_late() {
    // As late as it may be before it has failed.
    holds(WatchMode::Asked { within: 10 * SECOND }, TOLD, 1_900 * MS, troubles(Some(0), 0));
}

#[test]
fn what_an_agent_has_at_its_return_is_known_within_the_grace() {
    for grace in [100 * MS, 250 * MS, 500 * MS, 2 * SECOND] {
        holds(WatchMode::Pushed { grace }, grace, grace / 50, troubles(None, 0));
    }
}

#[test]
fn a_silent_watch_at_an_agent_is_opened_anew_in_time() {
    for grace in [100 * MS, 500 * MS, 2 * SECOND] {
        holds(WatchMode::Pushed { grace }, TOLD, grace / 50, troubles(Some(2), 1));
    }
}

#[test]
fn after_silence_the_next_call_asks_at_once() {
    let mut follow = WatchSchedule::new(WatchMode::Asked { within: 10 * SECOND });
    follow.answered();
    assert!(follow.next(|| 0.5).hold > 0, "a watch");
    assert!(!follow.failed(CallFailure::Silent), "a watch that is silent says nothing of discovery");
    assert_eq!(follow.next(|| 0.5).hold, 0);
    assert!(follow.failed(CallFailure::Refused));
}

#[test]
fn watches_that_began_together_do_not_end_together() {
    let mut follow = WatchSchedule::new(WatchMode::Asked { within: 10 * SECOND });
    follow.answered();
    let (least, most) = (follow.next(|| 1.0).hold, follow.next(|| 0.0).hold);
    assert!(most - least >= most / 5, "{least} to {most}");
}
