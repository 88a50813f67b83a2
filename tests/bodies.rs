//! Long bodies in both directions, at the pace of whoever reads, and slow peers beside stopped ones, on the real program.

mod rig;

use rig::*;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::io::{Read, Write};
use std::time::Duration;

const MB: usize = 1 << 20;

/// The bytes of a body from one place to another, never the same twice in a row.
fn part(from: usize, to: usize) -> Vec<u8> {
    (from..to).map(|n| (n ^ n >> 8 ^ n >> 16) as u8).collect()
}

fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}

/// The head of the next message, and whatever has been read behind it stays unread.
fn head(peer: &mut Peer) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        peer.0.read_exact(&mut byte).expect("a byte of a head");
        text.push(byte[0]);
    }
    String::from_utf8(text).expect("text").to_lowercase()
}

fn read(peer: &mut Peer, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    peer.0.read_exact(&mut bytes).expect("bytes");
    bytes
}

/// A body in chunks, up to the last, with extensions and a trailer.
fn chunked(peer: &mut Peer) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        std::io::BufRead::read_line(&mut peer.0, &mut line).expect("a line");
        let length =
            usize::from_str_radix(line.trim().split(';').next().expect("a length"), 16).expect("hex");
        body.extend(read(peer, length));
        read(peer, 2);
        if length == 0 {
            return body;
        }
    }
}

/// Most memory that a process has held, in bytes.
fn peak(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().split(' ').next().and_then(|n| n.parse::<usize>().ok()).expect("a number") << 10
}

#[test]
fn a_long_answer_is_passed_on_while_it_comes() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    let whole = part(0, 4 * MB);
    node.write(&format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {}\r\n\r\n", whole.len()));
    node.0.get_mut().write_all(&whole[..1000]).expect("written");
    let told = head(&mut client);
    assert!(told.starts_with("http/1.1 200") && told.contains(&format!("content-length: {}", whole.len())));
    // The first bytes are here while the node still holds the rest.
    assert_eq!(read(&mut client, 1000), &whole[..1000]);
    let writer = std::thread::spawn(move || {
        node.0.get_mut().write_all(&part(1000, 4 * MB)).expect("written");
        node
    });
    let rest = read(&mut client, whole.len() - 1000);
    assert_eq!(digest(&rest), digest(&whole[1000..]));
    // Both connections go on.
    let mut node = writer.join().expect("written");
    client.ask("read", "");
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "next");
    assert_eq!(client.answer().body, b"next");
}

#[test]
fn an_answer_in_chunks_is_passed_on_past_what_is_held() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n");
    let whole = part(0, 300_000);
    for piece in whole.chunks(1000) {
        node.write(&format!("{:x};name=\"value\"\r\n", piece.len()));
        node.0.get_mut().write_all(piece).expect("written");
        node.write("\r\n");
    }
    node.write("0\r\nX-Sum: 1\r\n\r\n");
    assert!(head(&mut client).contains("transfer-encoding: chunked"));
    assert_eq!(digest(&chunked(&mut client)), digest(&whole));
}

/// Danger: an answer of no told length that comes slowly may be a long one, and its first bytes must not wait.
#[test]
fn the_first_bytes_of_a_slow_answer_in_chunks_are_not_held_back() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
    assert!(head(&mut client).starts_with("http/1.1 200"));
    assert_eq!(read(&mut client, 10), b"5\r\nfirst\r\n");
    node.write("4\r\nlast\r\n0\r\n\r\n");
    assert_eq!(chunked(&mut client), b"last");
}

/// Danger: an answer that was cut short must not pass for a whole one, nor the next request go behind it.
#[test]
fn a_long_answer_that_breaks_is_shown_to_be_broken() {
    for framing in ["Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"] {
        let r = rig();
        let mut client = r.proxy.client();
        client.ask("read", "");
        let mut node = r.cache.take();
        node.request();
        node.write(&format!("HTTP/1.1 200 OK\r\n{framing}"));
        node.0.get_mut().write_all(&part(0, 90_000)).expect("written");
        drop(node);
        assert!(head(&mut client).starts_with("http/1.1 200"));
        let mut rest = Vec::new();
        let _ = client.0.read_to_end(&mut rest);
        assert!(
            !rest.is_empty() && rest.len() < 1_000_000 && !rest.ends_with(b"0\r\n\r\n"),
            "{}",
            rest.len()
        );
        assert!(r.origin.none_came(), "an answer of which a byte went out is final");
    }
}

