//! What surrounds a proxy in tests of real processes: nodes that tell who they are, a control service, discovery with a list that changes.

use super::{Peer, Proxy, Server, LONG};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// A folder of its own, and an address that no other test uses.
pub struct Place {
    pub folder: PathBuf,
    pub listen: SocketAddr,
}

impl Place {
    pub fn new() -> Self {
        static NUMBER: AtomicU8 = AtomicU8::new(0);
        let (number, pid) = (NUMBER.fetch_add(1, Ordering::Relaxed), std::process::id());
        let folder = std::env::temp_dir().join(format!("rq-handed-{pid}-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let listen = SocketAddr::from(([127, 1 + (pid >> 8) as u8 % 254, pid as u8, 1 + number], 3000));
        Place { folder, listen }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        // A rename, so that no half of it is read.
        let part = self.folder.join(format!("{name}.part"));
        std::fs::write(&part, text).expect("written");
        std::fs::rename(&part, &path).expect("renamed");
        path
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Where a control service has its list from.
#[derive(Clone, Copy)]
pub enum ListSource<'a> {
    File(&'a Path),
    Discovery(SocketAddr),
}

/// A running control service, ended with the test.
pub struct Control {
    pub child: Child,
    pub xds: SocketAddr,
    admin: SocketAddr,
}

impl Control {
    pub fn start(source: ListSource, state: Option<&Path>, listen: &str, variables: &[(&str, &str)]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
        command.env_clear().envs(variables.iter().copied());
        command.args(["control", "--listen", listen, "--admin", "127.0.0.1:0"]);
        match source {
            ListSource::File(file) => command.arg("--nodes").arg(file),
            ListSource::Discovery(addr) => command.arg("--discovery").arg(addr.to_string()),
        };
        if let Some(state) = state {
            command.arg("--state").arg(state);
        }
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("started");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
        let part = |name: &str| {
            let parts = line.trim().split(' ');
            let value = parts.filter_map(|part| part.strip_prefix(name)).next().expect("an address");
            value.parse().expect("an address")
        };
        Control { child, xds: part("xds="), admin: part("admin=") }
    }

    pub fn overrides(&self, words: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
        command.env_clear().env("USER", "asha").env("TZ", "UTC").args(["override", "--admin"]);
        let out = command.arg(self.admin.to_string()).args(words.split(' ')).output().expect("it ran");
        assert!(out.status.success(), "{words}: {}", String::from_utf8_lossy(&out.stderr));
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A node that answers each request with its name.
pub fn node(name: &'static str) -> SocketAddr {
    let server = Server::new();
    let addr = server.addr;
    std::thread::spawn(move || {
        for stream in server.taken {
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while peer.read().is_some() {
                    peer.reply("200 OK", "X-Lookup: hit\r\n", name);
                }
            });
        }
    });
    addr
}

/// The nodes that serve keys which nobody has asked for, and the one that serves the pinned key. The origin, which a proxy may always ask, is
/// left out.
pub fn served(proxy: &Proxy) -> (BTreeSet<String>, String) {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    const KEYS: usize = 40;
    let mut client = proxy.client();
    let mut ask = |key: &str| {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        client.write(&format!(
            "GET /read/{key} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: handed-{number}\r\nX-Account: acme\r\n\r\n"
        ));
        String::from_utf8(client.answer().body).expect("a name")
    };
    let fresh_key = || format!("{:016x}", NUMBER.load(Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let names = std::iter::repeat_with(|| ask(&fresh_key())).take(KEYS);
    (names.filter(|name| name != "o1").collect(), ask("7f3a9c21e0b4d655"))
}

pub fn until_served(proxy: &Proxy, nodes: &[&str], pinned: &str) {
    let start = Instant::now();
    let expected = (nodes.iter().map(|name| (*name).to_owned()).collect(), pinned.to_owned());
    loop {
        let by = served(proxy);
        if by == expected {
            return;
        }
        assert!(start.elapsed() < LONG, "{by:?} instead of {expected:?}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

/// What a stand-in discovery tells.
#[derive(Default)]
struct ListState {
    version: u64,
    /// By id: the version of the last change, and the entry.
    entries: BTreeMap<String, (u64, Value)>,
    /// How far the dates of its answers are ahead, in seconds; `None`: they have none.
    date_ahead_s: Option<i64>,
    calls: u64,
}

impl ListState {
    /// The whole list, or what has changed since a version.
    fn list(&self, since: Option<u64>) -> Value {
        let is_told = |version: u64| since.is_none_or(|since| version > since);
        let entries = self
            .entries
            .values()
            .filter(|(version, entry)| is_told(*version) && (since.is_some() || entry["state"] != "gone"));
        let servers: Vec<Value> = entries.map(|(_, entry)| entry.clone()).collect();
        super::list(self.version, since.is_none(), &servers)
    }

    fn date_header(&self) -> String {
        let Some(ahead_s) = self.date_ahead_s else { return String::new() };
        let now = jiff::Timestamp::now() + jiff::SignedDuration::from_secs(ahead_s);
        let date =
            jiff::fmt::rfc2822::DateTimePrinter::new().timestamp_to_rfc9110_string(&now).expect("a date");
        format!("Date: {date}\r\n")
    }
}

/// A stand-in discovery: the whole list, and watches on its changes.
pub struct ListServer {
    pub addr: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl ListServer {
    pub fn start(entries: &[Value], date_ahead_s: Option<i64>) -> Self {
        let server = Server::new();
        let addr = server.addr;
        let state = Arc::new((
            Mutex::new(ListState { version: 41, date_ahead_s, ..ListState::default() }),
            Condvar::new(),
        ));
        let list = ListServer { addr, state: state.clone() };
        entries.iter().for_each(|entry| list.put(entry.clone()));
        std::thread::spawn(move || {
            for stream in server.taken {
                let state = state.clone();
                std::thread::spawn(move || serve_lists(&mut Peer::new(stream), &state));
            }
        });
        list
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.state.0.lock().expect("no panic").version
    }

    /// From now on the dates of its answers are so far ahead.
    pub fn set_date_ahead(&self, ahead_s: i64) {
        self.state.0.lock().expect("no panic").date_ahead_s = Some(ahead_s);
    }

    /// Waits for so many further calls: who calls again has taken the answer to the call before.
    pub fn until_further_calls(&self, number: u64) {
        let state = self.state.0.lock().expect("no panic");
        let calls = state.calls + number;
        let (state, _) =
            self.state.1.wait_timeout_while(state, LONG, |state| state.calls < calls).expect("no panic");
        assert!(state.calls >= calls, "{} of {calls} calls", state.calls);
    }

    /// Puts or replaces an entry, under the next version.
    pub fn put(&self, entry: Value) {
        let mut state = self.state.0.lock().expect("no panic");
        state.version += 1;
        let id = entry["id"].as_str().expect("an id").to_owned();
        let version = state.version;
        state.entries.insert(id, (version, entry));
        self.state.1.notify_all();
    }
}

fn serve_lists(peer: &mut Peer, (state, changed): &(Mutex<ListState>, Condvar)) {
    while let Some(request) = peer.read() {
        let number = |name: &str| {
            let rest = request.line.split_once(name)?.1;
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            rest[..end].parse::<u64>().ok()
        };
        let since = number("from=");
        let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0));
        let mut state = state.lock().expect("no panic");
        state.calls += 1;
        changed.notify_all();
        let is_waiting = |state: &mut ListState| since == Some(state.version);
        let (state, _) = changed.wait_timeout_while(state, hold, is_waiting).expect("no panic");
        let (date, list) = (state.date_header(), state.list(since));
        drop(state);
        peer.reply("200 OK", &date, &list.to_string());
    }
}

/// An entry of the list whose process started so long ago; `None`: the list does not tell when.
pub fn member_started(id: &str, addr: SocketAddr, kind: &str, state: &str, age_s: Option<u64>) -> Value {
    #[expect(clippy::disallowed_methods, reason = "the list tells when nodes started as Unix times")]
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock").as_millis() as u64;
    let mut entry = super::member(id, addr, kind, state);
    entry["started_ms"] = age_s.map_or(0, |age_s| now - age_s * 1000).into();
    entry
}
