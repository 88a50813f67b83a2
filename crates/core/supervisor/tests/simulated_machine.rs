//! The supervisor on a simulated machine: processes that do not start serving, end, hang or leave files behind,
//! supervisors that are killed between any two actions, disks that can't be written, and assignments of earlier epochs.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_config_version::{ConfigAssignment, ConfigVersion, Digest};
use rushquay_supervisor::{
    Action, FoundProcess, ProcessId, Supervisor, SupervisorRecord, Target, Timeouts, SECOND,
};

const STEP: u64 = SECOND / 5;

/// How the processes of a program behave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Healthy,
    NeverServes,
    /// Ends this long after it began to serve.
    Ends(u64),
    /// Hangs this long after it began to serve.
    Hangs(u64),
    /// The program file is missing.
    NoFile,
}

#[derive(Clone, Copy, Debug)]
struct SimProcess {
    id: ProcessId,
    program: usize,
    started_at: u64,
    serving_since: Option<u64>,
    asked_to_end: bool,
    hung_since: Option<u64>,
}

impl SimProcess {
    /// Whether it serves and was not asked to end.
    fn is_healthy(&self) -> bool {
        self.serving_since.is_some() && !self.asked_to_end && self.hung_since.is_none()
    }
}

struct Machine {
    behaviours: Vec<Behaviour>,
    processes: Vec<SimProcess>,
    supervisor: Supervisor,
    /// The record on the disk.
    persisted: SupervisorRecord,
    disk_full: bool,
    now: u64,
    starts: u64,
    epoch: u64,
    timeouts: Timeouts,
}

fn digest(program: usize) -> Digest {
    Digest::of(&[program as u8])
}

fn default_target() -> Target {
    Target { program: digest(0), generation: ConfigVersion::base().digest(), given: None }
}

fn assignment(program: usize, rollout: u64) -> ConfigAssignment {
    let settings = serde_json::json!({"over_share_worth": rollout as f64 / 1e6});
    let version = ConfigVersion::read(&settings).expect("valid settings").with_program(digest(program));
    ConfigAssignment { rollout, version }
}

impl Machine {
    fn new(behaviours: &[Behaviour]) -> Self {
        let timeouts = Timeouts::default();
        let persisted = SupervisorRecord::new(default_target());
        let supervisor = Supervisor::new(timeouts, default_target(), persisted.clone(), &[], 0);
        let behaviours = behaviours.to_vec();
        Machine {
            behaviours,
            processes: Vec::new(),
            supervisor,
            persisted,
            disk_full: false,
            now: 0,
            starts: 0,
            epoch: 1,
            timeouts,
        }
    }

    fn persist(&mut self) {
        if !self.disk_full {
            self.persisted = self.supervisor.record().clone();
        }
    }

    /// Delivers an assignment. As in the adapter, it is applied once it is persisted, or if its program is known to be good.
    fn assign(&mut self, epoch: u64, program: usize, rollout: u64) {
        let (before, assignment) = (self.supervisor.clone(), assignment(program, rollout));
        if !self.supervisor.handle_assignment(epoch, &assignment) {
            assert_eq!(
                self.supervisor.record(),
                before.record(),
                "an assignment of an earlier epoch changed the record"
            );
            return;
        }
        if self.disk_full && !self.supervisor.is_known_good(&assignment) {
            self.supervisor = before;
            self.supervisor.handle_unpersisted(&assignment, "no space");
        }
        self.persist();
    }

    /// The supervisor is killed and another one starts.
    fn restart_supervisor(&mut self) {
        let found: Vec<FoundProcess> =
            self.processes.iter().map(|l| FoundProcess { id: l.id, program: digest(l.program) }).collect();
        self.supervisor =
            Supervisor::new(self.timeouts, default_target(), self.persisted.clone(), &found, self.now);
    }

    fn active(&self) -> Vec<SimProcess> {
        self.processes.iter().copied().filter(|l| !l.asked_to_end).collect()
    }