#[test]
fn a_long_body_goes_to_the_node_while_it_comes() {
    for coded in [false, true] {
        let r = rig();
        let mut client = r.proxy.client();
        let whole = part(0, MB);
        let framing =
            if coded { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {MB}") };
        client.write(&format!(
            "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nIdempotency-Key: k\r\n{framing}\r\n\r\n"
        ));
        let write = move |client: &mut Peer, bytes: &[u8]| {
            let head = if coded { format!("{:x};a=b\r\n", bytes.len()) } else { String::new() };
            client.write(&head);
            client.0.get_mut().write_all(bytes).expect("written");
            client.write(if coded { "\r\n" } else { "" });
        };
        write(&mut client, &whole[..100_000]);
        // The node has the beginning while the client still holds the rest.
        let mut origin = r.origin.take();
        let told = head(&mut origin);
        assert!(told.contains(&framing.to_lowercase()), "{told}");
        let (got, first) = match coded {
            false => (read(&mut origin, 65_000), &whole[..65_000]),
            true => (Vec::new(), &whole[..0]),
        };
        assert_eq!(got, first);
        let rest = whole[100_000..].to_vec();
        let writer = std::thread::spawn(move || {
            for piece in rest.chunks(50_000) {
                write(&mut client, piece);
            }
            client.write(if coded { "0\r\nX-Trailer: t\r\n\r\n" } else { "" });
            client
        });
        let got = match coded {
            false => [got, read(&mut origin, MB - 65_000)].concat(),
            true => chunked(&mut origin),
        };
        assert_eq!(digest(&got), digest(&whole));
        origin.reply("200 OK", "", "kept");
        assert_eq!(writer.join().expect("written").answer().body, b"kept");
    }
}

/// Danger: a second attempt would send a body with a hole in it, or have it run twice.
#[test]
fn a_body_that_was_passed_on_is_not_sent_again() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&format!(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nIdempotency-Key: k\r\nContent-Length: {MB}\r\n\r\n"
    ));
    client.0.get_mut().write_all(&part(0, 200_000)).expect("written");
    let mut origin = r.origin.take();
    head(&mut origin);
    read(&mut origin, 150_000);
    drop(origin);
    // It never ran, since its last byte was never written: to try again is harmless.
    assert_eq!(client.answer().status(), 503);
    assert!(r.origin.none_came() && r.cache.none_came());
}

#[test]
fn a_client_that_stops_in_its_body_is_given_up_with_one_answer() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write("PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nIdempotency-Key: k\r\nContent-Length: 200000\r\n\r\n");
    client.0.get_mut().write_all(&part(0, 100_000)).expect("written");
    let mut origin = r.origin.take();
    head(&mut origin);
    assert_eq!(client.answer().status(), 503);
    assert_eq!(client.read(), None);
    // The attempt ended before its last byte, so that it never runs.
    let mut got = Vec::new();
    let _ = origin.0.read_to_end(&mut got);
    assert!(got.len() < 200_000);
}

/// Danger: the time of a long upload is no fixed span; a node that then says nothing would hold its client for good.
#[test]
fn a_client_s_time_runs_from_the_last_byte_of_its_body() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&format!(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nIdempotency-Key: k\r\nX-Time-Left: 0.3\r\n\
         Content-Length: {}\r\n\r\n",
        200_000
    ));
    let mut pieces = part(0, 200_000);
    let last = pieces.split_off(199_000);
    let writer = std::thread::spawn(move || {
        // Longer than the time that the client gives, which has not begun.
        for piece in pieces.chunks(50_000) {
            client.0.get_mut().write_all(piece).expect("written");
            std::thread::sleep(Duration::from_millis(150));
        }
        client
    });
    let mut origin = r.origin.take();
    head(&mut origin);
    let mut client = writer.join().expect("written");
    client.0.get_mut().write_all(&last).expect("written");
    read(&mut origin, 200_000);
    assert_eq!(client.answer().status(), 504);
}

#[test]
fn a_client_may_ask_first_whether_its_body_is_wanted() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nIdempotency-Key: k\r\nExpect: 100-continue\r\n\
         Content-Length: 100000\r\n\r\n",
    );
    assert_eq!(client.read().expect("an interim answer").status(), 100);
    client.0.get_mut().write_all(&part(0, 100_000)).expect("written");
    let mut origin = r.origin.take();
    assert!(!head(&mut origin).contains("expect"));
    assert_eq!(digest(&read(&mut origin, 100_000)), digest(&part(0, 100_000)));
    origin.reply("200 OK", "", "");
    assert_eq!(client.answer().status(), 200);
}

/// Danger: a fixed span for heads and bodies cuts off clients that are slow and well.
#[test]
fn a_client_may_take_two_seconds_for_its_head_and_as_long_for_its_body() {
    let r = rig();
    let mut client = r.proxy.client();
    let text = "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: slow\r\nIdempotency-Key: k\r\nX-Time-Left: 1.5\r\n\
                Content-Length: 8\r\n\r\n12345678";
    for piece in text.as_bytes().chunks(text.len() / 8 + 1) {
        client.0.get_mut().write_all(piece).expect("written");
        std::thread::sleep(Duration::from_millis(280));
    }
    let mut origin = r.origin.take();
    assert_eq!(origin.request().body, b"12345678");
    origin.reply("200 OK", "", "");
    assert_eq!(client.answer().status(), 200);
}

