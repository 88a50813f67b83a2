//! `rushquay host`: the hand on a machine. It carries out what [`rushquay_supervisor::Supervisor`] decides: starts the proxy, replaces it by
//! hand-over, watches it, and goes back by itself; and it is told by a control service what is to run.

mod files;
mod follow;
mod processes;
mod settings;

pub use files::{add, digest, FileError, Files};
pub use processes::find;
pub use settings::HostSettings;

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

/// It looks at its processes so often.
const LOOK: Duration = Duration::from_millis(100);
/// A control service hears of it so often.
const TELL: Duration = Duration::from_millis(500);
/// What could not be kept is tried again after this time.
const KEEP_AGAIN: Duration = Duration::from_secs(1);

/// Writes a line to standard error in one call. Danger: the processes that it starts write there too, and in several calls a line of
/// theirs may stand in the midst of this one.
fn say(line: impl std::fmt::Display) {
    let text = format!("rushquay host: {line}\n");
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// What the settings themselves say is to run.
fn own(program: Digest) -> Target {
    Target { program, generation: ConfigVersion::base().digest(), given: None }
}

struct Running {
    files: Files,
    host: RefCell<Supervisor>,
    processes: RefCell<Processes>,
    /// What stands on the disk.
    kept: RefCell<SupervisorRecord>,
    /// When keeping failed last.
    failed: Cell<Option<Instant>>,
    begin: Instant,
    boot: u64,
    seq: Cell<u64>,
    refused: RefCell<Option<(Digest, String)>>,
    news: Arc<Notify>,
}

/// Runs a proxy until `stop`, then has it end, and ends.
///
/// # Errors
/// Settings, folders or sockets that can't be used; another host of the same folder.
pub async fn run(settings: HostSettings, stop: impl Future<Output = ()>) -> Result<(), String> {
    let files = Files::open(&settings)?;
    // From here on no other host starts anything here, and all that one has started can be found.
    let _alone = files.lock()?;
    let socket_path = files.socket();
    // Danger: what runs and is not found would have another proxy started beside it.
    let found =
        find(&socket_path).map_err(|e| format!("the processes of this machine can't be looked up: {e}"))?;
    let own = own(settings.program);
    let record = match files.read_record() {
        Ok(Some(record)) => record,
        Ok(None) => SupervisorRecord::new(own.clone()),
        Err(why) => {
            // Danger: begun anew, what runs would be taken for a stray. It serves, so it is what is good.
            say(format_args!("{why}; going on from what runs"));
            let runs = found.iter().max_by_key(|f| f.id).map(|f| f.program);
            SupervisorRecord::new(runs.map_or(own.clone(), |program| Target { program, ..own.clone() }))
        }
    };
    for one in &found {
        say(format_args!("found process {} of program {:?}", one.id.pid, one.program));
    }
    let epoch = record.epoch;
    let host = Supervisor::new(settings.terms, own, record.clone(), &found, 0);
    let processes = Processes::new(&settings, &files, &found);
    let _ = std::fs::remove_file(&socket_path);
    let socket =
        UnixDatagram::bind(&socket_path).map_err(|e| format!("dir: {}: {e}", socket_path.display()))?;
    #[expect(
        clippy::disallowed_methods,
        reason = "names this start of the supervisor; no span is measured by it"
    )]
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let running = Rc::new(Running {
        files,
        host: RefCell::new(host),
        processes: RefCell::new(processes),
        kept: RefCell::new(record),
        failed: Cell::new(None),
        begin: Instant::now(),
        boot: wall.as_nanos() as u64,
        seq: Cell::new(0),
        refused: RefCell::new(None),
        news: Arc::default(),
    });
    say(format_args!("host of {}, program {:?} by its own file", settings.name, settings.program));
    let (told, mut telling) = mpsc::unbounded_channel::<(u64, ConfigAssignment)>();
    if let Some(control) = settings.control.clone() {
        let reports = running.clone();
        let tells = move || Some(reports.report());
        tokio::task::spawn_local(follow::follow(
            control,
            settings.name.clone(),
            epoch,
            running.news.clone(),
            tells,
            told,
        ));
    }
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tell = interval(TELL);
    tell.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop = std::pin::pin!(stop);
    let mut bytes = [0; 1024];
    loop {
        tokio::select! {
            () = &mut stop => break,
            got = socket.recv(&mut bytes) => {
                if let Some(pulse) = got.ok().and_then(|n| Heartbeat::read(&bytes[..n])) {
                    running.host.borrow_mut().pulse(pulse.pid, pulse.yes, running.now());
                }
            }
            Some((epoch, given)) = telling.recv() => running.told(epoch, &given),
            _ = look.tick() => running.look(),
            _ = tell.tick() => running.news.notify_one(),
        }
    }
    running.end().await;
    Ok(())
}