    /// One step of time; `killed_after`: the supervisor is killed after this many actions.
    fn step(&mut self, killed_after: Option<usize>) {
        self.now += STEP;
        let now = self.now;
        let mut ended = Vec::new();
        for process in &mut self.processes {
            let age = now - process.started_at;
            match self.behaviours[process.program] {
                Behaviour::NeverServes => {}
                _ if age < SECOND => {}
                _ => {
                    process.serving_since.get_or_insert(now);
                }
            }
            match (self.behaviours[process.program], process.serving_since) {
                (Behaviour::Ends(after), Some(since)) if now - since >= after => ended.push(process.id),
                (Behaviour::Hangs(after), Some(since)) if now - since >= after => {
                    process.hung_since.get_or_insert(now);
                }
                _ => {}
            }
            if process.asked_to_end && process.hung_since.is_none() {
                ended.push(process.id);
            }
        }
        self.processes.retain(|l| !ended.contains(&l.id));
        ended.iter().for_each(|id| self.supervisor.handle_exit(*id, "exit status 1", now));
        for process in &self.processes {
            if process.hung_since.is_none() {
                self.supervisor.handle_heartbeat(process.id.pid, process.serving_since.is_some(), now);
            }
        }
        self.tick(killed_after);
    }

    fn tick(&mut self, killed_after: Option<usize>) {
        let now = self.now;
        let healthy_before = self.processes.iter().filter(|l| l.is_healthy()).count();
        let (before, processes_before) = (format!("{:?}", self.supervisor), self.processes.clone());
        let actions = self.supervisor.tick(now);
        self.persist();
        let taken = actions.clone();
        for (n, action) in actions.into_iter().enumerate() {
            if killed_after == Some(n) {
                return self.restart_supervisor();
            }
            match action {
                Action::Start(target) => {
                    let program =
                        (0..self.behaviours.len()).find(|p| digest(*p) == target.program).expect("known");
                    let active = self.active();
                    assert!(active.len() <= 1, "a third process: {active:?}");
                    assert!(
                        active.iter().all(|l| l.program != program && l.serving_since.is_some()),
                        "a second process of the same program, or a successor beside a process that does not serve: {active:?}"
                    );
                    if self.behaviours[program] == Behaviour::NoFile {
                        self.supervisor.handle_start_failure("the file is gone", now);
                        continue;
                    }
                    self.starts += 1;
                    let id = ProcessId { start: self.starts, pid: self.starts as u32 };
                    let process = SimProcess {
                        id,
                        program,
                        started_at: now,
                        serving_since: None,
                        asked_to_end: false,
                        hung_since: None,
                    };
                    self.processes.push(process);
                    // The supervisor is killed just after the start, before it has registered the process.
                    if killed_after == Some(n + 1) {
                        return self.restart_supervisor();
                    }
                    self.supervisor.handle_started(id, now);
                }
                Action::End(id) => {
                    self.processes.iter_mut().filter(|l| l.id == id).for_each(|l| l.asked_to_end = true);
                }
                Action::Kill(id) => {
                    self.processes.retain(|l| l.id != id);
                    self.supervisor.handle_exit(id, "killed", now);
                }
            }
        }
        // The supervisor can't know yet of a process that has just hung.
        let just_hung = |l: &&SimProcess| l.hung_since.is_some_and(|at| now - at < SECOND) && !l.asked_to_end;
        let left = self.processes.iter().filter(|l| l.is_healthy() || just_hung(l)).count();
        assert!(
            healthy_before == 0 || left > 0,
            "no serving process is left of {processes_before:?}: {taken:?} by {before}"
        );
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * SECOND / STEP).for_each(|_| self.step(None));
    }

    fn serving(&self) -> Vec<usize> {
        self.processes.iter().filter(|l| l.is_healthy()).map(|l| l.program).collect()
    }
}

#[test]
fn a_successor_is_observed_beside_the_incumbent_and_takes_over() {
    let mut machine = Machine::new(&[Behaviour::Healthy, Behaviour::Healthy]);
    machine.run(5);
    assert_eq!(machine.serving(), [0]);
    machine.assign(1, 1, 1);
    machine.run(5);
    assert_eq!(machine.serving(), [0, 1], "both serve during the observation");
    machine.run(10);
    assert_eq!(machine.serving(), [1]);
    assert_eq!(machine.supervisor.record().before, Some(default_target()));
    assert_eq!(machine.supervisor.report(1, 1).refused, None);
}

