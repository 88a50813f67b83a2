//! The supervisor on a simulated machine: processes that do not start serving, end, hang or leave files behind,
//! supervisors that are killed between any two steps, disks that persist nothing, and assignments of earlier epochs.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_config_version::{ConfigAssignment, ConfigVersion, Digest};
use rushquay_supervisor::{
    Action, FoundProcess, ProcessId, Supervisor, SupervisorRecord, Target, Timeouts, SECOND,
};

const STEP: u64 = SECOND / 5;

/// How the processes of a program behave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Well,
    NeverYes,
    Ends(u64),
    Hangs(u64),
    NoFile,
}

#[derive(Clone, Copy, Debug)]
struct Life {
    id: ProcessId,
    program: usize,
    born: u64,
    yes: Option<u64>,
    told: bool,
    hung: Option<u64>,
}

impl Life {
    /// It serves, and nobody has asked it to end.
    fn well(&self) -> bool {
        self.yes.is_some() && !self.told && self.hung.is_none()
    }
}

struct World {
    kinds: Vec<Kind>,
    lives: Vec<Life>,
    host: Supervisor,
    /// The record on the disk.
    kept: SupervisorRecord,
    full: bool,
    now: u64,
    starts: u64,
    epoch: u64,
    terms: Timeouts,
}

fn digest(program: usize) -> Digest {
    Digest::of(&[program as u8])
}

fn own() -> Target {
    Target { program: digest(0), generation: ConfigVersion::base().digest(), given: None }
}

fn wants(program: usize, change: u64) -> ConfigAssignment {
    let settings = serde_json::json!({"over_share_worth": change as f64 / 1e6});
    let generation = ConfigVersion::read(&settings).expect("good").with_program(digest(program));
    ConfigAssignment { rollout: change, version: generation }
}

impl World {
    fn new(kinds: &[Kind]) -> Self {
        let terms = Timeouts::default();
        let kept = SupervisorRecord::new(own());
        let host = Supervisor::new(terms, own(), kept.clone(), &[], 0);
        let kinds = kinds.to_vec();
        World { kinds, lives: Vec::new(), host, kept, full: false, now: 0, starts: 0, epoch: 1, terms }
    }

    fn keep(&mut self) {
        if !self.full {
            self.kept = self.host.record().clone();
        }
    }

    /// As the adapter does: an assignment is applied once it is persisted, or where it leads back.
    fn tell(&mut self, epoch: u64, program: usize, change: u64) {
        let (before, given) = (self.host.clone(), wants(program, change));
        if !self.host.told(epoch, &given) {
            assert_eq!(self.host.record(), before.record(), "word of an epoch that is over");
            return;
        }
        if self.full && !self.host.known_good(&given) {
            self.host = before;
            self.host.not_kept(&given, "no space");
        }
        self.keep();
    }

    /// The supervisor is killed and another one starts.
    fn kill_host(&mut self) {
        let found: Vec<FoundProcess> =
            self.lives.iter().map(|l| FoundProcess { id: l.id, program: digest(l.program) }).collect();
        self.host = Supervisor::new(self.terms, own(), self.kept.clone(), &found, self.now);
    }

    fn standing(&self) -> Vec<Life> {
        self.lives.iter().copied().filter(|l| !l.told).collect()
    }

    /// One step of time; `dies`: the supervisor is killed after this many actions.
    fn step(&mut self, dies: Option<usize>) {
        self.now += STEP;
        let now = self.now;
        let mut gone = Vec::new();
        for life in &mut self.lives {
            let age = now - life.born;
            match self.kinds[life.program] {
                Kind::NeverYes => {}
                _ if age < SECOND => {}
                _ => {
                    life.yes.get_or_insert(now);
                }
            }
            match (self.kinds[life.program], life.yes) {
                (Kind::Ends(after), Some(yes)) if now - yes >= after => gone.push(life.id),
                (Kind::Hangs(after), Some(yes)) if now - yes >= after => drop(life.hung.get_or_insert(now)),
                _ => {}
            }
            if life.told && life.hung.is_none() {
                gone.push(life.id);
            }
        }
        self.lives.retain(|l| !gone.contains(&l.id));
        gone.iter().for_each(|id| self.host.gone(*id, "exit status 1", now));
        for life in &self.lives {
            if life.hung.is_none() {
                self.host.pulse(life.id.pid, life.yes.is_some(), now);
            }
        }
        self.look(dies);
    }

