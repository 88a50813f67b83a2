//! The processes of a supervisor: starts and signals them, and finds those of an earlier supervisor in `/proc`.

use super::{Files, SupervisorSettings};
use crate::proxy::process::supervised::{GIVEN, HOST, OWN_PROGRAM, PROGRAM};
use rushquay_config_version::Digest;
use rushquay_sockets::patiently;
use rushquay_supervisor::{FoundProcess, ProcessId, Target};
use rustix::io::Errno;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How often a start is retried while the program file is still open for writing (`ETXTBSY`).
const MAX_BUSY_RETRIES: u32 = 10;
/// The wait between two such retries.
const BUSY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Whether a process id is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// A process with this id runs; `start` is its start time in clock ticks since boot.
    Running { start: u64 },
    /// No process with this id runs.
    NotRunning,
}

/// The used fields of `/proc/PID/stat`.
struct ProcessStat {
    /// It is a zombie, or dead: its parent has not waited for it yet.
    has_ended: bool,
    /// Its start time in clock ticks since boot.
    start: u64,
}

/// Reads `/proc/PID/stat` of a process.
///
/// # Errors
/// There is no such process, or the file can't be read at the moment.
fn read_stat(pid: u32) -> io::Result<ProcessStat> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    parse_stat(&stat).ok_or_else(|| {
        io::Error::new(io::ErrorKind::InvalidData, "/proc/PID/stat is not in the expected format")
    })
}

/// Parses `/proc/PID/stat`; `None`: it is not in the expected format.
fn parse_stat(stat: &str) -> Option<ProcessStat> {
    // The command name in parentheses may contain any character, also parentheses and spaces.
    let mut fields = stat.rsplit_once(')')?.1.split_ascii_whitespace();
    let has_ended = matches!(fields.next()?, "Z" | "X" | "x");
    let start = fields.nth(18)?.parse().ok()?;
    Some(ProcessStat { has_ended, start })
}

/// Checks whether a process with this id runs.
///
/// # Errors
/// `/proc` can't be read at the moment. Danger: if this counted as "not running", a second process would be started
/// beside one that runs.
fn look_up(pid: u32) -> io::Result<Presence> {
    match read_stat(pid) {
        Ok(stat) if stat.has_ended => Ok(Presence::NotRunning),
        Ok(stat) => Ok(Presence::Running { start: stat.start }),
        Err(e) if is_no_such_process(&e) => Ok(Presence::NotRunning),
        Err(e) => Err(e),
    }
}

/// Whether an error from `/proc` means that the process ended before or during the read.
fn is_no_such_process(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound || error.raw_os_error() == Some(Errno::SRCH.raw_os_error())
}

/// Whether exactly this process runs, not another one that reuses its process id.
///
/// # Errors
/// `/proc` can't be read at the moment.
fn is_running(id: ProcessId) -> io::Result<bool> {
    Ok(look_up(id.pid)? == Presence::Running { start: id.start })
}

/// Finds the running processes that any supervisor with this heartbeat socket has started.
///
/// # Errors
/// `/proc` can't be read, also after several attempts.
pub fn find_processes(socket: &Path) -> io::Result<Vec<FoundProcess>> {
    patiently(|| {
        let mut found = Vec::new();
        for entry in std::fs::read_dir("/proc")? {
            let name = entry?.file_name();
            let pid = name.to_str().and_then(|name| name.parse().ok());
            if let Some(pid) = pid {
                found.extend(find_supervised(socket, pid)?);
            }
        }
        Ok(found)
    })
}

/// The process with this id, if a supervisor with this heartbeat socket has started it and it runs.
fn find_supervised(socket: &Path, pid: u32) -> io::Result<Option<FoundProcess>> {
    let environ = match std::fs::read(format!("/proc/{pid}/environ")) {
        Ok(environ) => environ,
        // A process of another user was not started by this supervisor.
        Err(e) if is_no_such_process(&e) || e.kind() == io::ErrorKind::PermissionDenied => return Ok(None),
        Err(e) => return Err(e),
    };
    let Some(program) = parse_supervised_program(socket, &environ) else { return Ok(None) };
    Ok(match look_up(pid)? {
        Presence::Running { start } => Some(FoundProcess { id: ProcessId { start, pid }, program }),
        Presence::NotRunning => None,
    })
}

