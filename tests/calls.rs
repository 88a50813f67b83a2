//! System calls of the proxy that fail in the ways that Linux documents: no request is lost by them.

mod rig;
use rig::*;
use rushquay_fleet_harness::Faults;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

const SEED: u64 = 39;
/// Reads and writes that are interrupted or move a byte, and waits that are interrupted.
const INTERRUPTIONS: &str = "recv:EINTR=0.1;send:EINTR=0.1;recv:short=0.2;send:short=0.2;poll:EINTR=0.05";

/// Starts a stand-in that answers all that comes to it with 200 and the request's id.
fn answering() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while let Some(request) = peer.read() {
                    let id = request.header("x-correlation-id").unwrap_or("nobody").to_owned();
                    peer.reply("200 OK", "X-Lookup: hit\r\n", &id);
                }
            });
        }
    });
    addr
}

/// A proxy whose calls fail, between clients and one node that answers at once.
struct Faulty {
    proxy: Proxy,
    operators: SocketAddr,
    /// Faults are injected while this file exists.
    switch: PathBuf,
}

impl Faulty {
    /// Faults are injected once it serves.
    fn start(name: &str, rules: &str) -> Self {
        println!("seed {SEED}");
        let switch = std::env::temp_dir().join(format!("rushquay-faults-{name}-{}", std::process::id()));
        let faults = Faults::new(SEED, rules).while_exists(&switch);
        let discovery = Server::new();
        let servers = [
            member("c1", answering(), "std", "ready"),
            member("c2", answering(), "std", "ready"),
            member("o1", answering(), "origin", "ready"),
        ];
        let mut told = config(discovery.addr, &servers);
        told["admin_addr"] = json!("127.0.0.1:0");
        let variables = faults.variables();
        let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        let mut proxy = Proxy::with(&told, &variables);
        let operators = proxy.yes();
        let faulty = Faulty { proxy, operators, switch };
        faulty.turn(true);
        faulty
    }

    fn turn(&self, on: bool) {
        match on {
            true => std::fs::write(&self.switch, "").expect("written"),
            false => std::fs::remove_file(&self.switch).expect("removed"),
        }
        // The library looks at the file every few milliseconds.
        std::thread::sleep(Duration::from_millis(20));
    }

    /// One figure of METRICS.
    fn figure(&self, name: &str) -> u64 {
        let mut peer = Peer::to(self.operators);
        peer.write("METRICS\n");
        let mut text = String::new();
        peer.0.read_to_string(&mut text).expect("an answer");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text:?}"))
    }
}

impl Drop for Faulty {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.switch);
    }
}

/// Danger: a call that a signal interrupts, or that moves a part, would end the connection under a request.
#[test]
fn interrupted_and_short_reads_and_writes_lose_no_request() {
    let faulty = Faulty::start("interrupted", INTERRUPTIONS);
    for connection in 0..40 {
        let mut client = faulty.proxy.client();
        for n in 0..10 {
            let id = format!("i{connection}-{n}");
            let write = n % 3 == 0;
            match write {
                true => client.write(&format!(
                    "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n\
                     Idempotency-Key: {id}\r\nContent-Length: 4\r\n\r\n21.5"
                )),
                false => client.write(&get_as(&id, "read", "")),
            }
            let answer = client.answer();
            assert_eq!((answer.status(), String::from_utf8_lossy(&answer.body).as_ref()), (200, id.as_str()));
        }
    }
    // What operators ask is answered too.
    assert_eq!(faulty.figure("proxy_completed{lane=\"read\"}"), 240);
}

/// Danger: a machine that is short of buffers would have its connections end under their requests, or its clients taken for gone.
#[test]
fn a_shortage_of_buffers_under_reads_and_writes_loses_no_request() {
    let rules = "recv:ENOMEM=0.2;recv:ENOBUFS=0.1;send:ENOBUFS=0.2;send:ENOMEM=0.1;poll:EINTR=0.05";
    let faulty = Faulty::start("buffers", rules);
    for connection in 0..20 {
        let mut client = faulty.proxy.client();
        for n in 0..5 {
            let id = format!("b{connection}-{n}");
            client.write(&get_as(&id, "read", "X-Time-Left: 2.0\r\n"));
            let answer = client.answer();
            assert_eq!((answer.status(), String::from_utf8_lossy(&answer.body).as_ref()), (200, id.as_str()));
        }
    }
    assert_eq!(faulty.figure("proxy_violations_total"), 0);
}

/// Danger: the interim answer that asks whether a client is still there would be cut short, and what follows it be no answer.
#[test]
fn a_client_that_has_ended_its_sending_reads_whole_answers() {
    let faulty = Faulty::start("interim", "send:short=0.7;send:EINTR=0.2");
    for n in 0..20 {
        let mut stream = TcpStream::connect(faulty.proxy.addr).expect("connected");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream.write_all(get_as(&format!("half-{n}"), "read", "").as_bytes()).expect("written");
        stream.shutdown(Shutdown::Write).expect("ended");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("read");
        let last = text.replace("HTTP/1.1 100 Continue\r\n\r\n", "");
        assert!(last.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
        assert!(last.ends_with(&format!("half-{n}")), "{text:?}");
    }
}

/// Danger: one accept that fails would be taken for the end of the queue, and the close would reset those behind it.
#[test]
fn each_of_those_who_wait_at_the_door_of_a_process_that_ends_is_answered() {
    let mut faulty = Faulty::start("door", "accept:ECONNABORTED=0.3;accept:EINTR=0.2;accept:EPROTO=0.1");
    faulty.proxy.signal("-TERM");
    faulty.proxy.logged("draining");
    faulty.proxy.halt();
    // Longer than connections are accepted: they are met by the closing of the door.
    std::thread::sleep(Duration::from_millis(700));
    let mut clients: Vec<Peer> = (0..30).map(|_| faulty.proxy.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&get_as(&format!("door-{n}"), "read", ""));
    }
    faulty.proxy.signal("-CONT");
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.read().unwrap_or_else(|| panic!("client {n} got no answer"));
        assert_eq!(answer.status(), 200, "client {n}");
    }
    assert_eq!(faulty.proxy.child.wait().expect("ended").code(), Some(0));
}

