//! Thousands connect and never finish a request, or hold all places with requests that take long, while true clients come on connections
//! of their own, some of them slow.

mod rig;

use rig::*;
use serde_json::json;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a client waits that comes when all places are held, and the half second in which a late answer is not lost.
const TIME_LEFT: Duration = Duration::from_secs(1);
const LATE_ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// More than the proxy of these tests has places.
const HOLDERS: usize = 80;
/// The first is the origin.
const NODES: usize = 2;

/// By what requests half of the places are held; the others are held by slow readers, since the proxy limits how many changes are out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Holder {
    /// Answers in chunks that their clients do not read.
    SlowReader,
    /// Changes at a node that does not answer.
    HangingChange,
    /// Bodies that come slowly.
    SlowUpload,
}

/// A proxy with few places, nodes and an origin, which never end an answer to a holder. Counts the requests of others that reach them.
fn held_proxy() -> (Proxy, Arc<AtomicUsize>, Server) {
    let discovery = Server::new();
    let nodes: Vec<Server> = (0..NODES).map(|_| Server::new()).collect();
    let kind = |n: usize| if n == 0 { "origin" } else { "std" };
    let servers: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(n, node)| member(&format!("n{n}"), node.addr, kind(n), "ready"))
        .collect();
    let mut config = config(discovery.addr, &servers);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 24, "sockets": 192});
    let proxy = Proxy::new(&config);
    let reached = Arc::new(AtomicUsize::new(0));
    for server in nodes {
        let counted = reached.clone();
        std::thread::spawn(move || {
            for stream in server.taken {
                let reached = counted.clone();
                std::thread::spawn(move || answer_as_node(&mut Peer::new(stream), &reached));
            }
        });
    }
    (proxy, reached, discovery)
}

fn answer_as_node(node: &mut Peer, reached: &AtomicUsize) -> Option<()> {
    loop {
        let head = node.read_head()?;
        if !head.id.starts_with("holder") {
            reached.fetch_add(1, Ordering::Relaxed);
            node.reply("200 OK", "X-Lookup: hit\r\n", "served");
        } else if head.path.starts_with("/read") {
            node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nTransfer-Encoding: chunked\r\n\r\n");
            let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
            while node.0.get_mut().write_all(&chunk).is_ok() {}
            return None;
        } else {
            // Until the proxy closes the connection.
            let _ = std::io::copy(&mut node.0, &mut std::io::sink());
            return None;
        }
    }
}

/// Holds all places.
fn hold(proxy: &Proxy, holder: Holder) -> Vec<Peer> {
    let held = (0..HOLDERS).map(|n| {
        let mut client = proxy.client();
        let holder = if n % 2 == 0 { holder } else { Holder::SlowReader };
        let (start, more) = match holder {
            Holder::SlowReader => ("GET /read/1", ""),
            Holder::HangingChange => ("PUT /order/1", "Content-Length: 0\r\n"),
            Holder::SlowUpload => ("PUT /order/1", "Content-Length: 9000000\r\n"),
        };
        client.write(&format!("{start} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: holder-{n}\r\n{more}\r\n"));
        if holder == Holder::SlowUpload {
            client.write(&"x".repeat(1000));
        }
        std::thread::sleep(Duration::from_millis(5));
        client
    });
    let held = held.collect();
    std::thread::sleep(Duration::from_millis(300));
    held
}

/// What a client is told by when its request has been written: the answer, or `None` for a close.
fn told(mut client: Peer, written: Instant) -> Option<Message> {
    let message = client.read();
    assert!(
        written.elapsed() < TIME_LEFT + LATE_ANSWER_TOLERANCE,
        "{message:?} after {:?}",
        written.elapsed()
    );
    message
}

/// Asserts that a request was refused with nothing sent for it.
fn assert_refused(told: Option<&Message>, what: &str) {
    let answer = told.unwrap_or_else(|| panic!("{what}: a close without an answer"));
    assert_eq!(answer.status(), 503, "{what}");
    assert!(answer.header("retry-after").is_some(), "{what}: {answer:?}");
}