/// Many long answers through readers that stop and go, in less memory than two of them fill.
#[test]
fn many_long_bodies_pass_through_bounded_memory() {
    const LENGTH: usize = 8 * MB;
    const TRANSFERS: usize = 16;
    let r = rig();
    let before = peak(&r.proxy);
    let clients: Vec<_> = (0..TRANSFERS)
        .map(|n| {
            let mut client = r.proxy.client();
            client.write(&get_as(&format!("bulk-{n}"), "read", ""));
            std::thread::spawn(move || {
                let told = head(&mut client);
                assert!(told.starts_with("http/1.1 200"), "{told}");
                let mut hasher = DefaultHasher::new();
                let mut got = 0;
                while got < LENGTH {
                    let mut piece = vec![0; 256 << 10];
                    let n = client.0.read(&mut piece).expect("bytes");
                    assert!(n > 0, "ended at {got}");
                    hasher.write(&piece[..n]);
                    got += n;
                    std::thread::sleep(Duration::from_millis(2));
                }
                hasher.finish()
            })
        })
        .collect();
    let body = std::sync::Arc::new(part(0, LENGTH));
    for _ in 0..TRANSFERS {
        let (mut node, body) = (r.cache.take(), body.clone());
        std::thread::spawn(move || {
            node.request();
            node.write(&format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {LENGTH}\r\n\r\n"));
            let _ = node.0.get_mut().write_all(&body);
            // It stays until the proxy has done with it.
            let _ = node.read();
        });
    }
    let digests: Vec<u64> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    // The client's pieces differ from run to run, so hash in one go what came in many.
    let mut whole = DefaultHasher::new();
    whole.write(&body);
    assert!(digests.iter().all(|d| *d == whole.finish()));
    let held = peak(&r.proxy) - before;
    assert!(held < 2 * LENGTH, "{} MB held beside {}", held / MB, before / MB);
}

/// Danger: a node that answers before it has the whole body has not asked for the rest; its connection can carry nothing more.
#[test]
fn an_answer_in_the_midst_of_a_body_is_passed_on_and_both_connections_end() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&format!(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nIdempotency-Key: k\r\nContent-Length: {MB}\r\n\r\n"
    ));
    client.0.get_mut().write_all(&part(0, 200_000)).expect("written");
    let mut origin = r.origin.take();
    head(&mut origin);
    read(&mut origin, 100_000);
    origin.reply("200 OK", "", "early");
    assert_eq!(client.answer().body, b"early");
    let mut rest = Vec::new();
    let _ = origin.0.read_to_end(&mut rest);
    assert!(rest.len() < MB - 100_000, "nothing more goes out for it");
    assert!(r.origin.none_came());
}

/// A client of HTTP/1.0 knows no chunks: the end of its connection is the end of its answer.
#[test]
fn a_client_of_http_1_0_gets_a_long_answer_up_to_the_close() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write("GET /read/1 HTTP/1.0\r\nX-Correlation-Id: old\r\n\r\n");
    let mut node = r.cache.take();
    assert!(node.request().line.ends_with("HTTP/1.1"));
    node.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let whole = part(0, 200_000);
    node.write(&format!("{:x}\r\n", whole.len()));
    node.0.get_mut().write_all(&whole).expect("written");
    node.write("\r\n0\r\n\r\n");
    let told = head(&mut client);
    assert!(!told.contains("transfer-encoding"), "{told}");
    let mut got = Vec::new();
    client.0.read_to_end(&mut got).expect("the end");
    assert_eq!(digest(&got), digest(&whole));
}

/// Bad clients are owed their error or close within three seconds.
#[test]
fn a_client_that_stops_in_a_body_has_its_answer_within_three_seconds() {
    let r = rig();
    let mut client = r.proxy.client();
    let head = get("set", "Idempotency-Key: stops\r\nContent-Length: 100\r\n").replace("GET", "PUT");
    client.write(&head);
    let stopped = std::time::Instant::now();
    client.write("a part");
    assert_eq!(client.answer().status(), 408);
    assert!(stopped.elapsed() < Duration::from_secs(3), "{:?}", stopped.elapsed());
    assert!(r.cache.none_came() && r.origin.none_came());
}

/// Danger: a node would be told of the hour that a long body may take, and work on for a client that has long stopped waiting.
#[test]
fn a_long_body_goes_on_with_the_time_that_its_client_waits_behind_its_last_byte() {
    let r = rig();
    let mut client = r.proxy.client();
    let body = part(0, 200_000);
    client.write(&format!(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: long\r\nIdempotency-Key: long\r\nX-Time-Left: 5.000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    ));
    client.0.get_mut().write_all(&body).expect("written");
    let mut node = r.origin.take();
    let request = node.request();
    let told: f64 = request.header("x-time-left").and_then(|t| t.parse().ok()).expect("a time");
    assert!(told <= 5.15, "{told} s");
    assert_eq!(digest(&request.body), digest(&body));
    node.reply("200 OK", "", "done");
    assert_eq!(client.answer().status(), 200);
}
