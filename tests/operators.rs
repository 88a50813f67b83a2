//! What operators call, on the real program.

mod rig;

use rig::*;
use serde_json::json;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A call's whole answer.
fn call(addr: SocketAddr, line: &str) -> String {
    let mut peer = Peer::to(addr);
    peer.write(line);
    let mut text = String::new();
    peer.0.read_to_string(&mut text).expect("an answer");
    text
}

/// The rig's proxy with an address for operators, and that address.
fn watched(sockets: u32) -> (Rig, SocketAddr) {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    config["admin_addr"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(sockets);
    let mut proxy = Proxy::new(&config);
    let admin = proxy.yes();
    (Rig { proxy, cache, origin, discovery }, admin)
}

/// A figure of METRICS.
fn figure(addr: SocketAddr, name: &str) -> u64 {
    counted(addr, name).unwrap_or_else(|| panic!("no {name} in METRICS"))
}

/// The same; `None`: nothing was counted under a label yet.
fn counted(addr: SocketAddr, name: &str) -> Option<u64> {
    let text = call(addr, "METRICS\n");
    let line = text.lines().find_map(|l| l.strip_prefix(name))?;
    Some(line.trim().parse().expect("a number"))
}

/// Waits until a figure is as it should be: figures may be a little late.
fn until(addr: SocketAddr, name: &str, value: u64) {
    for _ in 0..1000 {
        if counted(addr, name) == Some(value) {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    panic!("{name} is {} and not {value}", figure(addr, name));
}

#[test]
fn status_says_yes_once_requests_can_be_served() {
    let (r, admin) = watched(256);
    assert_eq!(call(admin, "STATUS\n"), "+OK serving\n");
    drop(r);
    let (node, discovery) = (Server::new(), Server::new());
    let mut config = config(discovery.addr, &[member("c1", node.addr, "std", "draining")]);
    config["admin_addr"] = json!("127.0.0.1:0");
    let mut proxy = Proxy::new(&config);
    let admin = proxy.told("operators at ");
    assert!(call(admin, "STATUS\n").starts_with("-ERR starting"));
    until(admin, "proxy_members ", 1);
    until(admin, "proxy_members_unavailable ", 1);
}

#[test]
fn each_request_and_attempt_is_counted_once_by_its_end() {
    let (r, admin) = watched(256);
    let mut client = r.proxy.client();
    // Served by the second attempt, after a miss.
    client.ask("read", "");
    let (mut node, mut origin);
    {
        node = r.cache.take();
        node.request();
        until(admin, "proxy_pending ", 1);
        node.reply("404 Not Found", "X-Lookup: miss\r\n", "");
        origin = r.origin.take();
        origin.request();
        origin.reply("200 OK", "", "value");
        assert_eq!(client.answer().status(), 200);
    }
    // Refused: turned away unseen.
    client.ask("order", "");
    node.request();
    node.reply("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
    assert_eq!(client.answer().status(), 503);
    // Failed: an unsafe request that may have run.
    client.ask("order", "");
    node.request();
    node.reply("500 Internal Server Error", "", "");
    assert_eq!(client.answer().status(), 502);
    // One that is malformed has failed as well.
    client.ask("read", "X-Time-Left: soon\r\n");
    assert_eq!(client.answer().status(), 400);
    until(admin, "proxy_pending ", 0);
    for (name, value) in [
        ("proxy_completed{lane=\"read\"} ", 1),
        ("proxy_completed{lane=\"order\"} ", 0),
        ("proxy_rejected{lane=\"order\"} ", 1),
        ("proxy_failed{lane=\"order\"} ", 1),
        ("proxy_failed{lane=\"read\"} ", 1),
        ("proxy_upstream_requests ", 4),
        ("proxy_members ", 1),
    ] {
        assert_eq!(figure(admin, name), value, "{name}");
    }
    // A client that leaves has ended its request, and is in no other figure.
    let mut leaving = r.proxy.client();
    leaving.ask("order", "");
    until(admin, "proxy_pending ", 1);
    drop(leaving);
    until(admin, "proxy_pending ", 0);
    assert_eq!(figure(admin, "proxy_failed{lane=\"order\"} "), 1);
}

/// Danger: callers that say nothing, or half a call, hold every place for as long as they stay.
#[test]
fn a_true_call_gets_in_past_callers_that_say_nothing() {
    let (_r, admin) = watched(256);
    let mute: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(admin).expect("connected")).collect();
    let mut half: Vec<Peer> = (0..40).map(|_| Peer::to(admin)).collect();
    half.iter_mut().for_each(|p| p.write("STA"));
    // Places free themselves after 5 s, twelve at a time: without giving way this call would wait for 30 s.
    let mut true_call = Peer::to(admin);
    true_call.0.get_ref().set_read_timeout(Some(std::time::Duration::from_secs(15))).expect("time-out");
    true_call.write("STATUS\n");
    let mut text = String::new();
    true_call.0.read_to_string(&mut text).expect("an answer before the others have gone by themselves");
    assert_eq!(text, "+OK serving\n");
    assert!(call(admin, "METRICS\n").ends_with("\n.\n"));
    drop(mute);
}

/// Danger: clients that hold every place, and requests that nobody answers, must not keep an operator waiting.
#[test]
fn operators_are_answered_while_the_table_of_connections_is_full() {
    let (r, admin) = watched(128);
    let mut held: Vec<Peer> = (0..12).map(|_| r.proxy.client()).collect();
    held.iter_mut().for_each(|c| c.ask("order", ""));
    let _silent: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(r.proxy.addr).expect("connected")).collect();
    until(admin, "proxy_pending ", 12);
    for _ in 0..20 {
        assert_eq!(call(admin, "STATUS\n"), "+OK serving\n");
        assert_eq!(figure(admin, "proxy_pending "), 12);
    }
}

#[test]
fn what_is_no_call_is_told_why_and_closed() {
    let (_r, admin) = watched(256);
    let long = "A".repeat(5000);
    for (line, why) in [
        ("status\n", "unknown call"),
        ("STATUS\nMETRICS\n", "one line to a connection"),
        ("\u{1}\u{2}\n", "not plain text"),
        (long.as_str(), "over 64 bytes"),
    ] {
        let answer = call(admin, line);
        assert!(answer.starts_with("-ERR ") && answer.contains(why), "{line:?}: {answer:?}");
    }
    let mut cut = Peer::to(admin);
    cut.write("STATUS");
    cut.0.get_ref().shutdown(std::net::Shutdown::Write).expect("shut");
    let mut text = String::new();
    cut.0.read_to_string(&mut text).expect("an answer");
    assert_eq!(text, "-ERR the line does not end\n");
}

#[test]
fn an_address_that_cannot_be_used_is_named_at_the_start() {
    let (node, discovery) = (Server::new(), Server::new());
    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let taken = taken.local_addr().expect("an address").to_string();
    for (addr, why) in [(taken.as_str(), "in use"), ("nowhere", "is not an address")] {
        let mut config = config(discovery.addr, &[member("c1", node.addr, "std", "ready")]);
        config["admin_addr"] = json!(addr);
        let (child, file) = start(&config.to_string());
        let out = child.wait_with_output().expect("ended");
        let log = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && log.contains("PROXY_ADMIN_ADDR") && log.contains(why), "{log}");
        std::fs::remove_file(file).expect("removed");
    }
}

/// Every retry, refusal and close has its reason, and no rule is broken by an ordinary day.
#[test]
fn retries_refusals_and_closes_are_counted_by_cause() {
    let (r, admin) = watched(256);
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("404 Not Found", "X-Lookup: miss\r\n", "");
    let mut origin = r.origin.take();
    origin.request();
    origin.reply("200 OK", "", "value");
    assert_eq!(client.answer().status(), 200);
    until(admin, "proxy_retries{after=\"miss\"} ", 1);
    client.ask("order", "");
    node.request();
    drop(node);
    assert_eq!(client.answer().status(), 502);
    until(admin, "proxy_failures{after=\"reset\"} ", 1);
    until(admin, "proxy_node_closes{cause=\"failed\"} ", 1);
    drop(client);
    until(admin, "proxy_client_closes_total ", 1);
    assert_eq!(figure(admin, "proxy_client_closes{cause=\"peer_ended\"} "), 1);
    assert_eq!(figure(admin, "proxy_violations_total "), 0);
}

/// What is turned away before its class is known has its reason too.
#[test]
fn what_is_turned_away_is_counted_by_reason() {
    let (r, admin) = watched(256);
    let framed_twice =
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (request, status, reason) in [
        (get("nobody", ""), 404, "unknown_class"),
        (framed_twice.to_owned(), 400, "bad_framing"),
        ("\u{1}\u{2} nonsense\r\n\r\n".to_owned(), 400, "unparsable"),
    ] {
        let mut client = r.proxy.client();
        client.write(&request);
        assert_eq!(client.answer().status(), status, "{reason}");
        until(admin, &format!("proxy_turned_away{{reason=\"{reason}\"}} "), 1);
    }
    assert_eq!(figure(admin, "proxy_turned_away_total "), 3);
    assert_eq!(figure(admin, "proxy_violations_total "), 0);
}

/// A request can be followed through by its id.
#[test]
fn a_trace_tells_what_became_of_a_request_by_its_id() {
    let (cache, discovery) = (Server::new(), Server::new());
    let told = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    let mut proxy = Proxy::with(&told, &[("PROXY_TRACE", "1")]);
    let mut client = proxy.client();
    client.write(&get_as("followed", "read", ""));
    let mut node = cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(client.answer().status(), 200);
    for part in [
        "read request=followed connection=1 class=read",
        "attempt request=followed number=0",
        "ended request=followed number=0",
        "answered request=followed status=200",
    ] {
        proxy.line_with(part);
    }
    proxy.signal("-TERM");
    proxy.line_with("state draining");
    proxy.line_with("closed connection=1 cause=");
}