#[test]
fn a_failing_target_is_rolled_back_and_reported() {
    let cases = [
        (Behaviour::NeverServes, "did not say yes within 10 s"),
        (Behaviour::Ends(SECOND), "ended 1.0 s after its yes: exit status 1"),
        (Behaviour::Hangs(2 * SECOND), "hung after its yes"),
        (Behaviour::NoFile, "the file is gone"),
    ];
    for (behaviour, why) in cases {
        let mut machine = Machine::new(&[Behaviour::Healthy, behaviour]);
        machine.run(5);
        machine.assign(1, 1, 1);
        machine.run(13);
        assert!(machine.serving().contains(&0), "{behaviour:?}: {:?}", machine.processes);
        let (version, reason) = machine.supervisor.report(1, 1).refused.expect("a reported failure");
        assert!(
            reason.contains(why) && version == assignment(1, 1).version.digest(),
            "{behaviour:?}: {reason}"
        );
        // It is retried, with growing backoff.
        let starts_before = machine.starts;
        machine.run(2000);
        let times = machine.supervisor.record().failed.as_ref().expect("failed").times;
        assert!((6..=14).contains(&times), "{behaviour:?}: tried {times} times");
        assert!(machine.starts - starts_before <= 13 && machine.serving().contains(&0), "{behaviour:?}");
        // After an assignment of the good program nothing is rejected any more.
        machine.assign(1, 0, 2);
        machine.run(80);
        assert_eq!(
            (machine.serving(), machine.supervisor.report(1, 1).refused),
            (vec![0], None),
            "{behaviour:?}"
        );
    }
}

#[test]
fn a_good_program_that_ends_repeatedly_is_rolled_back() {
    let mut machine = Machine::new(&[Behaviour::Healthy, Behaviour::Ends(15 * SECOND)]);
    machine.run(3);
    machine.assign(1, 1, 1);
    machine.run(14);
    assert_eq!(machine.supervisor.record().good.program, digest(1));
    let mut reported = None;
    for _ in 0..400 {
        machine.step(None);
        reported = reported.or(machine
            .supervisor
            .report(1, 1)
            .refused
            .filter(|_| machine.supervisor.record().good.program == digest(0)));
    }
    assert!(reported.expect("a reported failure").1.contains("3 times without a steady run"));
    // It passes each observation, but the backoff grows nevertheless.
    let starts_before = machine.starts;
    machine.run(4000);
    let times = machine.supervisor.record().failed.as_ref().expect("failed").times;
    assert!(
        (4..=15).contains(&times) && machine.starts - starts_before <= 60,
        "{times}, {}",
        machine.starts - starts_before
    );
}

#[test]
fn a_suspended_supervisor_does_not_kill_processes_for_its_own_silence() {
    let mut machine = Machine::new(&[Behaviour::Healthy]);
    machine.run(5);
    machine.now += 3600 * SECOND;
    machine.tick(None);
    assert_eq!(machine.serving(), [0]);
    machine.run(30);
    assert_eq!((machine.serving(), machine.starts), (vec![0], 1));
}

#[test]
fn an_assignment_of_an_earlier_epoch_changes_nothing() {
    let mut machine = Machine::new(&[Behaviour::Healthy, Behaviour::Healthy]);
    machine.run(5);
    machine.assign(7, 0, 2);
    machine.assign(6, 1, 1);
    machine.restart_supervisor();
    machine.assign(6, 1, 1);
    machine.run(60);
    assert_eq!((machine.serving(), machine.starts), (vec![0], 1));
}

#[test]
fn with_a_full_disk_it_rolls_back_but_not_forward() {
    let mut machine = Machine::new(&[Behaviour::Healthy, Behaviour::Healthy, Behaviour::Healthy]);
    machine.run(5);
    machine.assign(1, 1, 1);
    machine.run(30);
    machine.disk_full = true;
    machine.assign(1, 2, 2);
    machine.run(60);
    assert_eq!(machine.serving(), [1]);
    assert!(machine.supervisor.report(1, 1).refused.expect("a reported failure").1.contains("no space"));
    machine.assign(1, 0, 3);
    machine.run(60);
    assert_eq!((machine.serving(), machine.supervisor.report(1, 1).refused), (vec![0], None));
}

