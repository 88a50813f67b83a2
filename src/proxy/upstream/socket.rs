//! One TCP stream under hyper: what has been written to it and whether its peer has gone. Calls that a signal interrupts and
//! shortages of the system's buffers end here.

use crate::proxy::listener::descriptors::Permit;
use rushquay_admin::RequestMetrics;
use rushquay_invariants::{check_sent, may_send, SendDenied, SendFacts, Sent, Violation};
use rushquay_sockets::{classify, ErrorClass};
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

/// A call for which the system has no buffers is made again after this, so often at most.
const SHORTAGE_WAIT: Duration = Duration::from_millis(5);
const SHORTAGES_MOST: u32 = 400;
/// The interim answer that asks whether a client is still there.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What is looked at when the first byte of an attempt is written.
pub struct FirstByte {
    /// What is known at that moment.
    pub facts: Box<dyn Fn() -> SendFacts>,
    /// The time left that the node is told, in nanoseconds.
    pub told_left: u64,
}

/// A stream that several parties look at: hyper reads and writes it through [`Io`].
pub struct Socket {
    stream: TcpStream,
    /// Bytes were written since [`Socket::begin`].
    begun: Cell<bool>,
    /// All that hyper had to write then has been written.
    whole: Cell<bool>,
    /// The kernel took no more bytes, so hyper holds some.
    stalled: Cell<bool>,
    /// So many more bytes may come.
    room: Cell<usize>,
    /// When bytes last came or went.
    moved: Cell<Instant>,
    /// What is to be looked at before the next byte is written.
    first_byte: RefCell<Option<FirstByte>>,
    /// Why the last message was not written.
    denied: Cell<Option<SendDenied>>,
    /// What is left of an interim answer of which the kernel took a part.
    interim: Cell<&'static [u8]>,
    /// The wait after a call for which the system had no buffers, and how often that was in a row.
    shortage: RefCell<Option<Pin<Box<Sleep>>>>,
    shortages: Cell<u32>,
    /// Where messages that have been written whole are counted.
    ledger: Option<Arc<RequestMetrics>>,
    _permit: Permit,
}

impl Socket {
    pub fn new(stream: TcpStream, permit: Permit) -> Rc<Self> {
        Self::made(stream, permit, None)
    }

    /// One whose messages are attempts at nodes.
    pub fn counted(stream: TcpStream, permit: Permit, ledger: Arc<RequestMetrics>) -> Rc<Self> {
        Self::made(stream, permit, Some(ledger))
    }

