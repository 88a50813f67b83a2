//! The connections under gRPC, on both sides: interrupted and short transfers end no stream.

use rushquay_sockets::{connect, poll_accept, RetryStream};
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Sleep};
use tokio_stream::Stream;
use tonic::codegen::http::Uri;
use tonic::codegen::Service;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Where the system lacks what a connection needs, accepting goes on after this.
const SHORTAGE_WAIT: Duration = Duration::from_millis(10);

/// A subscriber's connection.
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

/// The connections that come to a listener. No error ends it.
pub struct Incoming {
    listener: TcpListener,
    shortage: Option<Pin<Box<Sleep>>>,
}

impl Incoming {
    /// Of this listener.
    pub fn new(listener: TcpListener) -> Self {
        Incoming { listener, shortage: None }
    }
}

impl Stream for Incoming {
    type Item = io::Result<Accepted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(wait) = &mut self.shortage {
                ready!(wait.as_mut().poll(cx));
                self.shortage = None;
            }
            match ready!(poll_accept(&self.listener, cx)) {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    return Poll::Ready(Some(Ok(Accepted(RetryStream::new(stream)))));
                }
                Err(_) => self.shortage = Some(Box::pin(sleep(SHORTAGE_WAIT))),
            }
        }
    }
}

/// Dials one server, whatever the address in a request says.
#[derive(Clone, Copy)]
pub struct Dial(pub SocketAddr);

impl Service<Uri> for Dial {
    type Response = hyper_util::rt::TokioIo<RetryStream<TcpStream>>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let addr = self.0;
        Box::pin(async move {
            let stream = connect(addr).await.map_err(io::Error::from)?;
            let _ = stream.set_nodelay(true);
            Ok(hyper_util::rt::TokioIo::new(RetryStream::new(stream)))
        })
    }
}
