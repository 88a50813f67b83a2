//! What waits at a listener.

use rushquay_sockets::accept_queued;
use std::io::Write;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Danger: a listener that is closed resets what waits at it. Nothing here lets the runtime look at its sockets between the
/// connecting and the question.
#[tokio::test(flavor = "current_thread")]
async fn what_waits_at_the_door_is_taken_before_the_runtime_has_heard_of_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    assert!(accept_queued(&listener, 9).streams.is_empty());
    let mut clients: Vec<_> =
        (0..3).map(|_| std::net::TcpStream::connect(addr).expect("connected")).collect();
    clients.iter_mut().for_each(|c| c.write_all(b"ask").expect("written"));
    let mut taken = accept_queued(&listener, 9).streams;
    drop(listener);
    assert_eq!(taken.len(), clients.len());
    for stream in &mut taken {
        let mut asked = [0; 3];
        stream.read_exact(&mut asked).await.expect("read");
        assert_eq!(&asked, b"ask");
    }
}
