//! The real program between clients, nodes and discovery that a test plays by hand on loopback sockets.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod fleet;

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// How long a step may take before the test is given up: far longer than any takes.
pub const LONG: Duration = Duration::from_secs(30);

/// A message as it came: its first line, headers in lower case, and body.
#[derive(Debug, PartialEq)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// The head of a request as a node reads it.
pub struct RequestHead {
    pub path: String,
    pub id: String,
    /// The length of the body; `None`: it comes in chunks, or there is none.
    pub length: Option<usize>,
    pub is_chunked: bool,
}

/// One end of a connection.
pub struct Peer(pub BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).expect("time-out");
        stream.set_write_timeout(Some(LONG)).expect("time-out");
        Peer(BufReader::new(stream))
    }

    pub fn to(addr: SocketAddr) -> Self {
        Self::new(TcpStream::connect(addr).expect("connected"))
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// The next message; `None` when the connection has ended.
    pub fn read(&mut self) -> Option<Message> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => return None,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
            read => read.expect("a line"),
        };
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            self.0.read_line(&mut header).expect("a header");
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { line: line.trim_end().to_owned(), headers, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body).expect("a body");
        Some(message)
    }

    /// The next final answer: interim ones are passed over.
    pub fn answer(&mut self) -> Message {
        loop {
            let message = self.read().expect("an answer");
            if message.status() >= 200 {
                return message;
            }
        }
    }

    pub fn request(&mut self) -> Message {
        self.read().expect("a request")
    }

    /// Reads the head of a request whose body may be of any length and framing; `None`: it does not come whole.
    pub fn read_head(&mut self) -> Option<RequestHead> {
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n") {
            self.0.read_line(&mut text).ok().filter(|n| *n > 0)?;
        }
        let path = text.split(' ').nth(1)?.to_owned();
        let headers = text.to_lowercase();
        let value = |name: &str| headers.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let length = value("content-length:").and_then(|length| length.parse().ok());
        let is_chunked = value("transfer-encoding:") == Some("chunked");
        Some(RequestHead { path, id: value("x-correlation-id:")?.to_owned(), length, is_chunked })
    }

    /// Reads a body of this length, or in chunks; `None`: it does not come whole.
    pub fn read_body(&mut self, length: Option<usize>) -> Option<()> {
        if let Some(length) = length {
            return self.0.read_exact(&mut vec![0; length]).ok();
        }
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            self.0.read_exact(&mut vec![0; length + 2]).ok()?;
            if length == 0 {
                return Some(());
            }
        }
    }

    pub fn reply(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"));
    }

    pub fn ask(&mut self, class: &str, more: &str) {
        self.write(&get(class, more));
    }
}

/// A request under an id of its own.
pub fn get(class: &str, more: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    get_as(&format!("own-{}", NUMBER.fetch_add(1, Ordering::Relaxed)), class, more)
}

pub fn get_as(id: &str, class: &str, more: &str) -> String {
    format!(
        "GET /{class}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Account: acme\r\n{more}\r\n"
    )
}

/// A server whose connections the test takes one by one.
pub struct Server {
    pub addr: SocketAddr,
    pub taken: mpsc::Receiver<TcpStream>,
}

impl Server {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("an address");
        let (give, taken) = mpsc::channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if give.send(stream).is_err() {
                    return;
                }
            }
        });
        Server { addr, taken }
    }

    pub fn take(&self) -> Peer {
        Peer::new(self.taken.recv_timeout(LONG).expect("a connection"))
    }

    pub fn none_came(&self) -> bool {
        self.taken.try_recv().is_err()
    }
}

/// A node at which no connection comes up before its filler is taken and dropped: its backlog is full.
pub fn full_backlog() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let filler = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    (listener, filler)
}

pub fn member(id: &str, addr: SocketAddr, kind: &str, state: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "a", "kind": kind, "cell": 0, "state": state,
           "weight": 1.0, "started_ms": 0})
}

pub fn list(version: u64, full: bool, servers: &[Value]) -> Value {
    json!({"version": version, "full": full, "servers": servers})
}

pub fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "promise_ns": 20_000_000_000u64,
           "deadline_ns": 60_000_000_000u64, "dedup_window_ns": 60_000_000_000u64, "late_value": 0.5,
           "value": 1.0, "stream": false})
}

