//! `rushquay host`: the supervisor of the proxy on one machine. It executes the actions of
//! [`rushquay_supervisor::Supervisor`]: starts the proxy, replaces it by a hand-over, observes it, and rolls back on
//! failure. A control service may assign the program and the settings.

mod files;
mod follow;
mod processes;
mod settings;

pub use files::{add_program, file_digest, FileError, Files};
pub use processes::find_processes;
pub use settings::SupervisorSettings;

use processes::Processes;
use rushquay_config_version::{ConfigAssignment, ConfigVersion, Digest};
use rushquay_supervisor::{Action, Heartbeat, Supervisor, SupervisorRecord, Target};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::Write as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UnixDatagram;
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, MissedTickBehavior};

/// The interval at which the state machine advances and ended processes are reaped.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of the reports to the control service.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A record that could not be written is written again after this time.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Writes a line to standard error in one call. Danger: the supervised processes write there too; a line written in
/// several calls could be interleaved with theirs.
fn log(line: impl std::fmt::Display) {
    let text = format!("rushquay host: {line}\n");
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// The target of the settings file, which applies without an assignment.
fn default_target(program: Digest) -> Target {
    Target { program, generation: ConfigVersion::base().digest(), given: None }
}

/// A running supervisor: the state machine with its processes and files.
struct Running {
    files: Files,
    supervisor: RefCell<Supervisor>,
    processes: RefCell<Processes>,
    /// The record as it was last written to disk.
    persisted: RefCell<SupervisorRecord>,
    /// The last failed write of the record; `None`: the last write succeeded.
    write_failed_at: Cell<Option<Instant>>,
    started_at: Instant,
    /// Unix time of the start in nanoseconds, which identifies this supervisor process in reports.
    boot: u64,
    /// The sequence number of the last report.
    seq: Cell<u64>,
    /// The rejected config version as it was last logged.
    logged_rejection: RefCell<Option<(Digest, String)>>,
    /// Wakes the sender of reports.
    report_due: Arc<Notify>,
}

/// Supervises a proxy until `stop`, then ends its processes and returns.
///
/// # Errors
/// Unusable settings, folders or sockets, or another supervisor of the same folder.
pub async fn run(settings: SupervisorSettings, stop: impl Future<Output = ()>) -> Result<(), String> {
    let files = Files::open(&settings)?;
    // From here on no other supervisor starts processes for this folder, and those of earlier ones can be found.
    let _lock = files.lock()?;
    let socket_path = files.socket();
    // Danger: a second proxy would be started beside a running one that was not found.
    let found = find_processes(&socket_path)
        .map_err(|e| format!("the processes of this machine can't be looked up: {e}"))?;
    let default_target = default_target(settings.program);
    let record = match files.read_record() {
        Ok(Some(record)) => record,
        Ok(None) => SupervisorRecord::new(default_target.clone()),
        Err(why) => {
            // Danger: with an empty record the running process would count as a stray. It serves, so its program counts as
            // good.
            log(format_args!("{why}; continuing from the running process"));
            let running_program = found.iter().max_by_key(|f| f.id).map(|f| f.program);
            SupervisorRecord::new(
                running_program
                    .map_or(default_target.clone(), |program| Target { program, ..default_target.clone() }),
            )
        }
    };
    for process in &found {
        log(format_args!("found process {} of program {:?}", process.id.pid, process.program));
    }
    let epoch = record.epoch;
    let supervisor = Supervisor::new(settings.timeouts, default_target, record.clone(), &found, 0);
    let processes = Processes::new(&settings, &files, &found);
    let _ = std::fs::remove_file(&socket_path);
    let socket =
        UnixDatagram::bind(&socket_path).map_err(|e| format!("dir: {}: {e}", socket_path.display()))?;
    #[expect(
        clippy::disallowed_methods,
        reason = "identifies this start of the supervisor; no duration is measured with it"
    )]
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let running = Rc::new(Running {
        files,
        supervisor: RefCell::new(supervisor),
        processes: RefCell::new(processes),
        persisted: RefCell::new(record),
        write_failed_at: Cell::new(None),
        started_at: Instant::now(),
        boot: unix_time.as_nanos() as u64,
        seq: Cell::new(0),
        logged_rejection: RefCell::new(None),
        report_due: Arc::default(),
    });
    log(format_args!("supervisor of {}, program {:?} by its settings file", settings.name, settings.program));
    let (assignment_sender, mut assignments) = mpsc::unbounded_channel::<(u64, ConfigAssignment)>();
    if let Some(control) = settings.control.clone() {
        let reporter = running.clone();
        let next_report = move || Some(reporter.report());
        tokio::task::spawn_local(follow::follow(
            control,
            settings.name.clone(),
            epoch,
            running.report_due.clone(),
            next_report,
            assignment_sender,
        ));
    }
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reports = interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop = std::pin::pin!(stop);
    let mut datagram = [0; 1024];
    loop {
        tokio::select! {
            () = &mut stop => break,
            received = socket.recv(&mut datagram) => {
                if let Some(heartbeat) = received.ok().and_then(|n| Heartbeat::read(&datagram[..n])) {
                    running.supervisor.borrow_mut().handle_heartbeat(heartbeat.pid, heartbeat.yes, running.now());
                }
            }
            Some((epoch, assignment)) = assignments.recv() => running.handle_assignment(epoch, &assignment),
            _ = ticks.tick() => running.tick(),
            _ = reports.tick() => running.report_due.notify_one(),
        }
    }
    running.shut_down().await;
    Ok(())
}

