//! The real program between clients, nodes and discovery that a test plays by hand on loopback sockets.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::process::Command;

#[test]
fn a_hit_is_passed_on_unchanged_and_its_connection_used_again() {
    let r = rig();
    let mut client = r.proxy.client();
    let more = "X-Time-Left: 30.5\r\nX-Other: kept\r\nConnection: x-own\r\nX-Own: dropped\r\n";
    client.write(&get_as("9b1f03aa", "read", more));
    let mut node = r.cache.take();
    let asked = node.request();
    assert_eq!(asked.line, "GET /read/7f3a9c21e0b4d655 HTTP/1.1");
    assert_eq!(asked.header("x-correlation-id"), Some("9b1f03aa"));
    assert_eq!((asked.header("x-other"), asked.header("x-own")), (Some("kept"), None));
    let left: f64 = asked.header("x-time-left").expect("told").parse().expect("a number");
    assert!(left > 0.0 && left < 30.5, "{left}");
    node.reply("200 OK", "X-Lookup: hit\r\n", "21.5 C");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"21.5 C".as_slice()));
    client.ask("read", "");
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(client.answer().status(), 200);
    assert!(r.origin.none_came());
}

#[test]
fn a_miss_is_answered_by_the_origin() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("404 Not Found", "X-Lookup: miss\r\n", "");
    let mut origin = r.origin.take();
    assert_eq!(origin.request().line, "GET /read/7f3a9c21e0b4d655 HTTP/1.1");
    origin.reply("200 OK", "", "value");
    assert_eq!(client.answer().body, b"value");
}

#[test]
fn a_write_goes_to_the_origin_with_its_body_and_key() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(
        "PUT /set/7f3a9c21e0b4d655?by=console HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n\
         Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\n20.0",
    );
    let mut origin = r.origin.take();
    let asked = origin.request();
    assert_eq!(asked.line, "PUT /set/7f3a9c21e0b4d655?by=console HTTP/1.1");
    assert_eq!((asked.header("idempotency-key"), asked.body.as_slice()), (Some("k1"), b"20.0".as_slice()));
    origin.reply("200 OK", "", "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn what_is_turned_away_unseen_is_refused_at_once() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("order", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
    assert_eq!(client.answer().status(), 503);
}

#[test]
fn a_full_table_of_connections_is_no_connection_and_the_next_node_is_asked() {
    // Danger: taken for a full queue it ends the request, though other nodes have room.
    let (one, two, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", one.addr, "std", "ready"), member("c2", two.addr, "std", "ready")];
    let proxy = Proxy::new(&config(discovery.addr, &servers));
    let mut client = proxy.client();
    client.ask("order", "");
    let (first, other) = loop {
        match (one.taken.try_recv(), two.taken.try_recv()) {
            (Ok(stream), _) => break (stream, &two),
            (_, Ok(stream)) => break (stream, &one),
            _ => std::thread::yield_now(),
        }
    };
    let mut full = Peer::new(first);
    full.request();
    full.reply("503 Service Unavailable", "X-Unprocessed: 1\r\nConnection: close\r\n", "");
    let mut node = other.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "21.5 C");
    assert_eq!(client.answer().body, b"21.5 C");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_refused() {
    for close_early in [true, false] {
        let r = rig();
        let mut client = r.proxy.client();
        client.ask("order", "");
        let mut node = r.cache.take();
        node.request();
        if !close_early {
            node.reply("503 Service Unavailable", "", "");
        }
        drop(node);
        assert_eq!(client.answer().status(), 502);
    }
}

#[test]
fn an_unsafe_request_that_found_no_connection_is_refused() {
    let (cache, discovery) = (TcpListener::bind("127.0.0.1:0").expect("bound"), Server::new());
    let addr = cache.local_addr().expect("an address");
    drop(cache);
    let proxy = Proxy::new(&config(discovery.addr, &[member("c1", addr, "std", "ready")]));
    let mut client = proxy.client();
    client.ask("order", "");
    assert_eq!(client.answer().status(), 503);
}

#[test]
fn half_an_answer_of_a_node_never_reaches_the_client() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("order", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123");
    drop(node);
    assert_eq!(client.answer().status(), 502);
}

#[test]
fn an_idle_connection_that_ended_is_not_written_to() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("order", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "");
    assert_eq!(client.answer().status(), 200);
    drop(node);
    client.ask("order", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    for pipelined in ["", "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"] {
        let r = rig();
        let mut client = r.proxy.client();
        client.write(&(get("read", "") + pipelined));
        let mut node = r.cache.take();
        node.request();
        drop(client);
        assert_eq!(node.read(), None);
        assert!(r.origin.none_came());
    }
}

#[test]
fn a_client_that_ended_its_sending_still_gets_its_answer() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    client.0.get_mut().shutdown(Shutdown::Write).expect("half closed");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(client.answer().body, b"value");
}