/// Danger: a machine that has run out of ports or buffers would have all its nodes counted as failed.
#[test]
fn a_shortage_of_this_machine_says_nothing_of_the_nodes() {
    let rules = ["connect:EADDRNOTAVAIL=1", "connect:ENOBUFS=1", "socket:EMFILE=1", "socket:ENFILE=1"];
    for (number, rule) in rules.into_iter().enumerate() {
        let faulty = Faulty::start(&format!("shortage-{number}"), rule);
        for n in 0..60 {
            let mut client = faulty.proxy.client();
            client.write(&get_as(&format!("short-{n}"), "read", ""));
            assert!(client.answer().status() >= 200);
        }
        assert_eq!(faulty.figure("proxy_members_unavailable"), 0, "{rule}");
        faulty.turn(false);
        let mut client = faulty.proxy.client();
        client.write(&get_as("after", "read", ""));
        assert_eq!(client.answer().status(), 200, "{rule}");
    }
}

/// Danger: a process that is started while the machine is short of descriptors would end, and its front have nobody.
#[test]
fn a_process_that_starts_during_a_shortage_waits_it_out() {
    started_during_a_shortage("start", "socket:ENFILE=1");
}

/// The same before it has read its settings.
#[test]
fn a_process_that_cannot_open_its_settings_yet_waits_for_them() {
    started_during_a_shortage("settings", "open:ENFILE=1");
}

fn started_during_a_shortage(name: &str, rule: &str) {
    println!("seed {SEED}");
    let switch = std::env::temp_dir().join(format!("rushquay-faults-{name}-{}", std::process::id()));
    std::fs::write(&switch, "").expect("written");
    let faults = Faults::new(SEED, rule).while_exists(&switch);
    let discovery = Server::new();
    let mut told = config(discovery.addr, &[member("c1", answering(), "std", "ready")]);
    told["admin_addr"] = json!("127.0.0.1:0");
    let passes = switch.clone();
    let passing = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(600));
        std::fs::remove_file(passes).expect("removed");
    });
    let variables = faults.variables();
    let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let mut proxy = Proxy::with(&told, &variables);
    passing.join().expect("done");
    proxy.yes();
    assert_eq!(proxy.health(), 200);
}

/// Danger: to take in one more client, one that has just come would be sent away before it has asked.
#[test]
fn a_shortage_at_the_door_sends_nobody_away_who_has_just_come() {
    let faulty = Faulty::start("just-come", "accept:EMFILE=0.4;accept:ENFILE=0.2");
    let mut clients: Vec<Peer> = (0..20).map(|_| faulty.proxy.client()).collect();
    std::thread::sleep(Duration::from_millis(300));
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&get_as(&format!("just-come-{n}"), "read", ""));
        let answer = client.read().unwrap_or_else(|| panic!("client {n} got no answer"));
        assert_eq!(answer.status(), 200, "client {n}");
    }
}

/// Danger: the log of a run is bounded, and a line for each failure would leave no room for anything else.
#[test]
fn a_shortage_where_operators_call_takes_few_lines_of_the_log() {
    let mut faulty = Faulty::start("operators-log", "accept:EMFILE=1");
    let _waiting = Peer::to(faulty.operators);
    // Accepting fails and is tried again, some hundred times.
    std::thread::sleep(Duration::from_secs(1));
    faulty.turn(false);
    faulty.proxy.signal("-TERM");
    let mut log = String::new();
    faulty.proxy.log.read_to_string(&mut log).expect("its log");
    let lines = log.lines().filter(|l| l.contains("operators: accept")).count();
    assert!((1..=10).contains(&lines), "{lines} lines");
    std::fs::write(&faulty.switch, "").expect("written");
}

/// Danger: told to read its settings in a moment of shortage, a proxy would go on asking a discovery that nobody tells anything any more.
#[test]
fn settings_that_cannot_be_opened_at_a_reload_are_read_once_they_can() {
    let (first, second) = (Server::new(), Server::new());
    println!("seed {SEED}");
    let switch = std::env::temp_dir().join(format!("rushquay-faults-reload-{}", std::process::id()));
    let faults = Faults::new(SEED, "open:ENFILE=1").while_exists(&switch);
    let servers = [member("c1", answering(), "std", "ready")];
    let variables = faults.variables();
    let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let proxy = Proxy::with(&config(first.addr, &servers), &variables);
    first.take().request();
    std::fs::write(&proxy.file, config(second.addr, &servers).to_string()).expect("written");
    std::fs::write(&switch, "").expect("written");
    proxy.signal("-HUP");
    // Longer than a file takes to be written whole.
    std::thread::sleep(Duration::from_secs(3));
    assert!(second.none_came(), "it can't have read them");
    std::fs::remove_file(&switch).expect("removed");
    second.take().request();
}