    fn look(&mut self, dies: Option<usize>) {
        let now = self.now;
        let well = self.lives.iter().filter(|l| l.well()).count();
        let (before, lives) = (format!("{:?}", self.host), self.lives.clone());
        let acts = self.host.look(now);
        self.keep();
        let did = acts.clone();
        for (n, act) in acts.into_iter().enumerate() {
            if dies == Some(n) {
                return self.kill_host();
            }
            match act {
                Action::Start(target) => {
                    let program =
                        (0..self.kinds.len()).find(|p| digest(*p) == target.program).expect("known");
                    let standing = self.standing();
                    assert!(standing.len() <= 1, "a third process: {standing:?}");
                    assert!(
                        standing.iter().all(|l| l.program != program && l.yes.is_some()),
                        "a second one of the same, or beside one that doesn't serve: {standing:?}"
                    );
                    if self.kinds[program] == Kind::NoFile {
                        self.host.not_started("the file is gone", now);
                        continue;
                    }
                    self.starts += 1;
                    let id = ProcessId { start: self.starts, pid: self.starts as u32 };
                    let life = Life { id, program, born: now, yes: None, told: false, hung: None };
                    self.lives.push(life);
                    // Killed just after the start, before anything is known of the process.
                    if dies == Some(n + 1) {
                        return self.kill_host();
                    }
                    self.host.started(id, now);
                }
                Action::End(id) => self.lives.iter_mut().filter(|l| l.id == id).for_each(|l| l.told = true),
                Action::Kill(id) => {
                    self.lives.retain(|l| l.id != id);
                    self.host.gone(id, "killed", now);
                }
            }
        }
        // A process that fell silent just now is not known to be.
        let just = |l: &&Life| l.hung.is_some_and(|at| now - at < SECOND) && !l.told;
        let left = self.lives.iter().filter(|l| l.well() || just(l)).count();
        assert!(well == 0 || left > 0, "nobody is left that serves of {lives:?}: {did:?} by {before}");
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * SECOND / STEP).for_each(|_| self.step(None));
    }

    fn serves(&self) -> Vec<usize> {
        self.lives.iter().filter(|l| l.well()).map(|l| l.program).collect()
    }
}

#[test]
fn a_successor_is_observed_beside_the_incumbent_and_takes_over() {
    let mut world = World::new(&[Kind::Well, Kind::Well]);
    world.run(5);
    assert_eq!(world.serves(), [0]);
    world.tell(1, 1, 1);
    world.run(5);
    assert_eq!(world.serves(), [0, 1], "both, while the new one is watched");
    world.run(10);
    assert_eq!(world.serves(), [1]);
    assert_eq!(world.host.record().before, Some(own()));
    assert_eq!(world.host.report(1, 1).refused, None);
}

#[test]
fn a_failing_target_is_rolled_back_and_reported() {
    let cases = [
        (Kind::NeverYes, "did not say yes within 10 s"),
        (Kind::Ends(SECOND), "ended 1.0 s after its yes: exit status 1"),
        (Kind::Hangs(2 * SECOND), "hung after its yes"),
        (Kind::NoFile, "the file is gone"),
    ];
    for (kind, why) in cases {
        let mut world = World::new(&[Kind::Well, kind]);
        world.run(5);
        world.tell(1, 1, 1);
        world.run(13);
        assert!(world.serves().contains(&0), "{kind:?}: {:?}", world.lives);
        let (generation, said) = world.host.report(1, 1).refused.expect("told");
        assert!(said.contains(why) && generation == wants(1, 1).version.digest(), "{kind:?}: {said}");
        // It is retried, but ever less often.
        let before = world.starts;
        world.run(2000);
        let times = world.host.record().failed.as_ref().expect("failed").times;
        assert!((6..=14).contains(&times), "{kind:?}: tried {times} times");
        assert!(world.starts - before <= 13 && world.serves().contains(&0), "{kind:?}");
        // With an assignment that leads back it has nothing left to reject.
        world.tell(1, 0, 2);
        world.run(80);
        assert_eq!((world.serves(), world.host.report(1, 1).refused), (vec![0], None), "{kind:?}");
    }
}

#[test]
fn a_good_program_that_ends_repeatedly_is_rolled_back() {
    let mut world = World::new(&[Kind::Well, Kind::Ends(15 * SECOND)]);
    world.run(3);
    world.tell(1, 1, 1);
    world.run(14);
    assert_eq!(world.host.record().good.program, digest(1));
    let mut told = None;
    for _ in 0..400 {
        world.step(None);
        told = told.or(world
            .host
            .report(1, 1)
            .refused
            .filter(|_| world.host.record().good.program == digest(0)));
    }
    assert!(told.expect("told").1.contains("3 times without a steady run"));
    // It passes each observation, and is retried ever less often all the same.
    let before = world.starts;
    world.run(4000);
    let times = world.host.record().failed.as_ref().expect("failed").times;
    assert!((4..=15).contains(&times) && world.starts - before <= 60, "{times}, {}", world.starts - before);
}

