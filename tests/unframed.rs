//! Answers of nodes that end with their connection: whole where that ends well, and never where it is reset.

mod rig;
use rig::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Takes the next request at a node, and gives its connection.
fn requested(r: &Rig) -> TcpStream {
    let mut node = r.cache.take();
    node.request();
    node.0.into_inner()
}

/// Ends a connection by a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
    drop(stream);
}

/// Danger: of the answers with no length that come whole none would be forwarded.
#[test]
fn an_answer_that_ends_with_its_connection_is_forwarded() {
    let r = rig();
    let mut client = r.proxy.client();
    for n in 0..20 {
        let version = if n % 2 == 0 { "HTTP/1.1" } else { "HTTP/1.0" };
        client.ask("order", "");
        let mut node = requested(&r);
        write!(node, "{version} 200 OK\r\nX-Lookup: hit\r\n\r\n").expect("written");
        for piece in ["some of it, ", "and ", "the rest"] {
            node.write_all(piece.as_bytes()).expect("written");
        }
        node.shutdown(Shutdown::Write).expect("ended");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"some of it, and the rest"[..]), "{n}");
    }
}

/// Danger: a part of an answer would pass for the whole; and what may have run would be sent again.
#[test]
fn a_reset_is_no_end_and_repeats_nothing_that_may_have_run() {
    for n in 0..4 {
        // A node that has reset connections is left for a while: each time another.
        let r = rig();
        let mut client = r.proxy.client();
        client.ask("order", "");
        let mut node = requested(&r);
        node.write_all(b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n\r\nsome of it").expect("written");
        if n % 2 == 0 {
            // It has been read.
            std::thread::sleep(Duration::from_millis(30));
        }
        reset(node);
        assert_eq!(client.answer().status(), 502, "{n}");
        assert!(r.cache.none_came() && r.origin.none_came(), "{n}");
    }
}

/// Danger: a client of HTTP/1.0 takes the end of its connection for the end of the answer.
#[test]
fn a_long_answer_that_breaks_off_is_reset_under_a_client_that_could_not_tell() {
    let r = rig();
    let mut client = TcpStream::connect(r.proxy.addr).expect("connected");
    client.set_read_timeout(Some(LONG)).expect("a time-out");
    let request = get("read", "").replace("HTTP/1.1", "HTTP/1.0");
    client.write_all(request.as_bytes()).expect("written");
    let mut node = requested(&r);
    node.write_all(b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n\r\n").expect("written");
    node.write_all(&vec![b'x'; 200_000]).expect("written");
    let mut part = [0; 1000];
    client.read_exact(&mut part).expect("the beginning");
    reset(node);
    let mut rest = Vec::new();
    let ended = client.read_to_end(&mut rest);
    assert_eq!(ended.expect_err("no orderly end").kind(), std::io::ErrorKind::ConnectionReset);
}
