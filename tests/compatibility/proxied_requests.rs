//! Requests and answers as they go over the wire: lines, names and order of headers, bodies.

use crate::golden::assert_same;
use crate::rig::{config, member, Peer, Proxy, Server, LONG};
use std::fmt::Write as _;
use std::io::{BufRead as _, Read as _};

/// Values that differ from run to run.
fn steady(header: &str) -> String {
    let (name, value) = header.split_once(": ").unwrap_or((header, ""));
    let value = match name.to_ascii_lowercase().as_str() {
        "x-time-left" | "retry-after" => "<number>".to_owned(),
        "date" => "<date>".to_owned(),
        _ if value.starts_with("127.0.0.1:") => "<address>".to_owned(),
        _ => value.to_owned(),
    };
    if value.is_empty() {
        name.to_owned()
    } else {
        format!("{name}: {value}")
    }
}

/// How long discovery is to hold a call is drawn.
fn steady_line(line: &str) -> String {
    match line.split_once("hold_ms=").and_then(|(path, rest)| Some((path, rest.split_once(' ')?.1))) {
        Some((path, version)) => format!("{path}hold_ms=<number> {version}"),
        None => line.to_owned(),
    }
}

/// What stood on a connection.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    /// Reads a message as it came and writes it down.
    fn message(&mut self, who: &str, peer: &mut Peer) {
        let _ = writeln!(self.0, "-- {who}");
        let mut length = 0;
        for number in 0.. {
            let mut line = String::new();
            assert!(peer.0.read_line(&mut line).expect("a line") > 0, "{who}: the connection ended");
            let line = line.trim_end();
            let _ = writeln!(self.0, "{}", if number == 0 { steady_line(line) } else { steady(line) });
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().expect("a length");
                }
            }
        }
        let mut body = vec![0; length];
        peer.0.read_exact(&mut body).expect("a body");
        let _ = writeln!(self.0, "{}", String::from_utf8_lossy(&body).trim_end());
    }
}

fn read(id: &str) -> String {
    format!(
        "GET /read/7f3a9c21e0b4d655?by=console HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         X-Time-Left: 30.5\r\nX-Attempt: 1\r\nX-Other: kept\r\nConnection: x-own\r\nX-Own: dropped\r\nTraceparent: 00-1-2-01\r\n\r\n"
    )
}

#[test]
fn requests_and_answers_on_the_wire_are_unchanged() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let proxy = Proxy::new(&config(discovery.addr, &servers));
    let mut seen = Transcript::default();
    let mut client = proxy.client();

    client.write(&read("hit"));
    let mut node = cache.take();
    seen.message("node, of a read", &mut node);
    node.reply(
        "200 OK",
        "X-Lookup: hit\r\nX-Load: 1,2,3\r\nContent-Type: text/plain\r\nX-Own-Answer: kept\r\n",
        "21.5 C",
    );
    seen.message("client, of a hit", &mut client);

    client.write(&read("miss"));
    seen.message("node, of another read", &mut node);
    node.reply("404 Not Found", "X-Lookup: miss\r\n", "");
    let mut fetched = origin.take();
    seen.message("origin, of a miss", &mut fetched);
    fetched.reply("200 OK", "Cache-Control: no-store\r\n", "value");
    seen.message("client, of a miss", &mut client);

    client.write(
        "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: write\r\nX-Account: acme\r\n\
         Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\n20.0",
    );
    seen.message("origin, of a write", &mut fetched);
    fetched.reply("201 Created", "", "done");
    seen.message("client, of a write", &mut client);

    client.write(&read("rejected").replace("/read/", "/order/"));
    seen.message("node, of an order", &mut node);
    node.reply("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
    seen.message("client, of an order that no node takes", &mut client);

    client.write(&read("unknown").replace("/read/", "/nothing/"));
    seen.message("client, of an unknown class", &mut client);

    let mut checker = proxy.client();
    checker.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    seen.message("client, of the health check", &mut checker);

    let mut broken = proxy.client();
    broken.write("NONSENSE\r\n\r\n");
    seen.message("client, of no request", &mut broken);

    let mut old = proxy.client();
    old.write(&read("old").replace("HTTP/1.1", "HTTP/1.0"));
    seen.message("node, of a request by HTTP/1.0", &mut node);
    node.reply("200 OK", "X-Lookup: hit\r\n", "old");
    seen.message("client, of a request by HTTP/1.0", &mut old);

    let mut polled = Peer::new(discovery.taken.recv_timeout(LONG).expect("a call"));
    seen.message("discovery", &mut polled);
    assert_same("proxied_requests.txt", &seen.0);
}
