//! The state machine of a supervisor.

use crate::process::{FoundProcess, Process, ProcessId, Role};
use crate::record::{FailedTarget, SupervisorRecord, Target};
use crate::report::{SupervisorReport, MAX_REASON_CHARS};
use crate::{Nanos, Timeouts, SECOND};
use rushquay_config_version::{ConfigAssignment, Digest};

/// An action to take. The adapter starts and signals processes; it reports the result of each start before the next
/// tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process of this target.
    Start(Target),
    /// Ask this process to end.
    End(ProcessId),
    /// Kill this process.
    Kill(ProcessId),
}

/// The supervisor of one proxy.
#[derive(Clone, Debug)]
pub struct Supervisor {
    timeouts: Timeouts,
    /// The target of this machine's own file, which applies if no assignment names a program.
    default_target: Target,
    record: SupervisorRecord,
    processes: Vec<Process>,
    /// The target being started, and its role.
    starting: Option<(Target, Role)>,
    /// No replacement is started before this time.
    not_before: Nanos,
    /// The failed target is not retried before this time.
    retry_at: Nanos,
    /// Unexpected ends in a row of the serving process, without a steady run.
    failures_in_row: u32,
    /// The number of unexpected ends since the start of this supervisor.
    ends: u64,
    /// An assignment that could not be persisted, and so is not applied.
    unpersisted: Option<(Digest, String)>,
    /// The error on this machine.
    fault: Option<String>,
    last_tick: Nanos,
}

/// If two ticks are further apart, the supervisor was suspended or had no CPU, and could not receive heartbeats.
const MAX_TICK_INTERVAL: Nanos = SECOND;

fn truncate(reason: &str) -> String {
    reason.chars().take(MAX_REASON_CHARS).collect()
}

impl Supervisor {
    /// Creates a supervisor. `found` are the processes that run already; the caller must be the only supervisor that
    /// can start any.
    pub fn new(
        timeouts: Timeouts,
        default_target: Target,
        record: SupervisorRecord,
        found: &[FoundProcess],
        now: Nanos,
    ) -> Self {
        let mut supervisor = Supervisor {
            timeouts,
            default_target,
            record,
            processes: Vec::new(),
            starting: None,
            not_before: now,
            retry_at: now,
            failures_in_row: 0,
            ends: 0,
            unpersisted: None,
            fault: None,
            last_tick: now,
        };
        if let Some(failed) = &supervisor.record.failed {
            supervisor.retry_at = now.saturating_add(timeouts.backoff_after(failed.times));
        }
        supervisor.adopt(found, now);
        supervisor
    }

    /// Assigns roles to running processes: the youngest of the good program serves, the youngest of the target that
    /// was being tried is observed anew, and all others are ended once one of these serves.
    fn adopt(&mut self, found: &[FoundProcess], now: Nanos) {
        let mut found = found.to_vec();
        found.sort_by_key(|f| std::cmp::Reverse(f.id));
        let good = self.record.good.program;
        let trying = self.record.trying.as_ref().map(|t| t.program).filter(|program| *program != good);
        for process in found {
            let is_assigned = |role| self.processes.iter().any(|p: &Process| p.role == role);
            let role = match process.program {
                program if program == good && !is_assigned(Role::Main) => Role::Main,
                program if Some(program) == trying && !is_assigned(Role::Trying) => Role::Trying,
                _ => Role::Stray,
            };
            self.processes.push(Process::new(process.id, process.program, role, now));
        }
        if !self.processes.iter().any(|p| p.role == Role::Trying) {
            // The previous supervisor ended before it started the successor, or the successor has ended since: it is retried.
            self.record.trying = None;
        }
    }

    /// The state to persist.
    pub fn record(&self) -> &SupervisorRecord {
        &self.record
    }