pub fn config(discovery: SocketAddr, servers: &[Value]) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "news": {"of": ["a", "later"]},
        "known": list(41, true, servers),
        "settings": {
            "categories": [class("read", "safe"), class("set", "keyed"), class("order", "unsafe")],
            "customers": [{"name": "acme", "quota_rps": 1000.0, "fraction": 1.0}],
            "localities": ["a"], "machine_types": ["std", "origin"], "zone": 0, "n_instances": 1,
            "self_index": 0, "discovery": "subscribe", "over_share_worth": 0.1, "worth_by": "request",
            "family_info": {"mode": "aside", "origin_kind": 1},
            "caps": {"attempts_cap": 5, "cancelling": true, "second_copies": true,
                     "conn_idle_ns": 60_000_000_000u64, "connect_timeout_ns": 20_000_000_000u64,
                     "max_retry_after_ns": 2_000_000_000u64},
            "rules": {"cold_from": 0.1, "cold_ns": 20_000_000_000u64, "fall_multiple": 3.0,
                      "fall_ns": 3_000_000_000u64, "must_ask_in_ns": 40_000_000_000u64},
            "an_unknown_key": 7
        }
    })
}

/// The program, ended when the test is over.
pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
    pub log: BufReader<ChildStderr>,
    pub file: PathBuf,
}

pub fn start(text: &str) -> (Child, PathBuf) {
    start_with(text, &[])
}

/// Starts the program with nothing in its environment but this and its configuration.
pub fn start_with(text: &str, variables: &[(&str, &str)]) -> (Child, PathBuf) {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let name = format!("rushquay-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a configuration file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
    command.env_clear().envs(variables.iter().copied());
    command.env("PROXY_CONFIG", &file).stderr(Stdio::piped());
    (command.spawn().expect("started"), file)
}

impl Proxy {
    pub fn new(config: &Value) -> Self {
        Self::with(config, &[])
    }

    pub fn with(config: &Value, variables: &[(&str, &str)]) -> Self {
        let (mut child, file) = start_with(&config.to_string(), variables);
        let log = BufReader::new(child.stderr.take().expect("a log"));
        let mut proxy = Proxy { child, addr: ([0, 0, 0, 0], 0).into(), log, file };
        proxy.addr = proxy.told("listening on ");
        proxy
    }

    /// The address in the next line of the log that holds this.
    pub fn told(&mut self, part: &str) -> SocketAddr {
        let line = self.line_with(part);
        let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        addr.unwrap_or_else(|| panic!("no address in {line:?}"))
    }

    /// Waits until the proxy says yes to operators; returns their address.
    pub fn yes(&mut self) -> SocketAddr {
        let admin = self.told("operators at ");
        for _ in 0..3000 {
            let mut peer = Peer::to(admin);
            peer.write("STATUS\n");
            let mut text = String::new();
            peer.0.read_to_string(&mut text).expect("an answer");
            if text.starts_with("+OK") {
                return admin;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("no yes");
    }

    pub fn client(&self) -> Peer {
        Peer::to(self.addr)
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill").success());
    }

    /// Stops the process; returns once it stands still.
    pub fn halt(&self) {
        self.signal("-STOP");
        let stands = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its state");
            // The name, in brackets, may hold blanks; the state follows it.
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        while !stands() {
            std::thread::yield_now();
        }
    }

    pub fn health(&self) -> u16 {
        let mut client = self.client();
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        client.answer().status()
    }

    /// The next line of the log that holds this.
    pub fn line_with(&mut self, part: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "the log ended before {part:?}");
            if line.contains(part) {
                return line;
            }
        }
    }

    /// Waits for a line of the log; returns how many came before it.
    pub fn logged(&mut self, part: &str) -> usize {
        for before in 0.. {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "the log ended before {part:?}");
            if line.contains(part) {
                return before;
            }
        }
        unreachable!("the log is endless")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A proxy with one cache node, an origin and discovery.
pub struct Rig {
    pub proxy: Proxy,
    pub cache: Server,
    pub origin: Server,
    pub discovery: Server,
}

pub fn rig() -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let proxy = Proxy::new(&config(discovery.addr, &servers));
    Rig { proxy, cache, origin, discovery }
}
