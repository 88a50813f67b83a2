//! The state of a client connection that other tasks see: whether it is busy, and when and why it closes.

use crate::api;
use crate::proxy::http::request_body::steady;
use crate::proxy::listener::descriptors::Permit;
use crate::proxy::listener::read_buffer::{BufferedInput, ReadBuffer};
use crate::proxy::upstream::socket::Socket;
use rushquay_admission::Evidence;
use rushquay_invariants::{CloseCause, ConnectionFacts};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// A connection without a complete request head this long after it was accepted is closed.
const ASK_WITHIN: Duration = Duration::from_secs(2);
/// How long a peer may take to read its last response before the connection is closed. Danger: closing with unread
/// received bytes resets the connection, and the part of the response that the kernel still holds is lost.
const LINGER: Duration = Duration::from_secs(1);
/// How long a write of a response may make no progress.
const TAKE_WITHIN: Duration = Duration::from_secs(10);
/// How long a connection may be idle between requests.
const IDLE_MOST: Duration = Duration::from_secs(10);
/// How long a request head may take in all, and how long it may make no progress. The slowest healthy client takes
/// two seconds.
const HEAD_WITHIN: Duration = Duration::from_secs(4);
const HEAD_SILENT: Duration = Duration::from_millis(2500);
/// The same during graceful shutdown, which waits for it.
const HEAD_SILENT_DRAINING: Duration = Duration::from_millis(1200);

/// A client connection, as seen by other tasks.
pub struct Client {
    /// Its number in this process, for the request trace.
    pub number: u64,
    pub socket: Rc<Socket>,
    pub read_buffer: Rc<ReadBuffer>,
    pub busy: Cell<bool>,
    /// The client speaks HTTP/1.0, where closing the connection may delimit a response.
    pub ends_by_close: Cell<bool>,
    came: Instant,
    /// When it was accepted or last answered.
    since: Cell<Instant>,
    /// Wakes the connection's own task when the connection is to be closed.
    pub ending: Notify,
    /// Why it is to be closed; `None`: it is not.
    cause: Cell<Option<CloseCause>>,
    /// Everything is written; the peer is given time to read it.
    pub lingering: Cell<bool>,
    /// Its descriptor is needed immediately.
    pub hurry: Notify,
}

impl Client {
    pub fn new(number: u64, stream: TcpStream, permit: Permit) -> Rc<Self> {
        let came = Instant::now();
        Rc::new(Client {
            number,
            socket: Socket::new(stream, permit),
            read_buffer: Rc::default(),
            busy: Cell::new(false),
            ends_by_close: Cell::new(false),
            came,
            since: Cell::new(came),
            ending: Notify::new(),
            cause: Cell::new(None),
            lingering: Cell::new(false),
            hurry: Notify::new(),
        })
    }

    /// Closes the connection once no response is owed on it. The first cause is kept, unless a later one closes immediately.
    pub fn end(&self, cause: CloseCause) {
        let at_once = !matches!(cause, CloseCause::Idle | CloseCause::Drain);
        if self.cause.get().is_none() || at_once {
            self.cause.set(Some(cause));
        }
        self.ending.notify_one();
    }

    /// Why it is to be closed; `None`: it is not.
    pub fn cause(&self) -> Option<CloseCause> {
        self.cause.get()
    }

    /// Whether it is to be closed.
    pub fn closing(&self) -> bool {
        self.cause.get().is_some()
    }

    /// The facts that `may_close` decides by.
    pub fn facts(&self) -> ConnectionFacts {
        let behind = self.read_buffer.behind();
        ConnectionFacts {
            answering: self.busy.get(),
            read_behind: behind == BufferedInput::Request,
            head_begun: behind == BufferedInput::Part
                || !self.busy.get() && self.read_buffer.head_since.get().is_some(),
            unwritten: self.socket.stalled(),
            peer_gone: false,
        }
    }

    /// Gives the peer time to read its last response.
    pub async fn linger(&self) {
        let cause = self.cause.get().unwrap_or(CloseCause::AnswerSaidSo);
        self.cause.set(Some(cause));
        // Danger: an orderly close would make a partial response look complete.
        if cause == CloseCause::BrokenAnswer {
            return;
        }
        self.socket.shutdown_write();
        let left = LINGER.saturating_sub(self.since.get().elapsed());
        let hurried = matches!(cause, CloseCause::NotRead | CloseCause::NoRequest);
        // Danger: a client that has sent another request waits for the close before it sends that request elsewhere.
        if hurried || left.is_zero() || self.socket.has_no_input() {
            return;
        }
        self.lingering.set(true);
        tokio::select! {
            () = self.socket.peer_closed() => {}
            () = self.hurry.notified() => {}
            () = sleep(left) => {}
        }
    }

    /// The facts that the choice of the connection to close is made by.
    pub fn evidence(&self, now: Instant) -> Evidence {
        let at = |then: Instant| {
            steady().saturating_sub(now.saturating_duration_since(then).as_nanos() as api::Nanos)
        };
        let (asked, begun) = (self.read_buffer.heads.get(), self.read_buffer.head_since.get().is_some());
        Evidence {
            complete_requests: asked,
            has_partial_request: begun,
            since: at(self.since.get()),
            last_io_at: at(self.socket.last_activity()),
        }
    }

    /// Closes the connection if it makes no progress. Danger: a silent client, a head that never completes and a response that is not
    /// read would each hold a descriptor forever.
    pub fn look(&self, now: Instant) {
        let over = |from: Instant, most: Duration| now.saturating_duration_since(from) > most;
        let moved = self.socket.last_activity();
        if self.socket.stalled() && over(moved, TAKE_WITHIN) {
            return self.end(CloseCause::NotRead);
        }
        if self.busy.get() {
            return;
        }
        let draining = self.cause.get() == Some(CloseCause::Drain);
        let silent = if draining { HEAD_SILENT_DRAINING } else { HEAD_SILENT };
        let stopped = match self.read_buffer.head_since.get() {
            // A slow sender differs from a stalled one by having sent something recently.
            Some(since) => over(since, HEAD_WITHIN) || over(since.max(moved), silent),
            None => self.read_buffer.heads.get() == 0 && over(self.came, ASK_WITHIN),
        };
        if stopped {
            self.end(CloseCause::NoRequest);
        } else if over(self.since.get(), IDLE_MOST) && self.socket.has_no_input() {
            self.end(CloseCause::Idle);
        }
    }
}

/// Marks a request as being answered until it is dropped.
pub struct Busy(Rc<Client>);

impl Busy {
    pub fn new(client: &Rc<Client>) -> Self {
        client.busy.set(true);
        Busy(client.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.since.set(Instant::now());
    }
}
