//! The end of a process and of a connection: what comes between two lines of it.

mod rig;
use rig::*;
use socket2::{Domain, Socket, Type};
use std::net::TcpStream;

fn id(message: &Message) -> &str {
    message.header("x-correlation-id").expect("an id")
}

/// Danger: a request that has been read behind another one would be dropped with the connection that the first answer ends.
#[test]
fn what_was_read_before_the_drain_is_answered_whole() {
    let mut r = rig();
    let mut client = r.proxy.client();
    client.write(&(get_as("one", "read", "") + &get_as("two", "read", "") + &get_as("three", "read", "")));
    let mut node = r.cache.take();
    assert_eq!(id(&node.request()), "one");
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    for (n, name) in ["one", "two", "three"].into_iter().enumerate() {
        if n > 0 {
            assert_eq!(id(&node.request()), name);
        }
        node.reply("200 OK", "X-Lookup: hit\r\n", name);
        let answer = client.answer();
        assert_eq!((answer.status(), answer.body.as_slice()), (200, name.as_bytes()));
        assert_eq!(answer.header("connection").is_some_and(|c| c == "close"), name == "three", "{name}");
    }
    assert_eq!(client.read(), None);
    assert_eq!(r.proxy.child.wait().expect("ended").code(), Some(0));
}

/// Danger: a close over bytes that were not read resets the connection, and what is still on its way is lost.
#[test]
fn a_last_answer_outlives_bytes_that_nobody_reads() {
    let r = rig();
    // One that takes little at a time, so that most of the answer waits at the proxy's side.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.connect(&r.proxy.addr.into()).expect("connected");
    let mut client = Peer::new(TcpStream::from(socket));
    let behind: String = (0..100).map(|_| get("read", "")).collect();
    client.write(&(get_as("last", "read", "Connection: close\r\n") + &behind));
    let mut node = r.cache.take();
    assert_eq!(id(&node.request()), "last");
    let body = "x".repeat(60_000);
    node.reply("200 OK", "X-Lookup: hit\r\n", &body);
    // The next answers come after this one has been written and its connection ended.
    for _ in 0..5 {
        assert_eq!(r.proxy.health(), 200);
    }
    let answer = client.answer();
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
    assert_eq!(client.read(), None);
}

/// Danger: a connection that was taken from the door, and waits for a place, would be closed by a drain that begins anew.
#[test]
fn a_connection_that_waits_for_a_place_when_the_drain_begins_gets_it() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    // The least that a proxy has: eight descriptors of its budget, half of them for clients.
    small["limits"]["sockets"] = serde_json::json!(8);
    let mut proxy = Proxy::new(&small);
    let mut watch = discovery.take();
    watch.request();
    let mut taken: Vec<(Peer, Peer)> = Vec::new();
    for _ in 0..4 {
        let mut client = proxy.client();
        client.ask("order", "");
        let mut node = cache.take();
        node.request();
        taken.push((client, node));
    }
    let before = descriptors(&proxy);
    let mut waiting = proxy.client();
    waiting.ask("order", "");
    while descriptors(&proxy) <= before {
        std::thread::yield_now();
    }
    proxy.signal("-TERM");
    proxy.logged("draining");
    for (client, node) in &mut taken {
        node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "");
        assert_eq!(client.answer().status(), 200);
    }
    let mut node = cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "waited");
    assert_eq!(waiting.answer().body, b"waited");
    assert_eq!(proxy.child.wait().expect("ended").code(), Some(0));
}

fn descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors").count()
}

/// A process that ends, with a table of connections that is full of requests that hang and of half heads.
struct FullTable {
    proxy: Proxy,
    hung: Vec<(Peer, Peer)>,
    _halves: Vec<Peer>,
    answering: std::thread::JoinHandle<()>,
}

impl FullTable {
    /// It has been told to end.
    fn ending() -> Self {
        let (cache, discovery) = (Server::new(), Server::new());
        let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
        // Eight descriptors, half of them for clients.
        small["limits"]["sockets"] = serde_json::json!(32);
        for class in small["settings"]["categories"].as_array_mut().expect("classes") {
            class["deadline_ns"] = serde_json::json!(2_000_000_000u64);
        }
        let mut proxy = Proxy::new(&small);
        discovery.take().request();
        let mut hung: Vec<(Peer, Peer)> = Vec::new();
        for _ in 0..2 {
            let mut client = proxy.client();
            client.ask("order", "");
            let mut node = cache.take();
            node.request();
            hung.push((client, node));
        }
        let mut halves: Vec<Peer> = (0..2).map(|_| proxy.client()).collect();
        halves.iter_mut().for_each(|half| half.write("GET /read/1 HTTP/1.1\r\nHost:"));
        // They have been read.
        std::thread::sleep(std::time::Duration::from_millis(100));
        proxy.signal("-TERM");
        proxy.logged("draining");
        let answering = std::thread::spawn(move || {
            while let Ok(stream) = cache.taken.recv_timeout(std::time::Duration::from_secs(3)) {
                let mut node = Peer::new(stream);
                std::thread::spawn(move || {
                    while node.read().is_some() {
                        node.reply("200 OK", "X-Lookup: hit\r\n", "");
                    }
                });
            }
        });
        FullTable { proxy, hung, _halves: halves, answering }
    }

    /// All of these clients have an answer, and so have those from before.
    fn answers(mut self, new: Vec<Peer>) {
        for (n, mut client) in new.into_iter().enumerate() {
            let answer = client.read().unwrap_or_else(|| panic!("no answer to client {n}"));
            assert!(answer.status() >= 200, "client {n}");
        }
        for (client, _) in &mut self.hung {
            assert!(client.answer().status() >= 200);
        }
        assert_eq!(self.proxy.child.wait().expect("ended").code(), Some(0));
        self.answering.join().expect("done");
    }
}

/// Danger: with its table full of requests that hang and of halves, a process that ends would close new connections unanswered.
#[test]
fn new_connections_round_a_stop_are_answered_though_the_table_is_full() {
    let table = FullTable::ending();
    let mut new: Vec<Peer> = (0..6).map(|_| table.proxy.client()).collect();
    for client in &mut new {
        client.ask("order", "");
    }
    table.answers(new);
}

/// Danger: one that has just connected would be closed for the next one that does, before its request can come.
#[test]
fn new_connections_round_a_stop_that_ask_a_moment_later_are_answered_too() {
    let table = FullTable::ending();
    let mut new: Vec<Peer> = (0..6).map(|_| table.proxy.client()).collect();
    // Far less than a client may take.
    std::thread::sleep(std::time::Duration::from_millis(50));
    for client in &mut new {
        client.ask("order", "");
    }
    table.answers(new);
}
