//! A client that records when its answer began and ended, and whether it came whole.

use crate::rig::{Peer, Proxy, LONG};
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// What a client got.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    /// The status; 0: no answer.
    pub status: u16,
    /// When the first byte came, counted from the last byte of the request.
    pub began: Duration,
    /// When the last byte came, or the connection ended.
    pub ended: Duration,
    pub bytes: usize,
    /// Whether the client can take the body for the whole.
    pub is_whole: bool,
}

/// The request of a class for the answer with this number, which is waited for so long.
pub fn request(method: &str, class: &str, number: usize, wait: Duration, more: &str) -> String {
    static ID: AtomicU32 = AtomicU32::new(0);
    let id = ID.fetch_add(1, Ordering::Relaxed);
    format!(
        "{method} /{class}/{number} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: slow-{id}\r\nX-Account: acme\r\n\
         X-Time-Left: {:.3}\r\n{more}\r\n",
        wait.as_secs_f64()
    )
}

/// Sends a request on a connection of its own, and reads its answer.
pub fn ask(proxy: &Proxy, request: &str, body: &[u8]) -> Received {
    ask_at(Peer::to(proxy.addr), request, body)
}

/// Sends a request, and reads its answer.
pub fn ask_at(mut peer: Peer, request: &str, body: &[u8]) -> Received {
    let stream: &mut TcpStream = peer.0.get_mut();
    stream.write_all(request.as_bytes()).expect("written");
    stream.write_all(body).expect("written");
    let sent = Instant::now();
    let mut received = Received { status: 0, began: LONG, ended: LONG, bytes: 0, is_whole: false };
    while received.status < 200 {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if peer.0.read_line(&mut head).ok().filter(|n| *n > 0).is_none() {
                received.ended = sent.elapsed();
                return received;
            }
            received.began = received.began.min(sent.elapsed());
        }
        received.status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        if received.status >= 200 {
            received.is_whole = read_body(&mut peer, &head.to_lowercase(), &mut received.bytes).is_some();
        }
    }
    received.ended = sent.elapsed();
    received
}

/// Reads a body up to its end and counts its bytes; `None`: the client can tell that it is not whole.
fn read_body(peer: &mut Peer, head: &str, bytes: &mut usize) -> Option<()> {
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    if let Some(length) = length {
        return read_counted(peer, length.trim().parse().ok()?, bytes);
    }
    if !head.contains("transfer-encoding: chunked") {
        let mut part = [0; 4096];
        loop {
            match peer.0.read(&mut part).ok()? {
                0 => return Some(()),
                n => *bytes += n,
            }
        }
    }
    loop {
        let mut line = String::new();
        peer.0.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        read_counted(peer, length, bytes)?;
        peer.0.read_exact(&mut [0; 2]).ok()?;
        if length == 0 {
            return Some(());
        }
    }
}

fn read_counted(peer: &mut Peer, length: usize, bytes: &mut usize) -> Option<()> {
    let mut part = [0; 4096];
    let mut left = length;
    while left > 0 {
        let n = peer.0.read(&mut part[..left.min(4096)]).ok().filter(|n| *n > 0)?;
        (left, *bytes) = (left - n, *bytes + n);
    }
    Some(())
}
