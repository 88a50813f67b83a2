//! Stand-ins for the review's cases: nodes, discovery, clients, and the proxy as a process of its own. Standard library only.

use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::fs::File;
use std::hash::BuildHasher;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record.txt"));
        Arc::new(Record { file, start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }
}

/// A message: first line, headers with names in lower case, and body.
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn id(&self) -> &str {
        self.header("x-correlation-id")
    }
}

/// Reads a first line and headers; `None` at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if from.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    Some(Message { line: line.trim_end().to_owned(), headers, body: Vec::new() })
}

/// Reads a whole message with a told length or in chunks.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(from)?;
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut size = String::new();
            from.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        message.body = vec![0; message.header("content-length").parse().unwrap_or(0)];
        from.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Listens on a free loopback port and serves each connection in a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// What a node does with a request that has come whole.
pub enum Reply {
    /// Answers after a time: status line, further headers, body.
    Answer(Duration, &'static str, &'static str, String),
}

/// A node that answers each request that has come whole, one after another on a connection.
pub fn node(handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
    listen(move |stream| serve_requests(stream, &handle))
}

pub fn serve_requests(stream: TcpStream, handle: &dyn Fn(&Message) -> Reply) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut writer = stream;
    while let Some(request) = read_message(&mut reader) {
        let Reply::Answer(after, status, headers, body) = handle(&request);
        thread::sleep(after);
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Discovery: one list with a version; a watch waits for a newer one.
pub struct Discovery {
    state: Mutex<(u64, String)>,
    changed: Condvar,
}

impl Discovery {
    /// Starts discovery on a list: its version and the text of the whole list. Each answer is the whole list, or no entries where a
    /// watch ends with nothing newer.
    pub fn start(record: &Arc<Record>, version: u64, list: String) -> (Arc<Self>, SocketAddr) {
        let discovery = Arc::new(Discovery { state: Mutex::new((version, list)), changed: Condvar::new() });
        let (served, record) = (discovery.clone(), record.clone());
        let addr = listen(move |stream| served.serve(stream, &record));
        (discovery, addr)
    }

    pub fn change(&self, version: u64, list: String) {
        *self.state.lock().expect("list") = (version, list);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut writer = stream;
        while let Some(call) = read_message(&mut reader) {
            let (_, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
            let value = |name: &str| {
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (from, hold) = (value("from"), value("hold_ms").unwrap_or(0).min(60_000));
            let until = Instant::now() + Duration::from_millis(hold);
            let mut state = self.state.lock().expect("list");
            while from.is_some_and(|from| state.0 <= from) && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                state = self.changed.wait_timeout(state, left).expect("list").0;
            }
            let (version, list) = state.clone();
            drop(state);
            let is_newer = from.is_none_or(|from| version > from);
            let body = match is_newer {
                true => list,
                false => format!("{{\"version\":{version},\"full\":false,\"servers\":[]}}"),
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body.as_bytes()));
            if is_newer {
                let how = if sent.is_ok() { "written whole" } else { "cut off by the proxy" };
                record.line(format!(
                    "discovery: {} -> version {version}, {} bytes, {how}",
                    call.path(),
                    body.len()
                ));
            }
            if sent.is_err() {
                return;
            }
        }
    }
}

/// One entry of discovery's list.
pub fn entry(id: &str, addr: SocketAddr, zone: &str, kind: &str, state: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"{kind}\",\"cell\":0,\
         \"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}"
    )
}

pub fn list(version: u64, entries: &[String]) -> String {
    format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}", entries.join(","))
}

/// The memory limit of a proxy: the most on the days that are scored.
pub const MEMORY_MB: u64 = 192;

/// A case takes 120 s at most.
const LONGEST_RUN: Duration = Duration::from_secs(105);

/// All processes that the case has started, with their folders: none of them outlives the case.
static STARTED: Mutex<Vec<(Arc<Mutex<Child>>, PathBuf)>> = Mutex::new(Vec::new());

fn end_all() {
    for (child, folder) in STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_dir_all(folder);
    }
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Has the system kill this process when the one that started it ends, however that ends.
fn end_with_parent() {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call takes two numbers and changes nothing but this process's own setting.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
}

