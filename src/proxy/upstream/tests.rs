use super::*;
use crate::proxy::http::headers::CorrelationId;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Danger: if a shortage of descriptors in the proxy counted against the node, the node would be avoided and lose all its keys.
#[tokio::test(flavor = "current_thread")]
async fn a_lack_of_descriptors_does_not_count_against_the_node() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let (none, metrics) = (Descriptors::new(0), RequestMetrics::new(&[]));
    let upstreams = Upstreams::new(none, metrics, Duration::from_secs(30), &Settings::default());
    let entry = Entry { server: 1, ..Entry::default() };
    upstreams.update(true, &[(entry, node.local_addr().ok())]);
    let upstream_request = UpstreamRequest {
        correlation_id: CorrelationId::parse(&HeaderValue::from_static("id-1")).expect("an id"),
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::new(),
        body: AttemptBody::Buffered(Bytes::new()),
    };
    let ended = upstreams
        .attempt(
            1,
            &upstream_request,
            AttemptLimits::with_total(Duration::from_secs(30)),
            &Rc::default(),
            RoutePriority::Default,
        )
        .await;
    assert_eq!(ended.status, Status::Moot);
}

/// Returns a connection with no bytes in flight, and its far end.
async fn pair() -> (Rc<Socket>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (far, _) = listener.accept().await.expect("accepted");
    let socket = Socket::new(stream, Descriptors::new(1).take().expect("a descriptor"));
    (socket, far)
}

/// Begins a message on this connection for an attempt that can be cancelled through the returned handle.
fn begin_with_handle(socket: &Rc<Socket>) -> Rc<AttemptHandle> {
    let handle = Rc::new(AttemptHandle::default());
    let task_handle = handle.clone();
    let facts =
        move || SendFacts { request: task_handle.request_state(), deadline: 1, ..SendFacts::default() };
    socket.begin_message(MAX_HEAD_BYTES, Some(FirstByte { facts: Box::new(facts), time_left: 0 }));
    handle.set_socket(socket);
    handle
}

/// Danger: the request may be answered after the attempt was handed to hyper and before its first byte is written by the connection's
/// task. The first-byte check has to deny the attempt then.
#[tokio::test(flavor = "current_thread")]
async fn an_attempt_cancelled_before_its_first_byte_is_not_written_by_its_connection_task() {
    let (socket, mut far) = pair().await;
    let (mut sender, driver) = http1::handshake(TokioIo::new(Io(socket.clone()))).await.expect("up");
    let handle = begin_with_handle(&socket);
    // Handed to hyper but not written: the connection's task has not run yet.
    let mut sending = std::pin::pin!(sender.send_request(Request::new(Body::default())));
    assert!(poll_once(sending.as_mut()).is_none());
    handle.mark_answered();
    let mut received = Vec::new();
    let ended = async { tokio::join!(driver, sending) };
    tokio::select! {
        biased;
        read = far.read_buf(&mut received) => { read.expect("read"); }
        (_, sent) = ended => assert!(sent.is_err()),
    }
    assert!(received.is_empty() && !socket.is_written(), "{}", String::from_utf8_lossy(&received));
}

/// Once its first byte is written, an attempt goes on even if the request is answered elsewhere.
#[tokio::test(flavor = "current_thread")]
async fn an_attempt_cancelled_after_its_first_byte_goes_on() {
    let (socket, mut far) = pair().await;
    let (mut sender, driver) = http1::handshake(TokioIo::new(Io(socket.clone()))).await.expect("up");
    let handle = begin_with_handle(&socket);
    let mut exchange =
        std::pin::pin!(async { tokio::join!(driver, sender.send_request(Request::new(Body::default()))) });
    let mut first = [0; 1];
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = far.read_exact(&mut first) => { read.expect("read"); }
    }
    handle.mark_answered();
    assert!(far.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_ok());
    drop(far);
    let (_, sent) = exchange.await;
    assert_eq!(sent.expect("answered").status(), StatusCode::OK);
}

fn poll_once<F: std::future::Future>(future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    match future.poll(&mut std::task::Context::from_waker(std::task::Waker::noop())) {
        std::task::Poll::Ready(done) => Some(done),
        std::task::Poll::Pending => None,
    }
}
