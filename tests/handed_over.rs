//! What an old process holds by word of the control service goes to the new one while the control service is away: real processes.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::time::Instant;

/// A folder of its own, and an address that no other test uses.
struct Place {
    folder: PathBuf,
    listen: SocketAddr,
}

impl Place {
    fn new() -> Self {
        static NUMBER: AtomicU8 = AtomicU8::new(0);
        let (number, pid) = (NUMBER.fetch_add(1, Ordering::Relaxed), std::process::id());
        let folder = std::env::temp_dir().join(format!("rq-handed-{pid}-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let listen = SocketAddr::from(([127, 1 + (pid >> 8) as u8 % 254, pid as u8, 1 + number], 3000));
        Place { folder, listen }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
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

/// A running control service, ended with the test.
struct Control {
    child: Child,
    xds: SocketAddr,
    admin: SocketAddr,
}

impl Control {
    fn start(nodes: &Path, state: &Path, listen: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
        command.env_clear().args(["control", "--listen", listen, "--admin", "127.0.0.1:0"]);
        command.arg("--nodes").arg(nodes).arg("--state").arg(state);
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

    fn overrides(&self, words: &str) {
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
fn node(name: &'static str) -> SocketAddr {
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
fn served(proxy: &Proxy) -> (BTreeSet<String>, String) {
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

fn until_served(proxy: &Proxy, nodes: &[&str], pinned: &str) {
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

/// Guards against a new version that forgets what operators and the control service have said while that is away: a node out of service, a
/// pin, a drain that only the control service has told, and a node that only it lists.
#[test]
fn new_versions_keep_what_the_control_service_said_while_it_is_away() {
    let (place, discovery) = (Place::new(), Server::new());
    let addresses = ["c1", "c2", "c3", "c4", "o1"].map(|name| (name, node(name)));
    let entry = |name: &str, state: &str| {
        let (name, addr) = addresses.iter().find(|(n, _)| *n == name).expect("a node");
        member(name, *addr, if *name == "o1" { "origin" } else { "std" }, state)
    };
    let known: Vec<Value> = ["c1", "c2", "c3", "o1"].iter().map(|name| entry(name, "ready")).collect();
    let with_more: Vec<Value> = ["c1", "c2", "c4", "o1"]
        .iter()
        .map(|name| entry(name, "ready"))
        .chain([entry("c3", "draining")])
        .collect();
    let nodes = place.write("nodes.json", &list(41, true, &with_more).to_string());
    let state = place.folder.join("control.redb");
    let control = Control::start(&nodes, &state, "127.0.0.1:0");
    let xds = control.xds;
    let clusters = "clusters = [\"cache-nodes\", \"origin\"]\nbackoff_ms = 20\nbackoff_most_ms = 100\n";
    let subscription = place.write("subscription.toml", &format!("addresses = [\"{xds}\"]\n{clusters}"));
    let mut config = config(discovery.addr, &known);
    config["listen"] = json!(place.listen.to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(1_000_000_000u64);
        class["promise_ns"] = json!(500_000_000u64);
    }
    let start = || {
        let variables = [
            ("TMPDIR", place.folder.to_str().expect("a path")),
            ("PROXY_CONTROL", subscription.to_str().expect("a path")),
        ];
        Proxy::with(&config, &variables)
    };
    let mut old = start();
    old.yes();
    control.overrides("set --node c1 --out --for 10m --reason boiler-room --force");
    control.overrides("set --node c4 --pin-class read --pin-keys 7f* --for 10m --reason warm");
    until_served(&old, &["c2", "c4"], "c4");
    drop(control);
    for _ in 0..3 {
        let mut new = start();
        new.yes();
        old.signal("-TERM");
        assert!(old.child.wait().expect("ended").success());
        for _ in 0..3 {
            let by = served(&new);
            assert_eq!(by, (BTreeSet::from(["c2".into(), "c4".into()]), "c4".into()));
        }
        old = new;
    }
    // What the control service says when it is back goes before what was handed over.
    let control = Control::start(&nodes, &state, &xds.to_string());
    control.overrides("lift 1 --author asha");
    until_served(&old, &["c1", "c2", "c4"], "c4");
    let mut rest = String::new();
    old.signal("-TERM");
    old.log.read_to_string(&mut rest).expect("its log");
    assert!(!rest.contains("rule broken"), "{rest}");
}