/// Begins a case: it and its processes end, with 2, where a stand-in's thread fails or the case takes too long, and are killed where
/// the script or the case itself is killed.
pub fn begin() {
    end_with_parent();
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        println!("COULD NOT RUN: it took too long");
        end_all();
        std::process::exit(2);
    });
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        end_all();
        std::process::exit(2);
    }));
}

/// A proxy, started with the command of the deploy file from the repository's root; killed when the case ends.
#[derive(Clone)]
pub struct Proxy {
    child: Arc<Mutex<Child>>,
    pub addr: SocketAddr,
    folder: PathBuf,
}

impl Proxy {
    /// Starts a proxy: `settings` and `known` as JSON. Waits until it answers `/_health` with 200.
    pub fn start(
        record: &Record,
        settings: &str,
        known: &str,
        discovery: SocketAddr,
        sockets: u32,
    ) -> Option<Self> {
        let run = std::env::var("RUN").expect("RUN is the command of the deploy file");
        let root = std::env::var("ROOT").expect("ROOT is the repository's folder");
        let addr = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
        // A seed and a folder of its own for each start.
        let seed = RandomState::new().hash_one(addr);
        let folder = std::env::temp_dir().join(format!("review-{}-{seed:016x}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let file = folder.join("config.json");
        let config = format!(
            "{{\"name\":\"p0\",\"listen\":\"{addr}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":{sockets}}},\
             \"known\":{known},\"settings\":{settings}}}"
        );
        std::fs::write(&file, config).expect("a configuration");
        let log = File::create(folder.join("log")).expect("a log");
        let mut command = Command::new("/bin/sh");
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                end_with_parent();
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run])
            .current_dir(root)
            .env("PROXY_NAME", "p0")
            .env("PROXY_LISTEN", addr.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the proxy");
        record.line(format!("proxy {} started at {addr}, seed {seed:016x}, with: {run}", child.id()));
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().expect("started").push((child.clone(), folder.clone()));
        let proxy = Proxy { child, addr, folder };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let health = TcpStream::connect(addr).ok().and_then(|stream| {
                let mut client = Client::of(stream);
                client
                    .write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                    .ok()?;
                client.answer(Duration::from_secs(2)).ok()
            });
            if health.is_some_and(|h| h.status() == 200) {
                record.line("proxy serves (/_health answered 200)");
                return Some(proxy);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("proxy did not become ready");
        None
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.lock().expect("child").id();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
    }

    /// How much of its memory is resident.
    pub fn resident_bytes(&self) -> u64 {
        let id = self.child.lock().expect("child").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) << 10
    }

    /// How it ended; `None`: it runs.
    pub fn ended(&self) -> Option<ExitStatus> {
        self.child.lock().expect("child").try_wait().ok()?
    }

    /// What the proxy wrote to standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// A client's connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Client {
    pub fn to(addr: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::of(TcpStream::connect(addr)?))
    }

    pub fn of(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Client { reader: BufReader::new(stream.try_clone().expect("a second handle")), stream }
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next final answer, or how the wait for it ended.
    pub fn answer(&mut self, patience: Duration) -> Result<Message, &'static str> {
        let _ = self.stream.set_read_timeout(Some(patience));
        loop {
            if let Err(e) = self.reader.fill_buf() {
                let is_silent =
                    matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut);
                return Err(if is_silent { "nothing came" } else { "the connection was reset" });
            }
            match read_message(&mut self.reader) {
                None => return Err("the connection ended"),
                Some(message) if message.status() < 200 => {}
                Some(message) => return Ok(message),
            }
        }
    }
}