impl Running {
    fn now(&self) -> u64 {
        self.started_at.elapsed().as_nanos() as u64
    }

    fn report(&self) -> String {
        self.seq.set(self.seq.get() + 1);
        self.supervisor.borrow().report(self.boot, self.seq.get()).text()
    }

    /// Handles an assignment of the control service, which is applied once it is persisted.
    fn handle_assignment(&self, epoch: u64, assignment: &ConfigAssignment) {
        let before = self.supervisor.borrow().clone();
        if !self.supervisor.borrow_mut().handle_assignment(epoch, assignment) {
            return log(format_args!("ignored an assignment of epoch {epoch}: a later epoch is known"));
        }
        if self.supervisor.borrow().record() == before.record() {
            return;
        }
        if let Err(why) = self.persist() {
            if !before.is_known_good(assignment) {
                *self.supervisor.borrow_mut() = before;
                self.supervisor.borrow_mut().handle_unpersisted(assignment, &why);
                return log(format_args!("rollout {} is not applied: {why}", assignment.rollout));
            }
            log(format_args!(
                "rollout {} is applied though it can't be persisted: {why}",
                assignment.rollout
            ));
        }
        let target = self.supervisor.borrow().target();
        log(format_args!("told to run program {:?} by rollout {}", target.program, assignment.rollout));
    }

    /// Writes the record to disk if it has changed.
    fn persist(&self) -> Result<(), String> {
        let record = self.supervisor.borrow().record().clone();
        if *self.persisted.borrow() == record {
            return Ok(());
        }
        match self.files.write_record(&record) {
            Ok(()) => {
                self.write_failed_at.set(None);
                *self.persisted.borrow_mut() = record;
                Ok(())
            }
            Err(why) => {
                if self.write_failed_at.replace(Some(Instant::now())).is_none() {
                    log(&why);
                }
                Err(why)
            }
        }
    }

    /// Reaps ended processes, advances the state machine, and executes its actions.
    fn tick(&self) {
        let ended = self.processes.borrow_mut().reap();
        let now = self.now();
        for (id, how) in ended {
            log(format_args!("process {} has ended: {how}", id.pid));
            self.supervisor.borrow_mut().handle_exit(id, &how, now);
        }
        let actions = self.supervisor.borrow_mut().tick(now);
        // Danger: a disk that can't be written must not end service, so the actions are executed even if the record is not
        // persisted: running processes are found again without it.
        if self.write_failed_at.get().is_none_or(|at| at.elapsed() >= WRITE_RETRY_INTERVAL) {
            let fault = self.persist().err();
            if fault.is_some() {
                self.supervisor.borrow_mut().set_fault(fault);
            }
        }
        for action in actions {
            self.execute(action);
        }
        let rejection = self.supervisor.borrow().report(0, 0).refused;
        if *self.logged_rejection.borrow() != rejection {
            match &rejection {
                Some((_, why)) => log(format_args!("config version rejected: {why}")),
                None => log("no config version is rejected any more"),
            }
            *self.logged_rejection.borrow_mut() = rejection;
            self.report_due.notify_one();
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::End(id) => {
                log(format_args!("process {} is told to end", id.pid));
                self.processes.borrow().signal(id, false);
            }
            Action::Kill(id) => {
                log(format_args!("process {} is killed", id.pid));
                self.processes.borrow().signal(id, true);
            }
            Action::Start(target) => {
                let retained = self.supervisor.borrow().record().programs();
                let started = self.processes.borrow_mut().start(&self.files, &target, &retained);
                let now = self.now();
                match started {
                    Ok(id) => {
                        log(format_args!("process {} of program {:?} is started", id.pid, target.program));
                        self.supervisor.borrow_mut().handle_started(id, now);
                    }
                    Err(why) => {
                        log(format_args!("program {:?} is not started: {why}", target.program));
                        self.supervisor.borrow_mut().handle_start_failure(&why, now);
                    }
                }
            }
        }
    }

    /// Asks all processes to end, and waits until they have.
    async fn shut_down(&self) {
        let ids: Vec<_> = self.supervisor.borrow().processes().collect();
        ids.iter().for_each(|id| self.processes.borrow().signal(*id, false));
        while !self.processes.borrow().is_empty() {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.processes.borrow_mut().reap();
        }
    }
}