#[test]
fn pipelined_requests_are_answered_in_turn() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&(get("read", "") + &get("read", "")));
    let mut node = r.cache.take();
    for body in ["one", "two"] {
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", body);
        assert_eq!(client.answer().body, body.as_bytes());
    }
}

#[test]
fn silence_ends_with_an_answer_in_time_and_a_closed_connection() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("order", "X-Time-Left: 0.3\r\n");
    let mut node = r.cache.take();
    node.request();
    assert_eq!(client.answer().status(), 502);
    assert_eq!(node.read(), None);
}

#[test]
fn a_drain_closes_idle_connections_and_the_watch_goes_on() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    client.answer();
    let mut watch = r.discovery.take();
    assert!(watch.request().line.starts_with("GET /catalog/members?from=41&hold_ms="));
    let drained = list(42, false, &[member("c1", r.cache.addr, "std", "draining")]);
    watch.reply("200 OK", "", &drained.to_string());
    assert!(watch.request().line.starts_with("GET /catalog/members?from=42&hold_ms="));
    assert_eq!(node.read(), None);
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
}

#[test]
fn a_new_address_is_used_and_the_old_one_left() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    client.answer();
    let moved = Server::new();
    let mut watch = r.discovery.take();
    watch.request();
    watch.reply("200 OK", "", &list(42, false, &[member("c1", moved.addr, "std", "ready")]).to_string());
    assert_eq!(node.read(), None);
    client.ask("read", "");
    let mut node = moved.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "moved");
    assert_eq!(client.answer().body, b"moved");
}

#[test]
fn nothing_is_written_to_a_node_that_drains_while_its_connection_comes_up() {
    // A full backlog holds the connection back until the drain has been told.
    let (listener, filler) = full_backlog();
    let addr = listener.local_addr().expect("an address");
    let discovery = Server::new();
    let proxy = Proxy::new(&config(discovery.addr, &[member("c1", addr, "std", "ready")]));
    let mut client = proxy.client();
    let mut watch = discovery.take();
    watch.request();
    client.ask("order", "");
    // The next health answer comes after the attempt has begun.
    assert_eq!(proxy.health(), 200);
    watch.reply("200 OK", "", &list(42, false, &[member("c1", addr, "std", "draining")]).to_string());
    watch.request();
    drop(listener.accept().expect("the filler"));
    drop(filler);
    let (stream, _) = listener.accept().expect("the attempt's connection");
    assert_eq!(Peer::new(stream).read(), None);
    assert_eq!(client.answer().status(), 503);
}

