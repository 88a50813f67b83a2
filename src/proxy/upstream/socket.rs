//! A TCP stream beneath hyper that tracks what has been written and whether the peer has closed. It also retries calls that a signal
//! interrupted or for which the system was short of buffers.

use crate::proxy::listener::descriptors::Permit;
use crate::proxy::upstream::request_progress::RequestProgress;
use rushquay_admin::RequestMetrics;
use rushquay_invariants::{check_sent, may_send, SendDenied, SendFacts, SentAttempt, Violation};
use rushquay_sockets::{classify, ErrorClass};
use rustix::net::RecvFlags;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// Delay before retrying a call that failed for lack of system buffers, and the maximum number of consecutive retries.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_SHORTAGES: u32 = 400;
/// The size of a receive buffer if the system does not tell it.
const DEFAULT_RECEIVE_BUFFER: usize = 128 << 10;
/// The interim response that probes whether a client is still connected.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The check that runs when the first byte of an attempt is about to be written.
pub struct FirstByte {
    /// Collects the facts at that moment.
    pub facts: Box<dyn Fn() -> SendFacts>,
    /// The time left that is announced to the node, in nanoseconds.
    pub time_left: u64,
}

/// A stream that is shared by hyper, which reads and writes it through [`Io`], and by the code that watches its state.
pub struct Socket {
    stream: TcpStream,
    /// How much of the message was written.
    progress: RefCell<Rc<RequestProgress>>,
    /// The kernel accepts no more bytes, so hyper still buffers some.
    stalled: Cell<bool>,
    /// How many more bytes may be read.
    read_limit: Cell<usize>,
    /// When bytes were last read or written.
    last_activity: Cell<Instant>,
    /// When the first byte of the response was read; `None`: none was.
    response_started: Cell<Option<Instant>>,
    /// When bytes of the current message's response were last read.
    last_response_byte: Cell<Option<Instant>>,
    /// When the message was written completely.
    written_at: Cell<Option<Instant>>,
    /// Since when no message is outstanding on a connection that is kept; `None`: one is.
    resting_since: Cell<Option<Instant>>,
    /// How long after the last response bytes were read while no message was outstanding.
    unsolicited: Cell<Option<Duration>>,
    /// The check that is due before the next byte is written.
    first_byte: RefCell<Option<FirstByte>>,
    /// Why the last message was denied.
    denied: Cell<Option<SendDenied>>,
    /// The unwritten rest of an interim response.
    interim: Cell<&'static [u8]>,
    /// The delay after a call that failed for lack of buffers, and the number of such failures in a row.
    shortage: RefCell<Option<Pin<Box<Sleep>>>>,
    shortages: Cell<u32>,
    /// Counts completely written attempts; `None` on connections that carry no attempts.
    metrics: Option<Arc<RequestMetrics>>,
    _permit: Permit,
}

impl Socket {
    pub fn new(stream: TcpStream, permit: Permit) -> Rc<Self> {
        Self::build(stream, permit, None)
    }

    /// Creates a socket whose messages are counted as attempts.
    pub fn with_metrics(stream: TcpStream, permit: Permit, metrics: Arc<RequestMetrics>) -> Rc<Self> {
        Self::build(stream, permit, Some(metrics))
    }