    /// The known processes.
    pub fn processes(&self) -> impl Iterator<Item = ProcessId> + '_ {
        self.processes.iter().map(|p| p.id)
    }

    /// The number of processes that serve or may come to serve, without those that were asked to end.
    pub fn active_count(&self) -> usize {
        self.processes.iter().filter(|p| matches!(p.role, Role::Main | Role::Trying)).count()
    }

    /// The wanted target.
    pub fn target(&self) -> Target {
        match &self.record.wanted {
            Some(wanted) if self.record.named => wanted.clone(),
            Some(wanted) => Target { program: self.default_target.program, ..wanted.clone() },
            None => self.default_target.clone(),
        }
    }

    /// Handles an assignment from the control service of this epoch. Returns false, and changes nothing, if a later epoch
    /// is known.
    pub fn handle_assignment(&mut self, epoch: u64, assignment: &ConfigAssignment) -> bool {
        if epoch < self.record.epoch {
            return false;
        }
        self.record.epoch = epoch;
        let named = assignment.version.program();
        let target = Target {
            program: named.unwrap_or(self.default_target.program),
            generation: assignment.version.digest(),
            given: Some(assignment.text()),
        };
        // A target that failed may be retried at once under another config version.
        if self.record.failed.as_ref().is_some_and(|f| f.target.generation != target.generation) {
            self.record.failed = None;
        }
        (self.record.wanted, self.record.named) = (Some(target), named.is_some());
        self.unpersisted = None;
        true
    }

    /// Whether an assignment may be applied though it can't be persisted: it leads to a program that has served well
    /// here. Danger: a full disk must not keep a machine on a bad version.
    pub fn is_known_good(&self, assignment: &ConfigAssignment) -> bool {
        let program = assignment.version.program().unwrap_or(self.default_target.program);
        let served = [Some(&self.record.good), self.record.before.as_ref(), Some(&self.default_target)];
        served.into_iter().flatten().any(|t| t.program == program)
    }

    /// Records that an assignment could not be persisted and so is not applied.
    pub fn handle_unpersisted(&mut self, assignment: &ConfigAssignment, why: &str) {
        self.unpersisted = Some((assignment.version.digest(), truncate(why)));
    }

    /// Sets or clears the error on this machine.
    pub fn set_fault(&mut self, fault: Option<String>) {
        self.fault = fault.map(|f| truncate(&f));
    }

    /// Handles a heartbeat.
    pub fn handle_heartbeat(&mut self, pid: u32, yes: bool, now: Nanos) {
        if let Some(process) = self.processes.iter_mut().find(|p| p.id.pid == pid) {
            (process.last_active, process.last_heartbeat) = (now, Some(now));
            if yes {
                process.serving_since.get_or_insert(now);
            }
        }
    }

    /// Called when the process that was to be started runs.
    pub fn handle_started(&mut self, id: ProcessId, now: Nanos) {
        if let Some((target, role)) = self.starting.take() {
            self.fault = None;
            self.processes.push(Process::new(id, target.program, role, now));
        }
    }

    /// Called when the process could not be started.
    pub fn handle_start_failure(&mut self, why: &str, now: Nanos) {
        match self.starting.take() {
            Some((target, Role::Trying)) => {
                self.record.trying = None;
                self.record_failure(target, why.to_owned(), now);
            }
            Some((target, _)) => {
                self.fault = Some(truncate(why));
                self.record_main_failure(&target, why, now);
            }
            None => {}
        }
    }

    /// Called when a process has ended.
    pub fn handle_exit(&mut self, id: ProcessId, how: &str, now: Nanos) {
        let Some(index) = self.processes.iter().position(|p| p.id == id) else { return };
        let process = self.processes.remove(index);
        match process.role {
            Role::Main => self.main_ended(process, &format!("its process ended by itself: {how}"), now),
            Role::Trying => {
                self.ends += 1;
                let why = match process.serving_since {
                    None => format!("its process ended without a yes: {how}"),
                    Some(yes) => {
                        let after = now.saturating_sub(yes) as f64 / SECOND as f64;
                        format!("its process ended {after:.1} s after its yes: {how}")
                    }
                };
                if let Some(target) = self.record.trying.take() {
                    self.record_failure(target, why, now);
                }
            }
            Role::Stray | Role::Ending(_) | Role::Killed(_) => {}
        }
    }

    /// Handles an unexpected end of the serving process.
    fn main_ended(&mut self, main: Process, why: &str, now: Nanos) {
        self.ends += 1;
        if now.saturating_sub(main.started_at) >= self.timeouts.steady {
            self.failures_in_row = 0;
        }
        // The end of a process of another program, which was found running, is no failure of the good program.
        if main.program == self.record.good.program {
            self.record_main_failure(&self.record.good.clone(), why, now);
        }
    }

    /// Records that the serving process has ended, or could not be started, and rolls back after too many failures.
    fn record_main_failure(&mut self, target: &Target, why: &str, now: Nanos) {
        self.failures_in_row += 1;
        self.not_before = now.saturating_add(self.timeouts.backoff_after(self.failures_in_row));
        if self.failures_in_row < self.timeouts.max_failures {
            return;
        }
        // In order of preference: the target that served before, the wanted one, that of this machine's own file.
        let candidates = [self.record.before.take(), Some(self.target()), Some(self.default_target.clone())];
        if let Some(other) = candidates.into_iter().flatten().find(|t| t.program != target.program) {
            let why = format!("{} times without a steady run: {why}", self.failures_in_row);
            self.record.good = other;
            self.record_failure(target.clone(), why, now);
            (self.failures_in_row, self.not_before) = (0, now);
        }
    }

    /// Records the failure of a target.
    fn record_failure(&mut self, target: Target, why: String, now: Nanos) {
        let same = self.record.failed.take().filter(|f| f.target.program == target.program);
        let times = same.map_or(1, |f| f.times + 1);
        self.retry_at = now.saturating_add(self.timeouts.backoff_after(times));
        self.record.failed = Some(FailedTarget { target, why: truncate(&why), times });
    }

    fn find_role(&self, role: Role) -> Option<Process> {
        self.processes.iter().copied().find(|p| p.role == role)
    }

    fn set_role(&mut self, id: ProcessId, role: Role) {
        self.processes.iter_mut().filter(|p| p.id == id).for_each(|p| p.role = role);
    }

    /// Advances to the time `now`, and returns the actions to take. At most one process is started at a time.
    pub fn tick(&mut self, now: Nanos) -> Vec<Action> {
        // Danger: heartbeats sent while this supervisor was suspended are read after its first tick; the silence that
        // it caused itself must not be blamed on a process.
        let missed = now.saturating_sub(std::mem::replace(&mut self.last_tick, now));
        if missed > MAX_TICK_INTERVAL {
            for process in &mut self.processes {
                process.last_active = process.last_active.saturating_add(missed).min(now);
                process.started_at = process.started_at.saturating_add(missed).min(now);
                // The suspended time does not count as observation.
                process.serving_since = process.serving_since.map(|yes| yes.saturating_add(missed).min(now));
            }
        }
        let mut actions = Vec::new();
        self.tick_ending(now, &mut actions);
        self.tick_main(now, &mut actions);
        self.tick_trying(now, &mut actions);
        self.adopt_settings();
        if let Some((target, role)) = self.next_start(now) {
            if role == Role::Trying {
                self.record.trying = Some(target.clone());
            }
            self.starting = Some((target.clone(), role));
            actions.push(Action::Start(target));
        }
        actions
    }

    fn tick_ending(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let drain = self.timeouts.drain;
        // Danger: if the record is older than the running processes, a stray process may be the only one that serves.
        if self.active_count() == 0 {
            let strays = self.processes.iter_mut().filter(|p| p.role == Role::Stray);
            strays.max_by_key(|p| p.id).into_iter().for_each(|p| p.role = Role::Main);
        }
        let serves = |p: &Process| matches!(p.role, Role::Main | Role::Trying) && p.is_serving(now);
        let any_serves = self.processes.iter().any(serves);
        for process in &mut self.processes {
            match process.role {
                // The previous supervisor may have asked it to end, or not.
                Role::Stray if any_serves => {
                    process.role = Role::Ending(now);
                    actions.push(Action::End(process.id));
                }
                Role::Ending(since) if now.saturating_sub(since) >= drain => {
                    process.role = Role::Killed(now);
                    actions.push(Action::Kill(process.id));
                }
                // It was killed before, but has not ended: the kill may have failed.
                Role::Killed(since) if now.saturating_sub(since) >= drain => {
                    process.role = Role::Killed(now);
                    actions.push(Action::Kill(process.id));
                }
                _ => {}
            }
        }
    }

    fn tick_main(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Some(main) = self.find_role(Role::Main) else { return };
        let is_steady = now.saturating_sub(main.started_at) >= self.timeouts.steady;
        let target = self.target();
        if is_steady
            && main.is_serving(now)
            && main.program == target.program
            && main.program != self.record.good.program
        {
            // The process was found running from the wanted program, and has served steadily: its target is good.
            self.record.before = Some(std::mem::replace(&mut self.record.good, target));
        }
        self.record.failed.take_if(|f| is_steady && f.target.program == main.program);
        let why = match main.serving_since {
            None if now.saturating_sub(main.started_at) >= self.timeouts.startup => {
                "it did not say yes in time"
            }
            Some(_) if now.saturating_sub(main.last_active) >= self.timeouts.hang => "it hung",
            _ => return,
        };
        self.set_role(main.id, Role::Killed(now));
        actions.push(Action::Kill(main.id));
        self.main_ended(main, &format!("{why} and was killed"), now);
    }

    fn tick_trying(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Some(new) = self.find_role(Role::Trying) else { return };
        let Some(target) = self.record.trying.clone() else { return };
        let silent = now.saturating_sub(new.last_active);
        let seconds = |span: Nanos| span as f64 / SECOND as f64;
        let why = match new.serving_since {
            None if now.saturating_sub(new.started_at) >= self.timeouts.startup => {
                Some(format!("it did not say yes within {} s", seconds(self.timeouts.startup)))
            }
            Some(_) if silent >= self.timeouts.hang => {
                Some(format!("it hung after its yes: nothing heard for {:.1} s", seconds(silent)))
            }
            _ => None,
        };
        if let Some(why) = why {
            self.set_role(new.id, Role::Killed(now));
            actions.push(Action::Kill(new.id));
            self.record.trying = None;
            self.record_failure(target, why, now);
            return;
        }
        let main = self.find_role(Role::Main);
        // Danger: the successor may be ended only if the incumbent serves; the incumbent may hang, or be starting itself.
        if self.target().program != target.program && main.is_some_and(|m| m.is_serving(now)) {
            // The successor is no longer wanted: the incumbent continues.
            self.record.trying = None;
            self.set_role(new.id, Role::Ending(now));
            actions.push(Action::End(new.id));
            return;
        }
        // Danger: without the check for a recent heartbeat, a successor that has just hung would replace the incumbent.
        if new.is_serving(now)
            && new.serving_since.is_some_and(|yes| now.saturating_sub(yes) >= self.timeouts.observation)
        {
            let before = std::mem::replace(&mut self.record.good, target);
            // The record of its earlier failures stays until it has run steadily, so that the backoff grows.
            (self.record.before, self.record.trying) = (Some(before), None);
            self.failures_in_row = 0;
            self.set_role(new.id, Role::Main);
            if let Some(old) = main {
                self.set_role(old.id, Role::Ending(now));
                actions.push(Action::End(old.id));
            }
        }
    }

    /// Adopts a wanted target that differs from the good one only in its config version: the running process applies that
    /// itself.
    fn adopt_settings(&mut self) {
        let target = self.target();
        if target.program == self.record.good.program && target != self.record.good {
            self.record.good = target;
        }
    }

    /// The target to start next, and its role.
    fn next_start(&self, now: Nanos) -> Option<(Target, Role)> {
        if self.starting.is_some() || self.find_role(Role::Trying).is_some() {
            return None;
        }
        let Some(main) = self.find_role(Role::Main) else {
            return (now >= self.not_before).then(|| (self.record.good.clone(), Role::Main));
        };
        let target = self.target();
        let has_failed = self.record.failed.as_ref().is_some_and(|f| f.target.program == target.program);
        // Danger: a successor that starts while another process is still ending is told to wait, and may miss its startup
        // timeout.
        let is_alone = self.processes.len() == 1;
        let due = main.is_serving(now) && is_alone && !(has_failed && now < self.retry_at);
        (due && target.program != main.program).then_some((target, Role::Trying))
    }

    /// The report for a control service. `boot` is this supervisor's start; the sender counts `seq`.
    pub fn report(&self, boot: u64, seq: u64) -> SupervisorReport {
        let target = self.target();
        let main = self.find_role(Role::Main).map(|p| p.program);
        let is_current_failure =
            |f: &&FailedTarget| f.target.program == target.program && main != Some(target.program);
        let failed = self.record.failed.as_ref().filter(is_current_failure);
        let failed =
            failed.map(|f| (target.generation, format!("program {:?}: {}", f.target.program, f.why)));
        SupervisorReport {
            seq,
            runs: main,
            trying: self.find_role(Role::Trying).map(|p| p.program),
            refused: self.unpersisted.clone().or(failed),
            fault: self.fault.clone(),
            ends: self.ends,
            ..SupervisorReport::new(boot)
        }
    }
}