    fn made(stream: TcpStream, permit: Permit, ledger: Option<Arc<RequestMetrics>>) -> Rc<Self> {
        // Without it a small answer waits for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            begun: Cell::new(false),
            whole: Cell::new(false),
            stalled: Cell::new(false),
            room: Cell::new(usize::MAX),
            moved: Cell::new(Instant::now()),
            first_byte: RefCell::new(None),
            denied: Cell::new(None),
            interim: Cell::new(&[]),
            shortage: RefCell::new(None),
            shortages: Cell::new(0),
            ledger,
            _permit: permit,
        })
    }

    /// A new message is about to be written, and at most `room` bytes may come in answer. `first_byte` is looked at where its
    /// first byte is written: between the handing over to hyper and that moment other tasks run.
    pub fn begin(&self, room: usize, first_byte: Option<FirstByte>) {
        self.room.set(room);
        self.begun.set(false);
        self.whole.set(false);
        self.denied.set(None);
        *self.first_byte.borrow_mut() = first_byte;
    }

    /// As many bytes as there are may come in answer from now on.
    pub fn unbound(&self) {
        self.room.set(usize::MAX);
    }

    /// When bytes last came or went.
    pub fn moved(&self) -> Instant {
        self.moved.get()
    }

    /// Whether the message's last byte has been written.
    pub fn whole(&self) -> bool {
        self.whole.get()
    }

    /// Why the message was not written; `None`: nothing stood against it.
    pub fn denied(&self) -> Option<SendDenied> {
        self.denied.get()
    }

    /// Whether something is still to be written for which the kernel has no room.
    pub fn stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Looks at what has come without reading it: how many bytes of one, or the error. A call that is interrupted is made again.
    fn peek(&self) -> io::Result<usize> {
        loop {
            match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                other => return other,
            }
        }
    }

    /// Whether the kernel holds nothing that has come and was not read, not even the peer's end. Danger: the runtime
    /// learns of new bytes only when it next looks, so this asks the kernel.
    pub fn silent(&self) -> bool {
        self.peek().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends both directions now, whoever still holds the stream.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
    }

    /// Has the connection reset when it is dropped, so that its peer can't take what came for the whole.
    pub fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Says that nothing more will be written.
    pub fn end(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
    }

    /// Whether the peer sends nothing more: it has ended its sending, or is gone. Danger: the runtime may have heard of a request
    /// and not yet of the end behind it, so this asks the kernel; behind bytes that were not read only the runtime can tell.
    pub fn ended(&self) -> bool {
        match self.peek() {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
        }
        let ended = pin!(self.stream.ready(Interest::PRIORITY));
        ended.poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Returns once the peer has ended its sending, or is gone. What it sent before is not read.
    pub async fn peer_ended(&self) {
        let _ = self.stream.ready(Interest::PRIORITY | Interest::ERROR).await;
    }

    /// Returns once the stream is ready for one of these.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Reads what has come, once; `WouldBlock`: nothing has.
    pub fn try_read(&self, part: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.try_read(part) {
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                other => return other,
            }
        }
    }

    /// Returns once the peer has closed the connection while an answer is due to it. Danger: a peer that only
    /// ended its sending looks the same, and still waits. An interim answer tells them apart: the machine of
    /// one that is gone resets the connection.
    pub async fn hung_up(&self, may_ask: bool) {
        // Of all interests this one wakes for a closed read side and not for bytes, which may be pipelined.
        let closed = self.stream.ready(Interest::PRIORITY).await;
        if closed.is_ok() && may_ask && !self.stalled.get() && self.interim.get().is_empty() {
            self.interim.set(INTERIM);
            if self.write_interim().is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock) {
                return;
            }
        }
        let _ = self.stream.ready(Interest::ERROR).await;
    }

    /// Writes what is left of an interim answer. Danger: the kernel may take a part of it, and what is written next must not stand
    /// in its midst.
    fn write_interim(&self) -> io::Result<()> {
        while !self.interim.get().is_empty() {
            let left = self.interim.get();
            match self.stream.try_write(left) {
                Ok(n) => self.interim.set(&left[n..]),
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Looks at what stands against the first byte of a message; `None`: it has been written.
    fn look(&self) -> io::Result<Option<Sent>> {
        let first_byte = self.first_byte.borrow();
        let Some(look) = first_byte.as_ref() else { return Ok(None) };
        let facts = (look.facts)();
        match may_send(&facts) {
            Ok(()) => Ok(Some(Sent { facts, told_left: look.told_left })),
            Err(denied) => {
                self.denied.set(Some(denied));
                self.ledger.iter().for_each(|l| l.denied.one_more(denied));
                Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the attempt is not to be written"))
            }
        }
    }

    /// Counts a rule that was broken.
    fn broke(&self, violation: Option<Violation>) {
        if let (Some(violation), Some(ledger)) = (violation, &self.ledger) {
            crate::proxy::violation(ledger, violation, "an attempt");
        }
    }

    /// Waits out a shortage that was met just now.
    fn poll_shortage(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut shortage = self.shortage.borrow_mut();
        if let Some(wait) = shortage.as_mut() {
            ready!(wait.as_mut().poll(cx));
            *shortage = None;
        }
        Poll::Ready(())
    }

    /// What to do about a failed call; `None`: make it again.
    fn failed(&self, error: io::Error) -> Option<io::Error> {
        if error.kind() == io::ErrorKind::WouldBlock {
            return None;
        }
        match classify(&error) {
            ErrorClass::Repeat => None,
            ErrorClass::Shortage if self.shortages.get() < SHORTAGES_MOST => {
                self.shortages.set(self.shortages.get() + 1);
                *self.shortage.borrow_mut() = Some(Box::pin(sleep(SHORTAGE_WAIT)));
                None
            }
            _ => Some(error),
        }
    }
}

/// Hyper's end of a [`Socket`].
pub struct Io(pub Rc<Socket>);

impl Io {
    /// Reads into `part`; 0: the peer has ended its sending.
    pub fn poll_fill(&self, cx: &mut Context<'_>, part: &mut [u8]) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        loop {
            ready!(socket.poll_shortage(cx));
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.stream.try_read(part) {
                Ok(n) if n > socket.room.get() => {
                    return Poll::Ready(Err(io::Error::other("the answer does not end")));
                }
                Ok(n) => {
                    if socket.room.get() != usize::MAX {
                        socket.room.set(socket.room.get() - n);
                    }
                    socket.shortages.set(0);
                    socket.moved.set(Instant::now());
                    return Poll::Ready(Ok(n));
                }
                Err(e) => {
                    if let Some(e) = socket.failed(e) {
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
            let first = socket.look()?;
            let sent = socket.write_interim().and_then(|()| send(&socket.stream));
            match sent {
                Ok(n) => {
                    socket.begun.set(true);
                    socket.shortages.set(0);
                    socket.moved.set(Instant::now());
                    socket.broke(first.as_ref().and_then(check_sent));
                    *socket.first_byte.borrow_mut() = None;
                    return Poll::Ready(Ok(n));
                }
                Err(e) => {
                    if let Some(e) = socket.failed(e) {
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
        // Hyper flushes the stream once its own buffer, which holds the whole message, is empty.
        self.0.stalled.set(false);
        if self.0.begun.get() && !self.0.whole.replace(true) {
            self.0.ledger.iter().for_each(|l| l.attempts.one_more());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.end();
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
