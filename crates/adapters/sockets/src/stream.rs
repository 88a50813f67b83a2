//! A stream whose calls are made again when a signal interrupts them, and whose short transfers lose no wake-up.

use crate::{classify, ErrorClass};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{sleep, Sleep};

/// A call for which the system has no buffers is made again after this, so often at most.
const SHORTAGE_WAIT: Duration = Duration::from_millis(5);
const SHORTAGES_MOST: u32 = 400;

/// The calls of a stream that does not block, and the runtime's word on when they can be made.
pub trait ReadyStream {
    /// Waits until a read may bring something.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads once.
    ///
    /// # Errors
    /// As the system says, `WouldBlock` included.
    fn try_read(&self, to: &mut [u8]) -> io::Result<usize>;
    /// Waits until a write may move something.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Writes once.
    ///
    /// # Errors
    /// As the system says, `WouldBlock` included.
    fn try_write(&self, from: &[u8]) -> io::Result<usize>;
    /// Writes several parts once.
    ///
    /// # Errors
    /// As the system says, `WouldBlock` included.
    fn try_write_vectored(&self, from: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Ends the sending.
    fn poll_end(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
}

macro_rules! ready_stream {
    ($($stream:ty),+) => {$(
        impl ReadyStream for $stream {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_read_ready(self, cx)
            }
            fn try_read(&self, to: &mut [u8]) -> io::Result<usize> {
                <$stream>::try_read(self, to)
            }
            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$stream>::poll_write_ready(self, cx)
            }
            fn try_write(&self, from: &[u8]) -> io::Result<usize> {
                <$stream>::try_write(self, from)
            }
            fn try_write_vectored(&self, from: &[IoSlice<'_>]) -> io::Result<usize> {
                <$stream>::try_write_vectored(self, from)
            }
            fn poll_end(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                AsyncWrite::poll_shutdown(self, cx)
            }
        }
    )+};
}

ready_stream!(TcpStream, UnixStream);

/// A stream for whoever reads and writes through the runtime's traits.
///
/// The runtime takes a read that brings less than was asked for as the sign that nothing more is there, and waits for the next
/// edge; where a read is cut short for another reason that edge never comes. Here only `WouldBlock` says that nothing is there.
#[derive(Debug)]
pub struct RetryStream<S> {
    stream: S,
    shortage: Option<Pin<Box<Sleep>>>,
    shortages: u32,
}

impl<S> RetryStream<S> {
    /// Around this stream.
    pub fn new(stream: S) -> Self {
        RetryStream { stream, shortage: None, shortages: 0 }
    }

    /// The stream itself.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Waits for the end of a shortage that was met just now.
    fn poll_shortage(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(wait) = &mut self.shortage {
            ready!(wait.as_mut().poll(cx));
            self.shortage = None;
        }
        Poll::Ready(())
    }

    /// What to do about a failed call: `None`: make it again.
    fn failed(&mut self, error: io::Error) -> Option<io::Error> {
        if error.kind() == io::ErrorKind::WouldBlock {
            return None;
        }
        match classify(&error) {
            ErrorClass::Repeat => None,
            ErrorClass::Shortage if self.shortages < SHORTAGES_MOST => {
                self.shortages += 1;
                self.shortage = Some(Box::pin(sleep(SHORTAGE_WAIT)));
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
            ready!(self.poll_shortage(cx));
            ready!(self.stream.poll_write_ready(cx))?;
            match send(&self.stream) {
                Ok(n) => {
                    self.shortages = 0;
                    return Poll::Ready(Ok(n));
                }
                Err(e) => {
                    if let Some(e) = self.failed(e) {
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
        let me = &mut *self;
        loop {
            ready!(me.poll_shortage(cx));
            ready!(me.stream.poll_read_ready(cx))?;
            match me.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    me.shortages = 0;
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) => {
                    if let Some(e) = me.failed(e) {
                        return Poll::Ready(Err(e));
                    }
                }
            }
        }
    }
}

impl<S: ReadyStream + Unpin> AsyncWrite for RetryStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |s| s.try_write(from))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |s| s.try_write_vectored(from))
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