#[test]
fn a_suspended_supervisor_does_not_kill_processes_for_its_own_silence() {
    let mut world = World::new(&[Kind::Well]);
    world.run(5);
    world.now += 3600 * SECOND;
    world.look(None);
    assert_eq!(world.serves(), [0]);
    world.run(30);
    assert_eq!((world.serves(), world.starts), (vec![0], 1));
}

#[test]
fn an_assignment_of_an_earlier_epoch_changes_nothing() {
    let mut world = World::new(&[Kind::Well, Kind::Well]);
    world.run(5);
    world.tell(7, 0, 2);
    world.tell(6, 1, 1);
    world.kill_host();
    world.tell(6, 1, 1);
    world.run(60);
    assert_eq!((world.serves(), world.starts), (vec![0], 1));
}

#[test]
fn with_a_full_disk_it_rolls_back_but_not_forward() {
    let mut world = World::new(&[Kind::Well, Kind::Well, Kind::Well]);
    world.run(5);
    world.tell(1, 1, 1);
    world.run(30);
    world.full = true;
    world.tell(1, 2, 2);
    world.run(60);
    assert_eq!(world.serves(), [1]);
    assert!(world.host.report(1, 1).refused.expect("told").1.contains("no space"));
    world.tell(1, 0, 3);
    world.run(60);
    assert_eq!((world.serves(), world.host.report(1, 1).refused), (vec![0], None));
}

/// Supervisors killed at any action of a change, with one and with two processes running: the next one finds them.
#[test]
fn a_supervisor_killed_between_any_two_actions_is_followed_by_one_that_finds_all_processes() {
    for at in 0..200 {
        for act in 0..2 {
            let mut world = World::new(&[Kind::Well, Kind::Well]);
            for step in 0..200 {
                if step == 20 {
                    world.tell(1, 1, 1);
                }
                world.step((step == at).then_some(act));
                if step == at {
                    world.kill_host();
                }
            }
            world.run(60);
            assert_eq!(world.serves(), [1], "killed in step {at} at act {act}");
            assert_eq!(world.starts, 2, "killed in step {at} at act {act}");
        }
    }
}

/// The record is older than what runs, and its target can't be started: the serving process stays, and is observed.
#[test]
fn a_serving_process_stays_whatever_the_record_says() {
    let mut world = World::new(&[Kind::Well, Kind::Well]);
    world.run(5);
    world.tell(1, 1, 1);
    world.run(30);
    (world.kept, world.kinds[0]) = (SupervisorRecord::new(own()), Kind::NoFile);
    world.kill_host();
    world.run(30);
    assert_eq!((world.serves(), world.host.report(1, 1).runs), (vec![1], Some(digest(1))));
}

/// Everything at once, from a seed: in no step is the last serving process asked to end, and in the end, when nothing
/// fails any more, one process serves: of the wanted target, if that is good.
#[test]
fn one_process_serves_in_the_end_whatever_fails() {
    let seed = std::env::var("RUSHQUAY_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(31u64);
    println!("seed {seed}");
    for play in 0..100u64 {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(play));
        let mut kind = || match random.random_range(0..8u32) {
            0 => Kind::NeverYes,
            1 => Kind::Ends(random.random_range(1..40) * SECOND),
            2 => Kind::Hangs(random.random_range(1..40) * SECOND),
            3 => Kind::NoFile,
            _ => Kind::Well,
        };
        let mut world = World::new(&[Kind::Well, kind(), kind()]);
        let mut change = 0;
        for _ in 0..600 {
            match random.random_range(0..120u32) {
                0 => world.kill_host(),
                1 | 2 => {
                    change += 1;
                    world.epoch += u64::from(random.random_bool(0.2));
                    let program = random.random_range(0..3usize);
                    world.tell(world.epoch, program, change);
                }
                3 => world.tell(world.epoch - 1, random.random_range(0..3usize), change),
                4 => world.full = !world.full,
                5 => {
                    // Any process may end at any time.
                    let any = random.random_range(0..2usize);
                    if let Some(life) = world.lives.get(any).copied() {
                        world.lives.retain(|l| l.id != life.id);
                        world.host.gone(life.id, "killed by somebody", world.now);
                    }
                }
                6 => world.now += 30 * SECOND,
                _ => {}
            }
            let dies = random.random_bool(0.02).then(|| random.random_range(0..3usize));
            world.step(dies);
        }
        world.full = false;
        let wanted = world.host.target();
        let program = (0..3).find(|p| digest(*p) == wanted.program).expect("known");
        world.run(1500);
        let serves = world.serves();
        match world.kinds[program] {
            Kind::Well => assert_eq!(serves, [program], "play {play}: {:?}", world.host.record()),
            _ => {
                let good = (0..3).find(|p| digest(*p) == world.host.record().good.program).expect("known");
                let served = world.kinds[good] != Kind::Well || !serves.is_empty();
                assert!(served, "play {play}: {:?} {:?}", world.kinds, world.host);
            }
        }
    }
}
