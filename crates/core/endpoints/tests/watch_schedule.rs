//! Simulates calls in virtual time to a discovery that goes down, falls silent and answers late at the least favourable
//! moments. Every change has to be known in time.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use rushquay_endpoints::{CallFailure, Nanos, NextCall, WatchMode, WatchSchedule, NOTIFICATION_DEADLINE};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// A fault of discovery just after a call to it has begun, the least favourable moment.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The open call is never answered, and the list changes. Then this many calls are rejected.
    Silence { rejected_calls: u32 },
    /// Discovery is down for `duration`, and the list changes just before it returns. Then this many calls are rejected.
    Down { duration: Nanos, rejected_calls: u32 },
    /// The list changes, and the open call is answered with the new list.
    Change,
}

/// Faults, each with the number of answered calls before it.
type FaultSequence = Vec<(u32, Fault)>;

/// A source of random numbers from 0 to 1, with its state.
struct RandomSource(u64);

impl RandomSource {
    fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        // The ends of the range are the least favourable values, and are drawn half of the time.
        match (self.0 >> 33) % 4 {
            0 => 0.0,
            1 => 1.0,
            _ => (self.0 >> 11) as f64 / (1u64 << 53) as f64,
        }
    }
}

/// A proxy and its discovery in virtual time.
struct Simulation {
    schedule: WatchSchedule,
    random: RandomSource,
    now: Nanos,
    /// The number of changes of the list.
    version: u32,
    /// When the last change must be known.
    deadline: Nanos,
    /// The version that the proxy knows.
    known_version: u32,
    /// Maximum time that discovery takes to answer.
    max_latency: Nanos,
    /// A call that has begun, and whose end is still to be simulated.
    pending_call: Option<NextCall>,
}

impl Simulation {
    fn new(mode: WatchMode, max_latency: Nanos, seed: u64) -> Self {
        let (schedule, random) = (WatchSchedule::new(mode), RandomSource(seed));
        Simulation {
            schedule,
            random,
            now: 0,
            version: 0,
            deadline: 0,
            known_version: 0,
            max_latency,
            pending_call: None,
        }
    }

    /// Begins the next call, unless one has already begun.
    fn begin_call(&mut self) -> NextCall {
        if let Some(call) = self.pending_call.take() {
            return call;
        }
        let call = self.schedule.next(|| self.random.draw());
        self.now += call.delay;
        call
    }

    /// Ends a call with a failure.
    fn fail_call(&mut self, at: Nanos, failure: CallFailure) {
        self.now = at;
        self.schedule.failed(failure);
    }

    /// Makes a call while discovery is healthy.
    fn call_healthy(&mut self) {
        let call = self.begin_call();
        let held = if self.known_version < self.version { 0 } else { call.hold };
        let duration = held + (self.max_latency as f64 * self.random.draw()) as Nanos;
        if duration > call.timeout {
            return self.fail_call(self.now + call.timeout, CallFailure::TimedOut);
        }
        self.now += duration;
        self.known_version = self.version;
        self.schedule.answered();
    }

    /// Makes a call that discovery rejects.
    fn call_rejected(&mut self) {
        self.begin_call();
        self.fail_call(self.now + MS, CallFailure::Rejected);
    }

    /// Changes the list; the change must be known within `allowed`.
    fn change_list(&mut self, at: Nanos, allowed: Nanos) {
        self.version += 1;
        self.deadline = at + allowed;
    }