#[test]
fn a_failed_discovery_keeps_the_old_list_and_is_asked_again() {
    let r = rig();
    let mut watch = r.discovery.take();
    watch.request();
    watch.reply("503 Service Unavailable", "", "");
    let mut again = r.discovery.take();
    assert!(again.request().line.contains("from=41"));
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_list_that_breaks_off_or_is_no_sequel_leaves_the_old_one_standing() {
    let r = rig();
    let mut client = r.proxy.client();
    let mut node = None;
    let mut serves = |what: &str| {
        client.ask("read", "");
        let node: &mut Peer = node.get_or_insert_with(|| r.cache.take());
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        assert_eq!(client.answer().status(), 200, "{what}");
    };
    // Cut off in the middle of an entry, and what is no list: a failed call each, after which the whole list is asked for.
    let gone = list(42, true, &[]).to_string();
    for (what, text, asked) in [
        (
            "cut off",
            r#"{"version":42,"full":true,"servers":[{"id":"c1","#,
            "GET /catalog/members?from=41&hold_ms=",
        ),
        ("garbage", "\u{1}]}{", "GET /catalog/members HTTP"),
    ] {
        let mut watch = r.discovery.take();
        let call = watch.request();
        assert!(call.line.starts_with(asked), "{what}: {}", call.line);
        watch.reply("200 OK", "Connection: close\r\n", text);
        serves(what);
    }
    // Emptied, and older: the whole list is asked for at once, on a connection of its own, and a good one goes on.
    let mut watch = r.discovery.take();
    assert_eq!(watch.request().line, "GET /catalog/members HTTP/1.1");
    watch.reply("200 OK", "", &gone);
    let mut emptied = watch;
    let mut watch = r.discovery.take();
    assert!(!watch.request().line.contains("from="), "the whole list");
    assert_eq!(emptied.read(), None, "nothing more is asked where it came from");
    serves("emptied");
    let whole = [member("c1", r.cache.addr, "std", "ready"), member("o1", r.origin.addr, "origin", "ready")];
    watch.reply("200 OK", "", &list(43, true, &whole).to_string());
    assert!(watch.request().line.contains("from=43"));
    watch.reply("200 OK", "", &list(40, true, &[member("x", r.origin.addr, "std", "ready")]).to_string());
    assert_eq!(watch.read(), None, "nothing more is asked where it came from");
    assert!(!r.discovery.take().request().line.contains("from="), "the whole list");
    serves("older");
}

#[test]
fn a_list_of_version_0_is_watched_from_there() {
    let discovery = Server::new();
    let mut first = config(discovery.addr, &[]);
    first["known"]["version"] = json!(0);
    let _proxy = Proxy::new(&first);
    assert!(discovery.take().request().line.contains("?from=0&hold_ms="));
}

#[test]
fn a_watch_whose_kept_connection_ended_goes_on_at_once() {
    let mut r = rig();
    let mut watch = r.discovery.take();
    watch.request();
    watch.reply("200 OK", "Connection: close\r\n", &list(42, false, &[]).to_string());
    drop(watch);
    let mut again = r.discovery.take();
    assert!(again.request().line.contains("from=42"));
    // Had it counted as a failure, the log would say so, and the module would have waited.
    r.proxy.signal("-TERM");
    assert_eq!(r.proxy.logged("draining"), 0);
}

/// A proxy whose file names another discovery from now on, not told of it yet.
fn moving(r: &Rig) -> Server {
    let next = Server::new();
    let text = config(next.addr, &[]).to_string();
    std::fs::write(&r.proxy.file, text).expect("written");
    next
}

#[test]
fn a_new_discovery_is_asked_at_once_and_the_old_one_left() {
    let mut r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    let mut watch = r.discovery.take();
    watch.request();
    let (next, fresh) = (moving(&r), Server::new());
    r.proxy.signal("-HUP");
    let mut list_call = next.take();
    assert_eq!(list_call.request().line, "GET /catalog/members HTTP/1.1");
    assert_eq!(watch.read(), None);
    // What it has is kept until the new list has come: the request, its connection, the nodes.
    node.reply("200 OK", "X-Lookup: hit\r\n", "kept");
    assert_eq!(client.answer().body, b"kept");
    assert_eq!(r.proxy.health(), 200);
    list_call.reply("200 OK", "", &list(7, true, &[member("c9", fresh.addr, "std", "ready")]).to_string());
    assert!(list_call.request().line.starts_with("GET /catalog/members?from=7&hold_ms="));
    client.ask("read", "");
    let mut node = fresh.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "fresh");
    assert_eq!(client.answer().body, b"fresh");
    // Another one, and the same twice: each time the whole list is asked for, and in a drain it does no harm.
    let third = moving(&r);
    r.proxy.signal("-HUP");
    third.take().request();
    r.proxy.signal("-HUP");
    assert_eq!(third.take().request().line, "GET /catalog/members HTTP/1.1");
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    r.proxy.signal("-HUP");
    drop(client);
    assert_eq!(r.proxy.child.wait().expect("ended").code(), Some(0));
    assert!(r.discovery.none_came());
}

