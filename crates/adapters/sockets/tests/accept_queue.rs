//! Connections that are queued at a listener.

use rushquay_sockets::accept_queued;
use std::io::Write;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Danger: a listener that is closed resets the connections in its queue. Nothing here lets the runtime poll its
/// sockets between connecting and accepting.
#[tokio::test(flavor = "current_thread")]
async fn queued_connections_are_accepted_before_the_runtime_is_notified_of_them() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    assert!(accept_queued(&listener, 9).streams.is_empty());
    let mut clients: Vec<_> =
        (0..3).map(|_| std::net::TcpStream::connect(addr).expect("connected")).collect();
    clients.iter_mut().for_each(|c| c.write_all(b"ask").expect("written"));
    let mut accepted = accept_queued(&listener, 9).streams;
    drop(listener);
    assert_eq!(accepted.len(), clients.len());
    for stream in &mut accepted {
        let mut received = [0; 3];
        stream.read_exact(&mut received).await.expect("read");
        assert_eq!(&received, b"ask");
    }
}