    fn simulate_fault(&mut self, fault: Fault, allowed: Nanos) {
        match fault {
            Fault::Silence { rejected_calls } => {
                let call = self.begin_call();
                self.change_list(self.now + MS, allowed);
                self.fail_call(self.now + call.timeout, CallFailure::TimedOut);
                (0..rejected_calls).for_each(|_| self.call_rejected());
            }
            Fault::Down { duration, rejected_calls } => {
                self.begin_call();
                let up_at = self.now + duration;
                self.fail_call(self.now + MS, CallFailure::Broken);
                self.change_list(up_at - MS, allowed + MS);
                loop {
                    let call = self.begin_call();
                    if self.now >= up_at {
                        // The first call that discovery can answer.
                        self.pending_call = Some(call);
                        break;
                    }
                    match self.random.draw() {
                        r if r < 0.3 => self.fail_call(self.now + MS, CallFailure::Broken),
                        r if r < 0.6 => self.fail_call(self.now + MS, CallFailure::Rejected),
                        _ => self.fail_call(self.now + call.timeout, CallFailure::TimedOut),
                    }
                }
                (0..rejected_calls).for_each(|_| self.call_rejected());
            }
            Fault::Change => {
                self.begin_call();
                self.change_list(self.now, allowed);
                self.now += (self.max_latency as f64 * self.random.draw()) as Nanos;
                self.known_version = self.version;
                self.schedule.answered();
            }
        }
    }

    /// Makes calls until the last change is known; fails if that is after its deadline.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        while self.known_version < self.version {
            self.call_healthy();
        }
        prop_assert!(self.now <= self.deadline, "known {} ms too late", (self.now - self.deadline) / MS);
        Ok(())
    }
}

/// Generates sequences of faults: with the maximum number of rejected calls after a silence (`None`: no silences) and after
/// a downtime.
fn fault_sequences(
    max_rejected_after_silence: Option<u32>,
    max_rejected_after_down: u32,
) -> impl Strategy<Value = FaultSequence> {
    let down = (1u64..20_000, 0..=max_rejected_after_down)
        .prop_map(|(ms, rejected_calls)| Fault::Down { duration: ms * MS, rejected_calls });
    let fault = match max_rejected_after_silence {
        Some(max_rejected) => prop_oneof![
            (0..=max_rejected).prop_map(|rejected_calls| Fault::Silence { rejected_calls }),
            down,
            Just(Fault::Change)
        ]
        .boxed(),
        None => prop_oneof![down, Just(Fault::Change)].boxed(),
    };
    prop::collection::vec((1u32..6, fault), 1..12)
}

/// Asserts that each change is known within `allowed`, while discovery takes up to `max_latency` to answer.
fn assert_known_within(
    mode: WatchMode,
    allowed: Nanos,
    max_latency: Nanos,
    fault_sequences: impl Strategy<Value = FaultSequence>,
) {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let test = |(fault_sequences, seed): (FaultSequence, u64)| {
        let mut simulation = Simulation::new(mode, max_latency, seed);
        for (calls, fault) in fault_sequences {
            (0..calls).for_each(|_| simulation.call_healthy());
            simulation.simulate_fault(fault, allowed);
            simulation.settle()?;
        }
        Ok(())
    };
    runner.run(&(fault_sequences, any::<u64>()), test).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn a_change_is_known_within_the_deadline_if_discovery_is_polled() {
    for within in [0, 2 * SECOND, 10 * SECOND, 60 * SECOND] {
        assert_known_within(
            WatchMode::Polled { within },
            NOTIFICATION_DEADLINE,
            300 * MS,
            fault_sequences(Some(2), 1),
        );
    }
}

#[test]
fn a_change_is_known_within_the_deadline_if_discovery_responds_late() {
    // Almost as late as the timeout of a call permits.
    assert_known_within(
        WatchMode::Polled { within: 10 * SECOND },
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
    let mut schedule = WatchSchedule::new(WatchMode::Polled { within: 10 * SECOND });
    schedule.answered();
    assert!(schedule.next(|| 0.5).hold > 0, "a watch");
    assert!(!schedule.failed(CallFailure::TimedOut), "a silent watch does not mean that discovery is lost");
    assert_eq!(schedule.next(|| 0.5).hold, 0);
    assert!(schedule.failed(CallFailure::Rejected));
}

#[test]
fn watches_that_begin_together_do_not_end_together() {
    let mut schedule = WatchSchedule::new(WatchMode::Polled { within: 10 * SECOND });
    schedule.answered();
    let (min_hold, max_hold) = (schedule.next(|| 1.0).hold, schedule.next(|| 0.0).hold);
    assert!(max_hold - min_hold >= max_hold / 5, "{min_hold} to {max_hold}");
}