/// The settings of a small deployment. `classes`: the text of `categories`.
pub fn settings(site: &Site, classes: &str) -> String {
    let Site { zones, kinds, deadline_grace_ms, connect_ms, idle_s, attempts, second_copies, .. } = site;
    let names = |names: &[&str]| names.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(",");
    let origin_kind = kinds.len() - 1;
    let customers: Vec<String> = site
        .tenants
        .iter()
        .map(|(name, share, quota)| {
            format!("{{\"name\":\"{name}\",\"fraction\":{share},\"quota_rps\":{quota:.1}}}")
        })
        .collect();
    let customers = customers.join(",");
    format!(
        "{{\"categories\":[{classes}],\"customers\":[{customers}],\"localities\":[{}],\"machine_types\":[{}],\"zone\":0,\
         \"n_instances\":2,\"self_index\":0,\"discovery\":\"subscribe\",\"over_share_worth\":0.05,\
         \"worth_by\":\"request\",\"weights\":\"nominal\",\"kind_of_service\":\"cache\",\
         \"family_info\":{{\"mode\":\"aside\",\"origin_kind\":{origin_kind}}},\
         \"client_habits\":{{\"marks_retry\":true}},\
         \"caps\":{{\"attempts_cap\":{attempts},\"cancelling\":true,\"second_copies\":{second_copies},\
         \"conn_idle_ns\":{idle_s}000000000,\"connect_timeout_ns\":{connect_ms}000000,\
         \"max_retry_after_ns\":2000000000,\"peer_messages\":true,\"probing\":true,\"retry_after\":true}},\
         \"rules\":{{\"answer_slack_ns\":8000000,\"cold_from\":0.12,\"cold_ns\":23000000000,\
         \"drain_grace_ns\":{deadline_grace_ms}000000,\"fall_multiple\":{},\"fall_ns\":{}000000,\
         \"must_ask_in_ns\":10000000000}}}}",
        names(zones),
        names(kinds),
        site.fall_multiple,
        site.fall_ms,
    )
}

/// The figures of a site file that a case uses.
pub struct Site {
    pub zones: &'static [&'static str],
    /// Machine kinds, the origin last.
    pub kinds: &'static [&'static str],
    /// Tenants: name, share, requests a second.
    pub tenants: &'static [(&'static str, f64, f64)],
    pub deadline_grace_ms: u32,
    pub connect_ms: u32,
    pub idle_s: u32,
    pub attempts: u32,
    pub second_copies: bool,
    pub fall_multiple: f64,
    pub fall_ms: u32,
}

pub const GSBHSB: Site = Site {
    zones: &["gandhinagar", "vadodara", "rajkot", "surat"],
    kinds: &["fast-1c", "std-1c", "slow-1c", "origin"],
    tenants: &[
        ("health-bldgs", 0.43, 80.0),
        ("hostels-dept", 0.14, 26.0),
        ("courts-bldgs", 0.14, 26.0),
        ("schools-dept", 0.14, 26.0),
        ("rest-houses", 0.14, 26.0),
    ],
    deadline_grace_ms: 500,
    connect_ms: 75,
    idle_s: 15,
    attempts: 5,
    second_copies: true,
    fall_multiple: 3.0,
    fall_ms: 3000,
};

pub const MONTEVIDEO: Site = Site {
    zones: &["sala-norte", "sala-sur"],
    kinds: &["rapido", "medio", "lento", "origin"],
    tenants: &[
        ("aseguradoras", 0.39, 80.0),
        ("concesionarios", 0.27, 55.0),
        ("intendencias", 0.24, 50.0),
        ("gestorias", 0.1, 20.0),
    ],
    deadline_grace_ms: 2000,
    connect_ms: 250,
    idle_s: 10,
    attempts: 4,
    second_copies: false,
    fall_multiple: 2.5,
    fall_ms: 1000,
};

/// A class of requests.
pub fn class(
    name: &str,
    effect: &str,
    aim_ms: u32,
    deadline_ms: u32,
    window_ms: u32,
    late_value: f64,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"group\":\"all\",\"promise_ns\":{aim_ms}000000,\
         \"deadline_ns\":{deadline_ms}000000,\"dedup_window_ns\":{window_ms}000000,\"late_value\":{late_value},\
         \"stream\":false,\"value\":1.0}}"
    )
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, why: &str) -> ! {
    record.line(format!("{}: {why}", if broken { "BROKEN" } else { "HELD" }));
    println!("{}: {why}", if broken { "BROKEN" } else { "HELD" });
    end_all();
    std::process::exit(i32::from(broken))
}

/// Ends the case: it could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(format!("COULD NOT RUN: {why}"));
    println!("COULD NOT RUN: {why}");
    end_all();
    std::process::exit(2)
}

/// Whether the case plays its disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