#[test]
fn a_new_discovery_that_fails_is_asked_again_there_and_not_at_the_old_one() {
    let r = rig();
    r.discovery.take().request();
    let next = moving(&r);
    r.proxy.signal("-HUP");
    for _ in 0..4 {
        let mut call = next.take();
        assert_eq!(call.request().line, "GET /catalog/members HTTP/1.1");
        call.reply("503 Service Unavailable", "", "");
    }
    assert!(r.discovery.none_came());
    assert_eq!(r.proxy.health(), 200);
}

#[test]
fn a_file_that_cannot_be_read_changes_nothing() {
    let mut r = rig();
    let mut watch = r.discovery.take();
    watch.request();
    std::fs::write(&r.proxy.file, "{").expect("written");
    r.proxy.signal("-HUP");
    assert_eq!(r.proxy.logged("the settings stay as they are"), 0);
    watch.reply("200 OK", "", &list(42, false, &[]).to_string());
    assert!(watch.request().line.contains("from=42"));
}

#[test]
fn health_waits_for_a_node_that_takes_work() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut unknown = config(discovery.addr, &[]);
    unknown.as_object_mut().expect("an object").remove("known");
    let proxy = Proxy::new(&unknown);
    assert_eq!(proxy.health(), 503);
    let mut watch = discovery.take();
    assert_eq!(watch.request().line, "GET /catalog/members HTTP/1.1");
    watch.reply("200 OK", "", &list(1, true, &[member("c1", cache.addr, "std", "ready")]).to_string());
    watch.request();
    assert_eq!(proxy.health(), 200);
}

