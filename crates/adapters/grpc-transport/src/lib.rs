//! The connections under gRPC, on both sides: an interrupted call or a short transfer ends no stream. Messages and
//! services are not its subject; it is a crate of its own because the etcd client needs it as well as xDS does.
#![forbid(unsafe_code)]

use hyper_util::rt::TokioIo;
use rushquay_sockets::{connect, poll_accept, RetryStream};
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{lookup_host, TcpListener, TcpStream};
use tokio::time::{sleep, Sleep};
use tokio_stream::Stream;
use tonic::codegen::http::Uri;
use tonic::codegen::Service;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Where the system lacks resources for a connection, accepting continues after this time.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(10);

/// An accepted connection.
pub struct Accepted(RetryStream<TcpStream>);

impl Connected for Accepted {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        let stream = self.0.get_ref();
        TcpConnectInfo { local_addr: stream.local_addr().ok(), remote_addr: stream.peer_addr().ok() }
    }
}

impl AsyncRead for Accepted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Accepted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, from)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, from)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// The stream of incoming connections of a listener. No error ends it.
pub struct Incoming {
    listener: TcpListener,
    backoff: Option<Pin<Box<Sleep>>>,
}

impl Incoming {
    /// Accepts the connections of this listener.
    pub fn new(listener: TcpListener) -> Self {
        Incoming { listener, backoff: None }
    }
}

impl Stream for Incoming {
    type Item = io::Result<Accepted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(wait) = &mut self.backoff {
                ready!(wait.as_mut().poll(cx));
                self.backoff = None;
            }
            match ready!(poll_accept(&self.listener, cx)) {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    return Poll::Ready(Some(Ok(Accepted(RetryStream::new(stream)))));
                }
                Err(_) => self.backoff = Some(Box::pin(sleep(SHORTAGE_BACKOFF))),
            }
        }
    }
}

/// A client's connection.
type ClientConnection = TokioIo<RetryStream<TcpStream>>;
type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<ClientConnection>> + Send>>;

/// Connects to one server, whatever the address in a request is.
#[derive(Clone, Copy, Debug)]
pub struct Dial(pub SocketAddr);

impl Service<Uri> for Dial {
    type Response = ClientConnection;
    type Error = io::Error;
    type Future = ConnectFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> ConnectFuture {
        Box::pin(connect_client(self.0))
    }
}

/// Connects to the server that a request's address names; a host name is resolved for each connection.
#[derive(Clone, Copy, Debug)]
pub struct DialNamed;

impl Service<Uri> for DialNamed {
    type Response = ClientConnection;
    type Error = io::Error;
    type Future = ConnectFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> ConnectFuture {
        Box::pin(async move {
            let host = uri.host().ok_or_else(|| invalid_uri(&uri))?;
            let port = uri.port_u16().or_else(|| default_port(&uri)).ok_or_else(|| invalid_uri(&uri))?;
            // An IPv6 address is in brackets in a URI.
            let host = host.trim_start_matches('[').trim_end_matches(']');
            let mut last_error = io::Error::new(io::ErrorKind::NotFound, format!("{host}: no address"));
            for addr in lookup_host((host, port)).await? {
                match connect_client(addr).await {
                    Ok(connection) => return Ok(connection),
                    Err(e) => last_error = e,
                }
            }
            Err(last_error)
        })
    }
}

fn invalid_uri(uri: &Uri) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidInput,
        format!("{uri}: expected a host, as in http://127.0.0.1:2379"),
    )
}

fn default_port(uri: &Uri) -> Option<u16> {
    match uri.scheme_str()? {
        "https" => Some(443),
        "http" => Some(80),
        _ => None,
    }
}

async fn connect_client(addr: SocketAddr) -> io::Result<ClientConnection> {
    let stream = connect(addr).await.map_err(io::Error::from)?;
    let _ = stream.set_nodelay(true);
    Ok(TokioIo::new(RetryStream::new(stream)))
}
