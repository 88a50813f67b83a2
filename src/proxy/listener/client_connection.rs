//! A client's connection, as others see it: what it has asked, whether it is busy, and how it ends.

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

/// A connection that has asked nothing for so long since it came, whatever part of a head it sent, is closed.
const ASK_WITHIN: Duration = Duration::from_secs(2);
/// A peer that had its last answer just now is given so long to read it before its connection is closed. Danger: a close over
/// bytes that were not read resets the connection, and what the system still holds of the answer goes with it.
const LINGER: Duration = Duration::from_secs(1);
/// The kernel takes something of an answer within this time.
const TAKE_WITHIN: Duration = Duration::from_secs(10);
/// A connection that has been without a request for so long is closed.
const IDLE_MOST: Duration = Duration::from_secs(10);
/// A head that has begun comes whole within this time, and something of it within the other. The slowest that is well
/// takes two seconds.
const HEAD_WITHIN: Duration = Duration::from_secs(4);
const HEAD_SILENT: Duration = Duration::from_millis(2500);
/// The same while the process drains, which waits for it.
const HEAD_SILENT_DRAINING: Duration = Duration::from_millis(1200);

/// A client's connection, as others see it.
pub struct Client {
    /// Its number in this process, for the trace.
    pub number: u64,
    pub socket: Rc<Socket>,
    pub read_buffer: Rc<ReadBuffer>,
    pub busy: Cell<bool>,
    /// It speaks HTTP/1.0, where the end of the connection may be the end of an answer.
    pub ends_by_close: Cell<bool>,
    came: Instant,
    /// When it came or was last answered.
    since: Cell<Instant>,
    /// Wakes the connection's own task when it is to end.
    pub ending: Notify,
    /// Why it ends; `None`: it does not.
    cause: Cell<Option<CloseCause>>,
    /// All is said; the peer is given time to read it.
    pub lingering: Cell<bool>,
    /// Its place is needed at once.
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

    /// Has the connection end as soon as nothing is owed on it. The first cause stands, unless a later one no longer waits.
    pub fn end(&self, cause: CloseCause) {
        let at_once = !matches!(cause, CloseCause::Idle | CloseCause::Drain);
        if self.cause.get().is_none() || at_once {
            self.cause.set(Some(cause));
        }
        self.ending.notify_one();
    }

    /// Why it ends; `None`: it does not.
    pub fn cause(&self) -> Option<CloseCause> {
        self.cause.get()
    }

    /// Whether it is to end.
    pub fn closing(&self) -> bool {
        self.cause.get().is_some()
    }

    /// What is known of it, for the guard of closes.
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

    /// Gives the peer time to read its last answer.
    pub async fn linger(&self) {
        let cause = self.cause.get().unwrap_or(CloseCause::AnswerSaidSo);
        self.cause.set(Some(cause));
        // Danger: an orderly end would make a part of an answer look whole.
        if cause == CloseCause::BrokenAnswer {
            return;
        }
        self.socket.end();
        let left = LINGER.saturating_sub(self.since.get().elapsed());
        let hurried = matches!(cause, CloseCause::NotRead | CloseCause::NoRequest);
        // Danger: one that has sent another request waits for the end of the connection to send it elsewhere.
        if hurried || left.is_zero() || self.socket.silent() {
            return;
        }
        self.lingering.set(true);
        tokio::select! {
            () = self.socket.peer_ended() => {}
            () = self.hurry.notified() => {}
            () = sleep(left) => {}
        }
    }

    /// What is known of it, for the choice of who gives way.
    pub fn evidence(&self, now: Instant) -> Evidence {
        let at = |then: Instant| {
            steady().saturating_sub(now.saturating_duration_since(then).as_nanos() as api::Nanos)
        };
        let (asked, begun) = (self.read_buffer.heads.get(), self.read_buffer.head_since.get().is_some());
        Evidence { asked, begun, since: at(self.since.get()), moved: at(self.socket.moved()) }
    }

    /// Ends what stands still. Danger: silence, a head that does not end and an answer that is not read would each hold a
    /// descriptor for good.
    pub fn look(&self, now: Instant) {
        let over = |from: Instant, most: Duration| now.saturating_duration_since(from) > most;
        let moved = self.socket.moved();
        if self.socket.stalled() && over(moved, TAKE_WITHIN) {
            return self.end(CloseCause::NotRead);
        }
        if self.busy.get() {
            return;
        }
        let draining = self.cause.get() == Some(CloseCause::Drain);
        let silent = if draining { HEAD_SILENT_DRAINING } else { HEAD_SILENT };
        let stopped = match self.read_buffer.head_since.get() {
            // Who writes slowly is told from who has stopped by what has come lately.
            Some(since) => over(since, HEAD_WITHIN) || over(since.max(moved), silent),
            None => self.read_buffer.heads.get() == 0 && over(self.came, ASK_WITHIN),
        };
        if stopped {
            self.end(CloseCause::NoRequest);
        } else if over(self.since.get(), IDLE_MOST) && self.socket.silent() {
            self.end(CloseCause::Idle);
        }
    }
}

/// A request is being answered, until this is dropped.
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