/// The program that a process with this environment was started from; `None`: no supervisor with this heartbeat
/// socket has started it.
fn parse_supervised_program(socket: &Path, environ: &[u8]) -> Option<Digest> {
    let variable = |name: &str| {
        let line = environ.split(|b| *b == 0).find(|line| {
            line.strip_prefix(name.as_bytes()).is_some_and(|rest| rest.first() == Some(&b'='))
        })?;
        std::str::from_utf8(&line[name.len() + 1..]).ok()
    };
    (Path::new(variable(HOST)?) == socket).then_some(())?;
    variable(PROGRAM)?.parse().ok()
}

/// The processes that the supervisor has started or found.
pub struct Processes {
    args: Vec<String>,
    environment: BTreeMap<String, String>,
    default_program: Digest,
    socket: PathBuf,
    /// All that have not ended. The value is the child handle; `None`: an earlier supervisor has started the process.
    children: BTreeMap<ProcessId, Option<Child>>,
}

impl Processes {
    /// Creates the table, with the processes that were found running.
    pub fn new(settings: &SupervisorSettings, files: &Files, found: &[FoundProcess]) -> Self {
        let mut environment = settings.environment.clone();
        environment.insert("PROXY_NAME".into(), settings.name.clone());
        // Incumbent and successor need the same directory for their hand-over socket.
        environment.entry("TMPDIR".into()).or_insert_with(|| files.dir().display().to_string());
        let children = found.iter().map(|f| (f.id, None)).collect();
        let (args, default_program, socket) = (settings.args.clone(), settings.program, files.socket());
        Processes { args, environment, default_program, socket, children }
    }

    /// Whether all processes have ended.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Starts a process of the target. `retained` are the programs whose files must stay available.
    ///
    /// # Errors
    /// Why it can't be started.
    pub fn start(
        &mut self,
        files: &Files,
        target: &Target,
        retained: &[Digest],
    ) -> Result<ProcessId, String> {
        let program = files.find_program(target.program)?;
        files.retain_programs(retained);
        let mut command = Command::new(&program);
        command.args(&self.args).env_clear().envs(&self.environment).stdin(Stdio::null());
        command.env(HOST, &self.socket).env(PROGRAM, target.program.to_string());
        command.env(OWN_PROGRAM, self.default_program.to_string());
        if let Some(given) = &target.given {
            command.env(GIVEN, given);
        }
        // Danger: a program file that has just been written may still be open for writing for a moment, in a child that its
        // writer has forked.
        let mut spawned = command.spawn();
        for _ in 0..MAX_BUSY_RETRIES {
            if !spawned.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::ExecutableFileBusy) {
                break;
            }
            std::thread::sleep(BUSY_RETRY_INTERVAL);
            spawned = command.spawn();
        }
        let mut child = spawned.map_err(|e| format!("{}: {e}", program.display()))?;
        let pid = child.id();
        // A child that has ended stays a zombie with its id until `reap` waits for it, so this lookup succeeds for it too,
        // and `reap` reports its exit status.
        match patiently(|| read_stat(pid)) {
            Ok(stat) => {
                let id = ProcessId { start: stat.start, pid };
                self.children.insert(id, Some(child));
                Ok(id)
            }
            // Danger: a process that this supervisor does not track would run permanently beside the next one.
            Err(e) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("process {pid} can't be looked up: {e}"))
            }
        }
    }

    /// Sends SIGTERM to a process, or SIGKILL if `kill`.
    pub fn signal(&self, id: ProcessId, kill: bool) {
        let own_child = self.children.get(&id).is_some_and(Option::is_some);
        // Danger: the id of a process that is not a child of this supervisor may have been reused. A process that can't be
        // looked up now is killed later, when its drain timeout has passed.
        if !own_child && !is_running(id).unwrap_or(false) {
            return;
        }
        let pid = i32::try_from(id.pid).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, if kill { Signal::KILL } else { Signal::TERM });
        }
    }

    /// Removes the processes that have ended, and returns them with how they ended.
    pub fn reap(&mut self) -> Vec<(ProcessId, String)> {
        let mut ended = Vec::new();
        self.children.retain(|id, child| {
            let how = match child {
                Some(child) => match child.try_wait() {
                    Ok(None) => return true,
                    Ok(Some(status)) => status.to_string(),
                    Err(e) => e.to_string(),
                },
                // A process that can't be looked up now is looked up again on the next tick.
                None if is_running(*id).unwrap_or(true) => return true,
                None => "exit status unknown, since an earlier supervisor had started it".into(),
            };
            ended.push((*id, how));
            false
        });
        ended
    }
}
