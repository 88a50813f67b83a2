//! The host: what it knows, and what it does next.

use crate::process::{FoundProcess, Proc, ProcessId, Role};
use crate::record::{FailedTarget, SupervisorRecord, Target};
use crate::report::{SupervisorReport, WHY_MOST};
use crate::{Nanos, Timeouts, SECOND};
use rushquay_config_version::{ConfigAssignment, Digest};

/// What is to be done. Starting and signalling are the adapter's; it tells what came of each start before it looks again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process of this.
    Start(Target),
    /// Ask it to end.
    End(ProcessId),
    /// Kill it.
    Kill(ProcessId),
}

/// The host of one proxy.
#[derive(Clone, Debug)]
pub struct Supervisor {
    terms: Timeouts,
    /// What runs where nothing that was told names a program.
    own: Target,
    record: SupervisorRecord,
    procs: Vec<Proc>,
    /// What is being started, and as what.
    starting: Option<(Target, Role)>,
    /// Nothing is started in place of what ended before this time.
    not_before: Nanos,
    /// What failed is not tried again before this time.
    retry_at: Nanos,
    /// Ends in a row of what serves, without a steady run.
    row: u32,
    /// Ends without being told to.
    ends: u64,
    /// Word that could not be kept, and so is not obeyed.
    unkept: Option<(Digest, String)>,
    fault: Option<String>,
    looked: Nanos,
}

/// Looks further apart than this: the host itself was stopped, or had no core, and heard nobody.
const LOOK_MOST: Nanos = SECOND;

fn cut(why: &str) -> String {
    why.chars().take(WHY_MOST).collect()
}

impl Supervisor {
    /// A host that starts. `found` are the processes that run already; whoever calls this must be the only host that can start
    /// any.
    pub fn new(
        terms: Timeouts,
        own: Target,
        record: SupervisorRecord,
        found: &[FoundProcess],
        now: Nanos,
    ) -> Self {
        let mut host = Supervisor {
            terms,
            own,
            record,
            procs: Vec::new(),
            starting: None,
            not_before: now,
            retry_at: now,
            row: 0,
            ends: 0,
            unkept: None,
            fault: None,
            looked: now,
        };
        if let Some(failed) = &host.record.failed {
            host.retry_at = now.saturating_add(terms.pause_after(failed.times));
        }
        host.find(found, now);
        host
    }

    /// Of what runs already the youngest that is known to be good serves, the youngest of what was being tried is watched
    /// anew, and all else is to end once one of these serves.
    fn find(&mut self, found: &[FoundProcess], now: Nanos) {
        let mut found = found.to_vec();
        found.sort_by_key(|f| std::cmp::Reverse(f.id));
        let good = self.record.good.program;
        let trying = self.record.trying.as_ref().map(|t| t.program).filter(|program| *program != good);
        for one in found {
            let has = |role| self.procs.iter().any(|p: &Proc| p.role == role);
            let role = match one.program {
                program if program == good && !has(Role::Main) => Role::Main,
                program if Some(program) == trying && !has(Role::Trying) => Role::Trying,
                _ => Role::Stray,
            };
            self.procs.push(Proc::new(one.id, one.program, role, now));
        }
        if !self.procs.iter().any(|p| p.role == Role::Trying) {
            // The host before this one ended before it could start it, or it has ended since: it is tried anew.
            self.record.trying = None;
        }
    }

    /// What is kept.
    pub fn record(&self) -> &SupervisorRecord {
        &self.record
    }