/// Guards against clients that are told nothing while all places are held, whoever holds them and whoever comes: one that asks at once,
/// one that writes late, a long change, a burst, and one that has left again.
#[test]
fn whoever_comes_is_told_in_time_whoever_holds_all_places() {
    const BURST: usize = 100;
    let time_left = format!("X-Time-Left: {}\r\n", TIME_LEFT.as_secs());
    for holder in [Holder::SlowReader, Holder::HangingChange, Holder::SlowUpload] {
        let (proxy, reached, _discovery) = held_proxy();
        let holders = hold(&proxy, holder);
        let mut left_again = proxy.client();
        left_again.ask("read", &time_left);
        drop(left_again);
        let mut late = proxy.client();
        let mut client = proxy.client();
        client.ask("read", &time_left);
        assert_refused(told(client, Instant::now()).as_ref(), &format!("{holder:?}"));
        late.ask("read", &time_left);
        assert_refused(told(late, Instant::now()).as_ref(), &format!("{holder:?}: writes late"));
        let mut change = proxy.client();
        change.write(&format!("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: change\r\n{time_left}Content-Length: 100000\r\n\r\n"));
        change.write(&"x".repeat(100_000));
        assert_refused(told(change, Instant::now()).as_ref(), &format!("{holder:?}: a long change"));
        let mut burst: Vec<Peer> = (0..BURST).map(|_| proxy.client()).collect();
        burst.iter_mut().for_each(|client| client.ask("read", &time_left));
        let written = Instant::now();
        for client in burst {
            assert_refused(told(client, written).as_ref(), &format!("{holder:?}: a burst"));
        }
        assert_eq!(reached.load(Ordering::Relaxed), 0, "{holder:?}: nothing is sent for what is refused");
        // The places are free again when their holders have gone.
        drop(holders);
        let start = Instant::now();
        loop {
            let mut client = proxy.client();
            client.ask("read", "");
            if client.answer().status() == 200 {
                break;
            }
            assert!(start.elapsed() < LONG, "{holder:?}: still refused");
        }
    }
}

/// Guards against a client at the door that is told nothing because the process is told to end.
#[test]
fn who_waits_at_the_door_when_the_process_is_told_to_end_is_told_in_time() {
    let (mut proxy, reached, _discovery) = held_proxy();
    let holders = hold(&proxy, Holder::HangingChange);
    let mut burst: Vec<Peer> = (0..10).map(|_| proxy.client()).collect();
    burst.iter_mut().for_each(|client| client.ask("read", "X-Time-Left: 1\r\n"));
    let written = Instant::now();
    proxy.signal("-TERM");
    proxy.logged("draining");
    let mut last = proxy.client();
    last.ask("read", "X-Time-Left: 1\r\n");
    burst.push(last);
    for client in burst {
        assert_refused(told(client, written).as_ref(), "told to end");
    }
    assert_eq!(reached.load(Ordering::Relaxed), 0);
    drop(holders);
}

/// Danger: whoever came first looks oldest; a true client that takes two seconds to write would go before a crowd that never
/// finishes.
#[test]
fn a_slow_client_is_served_among_a_crowd_that_never_finishes() {
    for half in [false, true] {
        let (cache, discovery) = (Server::new(), Server::new());
        let mut config = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
        config["limits"] = json!({"cores": 1.0, "memory_mb": 24, "sockets": 192});
        let proxy = Proxy::new(&config);
        let mut slow = proxy.client();
        let text = get("read", "");
        let mut crowd = Vec::new();
        // Some two seconds in pieces, and a crowd between each two of them that fills the table, or that sends a half each.
        for piece in text.as_bytes().chunks(text.len() / 10 + 1) {
            slow.0.get_mut().write_all(piece).expect("written");
            let many = if half { 20 } else { 100 };
            for _ in 0..many {
                let mut one = TcpStream::connect(proxy.addr).expect("connected");
                if half {
                    one.write_all(b"GET /read/1 HTTP/1.1\r\nHost:").expect("written");
                }
                crowd.push(one);
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        let mut node = cache.take();
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "served");
        assert_eq!(slow.answer().body, b"served", "half {half}");
        // Who comes now is served as well.
        let mut quick = proxy.client();
        quick.ask("read", "");
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "at once");
        assert_eq!(quick.answer().body, b"at once");
    }
}

/// Guards against sound clients that wait for seconds at the door, unanswered, while clients that read long answers slowly hold all places.
#[test]
fn a_client_is_answered_in_time_while_slow_readers_hold_all_places() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut config = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 24, "sockets": 192});
    let proxy = Proxy::new(&config);
    // Each request is answered with far more than the buffers between node and client hold.
    std::thread::spawn(move || {
        for stream in cache.taken {
            std::thread::spawn(move || {
                let mut node = Peer::new(stream);
                while node.read().is_some() {
                    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 20000000\r\n\r\n");
                    node.0.get_mut().write_all(&vec![b'x'; 20_000_000]).ok()?;
                }
                Some(())
            });
        }
    });
    let readers: Vec<Peer> = (0..HOLDERS)
        .map(|_| {
            let mut reader = proxy.client();
            reader.ask("read", "");
            std::thread::sleep(Duration::from_millis(5));
            reader
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let mut client = proxy.client();
    let asked = Instant::now();
    client.ask("read", &format!("X-Time-Left: {}\r\n", TIME_LEFT.as_secs()));
    let mut line = String::new();
    // Served, refused or failed, or shut unread: any of these tells the client in time.
    let _ = client.0.read_line(&mut line);
    assert!(asked.elapsed() < TIME_LEFT + LATE_ANSWER_TOLERANCE, "{line:?} after {:?}", asked.elapsed());
    drop(readers);
}
