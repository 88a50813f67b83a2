//! What the drivers of the scripts share: cache nodes, discovery, clients, the programs under test as processes, and the record.
//!
//! The stand-ins do what the protocol page says and no more. Everything listens on loopback, on free ports.
#![forbid(unsafe_code)]

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The case could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl<E: std::error::Error> From<E> for CannotRun {
    fn from(error: E) -> Self {
        CannotRun(error.to_string())
    }
}

/// The verdict of a run, with its reason.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// Runs a case and ends with 0 where the rule held, 1 where it was broken, 2 where the case could not run.
pub fn run_case(case: impl FnOnce(&Arc<Record>, &Place) -> Result<Verdict, CannotRun>) -> ExitCode {
    let place = match Place::from_env() {
        Ok(place) => place,
        Err(CannotRun(why)) => {
            eprintln!("the case could not run: {why}");
            return ExitCode::from(2);
        }
    };
    let record = match Record::create(&place.record) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("the case could not run: {}: {e}", place.record.display());
            return ExitCode::from(2);
        }
    };
    record.note(&format!("trouble: {}", if place.trouble { "yes" } else { "no" }));
    end_with_the_script(&place.folder);
    let result = case(&record, &place);
    end_processes_of(&place.folder);
    let (code, line) = match result {
        Ok(Verdict::Held(why)) => (0, format!("the rule held: {why}")),
        Ok(Verdict::Broken(why)) => (1, format!("THE RULE WAS BROKEN: {why}")),
        Err(CannotRun(why)) => (2, format!("the case could not run: {why}")),
    };
    record.note(&line);
    println!("{line}");
    ExitCode::from(code)
}

/// Ends all processes of the case but this one: those that name its folder in their command or environment, also the child of a host that
/// has ended. A host may start another one meanwhile, so they are looked for until none is found.
fn end_processes_of(folder: &Path) {
    let name = folder.display().to_string();
    let names_folder = |pid: u32, file: &str| {
        let text = std::fs::read(format!("/proc/{pid}/{file}")).unwrap_or_default();
        text.windows(name.len()).any(|part| part == name.as_bytes())
    };
    for _ in 0..20 {
        let Ok(entries) = std::fs::read_dir("/proc") else { return };
        let all = entries.flatten().filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
        let program = |pid: u32| std::fs::read_link(format!("/proc/{pid}/exe")).unwrap_or_default();
        let is_program = |pid: u32| {
            let path = program(pid);
            path.ends_with("rushquay") || path.starts_with(folder)
        };
        let found: Vec<u32> = all
            .filter(|pid| {
                is_program(*pid) && (names_folder(*pid, "environ") || names_folder(*pid, "cmdline"))
            })
            .collect();
        if found.is_empty() {
            return;
        }
        found.iter().for_each(|pid| _ = send_signal(*pid, "KILL"));
        thread::sleep(Duration::from_millis(50));
    }
}

/// Ends this process and those of the case when the script has gone, however it ended.
fn end_with_the_script(folder: &Path) {
    let Some(script) = std::env::var("CASE_SHELL").ok().and_then(|pid| pid.parse::<u32>().ok()) else {
        return;
    };
    let folder = folder.to_owned();
    thread::spawn(move || {
        while Path::new(&format!("/proc/{script}/cmdline")).exists() {
            thread::sleep(Duration::from_millis(100));
        }
        end_processes_of(&folder);
        let _ = std::fs::remove_dir_all(&folder);
        std::process::exit(2);
    });
}

/// Where a case runs.
pub struct Place {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder of the case's own.
    pub folder: PathBuf,
    run: String,
    record: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

impl Place {
    fn from_env() -> Result<Self, CannotRun> {
        let variable = |name: &str| std::env::var(name).map_err(|_| CannotRun(format!("{name} is not set")));
        let folder = PathBuf::from(variable("CASE_TMP")?);
        Ok(Place {
            root: variable("CASE_ROOT")?.into(),
            run: variable("CASE_RUN")?,
            record: variable("CASE_RECORD")?.into(),
            folder,
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        })
    }

    /// Writes a file into the temporary folder.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Makes a folder in the temporary folder.
    pub fn make(&self, name: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::create_dir_all(&path)?;
        Ok(path)
    }

