//! The relay on loopback sockets: what its two ends see.

mod commands;
mod datagrams;
mod faults;
mod replays;

use rushquay_fault_relay::{Options, Relay};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long a step may take before the test is given up: far longer than any takes.
const LONG: Duration = Duration::from_secs(60);

async fn within<T>(what: &str, of: impl Future<Output = T>) -> T {
    tokio::time::timeout(LONG, of).await.unwrap_or_else(|_| panic!("it never came that {what}"))
}

/// Reads until the end; the bytes, and whether it ended in order.
async fn rest(stream: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    let read = within("a stream ended", stream.read_to_end(&mut all)).await;
    (all, read.is_ok())
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

async fn connect(addr: SocketAddr) -> TcpStream {
    within("connected", TcpStream::connect(addr)).await.expect("connected")
}

async fn accept(listener: &TcpListener) -> TcpStream {
    within("accepted", listener.accept()).await.expect("accepted").0
}

/// A relay with these rules, and both ends of a connection through it.
async fn pair(rules: &str) -> (Relay, TcpStream, TcpStream) {
    let (target, addr) = listener().await;
    let relay = Relay::between(addr, 7, rules, Options::default()).await.expect("a relay");
    let near = connect(relay.first()).await;
    let far = accept(&target).await;
    (relay, near, far)
}

async fn exchange(from: &mut TcpStream, to: &mut TcpStream, bytes: &[u8]) {
    from.write_all(bytes).await.expect("written");
    let mut got = vec![0; bytes.len()];
    within("bytes passed", to.read_exact(&mut got)).await.expect("read");
    assert_eq!(got, bytes);
}
