//! Requests that stand behind others on their connection: their time runs from when they came, not from when their turn comes.

mod rig;
use rig::*;
use serde_json::json;
use std::time::{Duration, Instant};

fn id(message: &Message) -> &str {
    message.header("x-correlation-id").expect("an id")
}

fn time_left(message: &Message) -> f64 {
    message.header("x-time-left").and_then(|t| t.parse().ok()).expect("a time")
}

/// A proxy with one node whose classes give this time.
fn rig_within(deadline: Duration) -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut told = config(discovery.addr, &servers);
    for class in told["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(deadline.as_nanos() as u64);
        class["promise_ns"] = json!(deadline.as_nanos() as u64);
    }
    Rig { proxy: Proxy::new(&told), cache, origin, discovery }
}

/// Danger: the node would work on for a client that has long stopped waiting.
#[test]
fn a_request_behind_another_is_sent_on_with_the_time_that_its_client_has_left() {
    const HELD: Duration = Duration::from_millis(700);
    let r = rig();
    let mut client = r.proxy.client();
    let told = "X-Time-Left: 5.000\r\n";
    client.write(&(get_as("one", "read", told) + &get_as("two", "read", told)));
    let asked = Instant::now();
    let mut node = r.cache.take();
    assert_eq!(id(&node.request()), "one");
    std::thread::sleep(HELD);
    node.reply("200 OK", "X-Lookup: hit\r\n", "one");
    let behind = node.request();
    assert_eq!(id(&behind), "two");
    let left = 5.0 - asked.elapsed().as_secs_f64();
    assert!(time_left(&behind) <= left + 0.15, "{} of {left} s", time_left(&behind));
    node.reply("200 OK", "X-Lookup: hit\r\n", "two");
    assert_eq!((client.answer().body, client.answer().body), (b"one".to_vec(), b"two".to_vec()));
}

/// Danger: each hung request would have its whole time after the one before it, and the process ends meanwhile.
#[test]
fn what_stands_behind_a_hung_request_is_answered_before_the_process_ends() {
    let mut r = rig_within(Duration::from_secs(1));
    let mut client = r.proxy.client();
    let all: String = (0..5).map(|n| get_as(&format!("n{n}"), "order", "X-Time-Left: 1.000\r\n")).collect();
    client.write(&all);
    let mut node = r.cache.take();
    assert_eq!(id(&node.request()), "n0");
    r.proxy.signal("-TERM");
    for n in 0..5 {
        let answer = client.read().unwrap_or_else(|| panic!("no answer to request {n}"));
        assert!(answer.status() >= 400, "{n}: {}", answer.status());
    }
    assert_eq!(client.read(), None);
    assert_eq!(r.proxy.child.wait().expect("ended").code(), Some(0));
}

/// Danger: a client that sends on and on would hold its connection up to the end of the process, and what was read last would be
/// dropped unanswered.
#[test]
fn a_client_that_sends_on_during_a_drain_gets_a_last_answer() {
    let mut r = rig_within(Duration::from_secs(2));
    let mut client = r.proxy.client();
    client.write(&get_as("n0", "read", ""));
    let mut node = r.cache.take();
    assert_eq!(id(&node.request()), "n0");
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    let mut closing = false;
    let mut answered = 0;
    // What comes now has not been read when the drain begins.
    for n in 1..40 {
        client.write(&get_as(&format!("n{n}"), "read", ""));
    }
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    std::thread::spawn(move || {
        while node.read().is_some() {
            node.reply("200 OK", "X-Lookup: hit\r\n", "");
        }
    });
    while let Some(answer) = client.read() {
        assert!(!closing, "an answer behind the one that says close");
        answered += 1;
        closing = answer.header("connection").is_some_and(|c| c == "close");
    }
    assert!(closing, "the connection ended behind {answered} answers and none said so");
    assert_eq!(r.proxy.child.wait().expect("ended").code(), Some(0));
}

/// Danger: a request whose first half has been read would be dropped by the drain while its client still writes the rest.
#[test]
fn a_request_whose_first_half_came_before_the_drain_is_answered() {
    let mut r = rig_within(Duration::from_secs(2));
    let mut client = r.proxy.client();
    let request = get_as("halved", "read", "");
    let (first, rest) = request.split_at(40);
    client.write(first);
    // The next answers come after the half has been read.
    (0..3).for_each(|_| assert_eq!(r.proxy.health(), 200));
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    // Longer than connections are still accepted.
    std::thread::sleep(Duration::from_millis(800));
    client.write(rest);
    let mut node = r.cache.take();
    assert_eq!(id(&node.request()), "halved");
    node.reply("200 OK", "X-Lookup: hit\r\n", "whole");
    assert_eq!(client.answer().body, b"whole");
    assert_eq!(r.proxy.child.wait().expect("ended").code(), Some(0));
}