    /// The deploy file's command for a proxy, with these arguments behind it.
    pub fn run(&self, arguments: &str) -> String {
        format!("{} {arguments}", self.run).trim_end().to_owned()
    }

    /// Where the program of the deploy file stands.
    pub fn program(&self) -> PathBuf {
        self.root.join("target/release/rushquay")
    }
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Record { file: Mutex::new(File::create(path)?), start: Instant::now() })
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A free port on loopback.
pub fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0: it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None`: the connection ended before it.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    loop {
        let Some(message) = read_head(from)? else { return Ok(None) };
        // Interim answers announce another one.
        if (100..200).contains(&message.status()) && message.first.starts_with("HTTP/") {
            continue;
        }
        return read_body(from, message).map(Some);
    }
}

fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(from: &mut impl BufRead, mut message: Message) -> io::Result<Message> {
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(message)
}

/// A node closes a connection that has stood idle for so long: `conn_idle_ns` of the settings.
const CONNECTION_IDLE: Duration = Duration::from_secs(15);

/// A cache node or the origin: answers each request with a value of its own making, at once.
pub struct Node {
    pub name: String,
    pub addr: SocketAddr,
    got: Arc<Mutex<Vec<(Instant, Message)>>>,
}

impl Node {
    pub fn start(name: &str, record: &Arc<Record>) -> io::Result<Self> {
        Node::start_with(name, record, None)
    }

    /// A node whose answers to one class have this many bytes.
    pub fn start_with(
        name: &str,
        record: &Arc<Record>,
        long: Option<(&'static str, usize)>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let got: Arc<Mutex<Vec<(Instant, Message)>>> = Arc::default();
        let (name_here, got_here, record) = (name.to_owned(), got.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, got, record) = (name_here.clone(), got_here.clone(), record.clone());
                thread::spawn(move || serve_node(&name, stream, &got, &record, long));
            }
        });
        Ok(Node { name: name.to_owned(), addr, got })
    }

    /// How many requests have come whole.
    pub fn count(&self) -> usize {
        lock(&self.got).len()
    }

    /// The requests that have come whole, with the moment of each.
    pub fn requests(&self) -> Vec<(Instant, Message)> {
        lock(&self.got).clone()
    }

    /// How many requests came whole after this moment.
    pub fn count_since(&self, since: Instant) -> usize {
        lock(&self.got).iter().filter(|(at, _)| *at >= since).count()
    }
}

fn serve_node(
    name: &str,
    stream: TcpStream,
    got: &Mutex<Vec<(Instant, Message)>>,
    record: &Record,
    long: Option<(&'static str, usize)>,
) {
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(CONNECTION_IDLE)));
    let Ok(mut to) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut from) {
        let id = request.header("x-correlation-id").map(str::to_owned);
        record.note(&format!("{name} got {} id={}", request.first, id.as_deref().unwrap_or("-")));
        let class = request.first.split('/').nth(1).unwrap_or("").to_owned();
        lock(got).push((Instant::now(), request));
        if let Some((_, bytes)) = long.filter(|(long, _)| *long == class && id.is_some()) {
            if write_long(&mut to, bytes).is_err() {
                return;
            }
            continue;
        }
        let answer = match id {
            None => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Some(id) => {
                let body = format!("{name} made this for {id}");
                format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
        };
        if to.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Writes an answer of this length as fast as it is taken.
fn write_long(to: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {bytes}\r\n\r\n");
    to.write_all(head.as_bytes())?;
    let piece = vec![b'x'; 64 << 10];
    let mut left = bytes;
    while left > 0 {
        let n = left.min(piece.len());
        to.write_all(&piece[..n])?;
        left -= n;
    }
    Ok(())
}

/// An entry of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    pub fn of(node: &Node, zone: &'static str, kind: &'static str) -> Self {
        Entry { id: node.name.clone(), addr: node.addr, zone, kind, state: "ready", started_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":1,"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.addr, self.zone, self.kind, self.state, self.started_ms
        )
    }
}

/// A list in discovery's form.
pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

struct Listed {
    version: u64,
    entries: Vec<Entry>,
    /// The version at which each change was made, and the entry as it was then.
    changes: Vec<(u64, Entry)>,
}

/// Discovery: the whole list, and watches that answer with what changed.
pub struct Discovery {
    pub addr: SocketAddr,
    listed: Arc<(Mutex<Listed>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let listed = Listed { version: 41, entries, changes: Vec::new() };
        let listed = Arc::new((Mutex::new(listed), Condvar::new()));
        let shared = listed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let listed = shared.clone();
                thread::spawn(move || serve_discovery(stream, &listed));
            }
        });
        Ok(Discovery { addr, listed })
    }

    /// Changes an entry; state `gone` removes it.
    pub fn change(&self, entry: &Entry) {
        let mut listed = lock(&self.listed.0);
        listed.version += 1;
        let version = listed.version;
        listed.changes.push((version, entry.clone()));
        listed.entries.retain(|e| e.id != entry.id);
        if entry.state != "gone" {
            listed.entries.push(entry.clone());
        }
        self.listed.1.notify_all();
    }

    /// The whole list, as a configuration's `known`.
    pub fn known(&self) -> String {
        let listed = lock(&self.listed.0);
        list_json(listed.version, true, &listed.entries)
    }
}

fn serve_discovery(stream: TcpStream, listed: &(Mutex<Listed>, Condvar)) {
    let Ok(mut to) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut from) {
        let path = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        let parameter = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut now = lock(&listed.0);
        let body = match parameter("from") {
            None => list_json(now.version, true, &now.entries),
            Some(from) => {
                let until =
                    Instant::now() + Duration::from_millis(parameter("hold_ms").unwrap_or(0).min(60_000));
                while now.version <= from && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    now = listed.1.wait_timeout(now, left).unwrap_or_else(PoisonError::into_inner).0;
                }
                let changed: Vec<Entry> =
                    now.changes.iter().filter(|(v, _)| *v > from).map(|(_, e)| e.clone()).collect();
                list_json(now.version, false, &changed)
            }
        };
        drop(now);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if to.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The configuration of a proxy of a small deployment, with the classes of the brief.
pub struct ProxyConfig<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub sockets: u32,
    pub memory_mb: u32,
}

impl ProxyConfig<'_> {
    pub fn json(&self) -> String {
        let class = |name: &str, effect: &str, promise_ms: u64, deadline_ms: u64, late: f64| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","group":"all","promise_ns":{},"deadline_ns":{},"dedup_window_ns":2000000000,"late_value":{late},"value":1.0,"stream":false}}"#,
                promise_ms * 1_000_000,
                deadline_ms * 1_000_000
            )
        };
        let classes = [
            class("schedule-read", "safe", 500, 1000, 0.5),
            class("setpoint-read", "safe", 150, 300, 0.2),
            class("history-read", "safe", 500, 2000, 0.2),
            class("setpoint-change", "keyed", 300, 1000, 0.5),
        ];
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},
"settings":{{"categories":[{}],
"customers":[{{"name":"health-bldgs","quota_rps":80.0,"fraction":0.4343434343434343}},{{"name":"hostels-dept","quota_rps":26.0,"fraction":0.1414141414141414}},{{"name":"courts-bldgs","quota_rps":26.0,"fraction":0.1414141414141414}},{{"name":"schools-dept","quota_rps":26.0,"fraction":0.1414141414141414}},{{"name":"rest-houses","quota_rps":26.0,"fraction":0.1414141414141414}}],
"localities":["gandhinagar","vadodara","rajkot","surat"],"machine_types":["fast-1c","std-1c","slow-1c","origin"],
"zone":0,"n_instances":2,"self_index":0,"discovery":"subscribe","over_share_worth":0.05,"worth_by":"request",
"family_info":{{"mode":"aside","origin_kind":3}},
"caps":{{"attempts_cap":5,"cancelling":true,"second_copies":true,"conn_idle_ns":15000000000,"connect_timeout_ns":75000000,"max_retry_after_ns":2000000000}},
"rules":{{"answer_slack_ns":8000000,"cold_from":0.12,"cold_ns":23000000000,"fall_multiple":3.0,"fall_ns":3000000000,"drain_grace_ns":500000000,"must_ask_in_ns":10000000000}}}}}}"#,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known,
            classes.join(",")
        )
    }
}

/// A process of the program, killed on drop.
pub struct Process {
    pub name: String,
    pub child: Child,
}

impl Process {
    /// Starts a command from the root of the repository, with these variables alone.
    pub fn start(
        place: &Place,
        record: &Record,
        name: &str,
        command: &str,
        variables: &[(&str, String)],
    ) -> Result<Self, CannotRun> {
        let log = File::create(place.folder.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&place.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .envs(variables.iter().map(|(name, value)| (*name, value.as_str())))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.note(&format!("started {name}, process {}: {command}", child.id()));
        Ok(Process { name: name.to_owned(), child })
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, record: &Record, signal: &str) -> Result<(), CannotRun> {
        send_signal(self.child.id(), signal)?;
        record.note(&format!("sent SIG{signal} to {}", self.name));
        Ok(())
    }

    /// Waits for the end; `None`: it has not ended in this time.
    pub fn wait(&mut self, most: Duration) -> io::Result<Option<String>> {
        let until = Instant::now() + most;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status.to_string()));
            }
            if Instant::now() >= until {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a signal to a process that the case has started.
pub fn send_signal(pid: u32, signal: &str) -> Result<(), CannotRun> {
    let status = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {pid}")).status()?;
    match status.success() {
        true => Ok(()),
        false => Err(CannotRun(format!("kill -{signal} {pid} failed"))),
    }
}

/// Waits until `GET /_health` is answered with 200.
pub fn wait_for_health(addr: SocketAddr, most: Duration) -> Result<(), CannotRun> {
    let until = Instant::now() + most;
    while Instant::now() < until {
        let asked =
            exchange(addr, b"GET /_health HTTP/1.1\r\nHost: backend.local\r\n\r\n", Duration::from_secs(1));
        if asked.is_ok_and(|answer| answer.is_some_and(|m| m.status() == 200)) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(CannotRun(format!("{addr} is not healthy after {most:?}")))
}

/// Sends one request on a new connection and reads its answer; `None`: the connection ended without one.
pub fn exchange(addr: SocketAddr, request: &[u8], most: Duration) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&addr, most)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(most))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))
}

/// A new request id.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A read, as a usual client writes it. `more`: further lines of the head.
pub fn get(class: &str, key: &str, id: &str, left: f64, more: &str) -> String {
    format!(
        "GET /{class}/{key} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Account: health-bldgs\r\n\
         X-Time-Left: {left:.3}\r\n{more}\r\n"
    )
}

/// A link between two processes that can be cut: then open connections stay open and silent, and new ones never get a word through.
pub struct Link {
    pub addr: SocketAddr,
    is_cut: Arc<std::sync::atomic::AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let is_cut: Arc<std::sync::atomic::AtomicBool> = Arc::default();
        let cut = is_cut.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || carry(near, to, &cut));
            }
        });
        Ok(Link { addr, is_cut })
    }

    /// Cuts the link.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }
}

fn carry(near: TcpStream, to: SocketAddr, cut: &Arc<std::sync::atomic::AtomicBool>) {
    if cut.load(Ordering::SeqCst) {
        return hold(near, cut);
    }
    let Ok(far) = TcpStream::connect(to) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let pairs = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
    let lanes: Vec<_> = pairs
        .into_iter()
        .filter_map(|(from, to)| Some((from.ok()?, to.ok()?)))
        .map(|(from, to)| {
            let cut = cut.clone();
            thread::spawn(move || pass(from, to, &cut))
        })
        .collect();
    lanes.into_iter().for_each(|lane| _ = lane.join());
    drop(far);
    hold(near, cut);
}

/// Keeps a connection open and silent for as long as the link is cut.
fn hold(stream: TcpStream, cut: &std::sync::atomic::AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(200));
    }
    drop(stream);
}

/// Passes bytes on, until the end or the cut.
fn pass(mut from: TcpStream, mut to: TcpStream, cut: &std::sync::atomic::AtomicBool) {
    use std::io::Read as _;
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buffer = [0; 16 << 10];
    while !cut.load(Ordering::SeqCst) {
        match from.read(&mut buffer) {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(n) if !cut.load(Ordering::SeqCst) => {
                if to.write_all(&buffer[..n]).is_err() {
                    return;
                }
            }
            Ok(_) => return,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}