#[test]
fn sigterm_answers_what_is_taken_and_what_still_comes() {
    let mut r = rig();
    let (mut early, mut idle) = (r.proxy.client(), r.proxy.client());
    idle.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(idle.answer().status(), 200);
    early.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    // While it is stopped it takes no connection: this one is taken after the signal, or not at all.
    r.proxy.signal("-STOP");
    let mut late = r.proxy.client();
    late.ask("read", "");
    r.proxy.signal("-TERM");
    r.proxy.signal("-CONT");
    r.proxy.logged("draining");
    let mut other = r.cache.take();
    other.request();
    // The idle connection has ended, so nothing but the two requests is waited for.
    assert_eq!(idle.read(), None);
    for (node, client) in [(&mut node, &mut early), (&mut other, &mut late)] {
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert_eq!(r.proxy.child.wait().expect("ended").code(), Some(0));
}

#[test]
fn bad_requests_get_one_clear_answer_and_the_process_stays_up() {
    let r = rig();
    let put = |class: &str, more: &str| {
        format!("PUT /{class}/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n{more}\r\n")
    };
    let cases = [
        (get("nosuch", ""), 404),
        ("GET / HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n\r\n".to_owned(), 404),
        (get("read", "X-Time-Left: soon\r\n"), 400),
        (get("read", "X-Time-Left: -1\r\n"), 400),
        (get("read", "X-Time-Left: NaN\r\n"), 400),
        (get("read", "X-Time-Left: \r\n"), 400),
        ("GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(), 400),
        ("DELETE /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n\r\n".to_owned(), 405),
        (put("set", "Content-Length: 0\r\n"), 400),
        ("nonsense\r\n\r\n".to_owned(), 400),
        (get("read", "X-Time-Left: 1\r\nX-Time-Left: 2\r\n"), 400),
        (get("read", "X-Correlation-Id: another\r\n"), 400),
        (get_as("", "read", ""), 400),
        (get_as("two words", "read", ""), 400),
        (get_as(&"9".repeat(129), "read", ""), 400),
        (get("/read", ""), 404),
        (get("read/1#part", ""), 400),
        (put("order", "Content-Length: -1\r\n"), 400),
        (put("order", "Content-Length: 99999999999999999999\r\n"), 400),
        (get("read", &format!("X-Long: {}\r\n", "x".repeat(20 << 10))), 431),
    ];
    for (text, status) in cases {
        let mut client = r.proxy.client();
        client.write(&text);
        let answer = client.answer();
        assert_eq!(answer.status(), status, "{:?}", text.chars().take(90).collect::<String>());
        assert_eq!((answer.header("connection"), client.read()), (Some("close"), None));
    }
    assert_eq!(r.proxy.health(), 200);
    assert!(r.cache.none_came() && r.origin.none_came());
}

#[test]
fn a_body_that_stalls_is_given_up() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(
        "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nX-Time-Left: 0.2\r\n\
         Content-Length: 9\r\n\r\nhalf",
    );
    assert_eq!(client.answer().status(), 408);
}

#[test]
fn a_length_that_may_hide_another_request_is_refused() {
    let r = rig();
    let put = |id: &str, lengths: &str| {
        format!("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n{lengths}\r\n")
    };
    let hidden = "0\r\n\r\n".to_owned() + &get("order", "");
    for lengths in [
        "Content-Length: 99\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 99\r\n",
        "transfer-encoding: chunked\r\nX-Between: 1\r\ncontent-length: 99\r\n",
        "Content-Length: 5\r\nContent-Length: 99\r\n",
        "Transfer-Encoding: gzip\r\n",
    ] {
        let mut client = r.proxy.client();
        client.write(&(put("hides-1", lengths) + &hidden));
        assert_eq!(client.answer().status(), 400, "{lengths}");
        assert_eq!(client.read(), None);
        // The same behind a request that is well.
        let mut client = r.proxy.client();
        client.write(
            &("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".to_owned() + &put("hides-2", lengths) + &hidden),
        );
        assert_eq!(client.answer().status(), 200);
        assert_eq!(client.answer().status(), 400, "{lengths}");
        assert_eq!(client.read(), None);
    }
    assert!(r.cache.none_came() && r.origin.none_came());
}

#[test]
fn a_body_goes_on_with_framing_of_our_own() {
    let r = rig();
    for (id, framing, body) in [
        ("1", "Transfer-Encoding: chunked\r\n", "2\r\n20\r\n2\r\n.0\r\n0\r\n\r\n"),
        ("2", "Content-Length: 4\r\nContent-Length: 4\r\n", "20.0"),
    ] {
        let mut client = r.proxy.client();
        let head = format!("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n");
        client.write(&format!("{head}{framing}\r\n{body}"));
        let mut node = r.origin.take();
        let asked = node.request();
        let framed: Vec<_> =
            asked.headers.iter().filter(|(n, _)| n.contains("length") || n.contains("encod")).collect();
        assert_eq!(framed, [&("content-length".to_owned(), "4".to_owned())]);
        assert_eq!(asked.body, b"20.0");
        // It is not kept: on a connection that is just closing an order may be lost, and nothing may send it again.
        node.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\nTrailer: x-a\r\n\r\n3\r\nyes\r\n0\r\nX-A: 1\r\n\r\n");
        let answer = client.answer();
        assert_eq!((answer.body.as_slice(), answer.header("content-length")), (b"yes".as_slice(), Some("3")));
        assert_eq!((answer.header("transfer-encoding"), answer.header("trailer")), (None, None));
        drop(node);
    }
}

#[test]
fn an_id_that_is_open_belongs_to_the_first_who_brought_it() {
    let r = rig();
    let mut first = r.proxy.client();
    first.write(&get_as("taken", "read", ""));
    let mut node = r.cache.take();
    node.request();
    let mut second = r.proxy.client();
    second.write(&get_as("taken", "read", ""));
    assert_eq!(second.answer().status(), 409);
    assert_eq!(second.read(), None);
    node.reply("200 OK", "X-Lookup: hit\r\n", "for the first");
    assert_eq!(first.answer().body, b"for the first");
    // Answered or left behind, it is free again.
    let mut third = r.proxy.client();
    third.write(&get_as("taken", "read", ""));
    node.request();
    drop(third);
    assert_eq!(node.read(), None);
    first.write(&get_as("taken", "read", ""));
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "again");
    assert_eq!(first.answer().body, b"again");
}

