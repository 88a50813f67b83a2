//! Repeats on real connections: what was lawful when it was decided may not be when it is written.

mod rig;
use rig::*;
use serde_json::json;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const WINDOW: Duration = Duration::from_millis(600);

/// Danger: the nodes remember a keyed request for a time alone, and a connection may come up after that.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_written() {
    let (first, discovery) = (Server::new(), Server::new());
    let (second, filler) = full_backlog();
    let addr = second.local_addr().expect("an address");
    let mut told = config(discovery.addr, &[member("c1", first.addr, "std", "ready")]);
    told["settings"]["family_info"]["mode"] = json!("through");
    told["settings"]["categories"][1]["dedup_window_ns"] = json!(WINDOW.as_nanos() as u64);
    let proxy = Proxy::new(&told);
    let mut watch = discovery.take();
    watch.request();
    let mut client = proxy.client();
    let began = Instant::now();
    client.write(
        "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: w1\r\nIdempotency-Key: k\r\n\
         Content-Length: 1\r\n\r\nv",
    );
    let mut node = first.take();
    assert_eq!(node.request().body, b"v");
    let both = [member("c1", first.addr, "std", "ready"), member("c2", addr, "std", "ready")];
    watch.reply("200 OK", "", &list(42, false, &both).to_string());
    watch.request();
    // It may have run, and is sent again to the other one, whose connection does not come up.
    drop(node);
    assert_eq!(proxy.health(), 200);
    std::thread::sleep((began + WINDOW).saturating_duration_since(Instant::now()));
    drop(second.accept().expect("the filler"));
    drop(filler);
    let (stream, _) = second.accept().expect("the repeat's connection");
    assert_eq!(Peer::new(stream).read(), None, "nothing is written that would not be known for a repeat");
    // Nobody knows whether it ran, but the group has forgotten it: a client that repeats it is known no more.
    assert!([502, 503].contains(&client.answer().status()));
}

#[allow(clippy::disallowed_methods, reason = "the list tells when nodes started as Unix times")]
fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}

/// Guards against a change that runs twice because a new process at the address of one that has gone is taken for it: it knows nothing of
/// what its group got before.
#[test]
fn a_repeat_does_not_go_to_a_node_that_began_anew_since() {
    for is_restarted in [false, true] {
        let (first, discovery) = (Server::new(), Server::new());
        let mut told = config(discovery.addr, &[member("c1", first.addr, "std", "ready")]);
        told["settings"]["family_info"]["mode"] = json!("through");
        // It is warm at once.
        told["settings"]["rules"]["cold_ns"] = json!(1_000_000);
        let proxy = Proxy::new(&told);
        let mut watch = discovery.take();
        watch.request();
        let mut client = proxy.client();
        client.write(
            "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: r1\r\nIdempotency-Key: k\r\n\
             Content-Length: 1\r\n\r\nv",
        );
        let mut node = first.take();
        assert_eq!(node.request().body, b"v");
        let second = Server::new();
        let mut entry = member("c2", second.addr, "std", "ready");
        if is_restarted {
            entry["started_ms"] = json!(unix_milliseconds());
        }
        let both = [member("c1", first.addr, "std", "ready"), entry];
        watch.reply("200 OK", "", &list(42, false, &both).to_string());
        watch.request();
        // It may have run.
        drop(node);
        if is_restarted {
            assert!([502, 503].contains(&client.answer().status()));
            assert!(second.none_came(), "nothing is sent that would not be known for a repeat");
        } else {
            let mut second = second.take();
            assert_eq!(second.request().body, b"v", "a node that remembers gets the repeat");
            second.reply("200 OK", "X-Lookup: hit\r\n", "");
            assert_eq!(client.answer().status(), 200);
        }
    }
}
