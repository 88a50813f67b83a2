//! A process of the program: started, stopped, woken, ended and killed by its id, and its log in the history.

use crate::{EventLog, LONG};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// The program with clocks that run wrong (`examples/skewed.rs`), and its variables: so many parts in a million fast, and its wall clock so
/// many seconds ahead.
///
/// # Panics
/// It was not built.
pub fn skewed(ppm: &str, step_s: &str) -> (PathBuf, Vec<(String, String)>) {
    let here = std::env::current_exe().expect("this test's own file");
    // target/<profile>/deps/<test>: the examples stand beside deps.
    let program = here.ancestors().nth(2).expect("a folder").join("examples").join("skewed");
    assert!(program.exists(), "{}: cargo build --example skewed builds it", program.display());
    let told = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    (program, vec![told("SKEW_PPM", ppm), told("SKEW_STEP_S", step_s)])
}

/// A running process. Dropped it is killed.
pub struct Process {
    name: String,
    child: Child,
    history: EventLog,
    lines: Receiver<String>,
    stopped: bool,
}

impl Process {
    /// Starts the program with these arguments and variables, and no others.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[&str],
        variables: &[(&str, &str)],
        history: &EventLog,
    ) -> Self {
        let mut command = Command::new(program);
        command.env_clear().args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command.envs(variables.iter().copied());
        let mut child = command.spawn().expect("the program starts");
        let (sender, lines) = channel();
        let reads = |from: Box<dyn Read + Send>| {
            let (sender, history, name) = (sender.clone(), history.clone(), name.to_owned());
            std::thread::spawn(move || {
                for line in BufReader::new(from).lines().map_while(Result::ok) {
                    history.note(&name, line.clone());
                    // Nobody may wait for lines any more.
                    let _ = sender.send(line);
                }
            })
        };
        reads(Box::new(child.stdout.take().expect("its output")));
        reads(Box::new(child.stderr.take().expect("its log")));
        history.note(name, format!("started as process {}", child.id()));
        Process { name: name.to_owned(), child, history: history.clone(), lines, stopped: false }
    }

    /// Waits for a line that begins so, and gives the rest of it.
    pub fn says(&self, start: &str) -> String {
        let until = Instant::now() + LONG;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) => {
                    if let Some(rest) = line.strip_prefix(start) {
                        return rest.to_owned();
                    }
                }
                Err(_) => panic!("{} never said {start:?}:\n{}", self.name, self.history.last(40)),
            }
        }
    }

    fn signal(&mut self, signal: Signal, what: &str) {
        self.history.note(&self.name, what);
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("an id");
        // It may just have ended.
        let _ = kill_process(pid, signal);
    }

    /// Stops it where it is (SIGSTOP).
    pub fn stop(&mut self) {
        self.signal(Signal::STOP, "stopped");
        self.stopped = true;
    }

    /// Lets it go on (SIGCONT).
    pub fn wake(&mut self) {
        self.signal(Signal::CONT, "woken");
        self.stopped = false;
    }

    /// Whether it is stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Asks it to end (SIGTERM).
    pub fn end(&mut self) {
        self.signal(Signal::TERM, "told to end");
    }

    /// Has it read its settings again (SIGHUP).
    pub fn hang_up(&mut self) {
        self.signal(Signal::HUP, "told to read its settings again");
    }

    /// Kills it (SIGKILL) and waits until it is gone.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL, "killed");
        let _ = self.child.wait();
    }

    /// Waits until it has ended by itself; whether it did so well.
    pub fn ended(&mut self) -> bool {
        let until = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return status.success();
            }
            assert!(Instant::now() < until, "{} does not end:\n{}", self.name, self.history.last(40));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether it ends within this time by itself, and well.
    pub async fn ends_within(&mut self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The processes that hosts of this socket have started and that run: number and program.
pub(crate) fn hosted(socket: &Path) -> Vec<(u32, String)> {
    let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let pids = entries.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter_map(|pid| {
        let environ = std::fs::read_to_string(format!("/proc/{pid}/environ")).ok()?;
        let told = |name: &str| environ.split('\0').find_map(|line| line.strip_prefix(name));
        (told("PROXY_HOST=")? == socket.to_str()?).then(|| Some((pid, told("PROXY_PROGRAM=")?.to_owned())))?
    })
    .collect()
}

/// Kills a process that a host had started.
pub(crate) fn kill(pid: u32) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, Signal::KILL);
    }
}