    fn build(stream: TcpStream, permit: Permit, metrics: Option<Arc<RequestMetrics>>) -> Rc<Self> {
        // With Nagle's algorithm a small message would wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            progress: RefCell::new(Rc::new(RequestProgress::of_whole_message())),
            stalled: Cell::new(false),
            read_limit: Cell::new(usize::MAX),
            last_activity: Cell::new(Instant::now()),
            response_started: Cell::new(None),
            last_response_byte: Cell::new(None),
            written_at: Cell::new(None),
            resting_since: Cell::new(None),
            unsolicited: Cell::new(None),
            first_byte: RefCell::new(None),
            denied: Cell::new(None),
            interim: Cell::new(&[]),
            shortage: RefCell::new(None),
            shortages: Cell::new(0),
            metrics,
            _permit: permit,
        })
    }

    /// Begins a new message whose response may have at most `read_limit` bytes. `first_byte` is checked when its first byte is written,
    /// because other tasks run between the hand-over to hyper and that moment. Returns what the message's body reports its last byte to.
    pub fn begin_message(&self, read_limit: usize, first_byte: Option<FirstByte>) -> Rc<RequestProgress> {
        let progress = Rc::new(RequestProgress::default());
        self.progress.replace(progress.clone());
        self.read_limit.set(read_limit);
        self.response_started.set(None);
        self.last_response_byte.set(None);
        self.written_at.set(None);
        self.resting_since.set(None);
        self.denied.set(None);
        *self.first_byte.borrow_mut() = first_byte;
        progress
    }

    /// Notes that the last response is complete and the connection is kept for another message.
    pub fn begin_rest(&self) {
        self.resting_since.set(Some(Instant::now()));
    }

    /// Returns for how long no message has been outstanding; `None`: one is, or none was ever written.
    pub fn rested(&self) -> Option<Duration> {
        self.resting_since.get().map(|since| since.elapsed())
    }

    /// Returns how long after the last byte of the message the response began; `None`: it has not begun, or began before that byte.
    pub fn response_delay(&self) -> Option<Duration> {
        self.response_started.get()?.checked_duration_since(self.written_at.get()?)
    }

    /// Returns when bytes of the response to the current message were last read; `None`: none were.
    pub fn last_response_byte(&self) -> Option<Instant> {
        self.last_response_byte.get()
    }

    /// Returns how long after the last response the peer sent bytes that no message had asked for; `None`: it sent none.
    pub fn unsolicited(&self) -> Option<Duration> {
        self.unsolicited.get()
    }

    /// Notes that `n` bytes were read; 0: the end of the stream.
    fn record_read(&self, n: usize) {
        let now = Instant::now();
        self.last_activity.set(now);
        if n == 0 {
            return;
        }
        match self.resting_since.get() {
            Some(since) => self.unsolicited.set(Some(now - since)),
            None => {
                let first_byte = self.response_started.get().unwrap_or(now);
                self.response_started.set(Some(first_byte));
                self.last_response_byte.set(Some(now));
            }
        }
    }

    /// Lifts the limit on the size of the response.
    pub fn lift_read_limit(&self) {
        self.read_limit.set(usize::MAX);
    }

    /// Returns when bytes were last read or written.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// Returns whether the message was written completely.
    pub fn is_written(&self) -> bool {
        self.progress.borrow().is_written()
    }

    /// Returns why the message was denied; `None` if it was not.
    pub fn denied(&self) -> Option<SendDenied> {
        self.denied.get()
    }

    /// Returns whether a write is blocked because the kernel accepts no more bytes.
    pub fn stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Peeks at one received byte. Returns 0 at the end of the stream. Interrupted calls are retried.
    fn peek(&self) -> io::Result<usize> {
        loop {
            match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                other => return other,
            }
        }
    }

    /// Returns whether the kernel holds no unread bytes and no end of stream. Danger: the runtime learns of new bytes only at its next
    /// poll, so this asks the kernel.
    pub fn has_no_input(&self) -> bool {
        self.peek().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether the kernel holds unread bytes or an end of stream, of which the runtime may not have learned yet.
    ///
    /// # Errors
    /// The system is short of buffers, so nothing is known for now.
    fn has_input(&self) -> io::Result<bool> {
        match self.peek() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) if classify(&e) == ErrorClass::Shortage => Err(e),
            Ok(_) | Err(_) => Ok(true),
        }
    }

    /// Returns whether the kernel holds unread bytes.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek().is_ok_and(|n| n > 0)
    }

    /// Returns the size of the kernel's receive buffer.
    pub fn receive_buffer_size(&self) -> usize {
        SockRef::from(&self.stream).recv_buffer_size().unwrap_or(DEFAULT_RECEIVE_BUFFER)
    }

    /// Returns how many unread bytes the kernel holds, up to `limit`. Copies none of them.
    pub fn unread_bytes(&self, limit: usize) -> usize {
        const COUNT_ONLY: RecvFlags = RecvFlags::PEEK.union(RecvFlags::TRUNC);
        let mut space = Box::<[u8]>::new_uninit_slice(limit);
        loop {
            match SockRef::from(&self.stream).recv_with_flags(&mut space, COUNT_ONLY.bits() as i32) {
                Ok(n) => return n,
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                Err(_) => return 0,
            }
        }
    }

    /// Shuts down both directions immediately, even if others still hold the stream.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
    }

    /// Makes the connection reset on drop, so that its peer cannot take a truncated message for a complete one.
    pub fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Shuts down the sending direction.
    pub fn shutdown_write(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
    }

    /// Returns whether the peer has closed its sending direction or the connection. Danger: the runtime may know of a request and not
    /// yet of the end of stream behind it, so this asks the kernel first. An end of stream behind unread bytes is known only to the
    /// runtime.
    pub fn is_read_closed(&self) -> bool {
        match self.peek() {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
        }
        let ended = pin!(self.stream.ready(Interest::PRIORITY));
        ended.poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Returns once the peer has closed its sending direction or the connection. Reads nothing.
    pub async fn peer_closed(&self) {
        let _ = self.stream.ready(Interest::PRIORITY | Interest::ERROR).await;
    }

    /// Returns once the stream is ready for one of these interests.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Reads once; fails with `WouldBlock` if no bytes have arrived.
    pub fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.try_read(buf) {
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                other => return other,
            }
        }
    }

    /// Returns once the peer has closed the connection while a response is due to it. Danger: a peer that only closed its sending
    /// direction looks the same, and still waits. If `may_ask`, an interim response tells them apart: the machine of a peer that has
    /// closed the connection resets it.
    pub async fn peer_disconnected(&self, may_ask: bool) {
        // This interest wakes for a closed read side but not for bytes, which may be pipelined requests.
        let closed = self.stream.ready(Interest::PRIORITY).await;
        if closed.is_ok() && may_ask && !self.stalled.get() && self.interim.get().is_empty() {
            self.interim.set(INTERIM);
            if self.write_interim().is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock) {
                return;
            }
        }
        let _ = self.stream.ready(Interest::ERROR).await;
    }

    /// Writes the rest of an interim response. Danger: the kernel may accept a part of it, and no other bytes may be written before the
    /// rest.
    fn write_interim(&self) -> io::Result<()> {
        while !self.interim.get().is_empty() {
            let rest = self.interim.get();
            match self.stream.try_write(rest) {
                Ok(n) => self.interim.set(&rest[n..]),
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Checks whether the first byte of a message may be written. Returns the facts for the record; `None`: no check is due.
    fn check_first_byte(&self) -> io::Result<Option<SentAttempt>> {
        let first_byte = self.first_byte.borrow();
        let Some(first_byte) = first_byte.as_ref() else { return Ok(None) };
        let facts = SendFacts { has_input: self.has_input()?, ..(first_byte.facts)() };
        match may_send(&facts) {
            Ok(()) => Ok(Some(SentAttempt { facts, announced_time_left: first_byte.time_left })),
            Err(denied) => {
                self.denied.set(Some(denied));
                self.metrics.iter().for_each(|m| m.denied.one_more(denied));
                Err(io::Error::new(
                    io::ErrorKind::ConnectionAborted,
                    "the attempt must not be written any more",
                ))
            }
        }
    }

    /// Counts and logs a violated invariant.
    fn report_violation(&self, violation: Option<Violation>) {
        if let (Some(violation), Some(metrics)) = (violation, &self.metrics) {
            crate::proxy::violation(metrics, violation, "an attempt");
        }
    }

    /// Waits for the delay after a shortage, if there was one.
    fn poll_shortage(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut shortage = self.shortage.borrow_mut();
        if let Some(delay) = shortage.as_mut() {
            ready!(delay.as_mut().poll(cx));
            *shortage = None;
        }
        Poll::Ready(())
    }

    /// Classifies a failed call. Returns `None` if it should be retried, and the error otherwise.
    fn on_error(&self, error: io::Error) -> Option<io::Error> {
        if error.kind() == io::ErrorKind::WouldBlock {
            return None;
        }
        match classify(&error) {
            ErrorClass::Repeat => None,
            ErrorClass::Shortage if self.shortages.get() < MAX_SHORTAGES => {
                self.shortages.set(self.shortages.get() + 1);
                *self.shortage.borrow_mut() = Some(Box::pin(sleep(SHORTAGE_RETRY_DELAY)));
                None
            }
            _ => Some(error),
        }
    }
}

/// The side of a [`Socket`] that hyper reads and writes.
pub struct Io(pub Rc<Socket>);

impl Io {
    /// Reads into `buf`. Returns 0 at the end of the stream.
    pub fn poll_fill(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        loop {
            ready!(socket.poll_shortage(cx));
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.stream.try_read(buf) {
                Ok(n) if n > socket.read_limit.get() => {
                    return Poll::Ready(Err(io::Error::other("the response exceeds the size limit")));
                }
                Ok(n) => {
                    if socket.read_limit.get() != usize::MAX {
                        socket.read_limit.set(socket.read_limit.get() - n);
                    }
                    socket.shortages.set(0);
                    socket.record_read(n);
                    return Poll::Ready(Ok(n));
                }
                Err(e) => {
                    if let Some(e) = socket.on_error(e) {
                        return Poll::Ready(Err(e));
                    }
                }
            }
        }
    }

    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        loop {
            if socket.poll_shortage(cx).is_pending() || socket.stream.poll_write_ready(cx)?.is_pending() {
                socket.stalled.set(true);
                return Poll::Pending;
            }
            let sent = socket.check_first_byte().and_then(|checked| {
                socket.write_interim()?;
                Ok((checked, send(&socket.stream)?))
            });
            match sent {
                Ok((checked, n)) => {
                    socket.progress.borrow().record_write();
                    socket.shortages.set(0);
                    socket.last_activity.set(Instant::now());
                    socket.report_violation(checked.as_ref().and_then(check_sent));
                    *socket.first_byte.borrow_mut() = None;
                    return Poll::Ready(Ok(n));
                }
                Err(e) => {
                    if let Some(e) = socket.on_error(e) {
                        return Poll::Ready(Err(e));
                    }
                }
            }
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let n = ready!(self.poll_fill(cx, buf.initialize_unfilled()))?;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |s| s.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |s| s.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper flushes the stream once its own buffer, which holds what was handed over of the message, is empty.
        self.0.stalled.set(false);
        if self.0.progress.borrow().record_flush() {
            self.0.written_at.set(Some(self.0.last_activity.get()));
            self.0.metrics.iter().for_each(|m| m.attempts.one_more());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.shutdown_write();
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
