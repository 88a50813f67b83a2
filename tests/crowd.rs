//! Thousands connect and never finish a request, while true clients come on connections of their own, some of them slow.

mod rig;

use rig::*;
use serde_json::json;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

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
    /// What its client waits, and the half second in which a late answer is not lost.
    const TIME_LEFT: Duration = Duration::from_secs(1);
    const GRACE: Duration = Duration::from_millis(500);
    const READERS: usize = 80;
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
    let readers: Vec<Peer> = (0..READERS)
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
    assert!(asked.elapsed() < TIME_LEFT + GRACE, "{line:?} after {:?}", asked.elapsed());
    drop(readers);
}