#[test]
fn clients_that_never_finish_asking_are_closed_and_idle_ones_kept() {
    let r = rig();
    let mut good = r.proxy.client();
    good.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(good.answer().status(), 200);
    let mut bad: Vec<Peer> = (0..4).map(|_| r.proxy.client()).collect();
    bad[1].write("GET /read/1 HTTP/1.1\r\nX-Corr");
    bad[2].write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\nGET /read/1 HT");
    assert_eq!(bad[2].answer().status(), 200);
    bad[3].write("PUT /order/1 HTTP/1.1\r\nX-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nhalf");
    assert_eq!(bad[3].answer().status(), 408);
    bad.iter_mut().for_each(|client| assert_eq!(client.read(), None));
    good.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(good.answer().status(), 200);
}

#[test]
fn a_flood_of_silent_connections_leaves_those_that_ask_alone() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    small["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&small);
    let mut good = proxy.client();
    good.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(good.answer().status(), 200);
    let mut silent: Vec<Peer> = (0..40).map(|_| proxy.client()).collect();
    for client in &mut silent[..30] {
        assert_eq!(client.read(), None);
    }
    good.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(good.answer().status(), 200);
}

#[test]
fn a_spoilt_answer_may_have_run_and_ends_its_connection() {
    let endless = |text: &str| text.repeat((200 << 10) / text.len());
    let cases = [
        "\x01\x02 noise that is no answer\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nbroken header\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned() + &endless("X-More: x\r\n"),
        "HTTP/1.1 200 OK\r\nX-Long: ".to_owned() + &endless("x"),
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nvalue".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nvalue".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\na body of no known length".to_owned(),
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n".to_owned(),
        endless("HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    for text in cases {
        let r = rig();
        let mut client = r.proxy.client();
        client.ask("order", "");
        let mut node = r.cache.take();
        node.request();
        // The proxy may close before it has all.
        let _ = node.0.get_mut().write_all(text.as_bytes());
        assert_eq!(client.answer().status(), 502, "{:?}", text.chars().take(60).collect::<String>());
        assert_eq!(node.read(), None);
    }
}

#[test]
fn what_follows_an_answer_never_answers_the_next_request() {
    let r = rig();
    let mut client = r.proxy.client();
    let answer = |body: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    let mut behind = vec![answer("copy"), "noise".to_owned(), "\r\n".to_owned(), answer("late copy")];
    for n in 0..4 {
        client.ask("read", "");
        let mut node = r.cache.take();
        node.request();
        let surplus = behind.pop().expect("one");
        if n > 0 {
            node.write(&(answer("good") + &surplus));
            assert_eq!(client.answer().body, b"good");
        } else {
            // It comes while the connection is kept, before or after the next request has been thought of.
            node.write(&answer("good"));
            assert_eq!(client.answer().body, b"good");
            node.write(&surplus);
        }
        assert_eq!(node.read(), None);
    }
}

#[test]
fn interim_answers_ahead_are_passed_over() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(client.answer().body, b"value");
}