/// The supervisor is killed at any action of a rollout, while one or two processes run: the next one finds them all.
#[test]
fn a_supervisor_killed_between_any_two_actions_is_followed_by_one_that_finds_all_processes() {
    for at in 0..200 {
        for action in 0..2 {
            let mut machine = Machine::new(&[Behaviour::Healthy, Behaviour::Healthy]);
            for step in 0..200 {
                if step == 20 {
                    machine.assign(1, 1, 1);
                }
                machine.step((step == at).then_some(action));
                if step == at {
                    machine.restart_supervisor();
                }
            }
            machine.run(60);
            assert_eq!(machine.serving(), [1], "killed in step {at} at action {action}");
            assert_eq!(machine.starts, 2, "killed in step {at} at action {action}");
        }
    }
}

/// The record is older than what runs, and its target can't be started: the serving process stays, and is observed.
#[test]
fn a_serving_process_stays_whatever_the_record_says() {
    let mut machine = Machine::new(&[Behaviour::Healthy, Behaviour::Healthy]);
    machine.run(5);
    machine.assign(1, 1, 1);
    machine.run(30);
    (machine.persisted, machine.behaviours[0]) = (SupervisorRecord::new(default_target()), Behaviour::NoFile);
    machine.restart_supervisor();
    machine.run(30);
    assert_eq!((machine.serving(), machine.supervisor.report(1, 1).runs), (vec![1], Some(digest(1))));
}

/// Everything at once, from a seed: in no step is the last serving process asked to end, and in the end, when nothing
/// fails any more, one process serves: of the wanted target, if that is good.
#[test]
fn one_process_serves_in_the_end_whatever_fails() {
    let seed = std::env::var("RUSHQUAY_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(31u64);
    println!("seed {seed}");
    for round in 0..100u64 {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(round));
        let mut behaviour = || match random.random_range(0..8u32) {
            0 => Behaviour::NeverServes,
            1 => Behaviour::Ends(random.random_range(1..40) * SECOND),
            2 => Behaviour::Hangs(random.random_range(1..40) * SECOND),
            3 => Behaviour::NoFile,
            _ => Behaviour::Healthy,
        };
        let mut machine = Machine::new(&[Behaviour::Healthy, behaviour(), behaviour()]);
        let mut rollout = 0;
        for _ in 0..600 {
            match random.random_range(0..120u32) {
                0 => machine.restart_supervisor(),
                1 | 2 => {
                    rollout += 1;
                    machine.epoch += u64::from(random.random_bool(0.2));
                    let program = random.random_range(0..3usize);
                    machine.assign(machine.epoch, program, rollout);
                }
                3 => machine.assign(machine.epoch - 1, random.random_range(0..3usize), rollout),
                4 => machine.disk_full = !machine.disk_full,
                5 => {
                    // Any process may end at any time.
                    let index = random.random_range(0..2usize);
                    if let Some(process) = machine.processes.get(index).copied() {
                        machine.processes.retain(|l| l.id != process.id);
                        machine.supervisor.handle_exit(process.id, "killed by an operator", machine.now);
                    }
                }
                6 => machine.now += 30 * SECOND,
                _ => {}
            }
            let killed_after = random.random_bool(0.02).then(|| random.random_range(0..3usize));
            machine.step(killed_after);
        }
        machine.disk_full = false;
        let wanted = machine.supervisor.target();
        let program = (0..3).find(|p| digest(*p) == wanted.program).expect("known");
        machine.run(1500);
        let serving = machine.serving();
        match machine.behaviours[program] {
            Behaviour::Healthy => {
                assert_eq!(serving, [program], "round {round}: {:?}", machine.supervisor.record());
            }
            _ => {
                let good =
                    (0..3).find(|p| digest(*p) == machine.supervisor.record().good.program).expect("known");
                let is_served = machine.behaviours[good] != Behaviour::Healthy || !serving.is_empty();
                assert!(is_served, "round {round}: {:?} {:?}", machine.behaviours, machine.supervisor);
            }
        }
    }
}