impl Running {
    fn now(&self) -> u64 {
        self.begin.elapsed().as_nanos() as u64
    }

    fn report(&self) -> String {
        self.seq.set(self.seq.get() + 1);
        self.host.borrow().report(self.boot, self.seq.get()).text()
    }

    /// A control service says what is to run. Obeyed once it is kept.
    fn told(&self, epoch: u64, given: &ConfigAssignment) {
        let before = self.host.borrow().clone();
        if !self.host.borrow_mut().told(epoch, given) {
            return say(format_args!("word of epoch {epoch} is over and changes nothing"));
        }
        if self.host.borrow().record() == before.record() {
            return;
        }
        if let Err(why) = self.keep() {
            if !before.known_good(given) {
                *self.host.borrow_mut() = before;
                self.host.borrow_mut().not_kept(given, &why);
                return say(format_args!("change {} is not obeyed: {why}", given.rollout));
            }
            say(format_args!("change {} is obeyed though it can't be kept: {why}", given.rollout));
        }
        let target = self.host.borrow().target();
        say(format_args!("told to run program {:?} by change {}", target.program, given.rollout));
    }

    /// Writes down what has changed.
    fn keep(&self) -> Result<(), String> {
        let record = self.host.borrow().record().clone();
        if *self.kept.borrow() == record {
            return Ok(());
        }
        match self.files.keep_record(&record) {
            Ok(()) => {
                self.failed.set(None);
                *self.kept.borrow_mut() = record;
                Ok(())
            }
            Err(why) => {
                if self.failed.replace(Some(Instant::now())).is_none() {
                    say(&why);
                }
                Err(why)
            }
        }
    }

    fn look(&self) {
        let gone = self.processes.borrow_mut().gone();
        let now = self.now();
        for (id, how) in gone {
            say(format_args!("process {} has ended: {how}", id.pid));
            self.host.borrow_mut().gone(id, &how, now);
        }
        let acts = self.host.borrow_mut().look(now);
        // Danger: a disk that keeps nothing must not be what ends service: what runs is found again without it.
        if self.failed.get().is_none_or(|at| at.elapsed() >= KEEP_AGAIN) {
            let fault = self.keep().err();
            if fault.is_some() {
                self.host.borrow_mut().fault(fault);
            }
        }
        for act in acts {
            self.act(act);
        }
        let refused = self.host.borrow().report(0, 0).refused;
        if *self.refused.borrow() != refused {
            match &refused {
                Some((_, why)) => say(format_args!("gone back from {why}")),
                None => say("nothing is refused any more"),
            }
            *self.refused.borrow_mut() = refused;
            self.news.notify_one();
        }
    }

    fn act(&self, act: Action) {
        match act {
            Action::End(id) => {
                say(format_args!("process {} is told to end", id.pid));
                self.processes.borrow().signal(id, false);
            }
            Action::Kill(id) => {
                say(format_args!("process {} is killed", id.pid));
                self.processes.borrow().signal(id, true);
            }
            Action::Start(target) => {
                let keeps = self.host.borrow().record().programs();
                let started = self.processes.borrow_mut().start(&self.files, &target, &keeps);
                let now = self.now();
                match started {
                    Ok(id) => {
                        say(format_args!("process {} of program {:?} is started", id.pid, target.program));
                        self.host.borrow_mut().started(id, now);
                    }
                    Err(why) => {
                        say(format_args!("program {:?} is not started: {why}", target.program));
                        self.host.borrow_mut().not_started(&why, now);
                    }
                }
            }
        }
    }

    /// Has all end.
    async fn end(&self) {
        let ids: Vec<_> = self.host.borrow().processes().collect();
        ids.iter().for_each(|id| self.processes.borrow().signal(*id, false));
        while !self.processes.borrow().is_empty() {
            tokio::time::sleep(LOOK).await;
            self.processes.borrow_mut().gone();
        }
    }
}
