use super::*;
use crate::proxy::listener::descriptors::Descriptors;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};

/// Danger: an idle connection with unread bytes would return them as the response to the next request. Nothing in this test lets the
/// runtime poll its sockets between the write and the check.
#[tokio::test(flavor = "current_thread")]
async fn received_bytes_are_seen_before_the_runtime_polls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (far, _) = listener.accept().await.expect("accepted");
    far.writable().await.expect("writable");
    let socket = Socket::new(stream, Descriptors::new(1).take().expect("a descriptor"));
    assert!(socket.has_no_input());
    far.try_write(b"surplus").expect("written");
    assert!(!socket.has_no_input());
}

/// Danger: if it counted as unwritten too long, a request that ran would be sent again; if it counted as written too early, one that
/// never ran would fail.
#[tokio::test(flavor = "current_thread")]
async fn a_message_is_written_once_its_last_byte_is_written() {
    const LENGTH: usize = 1 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let near = TcpSocket::new_v4().expect("a socket");
    near.set_send_buffer_size(4096).expect("a small buffer");
    let stream = near.connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (mut far, _) = listener.accept().await.expect("accepted");
    let socket = Socket::new(stream, Descriptors::new(1).take().expect("a descriptor"));
    let (mut sender, connection) = http1::handshake(TokioIo::new(Io(socket.clone()))).await.expect("up");
    let request = Request::put("/a").body(Full::new(Bytes::from(vec![b'x'; LENGTH]))).expect("a request");
    let exchange = async { tokio::join!(connection, sender.send_request(request)) };
    let mut exchange = std::pin::pin!(exchange);
    // The first byte has arrived, but the socket buffers hold only a part of the rest.
    let mut first = [0; 1];
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = far.read_exact(&mut first) => { read.expect("read"); }
    }
    assert!(!socket.is_written());
    let mut rest = vec![0; LENGTH];
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = far.read_exact(&mut rest) => { read.expect("read"); }
    }
    // The body is longer than what was read by the length of the head, so the last byte may not have been written yet.
    let head = "PUT /a HTTP/1.1\r\ncontent-length: 1048576\r\n\r\n".len() - 1;
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = far.read_exact(&mut rest[..head]) => { read.expect("read"); }
    }
    assert!(socket.is_written());
}