/// A node that answers every second request and hangs with the others.
fn half_hanging() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("an address");
    let turn = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let turn = turn.clone();
            std::thread::spawn(move || {
                let mut node = Peer::new(stream);
                while node.read().is_some() {
                    if turn.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 2 == 1 {
                        node.reply("200 OK", "X-Lookup: hit\r\n", "");
                    }
                }
            });
        }
    });
    addr
}

/// Danger: half of the attempts hang, many clients have sent several requests at once, and the table of connections has little room:
/// what stands behind a hung request would be dropped with the process.
#[test]
fn many_clients_with_requests_behind_hung_ones_are_all_answered_at_a_stop() {
    const CLIENTS: usize = 30;
    const REQUESTS: usize = 5;
    for sockets in [102, 1024] {
        let discovery = Server::new();
        let servers =
            [member("c1", half_hanging(), "std", "ready"), member("c2", half_hanging(), "std", "ready")];
        let mut told = config(discovery.addr, &servers);
        told["limits"]["sockets"] = json!(sockets);
        for class in told["settings"]["categories"].as_array_mut().expect("classes") {
            class["deadline_ns"] = json!(1_000_000_000u64);
        }
        let mut proxy = Proxy::new(&told);
        let mut clients: Vec<Peer> = (0..CLIENTS).map(|_| proxy.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let class = if n % 2 == 0 { "order" } else { "read" };
            let ask = |r| get_as(&format!("many-{n}-{r}"), class, "X-Time-Left: 1.000\r\n");
            // In two pieces, so that the second is still to be read when the first is in work.
            let first: String = (0..2).map(ask).collect();
            let rest: String = (2..REQUESTS).map(ask).collect();
            client.write(&first);
            client.write(&rest);
        }
        std::thread::sleep(Duration::from_millis(150));
        proxy.signal("-TERM");
        for (n, client) in clients.iter_mut().enumerate() {
            for r in 0..REQUESTS {
                let answer = client.read();
                assert!(answer.is_some(), "{sockets} sockets: client {n} has no answer to request {r}");
            }
        }
        assert_eq!(proxy.child.wait().expect("ended").code(), Some(0));
    }
}

/// Danger: a process that was stopped, or had no processor, would take what came meanwhile for new.
#[test]
fn a_request_that_came_while_the_process_stood_still_has_only_the_time_that_is_left() {
    const STOOD: Duration = Duration::from_millis(700);
    for kept in [true, false] {
        let r = rig();
        let mut client = r.proxy.client();
        if kept {
            client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
            assert_eq!(client.answer().status(), 200);
        }
        r.proxy.halt();
        if !kept {
            client = r.proxy.client();
        }
        client.write(&get_as("stood", "read", "X-Time-Left: 5.000\r\n"));
        let asked = Instant::now();
        std::thread::sleep(STOOD);
        r.proxy.signal("-CONT");
        let mut node = r.cache.take();
        let request = node.request();
        let left = 5.0 - asked.elapsed().as_secs_f64();
        assert!(time_left(&request) <= left + 0.15, "kept {kept}: {} of {left} s", time_left(&request));
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        assert_eq!(client.answer().status(), 200);
    }
}

/// Guards against requests that one client sends at once and that are read too late: their time counts from when the proxy reads them, and
/// not from when they were written.
#[test]
fn requests_that_are_sent_at_once_are_answered_in_their_time() {
    const REQUESTS: usize = 200;
    /// What a client waits, and the half second in which a late answer is not lost.
    const LATEST: Duration = Duration::from_millis(1500);
    let Rig { proxy, cache, .. } = rig_within(Duration::from_secs(1));
    std::thread::spawn(move || {
        for stream in cache.taken {
            let mut node = Peer::new(stream);
            std::thread::spawn(move || {
                while node.read().is_some() {
                    std::thread::sleep(Duration::from_millis(50));
                    node.reply("200 OK", "X-Lookup: hit\r\n", "");
                }
            });
        }
    });
    let mut client = proxy.client();
    let request = |n: usize| get_as(&format!("n{n}"), "read", "X-Time-Left: 1.000\r\n");
    client.write(&(0..REQUESTS).map(request).collect::<String>());
    let sent = std::time::Instant::now();
    let late = (0..REQUESTS).filter(|_| client.read().is_none() || sent.elapsed() > LATEST).count();
    assert_eq!(late, 0, "of {REQUESTS} requests, the last after {:?}", sent.elapsed());
}
