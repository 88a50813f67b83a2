use super::*;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Danger: a node that is blamed for the proxy's own shortage is left with all its keys.
#[tokio::test(flavor = "current_thread")]
async fn a_lack_of_descriptors_is_not_the_nodes_fault() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let (none, ledger) = (Descriptors::new(0), RequestMetrics::new(&[]));
    let upstreams = Upstreams::new(none, ledger, Duration::from_secs(30), &Settings::default());
    let entry = Entry { server: 1, ..Entry::default() };
    upstreams.update(true, &[(entry, node.local_addr().ok())]);
    let job = UpstreamRequest {
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::new(),
        body: AttemptBody::Whole(Bytes::new()),
    };
    let ended = upstreams
        .attempt(1, &job, Span::of(Duration::from_secs(30)), &Rc::default(), Importance::Default)
        .await;
    assert_eq!(ended.status, Status::Moot);
}

/// A connection with nothing on its way, and its far end.
async fn pair() -> (Rc<Socket>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (far, _) = listener.accept().await.expect("accepted");
    let socket = Socket::new(stream, Descriptors::new(1).take().expect("a descriptor"));
    (socket, far)
}

/// A message is about to be written on this connection, for an attempt that may be called off.
fn guarded(socket: &Rc<Socket>) -> Rc<Cancellation> {
    let cancellation = Rc::new(Cancellation::default());
    let looks_at = cancellation.clone();
    let facts = move || SendFacts { request: looks_at.request(), deadline: 1, ..SendFacts::default() };
    socket.begin(ANSWER_MOST, Some(FirstByte { facts: Box::new(facts), told_left: 0 }));
    cancellation.on(socket);
    cancellation
}

/// Danger: between the last look and the first byte the request may get its answer. The connection's own task writes.
#[tokio::test(flavor = "current_thread")]
async fn what_is_barred_before_its_first_byte_is_not_written_by_the_task_of_its_connection() {
    let (socket, mut far) = pair().await;
    let (mut sender, driver) = http1::handshake(TokioIo::new(Io(socket.clone()))).await.expect("up");
    let cancellation = guarded(&socket);
    // Handed over, and not written: its connection's task has not run.
    let mut sending = std::pin::pin!(sender.send_request(Request::new(Body::default())));
    assert!(futures_poll(sending.as_mut()).is_none());
    cancellation.answered();
    let mut came = Vec::new();
    let ended = async { tokio::join!(driver, sending) };
    tokio::select! {
        biased;
        read = far.read_buf(&mut came) => { read.expect("read"); }
        (_, sent) = ended => assert!(sent.is_err()),
    }
    assert!(came.is_empty() && !socket.whole(), "{}", String::from_utf8_lossy(&came));
}

#[tokio::test(flavor = "current_thread")]
async fn what_is_barred_behind_its_first_byte_goes_on() {
    let (socket, mut far) = pair().await;
    let (mut sender, driver) = http1::handshake(TokioIo::new(Io(socket.clone()))).await.expect("up");
    let cancellation = guarded(&socket);
    let mut exchange =
        std::pin::pin!(async { tokio::join!(driver, sender.send_request(Request::new(Body::default()))) });
    let mut first = [0; 1];
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = far.read_exact(&mut first) => { read.expect("read"); }
    }
    cancellation.answered();
    assert!(far.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_ok());
    drop(far);
    let (_, sent) = exchange.await;
    assert_eq!(sent.expect("answered").status(), StatusCode::OK);
}

fn futures_poll<F: std::future::Future>(future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    match future.poll(&mut std::task::Context::from_waker(std::task::Waker::noop())) {
        std::task::Poll::Ready(done) => Some(done),
        std::task::Poll::Pending => None,
    }
}
