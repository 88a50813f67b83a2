//! Whatever fails at discovery, a change is known in time: calls simulated in virtual time against a discovery that
//! goes down, falls silent and answers late at the least favourable moments.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use rushquay_endpoints::{CallFailure, Nanos, NextCall, WatchMode, WatchSchedule, NOTIFICATION_DEADLINE};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// A fault of discovery, just after a call to it has begun: the least favourable moment.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All open calls fall silent, and the list changes. This many calls after that are rejected.
    Silence { refused: u32 },
    /// It is down for this long, and the list changes just before it is back. This many calls after that are
    /// rejected.
    Down { long: Nanos, refused: u32 },
    /// The list changes, and the open call is answered with it.
    Change,
}

/// Faults, each this many calls after the one before.
type FaultSequence = Vec<(u32, Fault)>;

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
struct Simulation {
    follow: WatchSchedule,
    chance: Chance,
    now: Nanos,
    /// The number of changes of the list, and the deadline of the last.
    version: u32,
    due: Nanos,
    known: u32,
    late: Nanos,
    /// A call that has begun, and whose end is still to be simulated.
    begun: Option<NextCall>,
}

impl Simulation {
    fn new(manner: WatchMode, late: Nanos, seed: u64) -> Self {
        let (follow, chance) = (WatchSchedule::new(manner), Chance(seed));
        Simulation { follow, chance, now: 0, version: 0, due: 0, known: 0, late, begun: None }
    }

    /// Begins the next call.
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

    /// A call while discovery is healthy.
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
                        // The first call that discovery could answer.
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

    /// Runs until the last change is known; fails where that takes too long.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        while self.known < self.version {
            self.answered();
        }
        prop_assert!(self.now <= self.due, "known {} ms too late", (self.now - self.due) / MS);
        Ok(())
    }
}

fn fault_sequences(silence: Option<u32>, refused: u32) -> impl Strategy<Value = FaultSequence> {
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

fn assert_known_within(
    manner: WatchMode,
    told: Nanos,
    late: Nanos,
    fault_sequences: impl Strategy<Value = FaultSequence>,
) {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let test = |(fault_sequences, seed): (FaultSequence, u64)| {
        let mut play = Simulation::new(manner, late, seed);
        for (calls, fault) in fault_sequences {
            (0..calls).for_each(|_| play.answered());
            play.fault(fault, told);
            play.settle()?;
        }
        Ok(())
    };
    runner.run(&(fault_sequences, any::<u64>()), test).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn a_change_is_known_within_the_deadline_where_discovery_is_polled() {
    for within in [0, 2 * SECOND, 10 * SECOND, 60 * SECOND] {
        assert_known_within(
            WatchMode::Asked { within },
            NOTIFICATION_DEADLINE,
            300 * MS,
            fault_sequences(Some(2), 1),
        );
    }
}

#[test]
fn a_change_is_known_within_the_deadline_where_discovery_responds_late() {
    // As late as possible before the call has failed.
    assert_known_within(
        WatchMode::Asked { within: 10 * SECOND },
        NOTIFICATION_DEADLINE,
        1_900 * MS,
        fault_sequences(Some(0), 0),
    );
}

#[test]
fn a_change_pushed_to_an_agent_is_known_within_the_grace_period() {
    for grace in [100 * MS, 250 * MS, 500 * MS, 2 * SECOND] {
        assert_known_within(WatchMode::Pushed { grace }, grace, grace / 50, fault_sequences(None, 0));
    }
}

#[test]
fn a_silent_watch_at_an_agent_is_reopened_in_time() {
    for grace in [100 * MS, 500 * MS, 2 * SECOND] {
        assert_known_within(
            WatchMode::Pushed { grace },
            NOTIFICATION_DEADLINE,
            grace / 50,
            fault_sequences(Some(2), 1),
        );
    }
}

#[test]
fn after_a_silent_watch_the_next_call_does_not_wait() {
    let mut follow = WatchSchedule::new(WatchMode::Asked { within: 10 * SECOND });
    follow.answered();
    assert!(follow.next(|| 0.5).hold > 0, "a watch");
    assert!(!follow.failed(CallFailure::Silent), "a watch that is silent says nothing of discovery");
    assert_eq!(follow.next(|| 0.5).hold, 0);
    assert!(follow.failed(CallFailure::Refused));
}

#[test]
fn watches_that_begin_together_do_not_end_together() {
    let mut follow = WatchSchedule::new(WatchMode::Asked { within: 10 * SECOND });
    follow.answered();
    let (least, most) = (follow.next(|| 1.0).hold, follow.next(|| 0.0).hold);
    assert!(most - least >= most / 5, "{least} to {most}");
}