#[test]
fn a_bad_configuration_is_named_in_one_line() {
    let addr = Server::new().addr;
    let broken = |path: &[&str], value: Value| {
        let mut config = config(addr, &[]);
        *path.iter().fold(&mut config, |at, name| &mut at[*name]) = value;
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "not JSON"),
        (broken(&["listen"], json!(null)), "PROXY_LISTEN"),
        (broken(&["discovery"], json!("nowhere")), "PROXY_DISCOVERY"),
        (broken(&["settings"], json!(null)), "settings"),
        (broken(&["settings", "categories"], json!([])), "settings.categories"),
        (broken(&["settings", "categories"], json!([{"deadline_ns": 1}])), "settings.categories.0.name"),
        (broken(&["settings", "categories"], json!([{"name": "a"}])), "categories.0.deadline_ns"),
        (broken(&["settings", "caps", "attempts_cap"], json!("many")), "caps.attempts_cap"),
        (broken(&["settings", "caps", "attempts_cap"], json!(-1)), "caps.attempts_cap"),
        (broken(&["settings", "caps", "connect_timeout_ns"], json!(-1)), "settings.caps.connect_timeout_ns"),
        (broken(&["settings", "rules", "drain_grace_ns"], json!("soon")), "settings.rules.drain_grace_ns"),
        (broken(&["settings", "rules", "cold_ns"], json!(-1)), "rules.cold_ns"),
        (broken(&["settings", "rules", "fall_multiple"], json!(-3.0)), "rules.fall_multiple"),
        (broken(&["settings", "over_share_worth"], json!("NaN")), "over_share_worth"),
        (broken(&["settings", "deductions"], json!({"handshake": "inf"})), "deductions.handshake"),
        (
            broken(&["settings", "customers"], json!([{"name": "acme", "quota_rps": -1}])),
            "customers.0.quota_rps",
        ),
        (
            broken(&["settings", "categories"], json!([{"name": "a", "effect": "safe", "deadline_ns": -1}])),
            "categories.0.deadline_ns",
        ),
        (
            broken(&["settings", "categories"], json!([{"name": "a", "deadline_ns": 1_000_000}])),
            "settings.categories.0.effect",
        ),
        (broken(&["known"], json!({"servers": 3})), "known"),
        (broken(&["limits", "sockets"], json!("all")), "limits.sockets"),
    ];
    for (text, named) in cases {
        let (child, file) = start(&text);
        let ended = child.wait_with_output().expect("ended");
        let _ = std::fs::remove_file(file);
        let log = String::from_utf8(ended.stderr).expect("text");
        assert!(log.contains(named) && log.lines().count() == 1, "{named}: {log:?}");
        assert_eq!(ended.status.code(), Some(1));
    }
    let unset = Command::new(env!("CARGO_BIN_EXE_rushquay")).env_clear().output().expect("run");
    assert!(!unset.status.success() && String::from_utf8_lossy(&unset.stderr).contains("PROXY_CONFIG"));
}

#[test]
fn idle_clients_yield_their_descriptors_and_waiting_ones_keep_theirs() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    small["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&small);
    let mut waiting = proxy.client();
    waiting.ask("read", "");
    let mut node = cache.take();
    node.request();
    let mut idle: Vec<Peer> = (0..40).map(|_| proxy.client()).collect();
    let last = idle.last_mut().expect("one");
    last.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(last.answer().status(), 200);
    assert_eq!(idle[0].read(), None);
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(waiting.answer().body, b"value");
}

#[test]
fn connections_that_clients_keep_make_room_before_all_places_are_taken() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    // Eight places for clients: from the fifth on the longest idle one goes.
    small["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&small);
    let health = |client: &mut Peer| {
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().status(), 200);
    };
    let mut kept: Vec<Peer> = (0..6).map(|_| proxy.client()).collect();
    kept.iter_mut().for_each(health);
    let mut newest = proxy.client();
    (0..3).for_each(|_| health(&mut newest));
    // Danger: on a busy machine the word of its end may come after those answers.
    assert_eq!(kept[0].0.get_mut().read(&mut [0]).expect("closed"), 0);
}

#[test]
fn many_attempts_do_not_keep_clients_out() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    // 32 for sockets: of these 16 for clients, but 11 waiting ones take 11 more for their attempts.
    small["limits"]["sockets"] = json!(56);
    let proxy = Proxy::new(&small);
    let mut clients: Vec<Peer> = (0..11).map(|_| proxy.client()).collect();
    let mut nodes: Vec<Peer> = Vec::new();
    for client in &mut clients {
        client.ask("read", "");
        nodes.push(cache.take());
    }
    let mut more: Vec<Peer> = (0..5).map(|_| proxy.client()).collect();
    for client in &mut more {
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().status(), 200);
    }
    for (node, client) in nodes.iter_mut().zip(&mut clients) {
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        assert_eq!(client.answer().status(), 200);
    }
}

#[test]
fn a_client_that_stalls_in_its_head_yields_its_descriptor() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut small = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    small["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&small);
    let mut stalled: Vec<Peer> = (0..12).map(|_| proxy.client()).collect();
    stalled.iter_mut().for_each(|client| client.write("GET /_hea"));
    assert_eq!(proxy.health(), 200);
}