    /// The processes that it knows.
    pub fn processes(&self) -> impl Iterator<Item = ProcessId> + '_ {
        self.procs.iter().map(|p| p.id)
    }

    /// How many serve or may come to serve: told to end are not counted.
    pub fn standing(&self) -> usize {
        self.procs.iter().filter(|p| matches!(p.role, Role::Main | Role::Trying)).count()
    }

    /// What is to run.
    pub fn target(&self) -> Target {
        match &self.record.wanted {
            Some(wanted) if self.record.named => wanted.clone(),
            Some(wanted) => Target { program: self.own.program, ..wanted.clone() },
            None => self.own.clone(),
        }
    }

    /// A control service of this epoch says what is to run. Returns false where that is word of an epoch that is over: it
    /// changes nothing.
    pub fn told(&mut self, epoch: u64, given: &ConfigAssignment) -> bool {
        if epoch < self.record.epoch {
            return false;
        }
        self.record.epoch = epoch;
        let named = given.generation.program();
        let target = Target {
            program: named.unwrap_or(self.own.program),
            generation: given.generation.digest(),
            given: Some(given.text()),
        };
        // Told anew under another generation, what failed may be tried again at once.
        if self.record.failed.as_ref().is_some_and(|f| f.target.generation != target.generation) {
            self.record.failed = None;
        }
        (self.record.wanted, self.record.named) = (Some(target), named.is_some());
        self.unkept = None;
        true
    }

    /// Whether word may be obeyed though it can't be kept: it leads to a program that has served well here. Danger: a disk that
    /// is full must not be what holds a machine at a bad version.
    pub fn known_good(&self, given: &ConfigAssignment) -> bool {
        let program = given.generation.program().unwrap_or(self.own.program);
        let served = [Some(&self.record.good), self.record.before.as_ref(), Some(&self.own)];
        served.into_iter().flatten().any(|t| t.program == program)
    }

    /// Word could not be kept and so is not obeyed.
    pub fn not_kept(&mut self, given: &ConfigAssignment, why: &str) {
        self.unkept = Some((given.generation.digest(), cut(why)));
    }

    /// Something is wrong on this machine; `None`: it is no more.
    pub fn fault(&mut self, fault: Option<String>) {
        self.fault = fault.map(|f| cut(&f));
    }

    /// A process says something of itself.
    pub fn pulse(&mut self, pid: u32, yes: bool, now: Nanos) {
        if let Some(one) = self.procs.iter_mut().find(|p| p.id.pid == pid) {
            (one.heard, one.pulse) = (now, Some(now));
            if yes {
                one.yes.get_or_insert(now);
            }
        }
    }

    /// What was to be started runs.
    pub fn started(&mut self, id: ProcessId, now: Nanos) {
        if let Some((target, role)) = self.starting.take() {
            self.fault = None;
            self.procs.push(Proc::new(id, target.program, role, now));
        }
    }

    /// What was to be started could not be.
    pub fn not_started(&mut self, why: &str, now: Nanos) {
        match self.starting.take() {
            Some((target, Role::Trying)) => {
                self.record.trying = None;
                self.failed(target, why.to_owned(), now);
            }
            Some((target, _)) => {
                self.fault = Some(cut(why));
                self.ended(&target, why, now);
            }
            None => {}
        }
    }

    /// A process has ended.
    pub fn gone(&mut self, id: ProcessId, how: &str, now: Nanos) {
        let Some(at) = self.procs.iter().position(|p| p.id == id) else { return };
        let one = self.procs.remove(at);
        match one.role {
            Role::Main => self.main_ended(one, &format!("its process ended by itself: {how}"), now),
            Role::Trying => {
                self.ends += 1;
                let why = match one.yes {
                    None => format!("its process ended without a yes: {how}"),
                    Some(yes) => {
                        let after = now.saturating_sub(yes) as f64 / SECOND as f64;
                        format!("its process ended {after:.1} s after its yes: {how}")
                    }
                };
                if let Some(target) = self.record.trying.take() {
                    self.failed(target, why, now);
                }
            }
            Role::Stray | Role::Ending(_) | Role::Killed(_) => {}
        }
    }

    /// The process that serves has ended without being told to.
    fn main_ended(&mut self, main: Proc, why: &str, now: Nanos) {
        self.ends += 1;
        if now.saturating_sub(main.began) >= self.terms.steady {
            self.row = 0;
        }
        // One that only happened to run says nothing of what is good.
        if main.program == self.record.good.program {
            self.ended(&self.record.good.clone(), why, now);
        }
    }

    /// What serves has ended, or could not be started.
    fn ended(&mut self, target: &Target, why: &str, now: Nanos) {
        self.row += 1;
        self.not_before = now.saturating_add(self.terms.pause_after(self.row));
        if self.row < self.terms.ends_most {
            return;
        }
        // What served before it; else what is wanted by now; else what this machine's own file says.
        let others = [self.record.before.take(), Some(self.target()), Some(self.own.clone())];
        if let Some(other) = others.into_iter().flatten().find(|t| t.program != target.program) {
            let why = format!("{} times without a steady run: {why}", self.row);
            self.record.good = other;
            self.failed(target.clone(), why, now);
            (self.row, self.not_before) = (0, now);
        }
    }

    /// What was tried did not do.
    fn failed(&mut self, target: Target, why: String, now: Nanos) {
        let same = self.record.failed.take().filter(|f| f.target.program == target.program);
        let times = same.map_or(1, |f| f.times + 1);
        self.retry_at = now.saturating_add(self.terms.pause_after(times));
        self.record.failed = Some(FailedTarget { target, why: cut(&why), times });
    }

    fn with(&self, role: Role) -> Option<Proc> {
        self.procs.iter().copied().find(|p| p.role == role)
    }

    fn set(&mut self, id: ProcessId, role: Role) {
        self.procs.iter_mut().filter(|p| p.id == id).for_each(|p| p.role = role);
    }

    /// What is to be done now. At most one process is started at a time.
    pub fn look(&mut self, now: Nanos) -> Vec<Action> {
        // Danger: what was said while this host was stopped is read after the first look; silence that is its own is nobody's fault.
        let missed = now.saturating_sub(std::mem::replace(&mut self.looked, now));
        if missed > LOOK_MOST {
            for one in &mut self.procs {
                one.heard = one.heard.saturating_add(missed).min(now);
                one.began = one.began.saturating_add(missed).min(now);
                // Nobody watched meanwhile.
                one.yes = one.yes.map(|yes| yes.saturating_add(missed).min(now));
            }
        }
        let mut acts = Vec::new();
        self.look_at_ending(now, &mut acts);
        self.look_at_main(now, &mut acts);
        self.look_at_trying(now, &mut acts);
        self.take_settings();
        if let Some((target, role)) = self.next(now) {
            if role == Role::Trying {
                self.record.trying = Some(target.clone());
            }
            self.starting = Some((target.clone(), role));
            acts.push(Action::Start(target));
        }
        acts
    }

    fn look_at_ending(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let drain = self.terms.drain;
        // Danger: where the record is older than what runs, a stray may be all that serves.
        if self.standing() == 0 {
            let strays = self.procs.iter_mut().filter(|p| p.role == Role::Stray);
            strays.max_by_key(|p| p.id).into_iter().for_each(|p| p.role = Role::Main);
        }
        let serves = |p: &Proc| matches!(p.role, Role::Main | Role::Trying) && p.serves(now);
        let others = self.procs.iter().any(serves);
        for one in &mut self.procs {
            match one.role {
                // A host before this one may have told it, or not.
                Role::Stray if others => {
                    one.role = Role::Ending(now);
                    acts.push(Action::End(one.id));
                }
                Role::Ending(since) if now.saturating_sub(since) >= drain => {
                    one.role = Role::Killed(now);
                    acts.push(Action::Kill(one.id));
                }
                // It was asked, and asking may have failed.
                Role::Killed(since) if now.saturating_sub(since) >= drain => {
                    one.role = Role::Killed(now);
                    acts.push(Action::Kill(one.id));
                }
                _ => {}
            }
        }
    }

    fn look_at_main(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let Some(main) = self.with(Role::Main) else { return };
        let steady = now.saturating_sub(main.began) >= self.terms.steady;
        let target = self.target();
        if steady
            && main.serves(now)
            && main.program == target.program
            && main.program != self.record.good.program
        {
            // It was found running: what is wanted serves, and so it is good.
            self.record.before = Some(std::mem::replace(&mut self.record.good, target));
        }
        self.record.failed.take_if(|f| steady && f.target.program == main.program);
        let why = match main.yes {
            None if now.saturating_sub(main.began) >= self.terms.yes_within => "it did not say yes in time",
            Some(_) if now.saturating_sub(main.heard) >= self.terms.hang => "it hung",
            _ => return,
        };
        self.set(main.id, Role::Killed(now));
        acts.push(Action::Kill(main.id));
        self.main_ended(main, &format!("{why} and was killed"), now);
    }

    fn look_at_trying(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let Some(new) = self.with(Role::Trying) else { return };
        let Some(target) = self.record.trying.clone() else { return };
        let silent = now.saturating_sub(new.heard);
        let seconds = |span: Nanos| span as f64 / SECOND as f64;
        let why = match new.yes {
            None if now.saturating_sub(new.began) >= self.terms.yes_within => {
                Some(format!("it did not say yes within {} s", seconds(self.terms.yes_within)))
            }
            Some(_) if silent >= self.terms.hang => {
                Some(format!("it hung after its yes: nothing heard for {:.1} s", seconds(silent)))
            }
            _ => None,
        };
        if let Some(why) = why {
            self.set(new.id, Role::Killed(now));
            acts.push(Action::Kill(new.id));
            self.record.trying = None;
            self.failed(target, why, now);
            return;
        }
        let main = self.with(Role::Main);
        // Danger: the old one may hang, or be on its way up itself.
        if self.target().program != target.program && main.is_some_and(|m| m.serves(now)) {
            // Wanted no more: the old one serves on.
            self.record.trying = None;
            self.set(new.id, Role::Ending(now));
            acts.push(Action::End(new.id));
            return;
        }
        // Danger: one that has just fallen silent would have the old one ended, and then be found to hang.
        if new.serves(now) && new.yes.is_some_and(|yes| now.saturating_sub(yes) >= self.terms.watch) {
            let before = std::mem::replace(&mut self.record.good, target);
            // What failed of it before is kept until it has run steadily, so that pauses grow.
            (self.record.before, self.record.trying) = (Some(before), None);
            self.row = 0;
            self.set(new.id, Role::Main);
            if let Some(old) = main {
                self.set(old.id, Role::Ending(now));
                acts.push(Action::End(old.id));
            }
        }
    }

    /// Settings alone are taken by the process that runs: its host follows.
    fn take_settings(&mut self) {
        let target = self.target();
        if target.program == self.record.good.program && target != self.record.good {
            self.record.good = target;
        }
    }

    /// What is to be started, and as what.
    fn next(&self, now: Nanos) -> Option<(Target, Role)> {
        if self.starting.is_some() || self.with(Role::Trying).is_some() {
            return None;
        }
        let Some(main) = self.with(Role::Main) else {
            return (now >= self.not_before).then(|| (self.record.good.clone(), Role::Main));
        };
        let target = self.target();
        let waits = self.record.failed.as_ref().is_some_and(|f| f.target.program == target.program);
        // Danger: beside one that is still ending a new process is told to wait, and would miss its time for a yes.
        let alone = self.procs.len() == 1;
        let due = main.serves(now) && alone && !(waits && now < self.retry_at);
        (due && target.program != main.program).then_some((target, Role::Trying))
    }

    /// What to tell a control service. `boot` is this host's start; who sends it counts `seq`.
    pub fn report(&self, boot: u64, seq: u64) -> SupervisorReport {
        let target = self.target();
        let main = self.with(Role::Main).map(|p| p.program);
        let fails = |f: &&FailedTarget| f.target.program == target.program && main != Some(target.program);
        let failed = self.record.failed.as_ref().filter(fails);
        let failed =
            failed.map(|f| (target.generation, format!("program {:?}: {}", f.target.program, f.why)));
        SupervisorReport {
            seq,
            runs: main,
            trying: self.with(Role::Trying).map(|p| p.program),
            refused: self.unkept.clone().or(failed),
            fault: self.fault.clone(),
            ends: self.ends,
            ..SupervisorReport::new(boot)
        }
    }
}
