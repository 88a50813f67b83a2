//! A stream that repeats interrupted calls, and whose short transfers lose no wake-up.

use crate::{classify, ErrorClass};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{sleep, Sleep};

/// A call for which the system has no buffers is repeated after this time, at most this often.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(5);
const MAX_SHORTAGES: u32 = 400;

/// The calls of a non-blocking stream, and the runtime's notification of when they can be made.
pub trait ReadyStream {
    /// Waits until a read may return data.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads once.
    ///
    /// # Errors
    /// As reported by the system, `WouldBlock` included.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Waits until a write may accept data.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Writes once.
    ///
    /// # Errors
    /// As reported by the system, `WouldBlock` included.
    fn try_write(&self, data: &[u8]) -> io::Result<usize>;
    /// Writes several parts once.
    ///
    /// # Errors
    /// As reported by the system, `WouldBlock` included.
    fn try_write_vectored(&self, parts: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Shuts down the write side.
    fn poll_end(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
}

macro_rules! ready_stream {
    ($($stream:ty),+) => {$(
        impl ReadyStream for $stream {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_read_ready(self, cx)
            }
            fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
                <$stream>::try_read(self, buffer)
            }
            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_write_ready(self, cx)
            }
            fn try_write(&self, data: &[u8]) -> io::Result<usize> {
                <$stream>::try_write(self, data)
            }
            fn try_write_vectored(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
                <$stream>::try_write_vectored(self, parts)
            }
            fn poll_end(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                AsyncWrite::poll_shutdown(self, cx)
            }
        }
    )+};
}

ready_stream!(TcpStream, UnixStream);

/// A stream with the runtime's traits for reading and writing.
///
/// The runtime takes a read that returns less than the buffer holds as a sign that there is nothing more, and waits
/// for the next edge; where a read is cut short for another reason that edge never comes. Here only `WouldBlock`
/// means that there is nothing more.
#[derive(Debug)]
pub struct RetryStream<S> {
    stream: S,
    backoff: Option<Pin<Box<Sleep>>>,
    shortages: u32,
}

impl<S> RetryStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        RetryStream { stream, backoff: None, shortages: 0 }
    }

    /// The wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Waits for the end of the backoff after a shortage.
    fn poll_backoff(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(wait) = &mut self.backoff {
            ready!(wait.as_mut().poll(cx));
            self.backoff = None;
        }
        Poll::Ready(())
    }

    /// Handles the error of a call; `None`: repeat the call.
    fn on_error(&mut self, error: io::Error) -> Option<io::Error> {
        if error.kind() == io::ErrorKind::WouldBlock {
            return None;
        }
        match classify(&error) {
            ErrorClass::Repeat => None,
            ErrorClass::Shortage if self.shortages < MAX_SHORTAGES => {
                self.shortages += 1;
                self.backoff = Some(Box::pin(sleep(SHORTAGE_BACKOFF)));
                None
            }
            _ => Some(error),
        }
    }
}

impl<S: ReadyStream> RetryStream<S> {
    fn poll_send(
        &mut self,
        cx: &mut Context<'_>,
        send: impl Fn(&S) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_backoff(cx));
            ready!(self.stream.poll_write_ready(cx))?;
            match send(&self.stream) {
                Ok(n) => {
                    self.shortages = 0;
                    return Poll::Ready(Ok(n));
                }
                Err(e) => {
                    if let Some(e) = self.on_error(e) {
                        return Poll::Ready(Err(e));
                    }
                }
            }
        }
    }
}

impl<S: ReadyStream + Unpin> AsyncRead for RetryStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            ready!(this.poll_backoff(cx));
            ready!(this.stream.poll_read_ready(cx))?;
            match this.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    this.shortages = 0;
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) => {
                    if let Some(e) = this.on_error(e) {
                        return Poll::Ready(Err(e));
                    }
                }
            }
        }
    }
}

impl<S: ReadyStream + Unpin> AsyncWrite for RetryStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |s| s.try_write(data))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |s| s.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_end(cx)
    }
}
